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
