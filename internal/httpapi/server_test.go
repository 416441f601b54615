package httpapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/intake"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// pipeListener is a listener whose only connection is an in-memory pipe, so that
// the server's timeouts run on the clock of a synctest bubble.
type pipeListener struct {
	once sync.Once
	conn net.Conn
	done chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	var conn net.Conn
	p.once.Do(func() { conn = p.conn })
	if conn != nil {
		return conn, nil
	}
	<-p.done
	return nil, net.ErrClosed
}
func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return p.conn.LocalAddr() }

// startServer serves c on one connection. It returns the client's end of the
// connection and a function that stops the server.
func startServer(c *scriptedCore) (net.Conn, func()) {
	clientConn, serverConn := net.Pipe()
	listener := &pipeListener{conn: serverConn, done: make(chan struct{})}
	server := NewServer(ServerConfig{}, newAPI(c))
	go func() { _ = server.Serve(listener) }()
	return clientConn, func() {
		close(listener.done)
		_ = server.Close()
		_ = clientConn.Close()
	}
}

func TestUnfinishedBodies(t *testing.T) {
	tests := []struct {
		name   string
		head   string
		status int
		code   verdict.Code
	}{
		{"malformed chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"queXX", 400, verdict.CodeBadRequest},
		{"stalled", "Content-Length: 100\r\n\r\n{\"queue\":", 408, verdict.CodeBadRequest},
		{"announced too long", "Content-Length: 5000\r\n\r\n{", 413, verdict.CodeTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &scriptedCore{}
				conn, stop := startServer(c)
				defer stop()
				go func() { _, _ = io.WriteString(conn, "POST /v1/requests HTTP/1.1\r\nHost: a\r\n"+tt.head) }()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				var doc wire.Answer
				require.NoError(t, json.NewDecoder(resp.Body).Decode(&doc))
				require.Equal(t, tt.status, resp.StatusCode)
				require.Equal(t, tt.code, doc.Code)
				require.Equal(t, verdict.NotRun, doc.Verdict)
				require.True(t, resp.Close)
				require.Zero(t, c.calls)
			})
		})
	}
}

func TestClosedConnectionCancelsRequest(t *testing.T) {
	entered, ctxErr := make(chan struct{}), make(chan error, 1)
	c := &scriptedCore{do: func(ctx context.Context, r model.Request) model.Answer {
		close(entered)
		<-ctx.Done()
		ctxErr <- ctx.Err()
		return model.Answer{ID: r.ID}
	}}
	conn, stop := startServer(c)
	defer stop()
	_, err := io.WriteString(conn, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	<-entered
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-ctxErr, context.Canceled)
}

// logBuffer is a buffer for log lines that is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func TestLogHasNoKeys(t *testing.T) {
	log := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	c := &scriptedCore{do: func(context.Context, model.Request) model.Answer { panic("broken") }}
	h := New(Config{Gateway: c, Status: c, Logger: logger})
	for _, header := range []string{"Bearer top-secret", "Basic top-secret"} {
		w, doc := exchangeJSON(t, h, "POST", "/v1/requests?key=top-secret", `{}`, "Authorization", header)
		require.Contains(t, []int{401, 500}, w.Code)
		require.NotEqual(t, verdict.Done, doc.Verdict)
	}
	text := strings.TrimSpace(log.b.String())
	require.NotContains(t, text, "top-secret")
	for _, line := range strings.Split(text, "\n") {
		require.Contains(t, line, `"request":`)
	}
}

func TestPanicIsAnsweredWithMayHaveRun(t *testing.T) {
	c := &scriptedCore{do: func(context.Context, model.Request) model.Answer { panic("broken") }}
	w, doc := exchangeJSON(t, newAPI(c), "POST", "/v1/requests", `{}`)
	require.Equal(t, 500, w.Code)
	require.Equal(t, verdict.MayHaveRun, doc.Verdict)
}

