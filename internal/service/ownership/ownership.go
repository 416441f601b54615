// Package ownership keeps the table of shards: which instance owns each, and in
// which term. The table is a fold of the log, so it is the same on every instance
// that has read equally far, and the log's offsets decide between racing claims.
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

// Slot is one shard's line in the table. Term is 0 for a shard that never had an
// owner.
type Slot struct {
	Owner wire.Owner
	Term  uint64
}

// Members is what this service needs of the membership service.
type Members interface {
	IsLive(o wire.Owner) bool
	Eligible() []wire.Owner
	Majority() bool
	Leaving() bool
}

// Service is the ownership service.
type Service struct {
	env       *event.Env
	members   Members
	listeners []service.ShardHandler

	slots   [model.Shards]Slot
	applied uint64 // offset of the last entry applied
	head    uint64 // next offset of the log, as last read
	logAt   time.Duration

	claim     uint64 // id of the outstanding append, 0 when none
	claimAt   time.Duration
	backoff   time.Duration
	nextClaim time.Duration
	startedAt time.Duration
	started   bool
}

const (
	claimInterval   = 500 * time.Millisecond
	claimTimeout    = 5 * time.Second
	maxClaimBackoff = 4 * time.Second
)

// New returns the ownership service.
func New(env *event.Env) *Service { return &Service{env: env, backoff: claimInterval} }

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Ownership }

// Bind finds the services that this one works with.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	s.listeners = kernel.All[service.ShardHandler](k)
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// OnLog notes how far the log reaches.
func (s *Service) OnLog(l service.LogState) {
	s.head = l.Next
	s.logAt = s.env.Now()
}

// OnRecord folds claims and handovers.
func (s *Service) OnRecord(offset uint64, r wire.Record) {
	switch r := r.(type) {
	case wire.Claim:
		for _, st := range r.Shards {
			s.move(st, r.Owner, offset, false)
		}
	case wire.Handover:
		for _, st := range r.Shards {
			if int(st.Shard) < len(s.slots) && s.slots[st.Shard].Owner == r.From {
				s.move(st, r.To, offset, true)
			}
		}
	}
}

// OnEntry notes that everything up to offset is applied.
func (s *Service) OnEntry(offset uint64) { s.applied = offset }

// move gives a shard a new owner if it is still at the term that the record
// replaces. Terms only grow, because offsets do.
func (s *Service) move(st wire.ShardTerm, to wire.Owner, offset uint64, planned bool) {
	if int(st.Shard) >= len(s.slots) || s.slots[st.Shard].Term != st.Term {
		return
	}
	s.moved(st.Shard, Slot{Owner: to, Term: offset}, service.ShardMove{OldTerm: st.Term, Planned: planned})
}

// moved changes a line of the table and tells the other services how.
func (s *Service) moved(shard model.Shard, after Slot, how service.ShardMove) {
	before := s.slots[shard]
	s.slots[shard] = after
	how.Shard, how.Term = shard, after.Term
	how.Before, how.After = before.Owner, after.Owner
	if after.Owner == s.env.Owner() || before.Owner == s.env.Owner() {
		s.env.Note(event.Note{
			Kind: "shard-moved", Subject: fmt.Sprintf("shard/%d", shard), Offset: after.Term,
			Detail: fmt.Sprintf("%s -> %s", before.Owner.Instance, after.Owner.Instance),
		})
	}
	for _, l := range s.listeners {
		l.OnShardMoved(how)
	}
}

// OnTick claims shards that have no living owner and fall to this instance.
func (s *Service) OnTick() {
	now := s.env.Now()
	if !s.started {
		s.started, s.startedAt = true, now
	}
	if !s.mayClaim(now) {
		return
	}
	orphans := s.orphansForMe()
	if len(orphans) == 0 {
		return
	}
	s.claim = s.env.Append(wire.Claim{Owner: s.env.Owner(), Shards: orphans})
	s.claimAt = now
	s.env.Note(event.Note{Kind: "claim", Subject: string(s.env.Self.ID), Detail: fmt.Sprintf("%d shards", len(orphans))})
}

