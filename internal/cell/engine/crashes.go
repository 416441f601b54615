package engine

import "time"

// connectionRefused records that nothing listens at the address of w, so its process has
// ended. A worker that is cut off or frozen does not refuse connections.
func (e *Engine) connectionRefused(w *worker) {
	if !w.refusingSince.IsZero() {
		return
	}
	w.refusingSince = e.now
	e.log.Warn("worker refuses connections", "worker", w.id, "life", w.incarnation, "runs", len(w.runs), "last_answer_ms", e.msSince(w.lastAnswer), "last_start_ms", e.msSince(w.lastStart()))
}

// lastStart returns when the newest run on w was started, or zero.
func (w *worker) lastStart() time.Time {
	var last time.Time
	for _, r := range w.runs {
		if r.startSentAt.After(last) {
			last = r.startSentAt
		}
	}
	return last
}
