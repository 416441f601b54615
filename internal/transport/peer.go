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

// Backoff between attempts to reach a peer. Each wait is drawn between half of
// the current step and the whole of it.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// peer keeps a dialled connection to one instance.
type peer struct {
	t      *Transport
	id     model.InstanceID
	addr   string
	cancel context.CancelFunc
	link   atomic.Pointer[link]
}

// run dials again and again until ctx ends.
func (p *peer) run(ctx context.Context) {
	step := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		p.connect(ctx)
		if time.Since(started) > p.t.cfg.DeadAfter {
			step = minBackoff
		}
		wait(ctx, step/2+rand.N(step/2))
		step = min(2*step, maxBackoff)
	}
}

func wait(ctx context.Context, d time.Duration) {
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
		log.Debug("peer not reached", "error", err)
		return
	}
	defer l.release()
	p.t.stats.open.Add(1)
	p.link.Store(l)
	p.t.cfg.Handler.PeerUp(p.id, l.incarnation)
	log.Info("peer up", "incarnation", l.incarnation)

	cause := l.serve(ctx)

	p.link.Store(nil)
	p.t.stats.open.Add(-1)
	p.t.cfg.Handler.PeerDown(p.id, l.incarnation)
	log.Info("peer down", "incarnation", l.incarnation, "cause", cause)
}

// dial opens a connection from a UDP socket of its own. A new socket gives the
// connection a path that nothing between the two ends has state about.
func (p *peer) dial(ctx context.Context) (*link, error) {
	remote, err := net.ResolveUDPAddr("udp", p.addr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve")
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

// exchangeHellos exchanges hellos on the first stream of conn.
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
	if err := writeHello(l.out, own); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	answer, err := readHello(l.in)
	if err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	if answer.Instance != p.id || !certified(conn.ConnectionState().TLS, p.id) {
		return nil, errors.Newf("peer calls itself %q", answer.Instance)
	}
	l.incarnation = answer.Incarnation
	return l, nil
}
