package engine

import (
	"time"
)

// planRun reserves the resources for a run of t on w and writes its record. The start
// command is sent once the record is stored.
func (e *Engine) planRun(t *task, w *worker, number int, tkt ticket) *run {
	r := e.addRun(t, w, number, tkt)
	e.storeRun(r)
	return r
}

// addRun adds a run to its task and its worker.
func (e *Engine) addRun(t *task, w *worker, number int, tkt ticket) *run {
	s := t.step
	if !t.hasRuns() {
		s.waiting--
	}
	t.lastRun = number
	s.lastGangRun = max(s.lastGangRun, number)
	r := &run{task: t, worker: w, incarnation: w.incarnation, number: number, charge: s.charge, ticket: tkt, checkpoint: t.checkpoint, phase: planned, plannedAt: e.wall()}
	t.runs = append(t.runs, r)
	e.reserve(r)
	return r
}

// storeRun stores the record of a run that addRun has returned, and sends its start command
// after that.
func (e *Engine) storeRun(r *run) {
	e.markDirty(r.task)
	e.afterAppend(func() { e.sendStart(r) })
}

// reserve adds the charge of r to the resources used on its worker, and the need of its
// task to the usage of its team.
func (e *Engine) reserve(r *run) {
	r.worker.runs = append(r.worker.runs, r)
	r.worker.setUsed(r.worker.used.Add(r.charge))
	team := r.task.step.job().team
	e.usage[team] = e.usage[team].Add(r.task.step.spec.Need)
	e.contention.runReserved(r)
}

// sendStart sends the start command for a run whose record is stored. It ends the run
// instead if the run is no longer wanted or possible.
func (e *Engine) sendStart(r *run) {
	if r.ended {
		return
	}
	w, t := r.worker, r.task
	if r.phase == stopping || w.incarnation != r.incarnation || !w.reported || w.fenceSpent || t.step.job().state.Final() || t.done {
		e.endRun(r, EndedStopped, "", "start not sent")
		return
	}
	if w.acknowledging() {
		w.delayedStarts = append(w.delayedStarts, r)
		return
	}
	if r.ticket.value != "" && !e.now.Before(r.ticket.validUntil) {
		e.endRun(r, EndedStopped, "", "ticket expired before the record was stored")
		return
	}
	if e.sincePlanned(r) > maxPlanAge {
		e.endRun(r, EndedStopped, "", "record stored too late")
		return
	}
	if w.overcommitted() {
		e.endRun(r, EndedStopped, "", "worker has shrunk")
		return
	}
	if w.draining && !w.leavesAt.IsZero() && !t.step.spec.Gang {
		e.endRun(r, EndedStopped, "", "worker is draining")
		return
	}
	if w.evacuated {
		e.endRun(r, EndedStopped, "", "availability zone is evacuated")
		return
	}
	r.phase = starting
	r.startSent, r.startSentAt = true, e.now
	e.predict(r)
	w.nextRenewal = e.now // the next renewal of an idle worker may be IdleRenewalInterval away
	timeout := startTimeout
	if r.repeatable() {
		timeout = firstStartTimeout
	}
	e.emitStart(r, timeout)
}

// emitStart emits a start command for r.
func (e *Engine) emitStart(r *run, timeout time.Duration) {
	w, t := r.worker, r.task
	r.startsSent++
	e.emit(&Start{
		Worker: w.id, Address: w.address, Fence: e.fenceOf(w), Incarnation: r.incarnation, Task: t.name, Run: r.number,
		Payload: t.step.job().spec.Payload, Entry: t.step.job().spec.Entry, Deadline: w.extendLease(e.cfg.Lease, e.now),
		Checkpoint: r.checkpoint, Ticket: r.ticket.value, Timeout: timeout, sentAt: e.now, run: r,
	})
}

// hasTicket reports whether the start command for r bears a ticket.
func (r *run) hasTicket() bool { return r.ticket.value != "" || r.hadTicket }

// repeatable reports whether the start command for r may be sent a second time. Its ticket is valid
// in one incarnation of the worker, which starts a run number once; without one, a copy that is
// carried out by a later incarnation would run the task again.
func (r *run) repeatable() bool { return r.ticket.value != "" }

// retryStart sends the start command for r a second time if the run is still wanted and the worker
// would still accept it. It reports whether it did.
func (e *Engine) retryStart(r *run) bool {
	w, t := r.worker, r.task
	if !r.repeatable() || r.startsSent > 1 || r.phase != starting || w.incarnation != r.incarnation || !w.reported || !w.listed || w.evacuated || w.overcommitted() || t.done || t.step.job().state.Final() {
		return false
	}
	if !e.now.Before(r.ticket.validUntil) {
		return false
	}
	e.emitStart(r, startTimeout-firstStartTimeout)
	return true
}

