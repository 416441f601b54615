package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// newFeaturesWorld returns a world with the given features.
func newFeaturesWorld(t *testing.T, workers int, f Features) *world {
	w := newWorld(t, workers, 1)
	w.features = f
	w.startLeader()
	w.run(time.Second)
	return w
}

// An operator has to see when a waiting gang is expected to start, and that what is free meanwhile
// is reserved for it.
func TestExplanationTellsReservations(t *testing.T) {
	w := newFeaturesWorld(t, 2, Features{Backfill: true})
	w.submit("batch", "a", tasks(1, 6000, 2*time.Second))
	w.submit("batch", "a", tasks(1, 6000, 3*time.Second))
	w.run(100 * time.Millisecond)
	id := w.submit("gangs", "a", gang(2, 8000, 2*time.Second))
	w.run(500 * time.Millisecond)
	step := w.explainNow(&Explain{ID: id}).Explanation.Steps[0]
	r := step.Reservation
	require.NotNil(t, r)
	assert.Equal(t, "it has reserved resources and starts when they are free", step.WaitsBecause)
	assert.Equal(t, []any{2, int64(16_000), 2, false}, []any{r.Tasks, r.CPU, r.WorkerCount, r.Strict})
	assert.ElementsMatch(t, []ReservedWorker{{"w00", 1}, {"w01", 1}}, r.Workers)
	assert.Positive(t, min(r.StartMS, r.BoundMS))

	long := &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{tasks(1, 2000, 20*time.Second)}}
	assert.Contains(t, w.explainNow(&Explain{Spec: long}).Explanation.Steps[0].Excluded, ExclusionCount{"reserved for other steps", 2})
	short := &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{tasks(1, 2000, 100*time.Millisecond)}}
	assert.Equal(t, 2, w.explainNow(&Explain{Spec: short}).Explanation.Steps[0].Left, "it ends before the start")
}

// The counts of the log line begin anew every few seconds, so an operator has to see those of the
// whole term, and the speeds that placement uses.
func TestRuntimesTellReservationsAndSpeeds(t *testing.T) {
	ask := func(w *world) *RuntimeSummary {
		var answer Answer
		w.engine.explainedAt = [2]time.Time{}
		w.engine.Handle(w.now, &Runtimes{Reply: func(a Answer) { answer = a }})
		return answer.Runtimes
	}
	w := newWorld(t, 6, 1)
	w.slownessOf = func(id string) float64 { return map[bool]float64{true: 0.9, false: 1.12}[id < "w02"] } // less than maxReservationSpeedRatio
	w.features = Features{Backfill: true, SpeedPlacement: true}
	w.startLeader()
	w.run(time.Second)
	w.submit("batch", "a", tasks(6, 6000, 2*time.Second))
	w.run(100 * time.Millisecond)
	w.submit("gangs", "a", gang(6, 8000, 2*time.Second))
	w.run(500 * time.Millisecond)
	x := ask(w)
	assert.Equal(t, &ReservationSummary{Steps: 1, CPU: 48_000}, x.Reservations)
	assert.Equal(t, []SpeedClass{{"s", 0.905, 2}, {"s", 1.127, 4}}, x.Classes)
	r := w.engine.openSteps[0].reservation
	r.promised = w.now.Add(-10 * time.Second)
	w.run(100 * time.Millisecond)
	assert.Equal(t, []int{1, 1}, []int{ask(w).Reservations.Strict, ask(w).Reservations.Slipped})

	off := newFeaturesWorld(t, 2, Features{})
	assert.Nil(t, ask(off).Reservations)
	assert.Nil(t, ask(off).Classes)
}

// Batch work that waits beside free workers looks like a fault unless the headroom is named.
func TestExplanationTellsHeadroom(t *testing.T) {
	w := newFeaturesWorld(t, 4, Features{Headroom: true})
	w.submit("batch", "a", tasks(4, 6000, 5*time.Second))
	w.run(100 * time.Millisecond)
	w.engine.pools["s"].urgent = taskArrivals{tasksPerSecond: 20, cpuPerSecond: 20 * 2000, at: w.now}
	step := func(count int) StepExplanation {
		spec := &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{tasks(count, 2000, time.Second)}}
		return w.explainNow(&Explain{Spec: spec}).Explanation.Steps[0]
	}
	some := step(4)
	assert.Equal(t, 2, some.Placed) // 8 cores are free, and a tenth of 32 is kept
	assert.Equal(t, "the other free capacity is kept for urgent tasks that arrive next", some.WaitsBecause)
	w.submit("batch", "a", tasks(2, 2000, 5*time.Second))
	w.run(100 * time.Millisecond)
	none := step(1)
	assert.Zero(t, none.Placed)
	assert.Equal(t, "the free capacity is kept for urgent tasks that arrive next", none.WaitsBecause)
}

// The wait alone does not tell whether the fleet, the limit of the team or the adviser is short.
func TestExplanationTellsWhatDeterminesTheWait(t *testing.T) {
	w := newContendedWorld(t, 4, true, contendedPolicy(true, policy.Team{Name: "a", Weight: 1000}, policy.Team{Name: "b", Weight: 1000, Limit: cpuLimit(16)}))
	explain := func(queue, team string, s job.Step) *Explanation {
		return w.explainNow(&Explain{Spec: &job.Spec{Queue: queue, Team: team, Steps: []job.Step{s}}}).Explanation
	}
	assert.Empty(t, explain("urgent", "a", tasks(1, 4000, time.Second)).Wait.DecidedBy, "nothing waits")

	w.submit("urgent", "b", tasks(4, 4000, 2*time.Second))
	w.run(200 * time.Millisecond)
	x := explain("batch", "b", tasks(2, 4000, time.Second))
	assert.Equal(t, admission.CauseTeamLimit, x.Wait.DecidedBy)
	assert.Equal(t, x.WaitMS, x.Wait.LimitMS)

	for range 12 {
		w.addOpenJob("urgent", tasks(4, 8000, 2*time.Second))
	}
	w.engine.contention.measuredAt = time.Time{}
	x = explain("batch", "a", tasks(2, 4000, time.Second))
	assert.Equal(t, admission.CauseWorkAhead, x.Wait.DecidedBy)
	assert.Equal(t, x.WaitMS, x.Wait.WorkMS)
	assert.InDelta(t, 12*32, x.Wait.AheadCores, 1)

	for _, d := range w.engine.delegates {
		for range 3 {
			d.CallSent(w.now, 20*time.Second)
		}
	}
	x = explain("batch", "a", tasks(2, 4000, time.Second))
	assert.Equal(t, admission.CauseAdviser, x.Wait.DecidedBy)
	assert.Equal(t, []any{VerdictRefused, true}, []any{x.Verdict, x.WaitMS > x.Wait.BearableMS})
}
