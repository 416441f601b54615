package engine

import (
	"math"

	"pollenbend/internal/cell/job"
)

// window bounds the waiting work that a placement round tries. Each usable worker adds to it in
// proportion to its CPU. A confined step, see isConfined, draws only on what those workers have added
// on which its tasks wait for CPU, and so leaves the rest of the window to the steps behind it.
type window struct {
	idle   bool                // at least half of the CPU is free, so what can't be placed may not wait for CPU
	left   int64               // CPU of the waiting tasks that may still be tried, in thousandths of a core
	shared float64             // part of what each worker has added that the other steps have left
	drawn  map[*worker]float64 // part of it that the confined steps have left; 1 for a worker without an entry
}

const (
	// windowFreeRatio and windowCapacityRatio are what a worker adds, relative to its free and
	// to its total CPU. Together that is enough work to use the CPU that is free and that
	// becomes free while an adviser answers.
	windowFreeRatio     = 1.5
	windowCapacityRatio = 0.15
)

// newWindow returns the window of a round on the workers of a pool that was just measured.
func newWindow(p *pool) window {
	return window{idle: 2*p.free >= p.capacity, left: int64(windowFreeRatio*float64(p.free) + windowCapacityRatio*float64(p.capacity)), shared: 1}
}

// drawShared draws the given CPU on all workers.
func (v *window) drawShared(cpu int64) {
	if v.left <= 0 {
		return
	}
	cpu = min(max(1, cpu), v.left)
	v.shared *= 1 - float64(cpu)/float64(v.left)
	v.left -= cpu
}

// drawOn draws the given CPU on some workers, at most what they have left.
func (v *window) drawOn(workers []*worker, cpu int64) {
	total := 0.0
	for _, w := range workers {
		total += v.leftOf(w)
	}
	cpu = min(cpu, int64(math.Ceil(total)), v.left)
	if cpu <= 0 {
		return
	}
	if v.drawn == nil {
		v.drawn = make(map[*worker]float64, len(workers))
	}
	for _, w := range workers {
		v.drawn[w] = v.undrawn(w) * max(0, 1-float64(cpu)/total)
	}
	v.left -= cpu
}

// undrawn returns the part of what w has added that drawOn has left.
func (v *window) undrawn(w *worker) float64 {
	if part, known := v.drawn[w]; known {
		return part
	}
	return 1
}

// leftOf returns what is left of what w has added, in thousandths of a core.
func (v *window) leftOf(w *worker) float64 {
	if w.pool == nil || w.poolOrder >= len(w.pool.added) {
		return 0
	}
	return w.pool.added[w.poolOrder] * v.shared * v.undrawn(w)
}

// draw draws the first waiting tasks of s on the window of the round: those that were placed on the
// workers with the chosen indexes, and of the others as many as wait for CPU alone. examined reports
// that the round has looked for workers.
func (e *Engine) draw(s *stepState, round *placementRound, tasks int, workers []*worker, chosen []int, examined bool) {
	unplaced := tasks - len(chosen)
	if !e.isConfined(s, round.pool, unplaced) && !(round.window.idle && examined && unplaced > 0) {
		round.window.drawShared(s.charge.CPU * int64(tasks))
		return
	}
	for _, i := range chosen {
		round.window.drawOn(workers[i:i+1], s.charge.CPU)
	}
	if unplaced == 0 {
		return
	}
	atOnce := 0
	e.drawBuffer = e.drawBuffer[:0]
	for _, w := range round.workers {
		if !w.usable(e.now) || !w.canHold(s.spec) || !s.waitsForCPU(w) {
			continue
		}
		if n := tasksThatFit(s, w, w.capacity); n > 0 {
			atOnce += n
			e.drawBuffer = append(e.drawBuffer, w)
		}
	}
	round.window.drawOn(e.drawBuffer, s.charge.CPU*int64(min(unplaced, atOnce)))
}

// isConfined reports whether s may use only some of the workers, or may not run the given number of further
// tasks at the same time, as memory or GPUs leave much of the CPU unused or for its maximum per worker.
func (e *Engine) isConfined(s *stepState, p *pool, tasks int) bool {
	switch perWorker := s.charge.CountIn(p.leastCapacity, job.MaxTasks); {
	case !p.allCanHold(s.spec):
		return true
	case s.charge.CPU > 0 && s.charge.CPU*int64(perWorker) <= p.leastCapacity.CPU/2 && perWorker*len(p.workers) < tasks:
		return true
	case s.spec.MaxPerWorker == 0:
		return false
	}
	for _, w := range p.workers {
		if tasks > 0 && w.usable(e.now) {
			tasks -= max(0, s.spec.MaxPerWorker-s.tasksOn(w))
		}
	}
	return tasks > 0
}

// allCanHold reports whether each usable worker could run a task of s if it were idle.
func (p *pool) allCanHold(s *job.Step) bool { return s.Label == "" && s.Charge().Fits(p.leastCapacity) }

// waitsForCPU reports whether a task of s may get a place on w by what becomes free of its CPU. It
// may not if memory or GPUs keep it from free CPU, or if the task needs most of the CPU of a worker
// that is half idle.
func (s *stepState) waitsForCPU(w *worker) bool {
	free := w.capacity.Sub(w.used)
	if s.charge.CPU <= free.CPU {
		return s.charge.Fits(free)
	}
	return free.CPU < w.capacity.CPU/2
}

// addToWindow notes what a usable worker adds to the windows of the next rounds.
func (p *pool) addToWindow(w *worker) {
	p.added[w.poolOrder] = windowFreeRatio*float64(max(0, w.capacity.CPU-w.used.CPU)) + windowCapacityRatio*float64(w.capacity.CPU)
	least := &p.leastCapacity
	least.CPU, least.MemMB, least.GPU = min(least.CPU, w.capacity.CPU), min(least.MemMB, w.capacity.MemMB), min(least.GPU, w.capacity.GPU)
}

// unbounded is more than any worker has.
var unbounded = job.Resources{CPU: math.MaxInt64, MemMB: math.MaxInt64, GPU: math.MaxInt64}
