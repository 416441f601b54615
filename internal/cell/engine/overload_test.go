package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// submitOverload submits several times more work than the workers have capacity for, as
// happens after an outage of all instances. It returns the urgent jobs.
func submitOverload(w *world, span time.Duration) (urgent []string) {
	for end := w.now.Add(span); w.now.Before(end); {
		for range 3 {
			urgent = append(urgent, w.submit("urgent", "a", tasks(2, 1500, 800*time.Millisecond)))
		}
		if w.rand.IntN(4) == 0 {
			w.submit("advised", "a", gang(6, 2500, 5*time.Second))
		}
		if w.rand.IntN(2) == 0 {
			w.submit("batch", "a", tasks(10, 1000, 3*time.Second))
		}
		w.run(50 * time.Millisecond)
	}
	return urgent
}

// The submitted work, most of it urgent, is three times the workers' capacity. Accepted
// urgent jobs end in time; refused ones get a retry delay.
func TestUrgentJobsEndInTimeUnderOverload(t *testing.T) {
	w := newWorld(t, 24, 7)
	w.run(time.Second)
	urgent := submitOverload(w, 6*time.Second)
	accepted, inTime, refused := 0, 0, 0
	w.run(2 * time.Second)
	for _, id := range urgent {
		switch {
		case w.accepted[id]:
			accepted++
			if took, ended := w.turnaround[id]; ended && took <= 1450*time.Millisecond {
				inTime++
			}
		case w.refused[id]:
			refused++
			assert.Positive(t, w.answers[id].RetryAfter)
		}
	}
	t.Logf("accepted %d, in time %d, refused %d", accepted, inTime, refused)
	assert.Equal(t, len(urgent), accepted+refused)
	assert.GreaterOrEqual(t, float64(inTime), 0.8*float64(accepted))
}

func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		w := newWorld(&testing.T{}, 48, 7)
		w.run(time.Second)
		submitOverload(w, 4*time.Second)
	}
}

// Gangs of large tasks wait, as most of the free capacity is in pieces too small for
// them. A batch job of small tasks is accepted, uses that capacity and ends in time,
// although the waiting work of higher priority far exceeds the free capacity.
func TestBatchIsAdmittedToCapacityThatWaitingGangsCannotUse(t *testing.T) {
	w := newWorld(t, 24, 7)
	w.run(time.Second)
	for range 8 {
		w.submit("gangs", "a", gang(8, 5000, 5*time.Second))
	}
	w.run(2 * time.Second)
	var batch []string
	for range 8 {
		batch = append(batch, w.submit("batch", "a", tasks(8, 1000, 3*time.Second)))
		w.run(500 * time.Millisecond)
	}
	w.run(12 * time.Second)
	for _, id := range batch {
		assert.True(t, w.accepted[id], "there was free capacity for the job: %s", w.answers[id].Why)
		assert.LessOrEqual(t, w.turnaround[id], 15*time.Second)
		assert.Positive(t, w.turnaround[id])
	}
}

// Batch jobs keep all workers busy, and each free core is taken at once. Gangs that need a
// quarter of all cores at the same time, or more than half, still end in time, since they
// are of higher priority: cores are held for them as they become free.
func TestWideGangsEndInTimeAmidBatchJobs(t *testing.T) {
	for _, width := range []int{10, 24} {
		t.Run(fmt.Sprint(width), func(t *testing.T) { testWideGangsEndInTime(t, width) })
	}
}

func testWideGangsEndInTime(t *testing.T, width int) {
	w := newWorld(t, 24, 7)
	w.run(time.Second)
	feed := func(span time.Duration) {
		for end := w.now.Add(span); w.now.Before(end); w.run(50 * time.Millisecond) {
			w.submit("batch", "a", tasks(12, 1000, time.Second))
		}
	}
	feed(3 * time.Second)
	var gangs []string
	for range 3 {
		gangs = append(gangs, w.submit("gangs", "a", gang(width, 5000, 3*time.Second)))
		feed(4 * time.Second)
	}
	feed(4 * time.Second)
	q := w.policy.Queue("gangs")
	for _, id := range gangs {
		assert.True(t, w.accepted[id], w.answers[id].Why)
		assert.Positive(t, w.turnaround[id], "ended")
		assert.LessOrEqual(t, w.turnaround[id], objective(q, 3*time.Second))
	}
}

