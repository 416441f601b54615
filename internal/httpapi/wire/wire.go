// Package wire defines the JSON documents of the HTTP API, which the server and
// the client share. docs/API.md describes each field.
package wire

import (
	"encoding/json"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// Names of the API's own HTTP headers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTicket         = "Pollenbend-Ticket"
	HeaderInstance       = "Pollenbend-Instance"
)

// Call is the body of POST /v1/requests. Durations are strings such as "5s".
type Call struct {
	Queue   string             `json:"queue,omitempty"`
	Service string             `json:"service,omitempty"`
	Payload json.RawMessage    `json:"payload,omitempty"`
	Class   model.Class        `json:"class,omitempty"`
	Timeout string             `json:"timeout,omitempty"`
	Demand  model.Resources    `json:"demand,omitzero"`
	Require model.Selector     `json:"require,omitempty"`
	Prefer  []model.Preference `json:"prefer,omitempty"`
}

// Job is the body of POST /v1/jobs. Durations are strings such as "5s".
type Job struct {
	Queue    string             `json:"queue,omitempty"`
	Service  string             `json:"service,omitempty"`
	Kind     model.Kind         `json:"kind,omitempty"`
	Count    int                `json:"count,omitempty"`
	Class    model.Class        `json:"class,omitempty"`
	Demand   model.Resources    `json:"demand,omitzero"`
	Require  model.Selector     `json:"require,omitempty"`
	Prefer   []model.Preference `json:"prefer,omitempty"`
	SpreadBy string             `json:"spread_by,omitempty"`
	RunTime  string             `json:"run_time,omitempty"`
	Payload  json.RawMessage    `json:"payload,omitempty"`
}

// Tickets is the body of POST /v1/tickets.
type Tickets struct {
	Queue string `json:"queue,omitempty"`
	Count int    `json:"count,omitempty"`
}

// Answer is the body of every answer under /v1.
type Answer struct {
	ID           string          `json:"id"`
	Verdict      verdict.Verdict `json:"verdict"`
	Code         verdict.Code    `json:"code"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	WaitedMS     int64           `json:"waited_ms"`
	Worker       model.WorkerID  `json:"worker"`
	Answer       json.RawMessage `json:"answer"`
	AnswerBase64 []byte          `json:"answer_base64,omitempty"`
	Tickets      []string        `json:"tickets,omitempty"`
	Version      uint64          `json:"version,omitempty"`
}

// Body returns the task's answer or the operation's document, or nil if there is
// none.
func (a *Answer) Body() []byte {
	if len(a.AnswerBase64) > 0 {
		return a.AnswerBase64
	}
	if string(a.Answer) == "null" {
		return nil
	}
	return a.Answer
}
