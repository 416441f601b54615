package engine

import (
	"slices"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// applyEnds applies the finished runs that a worker reports.
func (e *Engine) applyEnds(w *worker, rep *Report) {
	last := w.appliedCursor
	hasNew := false // the report contains ends that have not been applied
	for i := range rep.Ended {
		end := &rep.Ended[i]
		if end.Number <= w.appliedCursor {
			continue
		}
		if !hasNew {
			e.checkFirstEnd(w, end)
		}
		last = max(last, end.Number)
		hasNew = true
		ref, err := job.ParseTask(end.Task)
		if err != nil {
			e.log.Warn("worker reported the end of an unknown task", "worker", w.id, "task", end.Task, "reason", err.Error())
			continue
		}
		e.applyEnd(w, ref, end)
	}
	if !hasNew {
		return
	}
	w.appliedCursor = last
	w.unstoredBatches++
	w.renewWithoutWait = true
	incarnation := w.incarnation
	e.afterAppend(func() {
		w.unstoredBatches--
		if w.incarnation == incarnation {
			w.cursor = max(w.cursor, last)
			w.nextRenewal = e.now
		}
	})
}

// applyEnd applies one finished run.
func (e *Engine) applyEnd(w *worker, ref job.TaskRef, end *RunEnd) {
	t := e.task(ref)
	if t == nil {
		return
	}
	if end.Reason == EndedDone || end.Reason == EndedFailed {
		e.outlivedStart(t)
	}
	for _, r := range t.runs {
		if r.worker == w && r.number == end.Run {
			e.markStarted(t.step.job())
			e.endRun(r, end.Reason, end.Checkpoint, "reported")
			return
		}
	}
	// The run is unknown: it was abandoned after its lease had expired, or its record
	// was never stored. Its end is acknowledged like any other, so a success counts, also
	// if the task has another run by now.
	// A failure has been counted if the run was known to end, also to an earlier leader. One
	// of a run that was given up for its lease does not count, as the lease has lapsed.
	counted := end.Run <= t.lastRun && (t.lastEnd.run != end.Run || t.lastEnd.reason != EndedStopped)
	e.logUnknownRun("end of an unknown run", w, t, end.Task, end.Run, "how", end.Reason.String(), "last_end_how", t.lastEnd.reason.String(), "last_run", t.lastRun, "counted", counted, "failures", t.failures)
	if end.Run > t.lastRun {
		t.lastRun = end.Run
		t.step.lastGangRun = max(t.step.lastGangRun, end.Run)
	}
	switch {
	case end.Reason == EndedDone:
		e.taskDone(t, end.Run)
	case end.Reason == EndedFailed && !counted && !t.done && !t.step.job().state.Final():
		e.taskFailed(t, w, end.Run)
		e.markDirty(t)
	}
}

// applyRunning compares the runs that a worker reports with those it should have.
func (e *Engine) applyRunning(w *worker, ev *RenewalAnswered) {
	present := make(map[string]*RunStatus, len(ev.Report.Running))
	w.unknownRuns = 0
	for i := range ev.Report.Running {
		s := &ev.Report.Running[i]
		present[s.Task] = s
		ref, err := job.ParseTask(s.Task)
		if err != nil {
			e.log.Warn("worker reported a run of an unknown task", "worker", w.id, "task", s.Task, "reason", err.Error())
			continue
		}
		e.applyStatus(w, ref, s, ev.Report.Clock)
	}
	if ev.Report.MoreEnds {
		return // a run that is missing may be among the ends that were left out
	}
	for _, r := range w.currentRuns() {
		s := present[r.task.name]
		if s != nil && s.Run == r.number {
			continue
		}
		e.runMissing(w, r, ev)
	}
}

// applyStatus applies one run that a worker reports as running.
func (e *Engine) applyStatus(w *worker, ref job.TaskRef, s *RunStatus, clock int64) {
	t := e.task(ref)
	if t != nil {
		for _, r := range t.runs {
			if r.worker == w && r.number == s.Run {
				e.runReported(r, s)
				e.runSeen(r, clock)
				e.runProgressed(r, s.Percent)
				return
			}
		}
	}
	e.stopUnknownRun(w, t, s)
}

// runReported records the progress of a run.
func (e *Engine) runReported(r *run, s *RunStatus) {
	if r.phase == starting || r.phase == unconfirmed || r.phase == planned && r.restored {
		r.phase = running
		e.markStarted(r.task.step.job())
	}
	r.restored, r.unattributed, r.startSettled = false, false, true
	e.settleRun(r)
	r.task.noteCheckpoint(s.Checkpoint)
	if r.baseAt.IsZero() {
		r.basePercent, r.baseAt = s.Percent, e.now
	}
	if s.Percent > r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = s.Percent, e.now
	}
	if r.task.done && r.phase == running {
		e.stopRun(r, "the task is done")
	}
}

