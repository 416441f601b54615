// Package transport sends messages between the instances over QUIC with mutual
// TLS. Every instance dials every other one. It sends on the connections that it
// dialled and receives on the connections that it accepted.
package transport

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// Handler receives messages and changes of connections. Its methods are called
// from several goroutines and must not block. Calls about one peer's outgoing
// connection alternate between PeerUp and PeerDown.
type Handler interface {
	// PeerMessage delivers one payload. The handler owns the slice.
	PeerMessage(from model.InstanceID, inc model.Incarnation, payload []byte)
	// PeerUp reports that there is now a connection to incarnation inc of
	// instance id. Send may use the connection shortly before this call.
	PeerUp(id model.InstanceID, inc model.Incarnation)
	// PeerDown reports that the connection is lost, and with it every payload
	// that was queued or in transit. It is unknown which of them arrived.
	PeerDown(id model.InstanceID, inc model.Incarnation)
	// PeerAccepted reports that incarnation inc of instance id sends on a new
	// connection. It is called before the connection's first payload is delivered.
	// Payloads that the peer sent before may be lost, also those that it sent while it
	// had no connection.
	PeerAccepted(id model.InstanceID, inc model.Incarnation)
}

// Defaults for the zero values of Config.
const (
	DefaultHeartbeat = 500 * time.Millisecond
	DefaultDeadAfter = 2 * time.Second
)

// Config configures a Transport. Zero durations, Logger and Metrics get defaults.
type Config struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	Listen      string // UDP address, host:port
	TLS         Identity
	Handler     Handler
	Heartbeat   time.Duration // between pings
	// IdleHeartbeat is the time between pings while no payload is sent, at least
	// Heartbeat. A long one reduces the cost of many idle peers.
	IdleHeartbeat time.Duration
	DeadAfter     time.Duration // time without a pong after which a connection is replaced
	Logger        *slog.Logger
	Metrics       gometrics.Registry
}

func (c *Config) setDefaults() {
	if c.Heartbeat <= 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	c.IdleHeartbeat = max(c.IdleHeartbeat, c.Heartbeat)
	if c.DeadAfter <= 0 {
		c.DeadAfter = DefaultDeadAfter
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Metrics == nil {
		c.Metrics = gometrics.NewRegistry()
	}
}

// Transport manages one instance's connections to all its peers.
type Transport struct {
	cfg       Config
	stats     stats
	serverTLS *tls.Config
	clientTLS *tls.Config
	localIP   net.IP // local address of dialled connections
	socket    *net.UDPConn
	quic      *quic.Transport
	listener  *quic.Listener
	ctx       context.Context // ends when the transport is closed
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	serial    atomic.Uint64 // of the last dialled connection

	mu       sync.Mutex
	closed   bool
	peers    map[model.InstanceID]*peer
	peerDone map[model.InstanceID]<-chan struct{} // closed when the peer's latest goroutine has ended
	inbound  map[model.InstanceID]*inbound
}

// Listen opens the UDP socket and starts accepting peers. It returns an error when the
// credentials are invalid or the address cannot be used. The caller must call Close to
// release the socket.
func Listen(cfg Config) (*Transport, error) {
	cfg.setDefaults()
	server, client, err := cfg.TLS.tlsConfigs()
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %q", cfg.Listen)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", cfg.Listen)
	}
	t := &Transport{
		cfg:       cfg,
		stats:     newStats(cfg.Metrics),
		serverTLS: server,
		clientTLS: client,
		localIP:   addr.IP,
		socket:    socket,
		quic:      &quic.Transport{Conn: socket},
		peers:     make(map[model.InstanceID]*peer),
		peerDone:  make(map[model.InstanceID]<-chan struct{}),
		inbound:   make(map[model.InstanceID]*inbound),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(server, t.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "listen for QUIC")
	}
	t.wg.Add(1)
	go t.accept()
	return t, nil
}

// idleTimeoutMultiplier is QUIC's idle timeout as a multiple of the time after
// which the heartbeat detects an unresponsive connection.
const idleTimeoutMultiplier = 2

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  t.cfg.DeadAfter,
		MaxIdleTimeout:        idleTimeoutMultiplier * (t.cfg.IdleHeartbeat + t.cfg.DeadAfter),
		MaxIncomingStreams:    1 + maxBulkStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Addr returns the UDP address that the transport listens on.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// SetPeers replaces the set of peers. It dials new instances and those whose
// address changed, and closes the connections to instances that are not in list.
// The transport's own entry is ignored.
func (t *Transport) SetPeers(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	wanted := make(map[model.InstanceID]string, len(list))
	for _, in := range list {
		if in.ID != t.cfg.Self && in.PeerAddr != "" {
			wanted[in.ID] = in.PeerAddr
		}
	}
	for id, p := range t.peers {
		if wanted[id] != p.addr {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, addr := range wanted {
		if t.peers[id] == nil {
			t.startPeer(id, addr)
		}
	}
}

// startPeer starts connecting to a peer, once the previous goroutine for the same
// instance has ended. The caller holds t.mu.
func (t *Transport) startPeer(id model.InstanceID, addr string) {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{t: t, id: id, addr: addr, cancel: cancel}
	previous := t.peerDone[id]
	done := make(chan struct{})
	t.peers[id] = p
	t.peerDone[id] = done
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		defer close(done)
		defer cancel()
		if previous != nil {
			<-previous
		}
		p.run(ctx)
	}()
}

// Send queues a payload for a peer without blocking. The transport owns the
// slice. Send returns false when there is no connection, when the connection's
// queue is full, or when the payload is longer than MaxPayload. Payloads of at
// most MaxOrderedPayload bytes arrive in the order in which they were sent.
func (t *Transport) Send(to model.InstanceID, payload []byte) bool {
	t.mu.Lock()
	p, closed := t.peers[to], t.closed
	t.mu.Unlock()
	if p == nil || closed {
		t.stats.sendsRefused.Inc(1)
		return false
	}
	l := p.link.Load()
	if l == nil || !l.enqueue(payload) {
		t.stats.sendsRefused.Inc(1)
		return false
	}
	t.stats.sent.Inc(1)
	t.stats.sentBytes.Inc(int64(len(payload)))
	return true
}

// Close refuses further sends, waits until every peer has confirmed the queued
// payloads or ctx ends, and closes all connections. It returns an error when
// queued payloads may be lost: that of ctx or the cause of a lost connection.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	links := t.links()
	t.mu.Unlock()

	var result error
	for _, l := range links {
		l.stopSends()
	}
	for _, l := range links {
		if err := l.waitDrained(ctx); err != nil {
			result = err
		}
	}
	t.cancel()
	_ = t.listener.Close()
	t.closeInbound()
	t.wg.Wait()
	_ = t.quic.Close()
	_ = t.socket.Close()
	return result
}

// links returns the open dialled connections. The caller holds t.mu.
func (t *Transport) links() []*link {
	var links []*link
	for _, p := range t.peers {
		if l := p.link.Load(); l != nil {
			links = append(links, l)
		}
	}
	return links
}
