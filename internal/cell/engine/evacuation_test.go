package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// runsIn returns the number of runs on workers of a zone.
func (w *world) runsIn(zone string) int {
	n := 0
	for _, id := range w.ids {
		if zoneOf(id) == zone {
			n += len(w.workers[id].runs)
		}
	}
	return n
}

// Guards against runs in an evacuated zone whose record was stored after the evacuation.
func TestPlannedRunsAreDroppedWhenTheirZoneIsEvacuated(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.run(time.Second)
	w.storeDelay = 300 * time.Millisecond
	id := w.submit("batch", "a", tasks(24, 2000, 2*time.Second))
	w.run(500 * time.Millisecond) // the runs are planned, their records are being stored
	w.evacuate("z1")
	w.storeDelay = 0
	w.run(time.Second)
	assert.Zero(t, w.runsIn("z1"))
	assert.Positive(t, w.runsIn("z0"))
	w.run(8 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id), "the dropped runs start in the other zones")
}

// Guards against an evacuation that ends what runs, and against one that a new leader forgets.
func TestEvacuationOutlivesTheLeader(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.run(time.Second)
	w.submit("batch", "a", tasks(12, 2000, 3*time.Second))
	w.run(500 * time.Millisecond)
	before := w.runsIn("z2")
	assert.Positive(t, before)
	w.evacuate("z2")
	w.startLeader()
	w.run(time.Second)
	assert.Equal(t, before, w.runsIn("z2"), "what runs goes on")
	w.submit("batch", "a", tasks(60, 2000, 3*time.Second))
	w.run(4 * time.Second)
	assert.Zero(t, w.runsIn("z2"), "nothing new starts")
	w.takeBack("z2")
	w.run(time.Second)
	assert.Positive(t, w.runsIn("z2"))
}

// Guards against an older set of zones that replaces a newer one, as an instance that was cut
// off from the store may pass it on.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	w := newWorld(t, 6, 1)
	old := *w.policy
	w.run(time.Second)
	w.evacuate("z0")
	w.engine.Handle(w.now, &PolicyChanged{Policy: &old})
	old.Version++
	w.engine.Handle(w.now, &PolicyChanged{Policy: &old})
	w.submit("batch", "a", tasks(30, 2000, time.Second))
	w.run(time.Second)
	assert.Zero(t, w.runsIn("z0"))
}

// Two zones at once, and one removed again within the bound: the third takes the work, and
// nothing is lost.
func TestTwoZonesEvacuatedAtOnce(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.run(time.Second)
	w.evacuate("z0")
	w.evacuate("z1")
	gangID := w.submit("gangs", "a", gang(4, 3000, time.Second))
	w.run(200 * time.Millisecond)
	assert.Zero(t, w.runsIn("z0")+w.runsIn("z1"))
	w.takeBack("z0")
	w.run(100 * time.Millisecond)
	w.evacuate("z0")
	w.run(4 * time.Second)
	assert.Zero(t, w.runsIn("z1"))
	assert.Equal(t, StateCompleted, w.state(gangID))
}

// Guards against jobs that are accepted although all workers that could run them are in an
// evacuated zone, and against refusals that outlast the evacuation.
func TestJobsThatOnlyEvacuatedWorkersFitAreRefused(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.workers["w01"].capacity = job.Resources{CPU: 32000, MemMB: 64000}
	w.run(2 * time.Second)
	w.publishDirectory()
	w.evacuate(zoneOf("w01"))
	large := w.submit("batch", "a", tasks(1, 20000, time.Second))
	w.run(time.Second)
	assert.True(t, w.refused[large])
	assert.Equal(t, evacuationRetryAfter, w.answers[large].RetryAfter)
	w.takeBack(zoneOf("w01"))
	large = w.submit("batch", "a", tasks(1, 20000, time.Second))
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(large))
}

// With all zones evacuated, jobs are refused and accepted ones wait without being lost.
func TestAllZonesEvacuated(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.run(time.Second)
	second := tasks(2, 1000, 200*time.Millisecond)
	second.DependsOn = []int{0}
	first := w.submit("batch", "a", tasks(2, 1000, 200*time.Millisecond), second)
	w.run(30 * time.Millisecond)
	for _, zone := range simZones {
		w.evacuate(zone)
	}
	refused := w.submit("urgent", "a", tasks(1, 1000, 100*time.Millisecond))
	w.run(10 * time.Second)
	assert.True(t, w.refused[refused])
	assert.NotEqual(t, StateCompleted, w.state(first))
	w.takeBackAll()
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(first))
}

// Guards against a burst that fills workers which have just started and are still slow.
func TestColdWorkersGetLittleAtFirst(t *testing.T) {
	capacity := job.Resources{CPU: 8000, MemMB: 16000}
	for _, c := range []struct {
		name        string
		left, total time.Duration
		cpu         int64
	}{
		{"just started", 10 * time.Second, 10 * time.Second, 6000},
		{"half warm", 5 * time.Second, 10 * time.Second, 4000},
		{"nearly warm", time.Second, 10 * time.Second, 800},
		{"warm", 0, 10 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.cpu, withheldWhileCold(capacity, c.left, c.total).CPU)
		})
	}
}

// A zone that is taken back cold under a burst: its workers get a part of their capacity, which
// grows while they warm up.
func TestZoneTakenBackCold(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.run(time.Second)
	w.evacuate("z1")
	w.cold = map[string]time.Duration{"w01": 4 * time.Second, "w04": 4 * time.Second}
	w.publishDirectory()
	w.submit("batch", "a", tasks(200, 1000, 10*time.Second))
	w.run(100 * time.Millisecond)
	w.takeBack("z1")
	w.run(200 * time.Millisecond)
	atFirst := w.runsIn("z1")
	assert.Positive(t, atFirst)
	assert.LessOrEqual(t, atFirst, 4, "a quarter of 16 cores")
	w.run(2 * time.Second)
	assert.Greater(t, w.runsIn("z1"), atFirst)
	w.run(2 * time.Second)
	assert.Equal(t, 16, w.runsIn("z1"))
}
