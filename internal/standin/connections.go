package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// connections tracks the open connections and the services that each was used
// for.
type connections struct {
	mu   sync.Mutex
	open map[*faultConn]struct{}
}

func newConnections() *connections {
	return &connections{open: map[*faultConn]struct{}{}}
}

// blackhole makes every open connection that was used for service drop all
// further data.
func (s *connections) blackhole(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if _, ok := c.services.Load(service); ok {
			c.blackholed.Store(true)
		}
	}
}

// faultConn is a connection that can drop all data in both directions without an
// error, as a network failure does.
type faultConn struct {
	net.Conn
	owner      *connections
	blackholed atomic.Bool
	services   sync.Map // keys are names of services
}

// Read implements net.Conn.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// faultListener accepts connections as faultConns.
type faultListener struct {
	net.Listener
	owner *connections
}

// Accept implements net.Listener.
func (l faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &faultConn{Conn: c, owner: l.owner}
	l.owner.mu.Lock()
	l.owner.open[fc] = struct{}{}
	l.owner.mu.Unlock()
	return fc, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns a context that holds the connection of a request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// recordService records that the request's connection was used for service.
func recordService(ctx context.Context, service string) {
	if c, ok := ctx.Value(connKey{}).(*faultConn); ok {
		c.services.Store(service, struct{}{})
	}
}
