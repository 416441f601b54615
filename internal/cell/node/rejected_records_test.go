package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/record"
)

// Review case 8: an append that the store refused for the size of a record was repeated without end, and
// no other submission was accepted any more.
func TestRecordThatTheStoreRejectsKeepsBackNoOther(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.mu.Lock()
		c.store.maxRecordBytes = 2000
		c.store.mu.Unlock()
		large := spec("large")
		large.Payload = strings.Repeat("p", 3000)
		refused := make(chan engine.Answer, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), maxCallerWait)
			defer cancel()
			answer, err := c.leader().Submit(ctx, large)
			assert.NoError(t, err)
			refused <- answer
		}()
		for _, id := range []string{"beside-1", "beside-2", "beside-3"} {
			go submitWithin(t, c.leader(), id, time.Second)
		}
		answer := <-refused
		assert.Equal(t, engine.Refused, answer.Outcome)
		assert.Contains(t, answer.Why, "status 400")
		assert.Zero(t, answer.RetryAfter, "it is not worth repeating")
		submitWithin(t, c.leader(), "after", 100*time.Millisecond)
		time.Sleep(time.Second)
		c.store.mu.Lock()
		rejections := c.store.rejections
		c.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		assert.Equal(t, rejections, c.store.rejections, "it is not sent again")
		for _, id := range []string{"beside-1", "beside-2", "beside-3", "after"} {
			assert.Contains(t, c.store.records, record.JobKey(id))
		}
		assert.NotContains(t, c.store.records, record.JobKey("large"))
	})
}

func TestSplitBatchCountsTheFrames(t *testing.T) {
	records := make([]record.Record, 10)
	for i := range records {
		records[i] = record.Record{Key: "k", Value: make([]byte, 91)}
	}
	parts := splitBatch(records, 300)
	require.Len(t, parts, 4)
	assert.Len(t, parts[0], 3)
	assert.Len(t, parts[3], 1)
	assert.Len(t, splitBatch(records, 50), 10, "a larger record is appended on its own")
}
