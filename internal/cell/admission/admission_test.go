package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	urgent := Job{Chain: 800 * time.Millisecond, Objective: 1450 * time.Millisecond}
	batch := Job{Chain: 3 * time.Second, Objective: 15 * time.Second}
	small := batch
	small.Cores = 10
	overEntitlement := batch
	overEntitlement.Overdue = true
	for _, c := range []struct {
		name   string
		job    Job
		load   Load
		accept bool
	}{
		{"idle fleet", urgent, Load{Capacity: 100, Free: 100}, true},
		{"waiting tasks fit into free cores", urgent, Load{Capacity: 100, Free: 50, Waiting: 40, Ahead: 400}, true},
		{"queue too long for urgent work", urgent, Load{Capacity: 100, Free: 5, Waiting: 90, Ahead: 90}, false},
		{"same queue ahead of batch work", batch, Load{Capacity: 100, Free: 5, Waiting: 90, Ahead: 90}, true},
		{"higher priorities occupy nearly the whole fleet", batch, Load{Capacity: 100, Free: 0, Waiting: 300, Ahead: 300, Higher: 85}, false},
		{"over the entitlement on a fleet with free capacity", overEntitlement, Load{Capacity: 100, Free: 50, Waiting: 10, Ahead: 30}, true},
		{"over the entitlement on a full fleet", overEntitlement, Load{Capacity: 100, Free: 0, Waiting: 50, Ahead: 50}, false},
		{"gangs wait ahead, but the job fits into cores that they cannot use", small, Load{Capacity: 100, Free: 30, Waiting: 300, Ahead: 900, Higher: 90, Open: 20}, true},
		{"gangs wait ahead, with too few cores that they cannot use", small, Load{Capacity: 100, Free: 30, Waiting: 300, Ahead: 900, Higher: 90, Open: 5}, false},
		{"no worker", urgent, Load{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(c.job, c.load)
			assert.Equal(t, c.accept, d.Accept)
			assert.Equal(t, c.accept, d.Why == "")
			if !c.accept {
				assert.GreaterOrEqual(t, d.RetryAfter, time.Second, "a refusal carries a retry delay")
			}
		})
	}
}

// The retry delay of a refused job grows with the queue, so that callers retry when
// the job could finish in time and not before.
func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	j := Job{Chain: time.Second, Objective: 2 * time.Second}
	short := Decide(j, Load{Capacity: 100, Waiting: 200, Ahead: 200})
	long := Decide(j, Load{Capacity: 100, Waiting: 900, Ahead: 900})
	assert.False(t, short.Accept)
	assert.Greater(t, long.RetryAfter, short.RetryAfter)
	assert.LessOrEqual(t, long.RetryAfter, maxRetryDelay)
}
