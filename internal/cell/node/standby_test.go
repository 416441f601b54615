package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/record"
)

// runLargeCluster runs f on a cluster that counts as large.
func runLargeCluster(t *testing.T, n int, f func(t *testing.T, c *cluster)) {
	runClusterWith(t, n, func(c *cluster) { c.directWorkers = 0 }, f)
}

// addEndedJobs adds the records of jobs that have ended, which a leader keeps for a while.
func (c *cluster) addEndedJobs(n int) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for i := range n {
		c.store.records[record.JobKey(fmt.Sprintf("%016x", i))] = record.Encode(&record.Job{State: record.Completed, Ended: time.Now().UnixMilli()})
	}
}

// slowStoreLatency is how long each call takes on a store that is slowStore times slower.
const (
	slowStore        = 70
	slowStoreLatency = slowStore * storeLatency
)

// The leader is lost while the store takes 280 ms for each call. Without a copy of the state,
// the next one would need fourteen calls for that alone.
func TestStandbyTakesOverOnSlowStore(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, old *member){
		"killed":      func(c *cluster, old *member) { c.kill(old) },
		"handed over": func(c *cluster, old *member) { old.slowdown.Store(7) },
	} {
		t.Run(name, func(t *testing.T) {
			runLargeCluster(t, 7, func(t *testing.T, c *cluster) {
				c.addEndedJobs(7000)
				time.Sleep(2 * time.Second)
				old := c.leader()
				standbys := warmMembers(c)
				require.Len(t, standbys, maxStandbys)
				for _, m := range c.all() {
					m.store.setSlowdown(slowStore)
				}
				time.Sleep(time.Second)
				start := time.Now()
				lose(c, old)
				for c.leader() == nil || c.leader() == old {
					time.Sleep(10 * time.Millisecond)
				}
				// To notice the loss, ask a standby, read the leadership record, claim it, fence, read what
				// was stored last, and apply the copy.
				assert.LessOrEqual(t, time.Since(start), moreCPUHandoverDelay+4*pingInterval+6*slowStoreLatency)
				assert.Contains(t, standbys, c.leader())
			})
		})
	}
}

// warmMembers returns the instances that have a copy of the state.
func warmMembers(c *cluster) []*member {
	var warm []*member
	for _, m := range c.all() {
		if m.warm() {
			warm = append(warm, m)
		}
	}
	return warm
}

// A standby that is lost is replaced, one that becomes slow too, and no further instance
// keeps a copy.
func TestLostStandbysAreReplaced(t *testing.T) {
	runLargeCluster(t, 6, func(t *testing.T, c *cluster) {
		time.Sleep(2 * time.Second)
		first := warmMembers(c)
		require.Len(t, first, maxStandbys)
		c.kill(first[0])
		first[1].slowdown.Store(5)
		time.Sleep(warmTimeout + 2*time.Second)
		second := warmMembers(c)
		assert.Len(t, second, maxStandbys)
		assert.NotContains(t, second, first[1])
		assert.False(t, first[1].store.refreshed, "its copy is freed")
	})
}

// A request to take over that arrives after another instance has done so changes nothing.
func TestLateRequestToTakeOverIsIgnored(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		term := old.leading.Load().rec.Term
		c.kill(old)
		time.Sleep(time.Second)
		next := c.leader()
		require.NotNil(t, next)
		for _, m := range c.all() {
			require.NoError(t, (&Service{m.Node}).TakeOver(&TakeOverArgs{Term: term}, nil))
		}
		time.Sleep(2 * time.Second)
		assert.Same(t, next, c.leader())
	})
}

// The leader and both standbys are lost at the same time.
func TestOtherInstanceLeadsWithoutStandbys(t *testing.T) {
	runLargeCluster(t, 6, func(t *testing.T, c *cluster) {
		time.Sleep(2 * time.Second)
		for _, m := range append(warmMembers(c), c.leader()) {
			c.kill(m)
		}
		submitWithin(t, c.follower(), "job", maxTakeoverTime)
	})
}

func TestChooseStandbys(t *testing.T) {
	now := time.Now()
	newFollower := func(name string, share, mbps float64, warm bool) *follower {
		return &follower{PingArgs: PingArgs{Instance: name, CPUShare: share, LinkMbps: mbps, Warm: warm}, pingedAt: now}
	}
	away := newFollower("i7", 1, 200, true)
	away.StoreAge = time.Minute
	live := []*follower{
		newFollower("i0", 1, 200, true), newFollower("i1", 0.2, 200, true), newFollower("i2", 1, 20, true), newFollower("i3", 0.9, 0, false),
		newFollower("i4", 1, 200, false), newFollower("i5", 0.8, 100, true), newFollower("i6", 0.8, 100, false), away,
	}
	large := &Settings{Instance: "i0", DirectWorkers: 400}
	choose := func(previous ...string) []string {
		return namesOf(large.chooseStandbys(live, previous, 1, 1000))
	}
	assert.Equal(t, []string{"i5", "i4"}, choose(), "not the leader, little CPU, a slow link, nor one without the store")
	assert.Equal(t, []string{"i6", "i5"}, choose("i6"), "previous ones stay")
	assert.Equal(t, []string{"i5", "i4"}, choose("i2", "i7"))
	assert.Equal(t, []string{"i2", "i5"}, namesOf((&Settings{Instance: "i0", DirectWorkers: 200}).chooseStandbys(live, nil, 1, 300)), "a smaller fleet needs less of a link")
	assert.Equal(t, []string{"i2"}, namesOf(large.chooseStandbys(live, nil, 1, 300)), "a fleet without relays")
	assert.Empty(t, large.chooseStandbys(live[:1], nil, 1, 300))
}
