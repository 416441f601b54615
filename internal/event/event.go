// Package event defines what enters and leaves the decision core. The core does
// no I/O: it turns each Event into Actions, and the node carries them out.
package event

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Event enters the core.
type Event interface{ isEvent() }

// Tick arrives at a steady rate. Wall is the time of day by this instance's
// clock, or zero if it is not known.
type Tick struct{ Wall time.Time }

// LogRead carries entries read from the log, in order. An empty one tells that
// the log answered.
type LogRead struct {
	Entries []platform.Entry
	Oldest  uint64
	Next    uint64
	AskedAt time.Duration // core time at which the read was asked
}

// AppendDone ends an Append. With MayHaveRun it is open whether the records are
// in the log.
type AppendDone struct {
	ID      uint64
	Offset  uint64
	Verdict verdict.Verdict
}

// Listed carries a view of the instance list.
type Listed struct{ Listing platform.Listing }

// PeerMessage carries a message from another instance.
type PeerMessage struct {
	From    wire.Owner
	Message wire.Message
}

// PeerDown tells that the connection to a peer is lost. Messages sent to it
// lately may not have arrived.
type PeerDown struct{ Peer wire.Owner }

// RenewDone ends a Renew.
type RenewDone struct {
	Worker model.WorkerID
	Lease  platform.LeaseRef
	Full   bool
	SentAt time.Duration // core time at which the request left
	Reply  platform.RenewReply
	Failed bool
}

// StartDone ends a Start.
type StartDone struct {
	Worker  model.WorkerID
	Lease   platform.LeaseRef
	Seq     uint64
	Task    model.TaskID
	Verdict verdict.Verdict
	Reason  string
}

// RequestIn is a caller's request. Handle names the waiting caller.
type RequestIn struct {
	Handle  uint64
	Request model.Request
}

// RequestGone tells that the caller has gone away.
type RequestGone struct{ Handle uint64 }

// DrainStarted asks the core to hand over everything it owns.
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

// Action leaves the core.
type Action interface{ isAction() }

// Append asks for records to be appended to the log, all in one entry. The node
// may put the records of several appends into one entry.
type Append struct {
	ID      uint64
	Records []wire.Record
}

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      model.InstanceID
	Message wire.Message
}

// Renew takes, renews or releases a worker's lease.
type Renew struct {
	Worker  model.Worker
	Request platform.RenewRequest
}

// Start starts a task.
type Start struct {
	Worker  model.Worker
	Request platform.StartRequest
}

// Stop stops a task.
type Stop struct {
	Worker  model.Worker
	Request platform.StopRequest
}

// Respond gives a caller its final answer.
type Respond struct {
	Handle uint64
	Answer model.Answer
}

// Drain asks the node to start a graceful shutdown of the whole process.
type Drain struct{}

// Ref names an event of the time line.
type Ref struct {
	Instance model.InstanceID `json:"instance"`
	Seq      uint64           `json:"seq"`
}

// Note is one event of the time line. Subject names what it is about: a shard, a
// worker, a task, an instance. Offset, when set, is the log entry that caused it;
// it orders events of different instances without a common clock.
type Note struct {
	Seq     uint64        `json:"seq"`
	At      time.Duration `json:"at_ns"` // on the instance's own monotonic clock
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
