package engine

import (
	"slices"

	"pollenbend/internal/cell/record"
)

// taskDone records that the run of t with the given number has succeeded. If t belongs to a
// gang, all of its members have succeeded then. Other runs are stopped.
func (e *Engine) taskDone(t *task, number int) {
	s := t.step
	if t.done || s.spec.LongRunning {
		return
	}
	members := []*task{t}
	if s.spec.Gang {
		members = s.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		if !m.hasRuns() {
			s.waiting--
		}
		m.done = true
		s.remaining--
		for _, r := range m.runs {
			if !s.spec.Gang || r.number != number {
				e.stopRun(r, "another run of the task is done")
			}
		}
	}
	e.markDirty(t)
	e.needsPlacement = true
	if s.remaining == 0 {
		e.stepDone(s)
	}
}

// stepDone records that all tasks of s are done.
func (e *Engine) stepDone(s *stepState) {
	o := s.occ
	o.remaining--
	e.log.Debug("step done", "step", s.name, "since_ready_ms", e.msSince(s.readyAt))
	if o.remaining > 0 {
		e.openReadySteps(o)
		return
	}
	j := o.job
	j.remaining--
	if j.remaining == 0 && !j.state.Final() {
		e.finishJob(j, record.Completed)
	}
}

// endRun removes a run from its worker and decides what follows for its task. source
// says for the log how the end became known.
func (e *Engine) endRun(r *run, reason EndReason, checkpoint, source string) {
	if r.ended {
		return
	}
	t, s := r.task, r.task.step
	j := s.job()
	e.removeRun(r)
	t.noteCheckpoint(checkpoint)
	what := "run ended"
	if !r.startSent {
		what = "run dropped" // no start command was sent
	}
	e.log.Info(what, "job", j.id, "task", t.name, "run", r.number, "worker", r.worker.id, "how", reason.String(),
		"source", source, "ran_ms", e.msSince(r.startSentAt), "percent", r.percent, "stop_reason", r.stopReason,
		"orders", r.startsSent, "unanswered", r.unansweredStarts, "start_settled", r.startSettled, "settled", r.settled(), "new_at_takeover", r.newAtTakeover, "held", r.held, "stopped_ms", e.msSince(r.stopConfirmedAt), "worker_silent_ms", e.msSince(r.worker.lastAnswer),
		"life", r.incarnation, "worker_life", r.worker.incarnation, "refusing_ms", e.msSince(r.worker.refusingSince), "runs_beside", len(r.worker.runs))
	t.lastEnd = lastEnd{run: r.number, reason: reason, source: source, at: e.now}
	e.updateHealth(r, reason)
	e.markDirty(t)
	e.needsPlacement = true
	if j.state.Final() {
		e.compactJob(j)
		return
	}
	switch reason {
	case EndedDone:
		e.observeRuntime(r)
		e.taskDone(t, r.number)
	case EndedFailed:
		e.taskFailed(t, r.worker, r.number)
	default:
		if t.failures > 0 && !t.hasRuns() {
			e.failExhausted(t) // the declarations may have changed while it ran
		}
	}
	if s.spec.Gang && !t.done && reason != EndedDone {
		e.stopGangRun(s, r.number)
	}
}

// noteCheckpoint records a checkpoint of t, unless it is empty. A checkpoint of a member of a
// gang is valid for all, and all have to start from the same one.
func (t *task) noteCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	t.checkpoint = checkpoint
	if t.step.spec.Gang {
		for _, m := range t.step.tasks {
			m.checkpoint = checkpoint
		}
	}
}

// removeRun removes a run from its task and its worker and releases its resources.
func (e *Engine) removeRun(r *run) {
	r.ended = true
	r.endExposure()
	t := r.task
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	r.worker.runs = slices.DeleteFunc(r.worker.runs, func(other *run) bool { return other == r })
	if !r.held {
		r.worker.setUsed(r.worker.used.Sub(r.charge))
	}
	team := t.step.job().team
	e.usage[team] = e.usage[team].Sub(t.step.spec.Need)
	e.contention.runReleased(r)
	if !t.done && !t.hasRuns() {
		t.step.waiting++
		e.reopen(t.step)
	}
}

// reopen adds s to the open steps again.
func (e *Engine) reopen(s *stepState) {
	if !s.ready || s.job().state.Final() {
		return
	}
	e.addOpenStep(s)
}

// taskFailed counts the failure of the run of t with the given number on w, and fails the job when its
// attempts are used up.
func (e *Engine) taskFailed(t *task, w *worker, number int) {
	s := t.step
	if s.spec.LongRunning {
		return
	}
	t.lastFailedOn = w.id
	if s.spec.Gang {
		s.gangFailed(number)
	} else {
		t.failures++
	}
	e.failExhausted(t)
}

// gangFailed counts the failure of a run of the gang, which fails as a whole: once, however many of its
// members end as failed.
func (s *stepState) gangFailed(number int) {
	if slices.Contains(s.failedGangRuns, number) {
		return
	}
	s.failedGangRuns = append(s.failedGangRuns, number)
	for _, m := range s.tasks {
		m.failures++
	}
}

// failExhausted fails the job of t if t has used up the attempts that its queue declares.
// While the declarations of the queue are not known, the job goes on.
func (e *Engine) failExhausted(t *task) {
	j := t.step.job()
	q := e.queueOf(j)
	if q == nil || t.done || j.state.Final() || t.failures < max(1, q.Attempts) {
		return
	}
	e.log.Info("job failed", "job", j.id, "task", t.name, "reason", "attempts used up", "failures", t.failures, "attempts", max(1, q.Attempts),
		"last_run", t.lastRun, "gang", t.step.spec.Gang, "failed_gang_runs", t.step.failedGangRuns)
	e.finishJob(j, record.Failed)
}

// stopGangRun stops the remaining members of a gang's run after one member ended early.
func (e *Engine) stopGangRun(s *stepState, number int) {
	for _, m := range s.tasks {
		for _, r := range m.runs {
			if r.number == number && r.phase != stopping {
				e.stopRun(r, "another member of the gang ended")
			}
		}
	}
}

// updateHealth updates the health of a worker with the outcome of a run.
func (e *Engine) updateHealth(r *run, reason EndReason) {
	w := r.worker
	switch reason {
	case EndedDone:
		w.health.succeeded()
	case EndedFailed:
		if r.task.failures > 0 && r.task.lastFailedOn != w.id {
			return // the task failed on another worker too, so the task is the likely cause
		}
		if slices.Contains(r.task.step.failedGangRuns, r.number) {
			return // the run has counted for another member
		}
		if w.health.failed(e.now) {
			e.log.Warn("worker quarantined", "worker", w.id, "failures", w.health.failures, "for_ms", w.health.quarantineTime.Milliseconds())
		}
	}
}
