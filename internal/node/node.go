// Package node runs a decision core: one goroutine owns the core, others carry
// out its actions on the network and bring the results back as events.
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
	"pollenbend/internal/wire"
)

// Config configures a node.
type Config struct {
	Self     platform.Instance
	Timing   event.Timing
	Listen   string // UDP address for peers
	Identity transport.Identity
	Log      platform.Log
	Stream   string // of the log
	List     platform.InstanceList
	Workers  platform.Workers
	Logger   *slog.Logger
	Metrics  gometrics.Registry
	Record   io.Writer // gets the trace of events for replay, unless nil
}

const (
	inboxSize    = 16384
	tickInterval = 20 * time.Millisecond
	// listInterval is the time between reads of the instance list. It bounds,
	// with the list's own lag, how long a leaving worker still gets work.
	listInterval = 2 * time.Second
	// An instance reads the list more often at first, to meet the others soon.
	firstListInterval = 300 * time.Millisecond
	firstListTime     = 5 * time.Second
	readWait          = time.Second
	readLimit         = 512
	readRetry         = 200 * time.Millisecond
	callTimeout       = 2 * time.Second
)

// Node is a running instance.
type Node struct {
	cfg       Config
	core      *core.Core
	transport *transport.Transport
	inbox     chan event.Event
	appends   chan event.Append
	started   time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	handles atomic.Uint64
	mu      sync.Mutex
	callers map[uint64]chan model.Answer
	up      map[model.InstanceID]model.Incarnation

	view       atomic.Pointer[View]
	draining   atomic.Bool
	drainAsked chan struct{}
	probe      probe
	stats      stats
	trace      *trace
}

// Start starts a node. Stop ends it.
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
		cfg: cfg, core: c, started: time.Now(),
		inbox:      make(chan event.Event, inboxSize),
		appends:    make(chan event.Append, inboxSize),
		callers:    make(map[uint64]chan model.Answer),
		up:         make(map[model.InstanceID]model.Incarnation),
		drainAsked: make(chan struct{}, 1),
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

// Stop ends the node at once. Drain first for a graceful shutdown.
func (n *Node) Stop() {
	n.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := n.transport.Close(ctx); err != nil {
		n.cfg.Logger.Warn("close transport", "error", err)
	}
	n.wg.Wait()
}

// Drain starts a graceful shutdown and waits until nothing is left to finish or
// ctx ends.
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

func (n *Node) now() time.Duration { return time.Since(n.started) }

// post hands an event to the core. It waits while the inbox is full, so that the
// network slows down and nothing is lost in between.
func (n *Node) post(e event.Event) {
	select {
	case n.inbox <- e:
	case <-n.ctx.Done():
	}
}

// loop is the goroutine that owns the core.
func (n *Node) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			n.trace.flush()
			return
		case e := <-n.inbox:
			n.step(e)
		case <-ticker.C:
			n.step(event.Tick{Wall: time.Now().UTC()})
			n.trace.flush()
			v := n.probe.view(n.draining.Load())
			n.view.Store(v)
			n.stats.update(v, len(n.inbox))
		}
	}
}

func (n *Node) step(e event.Event) {
	now := n.now()
	n.trace.record(now, e)
	actions := n.core.Step(now, e)
	n.stats.steps.Update(n.now() - now)
	for _, a := range actions {
		n.act(a)
	}
}

func (n *Node) act(a event.Action) {
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
		n.askDrain()
	}
}

func (n *Node) send(a event.Send) {
	payload, err := wire.EncodeMessage(a.Message)
	if err != nil {
		n.cfg.Logger.Error("encode message", "to", a.To, "error", err)
		return
	}
	if n.transport.Send(a.To, payload) {
		return
	}
	n.stats.unsent.Inc(1)
	if inc, up := n.incarnation(a.To); up {
		n.later(event.PeerDown{Peer: wire.Owner{Instance: a.To, Incarnation: inc}})
	}
}

// later posts an event from the core's own goroutine, which must not wait for
// itself.
func (n *Node) later(e event.Event) {
	n.wg.Go(func() { n.post(e) })
}

func (n *Node) incarnation(id model.InstanceID) (model.Incarnation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inc, ok := n.up[id]
	return inc, ok
}

// Do carries a caller's request to the core and returns the whole answer.
func (n *Node) Do(ctx context.Context, r model.Request) model.Answer {
	handle := n.handles.Add(1)
	ch := make(chan model.Answer, 1)
	n.mu.Lock()
	n.callers[handle] = ch
	n.mu.Unlock()
	select {
	case n.inbox <- event.RequestIn{Handle: handle, Request: r}:
	default:
		n.forget(handle)
		return model.Refusal(r.ID, verdict.Refuse(verdict.CodeOverloaded, "this instance is overloaded").After(time.Second))
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.forget(handle)
	n.post(event.RequestGone{Handle: handle})
	return model.Answer{
		ID: r.ID, Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt,
		Message: "the wait ended before the answer came", RetryAfter: time.Second,
	}
}

func (n *Node) forget(handle uint64) {
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

// askDrain asks whoever runs the node to drain it.
func (n *Node) askDrain() {
	select {
	case n.drainAsked <- struct{}{}:
	default:
	}
}

// DrainAsked delivers when an operator has asked for a graceful shutdown.
func (n *Node) DrainAsked() <-chan struct{} { return n.drainAsked }

// Ready implements httpapi.Status.
func (n *Node) Ready() (bool, string) {
	v := n.view.Load()
	return v.Ready, v.Reason
}

// Draining implements httpapi.Status.
func (n *Node) Draining() bool { return n.draining.Load() }

// PeerAddr returns the address that peers dial.
func (n *Node) PeerAddr() string { return n.transport.Addr() }
