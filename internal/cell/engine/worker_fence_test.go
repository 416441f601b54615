package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recorded returns the calls of the given kind that the engine has made since the last time, and
// carries them out.
func recorded[A any](w *world, d time.Duration) (calls []A) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(simTick)
		for _, action := range w.recorded {
			if call, ok := action.(A); ok {
				calls = append(calls, call)
			}
		}
		w.recorded = w.recorded[:0]
	}
	return calls
}

// A renewal that waits would take note of an end in another incarnation the moment it is listed.
func TestRenewalThatWaitsAcknowledgesNothing(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.records = true
	w.run(time.Second)
	for range 8 {
		w.submit("batch", "a", tasks(3, 2000, 700*time.Millisecond))
	}
	acknowledged := 0
	for _, r := range recorded[*Renew](w, 8*time.Second) {
		if r.Cursor > 0 {
			acknowledged++
			assert.Zero(t, r.MaxWait)
		}
	}
	assert.Positive(t, acknowledged)
	for id, s := range w.workers {
		assert.Empty(t, s.ended, "all ends of %s are acknowledged", id)
	}
}

// A worker that is not known to be up may have restarted, so no renewal of it bears a cursor until one was answered.
func TestSilentWorkerGetsNoCursor(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.records = true
	w.run(time.Second)
	w.submit("batch", "a", tasks(1, 2000, 500*time.Millisecond), tasks(1, 2000, time.Minute))
	w.run(520 * time.Millisecond)
	w.storeHangs = true // the end is applied, but not stored yet
	w.run(100 * time.Millisecond)
	w.workers["w00"].unreachable = true
	w.run(1500 * time.Millisecond)
	w.storeHangs = false
	w.recorded = nil
	for _, r := range recorded[*Renew](w, 3*time.Second) {
		assert.Zero(t, r.Cursor)
	}
	require.NotEmpty(t, w.workers["w00"].ended)
	w.workers["w00"].unreachable = false
	w.run(time.Second)
	assert.Empty(t, w.workers["w00"].ended, "acknowledged after an answer")
}

// Review case 6: a renewal gets no answer, its worker restarts under its id, and the next incarnation carries the renewal
// out late. Its cursor must not acknowledge an end there that nobody has seen.
func TestLateRenewalOfAnEarlierIncarnationIsRefused(t *testing.T) {
	w := newWorld(t, 2, 1)
	n := w.useNetwork(1)
	n.restartsKeepID = true
	w.records = true
	w.run(time.Second)
	w.submit("batch", "a", tasks(8, 500, 300*time.Millisecond))
	var late *Renew
	for _, r := range recorded[*Renew](w, 3*time.Second) {
		if r.Worker == "w00" && r.Cursor > 0 {
			late = r
		}
	}
	require.NotNil(t, late)
	n.restart("w00", 100*time.Millisecond, 100*time.Millisecond)
	w.run(2 * time.Second)
	id := w.submit("batch", "a", tasks(4, 6000, 500*time.Millisecond)) // more than one worker holds, so some end on w00
	for w.workers["w00"].lastEnd == 0 {
		w.run(simTick)
	}
	s := w.workers["w00"]
	seen := len(s.ended)
	require.Positive(t, seen)
	answered := false
	n.renew(s, late, w.now, func(event any) {
		answered = true
		assert.True(t, event.(*RenewalAnswered).Fenced)
	})
	assert.True(t, answered)
	assert.Len(t, s.ended, seen)
	w.run(8 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// Calls to a new incarnation bear a higher fence number than those to the earlier one, and the answers to calls
// that were under way don't count as signs of a newer leader.
func TestCallsToANewIncarnationBearAHigherFence(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.useNetwork(1).restartsKeepID = true
	w.records = true
	w.run(time.Second)
	w.submit("batch", "a", tasks(4, 2000, time.Minute))
	before := recorded[*Renew](w, time.Second)
	fence := before[len(before)-1].Fence
	w.net.links["w00"].maxDelay = 300 * time.Millisecond
	w.net.links["w01"].maxDelay = 300 * time.Millisecond
	for range 4 {
		w.net.restart("w00", 50*time.Millisecond, 0)
		w.net.restart("w01", 50*time.Millisecond, 0)
		w.run(600 * time.Millisecond)
	}
	w.recorded = nil
	for _, r := range recorded[*Renew](w, 2*time.Second) {
		if r.Incarnation == w.workers[r.Worker].incarnation {
			assert.Greater(t, r.Fence, fence)
			assert.Equal(t, w.engine.workers[r.Worker].fence, r.Fence)
		}
	}
	assert.False(t, w.engine.inDoubt)
}

// Without a higher fence number, as the store takes no writes, a restarted worker gets no starts.
func TestRestartedWorkerGetsNoStartsWithoutAHigherFence(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	worker := w.engine.workers["w00"]
	worker.fence, w.engine.fence = 1<<40, 1<<40 // the newest one is in use
	w.restartWorker("w00")
	id := w.submit("batch", "a", tasks(1, 2000, 300*time.Millisecond))
	w.run(time.Second)
	assert.True(t, worker.fenceSpent)
	assert.Zero(t, w.starts)
	w.fence = 1 << 41
	w.run(2 * time.Second)
	assert.Greater(t, worker.fence, int64(1<<40))
	assert.Equal(t, StateCompleted, w.state(id))
}

// A renewal with a cursor gets no answer, nor does a later start. The next incarnation carries out both, the start first,
// before the leader reaches it. The cursor must not acknowledge the end of that run.
func TestLateCursorAfterALateStartIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.useNetwork(1)
	n.restartsKeepID, n.untold = true, true
	var cursor *Renew
	var start *Start
	n.planted.action = func(n *network, action any) any {
		switch a := action.(type) {
		case *Renew:
			if cursor == nil && a.Cursor > 0 {
				cursor = a
				w.deliver(w.engine, a.Timeout, &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: w.now})
				return nil
			}
		case *Start:
			if start == nil && cursor != nil {
				start = a
				w.deliver(w.engine, a.Timeout, &StartAnswered{Start: a, Outcome: NoAnswer})
				return nil
			}
		}
		return action
	}
	w.run(time.Second)
	w.submit("batch", "a", tasks(1, 2000, 300*time.Millisecond))
	w.run(time.Second)
	require.NotNil(t, cursor)
	id := w.submit("batch", "a", tasks(1, 2000, 300*time.Millisecond))
	w.run(100 * time.Millisecond)
	require.NotNil(t, start)
	sent := w.now
	n.links["w00"].silentUntil = w.now.Add(2 * time.Second)
	n.restart("w00", simTick, 5*time.Second)
	w.run(100 * time.Millisecond)
	s := w.workers["w00"]
	require.Equal(t, Accepted, n.start(s, start, sent).Outcome)
	w.run(500 * time.Millisecond)
	require.Len(t, s.ended, 1)
	n.renew(s, cursor, sent, func(any) {})
	assert.Len(t, s.ended, 1, "nobody has seen the end")
	w.run(30 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 2, w.starts)
}