// mayClaim reports whether this instance knows enough to claim: it has listened
// for a while, has read the log to its end, hears most of the others and awaits
// no claim.
func (s *Service) mayClaim(now time.Duration) bool {
	if s.claim != 0 && now-s.claimAt < claimTimeout {
		return false
	}
	if now < s.nextClaim || now-s.startedAt < s.env.Timing.DeadAfter {
		return false
	}
	return s.CaughtUp() && s.members.Majority() && !s.members.Leaving()
}

// CaughtUp reports whether the log answered lately and is applied to its end.
func (s *Service) CaughtUp() bool {
	fresh := s.logAt > 0 && s.env.Now()-s.logAt < s.env.Timing.DeadAfter
	return fresh && s.applied+1 >= s.head
}

func (s *Service) orphansForMe() []wire.ShardTerm {
	eligible := s.members.Eligible()
	var mine []wire.ShardTerm
	for i, slot := range s.slots {
		if slot.Term != 0 && s.members.IsLive(slot.Owner) {
			continue
		}
		shard := model.Shard(i)
		if target, ok := Target(shard, eligible); ok && target == s.env.Owner() {
			mine = append(mine, wire.ShardTerm{Shard: shard, Term: slot.Term})
		}
	}
	return mine
}

// Target returns the member to which a shard falls: the one with the highest
// hash, so that few shards move when a member comes or goes.
func Target(shard model.Shard, members []wire.Owner) (wire.Owner, bool) {
	var best wire.Owner
	var top uint64
	for _, m := range members {
		h := xxhash.Sum64String(string(m.Instance) + "#" + string(rune(shard)))
		if best.Instance == "" || h > top {
			best, top = m, h
		}
	}
	return best, best.Instance != ""
}

// OnAppendDone ends the outstanding claim. Whether it took effect shows in the
// fold; after a failure the next one waits longer, so that an outage's end brings
// no flood.
func (s *Service) OnAppendDone(d event.AppendDone) {
	if d.ID != s.claim {
		return
	}
	s.claim = 0
	if d.Verdict == verdict.Done {
		s.backoff = claimInterval
	} else {
		s.backoff = min(2*s.backoff, maxClaimBackoff)
	}
	jitter := time.Duration(s.env.Rand().Int64N(int64(s.backoff)))
	s.nextClaim = s.env.Now() + s.backoff/2 + jitter
}

// Owner returns a shard's owner and term; ok is false when it never had one.
func (s *Service) Owner(shard model.Shard) (slot Slot, ok bool) {
	slot = s.slots[shard]
	return slot, slot.Term != 0
}

// Mine returns the shard's term when this instance owns it.
func (s *Service) Mine(shard model.Shard) (term uint64, ok bool) {
	slot := s.slots[shard]
	return slot.Term, slot.Term != 0 && slot.Owner == s.env.Owner()
}

// Owned returns the shards that this instance owns.
func (s *Service) Owned() []wire.ShardTerm {
	var owned []wire.ShardTerm
	for i := range s.slots {
		if term, ok := s.Mine(model.Shard(i)); ok {
			owned = append(owned, wire.ShardTerm{Shard: model.Shard(i), Term: term})
		}
	}
	return owned
}

// Reachable returns how many shards have an owner that counts as alive.
func (s *Service) Reachable() int {
	n := 0
	for _, slot := range s.slots {
		if slot.Term != 0 && s.members.IsLive(slot.Owner) {
			n++
		}
	}
	return n
}

// Applied returns the offset of the last log entry applied.
func (s *Service) Applied() uint64 { return s.applied }

// Slots returns a copy of the table.
func (s *Service) Slots() [model.Shards]Slot { return s.slots }

// FillBeat tells peers how far this instance has read the log.
func (s *Service) FillBeat(b *wire.Heartbeat) {
	b.Applied = s.applied
	b.LogAge = s.env.Now() - s.logAt
}
