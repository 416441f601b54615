package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pipes is a listener of connections in memory.
type pipes struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	local, remote := net.Pipe()
	p.accept <- remote
	return local
}

const (
	testBodyLimit   = 256 << 10
	testBodyTimeout = 3 * time.Second
)

// served is a server in virtual time.
type served struct {
	*pipes
	guard  *Guard
	causes []Cause
	mu     sync.Mutex
}

// serve runs f with a server whose handler reads bodies, for a path /slow answers after ten
// seconds, for /panic panics, for /hijack takes the connection, for /unread reads nothing, for /waits
// reads nothing and waits half a minute and for /discarded answers after ten seconds without use for the body.
// The whole budget must be there afterwards.
func serve(t *testing.T, bytes int64, f func(t *testing.T, s *served)) {
	synctest.Test(t, func(t *testing.T) {
		s := &served{pipes: &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}}
		s.guard = New(Limits{Bytes: bytes, Connections: 20}, func(c Cause) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.causes = append(s.causes, c)
		})
		server := &http.Server{Handler: http.HandlerFunc(handle), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
		server.ErrorLog = nil
		go func() { _ = s.guard.Serve(server, s.pipes, testBodyTimeout) }()
		f(t, s)
		time.Sleep(time.Minute) // until all timeouts have passed
		held, connections := s.guard.Used()
		assert.Zero(t, held)
		assert.Zero(t, connections)
		require.NoError(t, server.Close())
	})
}

func handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		http.Error(w, "unread", http.StatusNotFound)
		return
	}
	if r.URL.Path == "/waits" {
		select {
		case <-time.After(30 * time.Second):
		case <-r.Context().Done():
		}
		return
	}
	read := ReadBody
	if r.URL.Path == "/discarded" {
		read = func(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
			return nil, Discard(w, r, limit)
		}
	}
	data, err := read(w, r, testBodyLimit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/slow", "/discarded":
		select {
		case <-time.After(10 * time.Second):
		case <-r.Context().Done():
			panic("canceled while the caller waits")
		}
	case "/panic":
		panic(http.ErrAbortHandler)
	case "/hijack":
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = c.Close() // nobody reads it
		}
		return
	}
	_, _ = fmt.Fprint(w, len(data)) // the caller may have left
}

// exchange sends parts on a new connection and returns all that comes until it is closed.
func (s *served) exchange(parts ...string) string {
	c := s.dial()
	go func() {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
		}
	}()
	out, _ := io.ReadAll(c) // the answer tells whether it was complete
	return string(out)
}

func length(n int) string { return fmt.Sprintf("Host: a\r\nContent-Length: %d\r\n", n) }

const (
	chunked = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	last    = "Connection: close\r\n"
)

