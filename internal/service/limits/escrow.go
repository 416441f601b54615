package limits

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// escrow is the owner's account of one team's ceilings, for one term of its shard.
type escrow struct {
	term   uint64
	grants map[wire.Owner]grant
}

// grant is the last ceiling sent to a holder. Peak is the highest ceiling among
// the grants that the holder has not confirmed: any of them may be in force there.
type grant struct {
	seq    uint64
	peak   int64
	last   int64         // ceiling of grant seq
	sentAt time.Duration // of grant seq, 0 once it is confirmed
}

// regrantAfter is how long a grant may go unconfirmed before it is sent again: two
// heartbeats with the default timing.
const regrantAfter = time.Second

// OnTick plans the ceilings of the teams that this instance keeps.
func (s *Service) OnTick() {
	if !s.members.Majority() {
		s.giveUpRoom()
	}
	if s.env.Now() < s.nextPlan {
		return
	}
	s.nextPlan = s.env.Now() + planInterval
	s.forgetAsked()
	uncovered := int64(-1) // not counted yet
	for _, team := range s.config.LimitedTeams() {
		term, ok := s.ownership.Mine(model.ShardOfTeam(team))
		if !ok {
			delete(s.escrows, team)
			continue
		}
		if uncovered < 0 {
			uncovered = s.uncovered()
		}
		s.plan(team, term, uncovered)
	}
}

// giveUpRoom lowers this instance's ceilings to what runs under them. Instances that
// do not hear it may take it for dead and grant the rest to others.
func (s *Service) giveUpRoom() {
	for team, h := range s.held {
		h.max = min(h.max, s.ledger.Running(team))
		s.held[team] = h
	}
}

// holding is what the owner believes of one holder of ceilings.
type holding struct {
	owner wire.Owner
	// bound is the most that the holder may be running, now or after any grant
	// that is still on its way.
	bound int64
	need  int64
	room  int64 // slots of the workers that the holder covers
}

// plan moves a team's ceilings towards what its holders need. Uncovered slots may
// be running its tasks.
func (s *Service) plan(team model.TeamID, term uint64, uncovered int64) {
	if s.env.Now() < s.readyAt[model.ShardOfTeam(team)] {
		return
	}
	e := s.escrowOf(team, term)
	holdings, ok := s.holdings(team, e)
	if !ok {
		return
	}
	limit := s.limit(team) - uncovered
	free := limit
	for _, h := range holdings {
		free -= h.bound
	}
	targets := split(limit, holdings)
	slack := int64(lowerSlack)
	if shortage(holdings, targets) > free {
		slack = 0
	}
	for i, h := range holdings {
		switch target := targets[i]; {
		case target > h.bound && free > 0:
			raise := min(target-h.bound, free)
			free -= raise
			s.grant(team, e, h.owner, h.bound+raise)
		case target < h.bound-slack:
			s.grant(team, e, h.owner, target)
		case e.unconfirmed(h.owner, s.env.Now()):
			s.grant(team, e, h.owner, e.grants[h.owner].last)
		}
	}
}

// unconfirmed reports whether the last grant to a holder may be lost.
func (e *escrow) unconfirmed(to wire.Owner, now time.Duration) bool {
	g := e.grants[to]
	return g.sentAt > 0 && now-g.sentAt >= regrantAfter
}

// shortage returns how much the holders lack of their targets.
func shortage(holdings []holding, targets []int64) int64 {
	var short int64
	for i, h := range holdings {
		short += max(targets[i]-h.bound, 0)
	}
	return short
}

// limit returns the limit to split at this hour.
func (s *Service) limit(team model.TeamID) int64 {
	if limit := s.config.Limit(team); limit > 0 {
		return limit
	}
	return noLimit
}

// OnShardMoved makes the new owner of a shard wait one worker lease before its
// first grant, so that every holder that it does not hear has lost the leases
// under which it could still start tasks.
func (s *Service) OnShardMoved(m service.ShardMove) {
	if m.OldTerm != 0 {
		s.readyAt[m.Shard] = s.env.Now() + s.env.Timing.WorkerLease
	}
}

