package engine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// backfillOn are the features under which gangs reserve.
var backfillOn = Features{Backfill: true}

// newBackfillWorld returns a world of 24 workers of 8 cores, all of them reported.
func newBackfillWorld(t *testing.T, f Features) *world {
	w := newWorld(t, 24, 7)
	w.features = f
	w.startLeader()
	w.run(time.Second)
	return w
}

// feed submits jobs of small tasks of 1 s, more than the workers can run, for a span.
func (w *world) feed(span time.Duration) { w.feedSmall(span, 12) }

// feedSmall submits 20 jobs of the given number of small tasks each second.
func (w *world) feedSmall(span time.Duration, count int) {
	for end := w.now.Add(span); w.now.Before(end); w.run(50 * time.Millisecond) {
		w.submit("batch", "a", tasks(count, 1000, time.Second))
		if w.feedShort {
			w.submit("batch", "a", tasks(2, 1000, 100*time.Millisecond))
		}
	}
}

// countReservations counts the reservations that slip and the runs on reserved resources under
// the present leader.
func (w *world) countReservations() (slipped, backfilled *int) {
	counts := make([]int, ReservationSlipped+1)
	w.engine.cfg.CountReservations = func(event ReservationEvent, n int) { counts[event] += n }
	return &counts[ReservationSlipped], &counts[RunBackfilled]
}

// Guards against resources that stay idle while gangs wait: while more work waits than half of
// the workers can run, more of the CPU is in use with backfill, and gangs start no later. The figures are means of
// several worlds, in which a task takes as long with backfill as without.
func TestBackfillUsesWhatGangsWaitFor(t *testing.T) {
	const worlds = 8
	play := func(t *testing.T, seed uint64, f Features) (used float64, waits time.Duration) {
		w := newLargeWorldOf(t, 140, seed)
		w.features = f
		w.runtime = func(ref job.TaskRef, step *job.Step) time.Duration {
			return scale(step.Estimate, math.Exp(0.25*seeded(ref.String()).NormFloat64()))
		}
		w.startLeader()
		samples := 0.0
		for range 20 {
			submitEvenLoad(w, time.Second, 2.3)
			if u, waiting := w.utilization(); waiting > 0.5 {
				used, samples = used+u, samples+1
			}
		}
		assert.Greater(t, samples, 5.0)
		return used / samples, w.meanWait("gangs")
	}
	var used, waits [2][worlds]float64 // without and with backfill
	t.Run("worlds", func(t *testing.T) {
		for i := range worlds {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for on, f := range []Features{{}, backfillOn} {
					u, d := play(t, largeWorldSeed+uint64(i), f)
					used[on][i], waits[on][i] = u/worlds, d.Seconds()/worlds
				}
			})
		}
	})
	sum := func(values [worlds]float64) (total float64) {
		for _, v := range values {
			total += v
		}
		return total
	}
	usedOff, waitsOff, usedOn, waitsOn := sum(used[0]), sum(waits[0]), sum(used[1]), sum(waits[1])
	t.Logf("without backfill %.3f in use, gangs wait %.2f s; with it %.3f, %.2f s", usedOff, waitsOff, usedOn, waitsOn)
	assert.GreaterOrEqual(t, usedOn, usedOff+0.03)
	assert.LessOrEqual(t, waitsOn, waitsOff)
}

// utilization returns the CPU in use and that of the waiting tasks, relative to the capacity.
func (w *world) utilization() (used, waiting float64) {
	capacity := 0.0
	for _, s := range w.workers {
		capacity += float64(s.capacity.CPU)
		for _, r := range s.runs {
			used += float64(r.need.CPU)
		}
	}
	for _, s := range w.engine.openSteps {
		waiting += float64(int64(s.waiting) * s.charge.CPU)
	}
	return used / capacity, waiting / capacity
}

// meanWait returns how long the accepted jobs of a queue waited for their start, until now if they
// have not started.
func (w *world) meanWait(queue string) time.Duration {
	sum, jobs := time.Duration(0), time.Duration(0)
	for id, spec := range w.specs {
		if spec.Queue != queue || !w.accepted[id] {
			continue
		}
		until, started := w.firstStart[id]
		if !started {
			until = w.now
		}
		sum, jobs = sum+until.Sub(w.submittedAt[id]), jobs+1
	}
	return sum / max(1, jobs)
}

// Guards against the starvation of wide work: a gang that needs a third of the workers starts
// when the tasks have ended that ran when its bound was reached.
func TestWideGangStartsWithinItsBoundUnderSmallTasks(t *testing.T) {
	// With the priority of the gang, the small tasks need 0.94 of the CPU, or they would come
	// first as their jobs are more urgent.
	for queue, count := range map[string]int{"gangs": 12, "batch": 9} {
		t.Run(queue, func(t *testing.T) {
			w := newBackfillWorld(t, backfillOn)
			w.feedSmall(3*time.Second, count)
			id := w.submit(queue, "a", gang(13, 5000, 2*time.Second))
			w.feedSmall(8*time.Second, count)
			assert.True(t, w.accepted[id], w.answers[id].Why)
			// The promised wait is at most the run time of a small task, the bound 1 s.
			assert.LessOrEqual(t, w.firstStart[id].Sub(w.submittedAt[id]), 3500*time.Millisecond)
			assert.Contains(t, w.firstStart, id)
		})
	}
}

