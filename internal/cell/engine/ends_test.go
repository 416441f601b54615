package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// A worker lists 500 ends at a time. The runs whose ends follow are not missing, also
// while the store is slow to take the first ones.
func TestRunsWithEndsBeyondOneReportAreStartedAgain(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.useNetwork(1)
	for _, id := range w.ids {
		w.workers[id].capacity = job.Resources{CPU: 700_000, MemMB: 700_000}
	}
	w.publishDirectory()
	w.run(time.Second)
	w.workers["w01"].unreachable = true
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(600, 1000, time.Second))
	w.run(500 * time.Millisecond)
	w.workers["w00"].unreachable = true
	w.run(2 * time.Second)
	w.storeHangs = true
	w.workers["w00"].unreachable, w.workers["w01"].unreachable = false, false
	w.run(2 * time.Second)
	w.storeHangs = false
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 600, w.starts)
}
