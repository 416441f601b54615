package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// unevenSlowness is the slowness of the workers of the speeds 0.6, 1.0 and 1.6.
var unevenSlowness = [3]float64{1 / 0.6, 1, 1 / 1.6}

// seeded returns a source of random numbers that depends on the text alone.
func seeded(text string) *rand.Rand {
	seed := [32]byte{}
	copy(seed[:], text)
	return rand.New(rand.NewChaCha8(seed))
}

// speedOf returns the index in unevenSlowness of a worker of an uneven world.
func speedOf(id string) int { return seeded(id).IntN(3) }

// newWorldOfSpeeds returns a large world of workers of three speeds, which the engine knows with the
// given error.
func newWorldOfSpeeds(t testing.TB, workers int, on bool, spread float64) *world {
	return newWorldOfSpeedsOf(t, workers, largeWorldSeed, on, spread)
}

// newWorldOfSpeedsOf is newWorldOfSpeeds with a seed.
func newWorldOfSpeedsOf(t testing.TB, workers int, seed uint64, on bool, spread float64) *world {
	w := newLargeWorldOf(t, workers, seed)
	for id, s := range w.workers {
		s.slowdown = unevenSlowness[speedOf(id)]
	}
	w.features.SpeedPlacement = on
	w.slownessOf = func(id string) float64 {
		return unevenSlowness[speedOf(id)] * math.Exp(spread*seeded("error"+id).NormFloat64())
	}
	w.startLeader()
	w.run(time.Second)
	return w
}

// usedBySpeed returns the CPU in use on the workers of each speed, in thousandths of a core.
func (w *world) usedBySpeed() (used [3]int64) {
	for _, worker := range w.engine.workerList {
		used[speedOf(worker.id)] += worker.used.CPU
	}
	return used
}

// askedBySpeed returns how often the adviser is called about workers of each speed, and about a
// single worker at most.
func (w *world) askedBySpeed() (bySpeed [3]int64, most int) {
	byWorker := make(map[string]int)
	for _, action := range w.engine.actions {
		if call, ok := action.(*AdviceCall); ok {
			for _, id := range call.Workers {
				bySpeed[speedOf(id)]++
				byWorker[id]++
				most = max(most, byWorker[id])
			}
		}
	}
	return bySpeed, most
}

// Urgent runs that are spread over workers of all speeds end late on the slow ones. The counts are those of
// several worlds.
func TestUrgentJobsEndInTimeOnUnevenWorkers(t *testing.T) {
	for name, load := range map[string]map[string]float64{"half load": {"urgent": 1, "gangs": 1, "batch": 1}, "nearly full": {"urgent": 1, "gangs": 0.3, "batch": 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inTime := make(map[bool]float64)
			const worlds = 8
			for i := range 2 * worlds {
				on := i%2 == 1
				w := newWorldOfSpeedsOf(t, 150, largeWorldSeed+uint64(i/2), on, 0.1)
				w.runtime = func(ref job.TaskRef, step *job.Step) time.Duration {
					return time.Duration(float64(step.Estimate) * math.Exp(0.3*seeded(ref.String()).NormFloat64()))
				}
				submitLoad(w, 4*time.Second, load)
				from := w.now
				submitLoad(w, 6*time.Second, load)
				used := w.usedBySpeed()
				w.run(5 * time.Second)
				c := w.countJobs("urgent", from, w.now)
				inTime[on] += float64(c.inTime) / float64(c.submitted) / worlds
				t.Logf("feature %v: %+v, CPU in use by speed %d", on, c, used)
			}
			assert.GreaterOrEqual(t, inTime[true], inTime[false]+0.1)
			assert.GreaterOrEqual(t, inTime[true], 0.95)
		})
	}
}

// Batch work on fast workers leaves urgent work no room, on slow ones it may end late, and
// while it waits no fast worker may be idle.
func TestWorkWithTimeToSpareTakesSlowWorkersFirst(t *testing.T) {
	for _, c := range []struct {
		tasks   int
		stretch float64
		want    []bool // by speed, whether the workers are in use
	}{{60, 4, []bool{true, false, false}}, {60, 1.3, []bool{false, true, false}}, {300, 4, []bool{true, true, true}}} {
		w := newWorldOfSpeeds(t, 60, true, 0)
		q := w.policy.Queue("batch")
		q.Advice, q.Stretch, q.LatencyTarget = nil, c.stretch, 0
		w.addOpenJob("batch", tasks(c.tasks, 8000, 2*time.Second))
		w.engine.place()
		used := w.usedBySpeed()
		assert.Equal(t, c.want, []bool{used[0] > 0, used[1] > 0, used[2] > 0}, "%+v", c)
		assert.True(t, c.tasks < 300 || w.engine.roundOf(map[string]*placementRound{}, "s").mostFreeCPU(w.now) < 8000)
	}
}

