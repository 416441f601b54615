package engine

import (
	"math"
	"time"
)

const (
	// runtimeSpread is the assumed standard deviation of the logarithm of the run time relative
	// to its expectation. Jobs of a queue differ by about this much.
	runtimeSpread = 0.5
	// progressSpread is the same for the remaining time of a run whose progress is known.
	progressSpread = 0.15
	// minRemaining is the least remaining time that is expected of a run. The report of an end
	// takes about as long.
	minRemaining = 50 * time.Millisecond
)

// expectedEnd returns when r ends with probability p. A run that should have ended is
// expected to take as long as it is late by now.
func (e *Engine) expectedEnd(r *run, p float64) time.Time {
	if remaining, known := e.remainingTime(r); known {
		if remaining > 0 {
			return e.now.Add(max(minRemaining, scale(remaining, spreadFactor(p, progressSpread))))
		}
		return e.now.Add(max(minRemaining, e.now.Sub(r.progressAt)))
	}
	worked := time.Duration(0)
	if !r.startSentAt.IsZero() {
		worked = e.now.Sub(r.startSentAt)
	}
	remaining := scale(e.expectedRuntime(r), meanFactor(p)) - worked
	if remaining < 0 {
		remaining = -remaining
	}
	return e.now.Add(max(minRemaining, remaining))
}

// spreadFactor returns the p-quantile of a log-normal distribution relative to its median.
func spreadFactor(p, spread float64) float64 {
	return math.Exp(math.Sqrt2 * math.Erfinv(2*p-1) * spread)
}

// meanFactor returns the p-quantile of the run time relative to its mean, which is what the
// queue's smoothed ratio follows.
func meanFactor(p float64) float64 {
	return spreadFactor(p, runtimeSpread) * math.Exp(-runtimeSpread*runtimeSpread/2)
}

// scale returns d times factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
