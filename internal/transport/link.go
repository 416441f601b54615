package transport

import (
	"bufio"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"pollenbend/internal/model"
)

// Limits of one connection.
const (
	orderedQueueLength = 2048     // payloads of at most MaxOrderedPayload bytes
	bulkQueueLength    = 64       // longer payloads, called bulk payloads
	maxQueuedBytes     = 16 << 20 // total size of both queues
	maxBulkStreams     = 2        // bulk payloads in transit at the same time
	streamBufferBytes  = 16 << 10 // buffer of the first stream, in each direction
)

// Application error codes of closed connections.
const (
	codeClosed   quic.ApplicationErrorCode = 0 // the transport is closed or the peer was removed
	codeRefused  quic.ApplicationErrorCode = 1 // no valid hello was received
	codeTimedOut quic.ApplicationErrorCode = 2 // no pong arrived in time
	codeReplaced quic.ApplicationErrorCode = 3 // the dialler has a newer connection
	codeProtocol quic.ApplicationErrorCode = 4 // malformed frame
)

var errHeartbeatTimeout = errors.New("no pong in time")

// link is one dialled connection. Ordered payloads, pings and pongs use its
// first stream; each bulk payload uses a stream of its own.
type link struct {
	t           *Transport
	conn        *quic.Conn
	stream      *quic.Stream
	reader      *bufio.Reader
	writer      *bufio.Writer
	incarnation model.Incarnation // of the peer
	closeSocket func()

	pingRequests    chan struct{}
	pongs           atomic.Uint64
	queuedSincePing atomic.Bool   // payloads were queued since the last ping
	orderedDone     chan struct{} // closed when the peer has confirmed every ordered payload
	orderedDoneOnce sync.Once
	bulkDone        chan struct{} // closed when every bulk payload is confirmed or lost

	mu          sync.Mutex
	closed      bool // refuses further payloads
	queuedBytes int64
	ordered     chan []byte
	bulk        chan []byte
}

func newLink(t *Transport, conn *quic.Conn, stream *quic.Stream) *link {
	return &link{
		t:            t,
		conn:         conn,
		stream:       stream,
		reader:       bufio.NewReaderSize(stream, streamBufferBytes),
		writer:       bufio.NewWriterSize(stream, streamBufferBytes),
		pingRequests: make(chan struct{}, 1),
		orderedDone:  make(chan struct{}),
		bulkDone:     make(chan struct{}),
		ordered:      make(chan []byte, orderedQueueLength),
		bulk:         make(chan []byte, bulkQueueLength),
	}
}

// enqueue queues a payload without blocking and reports whether it was queued.
func (l *link) enqueue(payload []byte) bool {
	if len(payload) > MaxPayload {
		return false
	}
	queue := l.ordered
	if len(payload) > MaxOrderedPayload {
		queue = l.bulk
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.queuedBytes+int64(len(payload)) > maxQueuedBytes {
		return false
	}
	select {
	case queue <- payload:
		l.queuedBytes += int64(len(payload))
		l.queuedSincePing.Store(true)
		return true
	default:
		return false
	}
}

// recordDequeued subtracts a payload that has left its queue from queuedBytes.
func (l *link) recordDequeued(payload []byte) {
	l.mu.Lock()
	l.queuedBytes -= int64(len(payload))
	l.mu.Unlock()
}

// stopSends makes enqueue refuse further payloads. Queued payloads are still sent.
func (l *link) stopSends() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.ordered)
	close(l.bulk)
}

