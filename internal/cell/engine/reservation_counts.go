package engine

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
)

// noteReservations records how many steps had a reservation in a placement round.
func (e *Engine) noteReservations(rounds map[string]*placementRound) {
	if !e.cfg.Features.Backfill {
		return
	}
	e.reserving, e.reservedCPU = 0, 0
	for _, round := range rounds {
		e.reserving += round.reserving
		e.reservedCPU += round.reservedCPU
	}
	e.countReservations(StepsReserving, e.reserving)
}

// reservationAttrs returns what the line about the load says of reservations, and begins to
// count anew.
func (e *Engine) reservationAttrs() []any {
	if !e.cfg.Features.Backfill {
		return nil
	}
	attrs := []any{"reservations", e.reserving, "backfilled", e.backfilled, "slipped", e.slipped}
	e.backfilled, e.slipped = 0, 0
	return attrs
}

// countReservations passes a count to Config.CountReservations.
func (e *Engine) countReservations(event ReservationEvent, n int) {
	if e.cfg.CountReservations != nil && e.trial == nil {
		e.cfg.CountReservations(event, n)
	}
}

// countBackfill counts a run of s that is about to be planned on w.
func (e *Engine) countBackfill(s *stepState, w *worker) {
	if w.isBackfill(s) {
		e.backfilled++
		e.countReservations(RunBackfilled, 1)
	}
}

// typicalRuntime returns the median of the run times of the waiting tasks, and false if none
// waits.
func (e *Engine) typicalRuntime() (time.Duration, bool) {
	type waitingStep struct {
		runtime time.Duration
		tasks   int
	}
	var steps []waitingStep
	total := 0
	for _, s := range e.openSteps {
		if s.open() && !s.spec.Gang && !s.spec.LongRunning {
			steps = append(steps, waitingStep{e.estimator.expect(s.job().queue, s.spec.Estimate), s.waiting})
			total += s.waiting
		}
	}
	slices.SortFunc(steps, func(a, b waitingStep) int { return cmp.Compare(a.runtime, b.runtime) })
	for _, s := range steps {
		if total -= 2 * s.tasks; total <= 0 {
			return s.runtime, true
		}
	}
	return 0, false
}

// closedCPU returns the free CPU of w that a task of the given run time may not use.
func (e *Engine) closedCPU(w *worker, runtime time.Duration) int64 {
	if len(w.holds) == 0 {
		return 0
	}
	free := max(0, w.free().CPU)
	return free - min(free, max(0, e.freeBeside(w, nil, runtime).CPU))
}

// heldOn returns what is held for gangs on w, as "load of the cell" shows it.
func (e *Engine) heldOn(w *worker, runtime time.Duration) job.Resources {
	if !e.cfg.Features.Backfill {
		return w.heldForGangs
	}
	return job.Resources{CPU: e.closedCPU(w, runtime)}
}
