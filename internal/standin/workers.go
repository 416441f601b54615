package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

// ErrUnreachable reports that a command did not get through. The caller can't
// tell that from a lost answer.
var ErrUnreachable = errors.New("worker unreachable")

// Workers runs a set of WorkerCores on the clock. It implements
// platform.Workers in the process.
type Workers struct {
	history *History
	mu      sync.RWMutex
	units   map[model.WorkerID]*unit
}

// unit is one worker. Its timer ends tasks when they are due.
type unit struct {
	mu      sync.Mutex
	core    *WorkerCore
	timer   *time.Timer
	changed chan struct{} // closed when the state changed
	held    []func(time.Time, *WorkerCore)
}

// NewWorkers returns an empty set that records into h.
func NewWorkers(h *History) *Workers {
	return &Workers{history: h, units: map[model.WorkerID]*unit{}}
}

// Add adds a worker; an existing one of the same id is replaced.
func (s *Workers) Add(w model.Worker, settings WorkerSettings) {
	u := &unit{
		core:    NewWorkerCore(time.Now(), w, settings, s.history),
		changed: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units[w.ID] = u
}

// Do runs f on a worker's core at the present time. It reports whether there is
// such a worker.
func (s *Workers) Do(id model.WorkerID, f func(now time.Time, c *WorkerCore)) bool {
	u := s.unit(id)
	if u == nil {
		return false
	}
	u.do(f)
	return true
}

// Renew implements platform.Workers.
func (s *Workers) Renew(ctx context.Context, w model.Worker, r platform.RenewRequest) (platform.RenewReply, error) {
	var reply platform.RenewReply
	err := s.deliver(ctx, w.ID, func(now time.Time, c *WorkerCore) { reply = c.Renew(now, r) })
	if err != nil {
		return platform.RenewReply{}, err
	}
	if !reply.Granted || r.Full || r.Wait <= 0 || len(reply.Finished) > 0 {
		return reply, nil
	}
	if err := s.unit(w.ID).await(ctx, r); err != nil {
		return platform.RenewReply{}, err
	}
	err = s.deliver(ctx, w.ID, func(now time.Time, c *WorkerCore) { reply = c.Report(now, r) })
	if err != nil {
		return platform.RenewReply{}, err
	}
	return reply, nil
}

// Start implements platform.Workers.
func (s *Workers) Start(ctx context.Context, w model.Worker, r platform.StartRequest) error {
	var result error
	err := s.deliver(ctx, w.ID, func(now time.Time, c *WorkerCore) {
		result = c.Start(now, r)
		if c.Faults().LoseStartAnswer {
			result = ErrAnswerLost
		}
	})
	if err != nil {
		return err
	}
	return result
}

// Stop implements platform.Workers.
func (s *Workers) Stop(ctx context.Context, w model.Worker, r platform.StopRequest) error {
	var result error
	err := s.deliver(ctx, w.ID, func(now time.Time, c *WorkerCore) { result = c.Stop(now, r) })
	if err != nil {
		return err
	}
	return result
}

// deliver runs command on the worker's core. A paused worker runs it when it
// wakes, also when ctx is done by then; a silent one never does.
func (s *Workers) deliver(ctx context.Context, id model.WorkerID, command func(time.Time, *WorkerCore)) error {
	u := s.unit(id)
	if u == nil {
		return verdict.Refuse(verdict.CodeNotFound, "no worker %s", id)
	}
	ran, err := u.take(command)
	if err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Workers) unit(id model.WorkerID) *unit {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.units[id]
}

// take accepts a command. The channel is closed when the command ran.
func (u *unit) take(command func(time.Time, *WorkerCore)) (<-chan struct{}, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ran := make(chan struct{})
	f := u.core.Faults()
	switch {
	case f.Unreachable:
		return nil, ErrUnreachable
	case f.Silent:
		return ran, nil
	case f.Paused:
		u.held = append(u.held, func(now time.Time, c *WorkerCore) {
			command(now, c)
			close(ran)
		})
		return ran, nil
	}
	u.run(command)
	close(ran)
	return ran, nil
}

func (u *unit) do(f func(now time.Time, c *WorkerCore)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.run(f)
}

// run runs f, then the commands held during a pause that f ended, and sets the
// timer for what is due next.
func (u *unit) run(f func(now time.Time, c *WorkerCore)) {
	f(time.Now(), u.core)
	if !u.core.Faults().Paused {
		for _, command := range u.held {
			command(time.Now(), u.core)
		}
		u.held = nil
	}
	close(u.changed)
	u.changed = make(chan struct{})
	u.arm()
}

func (u *unit) arm() {
	if u.timer != nil {
		u.timer.Stop()
		u.timer = nil
	}
	at, ok := u.core.Next()
	if !ok {
		return
	}
	u.timer = time.AfterFunc(time.Until(at), func() {
		u.do(func(now time.Time, c *WorkerCore) { c.Advance(now) })
	})
}

// await waits for an event after r.Since, for the loss of the lease or for
// r.Wait.
func (u *unit) await(ctx context.Context, r platform.RenewRequest) error {
	timeout := time.NewTimer(r.Wait)
	defer timeout.Stop()
	for {
		ready, changed := u.ready(r)
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (u *unit) ready(r platform.RenewRequest) (bool, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ref, held := u.core.Lease(time.Now())
	return !held || ref != r.Lease || u.core.HasEvent(r.Since), u.changed
}
