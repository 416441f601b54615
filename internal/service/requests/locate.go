package requests

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// locate asks every live instance what became of one task. "Never started" is
// certain once the answers cover every listed worker: each answer fences the
// task, and a worker is covered only under a lease that keeps everyone else from
// starting anything there.
type locate struct {
	id      uint64
	entry   model.TaskID
	sentAt  time.Duration
	covered map[model.WorkerID]bool
	young   map[model.WorkerID]bool
}

const locateRetry = 250 * time.Millisecond

// startLocate puts an entry in doubt and asks for its task.
func (s *Service) startLocate(e *entry) {
	if e.phase == phaseLocating {
		for _, l := range s.locates {
			if l.entry == e.base {
				return
			}
		}
	}
	s.setPhase(e, phaseLocating)
	s.locID++
	l := &locate{id: s.locID, entry: e.base}
	s.locates[l.id] = l
	s.ask(l, e)
}

// ask starts a round. Answers of earlier rounds do not count: a worker that was
// covered then may have changed hands since.
func (s *Service) ask(l *locate, e *entry) {
	term, ok := s.ownership.Mine(e.shard)
	if !ok {
		delete(s.locates, l.id)
		return
	}
	delete(s.locates, l.id)
	s.locID++
	l.id = s.locID
	s.locates[l.id] = l
	l.sentAt = s.env.Now()
	l.covered = make(map[model.WorkerID]bool)
	l.young = make(map[model.WorkerID]bool)
	q := wire.LocateTask{
		Task: e.taskOf(), Attempt: e.attempt,
		Age: s.env.Now() - e.born + s.pastOf(e),
	}
	m := wire.Locate{ID: l.id, Shard: e.shard, Term: term, Tasks: []wire.LocateTask{q}}
	for _, o := range s.members.Live() {
		if o != s.env.Owner() {
			s.env.Send(o.Instance, m)
		}
	}
	s.onLocated(s.env.Owner(), s.ledger.Locate(m))
}

// pastOf returns how long before its receipt here a request may first have been
// started: under an earlier owner, within what workers remember.
func (s *Service) pastOf(e *entry) time.Duration {
	if s.past[e.shard].lostAt == 0 {
		return 0
	}
	return s.env.Timing.Retention
}

func (s *Service) onLocated(from wire.Owner, m wire.Located) {
	l, ok := s.locates[m.ID]
	if !ok {
		return
	}
	e, ok := s.entries[l.entry]
	if !ok || e.phase != phaseLocating {
		delete(s.locates, l.id)
		return
	}
	for _, st := range m.Seen {
		delete(s.locates, l.id)
		s.OnTaskState(from, st)
		return
	}
	for _, id := range m.Covered {
		l.covered[id] = true
	}
	for _, id := range m.Young {
		l.young[id] = true
	}
	if s.coversAll(l) {
		delete(s.locates, l.id)
		s.settleUnseen(e, l)
	}
}

func (s *Service) coversAll(l *locate) bool {
	roster := s.ledger.Roster()
	for id := range roster {
		if !l.covered[id] {
			return false
		}
	}
	return len(roster) > 0
}

// settleUnseen goes on with a task that no worker has seen. A worker that has
// restarted may have run it and forgotten: a task that must not be repeated is
// then left alone.
func (s *Service) settleUnseen(e *entry, l *locate) {
	if len(l.young) > 0 {
		if !e.task.Repeatable {
			s.finish(e, model.Answer{
				Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt,
				Message: "a worker that may have run it has restarted since",
			})
			return
		}
		e.run++ // the run before may be the one that was forgotten
	}
	if e.canceled {
		s.finish(e, s.unstarted(e, verdict.CodeCanceled, "canceled before it was started"))
		return
	}
	if e.fingerprint == 0 && e.task.Job == "" {
		s.dropUnknown(e)
		return
	}
	e.holder = wire.Owner{}
	s.enqueue(e)
}

// dropUnknown forgets a request that was adopted from a task's state and whose
// task is not known: nobody has asked for it here. Whoever does starts afresh.
func (s *Service) dropUnknown(e *entry) {
	s.setPhase(e, phaseFinished)
	delete(s.entries, e.base)
}

// retryLocates asks again where not every worker was covered.
func (s *Service) retryLocates(now time.Duration) {
	var ids []uint64
	for id, l := range s.locates {
		if now-l.sentAt >= locateRetry {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		l := s.locates[id]
		e, ok := s.entries[l.entry]
		if !ok || e.phase != phaseLocating {
			delete(s.locates, id)
			continue
		}
		s.ask(l, e)
	}
}
