package ledger

import (
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Reasons for a rejected dispatch, as sent to the coordinator.
const (
	ReasonTeamLimit  = "team limit"
	ReasonNoCapacity = "no room"
	ReasonStale      = "stale dispatch"
	ReasonCanceled   = "canceled"
)

// OnMessage serves the messages of other instances.
func (s *Service) OnMessage(from wire.InstanceRef, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		s.reportMissed(from)
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

// Dispatch starts a task on one of the held workers and returns the task's state:
// starting, rejected, or the state of a task that is known already.
func (s *Service) Dispatch(d wire.Dispatch) wire.TaskState {
	st := wire.TaskState{Task: d.Task.ID, Term: d.Term, Attempt: d.Attempt, Phase: wire.PhaseRejected}
	if s.isStale(d) {
		st.Reason = ReasonStale
		return st
	}
	if known, ok := s.lookup(d.Task.ID); ok {
		return known
	}
	if !s.limits.MayStart(d.Task.Team) || s.reservedForGangs(&d.Task) {
		st.Reason = ReasonTeamLimit
		return st
	}
	id, status := s.chooseWorker(&d.Task)
	started := status.Success() && s.commit(d, id)
	if !started && d.Task.Class == model.ClassUrgent {
		id, started = s.preempt(d)
	}
	if !started {
		st.Reason = ReasonNoCapacity
		return st
	}
	st.Phase = wire.PhaseStarting
	st.Worker = id
	return st
}

// isStale reports whether d comes from an earlier shard owner or was fenced by a
// Locate. It records d's term as the highest seen if it is.
func (s *Service) isStale(d wire.Dispatch) bool {
	shard := model.ShardOfTask(d.Task.ID)
	if d.Term < s.maxTerms[shard] {
		return true
	}
	s.maxTerms[shard] = d.Term
	f, ok := s.fences[d.Task.ID]
	return ok && (d.Term < f.term || d.Term == f.term && d.Attempt <= f.attempt)
}

// commit rechecks the placement against the worker's lease and free resources, and
// emits the start command. It reports whether it did.
func (s *Service) commit(d wire.Dispatch, id model.WorkerID) bool {
	w, ok := s.workers[id]
	if !ok || !w.leased(s.env.Now()) || w.info.Leaving || !s.freshness.fresh(s.env.Now()) {
		return false
	}
	if !d.Task.Demand.Fits(w.info.Capacity.Sub(w.used)) {
		return false
	}
	t := &task{spec: d.Task, worker: id, phase: wire.PhaseStarting, term: d.Term, attempt: d.Attempt}
	if err := s.placement.scheduler.Fleet.Assume(s.env.Now(), &t.spec, id); err != nil {
		return false
	}
	w.lastSeq++
	t.seq, t.incarnation = w.lastSeq, w.incarnation
	s.tasks[d.Task.ID] = t
	s.recordRun(d.Task.ID)
	s.addUsage(w, d.Task, 1)
	s.env.Emit(event.Start{Worker: w.info, Request: platform.StartRequest{
		Lease: s.leaseRef(w), WorkerIncarnation: w.incarnation, Seq: w.lastSeq, Task: d.Task,
	}})
	return true
}

// OnStartDone applies the result of a start command. If it is unknown whether the
// worker received the command, the task keeps its resources until a full report
// decides.
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
		s.reportState(s.stateOf(t))
	case verdict.NotRun:
		s.reject(t, d.Reason)
	default:
		w.needFullReport = true
	}
}

// lookup returns the state of a task that runs, waits to start or ran on a held
// worker. Finished tasks are known for the retention.
func (s *Service) lookup(id model.TaskID) (wire.TaskState, bool) {
	if t, ok := s.tasks[id]; ok {
		return s.stateOf(t), true
	}
	if p, ok := s.placement.pending[id]; ok {
		return wire.TaskState{
			Task: id, Term: p.dispatch.Term, Attempt: p.dispatch.Attempt,
			Phase: wire.PhaseStarting, Worker: p.worker,
		}, true
	}
	if p, ok := s.finished[id]; ok {
		return wire.TaskState{Task: id, Phase: wire.PhaseFinished, Worker: p.worker, Outcome: p.outcome}, true
	}
	return wire.TaskState{}, false
}

// lookupLatest returns the state of the latest known run of a task, but not of a run
// earlier than id's.
func (s *Service) lookupLatest(id model.TaskID) (wire.TaskState, bool) {
	base := model.BaseTask(id)
	if run := s.maxRuns[base]; run > model.RunOf(id) {
		if st, ok := s.lookup(model.WithRun(base, run)); ok {
			return st, true
		}
	}
	return s.lookup(id)
}

// recordRun keeps the highest run number seen of a task.
func (s *Service) recordRun(id model.TaskID) {
	base := model.BaseTask(id)
	s.maxRuns[base] = max(s.maxRuns[base], model.RunOf(id))
}

// Locate returns what is known of tasks and fences them: a later dispatch with at
// most the given term and attempt is refused. Without the fence, a dispatch still in
// transit could start a task after it was reported as never seen. A worker is not covered
// while it is unclear whether it restarted since the tasks may have been started first; the
// coordinator asks again.
func (s *Service) Locate(m wire.Locate) wire.Located {
	s.maxTerms[m.Shard] = max(s.maxTerms[m.Shard], m.Term)
	out := wire.Located{ID: m.ID}
	oldest := s.env.Now()
	for _, q := range m.Tasks {
		oldest = min(oldest, s.env.Now()-q.Age)
		s.fences[q.Task] = fence{term: m.Term, attempt: q.Attempt, fencedAt: s.env.Now()}
		if st, ok := s.lookupLatest(q.Task); ok {
			out.Seen = append(out.Seen, st)
		}
	}
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if !w.leased(s.env.Now()) || w.startUnclear(oldest) {
			continue
		}
		out.Covered = append(out.Covered, id)
		if w.startedAt > oldest {
			out.Restarted = append(out.Restarted, id)
		}
	}
	return out
}

// Cancel stops a task if it runs or waits to start on a held worker.
func (s *Service) Cancel(c wire.CancelTask) {
	if p, ok := s.placement.pending[c.Task]; ok {
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

// FillHeartbeat adds the free resources and the version of the coverage to a heartbeat.
func (s *Service) FillHeartbeat(b *wire.Heartbeat) {
	b.Free = s.Free()
	b.Coverage = s.Coverage().Version
}

// refreshCoverage assigns a new version to the set of covered workers when the set
// has changed. Peers see the version in heartbeats and fetch the set.
func (s *Service) refreshCoverage() {
	var covered []model.WorkerID
	for _, id := range s.workerIDs {
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

// Coverage returns the workers that are leased at this moment and whose state is known.
// The usage reported in the same heartbeat includes every worker that the coverage lists.
func (s *Service) Coverage() wire.Coverage {
	s.refreshCoverage()
	return s.coverage
}
