// Package peer carries calls between the instances of a cell: net/rpc over TCP
// connections that are given up as soon as they look dead.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection inside a region.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout ends a connection on which nothing has come. Instances ping each
	// other several times in that time.
	idleTimeout = 4 * time.Second
)

// ErrRefused tells that no process listens at the address: it has ended.
var ErrRefused = errors.New("connection refused")

// Client calls one other instance. It opens its connection on the first call and
// again after a failure.
type Client struct {
	address string
	mu      sync.Mutex
	conn    *rpc.Client
	heard   time.Time // when the last answer came
}

// NewClient returns a client for the instance that listens at address.
func NewClient(address string) *Client { return &Client{address: address} }

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.Mark(errors.Wrapf(err, "dial %s", c.address), ErrRefused)
		}
		return nil, errors.Wrapf(err, "dial %s", c.address)
	}
	c.conn = rpc.NewClient(raw)
	return c.conn, nil
}

// ErrNotSent marks a failure before the call was sent: it has had no effect.
var ErrNotSent = errors.New("not sent")

// Call calls method and waits for its reply until ctx ends. An error that is not
// marked ErrNotSent leaves open whether the call had an effect.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	sent := time.Now()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finished(conn, call.Error)
	case <-ctx.Done():
		c.mu.Lock()
		dead := c.conn == conn && c.heard.Before(sent)
		c.mu.Unlock()
		if dead {
			c.drop(conn)
		}
		return errors.Wrapf(ctx.Err(), "%s at %s", method, c.address)
	}
}

func (c *Client) finished(conn *rpc.Client, err error) error {
	var fromPeer rpc.ServerError
	if err == nil || errors.As(err, &fromPeer) {
		c.mu.Lock()
		c.heard = time.Now()
		c.mu.Unlock()
		return errors.Wrap(err, c.address)
	}
	c.drop(conn)
	if errors.Is(err, rpc.ErrShutdown) {
		return errors.Mark(errors.Wrap(err, c.address), ErrNotSent)
	}
	return errors.Wrap(err, c.address)
}

func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // the connection is given up; there is nothing left to lose
}

// Pool keeps one client for each address.
type Pool struct {
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: make(map[string]*Client)} }

// Get returns the client for address.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = NewClient(address)
		p.clients[address] = c
	}
	return c
}

// Serve answers calls to the methods of service, registered as name, until the
// listener is closed.
func Serve(l net.Listener, name string, service any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service); err != nil {
		return errors.Wrap(err, "register the peer service")
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peers")
		}
		go server.ServeConn(&idleConn{conn})
	}
}

// idleConn ends a connection on which nothing has come for idleTimeout.
type idleConn struct{ net.Conn }

// Read implements net.Conn.
func (c *idleConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *idleConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
