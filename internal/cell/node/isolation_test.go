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

// renewalTimes records when each instance last renewed a lease.
type renewalTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// recordedWorker is a worker whose renewals by one instance are recorded.
type recordedWorker struct {
	oneWorker
	instance string
	times    *renewalTimes
}

// Renew implements Workers.
func (w recordedWorker) Renew(ctx context.Context, term int64, renewal *engine.Renew) *engine.RenewalAnswered {
	w.times.mu.Lock()
	w.times.last[w.instance] = time.Now()
	w.times.mu.Unlock()
	return w.oneWorker.Renew(ctx, term, renewal)
}

// runIsolatedLeader cuts the leader off from the others and from the store, but not from
// the workers, and returns by how much its last renewal is later than the next term's start.
func runIsolatedLeader(t *testing.T, isolate func(c *cluster, old *member)) (renewedFor time.Duration) {
	times := &renewalTimes{last: make(map[string]time.Time)}
	configure := func(c *cluster) {
		c.workersFor = func(instance string) Workers { return recordedWorker{instance: instance, times: times} }
	}
	runClusterWith(t, 5, configure, func(t *testing.T, c *cluster) {
		old := c.leader()
		require.NotNil(t, old)
		isolate(c, old)
		time.Sleep(2 * time.Second)
		var next *leader
		for _, m := range c.all() {
			if l := m.leading.Load(); m != old && l != nil {
				next = l
			}
		}
		require.NotNil(t, next)
		time.Sleep(20 * time.Second)
		times.mu.Lock()
		defer times.mu.Unlock()
		renewedFor = times.last[old.settings.Instance].Sub(next.startedAt)
	})
	return renewedFor
}

// The next leader cannot reach a worker that the isolated one still reaches, and gives up
// its runs after the maximum lease.
func TestIsolatedLeaderRenewsLeasesBeyondTheWaitOfTheNextLeader(t *testing.T) {
	const maxLease, lease = 10 * time.Second, 6 * time.Second // of the cluster
	for name, mode := range map[string]storeMode{"store refuses": storeRefuses, "store is silent": storeNoAnswer} {
		t.Run(name, func(t *testing.T) {
			renewedFor := runIsolatedLeader(t, func(c *cluster, old *member) {
				c.mu.Lock()
				c.unreachable[old.settings.Instance] = true
				c.mu.Unlock()
				old.store.setMode(mode)
			})
			assert.Less(t, renewedFor, maxLease-lease)
		})
	}
}
