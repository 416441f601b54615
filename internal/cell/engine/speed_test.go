package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// Urgent runs spread over workers of all speeds end late on the slow ones.
func TestUrgentJobsEndInTimeOnUnevenWorkers(t *testing.T) {
	for _, c := range []struct {
		name       string
		multiplier float64
	}{{"half load", 1}, {"nearly full", 1.6}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inTime := make(map[bool]float64)
			for _, on := range []bool{false, true} {
				w := newUnevenWorld(t, 120, on)
				load := newUnevenLoad(w)
				load.submitFor(6*time.Second, c.multiplier)
				from := w.now
				load.submitFor(6*time.Second, c.multiplier)
				to := w.now
				used := w.usedBySpeed()
				w.run(5 * time.Second)
				counts := w.countJobs("urgent", from, to)
				inTime[on] = float64(counts.inTime) / float64(counts.submitted)
				t.Logf("feature %v: %+v, CPU in use by speed %.2f", on, counts, used)
			}
			assert.GreaterOrEqual(t, inTime[true], inTime[false]+0.08)
			assert.GreaterOrEqual(t, inTime[true], 0.88, "one job in eleven has a task that takes seven times as long")
		})
	}
}

// Work that prefers slow workers must not wait for them while faster ones are idle.
func TestNoFastWorkerIsIdleBesideWaitingWork(t *testing.T) {
	w := newUnevenWorld(t, 60, true)
	for range 40 {
		w.submit("plain", "a", tasks(20, 8000, 2*time.Second))
	}
	w.run(200 * time.Millisecond)
	waiting := 0
	for _, s := range w.engine.openSteps {
		waiting += s.waiting
	}
	assert.Positive(t, waiting)
	for _, worker := range w.engine.workerList {
		assert.Less(t, worker.free().CPU, int64(8000), worker.id)
	}
}

// Batch tasks on fast workers would leave urgent ones no room there.
func TestOtherWorkLeavesFastWorkersFree(t *testing.T) {
	w := newUnevenWorld(t, 60, true)
	w.submit("plain", "a", tasks(100, 8000, 2*time.Second))
	w.run(200 * time.Millisecond)
	used := w.usedBySpeed()
	assert.Greater(t, used[0], 0.5)
	assert.Less(t, used[2], 0.05)
}

// A step with little time left must not be put on workers on which it ends late.
func TestWorkWithLittleTimeLeftAvoidsSlowWorkers(t *testing.T) {
	w := newUnevenWorld(t, 60, true)
	w.policy.Queue("plain").Stretch, w.policy.Queue("plain").LatencyTarget = 1.3, 0
	w.submit("plain", "a", tasks(20, 8000, 2*time.Second))
	w.run(200 * time.Millisecond)
	used := w.usedBySpeed()
	assert.Less(t, used[0], 0.05)
	assert.Greater(t, used[1], 0.05)
}

// A fleet of equal workers, or one whose speeds are not known, is packed as without the feature.
func TestEqualWorkersArePackedAsWithoutTheFeature(t *testing.T) {
	for _, workers := range []int{40, 500} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			var starts [2]map[string]string
			for i := range starts {
				w := newUnevenWorld(t, workers, i == 1)
				w.slownessOf = nil
				w.startLeader()
				starts[i] = make(map[string]string)
				w.run(time.Second)
				load, r := newUnevenLoad(w), rand.New(rand.NewPCG(3, 3))
				for range 30 {
					load.submitFor(100*time.Millisecond, 2)
					w.submit("plain", "a", tasks(1+r.IntN(30), 1000+r.Int64N(20_000), time.Second))
					if r.IntN(3) == 0 {
						w.engine.workers[w.ids[r.IntN(workers)]].health.failures = r.IntN(3)
					}
					for _, worker := range w.engine.workerList {
						for _, run := range worker.runs {
							starts[i][fmt.Sprint(run.task.name, run.number)] = worker.id
						}
					}
				}
			}
			require.Greater(t, len(starts[0]), 100)
			assert.Equal(t, starts[0], starts[1])
		})
	}
}

// A gang runs at the pace of its slowest member, so faster members waste fast workers.
func TestGangTakesWorkersOfOneSpeed(t *testing.T) {
	w := newUnevenWorld(t, 90, true)
	w.slownessOf = func(id string) float64 { return unevenSlowness[speedOf(id)] }
	w.isGood = func(job.StepRef, string) bool { return true }
	w.startLeader()
	w.run(time.Second)
	for range 3 {
		w.submit("gangs", "a", gang(20, 18_000, 3400*time.Millisecond))
		w.run(2500 * time.Millisecond)
	}
	require.Len(t, w.gangs, 3)
	for name, g := range w.gangs {
		speeds := make(map[int]bool)
		for _, s := range g.workers {
			speeds[speedOf(s.id)] = true
		}
		assert.Len(t, speeds, 1, name)
	}
}

