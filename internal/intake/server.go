package intake

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Listen listens on a TCP address. The kernel holds a bounded number of bytes for each of the
// listener's connections, also before they are accepted.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// A system that refuses these sizes keeps its own, which are bounded as well.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveOption)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendOption)
		})
	}}
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// listener accepts connections of a guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. At the limits another connection is closed, so that nobody
// waits behind those who send nothing.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := newConn(l.guard, c); conn != nil {
			return conn, nil
		}
		_ = c.Close() // nothing has been read from it
		l.guard.refuse(CauseConnection)
	}
}

// Serve serves connections of l, which count toward the budget of g. bodyTimeout bounds the
// time for the body of a request whose handler does not set a read deadline.
func (g *Guard) Serve(s *http.Server, l net.Listener, bodyTimeout time.Duration) error {
	state, handler := s.ConnState, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if conn, ok := c.(*Conn); ok && to == http.StateIdle {
			conn.rest()
		}
		if state != nil {
			state(c, to)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r, cancel := begin(w, r, bodyTimeout)
		defer cancel()
		c := connOf(r)
		if c != nil && c.ended() { // with the request in net/http's buffer
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
		if c != nil && c.ended() { // nobody reads the answer
			panic(http.ErrAbortHandler)
		}
	})
	return s.Serve(&listener{l, g})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of r, or nil if r is not served by a guard.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// maxDiscardedBytes is the size up to which a body that no handler reads is read before the
// answer, so that the connection can be kept.
const maxDiscardedBytes = ReceiveBytes

// begin prepares for a request whose header has been read. The handler of a request with a body is
// canceled if the connection is closed to make room.
func begin(w http.ResponseWriter, r *http.Request, bodyTimeout time.Duration) (*http.Request, context.CancelFunc) {
	hasBody := r.ContentLength != 0
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if hasBody {
		ctx, cancel = context.WithCancel(ctx)
	}
	if c := connOf(r); c != nil {
		c.begin(hasBody, r.ContentLength < 0, cancel)
	}
	if !hasBody {
		return r, cancel
	}
	SetBodyDeadline(w, time.Now().Add(bodyTimeout))
	if r.ContentLength < 0 || r.ContentLength > maxDiscardedBytes {
		// net/http would read the rest before the answer.
		w.Header().Set("Connection", "close")
	}
	return r.WithContext(ctx), cancel
}

// SetBodyDeadline sets the time until which the body of the request that w answers, or what is
// left of it, is read.
func SetBodyDeadline(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(t) // a recorder of a test has none
}
