package engine

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// Guards against headroom that counts pieces too small for an urgent task, that outlasts the
// urgent work, or that keeps most of a fleet idle.
func TestHeadroomFollowsArrivals(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := &pool{capacity: 80_000}
	for range 10 {
		p.workers = append(p.workers, &worker{listed: true, capacity: job.Resources{CPU: 8000}, used: job.Resources{CPU: 1000}})
	}
	assert.EqualValues(t, math.MaxInt64, p.cpuBesideHeadroom(now), "nothing arrives")
	for range 40 { // 20 tasks of 2 cores per second
		p.urgent.add(1, 2000, now)
	}
	kept := 60_000 - p.cpuBesideHeadroom(now) // each worker has room for three tasks of 2 cores
	assert.EqualValues(t, 8000, kept, "a tenth of the service")
	assert.Less(t, 60_000-p.cpuBesideHeadroom(now.Add(time.Second)), kept, "fewer arrive")
	assert.EqualValues(t, math.MaxInt64, p.cpuBesideHeadroom(now.Add(10*time.Second)))
}

// Guards against batch work that fills the fleet to the last core while urgent jobs arrive, so
// that each of these waits for an end.
func TestBatchLeavesHeadroomForUrgentJobs(t *testing.T) {
	waits := func(headroom bool) time.Duration {
		w := newWorld(t, 24, 3)
		w.features.Headroom = headroom
		w.startLeader()
		w.run(time.Second)
		var urgent []string
		for range 60 {
			urgent = append(urgent, w.submit("urgent", "a", tasks(1, 2000, 200*time.Millisecond)))
			w.submit("batch", "a", tasks(12, 1000, 2*time.Second))
			w.run(100 * time.Millisecond)
		}
		total := time.Duration(0)
		for _, id := range urgent {
			if started, ok := w.firstStart[id]; ok {
				total += started.Sub(w.submittedAt[id])
			}
		}
		return total / time.Duration(len(urgent))
	}
	without, with := waits(false), waits(true)
	t.Logf("urgent jobs wait %v without headroom, %v with it", without, with)
	assert.Less(t, with, without)
}
