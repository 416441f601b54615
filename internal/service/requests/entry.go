package requests

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// phase is the state of a request at its coordinator.
type phase uint8

const (
	phaseLocating phase = iota // it is not known whether the task was started before
	phaseWaiting
	phaseDispatched
	phaseRunning
	// phaseBackoff means that the last run ended and the task runs again after a delay.
	// A task of a gang waits until its gang runs again or is aborted.
	phaseBackoff
	phaseFinished
	phaseGang // waits to start together with its gang
)

// entry is the state of one request, or of one task of a job.
type entry struct {
	id              string
	task            model.Task
	base            model.TaskID // task id without run
	shard           model.Shard
	fingerprint     uint64 // of the request, 0 if it is not known
	phase           phase
	holder          wire.InstanceRef // instance that the task was dispatched to
	attempt         uint32
	run             int
	firstReceivedAt time.Duration // not later than the first receipt at the owners whose records are kept
	receivedAt      time.Duration
	startedAt       time.Duration
	finishedAt      time.Duration
	dispatchedAt    time.Duration
	deadline        time.Duration
	canceled        bool
	charged         bool   // counted as running for its team
	queueRank       uint64 // rank in the order received, valid once dispatched
	waiters         []waiter
	answer          model.Answer
	worker          model.WorkerID
	gang            *gang // gang that the task belongs to, or nil
	lastRunFailed   bool  // the last run failed without having been stopped
}

// waiter is a caller that waits for the answer, identified by its gateway and the
// gateway's handle.
type waiter struct {
	from     wire.InstanceRef
	handle   uint64
	deadline time.Duration
}

// neverSeen reports whether a request without an entry was certainly never received
// before: its ticket is from a term since which the records are complete, or any
// earlier request is past the retention.
func (s *Service) neverSeen(id string, shard model.Shard) bool {
	history := s.history[shard]
	if t, err := model.ParseTicket(id); err == nil && t.Term >= history.exactFrom {
		return true
	}
	return history.lostAt == 0 || s.env.Now()-history.lostAt > s.env.Timing.Retention+s.env.Timing.RequestTimeout
}

// enqueue adds a task to its team's queue, or leaves it to its gang. If the team's
// queue is full, the task is refused; it has not run.
func (s *Service) enqueue(e *entry) {
	if e.gang != nil {
		s.setPhase(e, phaseGang)
		return
	}
	s.setPhase(e, phaseWaiting)
	if err := s.queue.Push(&e.task); err != nil {
		s.finish(e, s.notStarted(e, verdict.CodeOverloaded, err.Error()))
	}
	s.dispatchDue = true
}

// setPhase sets an entry's phase and updates the usage that the queue accounts to its
// team: a task is charged from its dispatch until it ends.
func (s *Service) setPhase(e *entry, p phase) {
	if e.phase == phaseWaiting && p != phaseWaiting {
		s.queue.Cancel(e.task.ID)
	}
	wasCharged, isCharged := e.charged, p == phaseDispatched || p == phaseRunning || p == phaseLocating && e.charged
	if isCharged && !wasCharged {
		e.queueRank = s.queue.Started(&e.task)
	}
	if wasCharged && !isCharged {
		s.queue.Ended(&e.task)
	}
	e.charged = isCharged
	e.phase = p
	if e.gang != nil {
		e.gang.changed = true
		s.gangsChanged = true
		s.dispatchDue = true
	}
	if p == phaseFinished {
		delete(s.open, e.base)
		return
	}
	s.open[e.base] = e
}

// finish records a request's final answer and sends it to all waiting callers.
func (s *Service) finish(e *entry, a model.Answer) {
	a.ID = e.id
	s.setPhase(e, phaseFinished)
	e.finishedAt = s.env.Now()
	s.finished = append(s.finished, e)
	e.answer = a
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		s.reply(w, a)
	}
	if e.task.Job != "" && e.gang == nil {
		s.jobs.TaskEnded(e.task, a)
	}
	s.dispatchDue = true
}