func TestBudgetIsReturnedHoweverARequestEnds(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 3000)
	body := strings.Repeat("x", testBodyLimit)
	for _, test := range []struct {
		name, want string
		parts      []string
	}{
		{"whole", "200 OK", []string{"POST / HTTP/1.1\r\n" + length(5) + last + "\r\nhello"}},
		{"whole, then idle", "200 OK", []string{"POST / HTTP/1.1\r\n" + length(5) + "\r\nhello"}},
		{"the largest body", "262144", []string{"POST / HTTP/1.1\r\n" + length(len(body)) + last + "\r\n", body}},
		{"the largest body in chunks", "262144", []string{"POST / HTTP/1.1\r\n" + last + chunked, "40000\r\n" + body + "\r\n0\r\n\r\n"}},
		{"a body that is too large", "503", []string{"POST / HTTP/1.1\r\n" + length(len(body)+1) + "\r\n", body + "y"}},
		{"chunks that are too large", "503", []string{"POST / HTTP/1.1\r\n" + chunked, "40001\r\n" + body + "y\r\n"}},
		{"many lines", "200 OK", []string{"GET / HTTP/1.1\r\nHost: a\r\n" + last + lines + "\r\n"}},
		{"a header that never ends", "", []string{"GET / HTTP/1.1\r\nHost: a\r\n" + lines}},
		{"a header that is too large", "431", []string{"GET / HTTP/1.1\r\nHost: a\r\n" + lines + lines}},
		{"nothing", "", nil},
		{"a body that never ends", "503", []string{"POST / HTTP/1.1\r\n" + length(len(body)) + "\r\n", body[1:]}},
		{"a chunked body that never ends", "503", []string{"POST / HTTP/1.1\r\n" + chunked, "40000\r\n" + body}},
		{"trailers that never end", "503", []string{"POST / HTTP/1.1\r\n" + chunked + "1\r\nx\r\n0\r\na:"}},
		{"a body that is not read", "Connection: close", []string{"POST /unread HTTP/1.1\r\n" + length(len(body)) + "\r\n", body[1:]}},
		{"a small body that is not read", "404", []string{"DELETE /unread HTTP/1.1\r\n" + length(5) + "\r\nhell"}},
		{"a body that is discarded", "200 OK", []string{"DELETE /discarded HTTP/1.1\r\n" + length(len(body)) + last + "\r\n", body}},
		{"chunks that are discarded", "200 OK", []string{"DELETE /discarded HTTP/1.1\r\n" + last + chunked, "40000\r\n" + body + "\r\n0\r\n\r\n"}},
		{"a discarded body that is too large", "503", []string{"DELETE /discarded HTTP/1.1\r\n" + length(len(body)+1) + "\r\n", body}},
		{"discarded chunks that are too large", "503", []string{"DELETE /discarded HTTP/1.1\r\n" + chunked, "40001\r\n" + body + "y\r\n"}},
		{"a discarded body that never ends", "503", []string{"DELETE /discarded HTTP/1.1\r\n" + length(5) + "\r\nhell"}},
		{"a panic", "", []string{"GET /panic HTTP/1.1\r\nHost: a\r\n\r\n"}},
		{"a hijack", "", []string{"GET /hijack HTTP/1.1\r\nHost: a\r\n\r\n"}},
		{"pipelined", "200 OK", []string{strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 50)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			serve(t, 4<<20, func(t *testing.T, s *served) {
				out := s.exchange(test.parts...)
				if test.want == "" {
					assert.Empty(t, out)
				}
				assert.Contains(t, out, test.want)
			})
		})
	}
}

// Guards against a client that sends requests and reads no answers.
func TestConnectionWhoseAnswersAreNotReadIsClosed(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		c := s.dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(writeTimeout + time.Second)
		_, err = c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}

// The deadline for the body must not cancel a request that is being answered.
func TestAnswerMayTakeLongerThanTheBody(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		assert.Contains(t, s.exchange("POST /slow HTTP/1.1\r\n"+length(5)+last+"\r\nhello"), "200 OK")
	})
}

// Guards against issue 57: requests inside the limits, most of which never ended, took all memory.
func TestOrdinaryCallerIsAnsweredBesideACrowd(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 3000)
	body := strings.Repeat("x", testBodyLimit-1)
	for name, parts := range map[string][]string{
		"headers":                  {"GET / HTTP/1.1\r\nHost: a\r\n" + lines},
		"bodies":                   {"POST / HTTP/1.1\r\n" + length(testBodyLimit) + "\r\n", body},
		"chunks":                   {"POST / HTTP/1.1\r\n" + chunked, "40000\r\n" + body},
		"headers and a body":       {"POST / HTTP/1.1\r\n" + lines + length(testBodyLimit) + "\r\n", body},
		"trailers":                 {"POST / HTTP/1.1\r\n" + chunked + "1\r\nx\r\n0\r\n" + strings.Repeat("a:\r\n", 800)},
		"bodies that nobody reads": {"POST /unread HTTP/1.1\r\n" + length(testBodyLimit) + "\r\n", body},
		"nothing":                  nil,
	} {
		t.Run(name, func(t *testing.T) {
			const budget = 2 << 20
			serve(t, budget, func(t *testing.T, s *served) {
				var crowd sync.WaitGroup
				for range 60 {
					crowd.Go(func() { s.exchange(parts...) })
				}
				synctest.Wait()
				held, connections := s.guard.Used()
				assert.LessOrEqual(t, held, int64(budget))
				assert.LessOrEqual(t, connections, 20)
				assert.Contains(t, s.exchange("POST / HTTP/1.1\r\n"+length(5)+last+"\r\nhello"), "200 OK")
				assert.Contains(t, s.exchange("GET / HTTP/1.1\r\nHost: a\r\n"+last+"\r\n"), "200 OK")
				crowd.Wait()
				assert.NotEmpty(t, s.causes)
			})
		})
	}
}

