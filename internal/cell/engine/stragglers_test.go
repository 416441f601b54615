package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A run makes no progress while its worker reports itself as healthy.
func TestStalledRunStartsElsewhere(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 2*time.Second))
	w.run(time.Second)
	w.workers["w01"].slowdown = 1e6
	w.run(9 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestSlowRunGetsASpeculativeRun(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	step := tasks(3, 6000, 3*time.Second)
	step.Speculative = true
	w.workers["w01"].slowdown = 6
	id := w.submit("batch", "a", step)
	w.run(9 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id), "the speculative run ends long before the slow run")
	assert.Equal(t, 4, w.starts)
}

// The members of a gang work only in runs of the same number: copies of single ones end alone.
func TestSlowMembersOfAGangAreCopiedAlone(t *testing.T) {
	for name, slow := range map[string][]string{"all of them": {"w00", "w01", "w02", "w03"}, "one of them": {"w01"}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4, 1)
			w.run(time.Second)
			step := gang(3, 6000, 2*time.Second) // fills three of the four workers
			step.Speculative = true
			for _, id := range slow {
				w.workers[id].slowdown = 6
			}
			id := w.submit("batch", "a", step)
			w.run(14 * time.Second)
			assert.Equal(t, StateCompleted, w.state(id))
			assert.Equal(t, 3, w.starts)
		})
	}
}

// planCopy plans run 2 of a task on a worker that has no run.
func (w *world) planCopy(t *task) {
	for _, other := range w.engine.workerList {
		if len(other.runs) == 0 {
			w.engine.planRun(t, other, 2, ticket{})
			return
		}
	}
	w.t.Fatal("each worker has a run")
}

// An earlier version may have started a copy of a member just before the leader ended.
func TestCopyOfAMemberOfAGangGoesOnAfterATakeover(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	step := gang(2, 1000, 4*time.Second)
	step.Speculative = true
	id := w.submit("batch", "a", step)
	w.run(500 * time.Millisecond)
	member := w.engine.jobs[id].occurrenceAt(0).steps[0].tasks[0]
	w.planCopy(member)
	w.run(500 * time.Millisecond)
	w.startLeader()
	member = w.engine.jobs[id].occurrenceAt(0).steps[0].tasks[0]
	assert.Len(t, member.runs, 2)
	w.run(time.Second)
	assert.Len(t, member.runs, 1)
	assert.Equal(t, 1, member.runs[0].number)
	w.run(6 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestDrainingWorkerIsEvacuatedInTime(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	step := tasks(3, 6000, 8*time.Second)
	step.Checkpoints = true
	id := w.submit("batch", "a", step)
	w.run(3 * time.Second)
	w.workers["w01"].draining = true
	w.publishDirectory()
	w.run(1500 * time.Millisecond)
	assert.Empty(t, w.workers["w01"].runs, "stopped with its progress before the worker leaves")
	w.run(15 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestRunNumberOfAnEndedSpeculativeRunIsUsedAgain(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	step := tasks(1, 1000, time.Minute)
	step.Speculative = true
	id := w.submit("batch", "a", step)
	w.run(500 * time.Millisecond)
	task := w.engine.jobs[id].occurrenceAt(0).steps[0].tasks[0]
	w.planCopy(task)
	w.run(500 * time.Millisecond)
	w.engine.stopRun(task.runs[1], "test")
	w.run(time.Second)
	assert.Len(t, task.runs, 1)
	w.startLeader()
	assert.Equal(t, 2, w.engine.jobs[id].occurrenceAt(0).steps[0].tasks[0].lastRun)
}
