package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// A gang has a firm reservation on a worker whose run takes many times as long as expected, and has
// moved as often as it may at once. It waited for that run although all other workers were idle.
func TestFirmReservationLeavesAWorkerWhoseRunDoesNotEnd(t *testing.T) {
	w := newContendedWorld(t, 8, false, contendedPolicy(true, policy.Team{Name: "a"}))
	w.features.Backfill = true
	w.isGood = func(job.StepRef, string) bool { return true }
	w.startLeader()
	w.run(time.Second)
	w.runtime = func(_ job.TaskRef, s *job.Step) time.Duration {
		if s.Need.CPU == 30_000 {
			return time.Minute
		}
		return s.Estimate
	}
	long := w.submit("batch", "a", tasks(1, 30_000, 2*time.Second))
	w.run(2 * time.Second)
	busy := w.engine.jobs[long].occurrenceAt(0).steps[0].tasks[0].runs[0].worker
	id := w.submit("gangs", "a", gang(4, 20_000, time.Second))
	s := w.engine.jobs[id].occurrenceAt(0).steps[0]
	r := &stepReservation{step: s, strict: true, moves: maxMoves, start: w.now.Add(3 * time.Second), plannedAt: w.now, promised: w.now, bound: time.Second}
	for _, worker := range w.engine.workerList {
		s.markGood(worker, ticket{incarnation: worker.incarnation})
	}
	for _, worker := range append([]*worker{busy}, w.engine.workerList[:4]...) {
		if len(r.shares) < 4 && !r.has(worker) {
			r.shares = append(r.shares, share{worker, 1})
		}
	}
	s.reservation = r
	w.run(6 * time.Second)
	assert.Contains(t, w.firstStart, id, "it starts on idle workers")
}
