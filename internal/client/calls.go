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

// answerMargin is added to the call's timeout so that the server's answer still
// arrives in time.
const answerMargin = 2 * time.Second

// Call runs a short task and waits for its answer. A non-nil error is a
// *verdict.Error; the answer is then nil unless a server sent one.
func (c *Client) Call(ctx context.Context, body wire.Call, identity Identity) (*wire.Answer, error) {
	identity = withID(identity)
	call := apiCall{method: http.MethodPost, path: "/v1/requests", identity: identity, wantID: identity.id()}
	if body.Timeout == "" {
		call.body = func() ([]byte, error) { return json.Marshal(body) }
		return c.do(ctx, call)
	}
	timeout, err := time.ParseDuration(body.Timeout)
	if err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, "timeout: %s", err)
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerMargin))
	defer cancel()
	call.timeout = timeout + answerMargin
	call.body = func() ([]byte, error) {
		body.Timeout = max(time.Until(deadline), time.Millisecond).String()
		return json.Marshal(body)
	}
	return c.do(ctx, call)
}

// Submit submits a job and does not wait for its tasks. The answer's ID is the
// job's id.
func (c *Client) Submit(ctx context.Context, job wire.Job, identity Identity) (*wire.Answer, error) {
	identity = withID(identity)
	return c.do(ctx, apiCall{method: http.MethodPost, path: "/v1/jobs", identity: identity, body: jsonBody(job)})
}

// Status returns the state of a request as far as it is known. The error is nil
// also when the request itself failed. With why the answer explains what a waiting
// request waits for.
func (c *Client) Status(ctx context.Context, id string, why bool) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id) + whyQuery(why), wantID: id, targetsRequest: true})
}

// JobStatus returns the state of a job, like Status.
func (c *Client) JobStatus(ctx context.Context, id model.JobID, why bool) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(string(id)) + whyQuery(why), wantID: string(id), targetsRequest: true})
}

// Cancel cancels a request and returns its resulting state.
func (c *Client) Cancel(ctx context.Context, id string) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodDelete, path: "/v1/requests/" + url.PathEscape(id), wantID: id, targetsRequest: true})
}

// CancelJob cancels a job and returns its resulting state.
func (c *Client) CancelJob(ctx context.Context, id model.JobID) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(string(id)), wantID: string(id), targetsRequest: true})
}

// Tickets requests tickets for requests that must not run twice.
func (c *Client) Tickets(ctx context.Context, queue string, count int) ([]string, error) {
	body := jsonBody(wire.Tickets{Queue: queue, Count: count})
	answer, err := c.do(ctx, apiCall{method: http.MethodPost, path: "/v1/tickets", body: body})
	if err != nil {
		return nil, err
	}
	return answer.Tickets, nil
}

// Config returns the declarations in force. The answer's Version is their version.
func (c *Client) Config(ctx context.Context) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/config"})
}

// Apply changes declarations. It generates the change's id if there is none.
func (c *Client) Apply(ctx context.Context, change model.Change) (*wire.Answer, error) {
	if change.ID == "" {
		change.ID = NewID()
	}
	call := apiCall{method: http.MethodPost, path: "/v1/config", wantID: change.ID, body: jsonBody(change)}
	// A server answers a repeated change with the result of the first attempt, so a
	// conflict means that no earlier attempt took effect.
	call.resolvesEarlier = func(code verdict.Code) bool { return code == verdict.CodeConflict }
	return c.do(ctx, call)
}

// Cell returns the instances, workers and teams that a server knows.
func (c *Client) Cell(ctx context.Context) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/cell"})
}

// Timeline returns the events of one server after the event with sequence number
// since.
func (c *Client) Timeline(ctx context.Context, since uint64) (*wire.Answer, error) {
	path := "/v1/timeline?since=" + strconv.FormatUint(since, 10)
	return c.do(ctx, apiCall{method: http.MethodGet, path: path})
}

// Drain starts a graceful shutdown of one server.
func (c *Client) Drain(ctx context.Context) (*wire.Answer, error) {
	return c.do(ctx, apiCall{method: http.MethodPost, path: "/v1/drain"})
}

// NewID returns a random id, unique for practical purposes.
func NewID() string { return rand.Text() }

// withID returns the identity, with a new idempotency key if it is empty.
func withID(identity Identity) Identity {
	if identity.id() == "" {
		identity.IdempotencyKey = NewID()
	}
	return identity
}

func whyQuery(why bool) string {
	if why {
		return "?why=1"
	}
	return ""
}

func jsonBody(v any) func() ([]byte, error) {
	return func() ([]byte, error) { return json.Marshal(v) }
}
