package transport

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

type message struct {
	from    model.InstanceID
	inc     model.Incarnation
	payload []byte
}

// recorder is a Handler that sends every call to a channel.
type recorder struct {
	messages chan message
	up       chan model.Incarnation
	down     chan model.Incarnation
}

func newRecorder(capacity int) *recorder {
	return &recorder{make(chan message, capacity), make(chan model.Incarnation, capacity), make(chan model.Incarnation, capacity)}
}

func (r *recorder) PeerMessage(from model.InstanceID, inc model.Incarnation, payload []byte) {
	r.messages <- message{from, inc, payload}
}
func (r *recorder) PeerUp(_ model.InstanceID, inc model.Incarnation)   { r.up <- inc }
func (r *recorder) PeerDown(_ model.InstanceID, inc model.Incarnation) { r.down <- inc }
func (r *recorder) PeerAccepted(model.InstanceID, model.Incarnation)   {}

func devCA(t testing.TB, seed string) *DevCA {
	t.Helper()
	ca, err := NewDevCA(bytes.NewReader(bytes.Repeat([]byte(seed), 32)))
	require.NoError(t, err)
	return ca
}

func listen(t testing.TB, ca *DevCA, id model.InstanceID, change func(*Config)) (*Transport, *recorder) {
	t.Helper()
	identity, err := ca.Issue(id)
	require.NoError(t, err)
	r := newRecorder(1 << 13)
	cfg := Config{Self: id, Incarnation: 7, Listen: "127.0.0.1:0", TLS: identity, Handler: r, DeadAfter: time.Minute}
	if change != nil {
		change(&cfg)
	}
	tr, err := Listen(cfg)
	require.NoError(t, err)
	t.Cleanup(func() { closeNow(tr) })
	return tr, r
}

// closeNow closes tr without waiting until the queues are sent.
func closeNow(tr *Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = tr.Close(ctx)
}

func peerAt(id model.InstanceID, addr string) []platform.Instance {
	return []platform.Instance{{ID: id, PeerAddr: addr}}
}

func TestOrderedAndBulk(t *testing.T) {
	ca := devCA(t, "a")
	a, aEvents := listen(t, ca, "entry-1", nil)
	b, bEvents := listen(t, ca, "entry-2", func(c *Config) { c.Incarnation = 9 })
	require.False(t, a.Send("entry-2", []byte("early")))
	a.SetPeers(peerAt("entry-2", b.Addr()))
	require.Equal(t, model.Incarnation(9), <-aEvents.up)

	const count = orderedQueueLength
	for i := range count {
		require.True(t, a.Send("entry-2", fmt.Appendf(nil, "%d", i)))
	}
	for i := range count {
		require.Equal(t, message{"entry-1", 7, fmt.Appendf(nil, "%d", i)}, <-bEvents.messages)
	}

	large := bytes.Repeat([]byte("x"), MaxPayload)
	require.True(t, a.Send("entry-2", large))
	require.Equal(t, large, (<-bEvents.messages).payload)
	require.False(t, a.Send("entry-2", append(large, 'x')))
}

func TestCloseDrains(t *testing.T) {
	ca := devCA(t, "a")
	a, aEvents := listen(t, ca, "entry-1", nil)
	b, bEvents := listen(t, ca, "entry-2", nil)
	a.SetPeers(peerAt("entry-2", b.Addr()))
	<-aEvents.up

	const count = 500
	for range count {
		require.True(t, a.Send("entry-2", bytes.Repeat([]byte("y"), MaxOrderedPayload)))
	}
	require.True(t, a.Send("entry-2", bytes.Repeat([]byte("z"), 1<<20)))
	require.NoError(t, a.Close(context.Background()))
	require.False(t, a.Send("entry-2", nil))
	require.Len(t, bEvents.messages, count+1)
	<-aEvents.down
}

func TestQueueIsBounded(t *testing.T) {
	l := newLink(&Transport{}, nil, nil)
	for range maxQueuedBytes / MaxOrderedPayload {
		require.True(t, l.enqueue(make([]byte, MaxOrderedPayload)))
	}
	require.False(t, l.enqueue([]byte("x")))
	l.stopSends()
	require.False(t, l.enqueue(nil))
}

