package requests

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// holdRound asks the holders one after another, in the order of their ids, to reserve
// resources for those tasks of a gang that have no hold yet.
type holdRound struct {
	id      uint64
	holders []wire.InstanceRef
	next    int
	askedAt time.Duration // when the unanswered request was sent
}

// taskHold is a reservation of resources for one task at a holder.
type taskHold struct {
	holder  wire.InstanceRef
	askedAt time.Duration // when the reservation was requested
}

const (
	// holdDuration is how long a holder keeps a hold. maxHoldAge is the age below
	// which a start may still rely on a hold.
	holdDuration = 2 * time.Second
	maxHoldAge   = time.Second
	// holdReplyTimeout is how long a holder's reply is awaited before the next holder
	// is asked.
	holdReplyTimeout = 500 * time.Millisecond
	// gatherDelay is how long a gang waits before it starts to keep its holds between
	// rounds. It then does so for gatherWindow, with gatherInterval between rounds.
	gatherDelay    = 5 * time.Second
	gatherWindow   = 10 * time.Second
	gatherInterval = 300 * time.Millisecond
	minGangBackoff = 100 * time.Millisecond
	maxGangBackoff = 800 * time.Millisecond
)

// tryStartGang continues the current round of a waiting gang, or begins one.
func (s *Service) tryStartGang(g *gang) {
	now := s.env.Now()
	if _, owned := s.ownership.OwnedTerm(g.shard); !owned || s.handover.Frozen(g.shard) {
		s.releaseHolds(g)
		return
	}
	if g.round != nil {
		if now-g.round.askedAt >= holdReplyTimeout || !s.members.IsLive(g.round.holders[g.round.next]) {
			s.askNextHolder(g)
		}
		return
	}
	if now < g.notBefore {
		return
	}
	g.limited = false
	run := 1
	for _, e := range g.members {
		run = max(run, e.run)
	}
	for _, e := range g.members {
		e.run = run
	}
	holders := slices.Clone(s.members.Live())
	slices.SortFunc(holders, func(a, b wire.InstanceRef) int { return cmp.Compare(a.Instance, b.Instance) })
	g.round = &holdRound{holders: holders, next: -1}
	s.askNextHolder(g)
}

// askNextHolder asks the next holder for holds, or ends the round after the last.
func (s *Service) askNextHolder(g *gang) {
	r := g.round
	for g.round == r {
		r.next++
		if r.next >= len(r.holders) {
			s.endRound(g)
			return
		}
		to := r.holders[r.next]
		tasks := g.tasksToHold(to)
		if len(tasks) == 0 {
			continue
		}
		term, _ := s.ownership.OwnedTerm(g.shard)
		s.lastHoldID++
		r.id, r.askedAt = s.lastHoldID, s.env.Now()
		m := wire.HoldTasks{ID: r.id, Tasks: tasks, Term: term, Expires: holdDuration}
		if to != s.env.SelfRef() {
			s.env.Send(to.Instance, m)
			return
		}
		s.recordHeld(g, s.ledger.HoldTasks(m))
	}
}

// tasksToHold returns the tasks for which a holder is asked: those without a hold, and
// those that it holds already, whose holds are thereby extended.
func (g *gang) tasksToHold(holder wire.InstanceRef) []model.Task {
	var tasks []model.Task
	for _, e := range g.members {
		if h, held := g.holds[e.base]; held && h.holder != holder {
			continue
		}
		t := e.task
		t.ID, t.Payload = e.runID(), nil
		tasks = append(tasks, t)
	}
	return tasks
}

// onHeld records a holder's reply to the request of a round. Holds that no round waits
// for any more are released.
func (s *Service) onHeld(from wire.InstanceRef, m wire.Held) {
	for _, g := range s.gangs {
		if g.round != nil && g.round.id == m.ID && g.round.holders[g.round.next] == from {
			s.recordHeld(g, m)
			s.askNextHolder(g)
			return
		}
	}
	if len(m.Tasks) > 0 {
		s.env.Send(from.Instance, wire.ReleaseHolds{Tasks: m.Tasks})
	}
}

