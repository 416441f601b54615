package limits

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// escrow is the shard owner's record of the ceilings that it granted for one team in
// one term of the shard.
type escrow struct {
	term   uint64
	grants map[wire.InstanceRef]grant
}

// grant describes the grants to one member. Any grant that the member has not
// confirmed may be in force there.
type grant struct {
	seq    uint64        // sequence number of the last grant sent
	peak   int64         // highest ceiling among the unconfirmed grants
	last   int64         // ceiling of the last grant sent
	sentAt time.Duration // when the last grant was sent, 0 once it is confirmed
}

// regrantTimeout is the time after which an unconfirmed grant is sent again: two
// default heartbeat intervals.
const regrantTimeout = time.Second

// OnTick plans the ceilings of the teams whose shards this instance owns.
func (s *Service) OnTick() {
	if !s.members.Majority() {
		s.shrinkCeilings()
	}
	if s.env.Now() < s.nextPlanAt {
		return
	}
	s.nextPlanAt = s.env.Now() + planInterval
	s.expireGangDemands()
	uncovered := int64(-1) // not counted yet
	for _, team := range s.config.LimitedTeams() {
		term, ok := s.ownership.OwnedTerm(model.ShardOfTeam(team))
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

// shrinkCeilings reduces this instance's ceilings to the number of tasks running
// under them. Instances that cannot reach this one may count it as dead and grant
// the remainder to others.
func (s *Service) shrinkCeilings() {
	for team, c := range s.ceilings {
		c.max = min(c.max, s.ledger.Running(team))
		s.ceilings[team] = c
	}
}

// memberLoad is what the shard owner knows of the tasks of a team on one member.
type memberLoad struct {
	ref wire.InstanceRef
	// bound is the highest number of tasks that the member may be running, now or after
	// a grant that it may still receive.
	bound int64
	need  int64 // number of tasks that the member could run now, at most slots
	slots int64 // task slots on the workers that the member covers
}

// plan adjusts a team's ceilings towards the needs of the members. All task slots that
// no live member covers (uncovered) count as used by the team, because they may be
// running its tasks.
func (s *Service) plan(team model.TeamID, term uint64, uncovered int64) {
	if s.env.Now() < s.readyAt[model.ShardOfTeam(team)] {
		return
	}
	e := s.escrowOf(team, term)
	loads, ok := s.memberLoads(team, e)
	if !ok {
		return
	}
	limit := s.limit(team) - uncovered
	free := limit
	for _, m := range loads {
		free -= m.bound
	}
	targets := split(limit, loads)
	slack := int64(maxExcess)
	if shortage(loads, targets) > free {
		slack = 0
	}
	for i, m := range loads {
		switch target := targets[i]; {
		case target > m.bound && free > 0:
			raise := min(target-m.bound, free)
			free -= raise
			s.sendGrant(team, e, m.ref, m.bound+raise)
		case target < m.bound-slack:
			s.sendGrant(team, e, m.ref, target)
		case e.unconfirmed(m.ref, s.env.Now()):
			s.sendGrant(team, e, m.ref, e.grants[m.ref].last)
		}
	}
}

// unconfirmed reports whether the last grant to a member may have been lost.
func (e *escrow) unconfirmed(to wire.InstanceRef, now time.Duration) bool {
	g := e.grants[to]
	return g.sentAt > 0 && now-g.sentAt >= regrantTimeout
}

// shortage returns the sum of what the members lack to reach their targets.
func shortage(loads []memberLoad, targets []int64) int64 {
	var short int64
	for i, m := range loads {
		short += max(targets[i]-m.bound, 0)
	}
	return short
}

// limit returns the limit to split now, noLimit when there is none.
func (s *Service) limit(team model.TeamID) int64 {
	if limit := s.config.Limit(team); limit > 0 {
		return limit
	}
	return noLimit
}

// OnShardMoved makes the new owner of a shard wait for Timing.WorkerLease before its
// first grant. By then every instance that it cannot reach has lost the leases under
// which it could still start tasks. For a shard that never had an owner there are no
// earlier grants, so its first owner does not wait.
func (s *Service) OnShardMoved(m service.ShardMove) {
	if m.OldTerm != 0 {
		s.readyAt[m.Shard] = s.env.Now() + s.env.Timing.WorkerLease
	}
}

// escrowOf returns a team's escrow for a term. A new term starts with an empty one.
func (s *Service) escrowOf(team model.TeamID, term uint64) *escrow {
	e, ok := s.escrows[team]
	if !ok || e.term != term {
		e = &escrow{term: term, grants: make(map[wire.InstanceRef]grant)}
		s.escrows[team] = e
	}
	return e
}

// memberLoads returns the load of every live member. It returns false while the
// report of a member is older than this term, because that member might still apply
// a grant of the previous owner.
func (s *Service) memberLoads(team model.TeamID, e *escrow) ([]memberLoad, bool) {
	var list []memberLoad
	for _, ref := range s.members.Live() {
		load, applied, ok := s.report(ref, team)
		if !ok || applied < e.term {
			return nil, false
		}
		slots := s.taskSlots(ref)
		list = append(list, memberLoad{ref: ref, bound: bound(load, e, ref), need: min(load.Wanted, slots), slots: slots})
	}
	return list, true
}

// report returns a member's last load of a team and the log offset that it had applied.
// It returns false when the member has sent no heartbeat in its current incarnation
// or its coverage does not match the heartbeat.
func (s *Service) report(ref wire.InstanceRef, team model.TeamID) (load wire.TeamLoad, applied uint64, ok bool) {
	if ref == s.env.SelfRef() {
		return s.load(team), s.ownership.Applied(), true
	}
	m, ok := s.members.Member(ref.Instance)
	if !ok || m.Ref != ref || m.Coverage.Version != m.Heartbeat.Coverage {
		return wire.TeamLoad{}, 0, false
	}
	for _, l := range m.Heartbeat.Teams {
		if l.Team == team {
			return l, m.Heartbeat.Applied, true
		}
	}
	return wire.TeamLoad{Team: team}, m.Heartbeat.Applied, true
}

// bound returns the highest number of tasks that a member may reach: the maximum of
// its running tasks, the ceiling that it reported and, unless it reported the last
// grant, the highest unconfirmed grant. When the member reported the last grant, bound
// marks all grants to it as confirmed.
func bound(load wire.TeamLoad, e *escrow, ref wire.InstanceRef) int64 {
	b := max(load.Running, load.Ceiling)
	g, sent := e.grants[ref]
	if !sent {
		return b
	}
	if load.GrantTerm == e.term && load.GrantSeq == g.seq {
		e.grants[ref] = grant{seq: g.seq}
		return b
	}
	return max(b, g.peak)
}

// sendGrant sends a ceiling to a member, or applies it directly when the member is
// this instance.
func (s *Service) sendGrant(team model.TeamID, e *escrow, to wire.InstanceRef, ceiling int64) {
	g := e.grants[to]
	g = grant{seq: g.seq + 1, peak: max(g.peak, ceiling), last: ceiling, sentAt: s.env.Now()}
	e.grants[to] = g
	msg := wire.Grant{
		Team: team, Term: e.term, Seq: g.seq, Ceiling: ceiling, Limit: s.limit(team), To: to.Incarnation,
	}
	if to == s.env.SelfRef() {
		msg.HeartbeatSeq = currentHeartbeatSeq
		s.applyGrant(msg)
		return
	}
	if m, ok := s.members.Member(to.Instance); ok {
		msg.HeartbeatSeq = m.Heartbeat.Seq
	}
	s.env.Send(to.Instance, msg)
}

// uncovered returns the number of task slots on listed workers that no live member
// covers. Any of them may be running tasks of any team.
func (s *Service) uncovered() int64 {
	covered := make(map[model.WorkerID]bool)
	for _, ref := range s.members.Live() {
		for _, id := range s.coverageOf(ref).Workers {
			covered[id] = true
		}
	}
	var slots int64
	for id, w := range s.ledger.ListedWorkers() {
		if !covered[id] {
			slots += w.Capacity.Slots
		}
	}
	return slots
}

func (s *Service) coverageOf(ref wire.InstanceRef) wire.Coverage {
	if ref == s.env.SelfRef() {
		return s.ledger.Coverage()
	}
	if m, ok := s.members.Member(ref.Instance); ok {
		return m.Coverage
	}
	return wire.Coverage{}
}

// split divides a limit among the members with task slots. Each gets what it needs
// as far as the limit allows, smallest needs first; what remains is split equally,
// as a reserve for sudden demand.
func split(limit int64, members []memberLoad) []int64 {
	targets := make([]int64, len(members))
	if limit <= 0 {
		return targets
	}
	var ranked []int
	for i, m := range members {
		if m.slots > 0 {
			ranked = append(ranked, i)
		}
	}
	if len(ranked) == 0 {
		return targets
	}
	slices.SortStableFunc(ranked, func(a, b int) int { return int(members[a].need - members[b].need) })
	remaining := limit
	for rank, i := range ranked {
		part := remaining / int64(len(ranked)-rank)
		targets[i] = min(members[i].need, part)
		remaining -= targets[i]
	}
	spare, extra := remaining/int64(len(ranked)), remaining%int64(len(ranked))
	for rank, i := range ranked {
		targets[i] += spare
		if int64(rank) < extra {
			targets[i]++
		}
	}
	return targets
}