// waitDrained waits until the peer has confirmed everything that was queued.
func (l *link) waitDrained(ctx context.Context) error {
	for _, done := range []<-chan struct{}{l.orderedDone, l.bulkDone} {
		select {
		case <-done:
		case <-l.conn.Context().Done():
			return context.Cause(l.conn.Context())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// release closes the connection and its socket.
func (l *link) release() {
	l.stopSends()
	_ = l.conn.CloseWithError(codeClosed, "")
	l.closeSocket()
}

// serve sends queued payloads until ctx ends or the connection is lost, and
// returns the cause of the end.
func (l *link) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.CloseWithError(codeClosed, "") })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(l.writeOrdered)
	wg.Go(l.readReplies)
	wg.Go(l.runHeartbeat)
	wg.Go(l.sendBulk)
	<-l.conn.Context().Done()
	l.stopSends()
	wg.Wait()
	return context.Cause(l.conn.Context())
}

// runHeartbeat requests pings and closes the connection when no pong arrives in
// time.
func (l *link) runHeartbeat() {
	ticker := time.NewTicker(l.t.cfg.Heartbeat)
	defer ticker.Stop()
	h := newHeartbeat(l.t.cfg, time.Now())
	for {
		select {
		case <-l.conn.Context().Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if h.timedOut(now, l.pongs.Load()) {
			l.t.stats.heartbeatTimeouts.Inc(1)
			_ = l.conn.CloseWithError(codeTimedOut, errHeartbeatTimeout.Error())
			return
		}
		if h.pingDue(now, l.queuedSincePing.Load()) {
			l.requestPing(&h, now)
		}
	}
}

// requestPing makes writeOrdered send a ping, unless one is already waiting to be
// written.
func (l *link) requestPing(h *heartbeat, now time.Time) {
	l.queuedSincePing.Store(false)
	select {
	case l.pingRequests <- struct{}{}:
		h.recordPing(now)
	default:
	}
}

// writeOrdered writes ordered payloads and pings to the first stream, and an end
// frame once the queue is closed and empty.
func (l *link) writeOrdered() {
	ordered := l.ordered
	for {
		var err error
		select {
		case <-l.conn.Context().Done():
			return
		case <-l.pingRequests:
			err = writeFrame(l.writer, framePing, nil)
		case payload, ok := <-ordered:
			if ok {
				err = writeFrame(l.writer, framePayload, payload)
				l.recordDequeued(payload)
				break
			}
			ordered = nil
			err = writeFrame(l.writer, frameEnd, nil)
		}
		if err == nil && len(ordered) == 0 {
			err = l.writer.Flush()
		}
		if err != nil {
			_ = l.conn.CloseWithError(codeProtocol, err.Error())
			return
		}
	}
}

// readReplies reads pongs and the reply to the end frame.
func (l *link) readReplies() {
	for {
		kind, _, err := readFrame(l.reader, MaxOrderedPayload)
		if err != nil {
			_ = l.conn.CloseWithError(codeProtocol, err.Error())
			return
		}
		switch kind {
		case framePong:
			l.pongs.Add(1)
		case frameEnd:
			l.orderedDoneOnce.Do(func() { close(l.orderedDone) })
		}
	}
}

// sendBulk sends the payloads of the bulk queue, at most maxBulkStreams at a time.
func (l *link) sendBulk() {
	var wg sync.WaitGroup
	for range maxBulkStreams {
		wg.Go(func() {
			for payload := range l.bulk {
				if l.conn.Context().Err() == nil {
					l.sendOnStream(payload)
				}
				l.recordDequeued(payload)
			}
		})
	}
	wg.Wait()
	close(l.bulkDone)
}

// sendOnStream sends a payload on a new stream. It returns when the peer has
// confirmed the payload or the connection is lost. The failure of one stream
// closes the connection, so that no payload is lost without a PeerDown.
func (l *link) sendOnStream(payload []byte) {
	stream, err := l.conn.OpenStreamSync(l.conn.Context())
	if err == nil {
		err = writeFrame(stream, framePayload, payload)
	}
	if err == nil {
		err = stream.Close()
	}
	if err == nil {
		_, err = io.Copy(io.Discard, stream)
	}
	if err != nil {
		_ = l.conn.CloseWithError(codeProtocol, err.Error())
	}
}
