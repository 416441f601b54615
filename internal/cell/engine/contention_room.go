package engine

import (
	"math"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
)

// room is the free capacity of the workers of a service at the last measurement.
type room struct {
	workers []roomWorker // with free CPU or with tasks that need none; those with the most whole cores free first
	// capacity holds the number of workers by their capacity, for each label that
	// jobs have asked for. The empty label stands for all workers.
	capacity map[string]map[job.Resources]int64
}

// roomWorker is a usable worker.
type roomWorker struct {
	free   job.Resources // without what is held or reserved for gangs
	unheld job.Resources // free, and what is held for gangs
	*worker
}

// measure sets the room to that on the workers of p.
func (r *room) measure(p *pool, now time.Time) {
	r.workers = slices.Grow(r.workers[:0], len(p.workers))
	clear(r.capacity)
	for w := range p.mostFree() {
		if w.usable(now) && !w.overcommitted() {
			r.workers = append(r.workers, roomWorker{w.free(), w.capacity.Sub(w.used), w})
		}
	}
}

// roomOf returns the room of a service and creates it on first use.
func (e *Engine) roomOf(service string) *room {
	r := e.contention.rooms[service]
	if r == nil {
		r = &room{capacity: make(map[string]map[job.Resources]int64)}
		e.contention.rooms[service] = r
	}
	return r
}

// capacityFor returns the cores of the workers that could run a task of s if they were idle,
// and the part of these that such tasks would use if nothing else ran.
func (r *room) capacityFor(s *job.Step, p *pool, now time.Time) (sum, packed float64) {
	charge, all, used := s.Charge(), int64(0), int64(0)
	for capacity, count := range r.workersByCapacity(s.Label, p, now) {
		if !charge.Fits(capacity) {
			continue
		}
		all += count * capacity.CPU
		if charge.CPU > 0 {
			used += count * charge.CPU * int64(charge.CountIn(capacity, math.MaxInt))
		} else {
			used += count * capacity.CPU
		}
	}
	return float64(all) / 1000, float64(used) / 1000
}

// workersByCapacity returns the number of workers with a label by their capacity, of all workers for
// an empty label.
func (r *room) workersByCapacity(label string, p *pool, now time.Time) map[job.Resources]int64 {
	byCapacity := r.capacity[label]
	if byCapacity == nil {
		byCapacity = make(map[job.Resources]int64)
		for _, w := range p.workers {
			if !w.draining && !w.evacuated && w.missedRenewals == 0 && !w.health.quarantined(now) && (label == "" || slices.Contains(w.labels, label)) {
				byCapacity[w.capacity]++
			}
		}
		r.capacity[label] = byCapacity
	}
	return byCapacity
}

// coresFor returns the free cores that tasks like those of s can use, at least up to enough
// if there are so many. unheld counts what is held for gangs too.
func (r *room) coresFor(s *job.Step, unheld bool, enough float64) float64 {
	charge := s.Charge()
	cores, atOnce := float64(charge.CPU)/1000, s.Count
	if s.MaxPerWorker > 0 {
		atOnce = min(atOnce, s.MaxPerWorker)
	}
	if cores <= 0 {
		return math.Inf(1) // CPU does not limit it
	}
	sum := 0.0
	for i := range r.workers {
		w := &r.workers[i]
		if coresFree(w.unheld.CPU) < coresFree(charge.CPU) {
			break
		}
		free := w.free
		if unheld {
			free = w.unheld
		}
		n := charge.CountIn(free, atOnce)
		if n == 0 || s.Label != "" && !slices.Contains(w.labels, s.Label) {
			continue
		}
		if sum += cores * float64(n); sum >= enough {
			break
		}
	}
	return sum
}
