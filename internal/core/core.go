// Package core combines the services into the decision core. It does no I/O and
// reads no clock: Step turns one event at a given time into actions, so a recorded
// stream of events always produces the same actions.
package core

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/service/config"
	"pollenbend/internal/service/gateway"
	"pollenbend/internal/service/handover"
	"pollenbend/internal/service/jobs"
	"pollenbend/internal/service/ledger"
	"pollenbend/internal/service/limits"
	"pollenbend/internal/service/membership"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/service/requests"
	"pollenbend/internal/service/snapshots"
	"pollenbend/internal/wire"
)

// Options configures a core.
type Options struct {
	Self   platform.Instance
	Timing event.Timing
	Seed   uint64
	// RecordedKeys makes the core accept callers' keys as references, as a trace
	// contains them, instead of secrets.
	RecordedKeys bool
}

// Core is the decision core. It is not safe for concurrent use.
type Core struct {
	env    *event.Env
	kernel *kernel.Kernel
	reader *logReader

	tickHandlers     []service.TickHandler
	listingHandlers  []service.ListingHandler
	messageHandlers  []service.MessageHandler
	peerDownHandlers []service.PeerDownHandler
	workerHandlers   []service.WorkerHandler
	appendHandlers   []service.AppendHandler
	callerHandlers   []service.CallerHandler
	drainHandlers    []service.DrainHandler
	stepEndHandlers  []service.StepEndHandler
}

// binder is a service that looks up other services once all are registered.
type binder interface {
	Bind(k *kernel.Kernel) error
}

// New returns a core with all services registered and bound. It returns an error
// when a service is missing.
func New(o Options) (*Core, error) {
	env := event.NewEnv(o.Self, o.Timing, o.Seed)
	k := kernel.New()
	configuration := config.New(env)
	if o.RecordedKeys {
		configuration.AcceptKeyReferences()
	}
	for _, s := range []kernel.Service{
		membership.New(env),
		configuration,
		ownership.New(env),
		ledger.New(env),
		limits.New(env),
		requests.New(env),
		jobs.New(env),
		handover.New(env),
		gateway.New(env),
		snapshots.New(env),
	} {
		if err := k.Register(s); err != nil {
			return nil, err
		}
	}
	for _, b := range kernel.All[binder](k) {
		if err := b.Bind(k); err != nil {
			return nil, errors.Wrap(err, "bind services")
		}
	}
	return assemble(env, k)
}

func assemble(env *event.Env, k *kernel.Kernel) (*Core, error) {
	reader, err := newLogReader(env, k)
	if err != nil {
		return nil, err
	}
	return &Core{
		env: env, kernel: k, reader: reader,
		tickHandlers:     kernel.All[service.TickHandler](k),
		listingHandlers:  kernel.All[service.ListingHandler](k),
		messageHandlers:  kernel.All[service.MessageHandler](k),
		peerDownHandlers: kernel.All[service.PeerDownHandler](k),
		workerHandlers:   kernel.All[service.WorkerHandler](k),
		appendHandlers:   kernel.All[service.AppendHandler](k),
		callerHandlers:   kernel.All[service.CallerHandler](k),
		drainHandlers:    kernel.All[service.DrainHandler](k),
		stepEndHandlers:  kernel.All[service.StepEndHandler](k),
	}, nil
}

// Kernel returns the registry, for reading state in status pages and tests.
func (c *Core) Kernel() *kernel.Kernel { return c.kernel }

// NextOffset returns the offset of the next log entry to read.
func (c *Core) NextOffset() uint64 { return c.reader.next }

// Step handles one event at time now, on this instance's monotonic clock, and
// returns the resulting actions.
func (c *Core) Step(now time.Duration, e event.Event) []event.Action {
	c.env.Begin(now)
	c.handle(e)
	for _, h := range c.stepEndHandlers {
		h.OnStepEnd()
	}
	return c.env.EndStep()
}

func (c *Core) handle(e event.Event) {
	switch e := e.(type) {
	case event.Tick:
		c.env.SetWall(e.Wall)
		c.reader.catchUp()
		for _, h := range c.tickHandlers {
			h.OnTick()
		}
	case event.LogRead:
		c.reader.onLogRead(e)
	case event.AppendDone:
		for _, h := range c.appendHandlers {
			h.OnAppendDone(e)
		}
	case event.Listed:
		for _, h := range c.listingHandlers {
			h.OnListing(e.Listing)
		}
	case event.PeerMessage:
		c.onMessage(e)
	case event.PeerDown:
		for _, h := range c.peerDownHandlers {
			h.OnPeerDown(e.Peer)
		}
	case event.RenewDone:
		for _, h := range c.workerHandlers {
			h.OnRenewDone(e)
		}
	case event.StartDone:
		for _, h := range c.workerHandlers {
			h.OnStartDone(e)
		}
	case event.RequestIn:
		for _, h := range c.callerHandlers {
			h.OnRequest(e.Handle, e.Request)
		}
	case event.RequestGone:
		for _, h := range c.callerHandlers {
			h.OnRequestGone(e.Handle)
		}
	case event.DrainStarted:
		for _, h := range c.drainHandlers {
			h.OnDrain()
		}
	}
}

func (c *Core) onMessage(e event.PeerMessage) {
	switch m := e.Message.(type) {
	case wire.FetchLog:
		c.reader.serveEntries(e.From, m)
		return
	case wire.LogEntries:
		c.reader.applyEntries(m.Entries)
		return
	case wire.FetchSnapshot:
		c.reader.sendSnapshot(e.From)
		return
	case wire.SnapshotState:
		c.reader.onSnapshotState(m)
		return
	case wire.Heartbeat:
		c.reader.onHeartbeat(e.From, m)
	}
	for _, h := range c.messageHandlers {
		h.OnMessage(e.From, e.Message)
	}
}
