package engine

import (
	"testing"
	"time"

	"pollenbend/internal/cell/job"

	"github.com/stretchr/testify/assert"
)

// conclude asks the leader to end in order and returns how long it took until it had stored what the next leader needs.
func (w *world) conclude() time.Duration {
	start, stored := w.now, false
	w.engine.Handle(w.now, &Conclude{Done: func() { stored = true }})
	for !stored && w.now.Sub(start) < time.Minute {
		w.run(simTick)
	}
	return w.now.Sub(start)
}

// The worker is lost right after it has accepted the start, and the leader ends in order before it notices that.
func TestRunThatWasAnsweredAsItsLeaderEndsInOrderWaitsForTheLongestLease(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
	}{{"task", tasks(1, 1000, time.Minute)}, {"gang", gang(3, 5000, time.Minute)}} {
		t.Run(c.name, func(t *testing.T) {
			s := newRecentRun(t, c.step, wasAnswered, true)
			s.loseWorker()
			assert.LessOrEqual(t, s.w.conclude(), conclusionStartWait+100*time.Millisecond)
			s.w.startLeader()
			s.runsAgainWithin(maxIdleAfterTakeover)
		})
	}
}

// A start that was sent when the leader is asked to end is answered before it does.
func TestRunThatStartsAsItsLeaderEndsInOrderWaitsForTheLongestLease(t *testing.T) {
	s := newRecentRun(t, tasks(1, 1000, time.Minute), func(r *run) bool { return r.phase == planned }, true)
	s.w.conclude()
	s.loseWorker()
	s.w.startLeader()
	s.runsAgainWithin(maxIdleAfterTakeover)
}

// Starts without an answer don't hold up the end of the term for long, and a term that is not followed by another goes on.
func TestLeaderThatEndsInOrderWaitsForLostWorkersOrStopsPlanning(t *testing.T) {
	s := newRecentRun(t, tasks(1, 1000, time.Minute), func(r *run) bool { return r.phase == starting }, true)
	for _, id := range s.w.ids {
		s.n.links[id].lostRatio = 1
	}
	assert.LessOrEqual(t, s.w.conclude(), conclusionStartWait+100*time.Millisecond)
	for _, id := range s.w.ids {
		s.n.links[id].clear()
	}
	starts := s.w.starts
	id := s.w.submit("batch", "a", tasks(1, 1000, time.Second))
	s.w.run(500 * time.Millisecond)
	assert.Equal(t, starts, s.w.starts, "no run is planned while the term ends")
	s.w.engine.Handle(s.w.now, &TermContinues{})
	s.w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, s.w.state(id))
}
