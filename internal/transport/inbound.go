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
	t    *Transport
	conn *quic.Conn
	peer hello
	in   *bufio.Reader
	out  *bufio.Writer
	done chan struct{} // closed after the last PeerMessage
}

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
		t.stats.refusedPeers.Inc(1)
		_ = conn.CloseWithError(codeRefused, "hello")
		return err
	}
	defer close(in.done)
	if err := t.admit(in); err != nil {
		_ = conn.CloseWithError(codeReplaced, err.Error())
		return err
	}
	defer t.forget(in)
	if err := writeHello(in.out, hello{Instance: t.cfg.Self, Incarnation: t.cfg.Incarnation}); err != nil {
		_ = conn.CloseWithError(codeProtocol, "hello")
		return err
	}
	return in.serve()
}

// receiveHello reads the hello and checks it against the certificate.
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
		t:    t,
		conn: conn,
		in:   bufio.NewReaderSize(stream, bufferBytes),
		out:  bufio.NewWriter(stream),
		done: make(chan struct{}),
	}
	in.peer, err = readHello(in.in)
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	if !certified(conn.ConnectionState().TLS, in.peer.Instance) {
		return nil, errors.Newf("certificate is not of %q", in.peer.Instance)
	}
	return in, nil
}

// admit makes in the current connection of its peer. It first ends the one
// before, so that payloads of two connections never mix.
func (t *Transport) admit(in *inbound) error {
	id := in.peer.Instance
	for {
		t.mu.Lock()
		before := t.inbound[id]
		if before == nil {
			t.inbound[id] = in
			t.mu.Unlock()
			return nil
		}
		t.mu.Unlock()
		if before.peer.Incarnation == in.peer.Incarnation && before.peer.Serial > in.peer.Serial {
			return errors.New("a newer connection is open")
		}
		_ = before.conn.CloseWithError(codeReplaced, "replaced")
		<-before.done
		t.forget(before)
	}
}

func (t *Transport) forget(in *inbound) {
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

func (in *inbound) readOrdered() error {
	for {
		kind, body, err := readFrame(in.in, MaxOrdered)
		if err != nil {
			return err
		}
		switch kind {
		case framePayload:
			in.deliver(body)
			continue
		case framePing:
			err = writeFrame(in.out, framePong, nil)
		case frameBye:
			err = writeFrame(in.out, frameBye, nil)
		default:
			err = errors.Newf("unexpected frame kind %d", kind)
		}
		if err != nil {
			return err
		}
		if err := in.out.Flush(); err != nil {
			return err
		}
	}
}

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

// readBulk reads one payload. Closing the stream tells the sender so.
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
	in.t.stats.received.Inc(1)
	in.t.stats.receivedBytes.Inc(int64(len(payload)))
	in.t.cfg.Handler.PeerMessage(in.peer.Instance, in.peer.Incarnation, payload)
}
