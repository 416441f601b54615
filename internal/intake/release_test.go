package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair returns a connection of g and the caller's end of it.
func pair(t *testing.T, g *Guard) (conn *Conn, caller net.Conn) {
	t.Helper()
	server, caller := net.Pipe()
	conn = newConn(g, server)
	require.NotNil(t, conn)
	return conn, caller
}

// Guards against CI's failure of TestCrowdServed/header-lines-then-body: the room of closed
// connections was taken while their goroutines waited for the processor with all they had read.
func TestRoomOfAClosedConnectionIsTakenWhenItsMemoryIsReturned(t *testing.T) {
	for returned, want := range map[time.Duration]bool{time.Second: true, 2 * releaseTimeout: false} {
		synctest.Test(t, func(t *testing.T) {
			g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
			large, _ := pair(t, g)
			require.True(t, large.hold(500<<10, readingBody, CauseBody))
			time.Sleep(minIncompleteTime)
			time.AfterFunc(returned, func() { _ = large.Close() })
			next, _ := pair(t, g)
			start := time.Now()
			assert.Equal(t, want, next.hold(500<<10, readingBody, CauseBody))
			assert.Equal(t, min(returned, releaseTimeout), time.Since(start))
			time.Sleep(returned)
			require.NoError(t, next.Close())
			held, _ := g.Used()
			assert.Zero(t, held)
		})
	}
}

func TestLargeHeaderWaitsForTheMemoryOfAClosedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 300 << 10}, func(Cause) {})
		large, _ := pair(t, g)
		require.True(t, large.hold(180<<10, readingBody, CauseBody))
		next, caller := pair(t, g)
		time.Sleep(minIncompleteTime)
		time.AfterFunc(time.Second, func() { _ = large.Close() })
		start := time.Now()
		go func() { _, _ = io.WriteString(caller, strings.Repeat("a:\r\n", 800)) }()
		_, err := next.Read(make([]byte, bufferBytes))
		require.NoError(t, err)
		assert.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against room that one newcomer made and another took at once.
func TestRoomLeftOfAClosedConnectionIsTakenWhenItsMemoryIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		read, _ := pair(t, g)
		require.True(t, large.hold(560<<10, readingBody, CauseBody))
		require.True(t, read.hold(120<<10, answering, CauseBody))
		first, _ := pair(t, g)
		second, _ := pair(t, g)
		time.Sleep(minIncompleteTime)
		time.AfterFunc(time.Second, func() { _ = large.Close() })
		start := time.Now()
		done := make(chan time.Duration)
		for _, next := range []*Conn{first, second} {
			go func() {
				assert.True(t, next.hold(260<<10, readingBody, CauseBody))
				done <- time.Since(start)
			}()
			synctest.Wait()
		}
		assert.True(t, read.hold(100<<10, answering, CauseDecoded), "what shrinks does not wait")
		assert.Zero(t, time.Since(start))
		assert.Equal(t, []time.Duration{time.Second, time.Second}, []time.Duration{<-done, <-done})
	})
}

// A closed connection that waits for memory itself must not hold up those that wait for its own.
func TestConnectionThatIsClosedWhileItWaitsGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		require.True(t, large.hold(700<<10, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		waiting, _ := pair(t, g)
		next, _ := pair(t, g)
		ended := make(chan bool)
		go func() { ended <- waiting.hold(700<<10, readingBody, CauseBody) }()
		time.Sleep(minIncompleteTime)
		go func() { ended <- next.hold(700<<10, readingBody, CauseBody) }()
		start := time.Now()
		assert.False(t, <-ended, "the first one gives up")
		assert.Zero(t, time.Since(start))
		require.NoError(t, waiting.Close())
		require.NoError(t, large.Close())
		assert.True(t, <-ended)
	})
}

// Room that an answered request returns must wake those that wait, and not only that of closed holders.
func TestWaitEndsWhenAnotherHolderShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		read, _ := pair(t, g)
		next, _ := pair(t, g)
		require.True(t, large.hold(280<<10, readingBody, CauseBody))
		require.True(t, read.hold(400<<10, answering, CauseBody))
		time.Sleep(minIncompleteTime)
		time.AfterFunc(time.Second, read.rest)
		time.AfterFunc(2*releaseTimeout, func() { _ = large.Close() })
		start := time.Now()
		assert.True(t, next.hold(280<<10, readingBody, CauseBody))
		assert.Equal(t, time.Second, time.Since(start))
		g.mu.Lock()
		assert.LessOrEqual(t, g.used+g.leaving, g.limits.Bytes, "there is room")
		g.mu.Unlock()
		time.Sleep(2 * releaseTimeout)
	})
}

// The time in which a body must arrive bounds the wait as well.
func TestWaitEndsWithTheReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		require.True(t, large.hold(600<<10, readingBody, CauseBody))
		next, _ := pair(t, g)
		time.Sleep(minIncompleteTime)
		start := time.Now()
		require.NoError(t, next.SetReadDeadline(start.Add(500*time.Millisecond)))
		assert.False(t, next.hold(600<<10, readingBody, CauseBody))
		assert.Equal(t, 500*time.Millisecond, time.Since(start))
	})
}