// failures is a slog.Handler that receives the log messages of failed dials.
type failures chan string

func (f failures) Enabled(context.Context, slog.Level) bool { return true }
func (f failures) WithAttrs([]slog.Attr) slog.Handler       { return f }
func (f failures) WithGroup(string) slog.Handler            { return f }
func (f failures) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "failed to connect to peer" {
		f <- r.Message
	}
	return nil
}

func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	ca, other := devCA(t, "a"), devCA(t, "b")
	mixed := func(id model.InstanceID) Identity {
		own, err := other.Issue(id)
		require.NoError(t, err)
		own.CAPEM = ca.pem
		return own
	}
	issued := func(ca *DevCA, id model.InstanceID) Identity {
		identity, err := ca.Issue(id)
		require.NoError(t, err)
		return identity
	}
	tests := []struct {
		name     string
		identity Identity         // of the dialling side
		self     model.InstanceID // in its hello
		peer     model.InstanceID // that it dials
	}{
		{"wrong authority on both sides", issued(other, "entry-1"), "entry-1", "entry-2"},
		{"wrong authority of the dialling side", mixed("entry-1"), "entry-1", "entry-2"},
		{"wrong name in hello", issued(ca, "entry-3"), "entry-1", "entry-2"},
		{"wrong name of the accepting side", issued(ca, "entry-1"), "entry-1", "entry-4"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			failed := make(failures, 1<<10)
			b, bEvents := listen(t, ca, "entry-2", nil)
			a, aEvents := listen(t, ca, "entry-1", func(c *Config) {
				c.Self, c.TLS, c.Logger = tt.self, tt.identity, slog.New(failed)
			})
			a.SetPeers(peerAt(tt.peer, b.Addr()))
			<-failed
			<-failed
			require.Empty(t, aEvents.up)
			require.Empty(t, bEvents.messages)
			require.False(t, a.Send(tt.peer, nil))
		})
	}
}

func TestRestartedPeer(t *testing.T) {
	ca := devCA(t, "a")
	a, aEvents := listen(t, ca, "entry-1", nil)
	b, _ := listen(t, ca, "entry-2", nil)
	addr := b.Addr()
	a.SetPeers(peerAt("entry-2", addr))
	require.Equal(t, model.Incarnation(7), <-aEvents.up)
	closeNow(b)
	require.Equal(t, model.Incarnation(7), <-aEvents.down)
	_, bEvents := listen(t, ca, "entry-2", func(c *Config) { c.Incarnation, c.Listen = 8, addr })
	require.Equal(t, model.Incarnation(8), <-aEvents.up)
	require.True(t, a.Send("entry-2", []byte("again")))
	require.Equal(t, "again", string((<-bEvents.messages).payload))
	a.SetPeers(nil)
	require.Equal(t, model.Incarnation(8), <-aEvents.down)
}

// udpProxy forwards datagrams between clients and one target. It can drop the
// datagrams of existing clients while it forwards those of new ones. The maps are
// keyed by the client's address.
type udpProxy struct {
	frontSocket        *net.UDPConn
	target             *net.UDPAddr
	mu                 sync.Mutex
	upstreams          map[string]*net.UDPConn
	blocked            map[string]bool
	forwardedBytes     atomic.Int64 // in both directions, without UDP and IP headers
	forwardedDatagrams atomic.Int64
}

func (p *udpProxy) countDatagram(n int) {
	p.forwardedBytes.Add(int64(n))
	p.forwardedDatagrams.Add(1)
}

func newUDPProxy(t testing.TB, target string) *udpProxy {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	frontSocket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	p := &udpProxy{frontSocket: frontSocket, target: addr, upstreams: make(map[string]*net.UDPConn), blocked: make(map[string]bool)}
	go p.forwardRequests()
	t.Cleanup(p.close)
	return p
}

func (p *udpProxy) close() {
	_ = p.frontSocket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, upstream := range p.upstreams {
		_ = upstream.Close()
	}
}

func (p *udpProxy) forwardRequests() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := p.frontSocket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if upstream := p.upstream(from); upstream != nil {
			p.countDatagram(n)
			_, _ = upstream.Write(buf[:n])
		}
	}
}

