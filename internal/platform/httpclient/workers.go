package httpclient

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/platform/wire"
)

const (
	// MaxWorkerConns is the maximum number of connections to one worker,
	// including the one that a renewal occupies.
	MaxWorkerConns = 4
	// workerIdleTimeout is how long the client of a worker without calls is kept.
	workerIdleTimeout = 10 * time.Minute
)

// errIncomplete reports an answer without a field that every complete answer sets.
var errIncomplete = errors.New("incomplete answer")

// Workers implements platform.Workers.
type Workers struct {
	mu        sync.Mutex
	clients   map[model.WorkerID]*workerClient
	lastSweep time.Time
}

// workerClient is the client of one worker. Each worker has its own client, so
// that calls to one worker cannot use up the connections to another.
type workerClient struct {
	*client
	lastUsed time.Time
}

var _ platform.Workers = (*Workers)(nil)

// NewWorkers returns a client of all workers.
func NewWorkers() *Workers {
	return &Workers{clients: map[model.WorkerID]*workerClient{}, lastSweep: time.Now()}
}

// Renew implements platform.Workers.
func (s *Workers) Renew(ctx context.Context, w model.Worker, r platform.RenewRequest) (platform.RenewReply, error) {
	var reply platform.RenewReply
	if err := s.client(w.ID).post(ctx, r.Wait, w.Addr+wire.PathRenew, r, &reply); err != nil {
		return platform.RenewReply{}, err
	}
	if reply.Granted && reply.Incarnation == 0 {
		return platform.RenewReply{}, errIncomplete
	}
	return reply, nil
}

// Start implements platform.Workers.
func (s *Workers) Start(ctx context.Context, w model.Worker, r platform.StartRequest) error {
	return s.command(ctx, w, wire.PathStart, r)
}

// Stop implements platform.Workers.
func (s *Workers) Stop(ctx context.Context, w model.Worker, r platform.StopRequest) error {
	return s.command(ctx, w, wire.PathStop, r)
}

// command sends a command that is answered with a wire.Ack.
func (s *Workers) command(ctx context.Context, w model.Worker, path string, r any) error {
	var ack wire.Ack
	if err := s.client(w.ID).post(ctx, 0, w.Addr+path, r, &ack); err != nil {
		return err
	}
	if !ack.OK {
		return errIncomplete
	}
	return nil
}

// Close closes the idle connections.
func (s *Workers) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.close()
	}
}

// client returns the client of a worker and creates it at the first call.
func (s *Workers) client(id model.WorkerID) *client {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	c, ok := s.clients[id]
	if !ok {
		c = &workerClient{client: newClient(MaxWorkerConns)}
		s.clients[id] = c
	}
	c.lastUsed = now
	return c.client
}

// sweep removes the clients of workers that had no call for workerIdleTimeout.
// The caller holds s.mu.
func (s *Workers) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < workerIdleTimeout {
		return
	}
	s.lastSweep = now
	for id, c := range s.clients {
		if now.Sub(c.lastUsed) >= workerIdleTimeout {
			c.close()
			delete(s.clients, id)
		}
	}
}
