// Package ownership keeps the table of shards: which instance owns each shard and in
// which term. The table is built from the log, so it is the same on every instance
// that has applied the log to the same offset, and the order of the log decides
// between concurrent claims.
package ownership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// ShardOwner is the table entry of one shard. Term is 0 for a shard that has never had an
// owner.
type ShardOwner struct {
	Owner wire.InstanceRef
	Term  uint64
}

// Members provides the members of the cell.
type Members interface {
	IsLive(ref wire.InstanceRef) bool
	IsDead(ref wire.InstanceRef) bool
	Eligible() []wire.InstanceRef
	Majority() bool
	Leaving() bool
}

// Service is the ownership service.
type Service struct {
	env       *event.Env
	members   Members
	listeners []service.ShardHandler

	table     [model.Shards]ShardOwner
	changedAt [model.Shards]time.Duration // when the owner or term changed here
	unownedAt [model.Shards]time.Duration // latest time known at which a shard had never had an owner, 0 if none is
	applied   uint64                      // offset of the last log entry applied
	logNext   uint64                      // next offset of the log, as of the last read
	logAt     time.Duration               // when the log last answered

	claimID   uint64        // append id of the claim in flight, 0 when there is none
	claimAt   time.Duration // when the claim in flight was appended
	backoff   time.Duration // mean delay before the next claim
	nextClaim time.Duration // earliest time of the next claim
	startedAt time.Duration // time of the first tick
	started   bool
}

const (
	claimInterval   = 500 * time.Millisecond // mean delay after a successful claim; doubles with each failure
	claimTimeout    = 5 * time.Second
	maxClaimBackoff = 4 * time.Second
)

// New returns the ownership service.
func New(env *event.Env) *Service { return &Service{env: env, backoff: claimInterval} }

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Ownership }

// Bind looks up the services that this one uses. It returns an error when one is missing.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	s.listeners = kernel.All[service.ShardHandler](k)
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// OnLog stores how far the log reaches, and which shards had never had an owner when
// this read was requested.
func (s *Service) OnLog(l service.LogState) {
	s.logNext = l.Next
	s.logAt = s.env.Now()
	if s.applied+1 >= l.Next {
		s.recordUnowned(l.AskedAt)
	}
}

// recordUnowned records that the shards without an owner had none at askedAt, the time
// at which a read of the log was requested whose reply is applied to the end. The time
// of the reply would be too late: it may have waited, and the shards may have been
// claimed since.
func (s *Service) recordUnowned(askedAt time.Duration) {
	for i, entry := range s.table {
		if entry.Term == 0 {
			s.unownedAt[i] = max(s.unownedAt[i], askedAt)
		}
	}
}

// UnownedAt returns the latest time known to this instance at which a shard had never
// had an owner. It returns false if this instance has only seen the shard with owners.
func (s *Service) UnownedAt(shard model.Shard) (at time.Duration, ok bool) {
	return s.unownedAt[shard], s.unownedAt[shard] > 0
}

// OnRecord applies claims and handovers.
func (s *Service) OnRecord(offset uint64, r wire.Record) {
	switch r := r.(type) {
	case wire.Claim:
		for _, st := range r.Shards {
			s.reassign(st, r.Owner, offset, false)
		}
	case wire.Handover:
		for _, st := range r.Shards {
			if int(st.Shard) < len(s.table) && s.table[st.Shard].Owner == r.From {
				s.reassign(st, r.To, offset, true)
			}
		}
	}
}

// OnEntry stores that the log is applied up to offset.
func (s *Service) OnEntry(offset uint64) { s.applied = offset }

// reassign gives a shard a new owner if it is still at the term that the record
// replaces. Terms only increase, because they are log offsets.
func (s *Service) reassign(st wire.ShardTerm, to wire.InstanceRef, offset uint64, handedOver bool) {
	if int(st.Shard) >= len(s.table) || s.table[st.Shard].Term != st.Term {
		return
	}
	s.setOwner(st.Shard, ShardOwner{Owner: to, Term: offset}, service.ShardMove{OldTerm: st.Term, HandedOver: handedOver})
}

// setOwner changes the entry of a shard and notifies the other services.
func (s *Service) setOwner(shard model.Shard, after ShardOwner, move service.ShardMove) {
	before := s.table[shard]
	s.table[shard] = after
	s.changedAt[shard] = s.env.Now()
	move.Shard, move.Term = shard, after.Term
	move.Before, move.After = before.Owner, after.Owner
	if after.Owner == s.env.SelfRef() || before.Owner == s.env.SelfRef() {
		s.env.Note(event.Note{
			Kind: "shard-moved", Subject: fmt.Sprintf("shard/%d", shard), Offset: after.Term,
			Detail: fmt.Sprintf("%s -> %s", before.Owner.Instance, after.Owner.Instance),
		})
	}
	for _, l := range s.listeners {
		l.OnShardMoved(move)
	}
}

