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
	"pollenbend/internal/verdict"
)

// takeoverBound is how long an instance may be without a leader after the leader's
// process has ended, in a cell whose store answers.
const takeoverBound = 1500 * time.Millisecond

// callerBound is how long callers try to hand in a job: no change of leaders may take
// longer.
const callerBound = 3 * time.Second

func spec(id string) *job.Spec {
	return &job.Spec{ID: id, Queue: "q", Team: "a", Payload: "p", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000, MemMB: 10}, Estimate: time.Hour}}}
}

// submitted hands in a job and asks again while the verdict allows it.
func submitted(t *testing.T, m *member, id string, within time.Duration) {
	t.Helper()
	begun := time.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := m.Submit(ctx, spec(id))
		cancel()
		if err == nil && answer.Outcome == engine.OK {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if time.Since(begun) > within {
			require.NoError(t, err, "%s is not accepted at %s after %v: %s", id, m.set.Instance, time.Since(begun), answer.Why)
			require.Equal(t, engine.OK, answer.Outcome, answer.Why)
		}
	}
	assert.LessOrEqual(t, time.Since(begun), within)
}

func status(t *testing.T, m *member, id string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := m.Status(ctx, id, "a")
	require.NoError(t, err)
	return answer.State
}

func TestOneInstanceLeadsAndAllReachIt(t *testing.T) {
	play(t, 5, func(t *testing.T, c *cluster) {
		require.NotNil(t, c.leader())
		for _, m := range c.all() {
			submitted(t, m, "job-"+m.set.Instance, 100*time.Millisecond)
			assert.True(t, m.Ready())
		}
	})
}

func TestLeaderDies(t *testing.T) {
	play(t, 5, func(t *testing.T, c *cluster) {
		submitted(t, c.follower(), "before", 100*time.Millisecond)
		c.kill(c.leader())
		submitted(t, c.follower(), "after", takeoverBound)
		for _, m := range c.all() {
			assert.NotEmpty(t, status(t, m, "before"))
		}
	})
}

func TestLeaderIsCutOff(t *testing.T) {
	play(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		submitted(t, old, "before", 100*time.Millisecond)
		c.mu.Lock()
		c.cut[old.set.Instance] = true
		c.mu.Unlock()
		old.access.set(silent)
		time.Sleep(2 * time.Second)
		submitted(t, c.follower(), "after", 100*time.Millisecond)
		assert.NotEmpty(t, status(t, c.follower(), "before"))
	})
}

func TestLeaderThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	play(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		old.access.set(refuses)
		submitted(t, c.follower(), "after", takeoverBound)
		assert.NotSame(t, old, c.leader())
	})
}

// An instance that the store turns away learns from the others who leads, after the
// leader that it knew is gone.
func TestInstanceWithoutTheStoreFindsTheNextLeader(t *testing.T) {
	for name, mode := range map[string]mode{"refused": refuses, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			play(t, 7, func(t *testing.T, c *cluster) {
				cutOff := c.follower()
				cutOff.access.set(mode)
				time.Sleep(3 * time.Second)
				submitted(t, cutOff, "before", 100*time.Millisecond)
				c.kill(c.leader())
				submitted(t, cutOff, "after", callerBound)
				submitted(t, cutOff, "later", 100*time.Millisecond)
			})
		})
	}
}

// The same for the leader itself, which the store turns away with a third of the
// instances.
func TestDeposedLeaderFollowsItsSuccessorWithoutTheStore(t *testing.T) {
	play(t, 9, func(t *testing.T, c *cluster) {
		old := c.leader()
		turned := []*member{old}
		for _, m := range c.all() {
			if m != old && len(turned) < 3 {
				turned = append(turned, m)
			}
		}
		for _, m := range turned {
			m.access.set(refuses)
		}
		time.Sleep(3 * time.Second)
		for _, m := range turned {
			submitted(t, m, "job-"+m.set.Instance, 100*time.Millisecond)
		}
	})
}

func TestDrainedLeaderIsReplaced(t *testing.T) {
	play(t, 4, func(t *testing.T, c *cluster) {
		old := c.leader()
		begun := time.Now()
		old.Drain(context.Background())
		submitted(t, c.follower(), "next", 100*time.Millisecond) // no ping has to find out first
		assert.Less(t, time.Since(begun), 100*time.Millisecond)
		assert.NotSame(t, old, c.leader())
		time.Sleep(100 * time.Millisecond)
		assert.False(t, old.Ready())
		submitted(t, old, "late", 100*time.Millisecond)
	})
}

