package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
)

// Guards against issue 57: what the instances forward to their leader took all of its memory.
func TestLeaderRefusesForwardedJobsThatItHasNoMemoryFor(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		var taken, free int64 = 0, 1 << 16
		c.leader().settings.Reserve = func(bytes int64) (func(), bool) {
			if taken+bytes > free {
				return nil, false
			}
			taken += bytes
			return func() { taken -= bytes }, true
		}
		large := spec("large")
		large.Steps[0].Image = strings.Repeat("i", 1<<16)
		ctx, cancel := context.WithTimeout(t.Context(), maxCallerWait)
		defer cancel()
		answer, err := c.follower().Submit(ctx, large)
		require.NoError(t, err)
		assert.Equal(t, engine.Refused, answer.Outcome)
		assert.Equal(t, NoMemoryReason, answer.Why)
		assert.Positive(t, answer.RetryAfter)
		submitWithin(t, c.follower(), "small", time.Second)
		assert.Zero(t, taken)
	})
}

func TestJobThatCannotBeStoredIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string) (net.Conn, error) {
			t.Error("the leader is called")
			return nil, io.EOF
		}
		settings := Settings{Instance: "entry", Address: "entry:1", Dial: dial, Engine: engine.Config{MaxRecordBytes: 10_000}}
		n := New(settings, Ports{}, NewStats(), slog.New(slog.DiscardHandler))
		n.setNow(&n.leaderAnsweredAt)
		n.setLeader(&Leadership{Instance: "i1", Session: "s1", Address: "i1:1", Term: 3})
		large := spec("0000000000000001")
		large.Steps[0].Label = strings.Repeat("l", 10_000)
		answer, err := n.Submit(t.Context(), large)
		require.NoError(t, err)
		assert.Equal(t, engine.Refused, answer.Outcome)
		assert.Contains(t, answer.Why, "at most 10000 can be stored")
		assert.Zero(t, answer.RetryAfter, "it is not worth repeating")
	})
}
