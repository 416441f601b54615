package requests

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/service/ledger"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// OnStepEnd dispatches waiting tasks while resources are free.
func (s *Service) OnStepEnd() {
	if !s.dispatchDue {
		return
	}
	s.dispatchDue = false
	s.refreshFreeEstimates()
	s.advanceGangs()
	s.queue.Wake(s.largestFree())
	for {
		t := s.queue.Pop()
		if t == nil {
			return
		}
		if !s.dispatch(s.entries[t.ID]) {
			s.queue.Defer(t)
		}
	}
}

// largestFree returns, for each kind of resource, the maximum that is estimated free
// at any one instance.
func (s *Service) largestFree() model.Resources {
	largest := s.ledger.Free()
	for _, e := range s.freeEstimates {
		largest.MilliCPU = max(largest.MilliCPU, e.free.MilliCPU)
		largest.MemoryMiB = max(largest.MemoryMiB, e.free.MemoryMiB)
		largest.Slots = max(largest.Slots, e.free.Slots)
		largest.Accelerators = max(largest.Accelerators, e.free.Accelerators)
	}
	return largest
}

// refreshShares updates the queue with the fleet's capacity, each team's share and
// each team's usage at other instances as reported by heartbeats.
func (s *Service) refreshShares() {
	var capacity model.Resources
	for _, w := range s.ledger.ListedWorkers() {
		capacity = capacity.Add(w.Capacity)
	}
	s.queue.SetCapacity(capacity)
	for _, t := range s.config.Teams() {
		s.queue.SetWeight(t.Name, t.Share)
		s.queue.SetRemoteUsage(t.Name, s.usageElsewhere(t.Name))
	}
	s.queue.Rebalance()
}

// usageElsewhere returns a team's usage in the fleet minus the tasks dispatched from
// here.
func (s *Service) usageElsewhere(team model.TeamID) model.Resources {
	usage := s.ledger.Usage(team)
	for _, ref := range s.members.Live() {
		m, ok := s.members.Member(ref.Instance)
		if !ok {
			continue
		}
		for _, load := range m.Heartbeat.Teams {
			if load.Team == team {
				usage = usage.Add(load.Usage)
			}
		}
	}
	elsewhere := usage.Sub(s.queue.Accounts.Account(team).Local())
	return model.Resources{
		MilliCPU: max(elsewhere.MilliCPU, 0), MemoryMiB: max(elsewhere.MemoryMiB, 0),
		Slots: max(elsewhere.Slots, 0), Accelerators: max(elsewhere.Accelerators, 0),
	}
}

// refreshFreeEstimates replaces the estimates of instances that sent a newer heartbeat.
func (s *Service) refreshFreeEstimates() {
	for _, ref := range s.members.Live() {
		m, ok := s.members.Member(ref.Instance)
		if !ok {
			continue
		}
		e, known := s.freeEstimates[ref.Instance]
		if !known {
			e = &freeEstimate{}
			s.freeEstimates[ref.Instance] = e
		}
		if m.Heartbeat.Seq > e.seq {
			e.seq, e.free = m.Heartbeat.Seq, m.Heartbeat.Free
		}
	}
}

// dispatch sends a task to this instance's ledger or, if the task cannot start here, to
// the other instance with the most free task slots. It reports whether the task was
// dispatched.
func (s *Service) dispatch(e *entry) bool {
	term, ok := s.ownership.OwnedTerm(e.shard)
	if !ok || s.handover.Frozen(e.shard) {
		return false
	}
	d := wire.Dispatch{Task: e.task, Term: term, Attempt: e.attempt + 1}
	d.Task.ID = e.runID()
	if s.mayDispatchHere(e) {
		st := s.ledger.Dispatch(d)
		if st.Phase != wire.PhaseRejected {
			s.markDispatched(e, s.env.SelfRef(), d.Attempt)
			s.OnTaskState(s.env.SelfRef(), st)
			return true
		}
		s.recordRefusal(s.env.Self.ID, e.task.Team, st.Reason)
	}
	to, ok := s.peerWithMostFree(e)
	if !ok {
		return false
	}
	s.markDispatched(e, to, d.Attempt)
	s.env.Send(to.Instance, d)
	return true
}

