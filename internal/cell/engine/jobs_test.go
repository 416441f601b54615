package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/policy"
)

// A job is canceled and then refused, as the store refuses its record. Its id is used by another team
// later; its own team's submissions stay refused, as the cancellation was acknowledged.
func TestExpiryOfARefusedJobDropsALaterOneOfItsID(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.storeRefuses = true
	id := w.submit("batch", "a", tasks(1, 1000, 400*time.Second))
	w.cancel(id)
	w.run(300 * time.Millisecond)
	require.Equal(t, Refused, w.answers[id].Outcome)
	w.storeRefuses = false
	w.engine.Handle(w.now, &StoreRecovered{})
	w.run(2 * time.Second)
	require.Contains(t, w.canceledAt, id)
	w.sendSubmit(w.specs[id])
	w.run(time.Second)
	require.Equal(t, Refused, w.answers[id].Outcome)

	other := *w.specs[id]
	other.Team = "capped"
	w.specs[id] = &other
	delete(w.canceledAt, id) // it is of the job of the first team
	w.sendSubmit(&other)
	w.run(time.Second)
	require.Equal(t, OK, w.answers[id].Outcome)
	w.run(simConfig().EndedJobRetention)
	assert.Equal(t, StateRunning, w.state(id))
}

// startLeaderWithoutDeclarations replaces the engine by that of a new leader that has no
// declarations yet.
func (w *world) startLeaderWithoutDeclarations() {
	declared := w.policy
	w.policy = new(policy.Policy)
	w.startLeader()
	w.policy = declared
}

// A leader hears of failed runs before it has the declarations, which allow three attempts.
func TestJobFailsTooSoonUnderALeaderWithoutDeclarations(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.failureRatio = 1
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 500*time.Millisecond))
	w.run(200 * time.Millisecond)
	w.startLeaderWithoutDeclarations()
	w.run(2 * time.Second)
	assert.Equal(t, StateRunning, w.state(id))
	w.engine.Handle(w.now, &PolicyChanged{Policy: w.policy})
	w.run(4 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 3, w.starts)
}

// The last attempt of a job fails under a leader that has no declarations yet.
func TestJobIsStartedOnceTooOftenAfterItsDeclarationsArrive(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.failureRatio = 1
	w.run(time.Second)
	id := w.submit("urgent", "a", tasks(1, 1000, 500*time.Millisecond)) // two attempts
	for w.starts < 2 {
		w.run(simTick)
	}
	w.startLeaderWithoutDeclarations()
	w.run(2 * time.Second)
	w.engine.Handle(w.now, &PolicyChanged{Policy: w.policy})
	w.run(2 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 2, w.starts)
}

// The last attempt of a job fails while its queue is not declared.
func TestJobIsStartedOnceTooOftenAfterItsQueueIsDeclaredAgain(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.failureRatio = 1
	w.run(time.Second)
	id := w.submit("urgent", "a", tasks(1, 1000, 500*time.Millisecond)) // two attempts
	for w.starts < 2 {
		w.run(simTick)
	}
	without, again := *simPolicy(), *simPolicy()
	without.Version, again.Version = 2, 3
	without.Queues = without.Queues[1:]
	w.engine.Handle(w.now, &PolicyChanged{Policy: without.Index()})
	w.run(2 * time.Second)
	w.engine.Handle(w.now, &PolicyChanged{Policy: again.Index()})
	w.run(5 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 2, w.starts)
}

// The declarations lower the attempts while a run is under way, which is then lost.
func TestJobIsStartedOnceTooOftenAfterItsAttemptsAreLowered(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.failureRatio = 1
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, time.Second)) // three attempts
	for w.starts < 3 {
		w.run(simTick)
	}
	lowered := *simPolicy()
	lowered.Version = 2
	lowered.Queues[2].Attempts = 2
	w.engine.Handle(w.now, &PolicyChanged{Policy: lowered.Index()})
	w.run(100 * time.Millisecond)
	assert.Equal(t, StateRunning, w.state(id))
	for _, worker := range w.ids {
		w.restartWorker(worker)
	}
	w.run(5 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 3, w.starts)
}
