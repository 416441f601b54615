package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// newPool returns a pool of workers of 32 cores.
func newPool(workers int) *pool {
	p := &pool{}
	for i := range workers {
		w := newWorker(fmt.Sprintf("w%d", i))
		w.listed, w.reported, w.pool = true, true, p
		w.capacity = job.Resources{CPU: 32_000}
		p.workers = append(p.workers, w)
		p.add(w)
	}
	return p
}

// After any changes of their use, both orders visit each worker once, by whole free cores.
func TestPoolOrdersWorkersByFreeCPU(t *testing.T) {
	p := newPool(50)
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		w := p.workers[r.IntN(len(p.workers))]
		w.setUsed(job.Resources{CPU: r.Int64N(40_000)}) // some are overcommitted
	}
	seen := make(map[*worker]bool)
	previous := maxIndexedCores
	for w := range p.mostFree() {
		cores := coresFree(w.free().CPU)
		require.LessOrEqual(t, cores, previous)
		previous = cores
		seen[w] = true
	}
	assert.Len(t, seen, 50)
	fit := 0
	previous = 10
	for w := range p.leastFree(10_000, []int{0}) {
		cores := coresFree(w.free().CPU)
		require.GreaterOrEqual(t, cores, previous)
		previous = cores
		fit++
	}
	want := 0
	for _, w := range p.workers {
		if w.free().CPU >= 10_000 {
			want++
		}
	}
	assert.Equal(t, want, fit)
	p.measure(time.Unix(1, 0))
	assert.Equal(t, int64(50*32_000), p.capacity)
}

// On a large fleet a step is placed on workers where it leaves the least CPU unused, and
// workers that are slow are avoided while others have room.
func TestBestFittingSampleAvoidsSlowWorkers(t *testing.T) {
	w := newWorld(t, 600, 1)
	w.run(time.Second)
	for i, id := range w.ids {
		if i%3 == 0 {
			w.engine.workers[id].health.failures = 2
		}
	}
	id := w.submit("batch", "a", tasks(30, 2000, time.Second))
	w.run(100 * time.Millisecond)
	for _, task := range w.engine.jobs[id].occurrences[0].steps[0].tasks {
		require.Len(t, task.runs, 1)
		assert.Zero(t, task.runs[0].worker.health.failures)
	}
}
