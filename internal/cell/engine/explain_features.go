package engine

import (
	"time"

	"pollenbend/internal/cell/admission"
)

// explainWait returns what the wait consists of that admission expects.
func explainWait(p *admission.WaitParts) *WaitExplanation {
	return &WaitExplanation{
		DecidedBy: p.Cause(), WorkMS: p.Cores.Milliseconds(), RecentMS: p.Recent.Milliseconds(), LimitMS: p.Limit.Milliseconds(),
		AdviserMS: p.Adviser.Milliseconds(), SurplusMS: p.Surplus.Milliseconds(), BearableMS: p.Bearable.Milliseconds(),
		AheadCores: rounded(p.AheadCores), AheadWork: rounded(p.AheadWork),
	}
}

// explain returns what r reserves, or nil if r is nil.
func (r *stepReservation) explain(now time.Time) *ReservationExplanation {
	if r == nil {
		return nil
	}
	x := &ReservationExplanation{
		StartMS: r.start.Sub(now).Milliseconds(), PromisedMS: r.promised.Sub(now).Milliseconds(), BoundMS: r.bound.Milliseconds(),
		Strict: r.strict, Committed: r.committed, CPU: r.cpu(), WorkerCount: len(r.shares),
	}
	for i, sh := range r.shares {
		x.Tasks += sh.tasks
		if i < maxListedWorkers {
			x.Workers = append(x.Workers, ReservedWorker{sh.worker.id, sh.tasks})
		}
	}
	return x
}
