package intake

import (
	"bytes"
	"net"
	"net/http"
	"time"
)

const (
	// bufferBytes is the size of the buffer through which net/http reads a connection.
	bufferBytes = 4 << 10
	// ReceiveBytes is the size of the kernel's buffer for what has been received on a
	// connection and not read yet.
	ReceiveBytes = 16 << 10
	// receiveOption and sendOption are the sizes of the kernel's buffers for what has been
	// received and written, as set. The kernel doubles them.
	receiveOption = ReceiveBytes / 2
	sendOption    = 64 << 10
	// connectionBytes is what a connection costs: the stacks of its two goroutines, the
	// buffers of net/http and that for received bytes.
	connectionBytes = 24<<10 + ReceiveBytes
	// A header costs its bytes twice, as it is copied into strings, and headerLineBytes for
	// each of its lines: an entry of a map that grows, a key, and a slice with one value.
	headerByteCost  = 2
	headerLineBytes = 160
	// writeTimeout bounds each write. An answer that a caller waits for fits into the buffers,
	// so a write only blocks if the caller does not read earlier answers.
	writeTimeout = 5 * time.Second
	// lingerTime is how long a connection with unread bytes is open after the answer.
	lingerTime = 500 * time.Millisecond
)

// Conn is a connection of a caller whose memory counts toward the budget of a guard.
type Conn struct {
	net.Conn
	guard *Guard
	holder

	// The following fields are guarded by guard.mu.
	buffered int64         // cost of the lines that net/http may have in its buffer
	body     int64         // what is held for a body
	chunked  bool          // the request has a chunked body, which may end with trailers
	trailer  int64         // what is held for trailers
	readBy   time.Time     // when reading ends, if it does
	cancel   func()        // ends the handler of a request with a body; nil if there is none
	dropped  chan struct{} // closed when the connection is dropped; nil if nobody waits for that
}

// newConn returns c as a connection of g, or nil if there is no room for it.
func newConn(g *Guard, c net.Conn) *Conn {
	conn := &Conn{Conn: c, guard: g}
	conn.holder.close = conn.drop
	if !g.admit(&conn.holder, connectionBytes) {
		return nil
	}
	return conn
}

// ended reports whether the connection has been closed.
func (c *Conn) ended() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.phase >= closing
}

// drop closes the connection for want of room. What it holds is in use until net/http, whose next
// read or write fails, calls Close.
func (c *Conn) drop() {
	c.guard.mu.Lock()
	if c.phase != ended {
		c.guard.set(&c.holder, c.held, closing)
	}
	cancel := c.cancel
	if c.dropped != nil {
		close(c.dropped)
		c.dropped = nil
	}
	c.guard.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	_ = c.Conn.Close() // it ends either way
}

// Close implements net.Conn. net/http calls it when it has finished with the connection.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.release(&c.holder)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. What net/http builds from the bytes is reserved before it gets them.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.received(b[:n], len(b)) {
		return n, err
	}
	c.drop()
	// net/http gives no answer after an error of this kind.
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the writing side, if the connection has sides. net/http does so before it closes a
// connection with unread bytes, so that the caller gets the answer before the reset. It then keeps the
// request for a fixed time. That time is spent here, where it ends when the connection is dropped, and the
// goroutine of the connection ends after it: CloseWrite does not return.
func (c *Conn) CloseWrite() error {
	var err error
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		err = inner.CloseWrite()
	}
	if err == nil {
		c.linger()
	}
	panic(http.ErrAbortHandler)
}

// linger waits for lingerTime or until the connection is dropped.
func (c *Conn) linger() {
	c.guard.mu.Lock()
	if c.phase >= closing {
		c.guard.mu.Unlock()
		return
	}
	dropped := make(chan struct{})
	c.dropped = dropped
	c.guard.set(&c.holder, c.held, lingering)
	c.guard.mu.Unlock()
	select {
	case <-dropped:
	case <-time.After(lingerTime):
	}
}

