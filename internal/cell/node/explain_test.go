package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/verdict"
)

// An operator does not know which instance leads, and an explained job must not run.
func TestExplanationReachesLeaderFromEveryInstance(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		require.NotNil(t, c.leader())
		submitWithin(t, c.follower(), "known", time.Second)
		for _, m := range c.all() {
			time.Sleep(time.Second) // at most two explanations are made in a second
			ctx := callerContext(t)
			answer, err := m.Explain(ctx, spec("new"), "")
			require.NoError(t, err)
			require.Equal(t, engine.OK, answer.Outcome, answer.Why)
			require.NotNil(t, answer.Explanation)
			assert.Equal(t, engine.VerdictAccepted, answer.Explanation.Verdict)
			assert.Len(t, answer.Explanation.Steps, 1)
			found, err := m.Status(ctx, "new", engine.Caller{Team: "a"})
			require.NoError(t, err)
			assert.Equal(t, engine.NotFound, found.Outcome)
			known, err := m.Explain(ctx, nil, "known")
			require.NoError(t, err)
			require.NotNil(t, known.Explanation)
			assert.Equal(t, engine.StateRunning, known.Explanation.Verdict)
			time.Sleep(time.Second)
			learned, err := m.Runtimes(ctx)
			require.NoError(t, err)
			assert.NotNil(t, learned.Runtimes)
		}
	})
}

// Without a leader an operator must get an error in time, not a hanging request.
func TestExplanationWithoutLeaderIsRefused(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		m := c.follower()
		for _, other := range c.all() {
			other.store.setMode(storeNoAnswer)
		}
		c.kill(c.leader())
		time.Sleep(time.Second)
		_, err := m.Explain(callerContext(t), spec("none"), "")
		var e *verdict.Error
		require.ErrorAs(t, err, &e)
		assert.Equal(t, verdict.NotRun, e.Verdict)
	})
}
