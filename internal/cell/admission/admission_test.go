package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	urgent := Job{CriticalPath: 800 * time.Millisecond, Objective: 1450 * time.Millisecond}
	batch := Job{CriticalPath: 3 * time.Second, Objective: 15 * time.Second}
	small := batch
	small.Cores = 10
	overEntitlement := batch
	overEntitlement.OverEntitlement = true
	for _, c := range []struct {
		name   string
		job    Job
		load   Load
		accept bool
	}{
		{"idle fleet", urgent, Load{Capacity: 100, Free: 100}, true},
		{"waiting tasks fit into free cores", urgent, Load{Capacity: 100, Free: 50, WaitingCores: 40, WaitingCoreSeconds: 400}, true},
		{"queue too long for urgent work", urgent, Load{Capacity: 100, Free: 5, WaitingCores: 90, WaitingCoreSeconds: 90}, false},
		{"same queue ahead of batch work", batch, Load{Capacity: 100, Free: 5, WaitingCores: 90, WaitingCoreSeconds: 90}, true},
		{"higher priorities occupy nearly the whole fleet", batch, Load{Capacity: 100, Free: 0, WaitingCores: 300, WaitingCoreSeconds: 300, HigherPriorityCores: 85}, false},
		{"over the entitlement on a fleet with free capacity", overEntitlement, Load{Capacity: 100, Free: 50, WaitingCores: 10, WaitingCoreSeconds: 30}, true},
		{"over the entitlement on a full fleet", overEntitlement, Load{Capacity: 100, Free: 0, WaitingCores: 50, WaitingCoreSeconds: 50}, false},
		{"gangs wait ahead, but the job fits into cores that they cannot use", small, Load{Capacity: 100, Free: 30, WaitingCores: 300, WaitingCoreSeconds: 900, HigherPriorityCores: 90, BackfillCores: 20}, true},
		{"gangs wait ahead, with too few cores that they cannot use", small, Load{Capacity: 100, Free: 30, WaitingCores: 300, WaitingCoreSeconds: 900, HigherPriorityCores: 90, BackfillCores: 5}, false},
		{"no worker", urgent, Load{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(c.job, c.load)
			assert.Equal(t, c.accept, d.Accept)
			assert.Equal(t, c.accept, d.Reason == "")
			if !c.accept {
				assert.GreaterOrEqual(t, d.RetryAfter, time.Second, "a refusal carries a retry delay")
			}
		})
	}
}

// The retry delay of a refused job grows with the queue, so that callers retry when
// the job could finish in time and not before.
func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	j := Job{CriticalPath: time.Second, Objective: 2 * time.Second}
	short := Decide(j, Load{Capacity: 100, WaitingCores: 200, WaitingCoreSeconds: 200})
	long := Decide(j, Load{Capacity: 100, WaitingCores: 900, WaitingCoreSeconds: 900})
	assert.False(t, short.Accept)
	assert.Greater(t, long.RetryAfter, short.RetryAfter)
	assert.LessOrEqual(t, long.RetryAfter, maxRetryDelay)
}

// Tasks lately waited longer than the job can, although cores are free: starts are limited
// by something else, and the job would wait as well. Without waiting tasks it would not.
func TestRecentWaitCountsWhileTasksWait(t *testing.T) {
	load := Load{Capacity: 100, Free: 50, WaitingCores: 10, BackfillCores: 50, RecentWait: 2 * time.Second}
	urgent := Job{Cores: 4, CriticalPath: time.Second, Objective: 2 * time.Second}
	d := Decide(urgent, load)
	assert.False(t, d.Accept)
	assert.Equal(t, minRetryDelay, d.RetryAfter)
	load.WaitingCores = 0
	assert.True(t, Decide(urgent, load).Accept)
	load.WaitingCores = 10
	urgent.Objective = 4 * time.Second
	assert.True(t, Decide(urgent, load).Accept, "it has time to wait")
}
