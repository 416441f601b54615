package engine

import "time"

// A command names the worker's id and the end of the lease on the worker's clock, which begins anew
// with each incarnation. A late renewal or start command that was sent to an earlier incarnation may
// therefore extend the leases of the present one up to the maximum, also if it starts nothing.

// noteLeaseOfRenewal records the outcome of a renewal for the leases on w.
func (e *Engine) noteLeaseOfRenewal(w *worker, ev *RenewalAnswered) {
	if w.renewalExtends && !ev.OtherIncarnation && !ev.ConnectionRefused {
		e.noteLease(w, ev.Incarnation, ev.SentAt, ev.Report != nil)
	}
}

// noteLeaseOfStart records the outcome of a start command for the leases on its worker.
func (e *Engine) noteLeaseOfStart(ev *StartAnswered) {
	switch ev.Outcome {
	case NotSent, OtherIncarnation, Fenced: // it has extended no lease, and will not
	default:
		e.noteLease(ev.Start.run.worker, ev.Start.Incarnation, ev.Start.sentAt, ev.Outcome != NoAnswer)
	}
}

// noteLease records the outcome of a command with a lease that was sent to an incarnation of w at
// the given time. One without an answer may be carried out until MaxCommandDelay after that.
func (e *Engine) noteLease(w *worker, incarnation int64, sentAt time.Time, answered bool) {
	switch {
	case incarnation != w.incarnation:
		e.noteLateLease(w, sentAt)
	case !answered:
		w.unansweredLease = latest(w.unansweredLease, sentAt) // matters once w restarts
	}
}

// noteLateLease records that the present incarnation of w may grant the longest lease to a command
// that was sent to an earlier one at the given time.
func (e *Engine) noteLateLease(w *worker, sentAt time.Time) {
	w.lateLeasesUntil = latest(w.lateLeasesUntil, sentAt.Add(e.cfg.MaxCommandDelay+e.longestLease()))
}

// noteLateLeasesOfRestart records that w may carry out the unanswered commands to its earlier
// incarnation in the next one.
func (e *Engine) noteLateLeasesOfRestart(w *worker) {
	if !w.unansweredLease.IsZero() {
		e.noteLateLease(w, w.unansweredLease)
	}
	w.unansweredLease = time.Time{}
}

// maxClockSkew is the maximum error of the time of day of an instance, which the platform guarantees,
// also when the time of day jumps.
const maxClockSkew = 6 * time.Second

// newAtTakeover reports whether late commands of earlier leaders may concern a run that was planned at
// the given time, in Unix milliseconds, or zero if that is not known. Commands to earlier incarnations
// arrive during this leader's term only if the run's incarnation began less than MaxCommandDelay before
// the term, or later. The start command that reached the run there was sent at most MaxCommandDelay
// before that, and at most maxPlanAge after the run was planned.
//
// The number of the incarnation cannot decide this: it tells only of restarts that the directory or the
// record knows.
func (e *Engine) newAtTakeover(plannedAt int64) bool {
	age := time.Duration(e.wall()-plannedAt) * time.Millisecond
	return plannedAt == 0 || age <= 2*e.cfg.MaxCommandDelay+maxPlanAge+2*maxClockSkew
}

// earlierLeaderMayExtend reports whether late commands of earlier leaders may have extended the lease of
// r, or still may, without a sign of that for this leader. A report that shows r rules it out: from
// then on, the worker's fence refuses these commands, and a restart ends r.
func (e *Engine) earlierLeaderMayExtend(r *run) bool {
	if !r.inherited() || r.startSettled || !r.newAtTakeover {
		return false
	}
	return !e.now.After(e.lateLeasesOfEarlierLeadersEnd())
}

// lateLeasesOfEarlierLeadersEnd returns when all leases have ended that late commands of earlier leaders may extend.
func (e *Engine) lateLeasesOfEarlierLeadersEnd() time.Time {
	return e.startedAt.Add(e.cfg.MaxCommandDelay + e.longestLease() + e.cfg.LeaseExpiryMargin)
}

// mayRunUnreached reports whether r may be at work, or begin, on a worker whose known leases are over.
func (e *Engine) mayRunUnreached(r *run) bool {
	return e.startMayArrive(r) || e.earlierLeaderMayExtend(r)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