// Guards against reservations that slip without end as the estimates are wrong: a gang starts
// within its promised wait, the bound and the run time of the longest task.
func TestGangStartsWithinItsBoundWithWrongEstimates(t *testing.T) {
	for name, factor := range map[string]func(n int) float64{
		"half":  func(int) float64 { return 0.5 },
		"twice": func(int) float64 { return 2 },
		"tails": func(n int) float64 { return []float64{1, 7}[min(1, n%33/32)] },
	} {
		t.Run(name, func(t *testing.T) {
			w := newBackfillWorld(t, backfillOn)
			slipped, backfilled := w.countReservations()
			n, longest := 0, time.Duration(0)
			w.runtime = func(_ job.TaskRef, step *job.Step) time.Duration {
				n++
				took := scale(step.Estimate, factor(n))
				if !step.Gang {
					longest = max(longest, took)
				}
				return took
			}
			w.feed(3 * time.Second)
			w.feedShort = true
			id := w.submit("gangs", "a", gang(13, 5000, 2*time.Second))
			w.feed(14 * time.Second)
			assert.Contains(t, w.firstStart, id)
			assert.LessOrEqual(t, w.firstStart[id].Sub(w.submittedAt[id]), longest+2500*time.Millisecond)
			assert.LessOrEqual(t, *slipped, 1)
			assert.Positive(t, *backfilled, "its workers are in use until its start is late")
		})
	}
}

// Guards against promises that are lost for good with the leader: each new leader promises
// anew, and the gang starts within the bound of the last one.
func TestGangStartsAfterChangesOfLeader(t *testing.T) {
	w := newBackfillWorld(t, backfillOn)
	w.feed(3 * time.Second)
	id := w.submit("advised", "a", gang(9, 5000, 2*time.Second))
	for range 3 {
		w.feed(700 * time.Millisecond)
		assert.NotNil(t, w.engine.jobs[id].occurrences[0].steps[0].reservation)
		w.startLeader()
	}
	last := w.now
	w.feed(8 * time.Second)
	assert.Contains(t, w.firstStart, id)
	assert.LessOrEqual(t, w.firstStart[id].Sub(last), 5*time.Second)
}

// Guards against a reservation that waits for a worker that has left: the gang starts on others.
func TestGangStartsAfterAWorkerOfItsReservationLeaves(t *testing.T) {
	w := newBackfillWorld(t, backfillOn)
	w.feed(3 * time.Second)
	id := w.submit("gangs", "a", gang(13, 5000, 2*time.Second))
	w.feed(200 * time.Millisecond)
	for range 3 {
		r := w.engine.jobs[id].occurrences[0].steps[0].reservation
		if !assert.NotNil(t, r) {
			return
		}
		leaving := r.shares[0].worker.id
		w.workers[leaving].unreachable = true
		w.workers[leaving].draining = true
		w.publishDirectory()
		w.feed(100 * time.Millisecond)
		if r := w.engine.jobs[id].occurrences[0].steps[0].reservation; r != nil {
			for _, sh := range r.shares {
				assert.NotEqual(t, leaving, sh.worker.id)
			}
		}
	}
	w.feed(6 * time.Second)
	assert.Contains(t, w.firstStart, id)
	assert.LessOrEqual(t, w.firstStart[id].Sub(w.submittedAt[id]), 4*time.Second)
}

// Guards against a wide task that never starts because small ones take each free core first.
func TestWideTaskStartsAmidSmallOnes(t *testing.T) {
	w := newBackfillWorld(t, backfillOn)
	w.feed(3 * time.Second)
	id := w.submit("batch", "a", tasks(1, 8000, time.Second))
	w.feed(6 * time.Second)
	assert.Contains(t, w.firstStart, id)
	assert.LessOrEqual(t, w.firstStart[id].Sub(w.submittedAt[id]), 4*time.Second)
}

// Guards against tasks that run into a reservation: of two tasks beside a gang that starts in
// two seconds, only the one that ends before it may use the reserved resources.
func TestOnlyTasksThatEndBeforeTheReservedStartAreBackfilled(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.features = backfillOn
	w.startLeader()
	events := make(map[ReservationEvent]int)
	w.engine.cfg.CountReservations = func(event ReservationEvent, n int) { events[event] += n }
	w.run(time.Second)
	w.submit("batch", "a", tasks(1, 8000, 2*time.Second))
	w.run(200 * time.Millisecond)
	waiting := w.submit("gangs", "a", gang(2, 8000, time.Second))
	w.run(100 * time.Millisecond)
	long, short := w.submit("batch", "a", tasks(1, 4000, 3*time.Second)), w.submit("batch", "a", tasks(1, 4000, 800*time.Millisecond))
	w.run(300 * time.Millisecond)
	assert.Contains(t, w.firstStart, short)
	assert.NotContains(t, w.firstStart, long)
	assert.Equal(t, 1, events[RunBackfilled])
	w.run(2 * time.Second)
	assert.Contains(t, w.firstStart, waiting)
	assert.Less(t, w.firstStart[waiting].Sub(w.submittedAt[waiting]), 2200*time.Millisecond)
	assert.Zero(t, events[ReservationSlipped])
}

// Guards against a change of the placement while the feature is off.
func TestNothingIsReservedWithoutTheFeature(t *testing.T) {
	w := newBackfillWorld(t, Features{})
	w.feed(2 * time.Second)
	id := w.submit("gangs", "a", gang(13, 5000, 2*time.Second))
	w.feed(300 * time.Millisecond)
	assert.Nil(t, w.engine.jobs[id].occurrences[0].steps[0].reservation)
	for _, x := range w.engine.workerList {
		assert.Empty(t, x.holds, fmt.Sprint(x.id))
	}
}
