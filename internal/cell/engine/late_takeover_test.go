package engine

import (
	"fmt"
	"testing"
	"time"

	"pollenbend/internal/cell/job"

	"github.com/stretchr/testify/assert"
)

// lateTakeover is a schedule in which a command of an earlier leader reaches a later incarnation of a
// worker that the next leader does not reach.
type lateTakeover struct {
	w *world
	n *network
	s *simWorker // w00, to which the command is sent
}

// newLateTakeover has a leader send a start command to w00 that is carried out 2 to 12 s late. The
// clock of w00 is far ahead of that of its next incarnation. The id is that of the job.
func newLateTakeover(t *testing.T, seed uint64) (*lateTakeover, string) {
	w := newWorld(t, 2, seed)
	n := w.useNetwork(seed)
	n.restartsKeepID = true
	l := &lateTakeover{w: w, n: n, s: w.workers["w00"]}
	n.startClock(l.s, 400_000)
	w.run(time.Second)
	n.cut("w01", 8*time.Second) // until the next leader has begun
	w.run(3 * time.Second)
	n.links["w00"].lateRatio = 1
	first := w.submit("batch", "a", tasks(1, 1000, 15*time.Second))
	w.run(100 * time.Millisecond)
	n.links["w00"].lateRatio = 0
	return l, first
}

// takeOver begins the term of a leader whose calls to w00 are lost after the given time.
func (l *lateTakeover) takeOver(reached time.Duration) {
	l.w.startLeader()
	l.w.run(reached)
	l.n.links["w00"].lostRatio = 1
}

// finish reaches w00 again after all leases have ended, and checks that the jobs complete. The rules of
// the world find tasks that run in two places.
func (l *lateTakeover) finish(ids ...string) {
	l.w.run(26 * time.Second)
	l.n.links["w00"].clear()
	l.w.run(50 * time.Second)
	for _, id := range ids {
		assert.Equal(l.w.t, StateCompleted, l.w.state(id))
	}
}

// The late command extends the lease of a task that the next incarnation has started since.
func TestLateCommandOfAnEarlierLeaderExtendsLeasesUnseen(t *testing.T) {
	for seed := range uint64(11) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l, first := newLateTakeover(t, seed)
			l.n.restart("w00", 0, 0)
			l.w.run(time.Second)
			second := l.w.submit("batch", "a", tasks(1, 1000, 30*time.Second))
			l.w.run(500 * time.Millisecond)
			l.takeOver(0)
			l.finish(first, second)
		})
	}
}

// The same with tasks of one step, of which the record tells that all of them have started.
func TestLateCommandOfAnEarlierLeaderExtendsLeasesOfStepsThatStarted(t *testing.T) {
	for seed := range uint64(11) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l, first := newLateTakeover(t, seed)
			l.n.restart("w00", 0, 0)
			l.w.run(time.Second)
			l.w.runtime = func(ref job.TaskRef, step *job.Step) time.Duration {
				if step.Count == 2 && ref.Index == 0 {
					return 300 * time.Millisecond
				}
				return step.Estimate
			}
			second := l.w.submit("batch", "a", tasks(2, 1000, 30*time.Second))
			l.w.run(700 * time.Millisecond) // the first task is done, so the record is written again
			l.takeOver(0)
			l.finish(first, second)
		})
	}
}

// The late command starts its task in the next incarnation, which may begin before the takeover or
// after it, and may be listed or not. The next leader may have stopped the run in the incarnation
// before.
func TestLateStartOfAnEarlierLeaderAfterARestart(t *testing.T) {
	for _, c := range []struct {
		name    string
		restart time.Duration // after the takeover
		listed  time.Duration // delay until the directory tells of the restart
		reached time.Duration // how long the next leader reaches the worker
	}{
		{"restart before the takeover", -100 * time.Millisecond, time.Minute, 0},
		{"restart after the takeover", 500 * time.Millisecond, time.Minute, 0},
		{"restart that is listed at once", 500 * time.Millisecond, 0, 0},
		{"restart that is listed when the start cannot arrive any more", 500 * time.Millisecond, 12600 * time.Millisecond, 0},
		{"restart after the run was stopped", 500 * time.Millisecond, time.Minute, 400 * time.Millisecond},
	} {
		for seed := range uint64(11) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				l, first := newLateTakeover(t, seed)
				l.w.after(500*time.Millisecond+c.restart, func() { l.n.restart("w00", 0, c.listed) })
				l.w.run(500 * time.Millisecond)
				l.takeOver(c.reached)
				l.finish(first)
			})
		}
	}
}

// The record tells when a run was planned by the clock of another instance, which may differ by twice
// the greatest error.
func TestRunsThatLateCommandsOfEarlierLeadersConcern(t *testing.T) {
	w := newWorld(t, 1, 1)
	e := w.engine
	oldest := 2*e.cfg.MaxCommandDelay + maxPlanAge + 12*time.Second
	planned := func(age time.Duration) int64 { return w.now.Add(-age).UnixMilli() }
	assert.True(t, e.newAtTakeover(0), "not known")
	assert.True(t, e.newAtTakeover(planned(-12*time.Second)), "later than now by the clock of this leader")
	assert.True(t, e.newAtTakeover(planned(time.Second)))
	assert.True(t, e.newAtTakeover(planned(oldest)))
	assert.False(t, e.newAtTakeover(planned(oldest+time.Millisecond)))
}

// A step has a run that may not have started and one that was planned after it and has started.
func TestRecordTellsTheNewestPlanWhileAStartIsOpen(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(2, 1000, 5*time.Second))
	w.run(100 * time.Millisecond)
	s := w.engine.jobs[id].occurrenceAt(0).steps[0]
	open, started := s.tasks[0].runs[0], s.tasks[1].runs[0]
	open.startSettled, open.plannedAt, started.startSettled, started.plannedAt = false, 1, true, 2
	assert.EqualValues(t, 2, newestPlan(s.tasks))
	open.startSettled = true
	assert.Zero(t, newestPlan(s.tasks))
}

// No late command concerns a run that was planned long before the takeover.
func TestOldRunsOnAnUnreachedWorkerWaitForTheLongestLeaseOnly(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.useNetwork(1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 2*time.Minute))
	w.run(2*w.engine.cfg.MaxCommandDelay + maxPlanAge + 2*maxClockSkew + time.Second)
	task := w.tasks[taskName(id, 0, 0)]
	first := sortedKeys(task.runs)[0]
	w.workers[first].unreachable = true
	w.startLeader()
	w.run(w.engine.longestLease() + time.Second)
	assert.Equal(t, 2, task.lastRun, "it runs elsewhere")
}