// A request that has been read and a forwarded one have callers who wait for their answers.
func TestRequestThatHasBeenReadDoesNotWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		var large []*Conn
		for range 2 {
			conn, _ := pair(t, g)
			large = append(large, conn)
		}
		next, _ := pair(t, g)
		start := time.Now()
		require.True(t, large[0].hold(600<<10, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		assert.True(t, next.hold(600<<10, answering, CauseDecoded))
		require.NoError(t, next.Close())
		require.NoError(t, large[0].Close())
		require.True(t, large[1].hold(600<<10, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		release, ok := g.Take(600<<10, CauseForwarded)
		assert.True(t, ok)
		assert.Equal(t, 2*minIncompleteTime, time.Since(start))
		release()
		for _, conn := range large {
			require.NoError(t, conn.Close())
		}
		assert.Zero(t, g.leaving)
	})
}

// One connection that does not end must not turn newcomers away while others could be closed.
func TestStuckConnectionDoesNotHoldUpAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 20 * connectionBytes}, func(Cause) {})
		stuck, _ := pair(t, g)
		var others []*Conn
		for range 10 {
			conn, _ := pair(t, g)
			others = append(others, conn)
			go func() { // as net/http
				_, _ = conn.Read(make([]byte, bufferBytes))
				_ = conn.Close()
			}()
		}
		require.True(t, stuck.hold(9*connectionBytes, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		start := time.Now()
		for i := range 3 {
			server, _ := net.Pipe()
			conn := newConn(g, server)
			assert.NotNil(t, conn, i)
		}
		assert.Zero(t, time.Since(start))
		require.NoError(t, stuck.Close())
		for _, conn := range others {
			_ = conn.Close()
		}
	})
}

// A server that is shut down must not wait for a connection that it is to accept.
func TestShutdownDoesNotWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}
		g := New(Limits{Bytes: connectionBytes + 10<<10}, func(Cause) {})
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })}
		go func() { _ = g.Serve(server, p, testBodyTimeout) }()
		_, err := io.WriteString(p.dial(), "POST / HTTP/1.1\r\n"+length(1<<20)+"\r\n")
		require.NoError(t, err)
		synctest.Wait()
		p.dial()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		require.Error(t, server.Shutdown(ctx))
		assert.Equal(t, time.Second, time.Since(start))
		time.Sleep(2 * time.Minute)
	})
}

func TestRefusedConnectionIsCountedUntilItIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: connectionBytes + 1<<10}, func(Cause) {})
		conn, caller := pair(t, g)
		go func() { _, _ = io.WriteString(caller, strings.Repeat("a:\r\n", 100)) }()
		_, err := conn.Read(make([]byte, bufferBytes))
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = caller.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		held, _ := g.Used()
		assert.Equal(t, int64(connectionBytes), held)
		require.NoError(t, conn.Close())
		held, _ = g.Used()
		assert.Zero(t, held)
	})
}

// A handler that waits, and net/http's delay before it closes a connection with unread bytes, keep the
// memory of a closed connection.
func TestClosedRequestReturnsItsMemoryAtOnce(t *testing.T) {
	serve(t, 2<<20, func(t *testing.T, s *served) {
		lines := strings.Repeat("a:\r\n", 3000)
		for range 20 {
			c := s.dial()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, err := io.WriteString(c, "POST /waits HTTP/1.1\r\n"+lines+length(1<<20)+"\r\n")
			require.NoError(t, err)
			synctest.Wait()
			time.Sleep(minIncompleteTime)
		}
		start := time.Now()
		assert.Contains(t, s.exchange("POST / HTTP/1.1\r\n"+lines+length(5)+last+"\r\nhello"), "200 OK")
		assert.Zero(t, time.Since(start))
		assert.NotEmpty(t, s.causes)
	})
}

// net/http's delay before the close of a connection whose body was refused with an answer must not hold
// up others.
func TestRefusedRequestsReturnTheirMemoryAtOnce(t *testing.T) {
	for name, request := range map[string]string{
		"unread body":      "POST /unread HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000) + length(1<<20) + "\r\n",
		"header too large": "POST /unread HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 8000),
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, 2<<20, func(t *testing.T, s *served) {
				hostile(s, request)
				time.Sleep(2 * time.Second)
				var slowest time.Duration
				for range 10 {
					start := time.Now()
					assert.Contains(t, s.exchange("POST / HTTP/1.1\r\n"+length(5)+last+"\r\nhello"), "200 OK")
					slowest = max(slowest, time.Since(start))
					time.Sleep(100 * time.Millisecond)
				}
				t.Log("slowest", slowest)
				assert.Less(t, slowest, 10*time.Millisecond)
			})
		})
	}
}

