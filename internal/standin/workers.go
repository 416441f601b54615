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

// ErrUnreachable reports that a command did not reach the worker. It carries no
// verdict, since a client cannot distinguish this from a lost answer.
var ErrUnreachable = errors.New("worker unreachable")

// Workers runs a set of WorkerCores in real time. It implements platform.Workers
// in-process.
type Workers struct {
	history *History
	mu      sync.RWMutex
	runners map[model.WorkerID]*workerRunner
}

// workerRunner runs one WorkerCore in real time. Its timer advances the core when
// a task is due.
type workerRunner struct {
	mu             sync.Mutex
	core           *WorkerCore
	timer          *time.Timer
	changed        chan struct{} // closed when the core is called next
	pausedCommands []func(time.Time, *WorkerCore)
}

// NewWorkers returns an empty set of workers that records events in h.
func NewWorkers(h *History) *Workers {
	return &Workers{history: h, runners: map[model.WorkerID]*workerRunner{}}
}

// Add adds a worker. It replaces an existing one of the same id.
func (s *Workers) Add(w model.Worker, settings WorkerSettings) {
	wr := &workerRunner{
		core:    NewWorkerCore(time.Now(), w, settings, s.history),
		changed: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners[w.ID] = wr
}

// Do calls f with the current time and a worker's core. It returns false when
// there is no such worker.
func (s *Workers) Do(id model.WorkerID, f func(now time.Time, c *WorkerCore)) bool {
	wr := s.runner(id)
	if wr == nil {
		return false
	}
	wr.do(f)
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
	if err := s.runner(w.ID).waitForOutcome(ctx, r); err != nil {
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

// deliver runs command on the worker's core and waits until it has run or ctx is
// done. A paused worker runs it when it resumes, even if ctx is done by then; a
// worker with the Unresponsive fault never runs it.
func (s *Workers) deliver(ctx context.Context, id model.WorkerID, command func(time.Time, *WorkerCore)) error {
	wr := s.runner(id)
	if wr == nil {
		return verdict.Refuse(verdict.CodeNotFound, "no worker %s", id)
	}
	done, err := wr.accept(command)
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Workers) runner(id model.WorkerID) *workerRunner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.runners[id]
}

// accept runs or queues a command. The returned channel is closed when the
// command has run.
func (wr *workerRunner) accept(command func(time.Time, *WorkerCore)) (<-chan struct{}, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	done := make(chan struct{})
	f := wr.core.Faults()
	switch {
	case f.Unreachable:
		return nil, ErrUnreachable
	case f.Unresponsive:
		return done, nil
	case f.Paused:
		wr.pausedCommands = append(wr.pausedCommands, func(now time.Time, c *WorkerCore) {
			command(now, c)
			close(done)
		})
		return done, nil
	}
	wr.runLocked(command)
	close(done)
	return done, nil
}

func (wr *workerRunner) do(f func(now time.Time, c *WorkerCore)) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.runLocked(f)
}

// runLocked calls f, then the commands queued during a pause if f ended it, and
// resets the timer. The caller holds wr.mu.
func (wr *workerRunner) runLocked(f func(now time.Time, c *WorkerCore)) {
	f(time.Now(), wr.core)
	if !wr.core.Faults().Paused {
		for _, command := range wr.pausedCommands {
			command(time.Now(), wr.core)
		}
		wr.pausedCommands = nil
	}
	close(wr.changed)
	wr.changed = make(chan struct{})
	wr.resetTimer()
}

// resetTimer sets the timer to the next time at which the core must advance.
func (wr *workerRunner) resetTimer() {
	if wr.timer != nil {
		wr.timer.Stop()
		wr.timer = nil
	}
	at, ok := wr.core.Next()
	if !ok {
		return
	}
	wr.timer = time.AfterFunc(time.Until(at), func() {
		wr.do(func(now time.Time, c *WorkerCore) { c.Advance(now) })
	})
}

// waitForOutcome waits until there is a reported outcome after r.Since, the lease of r
// is no longer valid or r.Wait has passed.
func (wr *workerRunner) waitForOutcome(ctx context.Context, r platform.RenewRequest) error {
	timeout := time.NewTimer(r.Wait)
	defer timeout.Stop()
	for {
		ready, changed := wr.ready(r)
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

// ready reports whether the wait of r has ended, and returns the channel that the
// next call of the core closes.
func (wr *workerRunner) ready(r platform.RenewRequest) (bool, <-chan struct{}) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	ref, held := wr.core.Lease(time.Now())
	return !held || ref != r.Lease || wr.core.HasEvent(r.Since), wr.changed
}
