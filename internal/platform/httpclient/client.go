// Package httpclient implements the platform's ports over HTTP with JSON
// bodies. An error carries verdict.NotRun when the command certainly had no
// effect and will have none; any other error leaves that open.
package httpclient

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/platform/wire"
	"pollenbend/internal/verdict"
)

const (
	// callLimit bounds a call beyond the time that its request asks to wait,
	// also when its context has no deadline.
	callLimit = 10 * time.Second
	// dialTimeout bounds the setup of a connection.
	dialTimeout = 2 * time.Second
	// idleLimit is how long a connection without a call is kept.
	idleLimit = 15 * time.Second
	// replyLimit bounds the body of an answer, in bytes.
	replyLimit = 64 << 20
)

// client calls one service over at most a fixed number of connections.
type client struct {
	http *http.Client
}

func newClient(maxConns int) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxConns,
			IdleConnTimeout:     idleLimit,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// post sends a command. Its effect is settled by the error's verdict.
func (c *client) post(ctx context.Context, wait time.Duration, url string, command, reply any) error {
	data, err := json.Marshal(command)
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s: %v", url, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callLimit)
	defer cancel()
	body := newBody(data)
	req, err := body.request(ctx, url)
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s: %v", url, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return c.failed(ctx, body, err)
	}
	return c.receive(ctx, res, reply)
}

// get asks without effect.
func (c *client) get(ctx context.Context, wait time.Duration, url string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s: %v", url, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return c.failed(ctx, nil, err)
	}
	return c.receive(ctx, res, reply)
}

// failed maps a failed exchange. A command whose body was not read has had no
// effect; sealing the body keeps it so.
func (c *client) failed(ctx context.Context, b *body, err error) error {
	c.suspect(ctx)
	if b == nil || b.seal() {
		return verdict.Refuse(verdict.CodeUnavailable, "not sent: %v", err)
	}
	return errors.Wrap(err, "no answer")
}

// suspect drops the idle connections after a timeout, since others may have
// gone silent too. The transport itself drops the connection of the call.
func (c *client) suspect(ctx context.Context) {
	if ctx.Err() != nil {
		c.http.CloseIdleConnections()
	}
}

func (c *client) receive(ctx context.Context, res *http.Response, reply any) error {
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, replyLimit))
	if err != nil {
		c.suspect(ctx)
		return errors.Wrap(err, "answer cut")
	}
	if res.StatusCode != http.StatusOK {
		return refusal(res.Status, data)
	}
	return errors.Wrap(json.Unmarshal(data, reply), "answer")
}

// refusal maps an answer that is not OK. Only an explicit refusal is NotRun.
func refusal(status string, data []byte) error {
	var r wire.Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Verdict != verdict.NotRun {
		return errors.Newf("answered with status %s", status)
	}
	return r.Err()
}
