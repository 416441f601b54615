// Package event defines the input and output of the decision core. The core does no
// I/O: it turns each Event into Actions, which the node executes.
package event

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Tick arrives at a fixed interval. Wall is the time of day by this instance's
// clock, or zero if it is not known.
type Tick struct{ Wall time.Time }

// LogRead carries entries read from the log, in order. One without entries shows
// that the log answered. Oldest is the offset of the oldest entry in the log, Next
// the one after its newest.
type LogRead struct {
	Entries []platform.Entry
	Oldest  uint64
	Next    uint64
	AskedAt time.Duration // core time at which the read was requested
}

// AppendDone is the result of an Append. With the verdict MayHaveRun it is unknown
// whether the records are in the log.
type AppendDone struct {
	ID      uint64
	Offset  uint64
	Verdict verdict.Verdict
}

// Listed carries a view of the instance list.
type Listed struct{ Listing platform.Listing }

// PeerMessage carries a message from another instance.
type PeerMessage struct {
	From    wire.InstanceRef
	Message wire.Message
}

// PeerDown reports that messages sent to a peer, or its answers, may not have arrived: the
// connection to it is lost, its queue was full, there was none and there is one again, or the
// peer sends on a new connection.
type PeerDown struct{ Peer wire.InstanceRef }

// RenewDone is the result of a Renew. Full is that of the request. Failed means that
// there is no reply.
type RenewDone struct {
	Worker model.WorkerID
	Lease  platform.LeaseRef
	Full   bool
	SentAt time.Duration // core time at which the request was sent
	Reply  platform.RenewReply
	Failed bool
}

// StartDone is the result of a Start. Seq is that of the request. Reason is the text of
// the error, empty when there was none.
type StartDone struct {
	Worker  model.WorkerID
	Lease   platform.LeaseRef
	Seq     uint64
	Task    model.TaskID
	Verdict verdict.Verdict
	Reason  string
}

// RequestIn is a caller's request. Handle identifies the waiting caller.
type RequestIn struct {
	Handle  uint64
	Request model.Request
}

// RequestGone reports that the caller has disconnected.
type RequestGone struct{ Handle uint64 }

// DrainStarted requests that the core hands over everything that it owns.
type DrainStarted struct{}

func (Tick) isEvent()         {}
func (LogRead) isEvent()      {}
func (AppendDone) isEvent()   {}
func (Listed) isEvent()       {}
func (PeerMessage) isEvent()  {}
func (PeerDown) isEvent()     {}
func (RenewDone) isEvent()    {}
func (StartDone) isEvent()    {}
func (RequestIn) isEvent()    {}
func (RequestGone) isEvent()  {}
func (DrainStarted) isEvent() {}

// Action is an output of the core.
type Action interface{ isAction() }

// Append requests that records are appended to the log, all in one entry. The node
// may combine the records of several appends in one entry.
type Append struct {
	ID      uint64
	Records []wire.Record
}

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      model.InstanceID
	Message wire.Message
}

// Renew acquires, renews or releases a worker's lease.
type Renew struct {
	Worker  model.Worker
	Request platform.RenewRequest
}

// Start starts a task on a worker.
type Start struct {
	Worker  model.Worker
	Request platform.StartRequest
}

// Stop stops a task on a worker.
type Stop struct {
	Worker  model.Worker
	Request platform.StopRequest
}

// Respond sends a caller its final answer.
type Respond struct {
	Handle uint64
	Answer model.Answer
}

// Drain requests a graceful shutdown of the whole process.
type Drain struct{}

// Ref identifies an event of the timeline.
type Ref struct {
	Instance model.InstanceID `json:"instance"`
	Seq      uint64           `json:"seq"`
}

// Note is one event of the timeline. Subject names what it is about: a shard, a
// worker, a task or an instance. Offset, when set, is the log entry that caused it;
// it orders events of different instances without a common clock.
type Note struct {
	Seq     uint64        `json:"seq"`
	At      time.Duration `json:"at_ns"` // on the monotonic clock of the instance
	Kind    string        `json:"kind"`
	Subject string        `json:"subject"`
	Detail  string        `json:"detail,omitempty"`
	Offset  uint64        `json:"offset,omitempty"`
	Cause   *Ref          `json:"cause,omitempty"`
}

func (Drain) isAction()   {}
func (Note) isAction()    {}
func (Append) isAction()  {}
func (Send) isAction()    {}
func (Renew) isAction()   {}
func (Start) isAction()   {}
func (Stop) isAction()    {}
func (Respond) isAction() {}
