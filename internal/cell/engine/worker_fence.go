package engine

import "time"

// Calls name a worker's id, which it keeps when it restarts. A call that was meant for an earlier
// incarnation of a worker is therefore carried out by the present one, if it comes late or the leader doesn't know
// of the restart yet. Two things keep that from doing harm, see docs/design/worker-calls.md.
//
// Fences: a worker does nothing for a lower fence number than it has seen. Calls to a new incarnation bear
// a higher number than those to the earlier ones, so from its first call on it refuses what comes late.
//
// Cursors: a cursor that reaches another incarnation acknowledges ends there that nobody has seen. It is
// sent only when the incarnation is known to be up, by a renewal that is answered at once, and while no
// start command may begin a run that the leader doesn't know to run.

const (
	// maxAckDelay bounds for how long an acknowledgement waits for start commands without an answer.
	maxAckDelay = 3 * time.Second
	// ackRetryDelay is the interval between two renewals of a worker whose ends can't be acknowledged
	// yet. It answers each at once, as it has ends to report.
	ackRetryDelay = 100 * time.Millisecond
)

// fenceOf returns the fence number of the next call to w.
func (e *Engine) fenceOf(w *worker) int64 {
	if w.fence == 0 || w.fenceSpent && e.fence > w.fence {
		w.fence, w.fenceSpent = e.fence, false
	}
	return w.fence
}

// fencedEarlierIncarnation reports whether a call of the given fence number, which w has refused for a
// higher one, was sent to an earlier incarnation of w. The higher one is that of a later call of this leader.
func (w *worker) fencedEarlierIncarnation(fence int64) bool { return fence < w.fence }

// mayAcknowledge reports whether the next renewal of w may bear a cursor.
func (e *Engine) mayAcknowledge(w *worker) bool {
	if !w.reported || w.missedRenewals > 0 || w.fenceSpent {
		return false
	}
	for _, r := range w.runs {
		if e.startMayBegin(r) {
			return false
		}
	}
	return true
}

// startMayBegin reports whether a start command for r without an answer may begin its run.
func (e *Engine) startMayBegin(r *run) bool {
	return r.startSent && !r.startSettled && e.now.Sub(latest(r.startSentAt, e.startedAt)) < maxAckDelay
}

// acknowledging reports whether a renewal of w with a cursor has no answer yet.
func (w *worker) acknowledging() bool { return w.renewalInFlight && w.renewalCursor > 0 }

// sendDelayedStarts sends the start commands that have waited for the outcome of a renewal of w with a
// cursor. Without an answer, their runs end.
func (e *Engine) sendDelayedStarts(w *worker) {
	delayed := w.delayedStarts
	w.delayedStarts = nil
	for _, r := range delayed {
		if w.missedRenewals > 0 && !r.ended {
			e.endRun(r, EndedStopped, "", "worker does not answer")
			continue
		}
		e.sendStart(r)
	}
}

// nextCursor returns the cursor for the next renewal of w, or zero, which acknowledges nothing.
func (e *Engine) nextCursor(w *worker) int64 {
	if !w.acknowledgementDue() || !e.mayAcknowledge(w) {
		return 0
	}
	return w.cursor
}

// acknowledgementDue reports whether ends of w are stored and not known to be acknowledged. A renewal of w
// doesn't wait then.
func (w *worker) acknowledgementDue() bool { return w.cursor > w.ackedCursor }

// awaitsAcknowledgement reports whether the next renewal of w waits until its ends can be acknowledged.
func (e *Engine) awaitsAcknowledgement(w *worker) bool {
	return w.acknowledgementDue() && w.missedRenewals == 0 && e.now.Sub(w.renewalSentAt) < ackRetryDelay && !e.mayAcknowledge(w)
}

// noteAcknowledged records that w has answered its last renewal.
func (w *worker) noteAcknowledged(ev *RenewalAnswered) {
	if ev.Incarnation == w.incarnation {
		w.ackedCursor = max(w.ackedCursor, w.renewalCursor)
	}
}

// checkFirstEnd logs if ends of w before the first new one that it reports were acknowledged without being seen: a
// worker numbers its ends from 1 on and reports the lowest first.
func (e *Engine) checkFirstEnd(w *worker, first *RunEnd) {
	if first.Number == w.appliedCursor+1 || w.appliedCursor == 0 && !w.incarnationSince.After(e.startedAt) {
		return // an earlier leader may have seen the others
	}
	e.log.Error("ends acknowledged unseen", "worker", w.id, "life", w.incarnation, "after", w.appliedCursor, "first", first.Number, "fence", w.fence,
		"life_age_ms", e.msSince(w.incarnationSince))
}