// received reserves memory for what becomes of received bytes. size is that of the slice that they were read
// into: net/http reads past its buffer into larger ones, and fills all of it if it is empty. It returns false
// if there is no room.
func (c *Conn) received(b []byte, size int) bool {
	cost := headerByteCost*int64(len(b)) + headerLineBytes*int64(bytes.Count(b, []byte{'\n'}))
	g := c.guard
	g.mu.Lock()
	if size >= bufferBytes {
		c.buffered = 0
	}
	if size <= bufferBytes {
		c.buffered += cost
	}
	held, next := c.held, c.phase
	switch {
	case c.phase == idle:
		held, next = connectionBytes+c.buffered, readingHeader
	case c.phase == readingHeader:
		held += cost
	case size > 1 && c.phase == readingBody && c.chunked && c.buffered > c.trailer:
		held += c.buffered - c.trailer
		c.trailer = c.buffered
	case c.phase < closing: // one byte is what net/http reads while a request is answered
		g.mu.Unlock()
		return true
	}
	cause := next.cause()
	waits := isLarge(held) && held > c.held
	ok, closed := g.changeLocked(&c.holder, held, next)
	deadline := c.readBy
	g.mu.Unlock()
	return c.finish(ok, closed, cause) && (!waits || c.wait(deadline, cause))
}

// finish finishes a change of what c holds, and counts its failure unless c has been closed to make room.
func (c *Conn) finish(ok bool, closed []victim, cause Cause) bool {
	c.guard.finish(closed)
	if !ok && !c.ended() {
		c.guard.refuse(cause)
	}
	return ok
}

// wait waits until the memory that c has reserved is no longer in use. Only what large requests read waits for that: it is
// most of the memory, while small requests, new connections and requests that have been read go on at once.
func (c *Conn) wait(deadline time.Time, cause Cause) bool {
	return c.finish(c.guard.wait(&c.holder, deadline), nil, cause)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.guard.mu.Lock()
	c.readBy = t
	c.guard.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// begin notes that the header of a request is complete. cancel ends the handler of a request with a
// body, which is incomplete.
func (c *Conn) begin(hasBody, chunked bool, cancel func()) {
	next := answering
	if hasBody {
		next = readingBody
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.body, c.trailer, c.chunked, c.cancel = 0, 0, chunked, cancel
	if c.phase < closing {
		c.guard.set(&c.holder, c.held, next)
	}
}

// rest notes that a request has been answered. What net/http may have read of the next one
// stays reserved. The connection is closed if there is no room for that.
func (c *Conn) rest() {
	c.guard.mu.Lock()
	c.body, c.trailer, c.chunked, c.cancel = 0, 0, false, nil
	ok, closed := c.guard.changeLocked(&c.holder, connectionBytes+c.buffered, idle)
	c.guard.mu.Unlock()
	c.guard.finish(closed)
	if !ok {
		c.drop()
	}
}

// hold makes the connection hold n bytes for a body, or for what is decoded from it. It returns
// false if the connection has been closed or there is no room.
func (c *Conn) hold(n int64, p phase, cause Cause) bool {
	c.guard.mu.Lock()
	before := c.body
	held := c.held + n - before
	waits := p == readingBody && isLarge(held) && held > c.held
	ok, closed := c.guard.changeLocked(&c.holder, held, p)
	if ok {
		c.body = n
	}
	deadline := c.readBy
	c.guard.mu.Unlock()
	if !c.finish(ok, closed, cause) {
		return false
	}
	if waits && !c.wait(deadline, cause) {
		c.giveBack(before)
		return false
	}
	return true
}

// giveBack makes the connection hold n bytes for a body again, after it has waited in vain for more.
func (c *Conn) giveBack(n int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase < closing {
		c.guard.set(&c.holder, c.held+n-c.body, c.phase)
		c.body = n
	}
}
