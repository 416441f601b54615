package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/verdict"
)

// maxAnswer bounds an answer's length in bytes.
const maxAnswer = 64 << 20

// exchange describes one call of the API, which may take several attempts.
type exchange struct {
	method  string
	path    string // with the query
	as      Identity
	id      string // that the answer must carry, empty for any
	read    bool   // the verdict of an answer with the id is another request's
	timeout time.Duration
	body    func() ([]byte, error)
	// settles reports which refusals of a repeat also tell that the attempts
	// before it had no effect.
	settles func(verdict.Code) bool
}

// outcome is the end of one attempt.
type outcome struct {
	answer  *wire.Answer
	err     *verdict.Error
	lost    bool // no answer came
	refused bool // the attempt had no effect
}

func refused(e *verdict.Error) outcome { return outcome{err: e, refused: true} }

func lost(format string, cause error) outcome {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt, Message: format + ": " + cause.Error()}
	return outcome{err: e, lost: true}
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, x exchange) outcome {
	timeout := x.timeout
	if timeout <= 0 {
		timeout = c.cfg.AttemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.request(ctx, x)
	if err != nil {
		return refused(verdict.Refuse(verdict.CodeBadRequest, "%s", err))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return failed(err, connected.Load())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = errors.Newf("longer than %d bytes", maxAnswer)
	}
	if err != nil {
		return lost("answer cut", err)
	}
	return x.interpret(resp.StatusCode, data)
}

func (c *Client) request(ctx context.Context, x exchange) (*http.Request, error) {
	var body io.Reader
	if x.body != nil {
		data, err := x.body()
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, x.method, c.server()+x.path, body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // net/http would send again by itself after a lost answer
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if x.as.id() != "" {
		x.as.set(r.Header)
	}
	return r, nil
}

// failed maps a transport error. Only when no connection was opened is it
// certain that nothing was sent.
func failed(err error, connected bool) outcome {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return refused(verdict.Refuse(verdict.CodeUnavailable, "%s", err))
	}
	return lost("no answer", err)
}

// interpret reads a complete HTTP answer.
func (x exchange) interpret(status int, data []byte) outcome {
	answer := new(wire.Answer)
	if err := json.Unmarshal(data, answer); err != nil {
		return lost("answer not understood", errors.Newf("status %d, not from the API", status))
	}
	if x.id != "" && answer.ID != "" && answer.ID != x.id {
		return lost("answer crossed", errors.Newf("it is about %q", answer.ID))
	}
	if x.read && answer.ID == x.id && answer.Code != verdict.CodeNotFound {
		return outcome{answer: answer}
	}
	if answer.Code == verdict.CodeOK && (answer.Verdict == verdict.Done || answer.Verdict == verdict.Pending) {
		if answer.ID != x.id && x.id != "" {
			return lost("answer not matched", errors.New("it has no id"))
		}
		return outcome{answer: answer}
	}
	return outcome{answer: answer, err: x.failure(answer), refused: answer.Verdict == verdict.NotRun}
}

func (x exchange) failure(answer *wire.Answer) *verdict.Error {
	e := &verdict.Error{
		Verdict:    answer.Verdict,
		Code:       answer.Code,
		Message:    answer.Message,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
	}
	if x.read && answer.ID != x.id {
		e.Verdict = verdict.MayHaveRun // nothing is known of the request asked about
	}
	return e
}
