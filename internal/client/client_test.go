package client

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/httpapi"
	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// scriptedReply is one reply of a server. A nil answer drops the connection after
// the request was read.
type scriptedReply struct {
	answer    *wire.Answer
	text      string // sent verbatim, not as an API answer
	truncated bool   // only half of the answer is sent
}

func reply(id string, v verdict.Verdict, code verdict.Code) scriptedReply {
	return scriptedReply{answer: &wire.Answer{ID: id, Verdict: v, Code: code}}
}

// serveReplies starts a server that sends one reply to each request. It returns a
// client of the server and the number of requests served.
func serveReplies(t *testing.T, replies ...scriptedReply) (*Client, *atomic.Int64) {
	t.Helper()
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s := replies[served.Add(1)-1]
		switch {
		case s.text != "":
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, s.text)
		case s.answer == nil:
			panic(http.ErrAbortHandler)
		default:
			body, _ := json.Marshal(s.answer)
			w.Header().Set("Content-Length", itoa(len(body)))
			if s.truncated {
				body = body[:len(body)/2]
			}
			_, _ = w.Write(body)
		}
	}))
	t.Cleanup(server.Close)
	return newClient(t, server.URL), &served
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text)
}

func newClient(t *testing.T, servers ...string) *Client {
	t.Helper()
	c, err := New(Config{Servers: servers, Key: "secret"})
	require.NoError(t, err)
	c.sleep = func(context.Context, time.Duration) bool { return true }
	return c
}

func TestCallVerdicts(t *testing.T) {
	done := reply("i", verdict.Done, "")
	overloaded := reply("i", verdict.NotRun, verdict.CodeOverloaded)
	dropped := scriptedReply{}
	tests := []struct {
		name    string
		replies []scriptedReply
		want    verdict.Verdict
		code    verdict.Code
	}{
		{"done", []scriptedReply{done}, verdict.Done, ""},
		{"refused, then done", []scriptedReply{overloaded, overloaded, done}, verdict.Done, ""},
		{"refused for good", []scriptedReply{reply("i", verdict.NotRun, verdict.CodeNeverFits)}, verdict.NotRun, verdict.CodeNeverFits},
		{"in doubt is not retried", []scriptedReply{reply("i", verdict.MayHaveRun, verdict.CodeInDoubt)}, verdict.MayHaveRun, verdict.CodeInDoubt},
		{"lost, then done", []scriptedReply{dropped, done}, verdict.Done, ""},
		{"truncated, then done", []scriptedReply{{answer: done.answer, truncated: true}, done}, verdict.Done, ""},
		{"answer to another request, then done", []scriptedReply{reply("other", verdict.Done, ""), done}, verdict.Done, ""},
		{"unmatched, then done", []scriptedReply{reply("", verdict.Done, ""), done}, verdict.Done, ""},
		{"not from the API, then done", []scriptedReply{{text: "<html>"}, done}, verdict.Done, ""},
		{"lost, then a refusal that says nothing about it", []scriptedReply{dropped, reply("i", verdict.NotRun, verdict.CodeUnauthorized)}, verdict.MayHaveRun, verdict.CodeUnauthorized},
		{"lost, then canceled", []scriptedReply{dropped, reply("i", verdict.NotRun, verdict.CodeCanceled)}, verdict.NotRun, verdict.CodeCanceled},
		{"always lost", []scriptedReply{dropped, dropped, dropped, dropped, dropped}, verdict.MayHaveRun, verdict.CodeInDoubt},
		{"lost, then overloaded", []scriptedReply{dropped, overloaded, overloaded, overloaded, overloaded}, verdict.MayHaveRun, verdict.CodeOverloaded},
		{"task failed", []scriptedReply{reply("i", verdict.Done, verdict.CodeTaskFailed)}, verdict.Done, verdict.CodeTaskFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, served := serveReplies(t, tt.replies...)
			answer, err := c.Call(context.Background(), wire.Call{}, Identity{IdempotencyKey: "i"})
			require.Equal(t, int64(len(tt.replies)), served.Load())
			require.Equal(t, tt.want, verdict.Of(err))
			if tt.code == "" {
				require.NoError(t, err)
				require.Equal(t, "i", answer.ID)
				return
			}
			var failure *verdict.Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, tt.code, failure.Code)
			if answer != nil {
				require.Equal(t, tt.want, answer.Verdict)
			}
		})
	}
}

