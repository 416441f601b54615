package engine

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// tooLargeIncarnations are incarnations of an entry of another writer over that of a worker, whose is 1.
var tooLargeIncarnations = map[string]int64{"near 2^63": math.MaxInt64, "one more": 2}

// overwriteEntry shows the engine an entry of another writer over that of w00, for as long as it takes w00 to
// write its own again.
func overwriteEntry(w *world, incarnation int64) {
	list := w.directory()
	list[0].Incarnation = incarnation
	w.engine.Handle(w.now, &WorkersListed{Workers: list})
	w.run(1500 * time.Millisecond)
	w.publishDirectory()
}

// Guards against an entry of another writer with a too large `born`: the worker's own entries and reports were
// taken for those of an earlier incarnation from then on.
func TestEntryWithATooLargeIncarnationLeavesTheWorkerInUse(t *testing.T) {
	for name, incarnation := range tooLargeIncarnations {
		for load, before := range map[string]bool{"idle": false, "busy": true} {
			t.Run(name+", "+load, func(t *testing.T) {
				w := newWorld(t, 1, 1)
				w.useNetwork(1).restartsKeepID = true
				w.run(time.Second)
				id := ""
				submit := func() { id = w.submit("batch", "a", tasks(1, 1000, 4*time.Second)) }
				if before {
					submit()
					w.run(2 * time.Second)
					require.Equal(t, "running", w.state(id))
				}
				overwriteEntry(w, incarnation)
				if !before {
					submit()
				}
				w.run(14 * time.Second)
				assert.Equal(t, "completed", w.state(id))
				assert.True(t, w.engine.workers["w00"].usable(w.now))
			})
		}
	}
}

// Guards against such an entry that ends a run which goes on, so that its task is started elsewhere beside it. The
// world reports a start beside another run.
func TestEntryWithATooLargeIncarnationStartsNoTaskTwice(t *testing.T) {
	for name, incarnation := range tooLargeIncarnations {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 1)
			w.useNetwork(1).restartsKeepID = true
			w.workers["w01"].capacity = job.Resources{}
			w.publishDirectory()
			w.run(time.Second)
			id := w.submit("batch", "a", tasks(1, 1000, 6*time.Second))
			w.run(2 * time.Second)
			require.Contains(t, w.tasks[taskName(id, 0, 0)].runs, "w00")
			w.workers["w01"].capacity = w.workers["w00"].capacity
			overwriteEntry(w, incarnation)
			w.run(14 * time.Second)
			assert.Equal(t, "completed", w.state(id))
		})
	}
}
