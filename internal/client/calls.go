package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// callGrace is what an attempt gets beyond the call's timeout for the answer's
// way back.
const callGrace = 2 * time.Second

// Call runs a short task and waits for its answer. A non-nil error is a
// *verdict.Error; the answer is then nil unless a server gave one.
func (c *Client) Call(ctx context.Context, call wire.Call, as Identity) (*wire.Answer, error) {
	as = minted(as)
	attempt := exchange{method: http.MethodPost, path: "/v1/requests", as: as, id: as.id()}
	if call.Timeout == "" {
		attempt.body = func() ([]byte, error) { return json.Marshal(call) }
		return c.do(ctx, attempt)
	}
	timeout, err := time.ParseDuration(call.Timeout)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, "timeout: %s", err)
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(callGrace))
	defer cancel()
	attempt.timeout = timeout + callGrace
	attempt.body = func() ([]byte, error) {
		call.Timeout = max(time.Until(deadline), time.Millisecond).String()
		return json.Marshal(call)
	}
	return c.do(ctx, attempt)
}

// Submit hands over a job for later. The answer's ID is the job's id.
func (c *Client) Submit(ctx context.Context, job wire.Job, as Identity) (*wire.Answer, error) {
	as = minted(as)
	return c.do(ctx, exchange{method: http.MethodPost, path: "/v1/jobs", as: as, body: document(job)})
}

// Status returns the answer about a request as far as it is known. The error is
// nil when the request itself failed.
func (c *Client) Status(ctx context.Context, id string, why bool) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id) + query(why), id: id, read: true})
}

// JobStatus returns the state of a job.
func (c *Client) JobStatus(ctx context.Context, id model.JobID, why bool) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(string(id)) + query(why), id: string(id), read: true})
}

// Cancel cancels a request and returns the answer about it.
func (c *Client) Cancel(ctx context.Context, id string) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodDelete, path: "/v1/requests/" + url.PathEscape(id), id: id, read: true})
}

// CancelJob cancels a job and returns the answer about it.
func (c *Client) CancelJob(ctx context.Context, id model.JobID) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(string(id)), id: string(id), read: true})
}

// Tickets asks for tickets for requests that must not be repeated.
func (c *Client) Tickets(ctx context.Context, queue string, count int) ([]string, error) {
	body := document(wire.Tickets{Queue: queue, Count: count})
	answer, err := c.do(ctx, exchange{method: http.MethodPost, path: "/v1/tickets", body: body})
	if err != nil {
		return nil, err
	}
	return answer.Tickets, nil
}

// Config returns the declarations in force; the answer's Version is theirs.
func (c *Client) Config(ctx context.Context) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodGet, path: "/v1/config"})
}

// Apply changes declarations. It mints the change's id when there is none.
func (c *Client) Apply(ctx context.Context, change model.Change) (*wire.Answer, error) {
	if change.ID == "" {
		change.ID = NewID()
	}
	attempt := exchange{method: http.MethodPost, path: "/v1/config", id: change.ID, body: document(change)}
	attempt.settles = func(code verdict.Code) bool { return code == verdict.CodeConflict }
	return c.do(ctx, attempt)
}

// Cell returns the instances, workers and teams that a server knows.
func (c *Client) Cell(ctx context.Context) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodGet, path: "/v1/cell"})
}

// Timeline returns the events of one server after the event numbered since.
func (c *Client) Timeline(ctx context.Context, since uint64) (*wire.Answer, error) {
	path := "/v1/timeline?since=" + strconv.FormatUint(since, 10)
	return c.do(ctx, exchange{method: http.MethodGet, path: path})
}

// Drain starts the planned stop of one server.
func (c *Client) Drain(ctx context.Context) (*wire.Answer, error) {
	return c.do(ctx, exchange{method: http.MethodPost, path: "/v1/drain"})
}

// NewID returns an id that no other call has.
func NewID() string { return rand.Text() }

func minted(as Identity) Identity {
	if as.id() == "" {
		as.IdempotencyKey = NewID()
	}
	return as
}

func query(why bool) string {
	if why {
		return "?why=1"
	}
	return ""
}

func document(v any) func() ([]byte, error) {
	return func() ([]byte, error) { return json.Marshal(v) }
}