// A gang waits for resources on its good workers when the leader is lost. The next leader
// restores these workers and only renews their tickets. Asking about all workers again
// would take several calls per gang.
func TestAdviceSurvivesChangeOfLeader(t *testing.T) {
	w := newWorld(t, 60, 7)
	w.run(time.Second)
	filler := w.submit("batch", "a", tasks(60, 8000, time.Minute))
	w.run(500 * time.Millisecond)
	id := w.submit("advised", "a", gang(12, 5000, time.Second))
	w.run(4 * time.Second)
	first := w.workersAsked
	assert.Greater(t, first, 24)
	w.workersAsked = 0
	w.startLeader()
	w.run(200 * time.Millisecond)
	w.cancel(filler)
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.LessOrEqual(t, w.workersAsked, 12+spareRenewedTickets)
}

// A job is canceled while its gang waits for resources. The stored advice is removed with
// the job.
func TestAdviceOfACanceledJobIsDropped(t *testing.T) {
	w := newWorld(t, 60, 7)
	w.run(time.Second)
	w.submit("batch", "a", tasks(60, 8000, time.Minute))
	w.run(500 * time.Millisecond)
	id := w.submit("advised", "a", gang(12, 5000, time.Second))
	w.run(4 * time.Second)
	step := record.StepKey(job.StepRef{Job: id}, 0)
	assert.Contains(t, w.stored, step)
	w.cancel(id)
	w.run(time.Second)
	assert.NotContains(t, w.stored, step)
}

// A store that answers, but slower than the caller waits, cannot accept the caller's job. It
// is refused at once instead of running although its caller got no answer.
func TestJobIsRefusedAtOnceIfStoreIsTooSlowForItsCaller(t *testing.T) {
	w := newWorld(t, 4, 7)
	w.run(time.Second)
	w.storeDelay = 250 * time.Millisecond
	for range 10 { // the engine learns the latency
		w.submit("batch", "a", tasks(1, 100, time.Second))
		w.run(600 * time.Millisecond)
	}
	var answer Answer
	spec := &job.Spec{ID: "00000000000000ff", Queue: "urgent", Team: "a", Steps: []job.Step{tasks(1, 100, time.Second)}}
	submit := func(wait time.Duration) {
		answer = Answer{Outcome: NotFound}
		w.engine.Handle(w.now, &Submit{Spec: spec, Wait: wait, Reply: func(a Answer) { answer = a }})
	}
	submit(300 * time.Millisecond)
	assert.Equal(t, Refused, answer.Outcome)
	assert.Positive(t, answer.RetryAfter)
	w.specs[spec.ID] = spec
	submit(3 * time.Second)
	w.run(2 * time.Second)
	assert.Equal(t, OK, answer.Outcome, "a caller who waits longer gets its job accepted")
}

// For four seconds eight times the usual urgent jobs arrive, with the other work more than
// the workers can run. Waiting jobs that would just miss their objective don't delay those that can still meet it, so
// most of the workers' time goes to jobs that end in time.
func TestUrgentOverloadEndsMostJobsInTime(t *testing.T) {
	w := newLargeWorld(t, 220)
	w.storeDelay = 10 * time.Millisecond
	submitFleetLoad(w, 4*time.Second, 1)
	burst := w.now
	submitFleetLoad(w, 4*time.Second, 8)
	after := w.now
	w.run(4 * time.Second)
	c := w.countJobs("urgent", burst, after)
	t.Logf("%+v", c)
	assert.GreaterOrEqual(t, float64(c.inTime), 0.85*float64(c.submitted))
	assert.Equal(t, c.submitted, c.accepted+c.refusedWithDelay)
}
