package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
)

// fencingWorker answers each renewal that it has seen a newer leader.
type fencingWorker struct{ oneWorker }

// Renew implements Workers.
func (fencingWorker) Renew(_ context.Context, _ int64, renewal *engine.Renew) *engine.RenewalAnswered {
	time.Sleep(time.Millisecond)
	return &engine.RenewalAnswered{Worker: renewal.Worker, Incarnation: renewal.Incarnation, SentAt: time.Now(), Fenced: true}
}

// Guards against an entry of another writer whose address answers each call that it has seen a newer
// leader: each leader in turn stepped down.
func TestLeaderIsNotEndedByAWorkersWordAlone(t *testing.T) {
	runClusterWith(t, 3, func(c *cluster) {
		c.workersFor = func(string) Workers { return fencingWorker{} }
	}, func(t *testing.T, c *cluster) {
		leader := c.leader()
		require.NotNil(t, leader)
		term := leader.ownTerm.Load().rec.Term
		time.Sleep(20 * time.Second)
		require.NotNil(t, c.leader())
		assert.Equal(t, term, c.leader().ownTerm.Load().rec.Term)
		answer, err := c.leader().ownTerm.Load().ask(t.Context(), func(reply func(engine.Answer)) any {
			return &engine.Submit{Reply: reply, Spec: &job.Spec{ID: "0000000000000001", Queue: "q", Team: "a", Payload: "p",
				Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, Estimate: time.Second}}}}
		})
		require.NoError(t, err)
		assert.NotEqual(t, "another leader has taken over", answer.Why, "it answers again")
	})
}

// A leader that the record names no more ends its term when a worker tells it.
func TestLeaderThatWasReplacedEndsWhenAWorkerTells(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		require.NotNil(t, leader)
		l := leader.ownTerm.Load()
		c.store.mu.Lock()
		c.store.leaderships = append(c.store.leaderships, Leadership{Instance: "other", Session: "other", Address: "other:1"})
		c.store.mu.Unlock()
		l.post(&engine.RenewalAnswered{Worker: "w", Incarnation: 1, SentAt: time.Now(), Fenced: true})
		time.Sleep(50 * time.Millisecond)
		assert.Error(t, l.ctx.Err())
	})
}
