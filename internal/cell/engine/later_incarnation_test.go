package engine

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
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

// Guards against an entry of another writer with a service that is not declared, over that of a known worker: what it says
// of the incarnation, the address and the capacity was believed.
func TestEntryWithAnUndeclaredServiceIsBelieved(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.useNetwork(1).restartsKeepID = true
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 6*time.Second))
	w.run(2 * time.Second)
	on := w.engine.workers[sortedKeys(w.tasks[taskName(id, 0, 0)].runs)[0]]
	odd := w.directory()
	for i := range odd {
		odd[i].Service, odd[i].Incarnation, odd[i].Address = "nowhere", math.MaxInt64, "10.9.9.9:9"
	}
	address := on.address
	w.engine.Handle(w.now, &WorkersListed{Workers: odd})
	assert.Equal(t, []any{int64(1), address, "s"}, []any{on.incarnation, on.address, on.service})
	assert.False(t, on.listed, "the entry names no worker to use")
	w.run(time.Second)
	w.publishDirectory()
	w.run(6 * time.Second)
	assert.Equal(t, "completed", w.state(id))
	assert.Equal(t, 1, w.starts)
}

// A worker may list itself under a service before the declarations name that.
func TestEntryWithAServiceThatIsDeclaredLaterIsLost(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	moved := w.directory()
	moved[0].Service = "later"
	w.engine.Handle(w.now, &WorkersListed{Workers: moved})
	assert.False(t, w.engine.workers[moved[0].ID].listed)
	declared := *w.policy
	declared.Version++
	declared.Services = append([]policy.Service{{Name: "later"}}, declared.Services...)
	w.engine.Handle(w.now, &PolicyChanged{Policy: declared.Index()})
	assert.True(t, w.engine.workers[moved[0].ID].listed)
	assert.Equal(t, "later", w.engine.workers[moved[0].ID].service)
}
