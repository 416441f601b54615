// Package membership decides which instances are live, based on the platform's
// instance list, which lags behind, and on heartbeats between the instances.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// Member is what this instance knows of another one. Ref identifies the other
// instance and its incarnation.
type Member struct {
	Ref             wire.InstanceRef
	Heartbeat       wire.Heartbeat
	LastHeartbeatAt time.Duration
	Coverage        wire.Coverage
	dead            bool
}

// Service tracks the members of the cell. A member counts as dead when it has sent
// no heartbeat to this instance for Timing.DeadAfter and a majority of the members
// reachable from here cannot reach it either, so that a single broken link moves no
// shard. A time in which this instance itself was paused does not count.
type Service struct {
	env          *event.Env
	contributors []service.HeartbeatContributor
	listeners    []service.MemberDeadHandler

	listed           map[model.InstanceID]platform.Instance
	members          map[model.InstanceID]*Member
	heartbeatSeq     uint64
	heartbeatsSentAt time.Duration
	tickedAt         time.Duration
	listeningSince   time.Duration // end of the last pause of this instance
	leaving          bool
}

// New returns the membership service.
func New(env *event.Env) *Service {
	return &Service{
		env:     env,
		listed:  make(map[model.InstanceID]platform.Instance),
		members: make(map[model.InstanceID]*Member),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Membership }

// Bind looks up the services that contribute to heartbeats and those that handle
// dead members.
func (s *Service) Bind(k *kernel.Kernel) error {
	s.contributors = kernel.All[service.HeartbeatContributor](k)
	s.listeners = kernel.All[service.MemberDeadHandler](k)
	return nil
}

// OnListing replaces the instance list.
func (s *Service) OnListing(l platform.Listing) {
	clear(s.listed)
	for _, i := range l.Instances {
		s.listed[i.ID] = i
	}
}

// OnMessage handles heartbeats and coverage.
func (s *Service) OnMessage(from wire.InstanceRef, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		s.onHeartbeat(from, m)
	case wire.Coverage:
		s.onCoverage(from, m)
	}
}

func (s *Service) onHeartbeat(from wire.InstanceRef, heartbeat wire.Heartbeat) {
	member, ok := s.members[from.Instance]
	if ok && from.Incarnation < member.Ref.Incarnation {
		return
	}
	if ok && from.Incarnation > member.Ref.Incarnation {
		s.declareDead(member)
		ok = false
	}
	if !ok {
		member = &Member{Ref: from}
		s.members[from.Instance] = member
		s.env.Note(event.Note{Kind: "member-up", Subject: string(from.Instance)})
	}
	member.LastHeartbeatAt = s.env.Now()
	member.dead = false
	if heartbeat.Seq > member.Heartbeat.Seq {
		member.Heartbeat = heartbeat
	}
	if member.Coverage.Version < member.Heartbeat.Coverage {
		s.env.Send(from.Instance, wire.FetchCoverage{})
	}
}

func (s *Service) onCoverage(from wire.InstanceRef, c wire.Coverage) {
	m, ok := s.members[from.Instance]
	if ok && m.Ref == from && c.Version > m.Coverage.Version {
		m.Coverage = c
	}
}

// OnTick sends heartbeats and declares members dead.
func (s *Service) OnTick() {
	s.detectPause()
	if s.heartbeatsSentAt == 0 || s.env.Now()-s.heartbeatsSentAt >= s.env.Timing.Heartbeat {
		s.heartbeatsSentAt = s.env.Now()
		s.sendHeartbeats()
	}
	for _, id := range s.sortedMembers() {
		m := s.members[id]
		if !m.dead && s.silent(m) && s.unreachableForMajority(m.Ref) {
			s.declareDead(m)
		}
	}
}

// detectPause notes the end of a pause of this instance: a long gap between ticks.
// Heartbeats that arrived meanwhile may still be queued behind this tick. Without this, an
// instance that resumes declares all others dead and claims the shards of those whose
// heartbeats it handles last.
func (s *Service) detectPause() {
	if now := s.env.Now(); now-s.tickedAt > s.env.Timing.DeadAfter/2 {
		s.listeningSince = now
	}
	s.tickedAt = s.env.Now()
}

// silent reports whether a member has sent no heartbeat for Timing.DeadAfter during which
// this instance was not paused.
func (s *Service) silent(m *Member) bool {
	return s.unreachable(m) && s.env.Now()-s.listeningSince >= s.env.Timing.DeadAfter
}

func (s *Service) sendHeartbeats() {
	s.heartbeatSeq++
	heartbeat := wire.Heartbeat{Seq: s.heartbeatSeq, Leaving: s.leaving, Reachable: s.reachable()}
	for _, c := range s.contributors {
		c.FillHeartbeat(&heartbeat)
	}
	for _, id := range s.Peers() {
		s.env.Send(id, heartbeat)
	}
}