const (
	// startTimeout is the timeout of a start command. A healthy worker answers within a few
	// milliseconds, and its reports show the run if the answer is lost.
	startTimeout = 950 * time.Millisecond
	// firstStartTimeout is that of a command that is repeated if it gets no answer. Both take
	// startTimeout together.
	firstStartTimeout = 250 * time.Millisecond
	// maxPlanAge is the time after the planning of a run until which its start command is sent. A
	// later leader relies on it.
	maxPlanAge = 10 * time.Second
	// stopTimeout is the timeout of a stop command. The command is sent again until the
	// worker accepts it.
	stopTimeout = 300 * time.Millisecond
)

// startAnswered applies the outcome of a start command.
func (e *Engine) startAnswered(ev *StartAnswered) {
	r := ev.Start.run
	w := r.worker
	if ev.Outcome == Fenced && w.fencedEarlierIncarnation(ev.Start.Fence) {
		ev.Outcome = OtherIncarnation
	}
	r.startSettled = r.startSettled || ev.Outcome == Accepted || ev.Outcome != NoAnswer && r.unansweredStarts == 0
	if ev.ConnectionRefused && ev.Start.Incarnation == w.incarnation {
		e.connectionRefused(w)
	}
	if ev.Outcome == Accepted && !r.ended && ev.Incarnation > r.incarnation {
		e.moveToIncarnation(r, ev.Incarnation) // the worker restarted while the command was under way
	}
	if ev.Incarnation != 0 && w.incarnation != 0 && ev.Incarnation > w.incarnation {
		e.newIncarnation(w, ev.Incarnation, "answer to a start")
	}
	e.noteLeaseOfStart(ev)
	if answeredAtLeast(ev.Incarnation, ev.Start.Incarnation) == w.incarnation {
		w.noteClock(ev.Clock, e.now)
		if ev.Clock > 0 {
			w.noteAlive(r.startSentAt)
		}
	}
	if r.ended {
		return
	}
	if ev.Outcome == Accepted && (ev.Incarnation == 0 || ev.Incarnation >= r.incarnation) {
		e.startAccepted(r, ev)
		return
	}
	t := r.task
	e.log.Warn("start not confirmed", "job", t.step.job().id, "task", t.name, "run", r.number, "worker", w.id,
		"reason", ev.Outcome.String(), "orders", r.startsSent, "unanswered", r.unansweredStarts, "reported", r.phase == running,
		"life", ev.Start.Incarnation, "answer_life", ev.Incarnation, "worker_life", w.incarnation, "order_ms", e.msSince(r.startSentAt))
	switch ev.Outcome {
	case Fenced:
		e.fencedBy(w)
		e.startUnanswered(r)
	case NoAnswer:
		e.startUnanswered(r)
	case OtherIncarnation:
		if ev.Start.Incarnation == r.incarnation {
			e.incarnationRefused(r)
			return
		}
		e.startRefused(r, ev.Outcome)
	default:
		e.startRefused(r, ev.Outcome)
	}
}

// startAccepted applies the acceptance of a start command, by the run's incarnation of the
// worker or by one that the answer does not tell.
func (e *Engine) startAccepted(r *run, ev *StartAnswered) {
	t := r.task
	e.runSeen(r, ev.Clock)
	if r.phase != running { // a report has not shown it
		r.unattributed = ev.Incarnation == 0
		if e.startedByPresent(r, ev) {
			e.settleRun(r)
		}
	}
	if r.phase == starting {
		r.phase = running
		if r.unattributed && ev.Start.Incarnation < r.incarnation {
			r.phase = unconfirmed // the earlier incarnation may have accepted it
		}
	}
	e.markStarted(t.step.job())
	e.log.Info("task started", "term", e.cfg.Term, "job", t.step.job().id, "task", t.name, "run", r.number, "worker", r.worker.id,
		"life", ev.Start.Incarnation, "answer_life", ev.Incarnation, "worker_life", r.worker.incarnation, "orders", r.startsSent, "unanswered", r.unansweredStarts,
		"order_ms", e.msSince(r.startSentAt), "ready_ms", e.msSince(t.step.readyAt), "checkpoint", r.checkpoint != "")
	if r.phase == stopping {
		e.sendStop(r)
	}
}

