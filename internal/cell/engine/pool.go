package engine

import (
	"iter"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/placement"
)

// pool holds the listed workers of a service, indexed by their free CPU, so that a
// placement round on a large fleet visits only workers that may hold a task.
type pool struct {
	workers []*worker // in the order in which they were found
	// byFreeCPU[class][i] holds the workers of a speed class with i to i+1 cores free; the
	// first list also holds overcommitted workers, the last one all with more.
	byFreeCPU [][maxIndexedCores + 1][]*worker
	speeds    placement.Classes // of the workers
	speedsAt  time.Time         // when they were last divided into classes

	nextPassedOver int // index in placementRound.passedOver at which the next round goes on

	urgent taskArrivals // of the highest priority

	measuredAt    time.Time
	free          int64         // CPU that was free on usable workers at measuredAt, in thousandths of a core
	capacity      int64         // CPU of these workers, in thousandths of a core
	leastCapacity job.Resources // least capacity of them in each resource
	added         []float64     // what each worker adds to the window of a round, in the order of workers; replaced by each measurement
}

const (
	// maxIndexedCores is the number of free cores from which workers share a list.
	maxIndexedCores = 64
	// poolMeasureInterval is the minimum interval between two measurements of a pool.
	poolMeasureInterval = 20 * time.Millisecond
)

// rebuildPools assigns every listed worker to the pool of its service.
func (e *Engine) rebuildPools() {
	before := e.pools
	e.pools = make(map[string]*pool)
	for _, w := range e.workerList {
		w.pool = nil
		if !w.listed {
			continue
		}
		p := e.poolOf(w.service)
		if old := before[w.service]; old != nil && len(p.workers) == 0 {
			p.speeds, p.speedsAt, p.urgent = old.speeds, old.speedsAt, old.urgent
		}
		w.pool, w.speedClass = p, 0
		if e.cfg.Features.SpeedPlacement {
			w.speedClass = p.speeds.ClassOf(e.modelSlowness(w))
		}
		w.poolOrder = len(p.workers)
		p.workers = append(p.workers, w)
		p.add(w)
	}
}

// poolOf returns the pool of a service and creates it on first use.
func (e *Engine) poolOf(service string) *pool {
	p := e.pools[service]
	if p == nil {
		p = &pool{}
		e.pools[service] = p
	}
	return p
}

// measuredPool returns the pool of a service with a measurement, which may be some rounds old.
func (e *Engine) measuredPool(service string) *pool {
	p := e.poolOf(service)
	if p.measuredAt.IsZero() {
		p.measure(e.now)
	}
	return p
}

// coresFree returns the index in byFreeCPU of a worker with the given free CPU, in
// thousandths of a core.
func coresFree(cpu int64) int { return int(min(maxIndexedCores, max(0, cpu/1000))) }

// add adds w to the list for its class and its free CPU.
func (p *pool) add(w *worker) {
	for len(p.byFreeCPU) <= w.speedClass {
		p.byFreeCPU = append(p.byFreeCPU, [maxIndexedCores + 1][]*worker{})
	}
	lists := &p.byFreeCPU[w.speedClass]
	w.poolIndex = coresFree(w.capacity.CPU - w.used.CPU)
	w.poolSlot = len(lists[w.poolIndex])
	lists[w.poolIndex] = append(lists[w.poolIndex], w)
}

// remove removes w from its list.
func (p *pool) remove(w *worker) {
	lists := &p.byFreeCPU[w.speedClass]
	list := lists[w.poolIndex]
	last := list[len(list)-1]
	list[w.poolSlot], last.poolSlot = last, w.poolSlot
	lists[w.poolIndex] = list[:len(list)-1]
}

// update moves w to the list for its free CPU after its use has changed.
func (p *pool) update(w *worker) {
	if coresFree(w.capacity.CPU-w.used.CPU) == w.poolIndex {
		return
	}
	p.remove(w)
	p.add(w)
}

// classSize returns the number of workers of a class.
func (p *pool) classSize(class int) int {
	n := 0
	if class < len(p.byFreeCPU) {
		for _, list := range p.byFreeCPU[class] {
			n += len(list)
		}
	}
	return n
}

// mostFree iterates over the workers, those with the most whole cores free first.
func (p *pool) mostFree() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := maxIndexedCores; i >= 0; i-- {
			for class := range p.byFreeCPU {
				for _, w := range p.byFreeCPU[class][i] {
					if !yield(w) {
						return
					}
				}
			}
		}
	}
}

// mostFreeOf iterates over the workers of a class, those with the most whole cores free first.
func (p *pool) mostFreeOf(class int) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := maxIndexedCores; i >= 0 && class < len(p.byFreeCPU); i-- {
			for _, w := range p.byFreeCPU[class][i] {
				if !yield(w) {
					return
				}
			}
		}
	}
}

// leastFree iterates over the workers of the classes, in their order, with at least the given
// CPU free, in thousandths of a core, rounded down to whole cores, those of a class with the
// least CPU free first.
func (p *pool) leastFree(cpu int64, classes []int) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, class := range classes {
			for i := coresFree(cpu); i <= maxIndexedCores && class < len(p.byFreeCPU); i++ {
				for _, w := range p.byFreeCPU[class][i] {
					if !yield(w) {
						return
					}
				}
			}
		}
	}
}

// mostFreeCPU returns the largest free CPU of a usable worker, in thousandths of a core.
func (p *pool) mostFreeCPU(now time.Time) int64 {
	most, index := int64(0), 0
	for w := range p.mostFree() {
		if most > 0 && w.poolIndex < index {
			break
		}
		if w.usable(now) {
			most, index = max(most, w.free().CPU), w.poolIndex
		}
	}
	return most
}

// measure updates what is free and what a round may try unless that is recent.
func (p *pool) measure(now time.Time) {
	if now.Sub(p.measuredAt) < poolMeasureInterval {
		return
	}
	p.measuredAt, p.free, p.capacity = now, 0, 0
	p.leastCapacity, p.added = unbounded, make([]float64, len(p.workers))
	for _, w := range p.workers {
		if w.usable(now) {
			p.free += max(0, w.capacity.CPU-w.used.CPU)
			p.capacity += w.capacity.CPU
			p.addToWindow(w)
		}
	}
}
