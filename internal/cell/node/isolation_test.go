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
// its runs.
func TestIsolatedLeaderRenewsLeasesBeyondTheWaitOfTheNextLeader(t *testing.T) {
	for _, test := range []struct {
		name      string
		mode      storeMode
		followers int // that are cut off with the leader
	}{
		{"store refuses", storeRefuses, 0},
		{"store is silent", storeNoAnswer, 0},
		{"a follower is cut off too, store refuses", storeRefuses, 1},
		{"a follower is cut off too, store is silent", storeNoAnswer, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			renewedFor := runIsolatedLeader(t, func(c *cluster, old *member) { c.cutOff(old, test.followers, test.mode) })
			assert.Less(t, renewedFor, maxLeaderOverlap)
		})
	}
}

// cutOff cuts a leader and some of its followers off from the others and from the store.
func (c *cluster) cutOff(leader *member, followers int, mode storeMode) {
	side := []*member{leader}
	for _, m := range c.all() {
		if m != leader && len(side) <= followers {
			side = append(side, m)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.side = make(map[string]int)
	for _, m := range side {
		c.side[m.settings.Instance] = 1
		m.store.setMode(mode)
	}
}

// All followers drain while the store is away for all.
func TestLeaderWhoseFollowersDrainCountsAsIsolated(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		require.NotNil(t, leader)
		for _, m := range c.all() {
			if m != leader {
				m.draining.Store(true)
			}
		}
		time.Sleep(time.Second)
		for _, m := range c.all() {
			m.store.setMode(storeNoAnswer)
		}
		time.Sleep(2 * isolationTimeout)
		assert.Same(t, leader, c.leader())
	})
}

func TestLeaderCutOffFromTheOthersBeforeTheStoreRenewsLeasesWithoutEnd(t *testing.T) {
	const storeLostAfter = time.Minute
	renewedFor := runIsolatedLeader(t, func(c *cluster, old *member) {
		c.cutOff(old, 0, storeServes)
		time.Sleep(storeLostAfter)
		c.cutOff(old, 0, storeNoAnswer)
	})
	assert.Less(t, renewedFor, maxLeaderOverlap)
}

func TestLeaderFrozenAfterItWasCutOffExecutesARoundOnWaking(t *testing.T) {
	const latest = isolationTimeout - leadershipRenewInterval // before the leader has noticed
	for frozenAt := latest - 400*time.Millisecond; frozenAt < latest; frozenAt += 25 * time.Millisecond {
		t.Run(frozenAt.String(), func(t *testing.T) {
			renewedFor := runIsolatedLeader(t, func(c *cluster, old *member) {
				c.cutOff(old, 0, storeNoAnswer)
				go func() {
					time.Sleep(frozenAt)
					resume := c.pause(old)
					time.Sleep(maxRoundDuration - 50*time.Millisecond)
					resume()
				}()
			})
			assert.Less(t, renewedFor, maxLeaderOverlap)
		})
	}
}

// The monotonic clock has not advanced while the machine was suspended.
func TestIsolationOfASuspendedLeaderIsMeasuredByTheTimeOfDay(t *testing.T) {
	const suspended = isolationTimeout - 100*time.Millisecond
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		require.NotNil(t, old)
		l := old.leading.Load()
		c.cutOff(old, 0, storeNoAnswer)
		time.Sleep(200 * time.Millisecond)
		earlier := func(at time.Time) time.Time { return at.Round(0).Add(-suspended) }
		l.mu.Lock()
		for name, at := range l.pingedAt {
			l.pingedAt[name] = earlier(at)
		}
		l.mu.Unlock()
		l.confirmations.mu.Lock()
		l.confirmations.at = earlier(l.confirmations.at)
		l.confirmations.mu.Unlock()
		time.Sleep(followersInterval + 2*tickInterval)
		assert.True(t, l.ended())
	})
}

// The directory goes on answering a leader whose leadership the store does not confirm.
func TestLeaderThatOnlyReachesTheDirectoryRenewsLeasesWithoutEnd(t *testing.T) {
	renewedFor := runIsolatedLeader(t, func(c *cluster, old *member) {
		c.cutOff(old, 0, storeNoAnswer)
		go func() {
			for range 100 {
				old.NoteStoreAnswer()
				time.Sleep(directoryPollInterval)
			}
		}()
	})
	assert.Less(t, renewedFor, maxLeaderOverlap)
}

func TestLeaderCutOffWithHalfOfTheOthersRenewsLeasesWithoutEnd(t *testing.T) {
	renewedFor := runIsolatedLeader(t, func(c *cluster, old *member) { c.cutOff(old, 2, storeNoAnswer) })
	assert.Less(t, renewedFor, maxLeaderOverlap)
}
