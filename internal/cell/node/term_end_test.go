package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
)

func TestLeaderThatWasPausedRenewsLeases(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		require.NotNil(t, old)
		l := old.ownTerm.Load()
		l.post(&engine.Pending{Queue: "q", Reply: func(engine.Answer) { time.Sleep(maxRoundDuration + time.Millisecond) }}) // holds the engine up
		time.Sleep(maxRoundDuration + 2*time.Second)
		assert.Error(t, l.ctx.Err(), "the term has ended")
		assert.NotNil(t, c.leader())
	})
}

func TestEventThatTheEngineCannotHandleEndsTheProcess(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		require.NotNil(t, old)
		l := old.ownTerm.Load()
		l.post(&engine.Pending{Queue: "q", Reply: func(engine.Answer) { panic("planted") }})
		time.Sleep(3 * time.Second)
		assert.Error(t, l.ctx.Err(), "the term has ended")
		assert.NotNil(t, c.leader())
	})
}

func TestSuspendedMachineCountsAsNotPaused(t *testing.T) {
	from := time.Now()
	woken := from.Add(time.Millisecond)
	assert.Equal(t, time.Millisecond, elapsed(from, woken))
	assert.Equal(t, time.Hour, elapsed(from, from.Round(0).Add(time.Hour)).Round(time.Second))
}
