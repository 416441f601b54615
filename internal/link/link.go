// Package link counts the bytes that an instance sends and receives, by whom it exchanges
// them with.
package link

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes of the connections to one kind of peer.
type Meter struct {
	sent, received atomic.Int64
}

// Sent returns the bytes sent so far.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the bytes received so far.
func (m *Meter) Received() int64 { return m.received.Load() }

// Conn returns c with its bytes counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &conn{c, m} }

// Listener returns l with the bytes of the connections that it accepts counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{l, m} }

// Dial is a function that opens a connection, such as net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns dial with the bytes of its connections counted.
func (m *Meter) Dialer(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(c), nil
	}
}

type listener struct {
	net.Listener
	m *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.m.Conn(c), nil
}

type conn struct {
	net.Conn
	m *Meter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	return n, err
}

// CloseWrite closes the writing side, if the connection has sides.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}
