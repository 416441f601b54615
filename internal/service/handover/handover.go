// Package handover passes shards on without losing what their owner remembers:
// when this instance is leaving, and when another is the better owner.
//
// The owner freezes the shards, sends its memory of their requests to the next
// owner, and once that is confirmed appends a Handover. The memory counts only
// with that record, so a handover that fails leaves everything as it was.
package handover

import (
	"fmt"
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Ownership tells which shards are owned here.
type Ownership interface {
	Owned() []wire.ShardTerm
	Mine(model.Shard) (term uint64, ok bool)
	CaughtUp() bool
}

// Members tells who may take shards.
type Members interface {
	Eligible() []wire.Owner
	Leaving() bool
	IsLive(wire.Owner) bool
}

// Memory exports and imports what is remembered of requests.
type Memory interface {
	Remembered(model.Shard) int
	Export(shards []wire.ShardTerm) ([]wire.ShardMemory, []wire.RequestMemory)
	Import(m wire.Memory)
}

// Service is the handover service.
type Service struct {
	env       *event.Env
	ownership Ownership
	members   Members
	memory    Memory

	current  *transfer
	serial   uint64
	nextAt   time.Duration
	eligible []wire.Owner
	since    time.Duration // when the eligible members last changed
	drainAt  time.Duration // when this instance began to leave, 0 before
}

// stage is how far a transfer has come.
type stage uint8

const (
	stageSending   stage = iota // memory sent, not confirmed
	stageAppending              // the handover may be in the log
	stageReclaim                // in doubt: a claim to this instance decides
)

type transfer struct {
	id       uint64
	to       wire.Owner
	shards   []wire.ShardTerm
	stage    stage
	appendID uint64
	deadline time.Duration
}

const (
	maxShards       = 4    // in one transfer
	maxRequests     = 4000 // in one transfer beyond its first shard, so that they fit one message
	sendTimeout     = time.Second
	appendTimeout   = 4 * time.Second
	pause           = 50 * time.Millisecond
	idlePause       = 250 * time.Millisecond // between looks when there is nothing to hand over
	settle          = 5 * time.Second        // members must be stable this long before shards are balanced
	firstSettle     = 10 * time.Second
	stuckDrainAfter = 10 * time.Second
)

// New returns the handover service.
func New(env *event.Env) *Service { return &Service{env: env} }

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Handover }

// Bind finds the services that this one works with.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	if s.memory, err = kernel.Find[Memory](k, service.Requests); err != nil {
		return err
	}
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// Frozen reports whether a shard is being handed over, so that its owner takes
// nothing new for it.
func (s *Service) Frozen(shard model.Shard) bool {
	return s.current != nil && slices.ContainsFunc(s.current.shards, func(st wire.ShardTerm) bool {
		return st.Shard == shard
	})
}

// OnTick starts transfers and ends those that take too long.
func (s *Service) OnTick() {
	now := s.env.Now()
	s.watchMembers(now)
	if s.current != nil {
		s.checkDeadline(now)
		return
	}
	if now < s.nextAt || !s.ownership.CaughtUp() {
		return
	}
	to, shards := s.pick(now)
	if len(shards) == 0 {
		s.nextAt = now + idlePause
		return
	}
	s.send(to, shards)
}

func (s *Service) watchMembers(now time.Duration) {
	if eligible := s.members.Eligible(); !slices.Equal(eligible, s.eligible) {
		s.eligible = eligible
		s.since = now
	}
	if s.members.Leaving() && s.drainAt == 0 {
		s.drainAt = max(now, 1)
	}
}

// pick returns the shards to pass on next and to whom: all when this instance is
// leaving, otherwise those that fall to another member since it joined.
func (s *Service) pick(now time.Duration) (to wire.Owner, shards []wire.ShardTerm) {
	stable := now-s.since >= settle && now >= firstSettle
	if !s.members.Leaving() && !stable {
		return to, nil
	}
	requests := 0
	for _, st := range s.ownership.Owned() {
		target, ok := ownership.Target(st.Shard, s.eligible)
		if !ok || target == s.env.Owner() || len(shards) > 0 && target != to {
			continue
		}
		requests += s.memory.Remembered(st.Shard)
		if len(shards) > 0 && requests > maxRequests {
			break
		}
		to = target
		shards = append(shards, st)
		if len(shards) == maxShards {
			break
		}
	}
	return to, shards
}

