package engine

import (
	"math"
	"time"
)

const (
	// longRunningTime is the time after which a run that lasts until its job is canceled
	// counts as ending.
	longRunningTime = 24 * time.Hour
	// minProgressError is the least relative error of the remaining time that progress
	// tells. The percent are integers, so the error is larger with little progress.
	minProgressError = 0.05
	// expectedEndValidity is how long an expected end is used before it is computed anew.
	// Placement asks for those of all runs of many workers.
	expectedEndValidity = 100 * time.Millisecond
	// overdueExponent is that of the Pareto distribution by which a run that is later than
	// its progress told ends.
	overdueExponent = 1.5
)

// knownEnd is an expected end that was computed lately.
type knownEnd struct {
	p          float64
	end        time.Time
	computedAt time.Time
	progressAt time.Time // run.progressAt then
	phase      phase     // of the run then
}

// expectedEnd returns the time by which r ends with probability p. It is never in the
// past. A run without progress that is known ends by what is expected of its run time.
func (e *Engine) expectedEnd(r *run, p float64) time.Time {
	slot := r.knownEnd(p)
	if slot.p != p || slot.phase != r.phase || !slot.progressAt.Equal(r.progressAt) || e.now.Sub(slot.computedAt) >= expectedEndValidity {
		computed := knownEnd{p: p, end: e.now.Add(e.timeLeft(r, p)), computedAt: e.now, progressAt: r.progressAt, phase: r.phase}
		if e.trial != nil {
			slot = &knownEnd{} // it must not use the entry of the run
		}
		*slot = computed
	}
	if slot.end.Before(e.now) {
		return e.now
	}
	return slot.end
}

// knownEnd returns the entry of r.ends for a probability, or the older one if there is none.
func (r *run) knownEnd(p float64) *knownEnd {
	first, second := &r.ends[0], &r.ends[1]
	if first.p == p || second.p != p && first.computedAt.Before(second.computedAt) {
		return first
	}
	return second
}

// timeLeft returns the time that r still takes and does not exceed with probability p.
func (e *Engine) timeLeft(r *run, p float64) time.Duration {
	switch {
	case r.phase == stopping && r.startSent:
		return e.cfg.MaxStopDuration
	case r.task.step.spec.LongRunning:
		return longRunningTime
	}
	if !e.cfg.Features.LearnedRuntimes {
		return e.leftByEstimate(r, p)
	}
	if left, known := e.remainingTime(r); known {
		return e.leftByProgress(r, left, p)
	}
	return e.expectation(r).Remaining(e.workedTime(r), p)
}

const (
	// progressSpread is the assumed standard deviation of the logarithm of the remaining time of a
	// run whose progress is known, without learned run times.
	progressSpread = 0.15
	// minTimeLeft is the least time that is expected of a run then. The report of an end takes
	// about as long.
	minTimeLeft = 50 * time.Millisecond
)

// leftByEstimate returns the time that r still takes with probability p by its progress or else by
// its estimate and the smoothed ratio of its queue. A run that should have ended is expected to
// take as long as it is late by now.
func (e *Engine) leftByEstimate(r *run, p float64) time.Duration {
	left, known := e.remainingTime(r)
	switch {
	case known && left > 0:
		left = scale(left, spreadFactor(p, progressSpread))
	case known:
		left = e.now.Sub(r.progressAt)
	case r.startSentAt.IsZero():
		left = scale(e.expectedRuntime(r), meanFactor(p))
	default:
		left = (scale(e.expectedRuntime(r), meanFactor(p)) - e.now.Sub(r.startSentAt)).Abs()
	}
	return max(minTimeLeft, left)
}

// workedTime returns how long r has worked, zero if that is not known.
func (e *Engine) workedTime(r *run) time.Duration {
	switch {
	case !r.startSentAt.IsZero():
		return e.now.Sub(r.startSentAt)
	case r.inherited() && r.plannedAt > 0:
		return max(0, e.sincePlanned(r))
	}
	return 0
}

// leftByProgress returns the time that r still takes with probability p, of which its
// progress tells that it takes left more. A run that should have ended by now ends the
// later, the longer it is overdue.
func (e *Engine) leftByProgress(r *run, left time.Duration, p float64) time.Duration {
	gained := float64(r.percent - r.basePercent)
	if left > 0 {
		deviations := math.Sqrt2 * math.Erfinv(2*p-1)
		return time.Duration(float64(left) * math.Exp(deviations*(minProgressError+1/gained)))
	}
	perPercent := float64(r.progressAt.Sub(r.baseAt)) / gained
	overdue := float64(e.now.Sub(r.progressAt)) - perPercent*float64(100-r.percent)
	return time.Duration(perPercent + overdue*(math.Pow(1-p, -1/overdueExponent)-1))
}