// A request that has been read gets its answer, however many others come.
func TestRequestThatHasBeenReadIsAnsweredBesideACrowd(t *testing.T) {
	serve(t, 2<<20, func(t *testing.T, s *served) {
		answered := make(chan string)
		for range 3 {
			go func() {
				answered <- s.exchange("POST /slow HTTP/1.1\r\n"+length(testBodyLimit)+last+"\r\n", strings.Repeat("x", testBodyLimit))
			}()
		}
		synctest.Wait()
		var crowd sync.WaitGroup
		for range 60 {
			crowd.Go(func() {
				s.exchange("POST / HTTP/1.1\r\n"+length(testBodyLimit)+"\r\n", strings.Repeat("x", testBodyLimit-1))
			})
		}
		for range 3 {
			assert.Contains(t, <-answered, "262144")
		}
		crowd.Wait()
	})
}

// What is held must follow from what was sent, as nothing else bounds it.
func TestHeldBytes(t *testing.T) {
	cost := func(parts ...string) (sum int64) {
		for _, p := range parts {
			sum += int64(headerByteCost*len(p) + headerLineBytes*strings.Count(p, "\n"))
		}
		return sum
	}
	const bufferedBody = "xxxxx"
	get := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("b:\r\n", 100) + "\r\n"
	head := "POST / HTTP/1.1\r\n" + length(testBodyLimit) + "\r\n"
	begun := "POST / HTTP/1.1\r\n" + chunked + "1\r\nx\r\n"
	trailers := "0\r\n" + strings.Repeat("a:\r\n", 500)
	long := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 2500)
	for _, test := range []struct {
		name  string
		parts []string
		want  int64
	}{
		{"nothing", nil, 0},
		{"a part of a header", []string{long}, cost(long)},
		{"a body that begins", []string{head, bufferedBody}, cost(head) + firstBytes},
		{"a large part of a body", []string{head, strings.Repeat("x", 100<<10)}, cost(head) + 128<<10},
		{"trailers", []string{begun, trailers}, cost(begun, trailers) + firstBytes},
		{"idle after requests", []string{get, get, get}, cost(get)},
	} {
		t.Run(test.name, func(t *testing.T) {
			serve(t, 4<<20, func(t *testing.T, s *served) {
				c := s.dial()
				go func() { _, _ = io.Copy(io.Discard, c) }()
				synctest.Wait() // until it is counted
				for _, p := range test.parts {
					_, err := io.WriteString(c, p)
					require.NoError(t, err)
					synctest.Wait()
				}
				held, _ := s.guard.Used()
				assert.InDelta(t, connectionBytes+test.want, held, headerByteCost*bufferBytes)
				require.NoError(t, c.Close())
			})
		})
	}
}

// A buffer that grows is there twice while it is copied.
func TestGrowingBodyNeedsRoomForBothBuffers(t *testing.T) {
	body := strings.Repeat("x", testBodyLimit)
	for budget, want := range map[int64]string{400 << 10: "503", 800 << 10: "200 OK"} {
		serve(t, budget, func(t *testing.T, s *served) {
			assert.Contains(t, s.exchange("POST / HTTP/1.1\r\n"+length(len(body))+last+"\r\n", body), want)
		})
	}
}

// net/http would read the rest of the body before the answer.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		c := s.dial()
		start := time.Now()
		_, err := io.WriteString(c, "POST /unread HTTP/1.1\r\n"+length(100<<10)+"\r\n")
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, 12))
		require.NoError(t, err)
		assert.Zero(t, time.Since(start))
		require.NoError(t, c.Close())
	})
}

