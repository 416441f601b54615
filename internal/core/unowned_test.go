package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/wire"
)

// unownedAt returns the latest time at which an instance has seen shard 0 without an
// owner.
func (c *cell) unownedAt(at model.InstanceID) (time.Duration, bool) {
	s, err := kernel.Find[*ownership.Service](c.cores[at].kernel, service.Ownership)
	require.NoError(c.t, err)
	return s.UnownedAt(0)
}

// claim appends a claim of shard 0 by an instance that has no core.
func (c *cell) claim() {
	c.append(wire.Claim{Owner: wire.InstanceRef{Instance: "other", Incarnation: 1}, Shards: []wire.ShardTerm{{}}})
}

// A reply of the log that waits in a frozen instance says nothing about the time of its
// arrival: the shard may have had an owner, and runs of its requests, since the read.
func TestUnownedTimeIsThatOfTheReadRequest(t *testing.T) {
	c := newCell(t, "a")
	askedAt := time.Second
	reply := event.LogRead{Oldest: firstOffset, Next: firstOffset, AskedAt: askedAt}
	c.now = askedAt
	c.claim()
	c.now = 9 * time.Second
	c.step("a", reply)
	at, ok := c.unownedAt("a")
	require.True(t, ok)
	require.Equal(t, askedAt, at)

	c.read("a")
	after, _ := c.unownedAt("a")
	require.Equal(t, askedAt, after, "a read that returns the claim is no proof that there was none before")
}

// An instance that has only seen a shard with an owner, or has not read the log to its
// end, knows nothing of the time before.
func TestUnownedTimeNeedsTheEndOfTheLog(t *testing.T) {
	c := newCell(t, "a", "late")
	c.append(wire.JobCanceled{})
	c.claim()
	c.now = time.Second
	c.step("a", event.LogRead{Entries: c.log[:1], Oldest: firstOffset, Next: c.nextOffset(), AskedAt: c.now})
	_, ok := c.unownedAt("a")
	require.False(t, ok, "the claim is not read yet")

	c.read("late")
	_, ok = c.unownedAt("late")
	require.False(t, ok)
}

// The receiver of records takes them to be at most service.MaxRecordsDelay old. An owner
// that was frozen does not complete a handover that it confirms later than that.
func TestLateConfirmationCompletesNoHandover(t *testing.T) {
	for _, test := range []struct {
		delay     time.Duration
		completes bool
	}{
		{service.MaxRecordsDelay - time.Millisecond, true},
		{service.MaxRecordsDelay, false},
	} {
		c := newCell(t, "a", "b")
		c.run(6 * time.Second)
		var kept []wire.MemoryKept
		c.dropped = func(m wire.Message) bool {
			k, ok := m.(wire.MemoryKept)
			if ok {
				kept = append(kept, k)
			}
			return ok
		}
		c.step("a", event.DrainStarted{})
		for len(kept) == 0 {
			c.run(stepTime)
		}
		before := len(c.log)
		c.now += test.delay
		c.step("a", event.PeerMessage{From: c.cores["b"].env.SelfRef(), Message: kept[0]})
		require.Equal(t, test.completes, len(c.log) > before, "confirmed after %s", test.delay)
	}
}
