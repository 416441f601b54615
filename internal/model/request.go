package model

import (
	"time"

	"pollenbend/internal/verdict"
)

// Op is the operation that a caller requests.
type Op string

// Operations.
const (
	OpCall      Op = "call"       // run a short task and wait for its answer
	OpSubmit    Op = "submit"     // accept a job for later execution
	OpStatus    Op = "status"     // state of a request or job by id
	OpCancel    Op = "cancel"     // cancel a request or job by id
	OpTicket    Op = "ticket"     // issue tickets for requests that must not be repeated
	OpApply     Op = "apply"      // change declarations; operators only
	OpConfig    Op = "config"     // read declarations and their version; operators only
	OpCell      Op = "cell"       // instances, shards, workers and teams; operators only
	OpTimeline  Op = "timeline"   // events of this instance; operators only
	OpDrainSelf Op = "drain_self" // start a graceful shutdown of this instance; operators only
)

// Request is a caller's request as the HTTP server passes it to the core.
type Request struct {
	Op      Op     `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint,omitempty"` // secret as presented; never logged or stored
	Queue   string `cbor:"3,keyasint,omitempty"`
	ID      string `cbor:"4,keyasint,omitempty"` // ticket or Idempotency-Key; generated when empty
	Service string `cbor:"5,keyasint,omitempty"`
	Task    Task   `cbor:"6,keyasint"`           // call and submit: the part of the task that the caller specified
	Count   int    `cbor:"7,keyasint,omitempty"` // submit: number of tasks; ticket: number of tickets
	// Timeout is the time that the caller will still wait, measured from receipt.
	Timeout time.Duration `cbor:"8,keyasint,omitempty"`
	Change  *Change       `cbor:"9,keyasint,omitempty"`
	Why     bool          `cbor:"10,keyasint,omitempty"` // status: explain the wait
	Since   uint64        `cbor:"11,keyasint,omitempty"` // timeline: first event wanted
}

// Answer is the complete answer to a Request.
type Answer struct {
	ID         string          `json:"id,omitempty" cbor:"1,keyasint,omitempty"`
	Verdict    verdict.Verdict `json:"verdict" cbor:"2,keyasint"`
	Code       verdict.Code    `json:"code,omitempty" cbor:"3,keyasint,omitempty"`
	Message    string          `json:"message,omitempty" cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration   `json:"retry_after,omitempty" cbor:"5,keyasint,omitempty"`
	// Body is the task's answer for a call; for other operations the JSON
	// document that docs/API.md describes.
	Body    []byte        `json:"body,omitempty" cbor:"6,keyasint,omitempty"`
	Worker  WorkerID      `json:"worker,omitempty" cbor:"7,keyasint,omitempty"`
	Waited  time.Duration `json:"waited,omitempty" cbor:"8,keyasint,omitempty"` // from receipt to start
	Tickets []string      `json:"tickets,omitempty" cbor:"9,keyasint,omitempty"`
	Version uint64        `json:"version,omitempty" cbor:"10,keyasint,omitempty"` // of the configuration
}

// Refusal returns the answer that reports an error with a verdict.
func Refusal(id string, e *verdict.Error) Answer {
	return Answer{ID: id, Verdict: e.Verdict, Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
}
