// Package handover transfers shards to another owner without losing their owner's
// records of requests: when this instance is leaving, and when another one is the
// target of a shard.
//
// The owner freezes the shards, sends the records in a wire.Memory to the next owner
// and, once that one has confirmed it, appends a wire.Handover. The next owner uses the
// records only after it has read the handover from the log, so a failed handover
// changes nothing.
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

// Ownership provides the shards that this instance owns.
type Ownership interface {
	Owned() []wire.ShardTerm
	OwnedTerm(model.Shard) (term uint64, ok bool)
	CaughtUp() bool
}

// Members provides the members that may own shards.
type Members interface {
	Eligible() []wire.InstanceRef
	Leaving() bool
	IsLive(wire.InstanceRef) bool
}

// Memory exports and imports an owner's records of requests.
type Memory interface {
	// RecordCount returns the number of a shard's requests that are recorded.
	RecordCount(model.Shard) int
	// ExportRecords returns the records of the shards and their requests.
	ExportRecords(shards []wire.ShardTerm) ([]wire.ShardMemory, []wire.RequestMemory)
	// ImportRecords keeps received records until the log contains their handover.
	ImportRecords(m wire.Memory)
}

// Service is the handover service.
type Service struct {
	env       *event.Env
	ownership Ownership
	members   Members
	records   Memory

	current        *transfer
	lastTransferID uint64
	nextTransferAt time.Duration
	eligible       []wire.InstanceRef
	eligibleSince  time.Duration // when the eligible members last changed
	drainStartedAt time.Duration // when this instance started to leave, 0 before
}

// stage is the progress of a transfer.
type stage uint8

const (
	stageSending    stage = iota // records sent, not yet confirmed
	stageAppending               // handover appended, no result yet
	stageReclaiming              // unknown whether the handover is in the log; claim appended
)

type transfer struct {
	id       uint64
	to       wire.InstanceRef
	shards   []wire.ShardTerm
	stage    stage
	appendID uint64
	deadline time.Duration
}

const (
	maxShards        = 4    // in one transfer
	maxRequests      = 4000 // in one transfer with more than one shard, so that they fit into one message
	appendTimeout    = 4 * time.Second
	transferInterval = 50 * time.Millisecond
	idleInterval     = 250 * time.Millisecond // between checks when there is nothing to hand over
	stableWindow     = 5 * time.Second        // time without a change of members before shards are balanced
	startupDelay     = 10 * time.Second       // time after the process start before shards are balanced
	drainTimeout     = 10 * time.Second       // after which Drained waits no longer for handovers
)

// New returns the handover service.
func New(env *event.Env) *Service { return &Service{env: env} }

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Handover }

// Bind looks up the services that this one uses. It returns an error when one is missing.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	if s.records, err = kernel.Find[Memory](k, service.Requests); err != nil {
		return err
	}
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// Frozen reports whether a shard is being handed over. Its owner then accepts
// nothing new for it.
func (s *Service) Frozen(shard model.Shard) bool {
	return s.current != nil && slices.ContainsFunc(s.current.shards, func(st wire.ShardTerm) bool {
		return st.Shard == shard
	})
}

// OnTick starts transfers and ends those that exceed their deadline.
func (s *Service) OnTick() {
	now := s.env.Now()
	s.watchMembers(now)
	if s.current != nil {
		s.checkDeadline(now)
		return
	}
	if now < s.nextTransferAt || !s.ownership.CaughtUp() {
		return
	}
	to, shards := s.nextTransfer(now)
	if len(shards) == 0 {
		s.nextTransferAt = now + idleInterval
		return
	}
	s.send(to, shards)
}

func (s *Service) watchMembers(now time.Duration) {
	if eligible := s.members.Eligible(); !slices.Equal(eligible, s.eligible) {
		s.eligible = eligible
		s.eligibleSince = now
	}
	if s.members.Leaving() && s.drainStartedAt == 0 {
		s.drainStartedAt = max(now, 1)
	}
}