// recordHeld replaces the known holds of the holder that was asked last.
func (s *Service) recordHeld(g *gang, m wire.Held) {
	holder := g.round.holders[g.round.next]
	for base, h := range g.holds {
		if h.holder == holder {
			delete(g.holds, base)
		}
	}
	for _, id := range m.Tasks {
		g.holds[model.BaseTask(id)] = taskHold{holder: holder, askedAt: g.round.askedAt}
	}
	g.limited = g.limited || m.Limited
}

// endRound starts the gang if all its tasks are held. Otherwise it releases the holds,
// except that a gang that has waited for gatherDelay keeps them for gatherWindow.
func (s *Service) endRound(g *gang) {
	now := s.env.Now()
	g.round = nil
	for base, h := range g.holds {
		if now-h.askedAt >= maxHoldAge || !s.members.IsLive(h.holder) {
			delete(g.holds, base) // expires by itself
		}
	}
	g.heldLastRound = len(g.holds)
	if len(g.holds) == g.count {
		s.startGang(g)
		return
	}
	if g.gatherUntil == 0 && now-g.waitingSince >= gatherDelay {
		g.gatherUntil = now + gatherWindow
	}
	if now < g.gatherUntil {
		g.notBefore = now + gatherInterval
		return
	}
	gathered := g.gatherUntil > 0
	s.releaseHolds(g)
	s.backOffGang(g)
	if gathered {
		g.waitingSince = now // restarts the gather delay, so that another gang can start
		g.notBefore = now + time.Duration(s.env.Rand().Int64N(int64(gatherDelay)))
	}
}

// startGang dispatches every task to the holder that reserved resources for it.
func (s *Service) startGang(g *gang) {
	term, _ := s.ownership.OwnedTerm(g.shard)
	holds := g.holds
	g.holds = make(map[model.TaskID]taskHold)
	g.gatherUntil, g.failedRounds, g.notBefore = 0, 0, 0
	for _, e := range g.members {
		d := wire.Dispatch{Task: e.task, Term: term, Attempt: e.attempt + 1}
		d.Task.ID = e.runID()
		to := holds[e.base].holder
		s.markDispatched(e, to, d.Attempt)
		if to == s.env.SelfRef() {
			s.OnTaskState(to, s.ledger.Dispatch(d))
			continue
		}
		s.env.Send(to.Instance, d)
	}
}

// backOffGang delays a gang's next round, longer after every unsuccessful one, with
// jitter.
func (s *Service) backOffGang(g *gang) {
	delay := min(minGangBackoff<<min(g.failedRounds, 3), maxGangBackoff)
	g.failedRounds++
	g.notBefore = s.env.Now() + delay/2 + time.Duration(s.env.Rand().Int64N(int64(delay)/2+1))
}

// releaseHolds releases all holds of a gang and ends its round.
func (s *Service) releaseHolds(g *gang) {
	g.round, g.gatherUntil = nil, 0
	tasksByHolder := make(map[wire.InstanceRef][]model.TaskID)
	for _, e := range g.members {
		if h, ok := g.holds[e.base]; ok {
			tasksByHolder[h.holder] = append(tasksByHolder[h.holder], e.runID())
		}
	}
	clear(g.holds)
	holders := slices.Clone(s.members.Live())
	slices.SortFunc(holders, func(a, b wire.InstanceRef) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, ref := range holders {
		ids, ok := tasksByHolder[ref]
		switch {
		case !ok:
		case ref == s.env.SelfRef():
			s.ledger.ReleaseHolds(wire.ReleaseHolds{Tasks: ids})
		default:
			s.env.Send(ref.Instance, wire.ReleaseHolds{Tasks: ids})
		}
	}
}
