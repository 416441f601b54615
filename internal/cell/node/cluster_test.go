package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/peer"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// cluster runs instances in one process and in virtual time, on a network of pipes
// and a store in memory.
type cluster struct {
	t           *testing.T
	store       *memoryStore
	mu          sync.Mutex
	members     map[string]*member
	unreachable map[string]bool // instances whose network connections lose all data
	side        map[string]int  // side of a partition on which an instance is; connections between sides lose all data

	directWorkers       int  // see Settings
	payloadsFromEntries bool // see Settings

	workersFor func(instance string) Workers // as an instance reaches them
}

// member is one instance of a cluster. It implements the net.Listener on which its peers
// connect.
type member struct {
	*Node
	address string
	cancel  context.CancelFunc
	stopped chan struct{}
	conns   chan net.Conn
	store   *storeAccess
	pipes   []*pipe

	slowdown atomic.Int32 // of the processor
}

// NewStats starts the goroutine that the metrics library shares between all meters. It
// must start outside the virtual time of a test.
var _ = NewStats()

// runCluster runs f on a cluster of n instances in virtual time.
func runCluster(t *testing.T, n int, f func(t *testing.T, c *cluster)) {
	runClusterWith(t, n, func(*cluster) {}, f)
}

// runClusterWith is runCluster on a cluster that configure changes before it starts.
func runClusterWith(t *testing.T, n int, configure func(c *cluster), f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: newMemoryStore(), members: make(map[string]*member), unreachable: make(map[string]bool),
			directWorkers: 400, workersFor: func(string) Workers { return oneWorker{} },
		}
		configure(c)
		for i := range n {
			c.start(fmt.Sprintf("i%d", i), 1)
		}
		defer func() {
			for _, m := range c.all() {
				c.kill(m)
			}
			time.Sleep(20 * time.Second) // until calls in progress have timed out
		}()
		time.Sleep(2 * time.Second) // until an instance leads
		f(t, c)
	})
}

// all returns the running instances.
func (c *cluster) all() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*member
	for i := range 100 {
		if m := c.members[fmt.Sprintf("i%d", i)]; m != nil {
			all = append(all, m)
		}
	}
	return all
}

// start starts an instance with a CPU share in cores.
func (c *cluster) start(name string, share float64) *member {
	m := &member{address: name + ":1", stopped: make(chan struct{}), conns: make(chan net.Conn), store: &storeAccess{memoryStore: c.store}}
	m.slowdown.Store(1)
	settings := Settings{
		Instance: name, Address: m.address, CPUShare: share, DirectWorkers: c.directWorkers, WorkersPerRelay: 64,
		PayloadsFromEntries: c.payloadsFromEntries,
		Slowdown: func() float64 {
			m.store.waitUntilResumed()
			return float64(m.slowdown.Load())
		},
		Engine: engine.Config{
			Lease: 6 * time.Second, MaxLease: 10 * time.Second, LeaseExpiryMargin: 100 * time.Millisecond, MaxStopDuration: 200 * time.Millisecond,
			GangStartTimeout: 3 * time.Second, OffRackMultiplier: 2, RenewalMaxWait: time.Second, RenewalRetryDelay: 150 * time.Millisecond, IdleRenewalInterval: 2 * time.Second,
			UnlistedRenewalWindow: 15 * time.Second, UnlistedWorkerRetention: 30 * time.Second, StopRetryDelay: time.Second, StartReportTimeout: 500 * time.Millisecond,
			MinPlacementInterval: 4 * time.Millisecond, EndedJobRetention: 150 * time.Second, Now: time.Now,
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return c.dial(ctx, m, address) },
	}
	ports := Ports{Store: m.store, Directory: directory{m.store, new(atomic.Bool)}, Workers: c.workersFor(name), Policies: fixedPolicy{m}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(c.t.Output(), nil))
	}
	m.Node = New(settings, ports, NewStats(), log.With("i", name))
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	c.mu.Lock()
	c.members[name] = m
	c.mu.Unlock()
	go func() {
		m.Run(ctx, m)
		close(m.stopped)
	}()
	return m
}

// kill stops an instance without letting it resign.
func (c *cluster) kill(m *member) {
	c.mu.Lock()
	delete(c.members, m.settings.Instance)
	pipes := m.pipes
	c.mu.Unlock()
	m.store.setMode(storeRefuses)
	m.cancel()
	<-m.stopped
	for _, p := range pipes {
		_ = p.Conn.Close()
	}
}

// leader returns the instance that leads, or nil. The test fails if more than one leads.
func (c *cluster) leader() *member {
	var found *member
	for _, m := range c.all() {
		if m.leading.Load() == nil {
			continue
		}
		if found != nil {
			c.t.Errorf("both %s and %s lead", found.settings.Instance, m.settings.Instance)
		}
		found = m
	}
	return found
}