// markDispatched records a dispatch and subtracts its demand from the estimate of the
// holder's free resources.
func (s *Service) markDispatched(e *entry, to wire.InstanceRef, attempt uint32) {
	s.setPhase(e, phaseDispatched)
	e.holder = to
	e.attempt = attempt
	e.dispatchedAt = s.env.Now()
	if r, ok := s.freeEstimates[to.Instance]; ok {
		r.free = r.free.Sub(e.task.Demand)
	}
}

// refusalKey identifies a holder that refused a team's task because of the team's
// upper limit.
type refusalKey struct {
	holder model.InstanceID
	team   model.TeamID
}

// refusalBackoff is how long a holder is not asked again after such a refusal.
const refusalBackoff = 50 * time.Millisecond

func (s *Service) recordRefusal(holder model.InstanceID, team model.TeamID, reason string) {
	if reason == ledger.ReasonTeamLimit {
		s.refusedUntil[refusalKey{holder, team}] = s.env.Now() + refusalBackoff
	}
}

func (s *Service) recentlyRefused(holder model.InstanceID, team model.TeamID) bool {
	return s.env.Now() < s.refusedUntil[refusalKey{holder, team}]
}

// mayDispatchHere reports whether the task may be dispatched to this instance's own
// workers: enough resources are free, or the task is urgent and may preempt others.
func (s *Service) mayDispatchHere(e *entry) bool {
	if s.recentlyRefused(s.env.Self.ID, e.task.Team) {
		return false
	}
	return e.task.Class == model.ClassUrgent || e.task.Demand.Fits(s.ledger.Free())
}

// peerWithMostFree returns the other instance with the most free task slots among
// those that the task is estimated to fit on.
func (s *Service) peerWithMostFree(e *entry) (wire.InstanceRef, bool) {
	var best wire.InstanceRef
	var free int64
	for _, ref := range s.members.Live() {
		r, ok := s.freeEstimates[ref.Instance]
		if !ok || ref == s.env.SelfRef() || !e.task.Demand.Fits(r.free) || s.recentlyRefused(ref.Instance, e.task.Team) {
			continue
		}
		if best.Instance == "" || r.free.Slots > free {
			best, free = ref, r.free.Slots
		}
	}
	return best, best.Instance != ""
}

// OnMessage handles task states and replies to hold and locate messages from other
// instances.
func (s *Service) OnMessage(from wire.InstanceRef, m wire.Message) {
	switch m := m.(type) {
	case wire.TaskState:
		s.OnTaskState(from, m)
	case wire.Held:
		s.onHeld(from, m)
	case wire.Located:
		s.onLocated(from, m)
	}
}

// OnTaskState applies a task's state as reported by the lease holder of its worker.
func (s *Service) OnTaskState(from wire.InstanceRef, st wire.TaskState) {
	base := model.BaseTask(st.Task)
	e, ok := s.entries[base]
	if !ok {
		e = s.adopt(base, st)
	}
	if e == nil || e.phase == phaseFinished || model.RunOf(st.Task) < e.run {
		return
	}
	e.run = model.RunOf(st.Task)
	switch st.Phase {
	case wire.PhaseRejected:
		s.onRejected(e, from, st)
	case wire.PhaseStarting, wire.PhaseRunning:
		s.onRunning(e, from, st)
	case wire.PhaseFinished:
		s.onOutcome(e, st)
	}
	s.dispatchDue = true
}

// adopt adds an entry for a task that was started under an earlier owner of its
// shard. It returns nil for a rejected dispatch and for a shard that is not owned here.
func (s *Service) adopt(base model.TaskID, st wire.TaskState) *entry {
	team, id, _, err := model.RequestOfTask(base)
	if err != nil || st.Phase == wire.PhaseRejected {
		return nil
	}
	shard := model.ShardOfTask(base)
	if _, owned := s.ownership.OwnedTerm(shard); !owned {
		return nil
	}
	e := &entry{
		id: id, base: base, shard: shard, run: 1, phase: phaseLocating,
		task: model.Task{ID: base, Team: team}, receivedAt: s.env.Now(), firstReceivedAt: s.env.Now(),
	}
	s.entries[base] = e
	return e
}

