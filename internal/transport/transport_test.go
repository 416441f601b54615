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

// recorder is a Handler that passes everything on by channels.
type recorder struct {
	messages chan message
	up       chan model.Incarnation
	down     chan model.Incarnation
}

func newRecorder(room int) *recorder {
	return &recorder{make(chan message, room), make(chan model.Incarnation, room), make(chan model.Incarnation, room)}
}

func (r *recorder) PeerMessage(from model.InstanceID, inc model.Incarnation, payload []byte) {
	r.messages <- message{from, inc, payload}
}
func (r *recorder) PeerUp(_ model.InstanceID, inc model.Incarnation)   { r.up <- inc }
func (r *recorder) PeerDown(_ model.InstanceID, inc model.Incarnation) { r.down <- inc }

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

// closeNow closes without waiting for queues.
func closeNow(tr *Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = tr.Close(ctx)
}

func at(id model.InstanceID, addr string) []platform.Instance {
	return []platform.Instance{{ID: id, PeerAddr: addr}}
}

func TestOrderedAndBulk(t *testing.T) {
	ca := devCA(t, "a")
	a, ra := listen(t, ca, "entry-1", nil)
	b, rb := listen(t, ca, "entry-2", func(c *Config) { c.Incarnation = 9 })
	require.False(t, a.Send("entry-2", []byte("early")))
	a.SetPeers(at("entry-2", b.Addr()))
	require.Equal(t, model.Incarnation(9), <-ra.up)

	const count = orderedQueue
	for i := range count {
		require.True(t, a.Send("entry-2", fmt.Appendf(nil, "%d", i)))
	}
	for i := range count {
		require.Equal(t, message{"entry-1", 7, fmt.Appendf(nil, "%d", i)}, <-rb.messages)
	}

	large := bytes.Repeat([]byte("x"), MaxPayload)
	require.True(t, a.Send("entry-2", large))
	require.Equal(t, large, (<-rb.messages).payload)
	require.False(t, a.Send("entry-2", append(large, 'x')))
}

func TestCloseDrains(t *testing.T) {
	ca := devCA(t, "a")
	a, ra := listen(t, ca, "entry-1", nil)
	b, rb := listen(t, ca, "entry-2", nil)
	a.SetPeers(at("entry-2", b.Addr()))
	<-ra.up

	const count = 500
	for range count {
		require.True(t, a.Send("entry-2", bytes.Repeat([]byte("y"), MaxOrdered)))
	}
	require.True(t, a.Send("entry-2", bytes.Repeat([]byte("z"), 1<<20)))
	require.NoError(t, a.Close(context.Background()))
	require.False(t, a.Send("entry-2", nil))
	require.Len(t, rb.messages, count+1)
	<-ra.down
}

func TestQueueIsBounded(t *testing.T) {
	l := newLink(&Transport{}, nil, nil)
	for range queueBytes / MaxOrdered {
		require.True(t, l.enqueue(make([]byte, MaxOrdered)))
	}
	require.False(t, l.enqueue([]byte("x")))
	l.stopSends()
	require.False(t, l.enqueue(nil))
}

// failures is a slog.Handler that passes the messages of failed dials on.
type failures chan string

func (f failures) Enabled(context.Context, slog.Level) bool { return true }
func (f failures) WithAttrs([]slog.Attr) slog.Handler       { return f }
func (f failures) WithGroup(string) slog.Handler            { return f }
func (f failures) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "peer not reached" {
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
		peer     model.InstanceID // that it means to reach
	}{
		{"wrong authority on both sides", issued(other, "entry-1"), "entry-1", "entry-2"},
		{"wrong authority of the dialling side", mixed("entry-1"), "entry-1", "entry-2"},
		{"wrong name in hello", issued(ca, "entry-3"), "entry-1", "entry-2"},
		{"wrong name of the accepting side", issued(ca, "entry-1"), "entry-1", "entry-4"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			failed := make(failures, 1<<10)
			b, rb := listen(t, ca, "entry-2", nil)
			a, ra := listen(t, ca, "entry-1", func(c *Config) {
				c.Self, c.TLS, c.Logger = tt.self, tt.identity, slog.New(failed)
			})
			a.SetPeers(at(tt.peer, b.Addr()))
			<-failed
			<-failed
			require.Empty(t, ra.up)
			require.Empty(t, rb.messages)
			require.False(t, a.Send(tt.peer, nil))
		})
	}
}