func TestConnectionIsKeptAfterABody(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		body := strings.Repeat("x", testBodyLimit)
		out := s.exchange("POST / HTTP/1.1\r\n"+length(len(body))+"\r\n", body, "POST / HTTP/1.1\r\n"+chunked+"1\r\nx\r\n0\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n"+last+"\r\n")
		assert.Equal(t, 3, strings.Count(out, "200 OK"))
	})
}

func TestConnectionBesideOthersThatAreAnsweredIsClosed(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		var answered sync.WaitGroup
		for range 20 {
			answered.Go(func() { assert.Contains(t, s.exchange("GET /slow HTTP/1.1\r\nHost: a\r\n"+last+"\r\n"), "200 OK") })
		}
		synctest.Wait()
		assert.Empty(t, s.exchange())
		answered.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, []Cause{CauseConnection}, s.causes)
	})
}

// The handler must not take a connection that was closed to make room for one that the caller broke off.
func TestBodyOfAClosedConnectionHasNoMemory(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		server, client := net.Pipe()
		conn := newConn(s.guard, server)
		read := make(chan error)
		go func() { read <- (&body{conn: conn, limit: testBodyLimit}).read(conn) }()
		_, err := io.WriteString(client, "x")
		require.NoError(t, err)
		synctest.Wait()
		require.NoError(t, conn.Close())
		assert.ErrorIs(t, <-read, ErrNoMemory)
	})
}

// Guards against a DELETE with a small body that was closed while it was answered, as its body counted as incomplete.
func TestRequestWhoseBodyWasDiscardedIsAnsweredBesideACrowd(t *testing.T) {
	serve(t, 32<<20, func(t *testing.T, s *served) {
		answer := make(chan string)
		go func() { answer <- s.exchange("DELETE /discarded HTTP/1.1\r\n" + length(2) + last + "\r\n{}") }()
		synctest.Wait()
		var crowd sync.WaitGroup
		for range 30 { // more than connections
			crowd.Go(func() { s.exchange("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3000)) })
			synctest.Wait() // none is idle when the next one comes
		}
		assert.Contains(t, <-answer, "200 OK")
		crowd.Wait()
	})
}

// Guards against a chunked request that was closed while it was answered, as the caller's next byte counted
// as one of its trailers.
func TestChunkedRequestIsAnsweredThoughTheNextOneHasNoRoom(t *testing.T) {
	const budget = 4 << 20
	serve(t, budget, func(t *testing.T, s *served) {
		c := s.dial()
		_, err := io.WriteString(c, "POST /slow HTTP/1.1\r\n"+chunked+"1\r\nx\r\n0\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		held, _ := s.guard.Used()
		for rest := int64(budget) - held; rest > 0; { // in small parts, which may use all of it
			part := min(rest, smallBytes-1)
			release, ok := s.guard.Take(part, CauseForwarded)
			require.True(t, ok)
			defer release()
			rest -= part
		}
		_, err = io.WriteString(c, "G")
		require.NoError(t, err)
		answer := make([]byte, len("HTTP/1.1 200 OK"))
		_, err = io.ReadFull(c, answer)
		require.NoError(t, err)
		assert.Equal(t, "HTTP/1.1 200 OK", string(answer))
		require.NoError(t, c.Close())
	})
}

// net/http parses what has arrived with an earlier request without reading the connection again.
func TestPipelinedHeaderIsCounted(t *testing.T) {
	serve(t, 4<<20, func(t *testing.T, s *served) {
		c := s.dial()
		const lines = 800
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\n"+length(5)+"\r\nhello"+"GET /slow HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", lines)+"\r\n")
		require.NoError(t, err)
		buf := make([]byte, 4<<10)
		_, err = c.Read(buf)
		require.NoError(t, err)
		synctest.Wait()
		held, _ := s.guard.Used()
		assert.Greater(t, held, int64(connectionBytes+lines*headerLineBytes))
		_, err = c.Read(buf)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	})
}

func TestFailedAcceptIsReported(t *testing.T) {
	p := &pipes{closed: make(chan struct{})}
	require.NoError(t, p.Close())
	_, err := (&listener{p, New(Limits{}, nil)}).Accept()
	assert.True(t, errors.Is(err, net.ErrClosed))
}