// Without a leader a request is refused soon, as not run.
func TestRequestWithoutALeaderIsRefused(t *testing.T) {
	play(t, 3, func(t *testing.T, c *cluster) {
		m := c.follower()
		for _, other := range c.all() {
			other.access.set(silent)
		}
		c.kill(c.leader())
		time.Sleep(time.Second)
		begun := time.Now()
		_, err := m.Submit(context.Background(), spec("none"))
		require.Error(t, err)
		var e *verdict.Error
		require.ErrorAs(t, err, &e)
		assert.Equal(t, verdict.NotRun, e.Verdict)
		assert.Positive(t, e.RetryAfter)
		assert.LessOrEqual(t, time.Since(begun), noLeaderWait+100*time.Millisecond)
	})
}

// Weak instances take seconds to load a large state, so they leave the leadership to
// strong ones, and follow them as soon as these lead.
func TestStrongInstancesLead(t *testing.T) {
	play(t, 3, func(t *testing.T, c *cluster) {
		var weak []*member
		for i := range 6 {
			weak = append(weak, c.start(fmt.Sprintf("i%d", 10+i), 0.2))
		}
		time.Sleep(time.Second)
		for range 2 {
			c.kill(c.leader())
			for _, m := range weak {
				submitted(t, m, "job-"+m.set.Instance, takeoverBound)
			}
			assert.InDelta(t, 1, c.leader().set.CPUShare, 0)
			time.Sleep(time.Second)
		}
		c.kill(c.leader())
		submitted(t, weak[0], "last", callerBound) // only weak ones are left
	})
}

// The store is away for all instances, and comes back for all. Its leader goes on,
// and hands over to nobody.
func TestLeaderStaysWhenTheStoreComesBack(t *testing.T) {
	for name, mode := range map[string]mode{"refused": refuses, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			play(t, 3, func(t *testing.T, c *cluster) {
				for i := range 6 {
					c.start(fmt.Sprintf("i%d", 10+i), 0.2)
				}
				time.Sleep(time.Second)
				old := c.leader()
				for _, m := range c.all() {
					m.access.set(mode)
				}
				_, err := old.Submit(shortly(t), spec("lost"))
				t.Log("submitted into the outage:", err)
				time.Sleep(150 * time.Millisecond)
				for _, m := range c.all() {
					m.access.set(serves)
				}
				submitted(t, c.follower(), "after", time.Second) // though an append was under way
				time.Sleep(3 * time.Second)
				assert.Same(t, old, c.leader())
			})
		})
	}
}

// shortly returns a context that lasts as long as a caller waits.
func shortly(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), callerBound)
	t.Cleanup(cancel)
	return ctx
}

// The store swallows the calls of the leader alone: another instance leads before
// callers give up on an urgent job.
func TestLeaderThatTheStoreIgnoresHandsOver(t *testing.T) {
	play(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		old.access.set(silent)
		submitted(t, c.follower(), "after", 2*time.Second)
		assert.NotSame(t, old, c.leader())
	})
}

// A store that is slow for all is no reason to change leaders.
func TestSlowStoreKeepsItsLeader(t *testing.T) {
	play(t, 5, func(t *testing.T, c *cluster) {
		old := c.leader()
		for _, m := range c.all() {
			m.access.slow(90)
		}
		for i := range 20 {
			_, err := c.follower().Submit(shortly(t), spec(fmt.Sprintf("job-%d", i)))
			t.Log(err)
			time.Sleep(300 * time.Millisecond)
		}
		assert.Same(t, old, c.leader())
	})
}

// An instance that has led before leads again. Its directory is as it was at its
// first term; the new term knows the workers all the same.
func TestInstanceLeadsTwice(t *testing.T) {
	play(t, 2, func(t *testing.T, c *cluster) {
		first := c.leader()
		submitted(t, first, "first", 100*time.Millisecond)
		first.access.set(refuses)
		submitted(t, c.follower(), "second", callerBound)
		first.access.set(serves)
		time.Sleep(3 * time.Second)
		c.kill(c.leader())
		submitted(t, first, "third", takeoverBound)
		assert.Same(t, first, c.leader())
	})
}
