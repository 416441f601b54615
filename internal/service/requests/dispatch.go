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

// OnStepEnd dispatches waiting tasks while there is room.
func (s *Service) OnStepEnd() {
	if !s.moved {
		return
	}
	s.moved = false
	s.refreshRooms()
	s.stepGangs()
	s.queue.Wake(s.largestRoom())
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

// largestRoom returns the most that is believed free at any one instance.
func (s *Service) largestRoom() model.Resources {
	room := s.ledger.Free()
	for _, r := range s.rooms {
		room.MilliCPU = max(room.MilliCPU, r.free.MilliCPU)
		room.MemoryMiB = max(room.MemoryMiB, r.free.MemoryMiB)
		room.Slots = max(room.Slots, r.free.Slots)
		room.Accelerators = max(room.Accelerators, r.free.Accelerators)
	}
	return room
}

// refreshShares tells the queue what each team may weigh and what it holds in the
// whole fleet, as far as heartbeats have told.
func (s *Service) refreshShares() {
	var capacity model.Resources
	for _, w := range s.ledger.Roster() {
		capacity = capacity.Add(w.Capacity)
	}
	s.queue.SetCapacity(capacity)
	for _, t := range s.config.Teams() {
		s.queue.SetShare(t.Name, t.Share)
		s.queue.SetUsage(t.Name, s.elsewhere(t.Name))
	}
	s.queue.Rebalance()
}

// elsewhere returns what a team holds beyond what was dispatched from here.
func (s *Service) elsewhere(team model.TeamID) model.Resources {
	held := s.ledger.Usage(team)
	for _, o := range s.members.Live() {
		m, ok := s.members.Member(o.Instance)
		if !ok {
			continue
		}
		for _, l := range m.Beat.Teams {
			if l.Team == team {
				held = held.Add(l.Usage)
			}
		}
	}
	rest := held.Sub(s.queue.Book.Account(team).Local())
	return model.Resources{
		MilliCPU: max(rest.MilliCPU, 0), MemoryMiB: max(rest.MemoryMiB, 0),
		Slots: max(rest.Slots, 0), Accelerators: max(rest.Accelerators, 0),
	}
}

// refreshRooms takes over what newer heartbeats say is free.
func (s *Service) refreshRooms() {
	for _, o := range s.members.Live() {
		m, ok := s.members.Member(o.Instance)
		if !ok {
			continue
		}
		r, known := s.rooms[o.Instance]
		if !known {
			r = &room{}
			s.rooms[o.Instance] = r
		}
		if m.Beat.Seq > r.seq {
			r.seq, r.free = m.Beat.Seq, m.Beat.Free
		}
	}
}

// dispatch hands a task to this instance's ledger, or to the one with the most
// room. It reports whether the task left the queue.
func (s *Service) dispatch(e *entry) bool {
	term, ok := s.ownership.Mine(e.shard)
	if !ok || s.handover.Frozen(e.shard) {
		return false
	}
	d := wire.Dispatch{Task: e.task, Term: term, Attempt: e.attempt + 1}
	d.Task.ID = e.taskOf()
	if s.mayTryHere(e) {
		st := s.ledger.Dispatch(d)
		if st.Phase != wire.PhaseRejected {
			s.leave(e, s.env.Owner(), d.Attempt)
			s.OnTaskState(s.env.Owner(), st)
			return true
		}
		s.noteRefusal(s.env.Self.ID, e.task.Team, st.Reason)
	}
	to, ok := s.roomiest(e)
	if !ok {
		return false
	}
	s.leave(e, to, d.Attempt)
	s.env.Send(to.Instance, d)
	return true
}

func (s *Service) leave(e *entry, to wire.Owner, attempt uint32) {
	s.setPhase(e, phaseDispatched)
	e.holder = to
	e.attempt = attempt
	e.dispatchedAt = s.env.Now()
	if r, ok := s.rooms[to.Instance]; ok {
		r.free = r.free.Sub(e.task.Demand)
	}
}

// refusal names a holder that refused work of a team for its upper limit.
type refusal struct {
	holder model.InstanceID
	team   model.TeamID
}

// refusalPause is how long a holder is not asked again after such a refusal.
const refusalPause = 50 * time.Millisecond

func (s *Service) noteRefusal(holder model.InstanceID, team model.TeamID, reason string) {
	if reason == ledger.ReasonLimit {
		s.refusals[refusal{holder, team}] = s.env.Now() + refusalPause
	}
}

func (s *Service) refused(holder model.InstanceID, team model.TeamID) bool {
	return s.env.Now() < s.refusals[refusal{holder, team}]
}

// mayTryHere reports whether this instance's own workers may take the task: there
// is room, or the task is urgent and may make room.
func (s *Service) mayTryHere(e *entry) bool {
	if s.refused(s.env.Self.ID, e.task.Team) {
		return false
	}
	return e.task.Class == model.ClassUrgent || e.task.Demand.Fits(s.ledger.Free())
}

// roomiest returns the other instance with the most room for the task.
func (s *Service) roomiest(e *entry) (wire.Owner, bool) {
	var best wire.Owner
	var free int64
	for _, o := range s.members.Live() {
		r, ok := s.rooms[o.Instance]
		if !ok || o == s.env.Owner() || !e.task.Demand.Fits(r.free) || s.refused(o.Instance, e.task.Team) {
			continue
		}
		if best.Instance == "" || r.free.Slots > free {
			best, free = o, r.free.Slots
		}
	}
	return best, best.Instance != ""
}

// OnMessage takes task states and answers to locates from other instances.
func (s *Service) OnMessage(from wire.Owner, m wire.Message) {
	switch m := m.(type) {
	case wire.TaskState:
		s.OnTaskState(from, m)
	case wire.Held:
		s.onHeld(from, m)
	case wire.Located:
		s.onLocated(from, m)
	}
}

// OnTaskState takes what a worker holder says of a task.
func (s *Service) OnTaskState(from wire.Owner, st wire.TaskState) {
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
	s.moved = true
}

// adopt remembers a task that was started under an earlier owner of its shard.
func (s *Service) adopt(base model.TaskID, st wire.TaskState) *entry {
	team, id, _, err := model.RequestOfTask(base)
	if err != nil || st.Phase == wire.PhaseRejected {
		return nil
	}
	shard := model.ShardOfTask(base)
	if _, mine := s.ownership.Mine(shard); !mine {
		return nil
	}
	e := &entry{
		id: id, base: base, shard: shard, run: 1, phase: phaseLocating,
		task: model.Task{ID: base, Team: team}, receivedAt: s.env.Now(), born: s.env.Now(),
	}
	s.entries[base] = e
	return e
}

func (s *Service) onRejected(e *entry, from wire.Owner, st wire.TaskState) {
	if e.phase != phaseDispatched || e.holder != from || e.attempt != st.Attempt {
		return
	}
	if r, ok := s.rooms[from.Instance]; ok && st.Reason == ledger.ReasonRoom {
		r.free = model.Resources{}
	}
	if e.canceled {
		s.finish(e, s.unstarted(e, verdict.CodeCanceled, "canceled before it was started"))
		return
	}
	s.noteRefusal(from.Instance, e.task.Team, st.Reason)
	if e.gang != nil {
		e.gang.until = max(e.gang.until, s.env.Now()+minGangPause)
		s.setPhase(e, phaseGang)
		return
	}
	e.holder = wire.Owner{}
	s.setPhase(e, phaseWaiting)
	s.queue.Return(&e.task, e.place)
}

func (s *Service) onRunning(e *entry, from wire.Owner, st wire.TaskState) {
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

// onOutcome turns a task's outcome into the request's answer, or runs the task
// again when it failed and may be repeated.
func (s *Service) onOutcome(e *entry, st wire.TaskState) {
	out := st.Outcome
	e.worker = st.Worker
	if e.gang != nil {
		s.onGangOutcome(e, out)
		return
	}
	if s.runsAgain(e, out) {
		e.run++
		e.attempt = 0
		e.holder = wire.Owner{}
		s.backOff(e)
		return
	}
	s.finish(e, s.answerOf(e, out))
}

// runsAgain reports whether a task that ended is to be run once more: a service
// always, other work if it may be repeated and was stopped, or failed and has
// tries left.
func (s *Service) runsAgain(e *entry, out model.Outcome) bool {
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

// OnMemberDead puts what was dispatched to a dead instance in doubt.
func (s *Service) OnMemberDead(o wire.Owner) {
	delete(s.rooms, o.Instance)
	s.doubt(o)
}

// OnPeerDown puts what was dispatched over a lost connection in doubt.
func (s *Service) OnPeerDown(peer wire.Owner) { s.doubt(peer) }

func (s *Service) doubt(holder wire.Owner) {
	for _, id := range s.sortedEntries() {
		e := s.entries[id]
		if e.holder == holder && (e.phase == phaseDispatched || e.phase == phaseRunning) {
			s.startLocate(e)
		}
	}
}

func (s *Service) sortedEntries() []model.TaskID { return slices.Sorted(maps.Keys(s.entries)) }
