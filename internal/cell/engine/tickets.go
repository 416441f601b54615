package engine

import (
	"iter"
	"time"

	"pollenbend/internal/cell/job"
)

// ticket is the adviser's permission to start tasks of a step on a worker.
type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

// ticket returns the ticket of s for a worker, or the zero ticket if none is needed.
func (s *stepState) ticket(w *worker) ticket {
	if s.advice == nil || s.advice.goodByWorker[w] == nil {
		return ticket{}
	}
	return s.advice.goodByWorker[w].ticket
}

// invalidateTicket makes the ticket of s for a worker count as expired.
func (s *stepState) invalidateTicket(w *worker) {
	if s.advice != nil && s.advice.goodByWorker[w] != nil {
		s.advice.goodByWorker[w].ticket.validUntil = time.Time{}
	}
}

// ticketMargin is the time that a start command takes to reach its worker. The validity
// of a ticket is reduced by it and by the time that storing the run's record takes.
const ticketMargin = 60 * time.Millisecond

// ticketValidAt reports whether a ticket is still valid when the start command of a run
// that is planned at the given time reaches its worker.
func (e *Engine) ticketValidAt(t ticket, at time.Time) bool {
	return at.Add(ticketMargin + e.storeLatency).Before(t.validUntil)
}

// workersWithTicket returns the usable workers for which s has a valid ticket.
func (e *Engine) workersWithTicket(s *stepState) []*worker {
	var out []*worker
	for g := range e.usableGoodWorkers(s) {
		if e.ticketValidAt(g.ticket, e.now) {
			out = append(out, g.worker)
		}
	}
	return out
}

// goodWorkers returns the usable workers that the adviser found good for s, in the order
// of its answers.
func (e *Engine) goodWorkers(s *stepState) []*worker {
	var out []*worker
	for g := range e.usableGoodWorkers(s) {
		out = append(out, g.worker)
	}
	return out
}

// usableGoodWorkers iterates over the workers that goodWorkers returns.
func (e *Engine) usableGoodWorkers(s *stepState) iter.Seq[*goodWorker] {
	return func(yield func(*goodWorker) bool) {
		if s.advice == nil {
			return
		}
		for _, g := range s.advice.good {
			if g.ticket.incarnation == g.incarnation && g.usable(e.now) && !yield(g) {
				return
			}
		}
	}
}

// ticketCapacity is how many waiting tasks of a step fit now on its good workers, by whether
// their tickets are valid at a given time.
type ticketCapacity struct {
	at             time.Time
	valid, expired int
}

// mayPlace reports whether any of count tasks of s may be placed with the tickets.
func (c ticketCapacity) mayPlace(s *stepState, count int) bool {
	if s.spec.Gang {
		return c.valid >= count
	}
	return c.valid > 0
}

// ticketCapacity returns the capacity on the good workers of s.
func (e *Engine) ticketCapacity(s *stepState, at time.Time) ticketCapacity {
	c := ticketCapacity{at: at}
	for g := range e.usableGoodWorkers(s) {
		n := tasksThatFit(s, g.worker, e.freeFor(s, g.worker))
		switch {
		case n == 0:
		case e.ticketValidAt(g.ticket, at):
			c.valid += n
		default:
			c.expired += n
		}
	}
	return c
}

// workersWithExpiredTicket returns the workers that hold the expired part of a capacity.
func (e *Engine) workersWithExpiredTicket(s *stepState, c ticketCapacity) []*worker {
	var workers []*worker
	for g := range e.usableGoodWorkers(s) {
		if !e.ticketValidAt(g.ticket, c.at) && tasksThatFit(s, g.worker, e.freeFor(s, g.worker)) > 0 {
			workers = append(workers, g.worker)
		}
	}
	return workers
}

// tasksThatFit returns how many waiting tasks of s fit into the resources free of w.
func tasksThatFit(s *stepState, w *worker, free job.Resources) int {
	n := s.charge.CountIn(free, s.waiting)
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-s.tasksOn(w))
	}
	return max(0, n)
}
