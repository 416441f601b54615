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

// Bounds of one connection's queues.
const (
	orderedQueue = 2048     // payloads of up to MaxOrdered bytes
	bulkQueue    = 64       // longer payloads
	queueBytes   = 16 << 20 // both together
	bulkStreams  = 2        // longer payloads under way at once
	bufferBytes  = 16 << 10 // of the first stream, in each direction
)

// Application error codes of closed connections.
const (
	codeClosed   quic.ApplicationErrorCode = 0 // planned
	codeRefused  quic.ApplicationErrorCode = 1 // no valid hello
	codeSilent   quic.ApplicationErrorCode = 2 // no pong in time
	codeReplaced quic.ApplicationErrorCode = 3 // the dialler has a newer connection
	codeProtocol quic.ApplicationErrorCode = 4 // malformed frame
)

var errSilent = errors.New("no pong in time")

// link is one dialled connection.
type link struct {
	t           *Transport
	conn        *quic.Conn
	stream      *quic.Stream
	in          *bufio.Reader
	out         *bufio.Writer
	incarnation model.Incarnation // of the peer
	closeSocket func()

	ping     chan struct{}
	pongs    atomic.Uint64
	active   atomic.Bool   // payloads were queued since the last ping
	bye      chan struct{} // closed when the peer has read every ordered payload
	byeOnce  sync.Once
	bulkDone chan struct{} // closed when the peer has read every bulk payload

	mu      sync.Mutex
	closed  bool // no further sends
	queued  int64
	ordered chan []byte
	bulk    chan []byte
}

func newLink(t *Transport, conn *quic.Conn, stream *quic.Stream) *link {
	return &link{
		t:        t,
		conn:     conn,
		stream:   stream,
		in:       bufio.NewReaderSize(stream, bufferBytes),
		out:      bufio.NewWriterSize(stream, bufferBytes),
		ping:     make(chan struct{}, 1),
		bye:      make(chan struct{}),
		bulkDone: make(chan struct{}),
		ordered:  make(chan []byte, orderedQueue),
		bulk:     make(chan []byte, bulkQueue),
	}
}

// enqueue never blocks and reports whether the payload was queued.
func (l *link) enqueue(payload []byte) bool {
	if len(payload) > MaxPayload {
		return false
	}
	queue := l.ordered
	if len(payload) > MaxOrdered {
		queue = l.bulk
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.queued+int64(len(payload)) > queueBytes {
		return false
	}
	select {
	case queue <- payload:
		l.queued += int64(len(payload))
		l.active.Store(true)
		return true
	default:
		return false
	}
}

func (l *link) dequeued(payload []byte) {
	l.mu.Lock()
	l.queued -= int64(len(payload))
	l.mu.Unlock()
}

// stopSends refuses further payloads. Those queued are still sent.
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

// waitDrained waits until the peer has read everything that was queued.
func (l *link) waitDrained(ctx context.Context) error {
	for _, done := range []<-chan struct{}{l.bye, l.bulkDone} {
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

// release frees the connection's socket.
func (l *link) release() {
	l.stopSends()
	_ = l.conn.CloseWithError(codeClosed, "")
	l.closeSocket()
}

// serve sends what is queued until ctx ends or the connection is lost. It
// returns the cause.
func (l *link) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.CloseWithError(codeClosed, "") })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(l.writeOrdered)
	wg.Go(l.readReplies)
	wg.Go(l.watch)
	wg.Go(l.sendBulk)
	<-l.conn.Context().Done()
	l.stopSends()
	wg.Wait()
	return context.Cause(l.conn.Context())
}

// watch asks for pings and closes the connection when the pongs cease.
func (l *link) watch() {
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
		if h.silent(now, l.pongs.Load()) {
			l.t.stats.silent.Inc(1)
			_ = l.conn.CloseWithError(codeSilent, errSilent.Error())
			return
		}
		if h.due(now, l.active.Load()) {
			l.askPing(&h, now)
		}
	}
}

// askPing has the writer send a ping, unless one still waits to be written.
func (l *link) askPing(h *heartbeat, now time.Time) {
	l.active.Store(false)
	select {
	case l.ping <- struct{}{}:
		h.asked(now)
	default:
	}
}

// writeOrdered writes the ordered queue and the pings to the first stream, and a
// bye once the queue is closed and empty.
func (l *link) writeOrdered() {
	ordered := l.ordered
	for {
		var err error
		select {
		case <-l.conn.Context().Done():
			return
		case <-l.ping:
			err = writeFrame(l.out, framePing, nil)
		case payload, ok := <-ordered:
			if ok {
				err = writeFrame(l.out, framePayload, payload)
				l.dequeued(payload)
				break
			}
			ordered = nil
			err = writeFrame(l.out, frameBye, nil)
		}
		if err == nil && len(ordered) == 0 {
			err = l.out.Flush()
		}
		if err != nil {
			_ = l.conn.CloseWithError(codeProtocol, err.Error())
			return
		}
	}
}

// readReplies reads pongs and the answer to the bye.
func (l *link) readReplies() {
	for {
		kind, _, err := readFrame(l.in, MaxOrdered)
		if err != nil {
			_ = l.conn.CloseWithError(codeProtocol, err.Error())
			return
		}
		switch kind {
		case framePong:
			l.pongs.Add(1)
		case frameBye:
			l.byeOnce.Do(func() { close(l.bye) })
		}
	}
}

// sendBulk sends each payload of the bulk queue on a stream of its own.
func (l *link) sendBulk() {
	var wg sync.WaitGroup
	for range bulkStreams {
		wg.Go(func() {
			for payload := range l.bulk {
				if l.conn.Context().Err() == nil {
					l.sendOnStream(payload)
				}
				l.dequeued(payload)
			}
		})
	}
	wg.Wait()
	close(l.bulkDone)
}

// sendOnStream returns when the peer has read the payload, or when the
// connection is lost. A stream that fails alone takes the connection with it, so
// that no payload is lost without a PeerDown.
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
