// Package peer implements calls between the instances of a cell: net/rpc over TCP
// connections that are closed when they do not respond.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection inside a region.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout bounds each read from and write to a connection that this instance has
	// accepted. Instances that follow the leader ping it several times in that time.
	idleTimeout = 4 * time.Second
)

// ErrRefused means that no process listens at the address: the process has ended.
var ErrRefused = errors.New("connection refused")

// Dial opens a connection to another instance. It returns an error marked
// ErrRefused if no process listens there.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is a Dial that connects over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrRefused)
	}
	return conn, errors.Wrapf(err, "dial %s", address)
}

// Client calls one other instance. It opens its connection at the first call and reopens
// it at the first call after a failure.
type Client struct {
	address   string
	dial      Dial
	dialing   chan struct{} // held by the call that opens the connection
	mu        sync.Mutex
	conn      *connection
	lastReply time.Time // when the last answer came
}

// connection is a connection to the other instance.
type connection struct {
	*rpc.Client
	closed atomic.Bool // this instance has closed it
}

// connect returns the open connection, or opens one. Other calls wait for it to open, at
// most until their contexts end.
func (c *Client) connect(ctx context.Context) (*connection, error) {
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
	transport, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	conn := &connection{Client: rpc.NewClient(transport)}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	return conn, nil
}

// current returns the open connection, or nil.
func (c *Client) current() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// ErrNotSent marks errors of calls that failed before they were sent and thus had no
// effect.
var ErrNotSent = errors.New("not sent")

// Call calls method and waits for its reply until ctx ends. After an error that is not
// marked ErrNotSent the call may or may not have had an effect, and reply, a pointer, is
// unchanged. If ctx ends and the connection has brought no reply since the call was sent,
// Call closes the connection. A call on a connection that has ended while it was idle is
// made again on a new one, once.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	err := c.callOnce(ctx, method, args, reply)
	if errors.Is(err, errIdleConnEnded) {
		err = c.callOnce(ctx, method, args, reply)
	}
	return err
}

// errIdleConnEnded marks errors of calls that were not sent as their connection had ended
// before. They are marked ErrNotSent as well.
var errIdleConnEnded = errors.New("the connection has ended")

// callOnce makes a call on the open connection, or on a new one if there is none.
func (c *Client) callOnce(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	sent := time.Now()
	// The answer may still be decoded after ctx has ended.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return c.handleResult(conn, call.Error)
	case <-ctx.Done():
		c.mu.Lock()
		unresponsive := c.conn == conn && c.lastReply.Before(sent)
		c.mu.Unlock()
		if unresponsive {
			c.closeConn(conn)
		}
		return errors.Wrapf(ctx.Err(), "%s at %s", method, c.address)
	}
}

// handleResult handles the result of a call on conn. An error of the connection closes
// it; an error that the peer returned does not.
func (c *Client) handleResult(conn *connection, err error) error {
	var fromPeer rpc.ServerError
	if err == nil || errors.As(err, &fromPeer) {
		c.mu.Lock()
		c.lastReply = time.Now()
		c.mu.Unlock()
		return errors.Wrap(err, c.address)
	}
	// net/rpc returns ErrShutdown for a call on a connection that has ended, which is not
	// sent, and for the pending calls of a connection that this instance closes.
	notSent := errors.Is(err, rpc.ErrShutdown) && !conn.closed.Load()
	c.closeConn(conn)
	if notSent {
		return errors.Mark(errors.Mark(errors.Wrap(err, c.address), ErrNotSent), errIdleConnEnded)
	}
	return errors.Wrap(err, c.address)
}

// closeConn closes conn. The next call opens another connection.
func (c *Client) closeConn(conn *connection) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.closed.Store(true)
	_ = conn.Close() // the connection is no longer used, so the error does not matter
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

// idleConn is a connection whose reads and writes time out after idleTimeout.
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
