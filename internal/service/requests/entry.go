package requests

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// phase is where a request stands at its coordinator.
type phase uint8

const (
	phaseLocating phase = iota // not known whether it was started before
	phaseWaiting
	phaseDispatched
	phaseRunning
	phaseBackoff // ended, and to be run again after a pause
	phaseFinished
	phaseGang // waits to start together with its gang
)

// entry is the memory of one request.
type entry struct {
	id           string
	task         model.Task
	base         model.TaskID
	shard        model.Shard
	fingerprint  uint64
	phase        phase
	holder       wire.Owner // instance that the task was dispatched to
	attempt      uint32
	run          int
	born         time.Duration // when it was received first, at the latest
	receivedAt   time.Duration
	startedAt    time.Duration
	finishedAt   time.Duration
	dispatchedAt time.Duration
	deadline     time.Duration
	canceled     bool
	charged      bool   // counted as running for its team
	place        uint64 // in the order received, once dispatched
	waiters      []waiter
	answer       model.Answer
	worker       model.WorkerID
	gang         *gang // that the task belongs to, or nil
	failed       bool  // the last run failed by itself
}

type waiter struct {
	from     wire.Owner
	handle   uint64
	deadline time.Duration
}

// neverSeen reports whether a request without an entry was certainly not seen
// before: its ticket is of a term since which memory is complete, or everything
// that could have been seen before is past its retention.
func (s *Service) neverSeen(id string, shard model.Shard) bool {
	past := s.past[shard]
	if t, err := model.ParseTicket(id); err == nil && t.Term >= past.exactFrom {
		return true
	}
	return past.lostAt == 0 || s.env.Now()-past.lostAt > s.env.Timing.Retention+s.env.Timing.RequestTimeout
}

// enqueue makes a task wait for its team's turn. A task that finds its team's
// queue full is refused: it has not run.
func (s *Service) enqueue(e *entry) {
	if e.gang != nil {
		s.setPhase(e, phaseGang)
		return
	}
	s.setPhase(e, phaseWaiting)
	if err := s.queue.Push(&e.task); err != nil {
		s.finish(e, s.unstarted(e, verdict.CodeOverloaded, err.Error()))
	}
	s.moved = true
}

// setPhase moves an entry on and keeps the queue's account of its team: a task is
// charged to it from its dispatch to its end.
func (s *Service) setPhase(e *entry, p phase) {
	if e.phase == phaseWaiting && p != phaseWaiting {
		s.queue.Cancel(e.task.ID)
	}
	was, is := e.charged, p == phaseDispatched || p == phaseRunning || p == phaseLocating && e.charged
	if is && !was {
		e.place = s.queue.Started(&e.task)
	}
	if was && !is {
		s.queue.Ended(&e.task)
	}
	e.charged = is
	e.phase = p
	if e.gang != nil {
		e.gang.changed = true
		s.gangsMoved = true
		s.moved = true
	}
	if p == phaseFinished {
		delete(s.open, e.base)
		return
	}
	s.open[e.base] = e
}

// finish gives a request its final answer and tells everyone who waits for it.
func (s *Service) finish(e *entry, a model.Answer) {
	a.ID = e.id
	s.setPhase(e, phaseFinished)
	e.finishedAt = s.env.Now()
	s.ended = append(s.ended, e)
	e.answer = a
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		s.reply(w, a)
	}
	if e.task.Job != "" && e.gang == nil {
		s.jobs.TaskEnded(e.task, a)
	}
	s.moved = true
}
