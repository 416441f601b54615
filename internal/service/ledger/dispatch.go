package ledger

import (
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Reasons for a rejected dispatch.
const (
	ReasonLimit    = "team limit"
	ReasonRoom     = "no room"
	ReasonStale    = "stale dispatch"
	ReasonCanceled = "canceled"
)

// OnMessage serves coordinators on other instances.
func (s *Service) OnMessage(from wire.Owner, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		s.retell(from)
	case wire.Dispatch:
		if st := s.Dispatch(m); st.Phase != wire.PhaseStarting {
			s.env.Send(from.Instance, st)
		}
	case wire.Locate:
		s.env.Send(from.Instance, s.Locate(m))
	case wire.CancelTask:
		s.Cancel(m)
	case wire.HoldTasks:
		s.env.Send(from.Instance, s.HoldTasks(m))
	case wire.ReleaseHolds:
		s.ReleaseHolds(m)
	case wire.FetchCoverage:
		s.env.Send(from.Instance, s.coverage)
	}
}

// Dispatch starts a task on one of the held workers and returns its state:
// starting, rejected, or what is known of it already.
func (s *Service) Dispatch(d wire.Dispatch) wire.TaskState {
	st := wire.TaskState{Task: d.Task.ID, Term: d.Term, Attempt: d.Attempt, Phase: wire.PhaseRejected}
	if s.isStale(d) {
		st.Reason = ReasonStale
		return st
	}
	if known, ok := s.lookup(d.Task.ID); ok {
		return known
	}
	if !s.limits.MayStart(d.Task.Team) || s.keptForGangs(&d.Task) {
		st.Reason = ReasonLimit
		return st
	}
	id, status := s.choose(&d.Task)
	started := status.Success() && s.commit(d, id)
	if !started && d.Task.Class == model.ClassUrgent {
		id, started = s.preempt(d)
	}
	if !started {
		st.Reason = ReasonRoom
		return st
	}
	st.Phase = wire.PhaseStarting
	st.Worker = id
	return st
}

// isStale reports whether a later owner or a later attempt has fenced d.
func (s *Service) isStale(d wire.Dispatch) bool {
	shard := model.ShardOfTask(d.Task.ID)
	if d.Term < s.seen[shard] {
		return true
	}
	s.seen[shard] = d.Term
	f, ok := s.fences[d.Task.ID]
	return ok && (d.Term < f.term || d.Term == f.term && d.Attempt <= f.attempt)
}

// commit rechecks the placement against the worker's lease and free resources and
// emits the start.
func (s *Service) commit(d wire.Dispatch, id model.WorkerID) bool {
	w, ok := s.workers[id]
	if !ok || !w.leased(s.env.Now()) || w.info.Leaving || !s.freshness.fresh(s.env.Now()) {
		return false
	}
	if !d.Task.Demand.Fits(w.info.Capacity.Sub(w.used)) {
		return false
	}
	t := &task{spec: d.Task, worker: id, phase: wire.PhaseStarting, term: d.Term, attempt: d.Attempt}
	if err := s.place.scheduler.Fleet.Assume(s.env.Now(), &t.spec, id); err != nil {
		return false
	}
	w.seq++
	t.seq, t.incarnation = w.seq, w.incarnation
	s.tasks[d.Task.ID] = t
	s.noteRun(d.Task.ID)
	s.count(w, d.Task, 1)
	s.env.Emit(event.Start{Worker: w.info, Request: platform.StartRequest{
		Lease: s.leaseRef(w), WorkerIncarnation: w.incarnation, Seq: w.seq, Task: d.Task,
	}})
	return true
}

// OnStartDone settles a start. When it is open whether the worker got it, the
// task keeps its place until a full report tells.
func (s *Service) OnStartDone(d event.StartDone) {
	w, ok := s.workers[d.Worker]
	if !ok || d.Lease != s.leaseRef(w) {
		return
	}
	t, ok := s.tasks[d.Task]
	if !ok || t.seq != d.Seq || t.phase != wire.PhaseStarting {
		return
	}
	switch d.Verdict {
	case verdict.Done:
		t.phase = wire.PhaseRunning
		s.tell(s.stateOf(t))
	case verdict.NotRun:
		s.reject(t, d.Reason)
	default:
		w.needFull = true
	}
}

