// Package service names the services of the decision core and the small
// interfaces through which the core drives them.
package service

import (
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// Names under which the services are registered.
const (
	Membership = "membership"
	Ownership  = "ownership"
	Config     = "config"
	Limits     = "limits"
	Ledger     = "ledger"
	Requests   = "requests"
	Jobs       = "jobs"
	Gateway    = "gateway"
	Handover   = "handover"
	Timeline   = "timeline"
	Snapshots  = "snapshots"
)

// TickHandler is called on every tick.
type TickHandler interface{ OnTick() }

// LogHandler is called after every answer of the log, with its oldest and next
// offsets.
type LogHandler interface{ OnLog(LogState) }

// LogState is what an answer of the log told of it. AskedAt is the time of the
// question: the answer may have waited for this instance to wake from a pause.
type LogState struct {
	Oldest  uint64
	Next    uint64
	AskedAt time.Duration
}

// RecordHandler is called for every record in log order, the same on every
// instance.
type RecordHandler interface {
	OnRecord(offset uint64, r wire.Record)
}

// EntryHandler is called after all records of a log entry.
type EntryHandler interface{ OnEntry(offset uint64) }

// AppendHandler is called when an append ends.
type AppendHandler interface{ OnAppendDone(event.AppendDone) }

// ListingHandler is called with each view of the instance list.
type ListingHandler interface{ OnListing(platform.Listing) }

// MessageHandler is called with each message from a peer.
type MessageHandler interface {
	OnMessage(from wire.Owner, m wire.Message)
}

// PeerDownHandler is called when a connection to a peer is lost.
type PeerDownHandler interface{ OnPeerDown(peer wire.Owner) }

// MemberHandler is called when an instance in one of its lives counts as dead.
type MemberHandler interface{ OnMemberDead(o wire.Owner) }

// ShardHandler is called when a shard gets a new owner.
type ShardHandler interface{ OnShardMoved(m ShardMove) }

// ShardMove tells how a shard changed hands. Before.Instance is empty for a shard
// that had no owner. Planned means that the owner before handed its memory over.
type ShardMove struct {
	Shard   model.Shard
	Before  wire.Owner
	After   wire.Owner
	OldTerm uint64
	Term    uint64
	Planned bool
	Gap     bool
}

// BeatContributor fills its part of the next heartbeat.
type BeatContributor interface{ FillBeat(*wire.Heartbeat) }

// WorkerHandler is called with the results of worker commands.
type WorkerHandler interface {
	OnRenewDone(event.RenewDone)
	OnStartDone(event.StartDone)
}

// CallerHandler is called with what callers do.
type CallerHandler interface {
	OnRequest(handle uint64, r model.Request)
	OnRequestGone(handle uint64)
}

// DrainHandler is called when a graceful shutdown of this instance starts.
type DrainHandler interface{ OnDrain() }

// StepEndHandler is called at the end of every step, after all other handlers.
type StepEndHandler interface{ OnStepEnd() }

// Snapshotter is a service whose state is a fold of the log. Snapshot encodes the
// state; Restore replaces an older state by an encoded one and returns an error,
// with nothing changed, when it cannot read it. Terms and versions never fall.
type Snapshotter interface {
	SnapshotName() string
	Snapshot() []byte
	Restore(data []byte) error
}
