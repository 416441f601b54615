package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// heavyDay hands in more work than the fleet can do, several times its room at
// once, as after an outage of all instances.
func heavyDay(w *world, span time.Duration) (urgent []string) {
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

// Load: three times what the fleet holds, most of it urgent. Urgent jobs that are
// accepted are served in time; what is refused is told when to come back.
func TestUrgentJobsAreServedInTimeOnAFullFleet(t *testing.T) {
	w := newWorld(t, 24, 7)
	w.run(time.Second)
	urgent := heavyDay(w, 6*time.Second)
	accepted, inTime, refused := 0, 0, 0
	w.run(2 * time.Second)
	for _, id := range urgent {
		switch {
		case w.ok[id]:
			accepted++
			if took, over := w.took[id]; over && took <= 1450*time.Millisecond {
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

func BenchmarkHeavyDay(b *testing.B) {
	for b.Loop() {
		w := newWorld(&testing.T{}, 48, 7)
		w.run(time.Second)
		heavyDay(w, 4*time.Second)
	}
}

// Load: gangs of large tasks wait, most of the fleet's room is in pieces too small
// for them. A batch job of small tasks is accepted, starts in that room and is in
// time, though far more work of a higher priority waits than is free.
func TestBatchIsAdmittedIntoRoomThatWaitingGangsCannotUse(t *testing.T) {
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
		assert.True(t, w.ok[id], "there was room for the job: %s", w.answers[id].Why)
		assert.LessOrEqual(t, w.took[id], 15*time.Second)
		assert.Positive(t, w.took[id])
	}
}

// Load: gangs wait for room on their good workers when the leader is lost. The next
// leader knows these workers: it has their tickets renewed and does not ask about the
// whole fleet again, which would take several calls a gang.
func TestAdviceOutlivesItsLeader(t *testing.T) {
	w := newWorld(t, 60, 7)
	w.run(time.Second)
	filler := w.submit("batch", "a", tasks(60, 8000, time.Minute))
	w.run(500 * time.Millisecond)
	id := w.submit("advised", "a", gang(12, 5000, time.Second))
	w.run(4 * time.Second)
	first := w.asked
	assert.Greater(t, first, 24)
	w.asked = 0
	w.lead()
	w.run(200 * time.Millisecond)
	w.cancel(filler)
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.LessOrEqual(t, w.asked, 12+spareRenewedTickets)
}

// A job is canceled while its gang waits for room: what the adviser has said of it
// leaves the store with it.
func TestAdviceOfACanceledJobIsDropped(t *testing.T) {
	w := newWorld(t, 60, 7)
	w.run(time.Second)
	w.submit("batch", "a", tasks(60, 8000, time.Minute))
	w.run(500 * time.Millisecond)
	id := w.submit("advised", "a", gang(12, 5000, time.Second))
	w.run(4 * time.Second)
	step := record.StepKey(job.StepRef{Job: id})
	assert.Contains(t, w.stored, step)
	w.cancel(id)
	w.run(time.Second)
	assert.NotContains(t, w.stored, step)
}