// lookup returns the state of a task that runs or ran on a held worker.
func (s *Service) lookup(id model.TaskID) (wire.TaskState, bool) {
	if t, ok := s.tasks[id]; ok {
		return s.stateOf(t), true
	}
	if p, ok := s.place.pending[id]; ok {
		return wire.TaskState{
			Task: id, Term: p.dispatch.Term, Attempt: p.dispatch.Attempt,
			Phase: wire.PhaseStarting, Worker: p.worker,
		}, true
	}
	if p, ok := s.past[id]; ok {
		return wire.TaskState{Task: id, Phase: wire.PhaseFinished, Worker: p.worker, Outcome: p.outcome}, true
	}
	return wire.TaskState{}, false
}

// lookupLatest returns the state of the latest run of a task, not earlier than
// the given one.
func (s *Service) lookupLatest(id model.TaskID) (wire.TaskState, bool) {
	base := model.BaseTask(id)
	if run := s.latest[base]; run > model.RunOf(id) {
		if st, ok := s.lookup(model.WithRun(base, run)); ok {
			return st, true
		}
	}
	return s.lookup(id)
}

// noteRun remembers the highest run of a task seen here.
func (s *Service) noteRun(id model.TaskID) {
	base := model.BaseTask(id)
	s.latest[base] = max(s.latest[base], model.RunOf(id))
}

// Locate answers what is known of tasks, and fences them: a dispatch at or below
// the asked term and attempt that arrives later is refused. Without that, "never
// seen" could turn false after it was said.
func (s *Service) Locate(m wire.Locate) wire.Located {
	s.seen[m.Shard] = max(s.seen[m.Shard], m.Term)
	out := wire.Located{ID: m.ID}
	oldest := s.env.Now()
	for _, q := range m.Tasks {
		oldest = min(oldest, s.env.Now()-q.Age)
		s.fences[q.Task] = fence{term: m.Term, attempt: q.Attempt, at: s.env.Now()}
		if st, ok := s.lookupLatest(q.Task); ok {
			out.Seen = append(out.Seen, st)
		}
	}
	for _, id := range s.order {
		w := s.workers[id]
		if !w.leased(s.env.Now()) {
			continue
		}
		out.Covered = append(out.Covered, id)
		if w.bornAt > oldest {
			out.Young = append(out.Young, id)
		}
	}
	return out
}

// Cancel stops a task if it is here.
func (s *Service) Cancel(c wire.CancelTask) {
	if p, ok := s.place.pending[c.Task]; ok {
		s.dropPending(p, ReasonCanceled)
		return
	}
	t, ok := s.tasks[c.Task]
	if !ok {
		return
	}
	w := s.workers[t.worker]
	s.env.Emit(event.Stop{Worker: w.info, Request: platform.StopRequest{
		Lease: s.leaseRef(w), Task: c.Task, Mode: c.Mode,
	}})
}

// FillBeat adds what is free here.
func (s *Service) FillBeat(b *wire.Heartbeat) {
	b.Free = s.Free()
	b.Coverage = s.Coverage().Version
}

// refreshCoverage gives the set of covered workers a new version when it has
// changed. Peers see the version in heartbeats and fetch the set.
func (s *Service) refreshCoverage() {
	var covered []model.WorkerID
	for _, id := range s.order {
		if s.workers[id].leased(s.env.Now()) {
			covered = append(covered, id)
		}
	}
	if !equalIDs(covered, s.coverage.Workers) || s.coverage.Version == 0 {
		s.coverage = wire.Coverage{Version: s.coverage.Version + 1, Workers: covered}
	}
}

func equalIDs(a, b []model.WorkerID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Coverage returns the workers whose state is known here at this moment. What is
// told of running tasks in the same heartbeat never lacks a worker that it lists.
func (s *Service) Coverage() wire.Coverage {
	s.refreshCoverage()
	return s.coverage
}
