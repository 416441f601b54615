package reservation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

var now = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

func cores(n int64) job.Resources { return job.Resources{CPU: 1000 * n, MemMB: n} }

// busy returns a worker with free cores on which runs of 4 cores end at the given times.
func busy(free int64, ends ...float64) Worker {
	w := Worker{Free: cores(free), MaxTasks: 100}
	for _, end := range ends {
		w.Releases = append(w.Releases, Release{at(end), cores(4)})
	}
	return w
}

func (w Worker) held(from float64, n int64) Worker {
	w.Holds = append(w.Holds, Hold{at(from), cores(n)})
	return w
}

func (w Worker) atMost(n int) Worker {
	w.MaxTasks = n
	return w
}

func (w Worker) notBefore(seconds float64) Worker {
	w.NotBefore = at(seconds)
	return w
}

func (w Worker) preferred() Worker {
	w.Preferred = true
	return w
}

func TestFind(t *testing.T) {
	for _, c := range []struct {
		name    string
		need    int64
		count   int
		from    float64
		workers []Worker
		start   float64 // negative if there is no plan
		shares  []Share
	}{
		{"now, where most tasks fit", 4, 3, 0, []Worker{busy(4), busy(8), busy(4)}, 0, []Share{{1, 2}, {0, 1}}},
		{"where runs end soonest, not where most is free", 8, 1, 0, []Worker{busy(7, 9), busy(0, 2, 3)}, 3, []Share{{1, 1}}},
		{"at the last of the needed ends", 4, 3, 0, []Worker{busy(0, 5), busy(0, 1, 2), busy(0, 4)}, 4, []Share{{1, 2}, {2, 1}}},
		{"only as many tasks as needed on the last worker", 4, 2, 0, []Worker{busy(4), busy(0, 3), busy(12)}, 0, []Share{{2, 2}}},
		{"not before the earliest start", 4, 2, 6, []Worker{busy(0, 5), busy(0, 7), busy(0, 4)}, 6, []Share{{0, 1}, {2, 1}}},
		{"at most the maximum on one worker", 2, 3, 0, []Worker{busy(12).atMost(2), busy(0, 8)}, 8, []Share{{0, 2}, {1, 1}}},
		{"never on a worker that may get none", 4, 1, 0, []Worker{busy(12).atMost(0)}, -1, nil},
		{"never if it is too wide", 4, 4, 0, []Worker{busy(4, 1), busy(0, 1)}, -1, nil},
		{"beside what is held", 4, 2, 0, []Worker{busy(4, 3).held(1, 4), busy(0, 2)}, 3, []Share{{1, 1}, {0, 1}}},
		{"not in capacity that is held later", 8, 1, 0, []Worker{busy(8).held(30, 4), busy(0, 2, 3)}, 3, []Share{{1, 1}}},
		{"not before its worker may start tasks", 4, 1, 0, []Worker{busy(8).notBefore(3), busy(0, 4)}, 3, []Share{{0, 1}}},
		{"preferred workers first among equals", 4, 1, 0, []Worker{busy(8), busy(4).preferred()}, 0, []Share{{1, 1}}},
		{"on a worker that is in use beyond its capacity, once that has ended", 4, 1, 0, []Worker{busy(-4, 1, 2)}, 2, []Share{{0, 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan, ok := Find(Request{Need: cores(c.need), Count: c.count, From: at(c.from)}, c.workers)
			assert.Equal(t, c.start >= 0, ok)
			if ok {
				assert.Equal(t, at(c.start), plan.Start)
				assert.Equal(t, c.shares, plan.Shares)
			}
		})
	}
}

func TestFindNamesTheWorkersThatAreFreeNext(t *testing.T) {
	workers := []Worker{busy(0, 9), busy(0, 1, 2), busy(0, 3), busy(0, 2.5)}
	plan, ok := Find(Request{Need: cores(4), Count: 1, From: now, Spare: 2}, workers)
	assert.True(t, ok)
	assert.Equal(t, []Share{{1, 1}}, plan.Shares)
	assert.Equal(t, []int{3, 2}, plan.Spare)
}

func TestFreeUntil(t *testing.T) {
	for _, c := range []struct {
		name   string
		worker Worker
		end    float64
		free   int64
	}{
		{"all that is free if the task ends before the hold", busy(6).held(2, 6), 2, 6},
		{"what is left beside the hold otherwise", busy(6).held(2, 4), 2.1, 2},
		{"what runs until then is free for the hold", busy(6, 1).held(2, 8), 9, 2},
		{"what ends later is not", busy(6, 3).held(2, 8), 9, -2},
		{"nothing beyond what is free now", busy(2, 1).held(2, 4), 9, 2},
		{"a hold from now on", busy(6, 1).held(0, 4), 0.5, 2},
		{"the least beside several holds", busy(8, 1).held(2, 4).held(3, 6), 9, 2},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, cores(c.free), c.worker.FreeUntil(now, at(c.end))) })
	}
}

func TestSlipBound(t *testing.T) {
	assert.Equal(t, time.Second, SlipBound(time.Second))
	assert.Equal(t, 3*time.Second, SlipBound(12*time.Second))
}
