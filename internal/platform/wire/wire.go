// Package wire defines the HTTP paths, query parameters and JSON bodies of the
// platform's interfaces, for their clients and the stand-ins.
package wire

import (
	"time"

	"pollenbend/internal/verdict"
)

// Paths below a service's base URL. A worker's base URL is its Addr.
const (
	PathLog       = "/log/" // followed by the stream and PathAppend or PathRead
	PathAppend    = "/append"
	PathRead      = "/read"
	PathList      = "/list"
	PathInstances = "/list/instances"
	PathWorkers   = "/workers/" // followed by the worker's id
	PathRenew     = "/renew"
	PathStart     = "/start"
	PathStop      = "/stop"
)

// Query parameters of a log read. ParamWait is in milliseconds.
const (
	ParamFrom  = "from"
	ParamLimit = "limit"
	ParamWait  = "wait_ms"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendReply answers an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// Ack is the answer to a command that returns no data. OK distinguishes a
// complete answer from a truncated one.
type Ack struct {
	OK bool `json:"ok"`
}

// Refusal is the body of an answer with a status of 400 or above.
type Refusal struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Code       verdict.Code    `json:"code"`
	Message    string          `json:"message"`
	RetryAfter time.Duration   `json:"retry_after,omitempty"` // in nanoseconds
}

// NewRefusal returns the refusal that carries e.
func NewRefusal(e *verdict.Error) Refusal {
	return Refusal{Verdict: e.Verdict, Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
}

// Err returns the refusal as an error.
func (r Refusal) Err() *verdict.Error {
	return &verdict.Error{Verdict: r.Verdict, Code: r.Code, Message: r.Message, RetryAfter: r.RetryAfter}
}
