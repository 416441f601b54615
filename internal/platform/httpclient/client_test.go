package httpclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/platform/httpclient"
	"pollenbend/internal/standin"
	"pollenbend/internal/verdict"
)

// shortTimeout is the timeout of a call that gets no answer.
const shortTimeout = 10 * time.Millisecond

var ref = platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 1}

func start(t *testing.T) (*standin.Platform, string) {
	t.Helper()
	p, baseURL, err := standin.Start(t.Context(), "127.0.0.1:0", standin.Config{
		Workers: []model.Worker{{ID: "w", Capacity: model.Resources{Slots: 2}}},
	})
	require.NoError(t, err)
	return p, baseURL
}

func worker(t *testing.T, baseURL string) model.Worker {
	t.Helper()
	list := httpclient.NewInstanceList(baseURL)
	t.Cleanup(list.Close)
	l, err := list.List(t.Context())
	require.NoError(t, err)
	require.Len(t, l.Workers, 1)
	return l.Workers[0]
}

func workers(t *testing.T) *httpclient.Workers {
	t.Helper()
	c := httpclient.NewWorkers()
	t.Cleanup(c.Close)
	return c
}

func startRequest(id model.TaskID, seq uint64) platform.StartRequest {
	return platform.StartRequest{
		Lease: ref,
		Seq:   seq,
		Task:  model.Task{ID: id, Demand: model.Resources{Slots: 1}, Payload: []byte("hello")},
	}
}