// nextTransfer returns the shards to hand over next, at most maxShards, and their new
// owner. Shards are handed over when their target is another member; while this
// instance is leaving, that applies to all of them.
func (s *Service) nextTransfer(now time.Duration) (to wire.InstanceRef, shards []wire.ShardTerm) {
	stable := now-s.eligibleSince >= stableWindow && now >= startupDelay
	if !s.members.Leaving() && !stable {
		return to, nil
	}
	requests := 0
	for _, st := range s.ownership.Owned() {
		target, ok := ownership.Target(st.Shard, s.eligible)
		if !ok || target == s.env.SelfRef() || len(shards) > 0 && target != to {
			continue
		}
		requests += s.records.RecordCount(st.Shard)
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

func (s *Service) send(to wire.InstanceRef, shards []wire.ShardTerm) {
	s.lastTransferID++
	s.current = &transfer{id: s.lastTransferID, to: to, shards: shards, deadline: s.env.Now() + service.MaxRecordsDelay}
	memory, entries := s.records.ExportRecords(shards)
	s.note("handover-send", fmt.Sprintf("%d shards, %d requests to %s", len(shards), len(entries), to.Instance))
	s.env.Send(to.Instance, wire.Memory{ID: s.lastTransferID, Shards: memory, Entries: entries})
}

// OnMessage handles records sent by owners and confirmations from next owners.
func (s *Service) OnMessage(from wire.InstanceRef, m wire.Message) {
	switch m := m.(type) {
	case wire.Memory:
		s.records.ImportRecords(m)
		s.env.Send(from.Instance, wire.MemoryKept{ID: m.ID})
	case wire.MemoryKept:
		s.onMemoryKept(from, m)
	}
}

func (s *Service) onMemoryKept(from wire.InstanceRef, m wire.MemoryKept) {
	t := s.current
	if t == nil || t.stage != stageSending || t.id != m.ID || t.to != from {
		return
	}
	if s.env.Now() >= t.deadline {
		return // the next owner relies on MaxRecordsDelay; OnTick ends the transfer
	}
	s.note("handover-append", "memory is kept by "+string(t.to.Instance))
	t.stage = stageAppending
	t.deadline = s.env.Now() + appendTimeout
	t.appendID = s.env.Append(wire.Handover{From: s.env.SelfRef(), To: t.to, Shards: t.shards})
}

// OnAppendDone ends a transfer whose handover is certainly not in the log, and
// reclaims its shards when that is in doubt.
func (s *Service) OnAppendDone(d event.AppendDone) {
	t := s.current
	if t == nil || t.appendID != d.ID {
		return
	}
	switch {
	case d.Verdict == verdict.Done:
	case t.stage == stageAppending && d.Verdict == verdict.NotRun:
		s.endTransfer()
	default:
		s.reclaim(t)
	}
}

// reclaim resolves a handover that may or may not be in the log. It appends a claim
// of the same shards at the same terms: whichever of the two comes first in the log
// invalidates the other. Until one of them is read, the shards accept nothing new.
func (s *Service) reclaim(t *transfer) {
	s.note("handover-reclaim", "the handover may or may not be in the log")
	t.stage = stageReclaiming
	t.deadline = s.env.Now() + appendTimeout
	t.appendID = s.env.Append(wire.Claim{Owner: s.env.SelfRef(), Shards: t.shards})
}

func (s *Service) note(kind, detail string) {
	s.env.Note(event.Note{Kind: kind, Subject: string(s.env.Self.ID), Detail: detail})
}

// checkDeadline ends a transfer whose records were not confirmed in time or whose
// receiver is dead. If the handover or claim was not read back in time, it reclaims the
// shards.
func (s *Service) checkDeadline(now time.Duration) {
	t := s.current
	switch {
	case now < t.deadline && s.members.IsLive(t.to):
	case t.stage == stageSending:
		s.note("handover-drop", "no confirmation from "+string(t.to.Instance))
		s.endTransfer()
	case now >= t.deadline:
		s.reclaim(t)
	}
}

// OnShardMoved ends a transfer once the log has decided the owner of all its shards.
func (s *Service) OnShardMoved(m service.ShardMove) {
	t := s.current
	if t == nil {
		return
	}
	t.shards = slices.DeleteFunc(t.shards, func(st wire.ShardTerm) bool {
		return st.Shard == m.Shard && m.OldTerm == st.Term
	})
	if len(t.shards) == 0 {
		s.endTransfer()
	}
}

// endTransfer unfreezes the shards and schedules the next transfer.
func (s *Service) endTransfer() {
	s.current = nil
	s.nextTransferAt = s.env.Now() + transferInterval
}

// Drained reports whether nothing remains to be handed over: no shard is owned, no
// other member is eligible, or the drain has taken longer than drainTimeout.
func (s *Service) Drained() bool {
	if len(s.ownership.Owned()) == 0 {
		return true
	}
	alone := len(s.eligible) == 0 || len(s.eligible) == 1 && s.eligible[0] == s.env.SelfRef()
	return alone || s.drainStartedAt > 0 && s.env.Now()-s.drainStartedAt > drainTimeout
}