func TestRestartedPeer(t *testing.T) {
	ca := devCA(t, "a")
	a, ra := listen(t, ca, "entry-1", nil)
	b, _ := listen(t, ca, "entry-2", nil)
	addr := b.Addr()
	a.SetPeers(at("entry-2", addr))
	require.Equal(t, model.Incarnation(7), <-ra.up)
	closeNow(b)
	require.Equal(t, model.Incarnation(7), <-ra.down)
	_, rb := listen(t, ca, "entry-2", func(c *Config) { c.Incarnation, c.Listen = 8, addr })
	require.Equal(t, model.Incarnation(8), <-ra.up)
	require.True(t, a.Send("entry-2", []byte("again")))
	require.Equal(t, "again", string((<-rb.messages).payload))
	a.SetPeers(nil)
	require.Equal(t, model.Incarnation(8), <-ra.down)
}

// relay forwards datagrams between callers and one target. It can stop
// forwarding the flows that it knows while it lets new ones pass.
type relay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*net.UDPConn
	silent map[string]bool
	bytes  atomic.Int64 // forwarded both ways, without headers of UDP and IP
	count  atomic.Int64 // datagrams
}

func (r *relay) passed(n int) {
	r.bytes.Add(int64(n))
	r.count.Add(1)
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	r := &relay{front: front, target: addr, flows: make(map[string]*net.UDPConn), silent: make(map[string]bool)}
	go r.run()
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, back := range r.flows {
		_ = back.Close()
	}
}

func (r *relay) run() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if back := r.flow(from); back != nil {
			r.passed(n)
			_, _ = back.Write(buf[:n])
		}
	}
}

// flow returns the socket towards the target, nil for a silent flow.
func (r *relay) flow(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := from.String()
	if r.silent[key] {
		return nil
	}
	if r.flows[key] == nil {
		back, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		r.flows[key] = back
		go r.backwards(back, from)
	}
	return r.flows[key]
}

func (r *relay) backwards(back *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 1<<16)
	for {
		n, err := back.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		drop := r.silent[to.String()]
		r.mu.Unlock()
		if !drop {
			r.passed(n)
			_, _ = r.front.WriteToUDP(buf[:n], to)
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.flows {
		r.silent[key] = true
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	ca := devCA(t, "a")
	b, rb := listen(t, ca, "entry-2", nil)
	between := newRelay(t, b.Addr())
	a, ra := listen(t, ca, "entry-1", func(c *Config) {
		c.Heartbeat, c.DeadAfter = 50*time.Millisecond, time.Second
	})
	a.SetPeers(at("entry-2", between.front.LocalAddr().String()))
	<-ra.up
	require.True(t, a.Send("entry-2", []byte("before")))
	require.Equal(t, "before", string((<-rb.messages).payload))

	between.silence()
	require.True(t, a.Send("entry-2", []byte("lost")))
	<-ra.down
	<-ra.up
	for !a.Send("entry-2", []byte("after")) {
		<-ra.up
	}
	require.Equal(t, "after", string((<-rb.messages).payload))
	require.Positive(t, a.stats.silent.Count())
}

func TestHeartbeat(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h := newHeartbeat(Config{Heartbeat: time.Second, IdleHeartbeat: 10 * time.Second, DeadAfter: 4 * time.Second}, start)
	require.True(t, h.due(at(1), false), "first ping")
	h.asked(at(1))
	require.False(t, h.silent(at(2), 1))
	require.False(t, h.due(at(2), false))
	require.True(t, h.due(at(2), true), "payloads are under way")
	h.asked(at(2))
	for s := 3; s <= 6; s++ {
		require.False(t, h.silent(at(s), 1), s)
	}
	require.False(t, h.silent(at(12), 1), "own pause")
	for s := 13; s <= 16; s++ {
		require.False(t, h.silent(at(s), 1), s)
	}
	require.True(t, h.silent(at(17), 1))
}

func TestNewerConnectionReplacesOlder(t *testing.T) {
	ca := devCA(t, "a")
	b, rb := listen(t, ca, "entry-2", nil)
	older, up := listen(t, ca, "entry-1", nil)
	older.SetPeers(at("entry-2", b.Addr()))
	<-up.up
	newer, newerUp := listen(t, ca, "entry-1", func(c *Config) { c.Incarnation = 8 })
	newer.SetPeers(at("entry-2", b.Addr()))
	<-newerUp.up
	<-up.down
	older.SetPeers(nil) // it may have replaced the newer one again by now
	for {
		newer.Send("entry-2", []byte("x"))
		select {
		case m := <-rb.messages:
			require.Equal(t, model.Incarnation(8), m.inc)
			return
		case <-newerUp.up:
		}
	}
}

func TestDelayedHelloIsRefused(t *testing.T) {
	b, _ := listen(t, devCA(t, "a"), "entry-2", nil)
	current := &inbound{t: b, peer: hello{Instance: "entry-1", Incarnation: 7, Serial: 5}}
	require.NoError(t, b.admit(current))
	require.Error(t, b.admit(&inbound{t: b, peer: hello{Instance: "entry-1", Incarnation: 7, Serial: 4}}))
	b.forget(current)
	require.Empty(t, b.inbound)
}