func TestReadVerdicts(t *testing.T) {
	c, _ := serveReplies(t,
		reply("i", verdict.NotRun, verdict.CodeCanceled),
		reply("", verdict.NotRun, verdict.CodeUnauthorized),
		scriptedReply{}, reply("i", verdict.NotRun, verdict.CodeNotFound))
	answer, err := c.Status(context.Background(), "i", true)
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, answer.Verdict)
	_, err = c.Status(context.Background(), "i", false)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "a refused read says nothing about the request")
	_, err = c.Status(context.Background(), "i", false)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestUnreachableServerIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = newClient(t, listener.Addr().String()).Call(context.Background(), wire.Call{}, Identity{})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// A server reads a request on a reused connection and stops without an answer. The
// request may have run, although the next attempt cannot connect: the refused dial
// must not turn the verdict into not run.
func TestLostAnswerOnReusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		for i := range 2 {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n"+`{"id":"i","verdict":"done"}`)
			}
		}
		_ = listener.Close()
		_ = conn.Close()
	}()
	c := newClient(t, listener.Addr().String())
	_, err = c.Call(context.Background(), wire.Call{}, Identity{IdempotencyKey: "i"})
	require.NoError(t, err)
	_, err = c.Call(context.Background(), wire.Call{}, Identity{IdempotencyKey: "i"})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}

func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	for range int(maxRetryBudget) {
		require.True(t, b.withdraw())
	}
	require.False(t, b.withdraw())
	for range int(1/retriesPerCall) + 1 {
		b.deposit()
	}
	require.True(t, b.withdraw())
}

// echoGateway answers every request with verdict done and stores the request.
type echoGateway struct{ last model.Request }

func (e *echoGateway) Do(_ context.Context, r model.Request) model.Answer {
	e.last = r
	return model.Answer{ID: r.ID, Verdict: verdict.Done, Tickets: []string{"t1"}}
}
func (e *echoGateway) Ready() (bool, string) { return true, "" }
func (e *echoGateway) Draining() bool        { return false }

func TestEveryCallReachesItsRoute(t *testing.T) {
	e := &echoGateway{}
	server := httptest.NewServer(httpapi.New(httpapi.Config{Gateway: e, Status: e}))
	defer server.Close()
	c := newClient(t, server.URL)
	ctx := context.Background()
	calls := map[model.Op]func() (*wire.Answer, error){
		model.OpCall: func() (*wire.Answer, error) { return c.Call(ctx, wire.Call{Timeout: "9s"}, Identity{Ticket: "a/b"}) },
		model.OpSubmit: func() (*wire.Answer, error) {
			return c.Submit(ctx, wire.Job{Kind: model.KindBatch, Count: 1}, Identity{})
		},
		model.OpStatus: func() (*wire.Answer, error) { return c.Status(ctx, "a/b", true) },
		model.OpCancel: func() (*wire.Answer, error) { return c.CancelJob(ctx, "j?1") },
		model.OpTicket: func() (*wire.Answer, error) {
			tickets, err := c.Tickets(ctx, "desk", 1)
			return &wire.Answer{Tickets: tickets}, err
		},
		model.OpApply:     func() (*wire.Answer, error) { return c.Apply(ctx, model.Change{Base: 3}) },
		model.OpConfig:    func() (*wire.Answer, error) { return c.Config(ctx) },
		model.OpCell:      func() (*wire.Answer, error) { return c.Cell(ctx) },
		model.OpTimeline:  func() (*wire.Answer, error) { return c.Timeline(ctx, 4) },
		model.OpDrainSelf: func() (*wire.Answer, error) { return c.Drain(ctx) },
	}
	for op, call := range calls {
		answer, err := call()
		require.NoError(t, err, op)
		require.NotNil(t, answer)
		require.Equal(t, op, e.last.Op)
		require.Equal(t, "secret", e.last.Key)
	}
}