// A fleet of equal workers, or one whose speeds are not known, is packed as without the feature.
func TestEqualWorkersArePackedAsWithoutTheFeature(t *testing.T) {
	for _, workers := range []int{40, 500} {
		starts := map[bool]map[string]string{false: {}, true: {}}
		for on, started := range starts {
			w, r := newWorldOfSpeeds(t, workers, on, 0), rand.New(rand.NewPCG(3, 3))
			w.policy.Queue("batch").Advice = nil
			w.slownessOf = nil
			w.startLeader()
			for range 40 {
				submitFleetLoad(w, 100*time.Millisecond, 1)
				w.engine.workers[w.ids[r.IntN(workers)]].health.failures = r.IntN(3)
				for _, worker := range w.engine.workerList {
					for _, run := range worker.runs {
						started[fmt.Sprint(run.task.name, run.number)] = worker.id
					}
				}
			}
		}
		require.Greater(t, len(starts[false]), 100)
		assert.Equal(t, starts[false], starts[true])
	}
}

// A gang runs at the pace of its slowest member, so faster members waste fast workers.
func TestGangTakesWorkersOfOneSpeed(t *testing.T) {
	w := newWorldOfSpeeds(t, 120, true, 0)
	for range 3 {
		w.submit("gangs", "a", gang(12, 9000, 3400*time.Millisecond))
		w.run(2500 * time.Millisecond)
	}
	require.Len(t, w.gangs, 3)
	for name, g := range w.gangs {
		first := g.workers[sortedKeys(g.workers)[0]]
		for _, s := range g.workers {
			assert.Equal(t, first.slowdown, s.slowdown, name)
		}
	}
}

// On a large fleet a step is placed on a sample of the workers, and the adviser is asked about some
// of those with the most free CPU. By free CPU alone both lack the workers of the preferred speed.
func TestLargeFleetIsSampledBySpeed(t *testing.T) {
	for _, c := range []struct {
		queue          string
		busy, expected int // speeds
		advised        bool
	}{{"urgent", 0, 2, false}, {"batch", 2, 0, false}, {"urgent", 2, 2, true}, {"batch", 0, 0, true}} {
		w := newWorldOfSpeeds(t, 1500, true, 0)
		for _, worker := range w.engine.workerList {
			if speedOf(worker.id) == c.busy {
				worker.setUsed(job.Resources{CPU: 12_000})
			}
		}
		if !c.advised {
			w.policy.Queue(c.queue).Advice = nil
		}
		before := w.usedBySpeed()
		w.addOpenJob(c.queue, tasks(30, 2000, time.Second))
		w.engine.place()
		asked, _ := w.askedBySpeed()
		for speed, used := range w.usedBySpeed() {
			assert.Equal(t, speed == c.expected, used+asked[speed] > before[speed], "%+v, speed %d", c, speed)
		}
	}
}

// Steps that ask at the same time must not all ask about the same fast workers.
func TestCallsAboutFastWorkersSpread(t *testing.T) {
	w := newWorldOfSpeeds(t, 90, true, 0)
	for range 10 {
		w.addOpenJob("urgent", tasks(3, 15_000, 540*time.Millisecond))
	}
	w.engine.place()
	asked, most := w.askedBySpeed()
	assert.LessOrEqual(t, most, 3, "a worker holds two of the tasks")
	assert.Greater(t, asked[2], int64(50))
}

// A speculative run on a worker that is as slow as the straggler's does not end before it.
func TestSpeculativeRunGoesToAFasterWorker(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.features.SpeedPlacement = true
	w.slownessOf = func(id string) float64 { return 2 - map[string]float64{"w04": 1, "w05": 1.5}[id] }
	w.startLeader()
	w.run(time.Second)
	step := tasks(1, 6000, 2*time.Second)
	step.Speculative = true
	id := w.submit("batch", "a", step)
	w.run(200 * time.Millisecond)
	task := w.engine.jobs[id].occurrences[0].steps[0].tasks[0]
	w.workers[task.runs[0].worker.id].slowdown = 40
	w.run(6 * time.Second)
	require.Len(t, task.runs, 2)
	assert.Equal(t, "w05", task.runs[1].worker.id)
}