// startUnanswered stops a run whose start command got no answer, unless a report has shown
// meanwhile that it has started, or the command can be repeated.
func (e *Engine) startUnanswered(r *run) {
	r.unansweredStarts++
	if r.phase == running || e.retryStart(r) {
		return
	}
	r.worker.health.failures++
	if r.phase == starting {
		r.phase = unconfirmed
	}
	e.stopRun(r, "no answer to the start")
}

// incarnationRefused ends a run in whose worker's place another one, or a later incarnation,
// has answered. That counts for the worker unless it is known in a later incarnation.
func (e *Engine) incarnationRefused(r *run) {
	w := r.worker
	if w.incarnation != 0 && r.incarnation == w.incarnation {
		e.workerReplaced(w, "command refused")
	}
	e.endRun(r, EndedLeaseExpired, "", "worker restarted")
}

// answeredAtLeast returns the earliest incarnation of a worker that can have answered a
// command: the one that the answer tells, or else the one that the command was sent to.
func answeredAtLeast(told, sentTo int64) int64 {
	if told != 0 {
		return told
	}
	return sentTo
}

// startRefused applies the refusal of a start command, which says that it had no effect, and nothing
// of an earlier one that got no answer.
func (e *Engine) startRefused(r *run, outcome CommandOutcome) {
	source := outcome.String()
	switch outcome {
	case Unhealthy:
		r.worker.health.quarantine(e.now)
		source = "worker refuses work"
	case BadTicket:
		r.task.step.invalidateTicket(r.worker)
		source = "ticket refused"
	case NotSent:
		r.worker.renewWithoutWait = true
		r.worker.nextRenewal = e.now // shows whether it is still there
	case StaleRun:
		source = "run number already used"
	case Accepted, OtherIncarnation:
		source = "worker restarted" // the answer is of an earlier incarnation than the run
	}
	switch {
	case r.phase == running:
		// A report has shown that an earlier command started it.
	case r.unansweredStarts > 0 || outcome == StaleRun: // StaleRun: it may be this run that has ended
		e.stopRun(r, "start refused ("+source+"), an earlier one is unconfirmed")
	default:
		e.endRun(r, EndedStopped, "", source)
	}
}

// inherited reports whether the start command for r was sent by an earlier leader.
func (r *run) inherited() bool { return r.startSent && r.startSentAt.IsZero() }

// startMayArrive reports whether the start command for r may still be carried out. A command that
// got no answer may be, for MaxCommandDelay, also by a later incarnation of the worker, which knows
// nothing of a stop or an end in the earlier one. Until then the task must not run elsewhere.
func (e *Engine) startMayArrive(r *run) bool {
	return r.startSent && !r.startSettled && !e.now.After(e.lastArrival(r))
}

// lastArrival returns until when a start command for r without an answer may be carried out.
func (e *Engine) lastArrival(r *run) time.Time {
	if !r.inherited() {
		return r.startSentAt.Add(e.cfg.MaxCommandDelay)
	}
	// An earlier leader may have sent it until this one took over.
	last := e.startedAt.Add(e.cfg.MaxCommandDelay)
	if byPlan := e.now.Add(maxPlanAge + e.cfg.MaxCommandDelay - e.sincePlanned(r)); r.plannedAt != 0 && byPlan.Before(last) {
		return byPlan
	}
	return last
}

// sincePlanned returns how long ago r was planned, by the clocks of the leaders.
func (e *Engine) sincePlanned(r *run) time.Duration {
	return time.Duration(e.wall()-r.plannedAt) * time.Millisecond
}

// mayRunInAnotherIncarnation reports whether the start command for r may have been carried out, or
// still be, by a later incarnation of its worker than r names.
func (e *Engine) mayRunInAnotherIncarnation(r *run) bool {
	return r.unattributed || e.mayRunUnreached(r)
}

// holdRun releases the resources of r on its worker, which refuses its start command from now on.
// The task waits until no later incarnation may carry out the command either.
func (e *Engine) holdRun(r *run) {
	if r.held {
		return
	}
	r.held = true
	e.log.Info("run held", "job", r.task.step.ref.Job, "task", r.task.name, "run", r.number, "worker", r.worker.id, "stop_reason", r.stopReason, "inherited", r.inherited(),
		"planned_ms", e.sincePlanned(r).Milliseconds(), "until_ms", e.lastArrival(r).Sub(e.now).Milliseconds())
	r.worker.setUsed(r.worker.used.Sub(r.charge))
	e.needsPlacement = true
}

