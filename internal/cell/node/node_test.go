package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/verdict"
)

// maxTakeoverTime is how long instances may be without a leader after the leader's
// process has ended, in a cell whose store answers.
const maxTakeoverTime = 1500 * time.Millisecond

// maxCallerWait is how long callers try to submit a job. No change of leaders may take
// longer.
const maxCallerWait = 3 * time.Second

func spec(id string) *job.Spec {
	return &job.Spec{ID: id, Queue: "q", Team: "a", Payload: "p", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000, MemMB: 10}, Estimate: time.Hour}}}
}

// submitWithin submits a job to m and retries until it is accepted. It fails the test if
// that takes longer than limit.
func submitWithin(t *testing.T, m *member, id string, limit time.Duration) {
	t.Helper()
	start := time.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := m.Submit(ctx, spec(id))
		cancel()
		if err == nil && answer.Outcome == engine.OK {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if time.Since(start) > limit {
			require.NoError(t, err, "%s is not accepted at %s after %v: %s", id, m.settings.Instance, time.Since(start), answer.Why)
			require.Equal(t, engine.OK, answer.Outcome, answer.Why)
		}
	}
	assert.LessOrEqual(t, time.Since(start), limit)
}

func status(t *testing.T, m *member, id string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := m.Status(ctx, id, engine.Caller{Team: "a"})
	require.NoError(t, err)
	return answer.State
}

func TestSubmitReachesLeaderFromEveryInstance(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		require.NotNil(t, c.leader())
		for _, m := range c.all() {
			submitWithin(t, m, "job-"+m.settings.Instance, 100*time.Millisecond)
			assert.True(t, m.Ready())
		}
	})
}

func TestLeaderProcessEnds(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		submitWithin(t, c.follower(), "before", 100*time.Millisecond)
		c.kill(c.leader())
		submitWithin(t, c.follower(), "after", maxTakeoverTime)
		for _, m := range c.all() {
			assert.NotEmpty(t, status(t, m, "before"))
		}
	})
}

func TestLeaderLosesNetworkAndStore(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		submitWithin(t, old, "before", 100*time.Millisecond)
		c.mu.Lock()
		c.unreachable[old.settings.Instance] = true
		c.mu.Unlock()
		old.store.setMode(storeNoAnswer)
		time.Sleep(2 * time.Second)
		submitWithin(t, c.follower(), "after", 100*time.Millisecond)
		assert.NotEmpty(t, status(t, c.follower(), "before"))
	})
}

func TestLeaderRefusedByStoreHandsOver(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		old.store.setMode(storeRefuses)
		submitWithin(t, c.follower(), "after", maxTakeoverTime)
		assert.NotSame(t, old, c.leader())
	})
}

// An instance that cannot reach the store learns from the others who leads after the
// leader that it followed has ended.
func TestInstanceWithoutStoreFindsNextLeader(t *testing.T) {
	for name, mode := range map[string]storeMode{"refused": storeRefuses, "no answer": storeNoAnswer} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 7, func(t *testing.T, c *cluster) {
				withoutStore := c.follower()
				withoutStore.store.setMode(mode)
				time.Sleep(3 * time.Second)
				submitWithin(t, withoutStore, "before", 100*time.Millisecond)
				c.kill(c.leader())
				submitWithin(t, withoutStore, "after", maxCallerWait)
				submitWithin(t, withoutStore, "later", 100*time.Millisecond)
			})
		})
	}
}

// An instance that does not reach the store learns of an evacuation from the leader, and the leader
// of one that only a follower has read. An older revision never replaces a newer one.
func TestEvacuationsReachInstancesWithoutStore(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		evacuated := func(revision int64, zones ...string) *policy.Policy {
			p := *c.leader().Policy()
			p.Evacuations = policy.Evacuations{Revision: revision, Zones: zones}
			return &p
		}
		c.follower().setPolicy(evacuated(5, "z1"))
		time.Sleep(time.Second)
		for _, m := range c.all() {
			assert.Equal(t, []string{"z1"}, m.Policy().Evacuations.Zones, m.settings.Instance)
		}
		c.leader().setPolicy(evacuated(9))
		c.follower().setPolicy(evacuated(6, "z2"))
		time.Sleep(time.Second)
		for _, m := range c.all() {
			assert.Empty(t, m.Policy().Evacuations.Zones, m.settings.Instance)
			assert.EqualValues(t, 1, m.Policy().Version)
		}
	})
}