// escrowOf returns the account for the term.
func (s *Service) escrowOf(team model.TeamID, term uint64) *escrow {
	e, ok := s.escrows[team]
	if !ok || e.term != term {
		e = &escrow{term: term, grants: make(map[wire.Owner]grant)}
		s.escrows[team] = e
	}
	return e
}

// holdings returns what every live member may be running. It is not ok while a
// member's report is older than this term: the member might still apply a grant
// of the owner before.
func (s *Service) holdings(team model.TeamID, e *escrow) ([]holding, bool) {
	var list []holding
	for _, o := range s.members.Live() {
		load, applied, ok := s.report(o, team)
		if !ok || applied < e.term {
			return nil, false
		}
		room := s.room(o)
		list = append(list, holding{owner: o, bound: bound(load, e, o), need: min(load.Wanted, room), room: room})
	}
	return list, true
}

func (s *Service) report(o wire.Owner, team model.TeamID) (load wire.TeamLoad, applied uint64, ok bool) {
	if o == s.env.Owner() {
		return s.load(team), s.ownership.Applied(), true
	}
	m, ok := s.members.Member(o.Instance)
	if !ok || m.Owner != o || m.Coverage.Version != m.Beat.Coverage {
		return wire.TeamLoad{}, 0, false
	}
	for _, l := range m.Beat.Teams {
		if l.Team == team {
			return l, m.Beat.Applied, true
		}
	}
	return wire.TeamLoad{Team: team}, m.Beat.Applied, true
}

// bound is the highest count that a holder may reach: its running tasks, the
// ceiling it reported, and the last grant unless it reported that very grant.
func bound(load wire.TeamLoad, e *escrow, o wire.Owner) int64 {
	b := max(load.Running, load.Ceiling)
	g, sent := e.grants[o]
	if !sent {
		return b
	}
	if load.GrantTerm == e.term && load.GrantSeq == g.seq {
		e.grants[o] = grant{seq: g.seq}
		return b
	}
	return max(b, g.peak)
}

func (s *Service) grant(team model.TeamID, e *escrow, to wire.Owner, ceiling int64) {
	g := e.grants[to]
	g = grant{seq: g.seq + 1, peak: max(g.peak, ceiling), last: ceiling, sentAt: s.env.Now()}
	e.grants[to] = g
	msg := wire.Grant{
		Team: team, Term: e.term, Seq: g.seq, Ceiling: ceiling, Limit: s.limit(team), To: to.Incarnation,
	}
	if to == s.env.Owner() {
		msg.Beat = currentBeat
		s.apply(msg)
		return
	}
	if m, ok := s.members.Member(to.Instance); ok {
		msg.Beat = m.Beat.Seq
	}
	s.env.Send(to.Instance, msg)
}

// uncovered returns the slots of the listed workers that no live member covers:
// any of them may be running tasks of any team.
func (s *Service) uncovered() int64 {
	covered := make(map[model.WorkerID]bool)
	for _, o := range s.members.Live() {
		for _, id := range s.coverageOf(o).Workers {
			covered[id] = true
		}
	}
	var slots int64
	for id, w := range s.ledger.Roster() {
		if !covered[id] {
			slots += w.Capacity.Slots
		}
	}
	return slots
}

func (s *Service) coverageOf(o wire.Owner) wire.Coverage {
	if o == s.env.Owner() {
		return s.ledger.Coverage()
	}
	if m, ok := s.members.Member(o.Instance); ok {
		return m.Coverage
	}
	return wire.Coverage{}
}

// split divides limit over the holders of workers: to each its need as far as it
// goes round, the rest in equal parts as room for sudden demand.
func split(limit int64, holders []holding) []int64 {
	targets := make([]int64, len(holders))
	if limit <= 0 {
		return targets
	}
	var order []int
	for i, h := range holders {
		if h.room > 0 {
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		return targets
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(holders[a].need - holders[b].need) })
	left := limit
	for rank, i := range order {
		part := left / int64(len(order)-rank)
		targets[i] = min(holders[i].need, part)
		left -= targets[i]
	}
	spare, extra := left/int64(len(order)), left%int64(len(order))
	for rank, i := range order {
		targets[i] += spare
		if int64(rank) < extra {
			targets[i]++
		}
	}
	return targets
}
