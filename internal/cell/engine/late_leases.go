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

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