// The store refuses the leader and two of the other eight instances. They find the next
// leader without it.
func TestFormerLeaderFollowsSuccessorWithoutStore(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		old := c.leader()
		refused := []*member{old}
		for _, m := range c.all() {
			if m != old && len(refused) < 3 {
				refused = append(refused, m)
			}
		}
		for _, m := range refused {
			m.store.setMode(storeRefuses)
		}
		time.Sleep(3 * time.Second)
		for _, m := range refused {
			submitWithin(t, m, "job-"+m.settings.Instance, 100*time.Millisecond)
		}
	})
}

func TestDrainedLeaderIsReplaced(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		old := c.leader()
		start := time.Now()
		old.Drain(context.Background())
		submitWithin(t, c.follower(), "next", 100*time.Millisecond) // without waiting for the next ping
		assert.Less(t, time.Since(start), 100*time.Millisecond)
		assert.NotSame(t, old, c.leader())
		time.Sleep(100 * time.Millisecond)
		assert.False(t, old.Ready())
		submitWithin(t, old, "late", 100*time.Millisecond)
	})
}

// A request without a leader is refused within noLeaderTimeout, with the verdict NotRun.
func TestRequestWithoutLeaderIsRefused(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		m := c.follower()
		for _, other := range c.all() {
			other.store.setMode(storeNoAnswer)
		}
		c.kill(c.leader())
		time.Sleep(time.Second)
		start := time.Now()
		_, err := m.Submit(context.Background(), spec("none"))
		require.Error(t, err)
		var e *verdict.Error
		require.ErrorAs(t, err, &e)
		assert.Equal(t, verdict.NotRun, e.Verdict)
		assert.Positive(t, e.RetryAfter)
		assert.LessOrEqual(t, time.Since(start), noLeaderTimeout+100*time.Millisecond)
	})
}

// Instances with little CPU take seconds to load a large state. They leave the leadership
// to instances with more CPU and follow these as soon as they lead.
func TestInstancesWithMoreCPULead(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		var lowCPUMembers []*member
		for i := range 6 {
			lowCPUMembers = append(lowCPUMembers, c.start(fmt.Sprintf("i%d", 10+i), 0.2))
		}
		time.Sleep(time.Second)
		for range 2 {
			c.kill(c.leader())
			for _, m := range lowCPUMembers {
				submitWithin(t, m, "job-"+m.settings.Instance, maxTakeoverTime)
			}
			assert.InDelta(t, 1, c.leader().settings.CPUShare, 0)
			time.Sleep(time.Second)
		}
		c.kill(c.leader())
		submitWithin(t, lowCPUMembers[0], "last", maxCallerWait) // only low-CPU instances remain
	})
}

// The processor of the leader turns slow. Another instance takes over, not one that is
// slow as well, and leads on when the first one has recovered.
func TestSlowLeaderHandsOver(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		time.Sleep(minTermDuration)
		old := c.leader()
		alsoSlow := c.follower()
		alsoSlow.slowdown.Store(5)
		time.Sleep(2 * pingInterval)
		old.slowdown.Store(7)
		time.Sleep(moreCPUHandoverDelay + 3*pingInterval)
		successor := c.leader()
		require.NotNil(t, successor)
		assert.NotSame(t, old, successor)
		assert.NotSame(t, alsoSlow, successor)
		submitWithin(t, old, "after", 100*time.Millisecond)
		old.slowdown.Store(1)
		alsoSlow.slowdown.Store(1)
		time.Sleep(2 * minTermDuration)
		assert.Same(t, successor, c.leader())
	})
}

// If all instances are slow, for example because they share a host, there is none to hand
// over to.
func TestLeaderStaysIfAllAreSlow(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		old := c.leader()
		for _, m := range c.all() {
			m.slowdown.Store(5)
		}
		time.Sleep(2 * minTermDuration)
		assert.Same(t, old, c.leader())
	})
}

// After a store outage for all instances, the leader continues to lead and does not hand
// over.
func TestLeaderStaysAfterStoreOutage(t *testing.T) {
	for name, mode := range map[string]storeMode{"refused": storeRefuses, "no answer": storeNoAnswer} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, func(t *testing.T, c *cluster) {
				for i := range 6 {
					c.start(fmt.Sprintf("i%d", 10+i), 0.2)
				}
				time.Sleep(time.Second)
				old := c.leader()
				for _, m := range c.all() {
					m.store.setMode(mode)
				}
				_, err := old.Submit(callerContext(t), spec("lost"))
				t.Log("submitted during the outage:", err)
				time.Sleep(150 * time.Millisecond)
				for _, m := range c.all() {
					m.store.setMode(storeServes)
				}
				submitWithin(t, c.follower(), "after", time.Second) // although an append was in progress during the outage
				time.Sleep(3 * time.Second)
				assert.Same(t, old, c.leader())
			})
		})
	}
}

