// Package node runs a decision core. One goroutine owns the core; others carry out
// its actions on the network and post the results to it as events.
package node

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/core"
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/transport"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wait"
	"pollenbend/internal/wire"
)

// Config holds the settings and the dependencies of a node.
type Config struct {
	Self     platform.Instance
	Timing   event.Timing
	Listen   string // UDP address for peers
	Identity transport.Identity
	Log      platform.Log
	Stream   string // name of the log stream
	List     platform.InstanceList
	Workers  platform.Workers
	Logger   *slog.Logger
	Metrics  gometrics.Registry
	Record   io.Writer // receives the event trace for replay; nil records nothing
}

const (
	inboxSize    = 16384 // events, and as many queued appends
	tickInterval = 20 * time.Millisecond
	// listInterval is the time between reads of the instance list. Together with
	// the list's own lag it bounds how long a leaving worker still receives work.
	listInterval = 2 * time.Second
	// During startupListWindow after its start an instance reads the list every
	// startupListInterval, so that it connects to its peers early.
	startupListInterval = 300 * time.Millisecond
	startupListWindow   = 5 * time.Second
	logReadWait         = time.Second // maximum time that a read waits in the log for an entry
	// emptyLogReadWait is that time until the first entry is read. The last read that shows
	// the shards without an owner proves that nothing was started before. With reads of
	// logReadWait, it may have been requested long before the first claim, and workers that
	// started in between count as restarted.
	emptyLogReadWait = 100 * time.Millisecond
	firstOffset      = 1 // offset of the log's first entry
	maxReadEntries   = 512
	logRetryDelay    = 200 * time.Millisecond
	callTimeout      = 2 * time.Second // of a call to the platform or a worker, in addition to the wait that it requests
)

// Node is a running decision core with its connections to peers, the log, the
// instance list and the workers.
type Node struct {
	cfg       Config
	core      *core.Core
	transport *transport.Transport
	inbox     chan event.Event
	appends   chan event.Append
	startedAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	lastHandle     atomic.Uint64
	mu             sync.Mutex
	callers        map[uint64]chan model.Answer
	connectedPeers map[model.InstanceID]model.Incarnation
	unsentTo       map[model.InstanceID]bool // peers that messages were lost to for lack of a connection

	view           atomic.Pointer[View]
	draining       atomic.Bool
	drainRequested chan struct{}
	probe          probe
	stats          stats
	trace          *trace
}

// Start starts a node. The caller must call Stop to release its resources.
func Start(cfg Config) (*Node, error) {
	if cfg.Metrics == nil {
		cfg.Metrics = gometrics.NewRegistry()
	}
	options := core.Options{Self: cfg.Self, Timing: cfg.Timing, Seed: uint64(cfg.Self.Incarnation)}
	c, err := core.New(options)
	if err != nil {
		return nil, errors.Wrap(err, "assemble core")
	}
	n := &Node{
		cfg: cfg, core: c, startedAt: time.Now(),
		inbox:          make(chan event.Event, inboxSize),
		appends:        make(chan event.Append, inboxSize),
		callers:        make(map[uint64]chan model.Answer),
		connectedPeers: make(map[model.InstanceID]model.Incarnation),
		unsentTo:       make(map[model.InstanceID]bool),
		drainRequested: make(chan struct{}, 1),
	}
	n.view.Store(&View{})
	if n.trace, err = newTrace(cfg, options, c); err != nil {
		return nil, err
	}
	if n.probe, err = newProbe(c.Kernel()); err != nil {
		return nil, err
	}
	n.stats = newStats(cfg.Metrics)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.transport, err = transport.Listen(transport.Config{
		Self: cfg.Self.ID, Incarnation: cfg.Self.Incarnation, Listen: cfg.Listen, TLS: cfg.Identity,
		Handler: peerHandler{n}, Heartbeat: cfg.Timing.Heartbeat, DeadAfter: cfg.Timing.DeadAfter,
		Logger: cfg.Logger, Metrics: cfg.Metrics,
	})
	if err != nil {
		n.cancel()
		return nil, err
	}
	for _, run := range []func(){n.loop, n.readLog, n.appendLog, n.watchList} {
		n.wg.Go(run)
	}
	return n, nil
}

// Stop stops the node immediately. Call Drain first for a graceful shutdown.
func (n *Node) Stop() {
	n.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := n.transport.Close(ctx); err != nil {
		n.cfg.Logger.Warn("failed to close the transport", "error", err)
	}
	n.wg.Wait()
}

// Drain starts a graceful shutdown and returns when all open work is finished or
// handed over, or when ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	n.post(event.DrainStarted{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.view.Load().Drained {
				return
			}
		}
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// post hands an event to the core. It blocks while the inbox is full, which slows
// down the reads from the network instead of dropping events.
func (n *Node) post(e event.Event) {
	select {
	case n.inbox <- e:
	case <-n.ctx.Done():
	}
}