// unholdRun reserves the resources of r on its worker again, which has restarted and may carry out
// its start command.
func (e *Engine) unholdRun(r *run) {
	if r.held {
		r.held = false
		r.worker.setUsed(r.worker.used.Add(r.charge))
	}
}

// stopRun requests the end of a run for the given reason. The run keeps its worker's
// resources until the worker's reports show its end or its lease has expired.
func (e *Engine) stopRun(r *run, why string) {
	if r.ended || r.phase == stopping {
		return
	}
	r.phase = stopping
	r.stopReason = why
	if !r.startSent {
		return // the start command was not sent; sendStart ends the run
	}
	e.sendStop(r)
}

// sendStop sends a stop command unless one is under way.
func (e *Engine) sendStop(r *run) {
	if r.stopInFlight || r.worker.address == "" {
		return
	}
	r.stopInFlight = true
	r.stopSentAt = e.now
	e.emit(&Stop{Worker: r.worker.id, Address: r.worker.address, Fence: e.fenceOf(r.worker), Incarnation: r.incarnation, Task: r.task.name, Run: r.number, Timeout: stopTimeout, run: r})
}

// stopAnswered applies the outcome of a stop command.
func (e *Engine) stopAnswered(ev *StopAnswered) {
	r := ev.Stop.run
	if r == nil {
		return // an unknown run; the next renewal shows whether it has stopped
	}
	r.stopInFlight = false
	w := r.worker
	if ev.Incarnation != 0 && w.incarnation != 0 && ev.Incarnation > w.incarnation {
		e.newIncarnation(w, ev.Incarnation, "answer to a stop")
	}
	if r.ended {
		return
	}
	if answeredAtLeast(ev.Incarnation, ev.Stop.Incarnation) < r.incarnation {
		return // the answer is not of the run's incarnation; the command is sent again
	}
	switch ev.Outcome {
	case Accepted, StaleRun: // StaleRun: this run or a newer one has ended, so the worker no longer has this one
		if r.stopConfirmedAt.IsZero() {
			r.stopConfirmedAt = e.now
		}
		w.renewWithoutWait = true
		w.nextRenewal = e.now
	case Fenced:
		if !w.fencedEarlierIncarnation(ev.Stop.Fence) { // else the command is sent again
			e.fencedBy(w)
		}
	case OtherIncarnation:
		if ev.Stop.Incarnation == r.incarnation { // else the command is sent again
			e.incarnationRefused(r)
		}
	}
}

// retryStops repeats each stop command that the worker has not accepted StopRetryDelay
// after it was sent. The runs are checked at most eight times per StopRetryDelay.
func (e *Engine) retryStops() {
	if e.now.Sub(e.stopsRetriedAt) < e.cfg.StopRetryDelay/8 {
		return
	}
	e.stopsRetriedAt = e.now
	for _, w := range e.workerList {
		if len(w.runs) == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase == stopping && !r.stopInFlight && r.startSent && r.stopConfirmedAt.IsZero() && e.now.Sub(r.stopSentAt) > e.cfg.StopRetryDelay {
				e.sendStop(r)
			}
		}
	}
}

// observeRuntime updates the runtime estimates with a successful run.
func (e *Engine) observeRuntime(r *run) {
	e.learnRuntime(r)
	if r.startSentAt.IsZero() || r.restored {
		return
	}
	took := e.now.Sub(r.startSentAt)
	estimate := r.task.step.spec.Estimate
	if estimate <= 0 || took <= 0 {
		return
	}
	e.estimator.observe(r.task.step.job().queue, float64(took)/float64(estimate))
}

// runtimeEstimator keeps, by queue, the smoothed ratio of the runtime of tasks to their
// estimates.
type runtimeEstimator struct{ ratios map[string]float64 }

// runtimeRatioWeight is the weight of one run in the smoothed ratio.
const runtimeRatioWeight = 0.05

// observe adds the ratio of one run.
func (r *runtimeEstimator) observe(queue string, ratio float64) {
	if r.ratios == nil {
		r.ratios = make(map[string]float64)
	}
	old, known := r.ratios[queue]
	if !known {
		r.ratios[queue] = ratio
		return
	}
	r.ratios[queue] = old + runtimeRatioWeight*(ratio-old)
}

// expect returns the expected runtime of a task with the given estimate.
func (r *runtimeEstimator) expect(queue string, estimate time.Duration) time.Duration {
	if ratio, known := r.ratios[queue]; known {
		return time.Duration(float64(estimate) * ratio)
	}
	return estimate
}
