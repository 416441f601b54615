package engine

import (
	"time"

	"pollenbend/internal/cell/policy"
)

// A run is a straggler if it makes no progress, or if a speculative run started now is
// expected to end well before it. This handles workers that hang or become slow while
// they report themselves as healthy.

const (
	// runCheckInterval is the minimum interval between two checks for stragglers.
	runCheckInterval = 100 * time.Millisecond
	// A run counts as stalled after minStallTime without progress or after stallRatio of
	// its expected runtime, whichever is longer. minStallTime is longer than the interval
	// between two reports of a busy worker.
	minStallTime = 2500 * time.Millisecond
	stallRatio   = 0.25
	// speculationMinRatio is the minimum ratio of the remaining time of a run to the
	// expected runtime of a new run for a speculative run to be started.
	speculationMinRatio = 1.6
	// minProgressPercent is the minimum progress, in percent, from which the remaining
	// time of a run is estimated.
	minProgressPercent = 5
	// speculativeRatio is the part of a service's CPU that may be used for speculative
	// runs in a placement round.
	speculativeRatio = 0.04
)

// checkRuns stops stalled runs, requests placement for runs that are worth speculating,
// and stops runs on draining workers in time. It stores which runs are settled.
func (e *Engine) checkRuns() {
	if e.now.Sub(e.runsCheckedAt) < runCheckInterval {
		return
	}
	e.runsCheckedAt = e.now
	e.stragglers = e.stragglers[:0]
	for _, w := range e.workerList {
		e.storeSettledRuns(w)
		if len(w.runs) == 0 || w.missedRenewals > 0 {
			continue
		}
		for _, r := range w.currentRuns() {
			if r.phase != running {
				continue
			}
			switch {
			case e.stalled(r):
				e.log.Warn("run makes no progress", "job", r.task.step.ref.Job, "task", r.task.name, "run", r.number, "worker", w.id,
					"percent", r.percent, "still_ms", e.msSince(r.progressAt), "expected_ms", e.expectedRuntime(r).Milliseconds())
				if w.health.stalled(e.now) {
					e.log.Warn("worker quarantined", "worker", w.id, "stalls", w.health.stalls, "for_ms", w.health.quarantineTime.Milliseconds())
				}
				e.stopRun(r, "no progress")
			case w.draining && e.mustEvacuate(r):
				e.stopRun(r, "its worker leaves before it ends")
			case r.task.step.mayCopyRuns() && len(r.task.runs) == 1 && e.worthSpeculating(r):
				e.stragglers = append(e.stragglers, r)
				e.needsPlacement = true
			}
		}
	}
}

// mayCopyRuns reports whether speculative runs may be started for single tasks of s. The members of a gang work only
// in runs of the same number, so a copy of one of them would wait for the others in vain.
func (s *stepState) mayCopyRuns() bool { return s.spec.Speculative && !s.spec.Gang }

// expectedRuntime returns the expected runtime of a run from its start to its end.
func (e *Engine) expectedRuntime(r *run) time.Duration {
	if e.cfg.Features.LearnedRuntimes {
		return e.expectation(r).Median()
	}
	s := r.task.step
	return e.estimator.expect(s.job().queue, s.spec.Estimate)
}

// remainingByRuntime returns the time that r still takes by its expected runtime.
func (e *Engine) remainingByRuntime(r *run) time.Duration {
	if e.cfg.Features.LearnedRuntimes {
		return e.expectation(r).Remaining(e.workedTime(r), 0.5)
	}
	return max(0, e.expectedRuntime(r)-e.now.Sub(r.startSentAt))
}

// stalled reports whether r has made no progress for so long that its task should be
// started on another worker.
func (e *Engine) stalled(r *run) bool {
	if r.progressAt.IsZero() || r.task.step.spec.LongRunning || r.percent >= 99 {
		return false
	}
	if r.task.step.spec.Gang && r.percent == 0 && e.now.Sub(r.startSentAt) < e.cfg.GangStartTimeout+minStallTime {
		return false // it may be waiting for the other members
	}
	if e.now.Sub(r.progressAt) <= minStallTime {
		return false // spares the expected runtime of most runs
	}
	// The progress of a long run changes rarely, as one percent of it takes a hundredth of
	// the runtime. A run whose worker has not answered since limit/2 after the last progress
	// is not stopped, as its progress is not known.
	limit := max(minStallTime, time.Duration(float64(e.expectedRuntime(r))*stallRatio))
	return e.now.Sub(r.progressAt) > limit && r.worker.lastAnswer.After(r.progressAt.Add(limit/2))
}