func (s *Service) send(to wire.Owner, shards []wire.ShardTerm) {
	s.serial++
	s.current = &transfer{id: s.serial, to: to, shards: shards, deadline: s.env.Now() + sendTimeout}
	memory, entries := s.memory.Export(shards)
	s.note("handover-send", fmt.Sprintf("%d shards, %d requests to %s", len(shards), len(entries), to.Instance))
	s.env.Send(to.Instance, wire.Memory{ID: s.serial, Shards: memory, Entries: entries})
}

// OnMessage takes memories from owners and confirmations from next owners.
func (s *Service) OnMessage(from wire.Owner, m wire.Message) {
	switch m := m.(type) {
	case wire.Memory:
		s.memory.Import(m)
		s.env.Send(from.Instance, wire.MemoryKept{ID: m.ID})
	case wire.MemoryKept:
		s.onKept(from, m)
	}
}

func (s *Service) onKept(from wire.Owner, m wire.MemoryKept) {
	t := s.current
	if t == nil || t.stage != stageSending || t.id != m.ID || t.to != from {
		return
	}
	s.note("handover-append", "memory is kept by "+string(t.to.Instance))
	t.stage = stageAppending
	t.deadline = s.env.Now() + appendTimeout
	t.appendID = s.env.Append(wire.Handover{From: s.env.Owner(), To: t.to, Shards: t.shards})
}

// OnAppendDone unfreezes shards whose handover certainly is not in the log.
func (s *Service) OnAppendDone(d event.AppendDone) {
	t := s.current
	if t == nil || t.appendID != d.ID {
		return
	}
	switch {
	case d.Verdict == verdict.Done:
	case t.stage == stageAppending && d.Verdict == verdict.NotRun:
		s.end()
	default:
		s.reclaim(t)
	}
}

// reclaim settles a handover that may or may not be in the log. A claim of the
// same shards at the same terms is appended behind it: whichever comes first in
// the log voids the other, and until one is read nothing is taken.
func (s *Service) reclaim(t *transfer) {
	s.note("handover-reclaim", "the handover may or may not be in the log")
	t.stage = stageReclaim
	t.deadline = s.env.Now() + appendTimeout
	t.appendID = s.env.Append(wire.Claim{Owner: s.env.Owner(), Shards: t.shards})
}

func (s *Service) note(kind, detail string) {
	s.env.Note(event.Note{Kind: kind, Subject: string(s.env.Self.ID), Detail: detail})
}

func (s *Service) checkDeadline(now time.Duration) {
	t := s.current
	switch {
	case now < t.deadline && s.members.IsLive(t.to):
	case t.stage == stageSending:
		s.note("handover-drop", "no confirmation from "+string(t.to.Instance))
		s.end()
	case now >= t.deadline:
		s.reclaim(t)
	}
}

// OnShardMoved ends a transfer once the log has decided it.
func (s *Service) OnShardMoved(m service.ShardMove) {
	t := s.current
	if t == nil {
		return
	}
	t.shards = slices.DeleteFunc(t.shards, func(st wire.ShardTerm) bool {
		return st.Shard == m.Shard && m.OldTerm == st.Term
	})
	if len(t.shards) == 0 {
		s.end()
	}
}

func (s *Service) end() {
	s.current = nil
	s.nextAt = s.env.Now() + pause
}

// Settled reports whether nothing is left to hand over: no shard is owned, nobody
// could take one, or the log has not let any go for a while.
func (s *Service) Settled() bool {
	if len(s.ownership.Owned()) == 0 {
		return true
	}
	alone := len(s.eligible) == 0 || len(s.eligible) == 1 && s.eligible[0] == s.env.Owner()
	return alone || s.drainAt > 0 && s.env.Now()-s.drainAt > stuckDrainAfter
}
