// Package service defines the names of the decision core's services and the
// interfaces through which the core calls them.
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

// MaxRecordsDelay is the maximum time from the sending of an owner's records of requests
// to their receipt by the next owner. Records that are not confirmed within this time are
// not used.
const MaxRecordsDelay = time.Second

// TickHandler is called on every tick.
type TickHandler interface{ OnTick() }

// LogHandler is called after every reply from the log, with the log's state.
type LogHandler interface{ OnLog(LogState) }

// LogState is the state of the log as of one reply: its oldest offset and the next one
// to be assigned. AskedAt is the time of the read request on this instance's clock; the
// reply may have been delayed by a pause of this instance.
type LogState struct {
	Oldest  uint64
	Next    uint64
	AskedAt time.Duration
}

// RecordHandler is called for every record in log order, which is the same on every
// instance.
type RecordHandler interface {
	OnRecord(offset uint64, r wire.Record)
}

// EntryHandler is called after all records of a log entry have been applied.
type EntryHandler interface{ OnEntry(offset uint64) }

// AppendHandler is called with the result of each append.
type AppendHandler interface{ OnAppendDone(event.AppendDone) }

// ListingHandler is called with each view of the instance list.
type ListingHandler interface{ OnListing(platform.Listing) }

// MessageHandler is called with each message from a peer.
type MessageHandler interface {
	OnMessage(from wire.InstanceRef, m wire.Message)
}

// PeerDownHandler is called when a connection to a peer is lost.
type PeerDownHandler interface{ OnPeerDown(peer wire.InstanceRef) }

// MemberDeadHandler is called when an incarnation of an instance is declared dead.
type MemberDeadHandler interface{ OnMemberDead(ref wire.InstanceRef) }

// ShardHandler is called when the owner or the term of a shard changes.
type ShardHandler interface{ OnShardMoved(m ShardMove) }

// ShardMove describes a change of a shard's owner or term. Before.Instance is empty
// for a shard that had no owner. HandedOver means that a handover by the previous owner
// caused the change. ChangesMissed means that changes in between were not observed,
// because the state was restored from a snapshot.
type ShardMove struct {
	Shard         model.Shard
	Before        wire.InstanceRef
	After         wire.InstanceRef
	OldTerm       uint64
	Term          uint64
	HandedOver    bool
	ChangesMissed bool
}

// HeartbeatContributor fills in its part of the next heartbeat.
type HeartbeatContributor interface{ FillHeartbeat(*wire.Heartbeat) }

// WorkerHandler is called with the results of worker commands.
type WorkerHandler interface {
	OnRenewDone(event.RenewDone)
	OnStartDone(event.StartDone)
}

// CallerHandler is called when a caller's request arrives and when the caller
// disconnects. The handle identifies the waiting caller.
type CallerHandler interface {
	OnRequest(handle uint64, r model.Request)
	OnRequestGone(handle uint64)
}

// DrainHandler is called when a graceful shutdown of this instance starts.
type DrainHandler interface{ OnDrain() }

// StepEndHandler is called at the end of every step, after all other handlers.
type StepEndHandler interface{ OnStepEnd() }

// Snapshotter is a service whose state is the result of applying the log's records.
// Snapshot encodes the state. Restore replaces an older state by an encoded one; if it
// cannot decode it, it returns an error and changes nothing. Terms and versions never
// decrease.
type Snapshotter interface {
	SnapshotName() string
	Snapshot() []byte
	Restore(data []byte) error
}
