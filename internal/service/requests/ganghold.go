package requests

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// round asks the holders one after another, in the order of their names, to keep
// room for the tasks of a gang that have none yet.
type round struct {
	id     uint64
	order  []wire.Owner
	next   int
	sentAt time.Duration // of the question that is open
}

// holding is room that a holder keeps for one task.
type holding struct {
	owner wire.Owner
	at    time.Duration // when it was asked for
}

const (
	// holdTime is how long a holder keeps room; holdMargin is the part of it on
	// which a start may still rely.
	holdTime   = 2 * time.Second
	holdMargin = time.Second
	askTimeout = 500 * time.Millisecond
	// gangPatience is how long a gang waits before it keeps room between rounds.
	gangPatience = 5 * time.Second
	gatherTime   = 10 * time.Second
	gatherPause  = 300 * time.Millisecond
	minGangPause = 100 * time.Millisecond
	maxGangPause = 800 * time.Millisecond
)

// tryStart goes on with the round of a waiting gang, or begins one.
func (s *Service) tryStart(g *gang) {
	now := s.env.Now()
	if _, mine := s.ownership.Mine(g.shard); !mine || s.handover.Frozen(g.shard) {
		s.releaseHolds(g)
		return
	}
	if g.round != nil {
		if now-g.round.sentAt >= askTimeout || !s.members.IsLive(g.round.order[g.round.next]) {
			s.askNext(g)
		}
		return
	}
	if now < g.until {
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
	order := slices.Clone(s.members.Live())
	slices.SortFunc(order, func(a, b wire.Owner) int { return cmp.Compare(a.Instance, b.Instance) })
	g.round = &round{order: order, next: -1}
	s.askNext(g)
}

// askNext asks the next holder, or ends the round.
func (s *Service) askNext(g *gang) {
	r := g.round
	for g.round == r {
		r.next++
		if r.next >= len(r.order) {
			s.endRound(g)
			return
		}
		to := r.order[r.next]
		tasks := g.wanted(to)
		if len(tasks) == 0 {
			continue
		}
		term, _ := s.ownership.Mine(g.shard)
		s.holdID++
		r.id, r.sentAt = s.holdID, s.env.Now()
		m := wire.HoldTasks{ID: r.id, Tasks: tasks, Term: term, Expires: holdTime}
		if to != s.env.Owner() {
			s.env.Send(to.Instance, m)
			return
		}
		s.noteHeld(g, s.ledger.HoldTasks(m))
	}
}

// wanted returns the tasks to ask a holder for: those without room, and those that
// it keeps room for already.
func (g *gang) wanted(holder wire.Owner) []model.Task {
	var tasks []model.Task
	for _, e := range g.members {
		if h, held := g.held[e.base]; held && h.owner != holder {
			continue
		}
		t := e.task
		t.ID, t.Payload = e.taskOf(), nil
		tasks = append(tasks, t)
	}
	return tasks
}

func (s *Service) onHeld(from wire.Owner, m wire.Held) {
	for _, g := range s.gangs {
		if g.round != nil && g.round.id == m.ID && g.round.order[g.round.next] == from {
			s.noteHeld(g, m)
			s.askNext(g)
			return
		}
	}
	if len(m.Tasks) > 0 {
		s.env.Send(from.Instance, wire.ReleaseHolds{Tasks: m.Tasks})
	}
}

// noteHeld replaces what the holder asked last keeps.
func (s *Service) noteHeld(g *gang, m wire.Held) {
	owner := g.round.order[g.round.next]
	for base, h := range g.held {
		if h.owner == owner {
			delete(g.held, base)
		}
	}
	for _, id := range m.Tasks {
		g.held[model.BaseTask(id)] = holding{owner: owner, at: g.round.sentAt}
	}
	g.limited = g.limited || m.Limited
}

// endRound starts the gang if all its tasks are held. Otherwise it gives the room
// back, but for a gang that has waited long: that keeps it for a while.
func (s *Service) endRound(g *gang) {
	now := s.env.Now()
	g.round = nil
	for base, h := range g.held {
		if now-h.at >= holdMargin || !s.members.IsLive(h.owner) {
			delete(g.held, base) // expires by itself
		}
	}
	g.found = len(g.held)
	if len(g.held) == g.count {
		s.startGang(g)
		return
	}
	if g.gatherTo == 0 && now-g.since >= gangPatience {
		g.gatherTo = now + gatherTime
	}
	if now < g.gatherTo {
		g.until = now + gatherPause
		return
	}
	gathered := g.gatherTo > 0
	s.releaseHolds(g)
	s.pauseGang(g)
	if gathered {
		g.since = now // its patience begins anew, so that another gang has a turn
		g.until = now + time.Duration(s.env.Rand().Int64N(int64(gangPatience)))
	}
}

// startGang dispatches every task to the holder that keeps room for it.
func (s *Service) startGang(g *gang) {
	term, _ := s.ownership.Mine(g.shard)
	held := g.held
	g.held = make(map[model.TaskID]holding)
	g.gatherTo, g.tries, g.until = 0, 0, 0
	for _, e := range g.members {
		d := wire.Dispatch{Task: e.task, Term: term, Attempt: e.attempt + 1}
		d.Task.ID = e.taskOf()
		to := held[e.base].owner
		s.leave(e, to, d.Attempt)
		if to == s.env.Owner() {
			s.OnTaskState(to, s.ledger.Dispatch(d))
			continue
		}
		s.env.Send(to.Instance, d)
	}
}

// pauseGang makes a gang wait before its next round, longer with every try.
func (s *Service) pauseGang(g *gang) {
	pause := min(minGangPause<<min(g.tries, 3), maxGangPause)
	g.tries++
	g.until = s.env.Now() + pause/2 + time.Duration(s.env.Rand().Int64N(int64(pause)/2+1))
}

// releaseHolds gives back all that is kept for a gang, and ends its round.
func (s *Service) releaseHolds(g *gang) {
	g.round, g.gatherTo = nil, 0
	owners := make(map[wire.Owner][]model.TaskID)
	for _, e := range g.members {
		if h, ok := g.held[e.base]; ok {
			owners[h.owner] = append(owners[h.owner], e.taskOf())
		}
	}
	clear(g.held)
	order := slices.Clone(s.members.Live())
	slices.SortFunc(order, func(a, b wire.Owner) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, o := range order {
		ids, ok := owners[o]
		switch {
		case !ok:
		case o == s.env.Owner():
			s.ledger.ReleaseHolds(wire.ReleaseHolds{Tasks: ids})
		default:
			s.env.Send(o.Instance, wire.ReleaseHolds{Tasks: ids})
		}
	}
}
