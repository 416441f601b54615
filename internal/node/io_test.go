package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/platform"
)

// claimedLog is a log whose first entry is appended at claimAt. Its reads wait as long as
// they may.
type claimedLog struct {
	platform.Log
	claimAt time.Time
}

func (l claimedLog) Read(_ context.Context, _ string, from uint64, _ int, wait time.Duration) (platform.Batch, error) {
	untilClaim := time.Until(l.claimAt)
	if from > firstOffset || untilClaim > wait {
		time.Sleep(wait)
		return platform.Batch{Oldest: firstOffset, Next: from}, nil
	}
	time.Sleep(untilClaim)
	return platform.Batch{Entries: []platform.Entry{{Offset: firstOffset}}, Oldest: firstOffset, Next: firstOffset + 1}, nil
}

// The last read that shows an empty log must be requested shortly before the first claim.
// When reads waited a second and the instance claimed after a second, it was the first
// one: the workers of a cell started together counted as restarted since. Later reads wait
// their full time, as each of them loads the log.
func TestReadsOfAnEmptyLogAreFrequent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const claimAfter = 1020 * time.Millisecond
		n := &Node{
			cfg: Config{Log: claimedLog{claimAt: time.Now().Add(claimAfter)}}, ctx: ctx,
			inbox: make(chan event.Event, 100), startedAt: time.Now(),
		}
		n.wg.Go(n.readLog)
		time.Sleep(claimAfter + 10*logReadWait + logReadWait/2)
		cancel()
		n.wg.Wait()
		close(n.inbox)
		var lastEmpty time.Duration
		later := 0
		for e := range n.inbox {
			switch read := e.(event.LogRead); {
			case read.Next == firstOffset:
				lastEmpty = read.AskedAt
			case len(read.Entries) == 0:
				later++
			}
		}
		require.GreaterOrEqual(t, lastEmpty, claimAfter-2*emptyLogReadWait)
		require.LessOrEqual(t, later, 11)
	})
}
