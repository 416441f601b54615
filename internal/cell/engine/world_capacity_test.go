package engine

import (
	"time"

	"pollenbend/internal/cell/job"
)

// shrinkage is a capacity that a worker had until it shrank.
type shrinkage struct {
	before job.Resources
	at     time.Time
}

const (
	// capacityListDelay is the longest time until the directory shows a worker's new capacity.
	capacityListDelay = 1500 * time.Millisecond
	// shrinkageGrace is how long a start may still use the capacity before a shrinkage.
	shrinkageGrace = 3*time.Second + capacityListDelay
)

// listedCapacity returns the capacity in the directory.
func (s *simWorker) listedCapacity() job.Resources {
	if s.listed != nil {
		return *s.listed
	}
	return s.capacity
}

// capacityInForce returns the capacity that starts must respect.
func (s *simWorker) capacityInForce(now time.Time) job.Resources {
	in := s.capacity
	for _, old := range s.shrunk {
		if now.Sub(old.at) <= shrinkageGrace {
			in = job.Resources{CPU: max(in.CPU, old.before.CPU), MemMB: max(in.MemMB, old.before.MemMB), GPU: max(in.GPU, old.before.GPU)}
		}
	}
	return in
}

// resize changes a worker's capacity. The directory shows it after a delay.
func (w *world) resize(id string, capacity job.Resources, delay time.Duration) {
	s := w.workers[id]
	s.shrunk = append(s.shrunk, shrinkage{s.capacity, w.now})
	listed := s.listedCapacity()
	s.capacity, s.listed = capacity, &listed
	if w.net != nil && w.net.planted.hidesShrinkage {
		return
	}
	w.after(delay, func() {
		s.listed = nil
		w.publishDirectory()
	})
}
