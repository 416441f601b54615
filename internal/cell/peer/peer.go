// Package peer implements calls between the instances of a cell: net/rpc over TCP
// connections that are closed when they do not respond.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"slices"
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

// maxIdle is how long a connection may have been idle for another call to be sent on it. The
// peer closes connections after idleTimeout, and a call that it no longer reads may seem to
// have been sent.
const maxIdle = idleTimeout / 2

// Client calls one other instance. Pings and all other calls use separate connections, so
// that pings that time out on a busy peer do not end the calls that wait for it. The client
// opens each connection at the first call and reopens it at the first call after a failure.
type Client struct {
	address  string
	dial     Dial
	requests line
	pings    line
	mu       sync.Mutex
}

// line is what a client keeps for one kind of call. Client.mu guards the connections.
type line struct {
	dialing chan struct{} // held by the call that opens the connection
	conn    *connection   // for the next call; nil if there is none
	retired []*connection // others on which calls wait
}

// connection is a connection to the other instance. Client.mu guards the fields after closed.
type connection struct {
	*rpc.Client
	closed atomic.Bool // this instance has closed it

	pending      int       // calls that wait for their replies
	waitingSince time.Time // when the last reply came or, if later, the first pending call was sent
	sentAt       time.Time // when the last call was sent
	probedAt     time.Time // when the last probe was sent
	probing      bool      // that probe has no answer yet
}

// connect returns the open connection of l, or opens one, and counts the call as pending
// there. Other calls wait for it to open, at most until their contexts end.
func (c *Client) connect(ctx context.Context, l *line) (*connection, error) {
	if conn := c.take(l); conn != nil {
		return conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", c.address)
	}
	if conn := c.take(l); conn != nil {
		return conn, nil
	}
	transport, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	conn := &connection{Client: rpc.NewClient(&boundedConn{Conn: transport})}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.conn = conn
	conn.take(time.Now())
	return conn, nil
}

// take returns the open connection of l, or nil, and counts a call as pending there. A
// connection that the peer may close soon is not used any more.
func (c *Client) take(l *line) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if l.conn != nil && now.Sub(l.conn.sentAt) > maxIdle {
		c.retire(l, l.conn)
	}
	if l.conn != nil {
		l.conn.take(now)
	}
	return l.conn
}

// take counts a call as pending on conn. Client.mu is held.
func (conn *connection) take(now time.Time) {
	if conn.pending == 0 {
		conn.waitingSince = now
	}
	conn.pending++
	conn.sentAt = now
}

// retire makes the next call open another connection than conn. The calls that wait on conn
// keep it. c.mu is held.
func (c *Client) retire(l *line, conn *connection) {
	if l.conn != conn {
		return
	}
	l.conn = nil
	if conn.pending == 0 {
		conn.close()
		return
	}
	l.retired = append(l.retired, conn)
}

// release ends a call on conn. replied reports whether its reply has come. It closes a
// retired connection on which no other call waits.
func (c *Client) release(l *line, conn *connection, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.pending--
	if replied {
		conn.waitingSince = time.Now()
	}
	if conn.pending == 0 && l.conn != conn {
		l.remove(conn)
		conn.close()
	}
}

// remove removes a connection that is no longer used. Client.mu is held.
func (l *line) remove(conn *connection) {
	if l.conn == conn {
		l.conn = nil
	}
	l.retired = slices.DeleteFunc(l.retired, func(other *connection) bool { return other == conn })
}

// close closes the connection.
func (conn *connection) close() {
	conn.closed.Store(true)
	_ = conn.Close() // the connection is no longer used, so the error does not matter
}

// ErrNotSent marks errors of calls that failed before they were sent and thus had no
// effect.
var ErrNotSent = errors.New("not sent")

// Call calls method and waits for its reply until ctx ends. After an error that is not
// marked ErrNotSent the call may or may not have had an effect, and reply, a pointer, is
// unchanged. If ctx ends and the connection has brought no reply since the call was sent,
// the next call opens another connection, and this one is closed once no call waits on it. A
// call on a connection that has ended while it was idle is made again on a new one, once.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	return c.call(ctx, &c.requests, method, args, reply)
}

// call makes a call on a connection of l.
func (c *Client) call(ctx context.Context, l *line, method string, args, reply any) error {
	err := c.callOnce(ctx, l, method, args, reply)
	if errors.Is(err, errIdleConnEnded) {
		err = c.callOnce(ctx, l, method, args, reply)
	}
	return err
}

// errIdleConnEnded marks errors of calls that were not sent as their connection had ended
// before. They are marked ErrNotSent as well.
var errIdleConnEnded = errors.New("the connection has ended")

// callOnce makes a call on the open connection, or on a new one if there is none.
func (c *Client) callOnce(ctx context.Context, l *line, method string, args, reply any) error {
	conn, err := c.connect(ctx, l)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	replied := false
	defer func() { c.release(l, conn, replied) }()
	sent := time.Now()
	// The answer may still be decoded after ctx has ended.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		replied = isReply(call.Error)
		return c.handleResult(l, conn, call.Error)
	case <-ctx.Done():
		c.mu.Lock()
		if !conn.waitingSince.After(sent) {
			c.retire(l, conn)
		}
		c.mu.Unlock()
		return errors.Wrapf(ctx.Err(), "%s at %s", method, c.address)
	}
}

// isReply reports whether the result of a call is a reply of the peer: err is nil or an
// error that the peer returned.
func isReply(err error) bool {
	var fromPeer rpc.ServerError
	return err == nil || errors.As(err, &fromPeer)
}

// handleResult handles the result of a call on conn. An error of the connection closes
// it; an error that the peer returned does not.
func (c *Client) handleResult(l *line, conn *connection, err error) error {
	if isReply(err) {
		return errors.Wrap(err, c.address)
	}
	// net/rpc returns ErrShutdown for a call on a connection that has ended, which is not
	// sent, and for the pending calls of a connection that this instance closes.
	notSent := errors.Is(err, rpc.ErrShutdown) && !conn.closed.Load()
	c.closeConn(l, conn)
	if notSent {
		return errors.Mark(errors.Mark(errors.Wrap(err, c.address), ErrNotSent), errIdleConnEnded)
	}
	return errors.Wrap(err, c.address)
}

// closeConn closes conn. The next call opens another connection.
func (c *Client) closeConn(l *line, conn *connection) {
	c.mu.Lock()
	l.remove(conn)
	c.mu.Unlock()
	conn.close()
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
		c = &Client{address: address, dial: p.dial}
		c.requests.dialing, c.pings.dialing = make(chan struct{}, 1), make(chan struct{}, 1)
		p.clients[address] = c
	}
	return c
}

const (
	// minAcceptDelay and maxAcceptDelay bound the delay after a failed Accept, which doubles with each
	// failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Serve answers calls to the methods of service, registered as name, until the listener is closed. It
// goes on after other errors of the listener, such as that of a process without free descriptors, and
// passes the first of several in a row to failed.
func Serve(l net.Listener, name string, service any, failed func(error)) error {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service); err != nil {
		return errors.Wrap(err, "register the peer service")
	}
	if err := server.RegisterName(probeService, prober{}); err != nil {
		return errors.Wrap(err, "register the probes")
	}
	delay := time.Duration(0)
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peers")
		case err != nil:
			if delay == 0 {
				failed(errors.Wrap(err, "accept peers"))
			}
			delay = min(maxAcceptDelay, max(minAcceptDelay, 2*delay))
			time.Sleep(delay)
		default:
			delay = 0
			go server.ServeConn(&boundedConn{Conn: &idleConn{conn}})
		}
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
