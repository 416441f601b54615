package transport

import (
	"bufio"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// inbound is one accepted connection.
type inbound struct {
	t      *Transport
	conn   *quic.Conn
	peer   hello
	reader *bufio.Reader
	writer *bufio.Writer
	done   chan struct{} // closed after the last PeerMessage
	report sync.Once     // of PeerAccepted
}

// accept serves incoming connections until the transport is closed.
func (t *Transport) accept() {
	defer t.wg.Done()
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			if err := t.serveInbound(conn); err != nil {
				t.cfg.Logger.Debug("peer connection ended", "remote", conn.RemoteAddr().String(), "error", err)
			}
		}()
	}
}

func (t *Transport) serveInbound(conn *quic.Conn) error {
	in, err := t.receiveHello(conn)
	if err != nil {
		t.stats.connectionsRefused.Inc(1)
		_ = conn.CloseWithError(codeRefused, "hello")
		return err
	}
	defer close(in.done)
	if err := t.register(in); err != nil {
		_ = conn.CloseWithError(codeReplaced, err.Error())
		return err
	}
	defer t.unregister(in)
	if err := writeHello(in.writer, hello{Instance: t.cfg.Self, Incarnation: t.cfg.Incarnation}); err != nil {
		_ = conn.CloseWithError(codeProtocol, "hello")
		return err
	}
	return in.serve()
}

// receiveHello reads the hello and checks that the certificate was issued to the
// instance that it names.
func (t *Transport) receiveHello(conn *quic.Conn) (*inbound, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.DeadAfter)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(codeRefused, "hello timed out") })
	defer stop()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	in := &inbound{
		t:      t,
		conn:   conn,
		reader: bufio.NewReaderSize(stream, streamBufferBytes),
		writer: bufio.NewWriter(stream),
		done:   make(chan struct{}),
	}
	in.peer, err = readHello(in.reader)
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	if !issuedTo(conn.ConnectionState().TLS, in.peer.Instance) {
		return nil, errors.Newf("peer certificate was not issued to %q", in.peer.Instance)
	}
	return in, nil
}

// register makes in the current connection of its peer. It first closes the
// previous one and waits for its last payload, so that payloads of two
// connections never interleave. A connection older than the current one of the
// same incarnation is refused.
func (t *Transport) register(in *inbound) error {
	id := in.peer.Instance
	for {
		t.mu.Lock()
		previous := t.inbound[id]
		if previous == nil {
			t.inbound[id] = in
			t.mu.Unlock()
			return nil
		}
		t.mu.Unlock()
		if previous.peer.Incarnation == in.peer.Incarnation && previous.peer.Serial > in.peer.Serial {
			return errors.New("a newer connection is open")
		}
		_ = previous.conn.CloseWithError(codeReplaced, "replaced")
		<-previous.done
		t.unregister(previous)
	}
}

// unregister removes in unless a newer connection has replaced it.
func (t *Transport) unregister(in *inbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound[in.peer.Instance] == in {
		delete(t.inbound, in.peer.Instance)
	}
}

func (t *Transport) closeInbound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range t.inbound {
		_ = in.conn.CloseWithError(codeClosed, "")
	}
}

// serve delivers payloads until the connection ends.
func (in *inbound) serve() error {
	stop := context.AfterFunc(in.t.ctx, func() { _ = in.conn.CloseWithError(codeClosed, "") })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(in.acceptBulk)
	err := in.readOrdered()
	_ = in.conn.CloseWithError(codeProtocol, err.Error())
	return err
}

// readOrdered serves the first stream: it delivers ordered payloads and answers
// pings and the end of the ordered payloads.
func (in *inbound) readOrdered() error {
	for {
		kind, body, err := readFrame(in.reader, MaxOrderedPayload)
		if err != nil {
			return err
		}
		switch kind {
		case framePayload:
			in.deliver(body)
			continue
		case framePing:
			err = writeFrame(in.writer, framePong, nil)
		case frameEnd:
			err = writeFrame(in.writer, frameEnd, nil)
		default:
			err = errors.Newf("unexpected frame kind %d", kind)
		}
		if err != nil {
			return err
		}
		if err := in.writer.Flush(); err != nil {
			return err
		}
	}
}

// acceptBulk accepts streams that carry one bulk payload each.
func (in *inbound) acceptBulk() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		stream, err := in.conn.AcceptStream(in.conn.Context())
		if err != nil {
			return
		}
		wg.Go(func() {
			if err := in.readBulk(stream); err != nil {
				_ = in.conn.CloseWithError(codeProtocol, err.Error())
			}
		})
	}
}

// readBulk reads one payload. Closing the stream confirms the delivery to the
// sender.
func (in *inbound) readBulk(stream *quic.Stream) error {
	kind, body, err := readFrame(stream, MaxPayload)
	if err != nil {
		return err
	}
	if kind != framePayload {
		return errors.Newf("unexpected frame kind %d", kind)
	}
	in.deliver(body)
	return stream.Close()
}

func (in *inbound) deliver(payload []byte) {
	in.report.Do(func() { in.t.cfg.Handler.PeerAccepted(in.peer.Instance, in.peer.Incarnation) })
	in.t.stats.received.Inc(1)
	in.t.stats.receivedBytes.Inc(int64(len(payload)))
	in.t.cfg.Handler.PeerMessage(in.peer.Instance, in.peer.Incarnation, payload)
}
