package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// connections tracks the open connections and the services that they reached.
type connections struct {
	mu   sync.Mutex
	open map[*gatedConn]struct{}
}

func newConnections() *connections {
	return &connections{open: map[*gatedConn]struct{}{}}
}

// silence makes every open connection that reached service go silent.
func (s *connections) silence(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if _, ok := c.services.Load(service); ok {
			c.silent.Store(true)
		}
	}
}

// gatedConn is a connection that can go silent: what arrives is dropped, and
// nothing is sent any more.
type gatedConn struct {
	net.Conn
	owner    *connections
	silent   atomic.Bool
	services sync.Map // of service names
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// gatedListener accepts connections that can go silent.
type gatedListener struct {
	net.Listener
	owner *connections
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &gatedConn{Conn: c, owner: l.owner}
	l.owner.mu.Lock()
	l.owner.open[g] = struct{}{}
	l.owner.mu.Unlock()
	return g, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// reach notes that the request's connection reached service.
func reach(ctx context.Context, service string) {
	if c, ok := ctx.Value(connKey{}).(*gatedConn); ok {
		c.services.Store(service, struct{}{})
	}
}
