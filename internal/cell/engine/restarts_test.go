package engine

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lastStart has workers answer start commands with an outcome, and returns where to find the
// last command.
func (w *world) lastStart(outcome CommandOutcome) **Start {
	last := new(*Start)
	w.refuseStart = func(a *Start, _ int) CommandOutcome {
		*last = a
		return outcome
	}
	return last
}

// A renewal is refused since the worker has restarted, before the directory tells it.
func TestRestartSeenByARefusedRenewalSkipsTheEndsOfTheNextIncarnation(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.submit("batch", "a", tasks(6, 1000, 100*time.Millisecond))
	w.run(time.Second)
	w.restartUnlisted("w00")
	w.run(3 * time.Second)
	w.publishDirectory()
	w.run(200 * time.Millisecond)
	id := w.submit("batch", "a", tasks(3, 1000, 100*time.Millisecond))
	w.run(2 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 9, w.starts)
}

// The answer of an earlier incarnation arrives after a report of the next one, whose clock
// began anew.
func TestLeaseIsComputedFromTheClockOfAnEarlierIncarnation(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	sent := w.lastStart(Accepted)
	w.submit("batch", "a", tasks(1, 1000, 5*time.Second))
	w.run(100 * time.Millisecond)
	w.restartWorker("w00")
	w.run(100 * time.Millisecond)
	s := w.engine.workers["w00"]
	clock := s.clock
	w.engine.Handle(w.now, &StartAnswered{Start: *sent, Outcome: Accepted, Incarnation: 1, Clock: clock + time.Hour.Milliseconds()})
	assert.Equal(t, clock, s.clock)
}

// The next incarnation carries out a start command, and its answer may not tell which
// incarnation it is.
func TestRunThatTheNextIncarnationStartedCountsAsEnded(t *testing.T) {
	for _, told := range []int64{2, 0} {
		w := newWorld(t, 2, 1)
		w.run(time.Second)
		sent := w.lastStart(NoAnswer) // dropped, as if the command were still under way
		w.answerDelay = time.Minute
		id := w.submit("batch", "a", tasks(1, 1000, 4*time.Second))
		w.run(100 * time.Millisecond)
		w.refuseStart, w.answerDelay = nil, 0
		s := w.workers[(*sent).Worker]
		w.restartUnlisted(s.id)
		s.leaseEnd = w.now.Add(10 * time.Second)
		w.startRun(s, *sent, w.now)
		w.engine.Handle(w.now, &StartAnswered{Start: *sent, Outcome: Accepted, Incarnation: told, Clock: w.now.UnixMilli()})
		w.publishDirectory()
		w.run(15 * time.Second)
		assert.Equal(t, StateCompleted, w.state(id))
		assert.Equal(t, 1, w.starts, "the answer tells incarnation %d", told)
	}
}

func TestAnswerThatDoesNotTellItsIncarnationIsNoSignOfLife(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	sent := w.lastStart(Accepted)
	w.submit("batch", "a", tasks(1, 1000, 5*time.Second))
	w.run(100 * time.Millisecond)
	s := w.engine.workers["w00"]
	s.missedRenewals = 1
	w.engine.Handle(w.now, &StartAnswered{Start: *sent, Outcome: Accepted, Clock: w.now.UnixMilli()})
	assert.Zero(t, s.missedRenewals)
}

// The directory still lists a worker after another one has taken its address.
func TestReplacedWorkerIsAskedAgainAfterEachChangeOfTheDirectory(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	w.restartUnlisted("w00")
	stale := w.directory()
	stale[0].Incarnation = 1
	w.run(3 * time.Second)
	var log bytes.Buffer
	w.engine.log = slog.New(slog.NewJSONHandler(&log, nil))
	for range 20 {
		w.engine.Handle(w.now, &WorkersListed{Workers: stale})
		w.run(100 * time.Millisecond)
	}
	assert.NotContains(t, log.String(), "worker restarted")
	assert.NotContains(t, log.String(), "worker replaced")
	w.publishDirectory()
	w.run(time.Second)
	assert.True(t, w.engine.workers["w00"].usable(w.now), "the restarted worker is used")
}

// A worker comes back at the address where another one had answered, and then leaves the
// directory while it runs tasks.
func TestLeasesOfAWorkerThatCameBackAreNotRenewed(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.restartUnlisted("w00")
	w.run(3 * time.Second)
	w.publishDirectory()
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(2, 1000, 20*time.Second))
	w.run(time.Second)
	w.engine.Handle(w.now, &WorkersListed{})
	w.run(8 * time.Second)
	w.publishDirectory()
	w.run(30 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 2, w.starts)
}

// A worker accepts a start after an unseen restart, which its clock shows, and is cut off.
func TestLeaseOfAnUnknownIncarnationExpiresTooSoon(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(15 * time.Second)
	sent := w.lastStart(NoAnswer)
	w.answerDelay = time.Minute
	id := w.submit("batch", "a", tasks(1, 1000, 9*time.Second))
	w.run(50 * time.Millisecond)
	w.refuseStart, w.answerDelay = nil, 0
	s := w.workers[(*sent).Worker]
	w.restartUnlisted(s.id)
	s.leaseEnd = w.now.Add(simConfig().MaxLease)
	w.startRun(s, *sent, w.now)
	w.engine.Handle(w.now, &StartAnswered{Start: *sent, Outcome: Accepted, Clock: 500})
	s.unreachable = true
	w.run(40 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}
