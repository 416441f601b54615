package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crowd sends request on a new connection each gap until ctx ends.
func crowd(ctx context.Context, p *pipes, gap time.Duration, request string) {
	for ctx.Err() == nil {
		c := p.dial()
		go func() { _, _ = io.WriteString(c, request) }()
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
		time.Sleep(gap)
	}
}

// serveRefusing starts a server of handle with a budget of 4 MB, until stop is called.
func serveRefusing() (s *served, stop func() error) {
	s = &served{pipes: &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}, guard: New(Limits{Bytes: 4 << 20}, func(Cause) {})}
	server := &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: http.HandlerFunc(handle), MaxHeaderBytes: 16 << 10}
	go func() { _ = s.guard.Serve(server, s.pipes, testBodyTimeout) }()
	return s, server.Close
}

// Callers without a key: each request is small and is refused with an answer at once.
func TestSmallRefusedRequestsStayNearTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := serveRefusing()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go crowd(ctx, s.pipes, time.Millisecond, "POST /unread HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 130)+length(1<<20)+"\r\n")
		var most int64
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			s.guard.mu.Lock()
			most = max(most, s.guard.used+s.guard.leaving)
			s.guard.mu.Unlock()
		}
		t.Logf("in use at most %d kB of %d", most>>10, s.guard.limits.Bytes>>10)
		assert.LessOrEqual(t, most, 2*s.guard.limits.Bytes)
		time.Sleep(time.Minute)
		require.NoError(t, stop())
	})
}

// Requests of a handler that reads the body, beside hostile ones without a key: share that gets an answer 200.
func TestLargeRequestsAreServedBesideRefusedOnes(t *testing.T) {
	for name, request := range map[string]string{
		"large header, unread body":   "POST /unread HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000) + length(1<<20) + "\r\n",
		"thousand lines, unread body": "POST /unread HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000) + length(1<<20) + "\r\n",
		"header too large":            "POST /unread HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 8000),
		"connections":                 "",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := serveRefusing()
				ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
				defer cancel()
				go crowd(ctx, s.pipes, 10*time.Millisecond, request)
				time.Sleep(time.Second)
				body := strings.Repeat("x", 250<<10)
				served := 0
				var slowest time.Duration
				for range 10 {
					start := time.Now()
					if strings.Contains(s.exchange("POST / HTTP/1.1\r\n"+length(len(body))+last+"\r\n", body), "200 OK") {
						served++
					}
					slowest = max(slowest, time.Since(start))
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("%d of 10 served, slowest %v", served, slowest)
				assert.Equal(t, 10, served)
				assert.Less(t, slowest, time.Second)
				cancel()
				time.Sleep(time.Minute)
				require.NoError(t, stop())
			})
		})
	}
}

// A connection that has just been accepted counts as idle and goes before requests that were refused with an answer.
func TestSmallRequestsAreServedBesideRefusedOnes(t *testing.T) {
	for _, offset := range []time.Duration{0, 500 * time.Microsecond} {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := serveRefusing()
				ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
				defer cancel()
				go crowd(ctx, s.pipes, time.Millisecond, "POST /unread HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 130)+length(1<<20)+"\r\n")
				time.Sleep(time.Second + offset)
				ok := 0
				for range 20 {
					if strings.Contains(s.exchange("POST / HTTP/1.1\r\n"+length(5)+last+"\r\n", "hello"), "200 OK") {
						ok++
					}
					time.Sleep(17 * time.Millisecond)
				}
				assert.Equal(t, 20, ok)
				cancel()
				time.Sleep(time.Minute)
				require.NoError(t, stop())
			})
		})
	}
}

func TestLargeRequestReplacesOneThatLingersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		answered, _ := pair(t, g)
		require.True(t, answered.hold(500<<10, readingBody, CauseBody))
		go func() {
			answered.linger()
			_ = answered.Close()
		}()
		synctest.Wait()
		next, _ := pair(t, g)
		start := time.Now()
		assert.True(t, next.hold(600<<10, readingBody, CauseBody))
		assert.Zero(t, time.Since(start))
	})
}
