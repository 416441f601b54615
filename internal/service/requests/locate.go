package requests

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// locate asks every live instance for the state of one task. It is certain that the
// task was never started once the replies cover every listed worker: each reply
// fences the task, and a worker is covered only under a lease that prevents every
// other instance from starting anything there.
type locate struct {
	id        uint64
	entry     model.TaskID
	sentAt    time.Duration
	covered   map[model.WorkerID]bool
	restarted map[model.WorkerID]bool // covered workers that may have forgotten a run of the task
}

// locateRetryInterval is the time after which an unanswered round is repeated.
const locateRetryInterval = 250 * time.Millisecond

// startLocate sets an entry to phaseLocating and begins to locate its task.
func (s *Service) startLocate(e *entry) {
	if e.phase == phaseLocating {
		for _, l := range s.locates {
			if l.entry == e.base {
				return
			}
		}
	}
	s.setPhase(e, phaseLocating)
	s.lastLocateID++
	l := &locate{id: s.lastLocateID, entry: e.base}
	s.locates[l.id] = l
	s.startLocateRound(l, e)
}

// startLocateRound sends a new request to all live instances. Replies to earlier
// rounds are discarded, because a worker that was covered then may have another lease
// holder now.
func (s *Service) startLocateRound(l *locate, e *entry) {
	term, ok := s.ownership.OwnedTerm(e.shard)
	if !ok {
		delete(s.locates, l.id)
		return
	}
	delete(s.locates, l.id)
	s.lastLocateID++
	l.id = s.lastLocateID
	s.locates[l.id] = l
	l.sentAt = s.env.Now()
	l.covered = make(map[model.WorkerID]bool)
	l.restarted = make(map[model.WorkerID]bool)
	q := wire.LocateTask{
		Task: e.runID(), Attempt: e.attempt,
		Age: s.oldestStartAge(e),
	}
	m := wire.Locate{ID: l.id, Shard: e.shard, Term: term, Tasks: []wire.LocateTask{q}}
	for _, ref := range s.members.Live() {
		if ref != s.env.SelfRef() {
			s.env.Send(ref.Instance, m)
		}
	}
	s.onLocated(s.env.SelfRef(), s.ledger.Locate(m))
}

// clockTolerance is the inverse of the maximum relative difference, 1.25 percent, of the
// rates of this instance's clock and those of workers and of their lease holders.
const clockTolerance = 80

// oldestStartAge returns an upper bound for the time since a request may have been
// started first, here or under an earlier owner.
func (s *Service) oldestStartAge(e *entry) time.Duration {
	now := s.env.Now()
	age := now - e.firstReceivedAt + s.priorAge(e)
	if at, known := s.shardUnownedAt(e.shard); known {
		age = min(age, now-at)
	}
	return age + age/clockTolerance
}

// priorAge returns how long before its receipt here a request may have been started
// under an earlier owner whose records are lost. The retention of the workers bounds it.
func (s *Service) priorAge(e *entry) time.Duration {
	if s.history[e.shard].lostAt == 0 {
		return 0
	}
	return s.env.Timing.Retention
}

func (s *Service) onLocated(from wire.InstanceRef, m wire.Located) {
	l, ok := s.locates[m.ID]
	if !ok {
		return
	}
	e, ok := s.entries[l.entry]
	if !ok || e.phase != phaseLocating {
		delete(s.locates, l.id)
		return
	}
	for _, st := range m.Seen { // at most one, as a locate asks for one task
		delete(s.locates, l.id)
		s.OnTaskState(from, st)
		return
	}
	for _, id := range m.Covered {
		l.covered[id] = true
	}
	for _, id := range m.Restarted {
		l.restarted[id] = true
	}
	if s.coversAll(l) {
		delete(s.locates, l.id)
		s.resolveUnseen(e, l)
	}
}

func (s *Service) coversAll(l *locate) bool {
	listed := s.ledger.ListedWorkers()
	for id := range listed {
		if !l.covered[id] {
			return false
		}
	}
	return len(listed) > 0
}

// resolveUnseen handles a task that no worker has seen. A restarted worker may have
// run the task without remembering it; a task that is not repeatable then ends as in
// doubt.
func (s *Service) resolveUnseen(e *entry, l *locate) {
	if len(l.restarted) > 0 {
		if !e.task.Repeatable {
			s.finish(e, model.Answer{
				Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt,
				Message: "a worker that may have run it has restarted since",
			})
			return
		}
		e.run++ // a restarted worker may have had the previous run
	}
	if e.canceled {
		s.finish(e, s.notStarted(e, verdict.CodeCanceled, "canceled before it was started"))
		return
	}
	if e.fingerprint == 0 && e.task.Job == "" {
		s.dropAdopted(e)
		return
	}
	e.holder = wire.InstanceRef{}
	s.enqueue(e)
}

// dropAdopted removes an entry that was adopted from a task state and whose full task
// is not known, because no caller has asked for it here. A later request for the id
// creates a new entry.
func (s *Service) dropAdopted(e *entry) {
	s.setPhase(e, phaseFinished)
	delete(s.entries, e.base)
}

// retryLocates starts another round for the tasks whose last round has not covered
// every worker in time.
func (s *Service) retryLocates(now time.Duration) {
	var ids []uint64
	for id, l := range s.locates {
		if now-l.sentAt >= locateRetryInterval {
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
		s.startLocateRound(l, e)
	}
}