func TestHeldBodiesAreBounded(t *testing.T) {
	c := &scriptedCore{}
	const size = 200 << 10
	guard := intake.New(intake.Limits{Bytes: 3 * size}, func(intake.Cause) {})
	server := NewServer(ServerConfig{}, New(Config{Gateway: c, Status: c, Guard: guard}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error)
	go func() { served <- guard.Serve(server, l, DefaultReadTimeout) }()
	full := `{"payload":"` + strings.Repeat("x", size-100) + `"}`
	post := func() (int, verdict.Code) {
		resp, err := http.Post("http://"+l.Addr().String()+"/v1/requests", "application/json", strings.NewReader(full))
		if !assert.NoError(t, err) {
			return 0, ""
		}
		defer func() { assert.NoError(t, resp.Body.Close()) }()
		var doc struct{ Code verdict.Code }
		assert.NoError(t, json.NewDecoder(resp.Body).Decode(&doc))
		return resp.StatusCode, doc.Code
	}
	for range 3 {
		status, _ := post()
		require.Equal(t, 200, status)
	}
	c.do = func(context.Context, model.Request) model.Answer {
		status, code := post()
		assert.Equal(t, 429, status)
		assert.Equal(t, verdict.CodeOverloaded, code)
		return model.Answer{Verdict: verdict.Done}
	}
	status, _ := post()
	require.Equal(t, 200, status)
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, server.Shutdown(t.Context()))
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	held, connections := guard.Used()
	assert.Zero(t, held)
	assert.Zero(t, connections)
}

