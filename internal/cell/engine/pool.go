package engine

import (
	"iter"
	"time"
)

// pool holds the listed workers of a service, indexed by their free CPU, so that a
// placement round on a large fleet visits only workers that may hold a task.
type pool struct {
	workers []*worker // in the order in which they were found
	// byFreeCPU[i] holds the workers with i to i+1 cores free; the first list also
	// holds overcommitted workers, the last one all with more.
	byFreeCPU [maxIndexedCores + 1][]*worker

	nextPassedOver int // index in placementRound.passedOver at which the next round goes on

	measuredAt time.Time
	free       int64 // CPU that was free on usable workers at measuredAt, in thousandths of a core
	capacity   int64 // CPU of these workers, in thousandths of a core
}

const (
	// maxIndexedCores is the number of free cores from which workers share a list.
	maxIndexedCores = 64
	// poolMeasureInterval is the minimum interval between two measurements of a pool.
	poolMeasureInterval = 20 * time.Millisecond
)

// rebuildPools assigns every listed worker to the pool of its service.
func (e *Engine) rebuildPools() {
	e.pools = make(map[string]*pool)
	for _, w := range e.workerList {
		w.pool = nil
		if !w.listed {
			continue
		}
		p := e.poolOf(w.service)
		w.pool = p
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

// coresFree returns the index in byFreeCPU of a worker with the given free CPU, in
// thousandths of a core.
func coresFree(cpu int64) int { return int(min(maxIndexedCores, max(0, cpu/1000))) }

// add adds w to the list for its free CPU.
func (p *pool) add(w *worker) {
	w.poolIndex = coresFree(w.capacity.CPU - w.used.CPU)
	w.poolSlot = len(p.byFreeCPU[w.poolIndex])
	p.byFreeCPU[w.poolIndex] = append(p.byFreeCPU[w.poolIndex], w)
}

// update moves w to the list for its free CPU after its use has changed.
func (p *pool) update(w *worker) {
	if coresFree(w.capacity.CPU-w.used.CPU) == w.poolIndex {
		return
	}
	list := p.byFreeCPU[w.poolIndex]
	last := list[len(list)-1]
	list[w.poolSlot], last.poolSlot = last, w.poolSlot
	p.byFreeCPU[w.poolIndex] = list[:len(list)-1]
	p.add(w)
}

// mostFree iterates over the workers, those with the most whole cores free first.
func (p *pool) mostFree() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := len(p.byFreeCPU) - 1; i >= 0; i-- {
			for _, w := range p.byFreeCPU[i] {
				if !yield(w) {
					return
				}
			}
		}
	}
}

// leastFree iterates over the workers with at least the given CPU free, in thousandths of
// a core, rounded down to whole cores, those with the least CPU free first.
func (p *pool) leastFree(cpu int64) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := coresFree(cpu); i < len(p.byFreeCPU); i++ {
			for _, w := range p.byFreeCPU[i] {
				if !yield(w) {
					return
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

// measure updates free and capacity unless they are recent.
func (p *pool) measure(now time.Time) {
	if now.Sub(p.measuredAt) < poolMeasureInterval {
		return
	}
	p.measuredAt, p.free, p.capacity = now, 0, 0
	for _, w := range p.workers {
		if w.usable(now) {
			p.free += max(0, w.capacity.CPU-w.used.CPU)
			p.capacity += w.capacity.CPU
		}
	}
}
