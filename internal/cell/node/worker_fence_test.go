package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
)

// restartingWorker is a worker that restarts under its id. It keeps the fence numbers of the renewals of each incarnation.
type restartingWorker struct {
	oneWorker
	mu          sync.Mutex
	incarnation int64
	fences      map[int64][]int64 // by incarnation that the renewal named
}

// Renew implements Workers.
func (w *restartingWorker) Renew(_ context.Context, fence int64, renewal *engine.Renew) *engine.RenewalAnswered {
	sent := time.Now()
	time.Sleep(10*time.Millisecond + renewal.MaxWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fences[renewal.Incarnation] = append(w.fences[renewal.Incarnation], fence)
	return &engine.RenewalAnswered{Worker: renewal.Worker, Incarnation: renewal.Incarnation, SentAt: sent,
		Report: &engine.Report{Incarnation: w.incarnation, Clock: time.Now().UnixMilli()}}
}

// The leader gets higher fence numbers as it renews its leadership, and its calls to each incarnation of a worker bear one
// that is higher than those before and lower than the next leader's.
func TestEachIncarnationOfAWorkerIsCalledWithAHigherFence(t *testing.T) {
	w := &restartingWorker{incarnation: 1, fences: make(map[int64][]int64)}
	runClusterWith(t, 3, func(c *cluster) { c.workersFor = func(string) Workers { return w } }, func(t *testing.T, c *cluster) {
		submitWithin(t, c.leader(), "job", time.Second)
		for range 3 {
			time.Sleep(3 * time.Second)
			w.mu.Lock()
			w.incarnation++
			w.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		last := int64(0)
		for incarnation := int64(1); incarnation <= 3; incarnation++ {
			fences := w.fences[incarnation]
			require.NotEmpty(t, fences, incarnation)
			for _, f := range fences {
				assert.Equal(t, fences[0], f, "incarnation %d", incarnation)
			}
			assert.Greater(t, fences[0], last, "incarnation %d", incarnation)
			last = fences[0]
		}
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		assert.Less(t, last, int64(len(c.store.leaderships))+1, "the term of a leader that claims now")
	})
}
