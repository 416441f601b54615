package engine

import "slices"

// cpu returns the CPU that r reserves, in thousandths of a core.
func (r *stepReservation) cpu() int64 {
	n := 0
	for _, sh := range r.shares {
		n += sh.tasks
	}
	return int64(n) * r.step.charge.CPU
}

// holding reports whether r has held its resources in this round.
func (r *stepReservation) holding(round *placementRound) bool {
	return slices.Contains(round.reservations, r)
}

// hold holds the resources of r on its workers.
func (e *Engine) hold(r *stepReservation, round *placementRound) {
	round.reservations = append(round.reservations, r)
	round.reserving++
	r.amidIdle = round.window.idle
	for _, sh := range r.shares {
		if len(sh.worker.holds) == 0 {
			e.heldWorkers = append(e.heldWorkers, sh.worker)
		}
		held := r.step.charge.Times(sh.tasks)
		sh.worker.holds = append(sh.worker.holds, workerHold{r, held})
		round.reservedCPU += held.CPU
	}
}

// unhold releases what hold has held for r.
func (e *Engine) unhold(r *stepReservation, round *placementRound) {
	round.reservations = slices.DeleteFunc(round.reservations, func(o *stepReservation) bool { return o == r })
	round.reserving--
	for _, sh := range r.shares {
		sh.worker.holds = slices.DeleteFunc(sh.worker.holds, func(h workerHold) bool { return h.by == r })
		round.reservedCPU -= r.step.charge.Times(sh.tasks).CPU
	}
}
