package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// refusals are the outcomes by which a worker refuses a start command without effect.
var refusals = []CommandOutcome{DeadlinePassed, NoCapacity, BadTicket, Unhealthy, Invalid}

// refuseRepeats has workers refuse every start command for a run but the first.
func refuseRepeats(outcome CommandOutcome) func(*Start, int) CommandOutcome {
	return func(_ *Start, number int) CommandOutcome {
		if number > 1 {
			return outcome
		}
		return Accepted
	}
}

func TestRefusedRepeatOfAStartEndsARunThatItsWorkerHas(t *testing.T) {
	for _, outcome := range refusals {
		t.Run(outcome.String(), func(t *testing.T) {
			w := newWorld(t, 3, 3)
			w.run(time.Second)
			w.lostStartAnswers = 1
			w.refuseStart = refuseRepeats(outcome)
			id := w.submit("advised", "a", tasks(1, 1000, 2*time.Second))
			w.run(15 * time.Second)
			assert.Equal(t, StateCompleted, w.state(id))
		})
	}
}

// The worker's process has ended since its last answer.
func TestStartThatWasNeverSentWaitsForItsWorker(t *testing.T) {
	w := newWorld(t, 2, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	for _, id := range w.ids[:1] {
		n.crash(id, time.Minute)
	}
	ids := []string{w.submit("batch", "a", tasks(1, 5000, time.Second)), w.submit("batch", "a", tasks(1, 5000, time.Second))}
	w.run(4 * time.Second)
	for _, id := range ids {
		assert.Equal(t, StateCompleted, w.state(id))
	}
}

func TestRefusedRepeatOfAStartLetsTheFirstStartTheTaskLater(t *testing.T) {
	for _, outcome := range refusals {
		t.Run(outcome.String(), func(t *testing.T) {
			w := newWorld(t, 3, 3)
			w.run(time.Second)
			w.lostStarts = 1
			w.refuseStart = func(a *Start, number int) CommandOutcome {
				if a.Run == 1 && number == 1 {
					return outcome // the first command is carried out later, after the repeat
				}
				return Accepted
			}
			id := w.submit("advised", "a", tasks(1, 1000, 8*time.Second))
			w.run(25 * time.Second)
			assert.Equal(t, StateCompleted, w.state(id))
			assert.Equal(t, 1, w.starts)
		})
	}
}

func TestRefusedRepeatOfAStartEndsARunThatWasReported(t *testing.T) {
	for _, outcome := range refusals {
		t.Run(outcome.String(), func(t *testing.T) {
			w := newWorld(t, 3, 3)
			w.run(time.Second)
			w.answerDelay = 400 * time.Millisecond // the report comes before the refusal
			w.lostStartAnswers = 1
			w.refuseStart = refuseRepeats(outcome)
			id := w.submit("advised", "a", tasks(1, 1000, 2*time.Second))
			w.run(4 * time.Second)
			assert.Equal(t, StateCompleted, w.state(id))
			assert.Equal(t, 1, w.starts)
		})
	}
}

// A worker lists the success of a run that the engine has given up, while another run of the
// task is under way.
func TestAcknowledgedSuccessOfAnUnknownRunIsIgnored(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 5*time.Second))
	w.run(500 * time.Millisecond)
	task := id + ".0.0.0"
	other := w.workers["w01"]
	if other.runs[task] != nil {
		other = w.workers["w00"]
	}
	other.lastEnd++
	other.ended = append(other.ended, RunEnd{Number: other.lastEnd, Task: task, Run: 1, Reason: EndedDone})
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.starts)
	assert.Empty(t, w.tasks[task].runs, "the other run is stopped")
}

func TestUnansweredStartEndsARunThatWasReported(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.run(time.Second)
	w.lostStartAnswers = 2
	id := w.submit("batch", "a", tasks(1, 1000, 2*time.Second))
	w.run(4 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.starts)
}

// A worker lists so many ends that a report has no room for the newest.
func TestRunWhoseEndIsLeftOutOfAReportCountsAsMissing(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(800 * time.Millisecond)
	s := w.engine.workers["w00"]
	cut := &Report{Incarnation: 1, Clock: w.now.UnixMilli(), MoreEnds: true}
	w.engine.Handle(w.now, &RenewalAnswered{Worker: s.id, Incarnation: 1, SentAt: w.now, Report: cut})
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.starts)
}

func TestAcknowledgedFailureOfAnUnknownRunIsNotCounted(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("urgent", "a", tasks(1, 1000, 5*time.Second)) // two attempts
	w.run(500 * time.Millisecond)
	s := w.workers["w01"]
	for range 2 {
		s.lastEnd++
		s.ended = append(s.ended, RunEnd{Number: s.lastEnd, Task: id + ".0.0.0", Run: 1 + int(s.lastEnd), Reason: EndedFailed})
	}
	w.run(3 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 1, w.starts)
}

// The next incarnation of the worker carries the first command out while the task is done.
func TestLateStartAfterARestartRunsATaskThatIsDone(t *testing.T) {
	w := newWorld(t, 2, 1)
	n := w.useNetwork(1)
	n.restartsKeepID, n.untold = true, true
	w.run(time.Second)
	for _, id := range w.ids {
		n.links[id].lateRatio = 1
	}
	ids := []string{w.submit("batch", "a", tasks(1, 5000, time.Second)), w.submit("batch", "a", tasks(1, 5000, time.Second))}
	w.run(100 * time.Millisecond)
	for _, id := range w.ids {
		n.links[id].clear()
	}
	w.run(1500 * time.Millisecond)
	for _, id := range w.ids {
		n.restart(id, 10*time.Millisecond, 0)
	}
	w.run(20 * time.Second)
	for _, id := range ids {
		assert.Equal(t, StateCompleted, w.state(id))
	}
	assert.Equal(t, len(ids), w.starts)
}