// follower returns an instance that does not lead.
func (c *cluster) follower() *member {
	for _, m := range c.all() {
		if m.leading.Load() == nil {
			return m
		}
	}
	return nil
}

// dial connects two instances.
func (c *cluster) dial(ctx context.Context, from *member, address string) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	var to *member
	for _, m := range c.all() {
		if m.address == address {
			to = m
		}
	}
	if to == nil {
		return nil, errors.Mark(errors.New("refused"), peer.ErrRefused)
	}
	local, remote := net.Pipe()
	a, b := &pipe{Conn: local, c: c, instances: [2]string{from.settings.Instance, to.settings.Instance}}, &pipe{Conn: remote, c: c, instances: [2]string{from.settings.Instance, to.settings.Instance}}
	c.mu.Lock()
	from.pipes, to.pipes = append(from.pipes, a), append(to.pipes, b)
	c.mu.Unlock()
	select {
	case to.conns <- b:
		return a, nil
	case <-to.stopped:
		return nil, errors.Mark(errors.New("refused"), peer.ErrRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (m *member) Accept() (net.Conn, error) {
	select {
	case conn := <-m.conns:
		return conn, nil
	case <-m.stopped:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (m *member) Close() error { return nil }

// Addr implements net.Listener.
func (m *member) Addr() net.Addr { return nil }

// pipe loses what is written to it while one of its instances is unreachable.
type pipe struct {
	net.Conn
	c         *cluster
	instances [2]string
}

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	p.c.mu.Lock()
	from, to := p.instances[0], p.instances[1]
	lost := p.c.unreachable[from] || p.c.unreachable[to] || p.c.side[from] != p.c.side[to]
	p.c.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// memoryStore is a store in memory.
type memoryStore struct {
	mu           sync.Mutex
	leaderships  []Leadership      // by offset
	term         int64             // newest term that has fenced the earlier ones
	lastSequence int64             // sequence number of the last append in that term
	records      map[string][]byte // newest value of each key

	maxRecordBytes int // of a key and value; zero for no limit
	rejections     int // appends that were rejected
}

func newMemoryStore() *memoryStore { return &memoryStore{records: make(map[string][]byte)} }

// storeMode is how the store responds to an instance.
type storeMode int

const (
	storeServes storeMode = iota
	storeRefuses
	storeNoAnswer
)

// storeAccess is the store as one instance reaches it.
type storeAccess struct {
	*memoryStore
	mu       sync.Mutex
	mode     storeMode
	slowdown time.Duration // multiplier of storeLatency; zero means one

	refreshed bool          // there is a copy of the records
	resumed   chan struct{} // closed when the instance is no longer paused; nil if it isn't
	reads     int           // of the leadership record
}

// recordsPerPage is how many records a call to the store returns.
const recordsPerPage = 500

// read makes the calls that it takes to read the records.
func (a *storeAccess) read(ctx context.Context) error {
	a.mu.Lock()
	refreshed := a.refreshed
	a.mu.Unlock()
	a.memoryStore.mu.Lock()
	calls := 1
	if !refreshed {
		calls += len(a.records) / recordsPerPage
	}
	a.memoryStore.mu.Unlock()
	for range calls {
		if err := a.call(ctx, func() error { return nil }); err != nil {
			return err
		}
	}
	return nil
}

func (a *storeAccess) setRefreshed(refreshed bool) {
	a.mu.Lock()
	a.refreshed = refreshed
	a.mu.Unlock()
}

// Refresh implements Store.
func (a *storeAccess) Refresh(ctx context.Context) error {
	if err := a.read(ctx); err != nil {
		return err // an earlier copy is kept
	}
	a.setRefreshed(true)
	return nil
}

// Forget implements Store.
func (a *storeAccess) Forget() { a.setRefreshed(false) }

func (a *storeAccess) setSlowdown(multiplier time.Duration) {
	a.mu.Lock()
	a.slowdown = multiplier
	a.mu.Unlock()
}

func (a *storeAccess) setMode(m storeMode) {
	a.mu.Lock()
	a.mode = m
	a.mu.Unlock()
}

// storeLatency is how long the store takes to answer a call.
const storeLatency = 4 * time.Millisecond

// call runs f as a call to the store with the latency and the mode in force.
func (a *storeAccess) call(ctx context.Context, f func() error) error {
	a.mu.Lock()
	mode, slowdown := a.mode, max(1, a.slowdown)
	a.mu.Unlock()
	a.waitUntilResumed()
	time.Sleep(slowdown * storeLatency)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch mode {
	case storeRefuses:
		return errors.Mark(errors.New("refused"), ErrNoEffect)
	case storeNoAnswer:
		<-ctx.Done()
		return ctx.Err()
	}
	a.memoryStore.mu.Lock()
	defer a.memoryStore.mu.Unlock()
	return f()
}

// waitUntilResumed waits while the instance is paused.
func (a *storeAccess) waitUntilResumed() {
	a.mu.Lock()
	resumed := a.resumed
	a.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// ReadLeadership implements Store.
func (a *storeAccess) ReadLeadership(ctx context.Context) (rec Leadership, offset, next int64, found bool, err error) {
	a.mu.Lock()
	a.reads++
	a.mu.Unlock()
	err = a.call(ctx, func() error {
		next = int64(len(a.leaderships))
		if next > 0 {
			rec, offset, found = a.leaderships[next-1], next-1, true
		}
		return nil
	})
	return rec, offset, next, found, err
}

// WriteLeadership implements Store.
func (a *storeAccess) WriteLeadership(ctx context.Context, rec Leadership, next int64) error {
	return a.call(ctx, func() error {
		if next != int64(len(a.leaderships)) {
			return ErrConflict
		}
		a.leaderships = append(a.leaderships, rec)
		return nil
	})
}

// Fence implements Store.
func (a *storeAccess) Fence(ctx context.Context, term int64) error {
	return a.call(ctx, func() error {
		if term < a.term {
			return ErrFenced
		}
		a.term, a.lastSequence = term, 0
		return nil
	})
}

// Append implements Store.
func (a *storeAccess) Append(ctx context.Context, term, sequence int64, records []record.Record) error {
	return a.call(ctx, func() error {
		if term < a.term {
			return ErrFenced
		}
		if sequence <= a.lastSequence {
			return nil // a repeat
		}
		for _, r := range records {
			if a.maxRecordBytes > 0 && r.Size() > a.maxRecordBytes {
				a.rejections++
				return errors.Mark(errors.New("status 400"), ErrRejected)
			}
		}
		a.lastSequence = sequence
		for _, r := range records {
			a.records[r.Key] = r.Value
		}
		return nil
	})
}

// Load implements Store.
func (a *storeAccess) Load(ctx context.Context, f func(record.Record)) error {
	if err := a.read(ctx); err != nil {
		return err
	}
	a.setRefreshed(false)
	return a.call(ctx, func() error {
		for key, value := range a.records {
			f(record.Record{Key: key, Value: value})
		}
		return nil
	})
}

// directory lists a single worker. It reports a change only once for each incarnation of
// its instance, as the platform's directory does.
type directory struct {
	*storeAccess
	reported *atomic.Bool
}

// Poll implements Directory.
func (d directory) Poll(ctx context.Context) ([]engine.WorkerInfo, bool, error) {
	if err := d.call(ctx, func() error { return nil }); err != nil {
		return nil, false, err
	}
	return []engine.WorkerInfo{{ID: "w", Incarnation: 1, Address: "w:1", Service: "s", Capacity: job.Resources{CPU: 64000, MemMB: 64000}}}, !d.reported.Swap(true), nil
}

// oneWorker accepts every command.
type oneWorker struct{}

// Start implements Workers.
func (oneWorker) Start(_ context.Context, _ int64, command *engine.Start) *engine.StartAnswered {
	return &engine.StartAnswered{Start: command, Incarnation: 1, Clock: time.Now().UnixMilli()}
}

// Stop implements Workers.
func (oneWorker) Stop(_ context.Context, _ int64, command *engine.Stop) *engine.StopAnswered {
	return &engine.StopAnswered{Stop: command, Incarnation: 1}
}

// Renew implements Workers.
func (oneWorker) Renew(_ context.Context, _ int64, renewal *engine.Renew) *engine.RenewalAnswered {
	sent := time.Now()
	time.Sleep(renewal.MaxWait)
	return &engine.RenewalAnswered{Worker: renewal.Worker, Incarnation: 1, SentAt: sent, Report: &engine.Report{Incarnation: 1, Clock: time.Now().UnixMilli()}}
}

// fixedPolicy declares one queue. It reads the store at intervals, as the platform's
// Policies does.
type fixedPolicy struct{ m *member }

// Watch implements Policies.
func (p fixedPolicy) Watch(ctx context.Context, f func(*policy.Policy)) {
	f((&policy.Policy{
		Version:  1,
		Queues:   []policy.Queue{{Name: "q", Service: "s", Attempts: 2, Stretch: 4, LatencyTarget: 3 * time.Second}},
		Services: []policy.Service{{Name: "s"}}, Teams: []policy.Team{{Name: "a", Weight: 50}},
	}).Index())
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, time.Second)
		if p.m.store.call(call, func() error { return nil }) == nil {
			p.m.NoteStoreAnswer()
		}
		<-call.Done()
		cancel()
	}
}