// Peers returns the other instances that are listed or live, sorted.
func (s *Service) Peers() []model.InstanceID {
	var ids []model.InstanceID
	for id := range s.listed {
		if id != s.env.Self.ID {
			ids = append(ids, id)
		}
	}
	for id, m := range s.members {
		if _, ok := s.listed[id]; !ok && !m.dead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// unreachable reports whether a member has sent no heartbeat for Timing.DeadAfter.
func (s *Service) unreachable(m *Member) bool {
	return s.env.Now()-m.LastHeartbeatAt >= s.env.Timing.DeadAfter
}

// unreachableForMajority reports whether more than half of the members reachable
// from here, this instance included, cannot reach ref.
func (s *Service) unreachableForMajority(ref wire.InstanceRef) bool {
	reachable, cannotReach := 1, 1
	for _, m := range s.members {
		if m.dead || s.unreachable(m) {
			continue
		}
		reachable++
		if !slices.Contains(m.Heartbeat.Reachable, ref) {
			cannotReach++
		}
	}
	return 2*cannotReach > reachable
}

func (s *Service) declareDead(m *Member) {
	m.dead = true
	s.env.Note(event.Note{Kind: "member-dead", Subject: string(m.Ref.Instance)})
	for _, l := range s.listeners {
		l.OnMemberDead(m.Ref)
	}
}

// reachable returns the members that this instance can reach, sorted.
func (s *Service) reachable() []wire.InstanceRef {
	var refs []wire.InstanceRef
	for _, m := range s.members {
		if !m.dead && !s.unreachable(m) {
			refs = append(refs, m.Ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

func compareRefs(a, b wire.InstanceRef) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (s *Service) sortedMembers() []model.InstanceID { return slices.Sorted(maps.Keys(s.members)) }

// Live returns the members that do not count as dead, this instance included,
// sorted.
func (s *Service) Live() []wire.InstanceRef {
	live := []wire.InstanceRef{s.env.SelfRef()}
	for _, m := range s.members {
		if !m.dead {
			live = append(live, m.Ref)
		}
	}
	slices.SortFunc(live, compareRefs)
	return live
}

// Eligible returns the live members that may be given shards: those that are not
// leaving according to the instance list or their heartbeats.
func (s *Service) Eligible() []wire.InstanceRef {
	var eligible []wire.InstanceRef
	for _, ref := range s.Live() {
		if !s.isLeaving(ref.Instance) {
			eligible = append(eligible, ref)
		}
	}
	return eligible
}

func (s *Service) isLeaving(id model.InstanceID) bool {
	if s.listed[id].Leaving {
		return true
	}
	if id == s.env.Self.ID {
		return s.leaving
	}
	m, ok := s.members[id]
	return ok && m.Heartbeat.Leaving
}

// IsLive reports whether ref counts as live. An instance from which no heartbeat was
// ever received does not.
func (s *Service) IsLive(ref wire.InstanceRef) bool {
	if ref == s.env.SelfRef() {
		return true
	}
	m, ok := s.members[ref.Instance]
	return ok && m.Ref == ref && !m.dead
}

// IsDead reports whether ref certainly counts as dead now. Unless a later incarnation was
// heard, a majority of the reachable members must not reach it: a broken link to an
// instance that was never heard is no reason to take its shards, nor is it one that this
// instance was itself cut off from all others when it declared ref dead.
func (s *Service) IsDead(ref wire.InstanceRef) bool {
	if ref.Instance == s.env.Self.ID {
		return ref.Incarnation < s.env.Self.Incarnation
	}
	m, ok := s.members[ref.Instance]
	switch {
	case ok && m.Ref.Incarnation > ref.Incarnation:
		return true
	case ok && m.Ref == ref && !m.dead:
		return false
	}
	return s.unreachableForMajority(ref)
}

// Majority reports whether this instance can reach more than half of the listed
// instances, itself included. Without a majority it may be the one that is
// partitioned from the others.
func (s *Service) Majority() bool {
	listed, reachable := 1, 1
	for id := range s.listed {
		if id == s.env.Self.ID {
			continue
		}
		listed++
		if m, ok := s.members[id]; ok && !m.dead && !s.unreachable(m) {
			reachable++
		}
	}
	return 2*reachable > listed
}

// Member returns what is known of a live member other than this instance. It returns
// false for any other instance.
func (s *Service) Member(id model.InstanceID) (*Member, bool) {
	m, ok := s.members[id]
	if !ok || m.dead {
		return nil, false
	}
	return m, true
}

// HeartbeatWithin reports whether a heartbeat of any peer was received within d.
func (s *Service) HeartbeatWithin(d time.Duration) bool {
	for _, m := range s.members {
		if m.LastHeartbeatAt > 0 && s.env.Now()-m.LastHeartbeatAt <= d {
			return true
		}
	}
	return false
}

// OnDrain marks this instance as leaving.
func (s *Service) OnDrain() { s.leaving = true }

// Leaving reports whether this instance is leaving.
func (s *Service) Leaving() bool { return s.isLeaving(s.env.Self.ID) }