// On a large fleet a step is placed on a sample of the workers. Chosen by free CPU alone it
// lacks the workers of the preferred speed.
func TestSampleOfALargeFleetContainsThePreferredSpeed(t *testing.T) {
	for _, c := range []struct {
		queue    string
		busy     int // speed of the workers that the sample would be taken from
		expected int
	}{{"urgent", 0, 2}, {"batch", 2, 0}} {
		t.Run(c.queue, func(t *testing.T) {
			w := newWorld(t, 900, 1)
			w.useSpeeds()
			w.startLeader()
			w.run(time.Second)
			for _, worker := range w.engine.workerList {
				if speedOf(worker.id) == c.busy {
					worker.setUsed(job.Resources{CPU: 3000})
				}
			}
			id := w.submit(c.queue, "a", tasks(30, 2000, time.Second))
			w.run(100 * time.Millisecond)
			elsewhere := 0
			for _, task := range w.engine.jobs[id].occurrences[0].steps[0].tasks {
				require.Len(t, task.runs, 1)
				if speedOf(task.runs[0].worker.id) != c.expected {
					elsewhere++
				}
			}
			assert.LessOrEqual(t, elsewhere, 3, "estimates are off by 0.1, so some workers are in the wrong class")
		})
	}
}

// The adviser is asked about the workers with the most free CPU, of a large fleet only about some.
// They must include those of the preferred speed.
func TestAdviserIsAskedAboutWorkersOfThePreferredSpeed(t *testing.T) {
	w := newUnevenWorld(t, 1500, true)
	w.slownessOf = func(id string) float64 { return unevenSlowness[speedOf(id)] }
	w.startLeader()
	w.run(time.Second)
	for _, worker := range w.engine.workerList {
		if speedOf(worker.id) == 0 {
			worker.setUsed(job.Resources{CPU: 30_000})
		}
	}
	w.engine.actions = nil
	w.addOpenJob("batch", tasks(25, 6900, 1900*time.Millisecond))
	w.addOpenJob("urgent", tasks(3, 9900, 540*time.Millisecond))
	w.engine.place()
	slow, fast := 0, 0
	for _, action := range w.engine.actions {
		call, ok := action.(*AdviceCall)
		if !ok {
			continue
		}
		for _, id := range call.Workers {
			if call.step.job().queue == "batch" {
				slow++
				assert.Equal(t, 0, speedOf(id))
			} else {
				fast++
				assert.Equal(t, 2, speedOf(id))
			}
		}
	}
	assert.GreaterOrEqual(t, min(slow, fast), minWorkersAsked)
}

// Steps that ask at the same time must not all ask about the same fast workers.
func TestCallsAboutFastWorkersSpread(t *testing.T) {
	w := newUnevenWorld(t, 90, true)
	w.engine.actions = nil
	for range 12 {
		w.addOpenJob("urgent", tasks(3, 30_000, 540*time.Millisecond))
	}
	w.engine.place()
	asked := make(map[string]int)
	for _, action := range w.engine.actions {
		if call, ok := action.(*AdviceCall); ok {
			for _, id := range call.Workers {
				asked[id]++
			}
		}
	}
	most := slices.Max(slices.Collect(func(yield func(int) bool) {
		for _, n := range asked {
			if !yield(n) {
				return
			}
		}
	}))
	assert.LessOrEqual(t, most, 3, "a worker holds two of the tasks")
	assert.Greater(t, len(asked), 60)
}

// A speculative run on a worker that is as slow as the straggler's does not end before it.
func TestSpeculativeRunGoesToAFasterWorker(t *testing.T) {
	w := newWorld(t, 6, 1)
	slowness := map[string]float64{"w00": 2, "w01": 2, "w02": 2, "w03": 2, "w04": 1, "w05": 0.5}
	for id, s := range slowness {
		w.workers[id].slowdown = s
	}
	w.features.SpeedPlacement = true
	w.slownessOf = func(id string) float64 { return slowness[id] }
	w.startLeader()
	w.run(time.Second)
	step := tasks(1, 6000, 2*time.Second)
	step.Speculative = true
	id := w.submit("batch", "a", step)
	w.run(200 * time.Millisecond)
	task := w.engine.jobs[id].occurrences[0].steps[0].tasks[0]
	require.Len(t, task.runs, 1)
	straggler := task.runs[0].worker
	assert.InDelta(t, 2, slowness[straggler.id], 0)
	w.workers[straggler.id].slowdown = 10
	w.run(2500 * time.Millisecond)
	require.Len(t, task.runs, 2)
	assert.Equal(t, "w05", task.runs[1].worker.id)
}

// The interval between jobs that come too late and those in time must not make fast workers
// attractive to work that is of no more use to its caller.
func TestSlownessUpToWhichAStepEndsInTime(t *testing.T) {
	w := newUnevenWorld(t, 6, true)
	s := w.addOpenJob("plain", tasks(1, 1000, 2*time.Second)) // objective 11 s
	e := w.engine
	q := w.policy.Queue("plain")
	assert.InDelta(t, 5.4, e.preferenceOf(s, q).maxSlowness, 0.1)
	e.now = e.now.Add(10 * time.Second)
	assert.InDelta(t, 11.4, e.preferenceOf(s, q).maxSlowness, 0.1, "late, with three times the objective")
	e.now = e.now.Add(30 * time.Second)
	assert.True(t, math.IsInf(e.preferenceOf(s, q).maxSlowness, 1))
}

// Placement by speed breaks no rule when workers restart, links fail and leaders change.
func TestRandomFaultsWithSpeeds(t *testing.T) {
	for seed := uint64(1); seed <= min(25, seedCount()); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 6, seed)
			w.useChangingSpeeds(seed)
			w.startLeader()
			runRandomFaultsIn(t, w, seed)
		})
	}
}