func (s *Service) onRejected(e *entry, from wire.InstanceRef, st wire.TaskState) {
	if e.phase != phaseDispatched || e.holder != from || e.attempt != st.Attempt {
		return
	}
	if r, ok := s.freeEstimates[from.Instance]; ok && st.Reason == ledger.ReasonNoCapacity {
		r.free = model.Resources{}
	}
	if e.canceled {
		s.finish(e, s.notStarted(e, verdict.CodeCanceled, "canceled before it was started"))
		return
	}
	s.recordRefusal(from.Instance, e.task.Team, st.Reason)
	if e.gang != nil {
		e.gang.notBefore = max(e.gang.notBefore, s.env.Now()+minGangBackoff)
		s.setPhase(e, phaseGang)
		return
	}
	e.holder = wire.InstanceRef{}
	s.setPhase(e, phaseWaiting)
	s.queue.Requeue(&e.task, e.queueRank)
}

func (s *Service) onRunning(e *entry, from wire.InstanceRef, st wire.TaskState) {
	e.holder = from
	e.worker = st.Worker
	e.attempt = max(e.attempt, st.Attempt)
	if st.Phase == wire.PhaseRunning && e.phase != phaseRunning {
		e.startedAt = s.env.Now()
	}
	e.dispatchedAt = s.env.Now()
	next := phaseDispatched
	if st.Phase == wire.PhaseRunning {
		next = phaseRunning
	}
	s.setPhase(e, next)
	if e.canceled {
		s.stop(e)
	}
}

// onOutcome runs an ended task again if that is allowed, or turns its outcome into
// the request's answer.
func (s *Service) onOutcome(e *entry, st wire.TaskState) {
	out := st.Outcome
	e.worker = st.Worker
	if e.gang != nil {
		s.onGangOutcome(e, out)
		return
	}
	if s.shouldRunAgain(e, out) {
		e.run++
		e.attempt = 0
		e.holder = wire.InstanceRef{}
		s.backOff(e)
		return
	}
	s.finish(e, s.answerOf(e, out))
}

// shouldRunAgain reports whether an ended task is to be run again. A service task
// always is, unless canceled. Any other task must be repeatable and must have been
// stopped, have failed or have no complete answer. A job's task that was stopped always
// runs again; otherwise a task runs at most maxRuns times, and a request's task not after
// its deadline.
func (s *Service) shouldRunAgain(e *entry, out model.Outcome) bool {
	switch {
	case e.canceled:
		return false
	case e.task.Kind == model.KindService:
		return true
	case !e.task.Repeatable || !out.Failed && !out.Stopped && out.Complete:
		return false
	case e.task.Job != "":
		return out.Stopped || e.run < maxRuns
	}
	return e.run < maxRuns && s.env.Now() < e.deadline
}

func (s *Service) answerOf(e *entry, out model.Outcome) model.Answer {
	a := model.Answer{Worker: e.worker, Message: out.Message}
	if e.startedAt > 0 {
		a.Waited = e.startedAt - e.receivedAt
	}
	switch {
	case out.Stopped && e.canceled:
		a.Verdict, a.Code = verdict.MayHaveRun, verdict.CodeCanceled
	case out.Stopped || !out.Complete && !out.Failed:
		a.Verdict, a.Code = verdict.MayHaveRun, verdict.CodeInDoubt
	case out.Failed:
		a.Verdict, a.Code = verdict.Done, verdict.CodeTaskFailed
	default:
		a.Verdict, a.Body = verdict.Done, out.Answer
	}
	return a
}

// OnMemberDead starts to locate the tasks that were dispatched to a dead instance.
func (s *Service) OnMemberDead(ref wire.InstanceRef) {
	delete(s.freeEstimates, ref.Instance)
	s.locateTasksOf(ref)
}

// OnPeerDown starts to locate the tasks that were dispatched over a lost connection.
func (s *Service) OnPeerDown(peer wire.InstanceRef) { s.locateTasksOf(peer) }

func (s *Service) locateTasksOf(holder wire.InstanceRef) {
	for _, id := range s.sortedEntryIDs() {
		e := s.entries[id]
		if e.holder == holder && (e.phase == phaseDispatched || e.phase == phaseRunning) {
			s.startLocate(e)
		}
	}
}

func (s *Service) sortedEntryIDs() []model.TaskID { return slices.Sorted(maps.Keys(s.entries)) }
