package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"pollenbend/internal/model"
)

// Limits of the exponential backoff between attempts to connect to a peer. Each
// delay is drawn at random from the upper half of the current backoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// peer maintains the dialled connection to one instance.
type peer struct {
	t      *Transport
	id     model.InstanceID
	addr   string
	cancel context.CancelFunc
	link   atomic.Pointer[link] // nil while there is no connection
}

// run connects, and reconnects after a backoff, until ctx ends. A connection
// that lasted longer than DeadAfter resets the backoff.
func (p *peer) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		p.connect(ctx)
		if time.Since(started) > p.t.cfg.DeadAfter {
			backoff = minBackoff
		}
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// connect dials the peer and serves the connection until it is lost.
func (p *peer) connect(ctx context.Context) {
	log := p.t.cfg.Logger.With("peer", p.id, "addr", p.addr)
	l, err := p.dial(ctx)
	if err != nil {
		p.t.stats.dialFailures.Inc(1)
		log.Debug("failed to connect to peer", "error", err)
		return
	}
	defer l.release()
	p.t.stats.openConnections.Add(1)
	p.link.Store(l)
	p.t.cfg.Handler.PeerUp(p.id, l.incarnation)
	log.Info("connected to peer", "incarnation", l.incarnation)

	cause := l.serve(ctx)

	p.link.Store(nil)
	p.t.stats.openConnections.Add(-1)
	p.t.cfg.Handler.PeerDown(p.id, l.incarnation)
	log.Info("connection to peer lost", "incarnation", l.incarnation, "cause", cause)
}

// dial opens a connection from a new UDP socket. Its new local port gives the
// connection a path without old state in the network between the two ends.
func (p *peer) dial(ctx context.Context) (*link, error) {
	remote, err := net.ResolveUDPAddr("udp", p.addr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: p.t.localIP})
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	transport := &quic.Transport{Conn: socket}
	closeSocket := func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	tlsConfig := p.t.clientTLS.Clone()
	tlsConfig.ServerName = string(p.id)
	conn, err := transport.Dial(ctx, remote, tlsConfig, p.t.quicConfig())
	if err != nil {
		closeSocket()
		return nil, errors.Wrap(err, "dial")
	}
	l, err := p.exchangeHellos(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "hello")
		closeSocket()
		return nil, err
	}
	l.closeSocket = closeSocket
	return l, nil
}

// exchangeHellos opens the first stream of conn, exchanges hellos and checks that
// the peer is the instance that was dialled.
func (p *peer) exchangeHellos(ctx context.Context, conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, p.t.cfg.DeadAfter)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(codeRefused, "hello timed out") })
	defer stop()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	l := newLink(p.t, conn, stream)
	own := hello{Instance: p.t.cfg.Self, Incarnation: p.t.cfg.Incarnation, Serial: p.t.serial.Add(1)}
	if err := writeHello(l.writer, own); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	reply, err := readHello(l.reader)
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	if reply.Instance != p.id || !issuedTo(conn.ConnectionState().TLS, p.id) {
		return nil, errors.Newf("peer identifies itself as %q or has a certificate of another instance", reply.Instance)
	}
	l.incarnation = reply.Incarnation
	return l, nil
}
