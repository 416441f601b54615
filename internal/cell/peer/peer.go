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

// Dial opens a connection to another instance. It returns an error marked
// ErrRefused if no process listens there.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dial of instances on a network.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrRefused)
	}
	return conn, errors.Wrapf(err, "dial %s", address)
}

// Client calls one other instance. It opens its connection on the first call and
// again after a failure.
type Client struct {
	address string
	dial    Dial
	dialing chan struct{} // held by the call that opens the connection
	mu      sync.Mutex
	conn    *rpc.Client
	heard   time.Time // when the last answer came
}

// connect returns the open connection, or opens one. Calls that come meanwhile wait
// for it no longer than their contexts allow.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	if conn := c.current(); conn != nil {
		return conn, nil
	}
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", c.address)
	}
	if conn := c.current(); conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	conn := rpc.NewClient(raw)
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	return conn, nil
}

func (c *Client) current() *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
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
	dial    Dial
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool whose clients open their connections with dial.
func NewPool(dial Dial) *Pool { return &Pool{dial: dial, clients: make(map[string]*Client)} }

// Get returns the client for address.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = &Client{address: address, dial: p.dial, dialing: make(chan struct{}, 1)}
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