// remainingTime returns the remaining time of r, estimated from its progress so far. It
// reports false if there is too little progress for an estimate.
func (e *Engine) remainingTime(r *run) (time.Duration, bool) {
	gained := r.percent - r.basePercent
	if gained < minProgressPercent || r.progressAt.Before(r.baseAt) {
		return 0, false
	}
	perPercent := float64(r.progressAt.Sub(r.baseAt)) / float64(gained)
	remaining := time.Duration(perPercent*float64(100-r.percent)) - e.now.Sub(r.progressAt)
	return max(0, remaining), true
}

// mustEvacuate reports whether r, on a draining worker that leaves before r ends, has to
// be stopped now to keep its progress. A run without checkpoints has nothing to keep and
// goes on, as it may still finish, unless it needs much longer than the worker stays.
func (e *Engine) mustEvacuate(r *run) bool {
	untilLeave := r.worker.leavesAt.Sub(e.now)
	remaining, known := e.remainingTime(r)
	if !known {
		remaining = e.remainingByRuntime(r)
	}
	if remaining < untilLeave {
		return false
	}
	if r.task.step.spec.LongRunning {
		return true
	}
	if !r.task.step.spec.Checkpoints {
		return remaining > untilLeave+drainOverstay
	}
	return untilLeave < e.cfg.MaxStopDuration+evacuationMargin
}

const (
	// evacuationMargin is the time before a worker leaves at which its runs are stopped,
	// in addition to the time that a stop takes. It covers the renewal that confirms the
	// stop.
	evacuationMargin = 700 * time.Millisecond
	// drainOverstay is how much longer than announced a draining worker usually stays.
	drainOverstay = 2 * time.Second
)

// placeSpeculativeRuns plans speculative runs for the stragglers of steps that allow
// them.
func (e *Engine) placeSpeculativeRuns(rounds map[string]*placementRound) {
	for _, r := range e.stragglers {
		s := r.task.step
		if r.ended || r.phase != running || len(r.task.runs) > 1 || r.task.done || s.job().state.Final() || s.job().overEntitlement {
			continue
		}
		q := e.queueOf(s.job())
		if q == nil || !e.worthSpeculating(r) {
			continue
		}
		e.placeSpeculativeRun(r, q, e.roundOf(rounds, q.Service))
	}
}

// worthSpeculating reports whether a new run of r's task is expected to end well before r.
func (e *Engine) worthSpeculating(r *run) bool {
	remaining, known := e.remainingTime(r)
	if !known {
		return false
	}
	return float64(remaining) > speculationMinRatio*float64(e.shortestNewRun(r))
}

// placeSpeculativeRun plans a speculative run for the task of r if a worker is free for
// it.
func (e *Engine) placeSpeculativeRun(r *run, q *policy.Queue, round *placementRound) {
	s := r.task.step
	if round.speculativeBudget <= 0 || len(e.withinLimit(s, []*task{r.task})) == 0 {
		return
	}
	for _, w := range e.fasterWorkers(r, e.placeableWorkers(s, q, round)) {
		if w == r.worker || w.closedTo(s.job()) || !s.charge.Fits(e.freeFor(s, w)) || w.health.failures > 0 {
			continue
		}
		if s.spec.MaxPerWorker > 0 && s.tasksOn(w) >= s.spec.MaxPerWorker {
			continue
		}
		round.speculativeBudget -= s.charge.CPU
		e.log.Info("speculative run planned", "job", s.ref.Job, "task", r.task.name, "slow_worker", r.worker.id, "percent", r.percent, "worker", w.id)
		e.planRun(r.task, w, r.task.lastRun+1, s.ticket(w))
		return
	}
}
