package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// newPreemptionWorld returns a world of 20 workers of 32 cores that nine batch tasks of 3.5 cores
// fill on each, which save checkpoints and run for 10 s. Half a core of each worker is free.
func newPreemptionWorld(t *testing.T, on bool) (w *world, batch string) {
	w = newContendedWorld(t, 20, false, contendedPolicy(false, policy.Team{Name: "a", Weight: 1000}))
	w.features.Preemption = on
	w.restoreTime = restoreTime
	w.useNetwork(5)
	w.run(time.Second)
	step := tasks(180, 3500, 10*time.Second)
	step.Checkpoints = true
	batch = w.submit("batch", "a", step)
	w.run(1500 * time.Millisecond)
	require.Equal(t, 180, w.runningTasks(batch, 0))
	return w, batch
}

// addUrgent submits a job of one urgent task of 5 cores and 1 s, which is in time if it starts within
// 0.6 s.
func (w *world) addUrgent() string {
	id := w.submit("urgent", "a", tasks(1, 5000, time.Second))
	w.runUntil(100*time.Millisecond, func() bool { return w.accepted[id] || w.refused[id] })
	require.True(w.t, w.accepted[id], w.answers[id].Why)
	return id
}

// runUntil advances the time until a condition holds, at most for a span.
func (w *world) runUntil(span time.Duration, done func() bool) {
	for end := w.now.Add(span); w.now.Before(end) && !done(); {
		w.run(simTick)
	}
}

// stoppingWorkers returns the workers with runs that are being stopped.
func (w *world) stoppingWorkers() []*worker {
	var out []*worker
	for _, x := range w.engine.workerList {
		for _, r := range x.runs {
			if r.phase == stopping {
				out = append(out, x)
				break
			}
		}
	}
	return out
}

// Guards against an urgent task that waits for 10 s behind batch tasks whose stop loses little. The
// stopped tasks go on from their checkpoints, and their job ends in time.
func TestPreemptionStartsAnUrgentTask(t *testing.T) {
	w, batch := newPreemptionWorld(t, true)
	id := w.addUrgent()
	w.run(20 * time.Second)
	assert.Equal(t, 2, w.preempted)
	assert.LessOrEqual(t, w.turnaround[id], 1500*time.Millisecond)
	assert.Equal(t, StateCompleted, w.state(batch))
	assert.LessOrEqual(t, w.turnaround[batch], 12500*time.Millisecond, "13 s if the stopped tasks began anew")
}

// Guards against stops while the feature is off.
func TestNothingIsPreemptedWithoutTheFeature(t *testing.T) {
	w, _ := newPreemptionWorld(t, false)
	id := w.addUrgent()
	w.run(5 * time.Second)
	assert.Zero(t, w.preempted)
	assert.NotContains(t, w.firstStart, id)
	assert.Empty(t, w.engine.preemption.freed)
}

// Guards against freed resources that another task takes: a task that arrives while the runs are
// being stopped, and that is more urgent as its objective is shorter, does not get them.
func TestFreedResourcesAreHeldForTheirStep(t *testing.T) {
	w, _ := newPreemptionWorld(t, true)
	id := w.addUrgent()
	w.runUntil(time.Second, func() bool { return w.preempted > 0 })
	require.Equal(t, 2, w.preempted)
	other := w.addOpenJob("urgent", tasks(1, 4000, 100*time.Millisecond))
	w.run(600 * time.Millisecond)
	assert.Contains(t, w.firstStart, id)
	assert.NotContains(t, w.firstStart, other.job().id, "its stops would lose more than half of its work")
	assert.Equal(t, 2, w.preempted)
	assert.Empty(t, w.engine.preemption.freed, "the step has started")
}

// Guards against resources that stay closed after a leader was killed between the stop and the
// start: the next one ends the stopped runs, and the urgent task is placed in the usual order.
func TestLeaderIsKilledDuringAPreemption(t *testing.T) {
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			w, batch := newPreemptionWorld(t, true)
			id := w.addUrgent()
			w.runUntil(time.Second, func() bool { return w.preempted > 0 })
			require.Positive(t, w.preempted)
			w.run(after)
			w.startLeader()
			assert.Empty(t, w.engine.preemption.freed)
			w.run(40 * time.Second)
			assert.Equal(t, StateCompleted, w.state(id))
			assert.Equal(t, StateCompleted, w.state(batch))
			for _, x := range w.engine.workerList {
				assert.Equal(t, job.Resources{}, x.used, x.id)
				assert.Empty(t, x.holds, x.id)
			}
		})
	}
}

// Guards against resources that are used twice when a stop gets no answer: they count as used until
// the end is known, the hold ends meanwhile, and the stop is repeated until it is carried out.
func TestStopOfAPreemptedRunGetsNoAnswer(t *testing.T) {
	w, batch := newPreemptionWorld(t, true)
	for _, l := range w.net.links {
		l.lostRatio = 1 // also for the stops, whichever worker they go to
	}
	id := w.addUrgent()
	w.runUntil(time.Second, func() bool { return w.preempted > 0 })
	require.Equal(t, 2, w.preempted)
	cut := w.stoppingWorkers()
	require.Len(t, cut, 1)
	w.run(simTick)
	for name, l := range w.net.links {
		if name != cut[0].id {
			l.lostRatio = 0
		}
	}
	for range 30 {
		w.run(50 * time.Millisecond)
		assert.EqualValues(t, 31_500, cut[0].used.CPU)
	}
	assert.Empty(t, w.engine.preemption.freed, "the hold has ended")
	assert.NotContains(t, w.firstStart, id)
	w.net.links[cut[0].id].lostRatio = 0
	w.run(40 * time.Second)
	assert.Equal(t, 2, w.preempted)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, StateCompleted, w.state(batch))
	for name := range w.tasks {
		if strings.HasPrefix(name, batch) {
			assert.True(t, w.succeeded(name), name)
		}
	}
}

// submitLoad submits batch tasks that fill the workers, and an urgent job.
func (n *network) submitLoad() {
	load := tasks(20, 1000, 2*time.Second+n.upTo(2*time.Second))
	load.Checkpoints = true
	n.w.submit("batch", "a", load)
	n.w.submit("urgent", "a", tasks(1+n.rand.IntN(2), 1500, time.Second))
}

// runFullWorkers plays random schedules on workers that batch tasks fill, with the features that are
// given for each seed.
func runFullWorkers(t *testing.T, features func(seed uint64) Features) {
	for name, o := range map[string]refusalOptions{
		"refusals": {restartsKeepID: true, untold: true},
		"crashes":  {crashes: true},
		"cuts":     {cuts: true, crashes: true, restartsKeepID: true, untold: true},
		"drains":   {drains: true, restartsKeepID: true},
	} {
		first, count := backfillSeeds()
		for seed := first; seed < first+count; seed++ {
			o.fills, o.features = true, features(seed)
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				w := runRandomRefusals(t, seed, o)
				t.Logf("%d runs preempted", w.preempted)
			})
		}
	}
}

// The random schedules keep all rules while runs are preempted, with the other features and without.
func TestRandomRefusalsWithPreemption(t *testing.T) {
	runFullWorkers(t, func(seed uint64) Features {
		if seed%2 == 0 {
			return Features{Preemption: true}
		}
		return withPreemption(true)
	})
}

// The same schedules without preemption tell its faults from others.
func TestRandomRefusalsOnFullWorkers(t *testing.T) {
	runFullWorkers(t, func(uint64) Features { return Features{} })
}
