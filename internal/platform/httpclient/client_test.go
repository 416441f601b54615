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

// shortTimeout is the timeout of a call that will get no answer.
const shortTimeout = 10 * time.Millisecond

var ref = platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 1}

func startPlatform(t *testing.T) (*standin.Platform, string) {
	t.Helper()
	p, baseURL, err := standin.Start(t.Context(), "127.0.0.1:0", standin.Config{
		Workers: []model.Worker{{ID: "w", Capacity: model.Resources{Slots: 2}}},
	})
	require.NoError(t, err)
	return p, baseURL
}

func listedWorker(t *testing.T, baseURL string) model.Worker {
	t.Helper()
	list := httpclient.NewInstanceList(baseURL)
	t.Cleanup(list.Close)
	l, err := list.List(t.Context())
	require.NoError(t, err)
	require.Len(t, l.Workers, 1)
	return l.Workers[0]
}

func newWorkers(t *testing.T) *httpclient.Workers {
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
	_, baseURL := startPlatform(t)
	w, c := listedWorker(t, baseURL), newWorkers(t)
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
		{"ok", respondWith(http.StatusOK, `{"ok":true}`), verdict.Done},
		{"explicit refusal", respondWith(http.StatusConflict, `{"verdict":"not_run","code":"stale_authority"}`), verdict.NotRun},
		{"refusal in doubt", respondWith(http.StatusConflict, `{"verdict":"may_have_run"}`), verdict.MayHaveRun},
		{"refusal without verdict", respondWith(http.StatusConflict, `{}`), verdict.MayHaveRun},
		{"error page of a proxy", respondWith(http.StatusBadGateway, `<html>`), verdict.MayHaveRun},
		{"redirect", redirect, verdict.MayHaveRun},
		{"error that says done", respondWith(http.StatusConflict, `{"verdict":"done"}`), verdict.MayHaveRun},
		{"empty acknowledgement", respondWith(http.StatusOK, `{}`), verdict.MayHaveRun},
		{"truncated acknowledgement", respondWith(http.StatusOK, `{"ok":`), verdict.MayHaveRun},
		{"truncated answer", sendTruncated, verdict.MayHaveRun},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(tc.handler)
			defer s.Close()
			err := newWorkers(t).Start(t.Context(), model.Worker{ID: "w", Addr: s.URL}, startRequest("t", 1))
			require.Equal(t, tc.want, verdict.Of(err), "%v", err)
		})
	}
}

func respondWith(status int, body string) http.HandlerFunc {
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

func sendTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"ok":true}`)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	w := model.Worker{ID: "w", Addr: "http://" + l.Addr().String()}
	require.Equal(t, verdict.NotRun, verdict.Of(newWorkers(t).Start(t.Context(), w, startRequest("t", 1))))
}

func TestCanceledBeforeSendingIsNotRun(t *testing.T) {
	_, baseURL := startPlatform(t)
	w := listedWorker(t, baseURL)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, verdict.NotRun, verdict.Of(newWorkers(t).Start(ctx, w, startRequest("t", 1))))
}

// canceledOnceWritten returns a context that is canceled when its request has
// been written.
func canceledOnceWritten(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }}
	return httptrace.WithClientTrace(ctx, trace)
}

// TestUnresponsiveListener guards against reusing a connection on which a call
// timed out. The listener accepts and reads but never answers.
func TestUnresponsiveListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var closed atomic.Int32
	go acceptWithoutReply(l, &closed)
	w, c := model.Worker{ID: "w", Addr: "http://" + l.Addr().String()}, newWorkers(t)
	for range 3 {
		err := c.Start(canceledOnceWritten(t), w, startRequest("t", 1))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.ErrorIs(t, err, context.Canceled)
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	require.Error(t, c.Start(ctx, w, startRequest("t", 1)))
	closedAll := func() bool { return closed.Load() >= 3 }
	require.Eventually(t, closedAll, time.Minute, time.Millisecond, "an unresponsive connection was reused")
}

func acceptWithoutReply(l net.Listener, closed *atomic.Int32) {
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

// TestConnectionThatStopsResponding guards against waiting on a connection that
// worked before and stopped responding, while new connections work.
func TestConnectionThatStopsResponding(t *testing.T) {
	p, baseURL := startPlatform(t)
	w, c := listedWorker(t, baseURL), newWorkers(t)
	renew := platform.RenewRequest{Lease: ref, Duration: time.Minute}
	_, err := c.Renew(t.Context(), w, renew)
	require.NoError(t, err)
	require.True(t, p.Inject(standin.Fault{BlackholeService: "/workers/w"}))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(canceledOnceWritten(t), w, startRequest("t", 1))))
	require.NoError(t, c.Start(t.Context(), w, startRequest("t", 1)), "a new connection works")
}

func TestFaultsOverHTTP(t *testing.T) {
	p, baseURL := startPlatform(t)
	w, c := listedWorker(t, baseURL), newWorkers(t)
	_, err := c.Renew(t.Context(), w, platform.RenewRequest{Lease: ref, Duration: time.Minute, Full: true, Fence: 5})
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(c.Start(t.Context(), w, startRequest("fenced", 5))))

	injectWorkerFaults(p, standin.WorkerFaults{LoseStartAnswer: true})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(t.Context(), w, startRequest("lost", 6))))
	injectWorkerFaults(p, standin.WorkerFaults{Unreachable: true})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(t.Context(), w, startRequest("unreachable", 7))))
	for _, f := range []standin.WorkerFaults{{Paused: true}, {Unresponsive: true}} {
		injectWorkerFaults(p, f)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Start(canceledOnceWritten(t), w, startRequest("held", 8))))
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
	require.Len(t, b.Entries, 1, "the entry whose answer was lost is stored, the refused one is not")
}

func injectWorkerFaults(p *standin.Platform, f standin.WorkerFaults) {
	p.Inject(standin.Fault{Worker: &standin.WorkerFault{ID: "w", Faults: f}})
}