// stopUnknownRun stops a run that this leader does not know: an earlier leader started
// it without its record being stored, or the worker carried out a start command late.
func (e *Engine) stopUnknownRun(w *worker, t *task, s *RunStatus) {
	w.unknownRuns++
	w.renewWithoutWait = true
	key := s.Task
	if at, known := e.unknownRunStops[key]; known && e.now.Sub(at) < e.cfg.StopRetryDelay {
		return
	}
	e.unknownRunStops[key] = e.now
	e.logUnknownRun("stopping unknown run", w, t, s.Task, s.Run)
	e.emit(&Stop{Timeout: stopTimeout, Worker: w.id, Address: w.address, Fence: e.fenceOf(w), Incarnation: w.incarnation, Task: s.Task, Run: s.Run})
}

// logUnknownRun logs a run on w that this leader does not know, with what it does know of
// the task: the run that it has now, and how the last one that ended became known to have
// ended. t is nil if the task is not known.
func (e *Engine) logUnknownRun(msg string, w *worker, t *task, name string, number int, attrs ...any) {
	id, _, _ := strings.Cut(name, ".")
	attrs = append([]any{"job", id, "task", name, "run", number, "worker", w.id, "task_known", t != nil}, attrs...)
	if t != nil {
		attrs = append(attrs, "done", t.done, "last_end_run", t.lastEnd.run, "last_end_source", t.lastEnd.source, "last_end_ms", e.msSince(t.lastEnd.at))
		if t.hasRuns() {
			attrs = append(attrs, "other_run", t.runs[0].number, "other_worker", t.runs[0].worker.id)
		}
	}
	e.log.Warn(msg, attrs...)
}

// runMissing handles a run that the worker reports neither as running nor as finished.
func (e *Engine) runMissing(w *worker, r *run, ev *RenewalAnswered) {
	switch r.phase {
	case planned:
		if !r.restored {
			return
		}
		e.stopRun(r, "not reported after a change of leader")
	case starting:
		return // the start command may still be under way; its answer decides
	case running:
		if ev.SentAt.After(r.startSentAt.Add(e.cfg.StartReportTimeout)) {
			// The run was confirmed and is not reported as finished: the worker lost it.
			e.stopRun(r, "missing on its worker")
		}
	case unconfirmed:
		e.stopRun(r, "start unconfirmed")
	case stopping:
		if r.stopConfirmedAt.IsZero() || !ev.SentAt.After(r.stopConfirmedAt) {
			return
		}
		if !r.hasTicket() && e.startMayArrive(r) { // the ticket's incarnation has reported, or has ended
			e.holdRun(r)
			return
		}
		e.endRun(r, EndedStopped, "", "absent after the stop")
	}
}

// leaseCheckInterval is the minimum interval between two checks for expired leases.
const leaseCheckInterval = 20 * time.Millisecond

// expireLeases ends the runs on workers that were unreachable until all of their
// leases had expired.
func (e *Engine) expireLeases() {
	if e.now.Sub(e.leasesCheckedAt) < leaseCheckInterval {
		return
	}
	e.leasesCheckedAt = e.now
	for _, w := range e.workerList {
		if len(w.runs) == 0 {
			continue
		}
		sent := slices.DeleteFunc(w.sentRuns(), func(r *run) bool { return e.now.Before(e.leaseExpiresAt(r)) || e.mayRunUnreached(r) })
		if len(sent) == 0 {
			continue
		}
		e.log.Warn("leases expired", "worker", w.id, "life", w.incarnation, "runs", len(sent), "reported", w.reported,
			"last_answer_ms", e.msSince(w.lastAnswer), "clock", w.clock, "clock_age_ms", e.msSince(w.clockAt), "lease_end", w.leaseEnd,
			"term_ms", e.msSince(e.startedAt), "settled", countRuns(sent, (*run).settled), "new_at_takeover", countRuns(sent, (*run).wasNewAtTakeover))
		var crashing []*task
		if !w.refusingSince.IsZero() {
			crashing = e.countCrash(w, sent, false)
		}
		for _, r := range sent {
			e.endRun(r, EndedLeaseExpired, "", "lease expired without contact")
		}
		e.giveUp(crashing)
	}
}

// longestLease returns the longest time for which a worker may hold a lease.
func (e *Engine) longestLease() time.Duration {
	return e.cfg.MaxLease + time.Duration(float64(e.cfg.MaxLease)*2*clockDrift)
}

// leasesExpireAt returns when the leases of all runs on w have certainly expired if w is not
// reached again.
func (e *Engine) leasesExpireAt(w *worker) time.Time {
	longest := e.longestLease()
	end := e.startedAt.Add(max(longest, e.settledLease())) // the leader before may not have noticed that it was replaced
	if w.reported {
		end = w.leasesExpireAt()
	} else if w.incarnationSince.After(e.startedAt) {
		end = w.incarnationSince.Add(longest)
	}
	// An incarnation that is not known yet may grant the maximum, as the leases that were
	// requested are on another clock.
	if unknown := w.unknownClockAt.Add(longest); !w.unknownClockAt.IsZero() && unknown.After(end) {
		end = unknown
	}
	return latest(end, w.lateLeasesUntil)
}
