package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// reportingWorker reports the runs that it has started, which do not end.
type reportingWorker struct {
	restartingWorker
	running []engine.RunStatus
}

// Start implements Workers.
func (w *reportingWorker) Start(ctx context.Context, fence int64, command *engine.Start) *engine.StartAnswered {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	w.running = append(w.running, engine.RunStatus{Task: command.Task, Run: command.Run})
	w.mu.Unlock()
	return w.oneWorker.Start(ctx, fence, command)
}

// Renew implements Workers.
func (w *reportingWorker) Renew(ctx context.Context, fence int64, renewal *engine.Renew) *engine.RenewalAnswered {
	ev := w.restartingWorker.Renew(ctx, fence, renewal)
	w.mu.Lock()
	ev.Report.Running = append(ev.Report.Running, w.running...)
	w.mu.Unlock()
	return ev
}

// A leader that gets SIGTERM right after a start was answered knows that the run is settled; the next leader has to
// find that in the store.
func TestLeaderThatResignsForgetsWhichRunsAreSettled(t *testing.T) {
	w := &reportingWorker{restartingWorker: restartingWorker{incarnation: 1, fences: make(map[int64][]int64)}}
	runClusterWith(t, 3, func(c *cluster) { c.workersFor = func(string) Workers { return w } }, func(t *testing.T, c *cluster) {
		time.Sleep(3 * time.Second)
		old := c.leader()
		submitWithin(t, old, "job", time.Second)
		for range 1000 {
			time.Sleep(time.Millisecond)
			w.mu.Lock()
			started := len(w.running)
			w.mu.Unlock()
			if started > 0 {
				break
			}
		}
		old.Drain(context.Background())
		c.store.mu.Lock()
		value := c.store.records[record.StepKey(job.StepRef{Job: "job"}, 0)]
		c.store.mu.Unlock()
		require.NotEmpty(t, value)
		stored := new(record.Step)
		require.NoError(t, record.Decode(value, stored))
		assert.True(t, stored.Tasks[0].Settled)
	})
}