// callerContext returns a context that ends after maxCallerWait.
func callerContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), maxCallerWait)
	t.Cleanup(cancel)
	return ctx
}

// The store does not answer the leader but answers the others. Another instance leads
// before callers of an urgent job time out.
func TestLeaderWithoutStoreAnswersHandsOver(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		old.store.setMode(storeNoAnswer)
		submitWithin(t, c.follower(), "after", 2*time.Second)
		assert.NotSame(t, old, c.leader())
	})
}

// The store refuses the leader but answers the others. Callers are served again after the time
// that it takes to be sure of that and to tell the leader.
func TestLeaderRefusedByStoreHandsOverSoon(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		old := c.leader()
		old.store.setMode(storeRefuses)
		submitWithin(t, c.follower(), "after", storeRefusedHandoverDelay+2*pingInterval)
		assert.NotSame(t, old, c.leader())
	})
}

// The leader loses its power: nobody answers. Callers are served again once a ping and then the
// leadership record have told so, and the next leader is prepared.
func TestSilentLeaderIsReplacedSoon(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		time.Sleep(2 * time.Second)
		old := c.leader()
		caller := c.follower()
		c.mu.Lock()
		c.unreachable[old.settings.Instance] = true
		c.mu.Unlock()
		old.store.setMode(storeNoAnswer)
		submitWithin(t, caller, "after", pingInterval+slowPingDelay+staleRecordTimeout+2*campaignDelay+claimPollInterval+100*time.Millisecond)
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		assert.Greater(t, c.store.term, old.leading.Load().rec.Term)
	})
}

// Followers lose the leader for a while, but it renews its record: it leads on. The store may
// be slow.
func TestUnreachableLeaderThatRenewsLeadsOn(t *testing.T) {
	for _, slowdown := range []time.Duration{1, 70} {
		t.Run(fmt.Sprint(slowdown), func(t *testing.T) {
			runCluster(t, 5, func(t *testing.T, c *cluster) {
				old := c.leader()
				for _, m := range c.all() {
					m.store.setSlowdown(slowdown)
				}
				time.Sleep(time.Second)
				c.mu.Lock()
				c.unreachable[old.settings.Instance] = true
				c.mu.Unlock()
				time.Sleep(5 * time.Second)
				c.mu.Lock()
				c.unreachable[old.settings.Instance] = false
				c.mu.Unlock()
				time.Sleep(3 * time.Second)
				assert.Same(t, old, c.leader())
			})
		})
	}
}

// The store refuses single calls of the leader, as when connections are reset. It leads on.
func TestLeaderStaysWhenSingleStoreCallsFail(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		for range 20 {
			old.store.setMode(storeRefuses)
			time.Sleep(storeRefusedAnswerMargin)
			old.store.setMode(storeServes)
			time.Sleep(300 * time.Millisecond)
		}
		assert.Same(t, old, c.leader())
	})
}

// A store that is slow for all instances does not cause a change of leaders.
func TestSlowStoreKeepsLeader(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		for _, m := range c.all() {
			m.store.setSlowdown(90)
		}
		for i := range 20 {
			_, err := c.follower().Submit(callerContext(t), spec(fmt.Sprintf("job-%d", i)))
			t.Log("submitted while the store is slow:", err)
			time.Sleep(300 * time.Millisecond)
		}
		assert.Same(t, old, c.leader())
	})
}

// An instance leads a second time. Its directory reports no change since its first term,
// but the engine of the second term must receive the list of workers too.
func TestInstanceLeadsTwice(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		first := c.leader()
		submitWithin(t, first, "first", 100*time.Millisecond)
		first.store.setMode(storeRefuses)
		submitWithin(t, c.follower(), "second", maxCallerWait)
		first.store.setMode(storeServes)
		time.Sleep(3 * time.Second)
		c.kill(c.leader())
		submitWithin(t, first, "third", maxTakeoverTime)
		assert.Same(t, first, c.leader())
	})
}