// hostile sends a request over and over for ten seconds, on eight connections at a time.
func hostile(s *served, request string) {
	end := time.Now().Add(10 * time.Second)
	for range 8 {
		go func() {
			for time.Now().Before(end) {
				c := s.dial()
				go func() { _, _ = io.WriteString(c, request) }()
				_, _ = c.Read(make([]byte, 4096))
				time.Sleep(10 * time.Millisecond)
				_ = c.Close()
			}
		}()
	}
}

// A request that net/http finds in its buffer after its connection was closed is canceled as well.
func TestRequestOfAConnectionThatIsClosedBeforeItBeginsIsCanceled(t *testing.T) {
	serve(t, 480<<10, func(t *testing.T, s *served) {
		big := s.dial()
		go func() { _, _ = io.Copy(io.Discard, big) }()
		_, err := io.WriteString(big, "POST /slow HTTP/1.1\r\n"+length(170<<10)+"\r\n"+strings.Repeat("x", 170<<10))
		require.NoError(t, err)
		synctest.Wait()
		before, _ := s.guard.Used()
		require.Greater(t, before, int64(200<<10))
		c := s.dial()
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for _, part := range []string{
			"POST / HTTP/1.1\r\n" + length(5) + "\r\n",
			"helloPOST /waits HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 950) + length(1<<10) + "\r\n",
		} {
			_, err = io.WriteString(c, part)
			require.NoError(t, err)
			synctest.Wait()
		}
		time.Sleep(time.Second)
		after, connections := s.guard.Used()
		assert.Equal(t, 1, connections)
		assert.Equal(t, before, after)
	})
}

// http.Server.Close calls Conn.Close from another goroutine.
func TestWaitEndsWhenItsConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		require.True(t, large.hold(700<<10, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		waiting, _ := pair(t, g)
		ended := make(chan bool, 1)
		go func() { ended <- waiting.hold(500<<10, readingBody, CauseBody) }()
		synctest.Wait()
		start := time.Now()
		for range 10 { // the budget stays exceeded after the waiting one has ended
			pair(t, g)
		}
		require.NoError(t, waiting.Close())
		assert.False(t, <-ended)
		assert.Zero(t, time.Since(start))
	})
}

// What a refused request has not got must not count while its refusal is answered.
func TestRefusedRequestReturnsWhatItDidNotGet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		require.True(t, large.hold(500<<10, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		next, _ := pair(t, g)
		require.False(t, next.hold(500<<10, readingBody, CauseBody), "the closed one does not end")
		held, _ := g.Used()
		assert.Equal(t, int64(connectionBytes), held)
	})
}

// A request without a body that net/http finds in its buffer after its connection was closed.
func TestRequestWithoutBodyOfAClosedConnectionIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}
		g := New(Limits{Bytes: 480 << 10}, func(Cause) {})
		var deleted atomic.Bool
		server := &http.Server{ReadHeaderTimeout: 3 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				deleted.Store(connOf(r).ended() && r.Context().Err() == nil)
				return
			}
			handle(w, r)
		})}
		go func() { _ = g.Serve(server, p, testBodyTimeout) }()
		big := p.dial()
		go func() { _, _ = io.Copy(io.Discard, big) }()
		_, err := io.WriteString(big, "POST /slow HTTP/1.1\r\n"+length(170<<10)+"\r\n"+strings.Repeat("x", 170<<10))
		require.NoError(t, err)
		synctest.Wait()
		c := p.dial()
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for _, part := range []string{
			"POST / HTTP/1.1\r\n" + length(5) + "\r\n",
			"helloDELETE /job HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 950) + "\r\n",
		} {
			_, err = io.WriteString(c, part)
			require.NoError(t, err)
			synctest.Wait()
		}
		_, connections := g.Used()
		t.Log("connections", connections)
		assert.False(t, deleted.Load(), "the connection was closed before the request began")
		time.Sleep(time.Minute)
		require.NoError(t, server.Close())
	})
}

// net/http reads the byte after a chunked body as soon as the handler has read the last chunk, and the
// handler's next step may come after that.
func TestReadRequestIsNotClosedAsTheByteAfterItWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
		large, _ := pair(t, g)
		require.True(t, large.hold(500<<10, readingBody, CauseBody))
		time.Sleep(minIncompleteTime)
		next, caller := pair(t, g)
		var canceled atomic.Bool
		next.begin(true, true, func() { canceled.Store(true) })
		require.True(t, next.hold(100<<10, readingBody, CauseBody))
		third, _ := pair(t, g)
		require.True(t, third.hold(500<<10, answering, CauseDecoded))
		go func() { _, _ = io.WriteString(caller, "G") }()
		go func() { _, _ = next.Read(make([]byte, 1)) }() // as net/http
		synctest.Wait()
		require.True(t, next.hold(100<<10, answering, CauseBody), "the request is passed on")
		time.Sleep(2 * releaseTimeout)
		assert.False(t, canceled.Load())
		assert.False(t, next.ended())
	})
}
