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
	// WorkerConns bounds the connections to one worker, the renewal's included.
	WorkerConns = 4
	// workerIdle is how long the client of a worker without calls is kept.
	workerIdle = 10 * time.Minute
)

// errIncomplete reports an answer that lacks what every answer has.
var errIncomplete = errors.New("incomplete answer")

// Workers implements platform.Workers.
type Workers struct {
	mu      sync.Mutex
	clients map[model.WorkerID]*workerClient
	swept   time.Time
}

// workerClient is the client of one worker. Each worker has its own, so that
// none takes another's connections.
type workerClient struct {
	*client
	used time.Time
}

var _ platform.Workers = (*Workers)(nil)

// NewWorkers returns a client to all workers.
func NewWorkers() *Workers {
	return &Workers{clients: map[model.WorkerID]*workerClient{}, swept: time.Now()}
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

func (s *Workers) client(id model.WorkerID) *client {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	c, ok := s.clients[id]
	if !ok {
		c = &workerClient{client: newClient(WorkerConns)}
		s.clients[id] = c
	}
	c.used = now
	return c.client
}

// sweep drops the clients of workers without calls.
func (s *Workers) sweep(now time.Time) {
	if now.Sub(s.swept) < workerIdle {
		return
	}
	s.swept = now
	for id, c := range s.clients {
		if now.Sub(c.used) >= workerIdle {
			c.close()
			delete(s.clients, id)
		}
	}
}
