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

// maxAnswerBytes is the maximum length of an answer.
const maxAnswerBytes = 64 << 20

// apiCall describes one call of the API, which may take several attempts.
type apiCall struct {
	method         string
	path           string // including the query
	identity       Identity
	wantID         string // id that the answer must be about; empty accepts any. A refusal may have no id
	targetsRequest bool   // a status call or cancellation: the answer's verdict is that of the request named by wantID
	timeout        time.Duration
	body           func() ([]byte, error)
	// resolvesEarlier reports whether a refusal of a retry with this code also
	// means that the earlier attempts had no effect. It may be nil.
	resolvesEarlier func(verdict.Code) bool
}

// outcome is the result of one attempt.
type outcome struct {
	answer     *wire.Answer
	err        *verdict.Error
	answerLost bool // no complete and valid answer arrived
	notRun     bool // the attempt had no effect
}

func notRunOutcome(e *verdict.Error) outcome { return outcome{err: e, notRun: true} }

func inDoubtOutcome(reason string, cause error) outcome {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt, Message: reason + ": " + cause.Error()}
	return outcome{err: e, answerLost: true}
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, call apiCall) outcome {
	timeout := call.timeout
	if timeout <= 0 {
		timeout = c.cfg.AttemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.newRequest(ctx, call)
	if err != nil {
		return notRunOutcome(verdict.Refuse(verdict.CodeBadRequest, "%s", err))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return transportOutcome(err, connected.Load())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = errors.Newf("longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return inDoubtOutcome("answer cut", err)
	}
	return call.parseAnswer(resp.StatusCode, data)
}

func (c *Client) newRequest(ctx context.Context, call apiCall) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		data, err := call.body()
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, call.method, c.chooseServer()+call.path, body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // otherwise net/http may resend the request by itself after a lost answer
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if call.identity.id() != "" {
		call.identity.setHeader(r.Header)
	}
	return r, nil
}

// transportOutcome returns the outcome for a transport error. Only a failed dial
// proves that nothing was sent.
func transportOutcome(err error, connected bool) outcome {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return notRunOutcome(verdict.Refuse(verdict.CodeUnavailable, "%s", err))
	}
	return inDoubtOutcome("no answer", err)
}

// parseAnswer returns the outcome for a complete HTTP response.
func (c apiCall) parseAnswer(status int, data []byte) outcome {
	answer := new(wire.Answer)
	if err := json.Unmarshal(data, answer); err != nil {
		return inDoubtOutcome("answer not understood", errors.Newf("status %d, not from the API", status))
	}
	if c.wantID != "" && answer.ID != "" && answer.ID != c.wantID {
		return inDoubtOutcome("answer to another request", errors.Newf("it is about %q", answer.ID))
	}
	if c.targetsRequest && answer.ID == c.wantID && answer.Code != verdict.CodeNotFound {
		return outcome{answer: answer}
	}
	if answer.Code == verdict.CodeOK && (answer.Verdict == verdict.Done || answer.Verdict == verdict.Pending) {
		if answer.ID != c.wantID && c.wantID != "" {
			return inDoubtOutcome("answer not matched", errors.New("it has no id"))
		}
		return outcome{answer: answer}
	}
	return outcome{answer: answer, err: c.answerError(answer), notRun: answer.Verdict == verdict.NotRun}
}

// answerError returns the error for an answer that is not a success.
func (c apiCall) answerError(answer *wire.Answer) *verdict.Error {
	e := &verdict.Error{
		Verdict:    answer.Verdict,
		Code:       answer.Code,
		Message:    answer.Message,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
	}
	if c.targetsRequest && answer.ID != c.wantID {
		e.Verdict = verdict.MayHaveRun // the call failed, so the state of the request is unknown
	}
	return e
}
