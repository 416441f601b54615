package engine

import (
	"time"

	"pollenbend/internal/cell/record"
)

// A run is settled once it is known that the incarnation which it names has carried out its start, by a report or by
// the answer to the start, and this incarnation refuses calls that were meant for earlier ones. No late command
// concerns it any more: its lease ends as leaders have requested it on the clock of that incarnation, or with the
// incarnation. The run's record says so, as the next leader, if it doesn't reach the worker, can't find it out. See
// docs/design/worker-calls.md.

// noteFenced records that w has answered a renewal with a fence number that its earlier incarnations got no calls with.
func (w *worker) noteFenced(ev *RenewalAnswered, now time.Time) {
	w.reportAttributed = ev.Report.Incarnation != 0 && ev.Report.Incarnation == w.incarnation
	if w.fencedSince.IsZero() && w.reportAttributed && !w.fenceSpent && w.renewalFence == w.fence {
		w.fencedSince = now
	}
}

// requestedLease returns the longest time for which a lease of Config.Lease lasts.
func (e *Engine) requestedLease() time.Duration {
	return e.cfg.Lease + time.Duration(float64(e.cfg.Lease)*2*clockDrift)
}

// settledLease returns how long the lease of a settled run may last from the start of a later term on. The leader
// before may not have noticed yet that it was replaced.
func (e *Engine) settledLease() time.Duration { return e.cfg.MaxLeaderOverlap + e.requestedLease() }

// lateLeasesEnd returns when the leases have ended that w may have granted to late calls before it refused them.
func (e *Engine) lateLeasesEnd(w *worker) time.Time { return w.fencedSince.Add(e.longestLease()) }

// longestInheritedLease returns the longest lease, on its clock, that w may hold at its first report to this leader.
func (e *Engine) longestInheritedLease(w *worker) time.Duration {
	if w.fencedSince.IsZero() {
		return e.cfg.MaxLease
	}
	return min(e.cfg.MaxLease, max(e.cfg.Lease, e.lateLeasesEnd(w).Sub(e.now)))
}

// settleRun records that the present incarnation of its worker has r, if that refuses calls that were meant for
// earlier incarnations.
func (e *Engine) settleRun(r *run) {
	w := r.worker
	if r.incarnation != w.incarnation || w.fencedSince.IsZero() || !w.reportAttributed {
		return
	}
	if !r.settled() {
		r.settledSince, r.lateLease = e.now, true
	}
	if r.lateLease && !e.now.Add(e.settledLease()).Before(e.lateLeasesEnd(w)) {
		r.lateLease, r.settledStored = false, false
	}
}

// startedByPresent reports whether the acceptance of a start command for r is an answer of the present incarnation of its
// worker, which r names.
func (e *Engine) startedByPresent(r *run, ev *StartAnswered) bool {
	switch {
	case r.incarnation != r.worker.incarnation:
		return false
	case ev.Incarnation != 0:
		return ev.Incarnation == r.incarnation
	}
	return ev.Start.Incarnation == r.incarnation && e.isClockOfPresent(r.worker, ev.Clock, ev.Start.sentAt)
}

// isClockOfPresent reports whether the clock, in ms, in the answer to a call that was sent to w at the given time is that
// of the incarnation that the last report told. A later incarnation has begun after that report was requested, and its
// clock has begun anew: near zero, or anywhere, and then the two agree only by a rare chance.
func (e *Engine) isClockOfPresent(w *worker, clock int64, sentAt time.Time) bool {
	if !w.reported || !w.reportAttributed {
		return false
	}
	sinceRequest := e.now.Sub(w.answeredSentAt)
	if clock <= (sinceRequest + maxFirstClock).Milliseconds() {
		return false
	}
	least := sentAt.Sub(w.reportedAt) // negative if the report has overtaken the answer
	if least > 0 {
		least = time.Duration(float64(least) * (1 - clockDrift))
	}
	most := time.Duration(float64(sinceRequest) * (1 + clockDrift))
	advance := clock - w.reportedClock
	return least.Milliseconds()-1 <= advance && advance <= most.Milliseconds()+1 // clocks show whole milliseconds
}

// maxFirstClock is the time that a clock near zero may show when its incarnation begins. It is also longer than a pause
// of this process that the steady clock doesn't count and that does not end the term.
const maxFirstClock = 3 * time.Second

// settledStoreDelay is how long after it was settled a run that is still at work is stored as such, unless
// its record is written before or its worker falls silent. Most runs end earlier.
const settledStoreDelay = 500 * time.Millisecond

// storeSettledRuns stores which runs on w are settled as far as that is due. If w does not answer it is due at once:
// the next leader may not reach w either, and waits much longer for runs that are not known to be settled.
func (e *Engine) storeSettledRuns(w *worker) {
	for _, r := range w.runs {
		if w.missedRenewals > 0 || e.now.Sub(r.settledSince) >= settledStoreDelay {
			e.storeSettled(r)
		}
	}
}

// storeSettled has it written with the next append that r is settled, unless that is stored.
func (e *Engine) storeSettled(r *run) {
	if r.settled() && !r.settledStored {
		e.markSegmentsDirty(r.task.step, 1<<(r.task.ref.Index/record.SegmentTasks))
	}
}

// noteSettledStored records that the records of tasks are being written.
func noteSettledStored(tasks []*task) {
	for _, t := range tasks {
		for _, r := range t.runs {
			r.settledStored = r.settled()
		}
	}
}

// restoreSettled restores that an earlier leader has stored r as settled.
func (e *Engine) restoreSettled(r *run, lateLease bool) {
	w := r.worker
	r.startSettled, r.settledSince, r.lateLease, r.settledStored = true, e.now, lateLease, true
	if w.incarnation != r.incarnation {
		return
	}
	since := e.startedAt
	if !lateLease {
		since = since.Add(e.settledLease() - e.longestLease())
	}
	if w.fencedSince.IsZero() || since.Before(w.fencedSince) {
		w.fencedSince = since
	}
}

// leaseExpiresAt returns when the lease of r has ended if its worker is not reached again, unless a late command
// concerns it.
func (e *Engine) leaseExpiresAt(r *run) time.Time {
	end := e.leasesExpireAt(r.worker)
	if r.inherited() && r.settled() && !r.worker.reported {
		end = e.startedAt.Add(e.settledLease())
		if r.lateLease {
			end = latest(end, e.startedAt.Add(e.longestLease()))
		}
	}
	return end.Add(e.cfg.LeaseExpiryMargin)
}

// settled reports whether no late command concerns r.
func (r *run) settled() bool { return !r.settledSince.IsZero() }

// wasNewAtTakeover reports whether late commands of earlier leaders may concern r, see Engine.newAtTakeover.
func (r *run) wasNewAtTakeover() bool { return r.newAtTakeover && !r.startSettled }

// countRuns returns the number of runs of which f holds.
func countRuns(runs []*run, f func(*run) bool) int {
	n := 0
	for _, r := range runs {
		if f(r) {
			n++
		}
	}
	return n
}

// overIn returns how long from now the last run on w may be at work if w is not reached again.
func (e *Engine) overIn(w *worker) time.Duration {
	last := e.now
	for _, r := range w.sentRuns() {
		last = latest(last, e.leaseExpiresAt(r))
		if r.startSettled {
			continue
		}
		last = latest(last, e.lastArrival(r))
		if r.inherited() && r.newAtTakeover {
			last = latest(last, e.lateLeasesOfEarlierLeadersEnd())
		}
	}
	return last.Sub(e.now)
}
