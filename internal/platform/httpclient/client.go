// Package httpclient implements the platform's interfaces over HTTP with JSON
// bodies. An error carries verdict.NotRun when the command has certainly had no
// effect and will have none; after any other error that is unknown.
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
	// callTimeout is the timeout of a call, in addition to the time that its
	// request asks to wait. It applies also when the context has no deadline.
	callTimeout = 10 * time.Second
	// dialTimeout is the timeout for opening a TCP connection.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is how long an idle connection is kept open.
	idleConnTimeout = 15 * time.Second
	// maxReplyBytes is the maximum size of an answer's body, in bytes.
	maxReplyBytes = 64 << 20
)

// client calls one service over a limited number of connections.
type client struct {
	http *http.Client
}

// newClient returns a client that opens at most maxConns connections to a host.
// It does not follow redirects.
func newClient(maxConns int) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// post sends a command and decodes the answer into reply. wait is the time that
// the command asks the service to wait. The error's verdict states whether the
// command may have had an effect.
func (c *client) post(ctx context.Context, wait time.Duration, url string, command, reply any) error {
	data, err := json.Marshal(command)
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s: %v", url, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	body := newBody(data)
	req, err := body.request(ctx, url)
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s: %v", url, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return c.sendError(ctx, body, err)
	}
	return c.readReply(ctx, res, reply)
}

// get sends a request without side effects and decodes the answer into reply.
func (c *client) get(ctx context.Context, wait time.Duration, url string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return verdict.Refuse(verdict.CodeBadRequest, "%s: %v", url, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return c.sendError(ctx, nil, err)
	}
	return c.readReply(ctx, res, reply)
}

// sendError maps the error of a call without an answer. A command whose body was
// not read has had no effect, and sealing the body ensures that it will have
// none. b is nil for a request without side effects.
func (c *client) sendError(ctx context.Context, b *body, err error) error {
	c.closeIdleOnTimeout(ctx)
	if b == nil || b.seal() {
		return verdict.Refuse(verdict.CodeUnavailable, "not sent: %v", err)
	}
	return errors.Wrap(err, "no answer")
}

// closeIdleOnTimeout closes the idle connections when ctx has ended, since they
// may be unresponsive too. The HTTP transport closes the connection of the call
// itself.
func (c *client) closeIdleOnTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.http.CloseIdleConnections()
	}
}

// readReply reads the body of an answer and decodes it into reply.
func (c *client) readReply(ctx context.Context, res *http.Response, reply any) error {
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		c.closeIdleOnTimeout(ctx)
		return errors.Wrap(err, "answer cut")
	}
	if res.StatusCode != http.StatusOK {
		return statusError(res.Status, data)
	}
	return errors.Wrap(json.Unmarshal(data, reply), "answer")
}

// statusError maps an answer with a status other than 200. Only an explicit
// refusal has verdict.NotRun.
func statusError(status string, data []byte) error {
	var r wire.Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Verdict != verdict.NotRun {
		return errors.Newf("answered with status %s", status)
	}
	return r.Err()
}
