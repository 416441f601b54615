package engine

import (
	"cmp"
	"slices"
	"time"
)

// shortestNewRun returns the expected run time of a new run of r's task on the fastest worker
// that a speculative run may use.
func (e *Engine) shortestNewRun(r *run) time.Duration {
	if !e.cfg.Features.SpeedPlacement || r.worker.pool == nil {
		return e.runtimeOf(r.task.step).median // on its own worker it would excuse a slow one
	}
	return scale(e.runtimeOf(r.task.step).median, r.worker.pool.speeds.Slowness(0))
}

// fasterWorkers returns those of workers to which a speculative run for r may go, the fastest
// first: those that are faster than the worker of r and on which a new run is expected to end
// well before r. No worker is faster than those of the fastest class, so another one of that class
// is enough for a run on one of them.
func (e *Engine) fasterWorkers(r *run, workers []*worker) []*worker {
	remaining, known := e.remainingTime(r)
	if !e.cfg.Features.SpeedPlacement || !known {
		return workers
	}
	faster := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		newRun := scale(e.runtimeOf(r.task.step).median, w.classSlowness())
		return w.speedClass > 0 && w.speedClass >= r.worker.speedClass || float64(remaining) <= speculationMinRatio*float64(newRun)
	})
	slices.SortStableFunc(faster, func(a, b *worker) int { return cmp.Compare(a.speedClass, b.speedClass) })
	return faster
}