// OnTick claims shards that have no live owner and for which this instance is the
// target.
func (s *Service) OnTick() {
	now := s.env.Now()
	if !s.started {
		s.started, s.startedAt = true, now
	}
	if !s.mayClaim(now) {
		return
	}
	claimable := s.claimableShards()
	if len(claimable) == 0 {
		return
	}
	s.claimID = s.env.Append(wire.Claim{Owner: s.env.SelfRef(), Shards: claimable})
	s.claimAt = now
	s.env.Note(event.Note{Kind: "claim", Subject: string(s.env.Self.ID), Detail: fmt.Sprintf("%d shards", len(claimable))})
}

// mayClaim reports whether this instance knows enough to claim: it has run for at
// least Timing.DeadAfter, so that it has heartbeats of the other instances; it has
// applied the log to its end, can reach a majority of the listed instances and has
// no claim in flight.
func (s *Service) mayClaim(now time.Duration) bool {
	if s.claimID != 0 && now-s.claimAt < claimTimeout {
		return false
	}
	if now < s.nextClaim || now-s.startedAt < s.env.Timing.DeadAfter {
		return false
	}
	return s.CaughtUp() && s.members.Majority() && !s.members.Leaving()
}

// CaughtUp reports whether the log answered within Timing.DeadAfter and is applied
// to its end.
func (s *Service) CaughtUp() bool {
	fresh := s.logAt > 0 && s.env.Now()-s.logAt < s.env.Timing.DeadAfter
	return fresh && s.applied+1 >= s.logNext
}

// claimableShards returns the shards without an owner, or with a dead one, whose target
// is this instance. An owner whose claim was just read was alive then, and gets
// Timing.DeadAfter to be heard.
func (s *Service) claimableShards() []wire.ShardTerm {
	eligible := s.members.Eligible()
	var mine []wire.ShardTerm
	for i, entry := range s.table {
		recent := s.env.Now()-s.changedAt[i] < s.env.Timing.DeadAfter
		if entry.Term != 0 && (recent || !s.members.IsDead(entry.Owner)) {
			continue
		}
		shard := model.Shard(i)
		if target, ok := Target(shard, eligible); ok && target == s.env.SelfRef() {
			mine = append(mine, wire.ShardTerm{Shard: shard, Term: entry.Term})
		}
	}
	return mine
}

// Target returns the member that is to own a shard. It uses rendezvous hashing, so
// that few shards move when a member joins or leaves. It returns false when there are
// no members.
func Target(shard model.Shard, members []wire.InstanceRef) (wire.InstanceRef, bool) {
	var best wire.InstanceRef
	var highest uint64
	for _, m := range members {
		h := xxhash.Sum64String(string(m.Instance) + "#" + string(rune(shard)))
		if best.Instance == "" || h > highest {
			best, highest = m, h
		}
	}
	return best, best.Instance != ""
}

// OnAppendDone ends the claim in flight. The log shows whether it took effect. After
// a failure the next claim waits longer, so that instances don't all claim at once
// when an outage ends.
func (s *Service) OnAppendDone(d event.AppendDone) {
	if d.ID != s.claimID {
		return
	}
	s.claimID = 0
	if d.Verdict == verdict.Done {
		s.backoff = claimInterval
	} else {
		s.backoff = min(2*s.backoff, maxClaimBackoff)
	}
	jitter := time.Duration(s.env.Rand().Int64N(int64(s.backoff)))
	s.nextClaim = s.env.Now() + s.backoff/2 + jitter
}

// Owner returns a shard's owner and term. It returns false when the shard has never
// had an owner.
func (s *Service) Owner(shard model.Shard) (entry ShardOwner, ok bool) {
	entry = s.table[shard]
	return entry, entry.Term != 0
}

// OwnedTerm returns the shard's term. It returns false when this instance does not own
// the shard.
func (s *Service) OwnedTerm(shard model.Shard) (term uint64, ok bool) {
	entry := s.table[shard]
	return entry.Term, entry.Term != 0 && entry.Owner == s.env.SelfRef()
}

// Owned returns the shards that this instance owns.
func (s *Service) Owned() []wire.ShardTerm {
	var owned []wire.ShardTerm
	for i := range s.table {
		if term, ok := s.OwnedTerm(model.Shard(i)); ok {
			owned = append(owned, wire.ShardTerm{Shard: model.Shard(i), Term: term})
		}
	}
	return owned
}

// ReachableShards returns the number of shards whose owner is live.
func (s *Service) ReachableShards() int {
	n := 0
	for _, entry := range s.table {
		if entry.Term != 0 && s.members.IsLive(entry.Owner) {
			n++
		}
	}
	return n
}

// Applied returns the offset of the last log entry applied.
func (s *Service) Applied() uint64 { return s.applied }

// ShardOwners returns a copy of the table, indexed by shard.
func (s *Service) ShardOwners() [model.Shards]ShardOwner { return s.table }

// FillHeartbeat adds to a heartbeat how far this instance has applied the log.
func (s *Service) FillHeartbeat(h *wire.Heartbeat) {
	h.Applied = s.applied
	h.LogAge = s.env.Now() - s.logAt
}
