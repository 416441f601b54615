package runtimes

import (
	"math"
	"time"
)

// Expectation is the distribution of the run time of a task on a worker.
type Expectation struct {
	estimate float64 // in nanoseconds
	slowness float64 // of the worker
	location float64 // logarithm of the ratio to the estimate that dist is relative to
	dist     *histogram
	samples  int
	mates    int
}

// scale returns the run time in nanoseconds that dist is relative to.
func (x Expectation) scale() float64 {
	if x.location == 0 {
		return x.estimate * x.slowness
	}
	return x.estimate * x.slowness * math.Exp(x.location)
}

// distribution returns the histogram of x.
func (x Expectation) distribution() *histogram {
	if x.dist == nil {
		return &unknown
	}
	return x.dist
}

// Samples returns the number of samples behind the expectation, reduced by the weight
// that old ones have lost.
func (x Expectation) Samples() int { return x.samples }

// Median returns the run time that half of such tasks do not exceed.
func (x Expectation) Median() time.Duration {
	return toDuration(x.scale() * math.Exp(x.distribution().median()))
}

// Mean returns the mean run time.
func (x Expectation) Mean() time.Duration { return toDuration(x.scale() * x.distribution().mean()) }

// Quantile returns the run time that a task does not exceed with probability p.
func (x Expectation) Quantile(p float64) time.Duration {
	return toDuration(x.scale() * math.Exp(x.distribution().quantile(p)))
}

// Remaining returns the time that a task which has worked for the given time still takes
// and does not exceed with probability p.
func (x Expectation) Remaining(worked time.Duration, p float64) time.Duration {
	scale := x.scale()
	if worked <= 0 || scale <= 0 {
		return x.Quantile(p)
	}
	end := toDuration(scale * math.Exp(x.distribution().quantileBeyond(math.Log(float64(worked)/scale), p)))
	return max(0, end-worked)
}

// Prediction returns what is to be remembered of x until the task has ended.
func (x Expectation) Prediction() Prediction {
	return Prediction{location: x.location, mates: x.mates, p90: x.Quantile(0.9)}
}

// toDuration converts nanoseconds, which may be more than a Duration can hold.
func toDuration(ns float64) time.Duration {
	return time.Duration(min(ns, float64(math.MaxInt64/4)))
}