func TestRoundTrip(t *testing.T) {
	_, baseURL := start(t)
	w, c := worker(t, baseURL), workers(t)
	r, err := c.Renew(t.Context(), w, platform.RenewRequest{Lease: ref, Duration: time.Minute, Full: true})
	require.NoError(t, err)
	require.True(t, r.Granted)
	require.NoError(t, c.Start(t.Context(), w, startRequest("t", 1)))
	require.NoError(t, c.Start(t.Context(), w, startRequest("t", 2)), "idempotent")
	r, err = c.Renew(t.Context(), w, platform.RenewRequest{Lease: ref, Duration: time.Minute, Wait: time.Minute})
	require.NoError(t, err)
	require.Len(t, r.Finished, 1)
	require.True(t, r.Finished[0].Complete)
	require.JSONEq(t, `{"echo":"aGVsbG8=","task":"t"}`, string(r.Finished[0].Answer))

	l := httpclient.NewLog(baseURL)
	defer l.Close()
	offset, err := l.Append(t.Context(), "s/1", []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
	b, err := l.Read(t.Context(), "s/1", 1, 10, 0)
	require.NoError(t, err)
	require.Equal(t, []platform.Entry{{Offset: 1, Data: []byte("x")}}, b.Entries)
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    verdict.Verdict
	}{
		{"ok", reply(http.StatusOK, `{"ok":true}`), verdict.Done},
		{"explicit refusal", reply(http.StatusConflict, `{"verdict":"not_run","code":"stale_authority"}`), verdict.NotRun},
		{"refusal in doubt", reply(http.StatusConflict, `{"verdict":"may_have_run"}`), verdict.MayHaveRun},
		{"refusal without verdict", reply(http.StatusConflict, `{}`), verdict.MayHaveRun},
		{"foreign error page", reply(http.StatusBadGateway, `<html>`), verdict.MayHaveRun},
		{"redirect", redirect, verdict.MayHaveRun},
		{"error that says done", reply(http.StatusConflict, `{"verdict":"done"}`), verdict.MayHaveRun},
		{"empty acknowledgement", reply(http.StatusOK, `{}`), verdict.MayHaveRun},
		{"broken acknowledgement", reply(http.StatusOK, `{"ok":`), verdict.MayHaveRun},
		{"cut answer", cut, verdict.MayHaveRun},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(tc.handler)
			defer s.Close()
			err := workers(t).Start(t.Context(), model.Worker{ID: "w", Addr: s.URL}, startRequest("t", 1))
			require.Equal(t, tc.want, verdict.Of(err), "%v", err)
		})
	}
}

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/elsewhere" {
		_, _ = io.WriteString(w, `{"ok":true}`)
		return
	}
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"ok":true}`)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	w := model.Worker{ID: "w", Addr: "http://" + l.Addr().String()}
	require.Equal(t, verdict.NotRun, verdict.Of(workers(t).Start(t.Context(), w, startRequest("t", 1))))
}

func TestCanceledBeforeSendingIsNotRun(t *testing.T) {
	_, baseURL := start(t)
	w := worker(t, baseURL)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, verdict.NotRun, verdict.Of(workers(t).Start(ctx, w, startRequest("t", 1))))
}

// untilWritten returns a context that ends when its request is written.
func untilWritten(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }}
	return httptrace.WithClientTrace(ctx, trace)
}

// TestSilentListener has a listener that accepts, reads and never answers.
func TestSilentListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var closed atomic.Int32
	go acceptSilently(l, &closed)
	w, c := model.Worker{ID: "w", Addr: "http://" + l.Addr().String()}, workers(t)
	for range 3 {
		err := c.Start(untilWritten(t), w, startRequest("t", 1))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.ErrorIs(t, err, context.Canceled)
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	require.Error(t, c.Start(ctx, w, startRequest("t", 1)))
	closedAll := func() bool { return closed.Load() >= 3 }
	require.Eventually(t, closedAll, time.Minute, time.Millisecond, "a silent connection was used again")
}

func acceptSilently(l net.Listener, closed *atomic.Int32) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			closed.Add(1)
		}()
	}
}

// TestSilencedConnection has a connection that worked go silent while new ones work.
func TestSilencedConnection(t *testing.T) {
	p, baseURL := start(t)
	w, c := worker(t, baseURL), workers(t)
	renew := platform.RenewRequest{Lease: ref, Duration: time.Minute}
	_, err := c.Renew(t.Context(), w, renew)
	require.NoError(t, err)
	require.True(t, p.Inject(standin.Fault{Silence: "/workers/w"}))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(untilWritten(t), w, startRequest("t", 1))))
	require.NoError(t, c.Start(t.Context(), w, startRequest("t", 1)), "a new connection works")
}

func TestFaultsOverHTTP(t *testing.T) {
	p, baseURL := start(t)
	w, c := worker(t, baseURL), workers(t)
	_, err := c.Renew(t.Context(), w, platform.RenewRequest{Lease: ref, Duration: time.Minute, Full: true, Fence: 5})
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(c.Start(t.Context(), w, startRequest("fenced", 5))))

	inject(p, standin.WorkerFaults{LoseStartAnswer: true})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(t.Context(), w, startRequest("lost", 6))))
	inject(p, standin.WorkerFaults{Unreachable: true})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(t.Context(), w, startRequest("unreachable", 7))))
	for _, f := range []standin.WorkerFaults{{Paused: true}, {Silent: true}} {
		inject(p, f)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(untilWritten(t), w, startRequest("held", 8))))
	}

	l := httpclient.NewLog(baseURL)
	defer l.Close()
	require.True(t, p.Inject(standin.Fault{Log: &standin.LogFaults{LoseAnswer: true}}))
	_, err = l.Append(t.Context(), "s", []byte("x"))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.True(t, p.Inject(standin.Fault{Log: &standin.LogFaults{Down: true}}))
	_, err = l.Append(t.Context(), "s", []byte("x"))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.True(t, p.Inject(standin.Fault{Log: &standin.LogFaults{}}))
	b, err := l.Read(t.Context(), "s", 1, 10, 0)
	require.NoError(t, err)
	require.Len(t, b.Entries, 1, "the lost answer's entry is there, the refused one's is not")
}

func inject(p *standin.Platform, f standin.WorkerFaults) {
	p.Inject(standin.Fault{Worker: &standin.WorkerFault{ID: "w", Faults: f}})
}
