package requests

import (
	"slices"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
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
	blocked := make(map[model.TeamID]bool)
	for {
		e := s.next(blocked)
		if e == nil {
			return
		}
		if !s.dispatch(e) {
			blocked[e.task.Team] = true
		}
	}
}

// next returns the waiting task of the team that is furthest below its share.
func (s *Service) next(blocked map[model.TeamID]bool) *entry {
	var best *entry
	var bestLoad float64
	for _, team := range s.queues.teams {
		e := s.queues.head(team)
		if e == nil || blocked[team] {
			continue
		}
		load := s.load(team)
		urgent := e.task.Class == model.ClassUrgent
		bestUrgent := best != nil && best.task.Class == model.ClassUrgent
		if best == nil || urgent && !bestUrgent || urgent == bestUrgent && load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best
}

// load returns a team's running tasks in the whole fleet divided by its share.
func (s *Service) load(team model.TeamID) float64 {
	var running int64
	for _, e := range s.entries {
		if e.task.Team == team && (e.phase == phaseDispatched || e.phase == phaseRunning) {
			running++
		}
	}
	return float64(running) / float64(max(s.config.Share(team), 1))
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
	if !ok {
		return false
	}
	d := wire.Dispatch{Task: e.task, Term: term, Attempt: e.attempt + 1}
	d.Task.ID = model.WithRun(e.base, e.run)
	if e.task.Demand.Fits(s.ledger.Free()) {
		if st := s.ledger.Dispatch(d); st.Phase != wire.PhaseRejected {
			s.leave(e, s.env.Owner(), d.Attempt)
			s.OnTaskState(s.env.Owner(), st)
			return true
		}
	}
	to, ok := s.roomiest(e.task.Demand)
	if !ok {
		return false
	}
	s.leave(e, to, d.Attempt)
	s.env.Send(to.Instance, d)
	return true
}

func (s *Service) leave(e *entry, to wire.Owner, attempt uint32) {
	s.queues.remove(e)
	e.phase = phaseDispatched
	e.holder = to
	e.attempt = attempt
	if r, ok := s.rooms[to.Instance]; ok {
		r.free = r.free.Sub(e.task.Demand)
	}
}

func (s *Service) roomiest(demand model.Resources) (wire.Owner, bool) {
	var best wire.Owner
	var free int64
	for _, o := range s.members.Live() {
		r, ok := s.rooms[o.Instance]
		if !ok || o == s.env.Owner() || !demand.Fits(r.free) {
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
	if e == nil || e.phase == phaseFinished || model.WithRun(e.base, e.run) != st.Task {
		return
	}
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
		id: id, base: base, shard: shard, run: 1, phase: phaseRunning,
		task: model.Task{ID: base, Team: team}, receivedAt: s.env.Now(), born: s.env.Now(),
	}
	s.entries[base] = e
	return e
}

func (s *Service) onRejected(e *entry, from wire.Owner, st wire.TaskState) {
	if e.phase != phaseDispatched || e.holder != from || e.attempt != st.Attempt {
		return
	}
	if r, ok := s.rooms[from.Instance]; ok {
		r.free = model.Resources{}
	}
	if e.canceled {
		s.finish(e, model.Refusal(e.id, verdict.Refuse(verdict.CodeCanceled, "canceled before it was started")))
		return
	}
	e.holder = wire.Owner{}
	e.phase = phaseWaiting
	s.queues.pushFront(e)
}

func (s *Service) onRunning(e *entry, from wire.Owner, st wire.TaskState) {
	if e.phase == phaseWaiting {
		s.queues.remove(e)
	}
	e.holder = from
	e.worker = st.Worker
	e.attempt = max(e.attempt, st.Attempt)
	if st.Phase == wire.PhaseRunning && e.phase != phaseRunning {
		e.startedAt = s.env.Now()
	}
	e.phase = phaseDispatched
	if st.Phase == wire.PhaseRunning {
		e.phase = phaseRunning
	}
	if e.canceled {
		s.stop(e)
	}
}

// onOutcome turns a task's outcome into the request's answer, or runs the task
// again when it failed and may be repeated.
func (s *Service) onOutcome(e *entry, st wire.TaskState) {
	if e.phase == phaseWaiting {
		s.queues.remove(e)
	}
	out := st.Outcome
	e.worker = st.Worker
	again := (out.Failed || !out.Complete) && e.task.Repeatable && !e.canceled
	if again && e.run < maxRuns && s.env.Now() < e.deadline {
		e.run++
		e.attempt = 0
		e.holder = wire.Owner{}
		s.enqueue(e)
		return
	}
	s.finish(e, s.answerOf(e, out))
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

func (s *Service) sortedEntries() []model.TaskID {
	ids := make([]model.TaskID, 0, len(s.entries))
	for id := range s.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// OnShardMoved forgets what another instance now answers for, and notes since
// when a gained shard has a past that is not remembered here.
func (s *Service) OnShardMoved(m service.ShardMove) {
	if m.After == s.env.Owner() {
		if m.OldTerm != 0 {
			s.gained[m.Shard] = max(s.env.Now(), 1)
		}
		return
	}
	for id, e := range s.entries {
		if e.shard != m.Shard {
			continue
		}
		if e.phase == phaseWaiting {
			s.queues.remove(e)
		}
		delete(s.entries, id)
	}
}