func TestDecodedBytes(t *testing.T) {
	for body, elements := range map[string]int64{
		`{}`:                                        1,
		`{"queue":"a,[{","service":"\",,"}`:         2,
		`{"require":[{},{},{"label":"x"}]}`:         7,
		`{"payload":[1,2,{"a":[]}],"class":"x"}`:    2,
		`{"PAYLOAD":[1,2],"require":["payload",1]}`: 6,
		`{"prefer":["\`:                             2,
	} {
		require.Equal(t, elements*elementBytes, decodedBytes([]byte(body)), body)
	}
}

// Guards against issue 57: lists without a limit were decoded, at many times the size of their bodies.
func TestBodyThatDecodesToMoreThanThereIsRoomForIsRefused(t *testing.T) {
	c := &scriptedCore{}
	guard := NewGuard(gometrics.NewRegistry())
	server := NewServer(ServerConfig{}, New(Config{Gateway: c, Status: c, Guard: guard}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = guard.Serve(server, l, DefaultReadTimeout) }()
	defer server.Close()
	for body, want := range map[string]int{
		`{"require":[` + strings.Repeat(`{},`, 300_000) + `{}]}`: 429,
		`{"payload":[` + strings.Repeat(`10,`, 300_000) + `1]}`:  200,
	} {
		resp, err := http.Post("http://"+l.Addr().String()+"/v1/requests", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.StatusCode, "%.20s", body)
	}
}

// Guards against a cancellation with a body that was closed while it was answered, as its body counted as incomplete.
func TestRequestWhoseBodyHasNoUseIsAnsweredBesideACrowd(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	c := &scriptedCore{do: func(_ context.Context, r model.Request) model.Answer {
		close(begun)
		<-end
		return model.Answer{ID: r.ID, Verdict: verdict.Done}
	}}
	guard := intake.New(intake.Limits{Bytes: 1 << 20, Connections: 1}, func(intake.Cause) {})
	server := NewServer(ServerConfig{}, New(Config{Gateway: c, Status: c, Guard: guard}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = guard.Serve(server, l, DefaultReadTimeout) }()
	defer server.Close()
	status := make(chan int)
	go func() {
		r, err := http.NewRequest("DELETE", "http://"+l.Addr().String()+"/v1/requests/r-1", strings.NewReader("{}"))
		if assert.NoError(t, err) {
			r.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(r)
			if assert.NoError(t, err) {
				_ = resp.Body.Close()
				status <- resp.StatusCode
				return
			}
		}
		status <- 0
	}()
	<-begun
	other, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err, "another connection finds no room")
	close(end)
	require.Equal(t, 200, <-status)
}

// Guards against requests that waited behind large bodies of others after their callers had left.
func TestLargeBodyWaitsForOthersOnlyAsLongAsItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedCore{}
		a := newHandler(Config{Gateway: c, Status: c, RequestTimeout: 3 * time.Second})
		call := func(ctx context.Context, size int) (int, time.Duration) {
			body := `{"payload":"` + strings.Repeat("x", size) + `"}`
			w, start := httptest.NewRecorder(), time.Now()
			r := httptest.NewRequestWithContext(ctx, "POST", "/v1/requests", strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer key")
			a.ServeHTTP(w, r)
			return w.Code, time.Since(start)
		}
		release, ok := a.decoders.Take(t.Context(), intake.LargeBodyBytes)
		require.True(t, ok)
		status, waited := call(t.Context(), intake.LargeBodyBytes)
		require.Equal(t, 429, status)
		require.Equal(t, 3*time.Second, waited)
		leaves, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, waited = call(leaves, intake.LargeBodyBytes)
		require.Equal(t, time.Second, waited)
		status, waited = call(t.Context(), 1)
		require.Equal(t, 200, status, "small ones don't wait")
		require.Zero(t, waited)
		release()
		status, _ = call(t.Context(), intake.LargeBodyBytes)
		require.Equal(t, 200, status)
	})
}

func TestProbesAndMetrics(t *testing.T) {
	c := &scriptedCore{notReady: "log not read"}
	registry := gometrics.NewRegistry()
	h := New(Config{Gateway: c, Status: c, Metrics: registry})
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		return w.Code, w.Body.String()
	}
	status, body := get("/readyz")
	require.Equal(t, 503, status)
	require.Equal(t, "log not read\n", body)
	c.notReady = ""
	status, _ = get("/readyz")
	require.Equal(t, 200, status)
	c.draining = true
	status, body = get("/readyz")
	require.Equal(t, 503, status)
	require.Equal(t, "draining\n", body)
	status, _ = get("/healthz")
	require.Equal(t, 200, status)
	w, _ := exchangeJSON(t, h, "POST", "/v1/requests", `{}`)
	require.Equal(t, "close", w.Header().Get("Connection"))
	_, body = get("/metrics")
	require.Contains(t, body, `pollenbend_requests_total{code="",op="call",verdict="done"} 1`)
	require.Contains(t, body, `pollenbend_http_requests_total{route="GET /readyz",status="503"} 2`)
}

// Only small bodies are read where they have no use.
func TestCallerWithoutAKeyIsRefusedBeforeALargeBodyIsRead(t *testing.T) {
	for name, request := range map[string]string{
		"too large": "GET /v1/cell HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n",
		"in chunks": "DELETE /v1/jobs/j-1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			guard := intake.New(intake.Limits{Bytes: 1 << 20}, func(intake.Cause) {})
			c := coreAnswering(model.Answer{Verdict: verdict.NotRun, Code: verdict.CodeUnauthorized})
			server := NewServer(ServerConfig{ReadTimeout: time.Second}, New(Config{Gateway: c, Status: c, Guard: guard}))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = guard.Serve(server, l, time.Second) }()
			defer server.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(conn, request)
			require.NoError(t, err)
			line, err := bufio.NewReader(conn).ReadString('\n')
			require.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 401 Unauthorized", strings.TrimSpace(line))
		})
	}
}

// The time that a body has waited for others counts toward the time of its caller.
func TestWaitForOtherBodiesCountsTowardTheTimeOfTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedCore{}
		a := newHandler(Config{Gateway: c, Status: c, RequestTimeout: 3 * time.Second})
		start := time.Now()
		var deadline time.Time
		c.do = deadlineOf(&deadline)
		release, ok := a.decoders.Take(t.Context(), intake.LargeBodyBytes)
		require.True(t, ok)
		time.AfterFunc(2*time.Second, release)
		exchangeJSON(t, a, "POST", "/v1/requests", `{"payload":"`+strings.Repeat("x", intake.LargeBodyBytes)+`"}`, "Authorization", "Bearer key")
		require.Equal(t, 1, c.calls)
		assert.LessOrEqual(t, deadline.Sub(start), 3*time.Second+answerMargin)
	})
}

// deadlineOf returns an answer of the core that notes the deadline it is given.
func deadlineOf(deadline *time.Time) func(context.Context, model.Request) model.Answer {
	return func(ctx context.Context, r model.Request) model.Answer {
		*deadline, _ = ctx.Deadline()
		return model.Answer{ID: r.ID, Verdict: verdict.Done}
	}
}