// loop runs the core; its goroutine is the only one that accesses it.
func (n *Node) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			n.trace.flush()
			return
		case e := <-n.inbox:
			n.handleEvent(e)
		case <-ticker.C:
			n.handleEvent(event.Tick{Wall: time.Now().UTC()})
			n.trace.flush()
			v := n.probe.view(n.draining.Load())
			n.view.Store(v)
			n.stats.update(v, len(n.inbox))
		}
	}
}

func (n *Node) handleEvent(e event.Event) {
	now := n.now()
	n.trace.record(now, e)
	actions := n.core.Step(now, e)
	n.stats.stepDuration.Update(n.now() - now)
	for _, a := range actions {
		n.execute(a)
	}
}

func (n *Node) execute(a event.Action) {
	switch a := a.(type) {
	case event.Append:
		n.queueAppend(a)
	case event.Send:
		n.send(a)
	case event.Renew:
		n.wg.Go(func() { n.renew(a) })
	case event.Start:
		n.wg.Go(func() { n.start(a) })
	case event.Stop:
		n.wg.Go(func() { n.stopTask(a) })
	case event.Respond:
		n.respond(a)
	case event.Note:
		n.cfg.Logger.Info(a.Kind, "seq", a.Seq, "subject", a.Subject, "detail", a.Detail, "offset", a.Offset)
	case event.Drain:
		n.requestDrain()
	}
}

// send queues a message for a peer. If it cannot be queued, the core learns from a
// PeerDown that the message is lost: at once if there is a connection, otherwise when there
// is one again. A peer whose own connection brings its heartbeats may be live before.
func (n *Node) send(a event.Send) {
	payload, err := wire.EncodeMessage(a.Message)
	if err != nil {
		n.cfg.Logger.Error("failed to encode a peer message", "to", a.To, "error", err)
		return
	}
	if n.transport.Send(a.To, payload) {
		return
	}
	n.stats.unsentMessages.Inc(1)
	if inc, up := n.recordUnsent(a); up {
		n.postAsync(event.PeerDown{Peer: wire.InstanceRef{Instance: a.To, Incarnation: inc}})
	}
}

// postAsync posts an event from the goroutine that owns the core. A blocking post
// there would deadlock while the inbox is full.
func (n *Node) postAsync(e event.Event) {
	n.wg.Go(func() { n.post(e) })
}

// recordUnsent returns the incarnation of a connected peer that a message could not be
// sent to. If the peer is not connected, it records that the message is lost, unless it is
// a heartbeat, which is followed by others.
func (n *Node) recordUnsent(a event.Send) (model.Incarnation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inc, up := n.connectedPeers[a.To]
	if _, heartbeat := a.Message.(wire.Heartbeat); !up && !heartbeat {
		n.unsentTo[a.To] = true
	}
	return inc, up
}

// Do passes a caller's request to the core and returns the complete answer. When
// ctx or the node ends first, the answer is in doubt: the request may have run.
func (n *Node) Do(ctx context.Context, r model.Request) model.Answer {
	handle := n.lastHandle.Add(1)
	ch := make(chan model.Answer, 1)
	n.mu.Lock()
	n.callers[handle] = ch
	n.mu.Unlock()
	select {
	case n.inbox <- event.RequestIn{Handle: handle, Request: r}:
	default:
		n.removeCaller(handle)
		return model.Refusal(r.ID, verdict.Refuse(verdict.CodeOverloaded, "this instance is overloaded").WithRetryAfter(time.Second))
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.removeCaller(handle)
	n.post(event.RequestGone{Handle: handle})
	return model.Answer{
		ID: r.ID, Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt,
		Message: "the wait ended before the answer came", RetryAfter: time.Second,
	}
}

func (n *Node) removeCaller(handle uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.callers, handle)
}

func (n *Node) respond(a event.Respond) {
	n.mu.Lock()
	ch, ok := n.callers[a.Handle]
	delete(n.callers, a.Handle)
	n.mu.Unlock()
	if ok {
		ch <- a.Answer
	}
}

// requestDrain signals the owner of the node to drain it.
func (n *Node) requestDrain() {
	wait.Wake(n.drainRequested)
}

// DrainRequested returns a channel that receives a value when an operator has
// requested a graceful shutdown.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

// Ready implements httpapi.Status. Its answer is as of the last tick.
func (n *Node) Ready() (bool, string) {
	v := n.view.Load()
	return v.Ready, v.Reason
}

// Draining implements httpapi.Status.
func (n *Node) Draining() bool { return n.draining.Load() }

// PeerAddr returns the address that peers dial.
func (n *Node) PeerAddr() string { return n.transport.Addr() }