// upstream returns the client's socket to the target, or nil for a blocked client.
func (p *udpProxy) upstream(from *net.UDPAddr) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := from.String()
	if p.blocked[key] {
		return nil
	}
	if p.upstreams[key] == nil {
		upstream, err := net.DialUDP("udp", nil, p.target)
		if err != nil {
			return nil
		}
		p.upstreams[key] = upstream
		go p.forwardReplies(upstream, from)
	}
	return p.upstreams[key]
}

func (p *udpProxy) forwardReplies(upstream *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 1<<16)
	for {
		n, err := upstream.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		drop := p.blocked[to.String()]
		p.mu.Unlock()
		if !drop {
			p.countDatagram(n)
			_, _ = p.frontSocket.WriteToUDP(buf[:n], to)
		}
	}
}

// blockExisting drops all further datagrams from and to the present clients.
func (p *udpProxy) blockExisting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.upstreams {
		p.blocked[key] = true
	}
}

// TestUnresponsiveConnectionIsReplaced guards against a transport that keeps
// using a path on which datagrams are dropped without an error.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	ca := devCA(t, "a")
	b, bEvents := listen(t, ca, "entry-2", nil)
	proxy := newUDPProxy(t, b.Addr())
	a, aEvents := listen(t, ca, "entry-1", func(c *Config) {
		c.Heartbeat, c.DeadAfter = 50*time.Millisecond, time.Second
	})
	a.SetPeers(peerAt("entry-2", proxy.frontSocket.LocalAddr().String()))
	<-aEvents.up
	require.True(t, a.Send("entry-2", []byte("before")))
	require.Equal(t, "before", string((<-bEvents.messages).payload))

	proxy.blockExisting()
	require.True(t, a.Send("entry-2", []byte("lost")))
	<-aEvents.down
	<-aEvents.up
	for !a.Send("entry-2", []byte("after")) {
		<-aEvents.up
	}
	require.Equal(t, "after", string((<-bEvents.messages).payload))
	require.Positive(t, a.stats.heartbeatTimeouts.Count())
}

func TestHeartbeat(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h := newHeartbeat(Config{Heartbeat: time.Second, IdleHeartbeat: 10 * time.Second, DeadAfter: 4 * time.Second}, start)
	require.True(t, h.pingDue(at(1), false), "first ping")
	h.recordPing(at(1))
	require.False(t, h.timedOut(at(2), 1))
	require.False(t, h.pingDue(at(2), false))
	require.True(t, h.pingDue(at(2), true), "payloads are being sent")
	h.recordPing(at(2))
	for s := 3; s <= 6; s++ {
		require.False(t, h.timedOut(at(s), 1), s)
	}
	require.False(t, h.timedOut(at(12), 1), "pause of this process")
	for s := 13; s <= 16; s++ {
		require.False(t, h.timedOut(at(s), 1), s)
	}
	require.True(t, h.timedOut(at(17), 1))
}

func TestNewerConnectionReplacesOlder(t *testing.T) {
	ca := devCA(t, "a")
	b, bEvents := listen(t, ca, "entry-2", nil)
	older, olderEvents := listen(t, ca, "entry-1", nil)
	older.SetPeers(peerAt("entry-2", b.Addr()))
	<-olderEvents.up
	newer, newerEvents := listen(t, ca, "entry-1", func(c *Config) { c.Incarnation = 8 })
	newer.SetPeers(peerAt("entry-2", b.Addr()))
	<-newerEvents.up
	<-olderEvents.down
	older.SetPeers(nil) // it may have reconnected and replaced the newer one
	for {
		newer.Send("entry-2", []byte("x"))
		select {
		case m := <-bEvents.messages:
			require.Equal(t, model.Incarnation(8), m.inc)
			return
		case <-newerEvents.up:
		}
	}
}

func TestDelayedHelloIsRefused(t *testing.T) {
	b, _ := listen(t, devCA(t, "a"), "entry-2", nil)
	current := &inbound{t: b, peer: hello{Instance: "entry-1", Incarnation: 7, Serial: 5}}
	require.NoError(t, b.register(current))
	require.Error(t, b.register(&inbound{t: b, peer: hello{Instance: "entry-1", Incarnation: 7, Serial: 4}}))
	b.unregister(current)
	require.Empty(t, b.inbound)
}
