package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// runningCPU returns the CPU of the runs on a worker.
func (s *simWorker) runningCPU() int64 {
	used := int64(0)
	for _, r := range s.runs {
		used += r.need.CPU
	}
	return used
}

// The worker shrinks between the decision and the start command, while the record is stored.
func TestStartThatWasDecidedBeforeItsWorkerShrankBringsItOverItsCapacity(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.storeDelay = 6 * time.Second
	w.submit("batch", "a", tasks(8, 1000, 20*time.Second))
	w.run(time.Second)
	w.resize("w00", job.Resources{CPU: 3000, MemMB: 16000}, time.Second)
	w.run(15 * time.Second)
	assert.LessOrEqual(t, w.workers["w00"].runningCPU(), int64(3000))
}

// The worker comes back smaller, and a report tells of the restart before the directory does.
func TestRestartedWorkerIsTakenForAsLargeAsBefore(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	s := w.workers["w00"]
	before := w.directory()
	w.restartUnlisted("w00")
	s.capacity = job.Resources{CPU: 2000, MemMB: 4000}
	w.engine.Handle(w.now, &RenewalAnswered{Worker: "w00", Incarnation: 2, SentAt: w.now, Report: &Report{Incarnation: 2, Clock: w.now.UnixMilli()}})
	w.engine.Handle(w.now, &WorkersListed{Workers: before})
	id := w.submit("batch", "a", tasks(4, 1000, 2*time.Second))
	w.run(500 * time.Millisecond)
	assert.Zero(t, s.runningCPU())
	w.publishDirectory()
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// One resource alone shrinks below what runs.
func TestWorkerBeyondOneResourceTakesTasksThatDoNotNeedIt(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.submit("batch", "a", tasks(4, 1000, 20*time.Second))
	w.run(time.Second)
	w.resize("w00", job.Resources{CPU: 8000, MemMB: 300}, 0)
	w.run(5 * time.Second)
	needless := tasks(1, 1000, time.Second)
	needless.Need.MemMB = 0
	w.submit("batch", "a", needless)
	w.run(2 * time.Second)
	assert.EqualValues(t, 4000, w.workers["w00"].runningCPU())
}

// A worker with more in use than its capacity does not take from what is free on others.
func TestShrunkWorkerHidesTheFreeCapacityOfOthers(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	w.submit("batch", "a", tasks(8, 1000, time.Minute))
	w.run(time.Second)
	w.resize("w00", job.Resources{CPU: 100, MemMB: 100}, 0)
	w.resize("w01", job.Resources{CPU: 100, MemMB: 100}, 0)
	w.run(time.Second)
	load := w.engine.loadFor(w.policy.Queue("batch"), &job.Step{Count: 1, Need: job.Resources{CPU: 100}})
	assert.GreaterOrEqual(t, load.Free, 0.0)
}
