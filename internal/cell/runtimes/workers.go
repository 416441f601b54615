package runtimes

import (
	"math"
	"slices"
	"time"
)

const (
	// minSlowness and maxSlowness bound the slowness of a worker.
	minSlowness = 0.25
	maxSlowness = 8
	// unknownVariance is the variance of the logarithm of the slowness of a worker without
	// runs: workers of 0.6 and 1.6 times the ordinary speed are about as likely as others.
	unknownVariance = 0.16
	// driftVariance is added to the variance at each run, so that a worker that has become
	// slow or fast is followed within about ten runs.
	driftVariance = 0.002
	// maxSurprise bounds the residual of a run, in standard deviations, as three tasks in a
	// hundred take seven times as long on any worker. After changeRuns residuals beyond it
	// in the same direction the worker itself has most likely changed, and its variance
	// increases by changeVariance. Two of them are as often two long tasks in a row.
	maxSurprise    = 1.5
	changeRuns     = 3
	changeVariance = 0.1
	// centerTime is the time constant with which the speeds follow the typical worker.
	centerTime = time.Second
	// minCenterRuns is the number of runs from which a worker counts for the typical one.
	minCenterRuns = 3
)

var minLog, maxLog = math.Log(minSlowness), math.Log(maxSlowness)

// workerSpeed is the estimate of a worker's slowness by a Kalman filter.
type workerSpeed struct {
	log       float64 // of the slowness
	variance  float64 // of log
	runs      int
	surprised int // number of the last residuals that were beyond maxSurprise, negative for short runs
}

func newWorkerSpeed(w *workerSpeed) { w.variance = unknownVariance }

// observe adds a run. residual is the logarithm of its run time relative to that expected
// on a worker of ordinary speed, and noise the variance of that. It returns the change.
func (w *workerSpeed) observe(residual, noise float64) float64 {
	before := w.log
	w.runs++
	w.correct(residual-w.log, noise)
	return w.log - before
}

// correct moves the estimate towards a measurement that differs from it by residual. It
// returns the residual as it was bounded.
func (w *workerSpeed) correct(residual, noise float64) float64 {
	w.variance += driftVariance
	total := w.variance + noise
	used := bounded(residual, maxSurprise*sqrt(total))
	switch {
	case used < residual:
		w.surprised = max(0, w.surprised) + 1
	case used > residual:
		w.surprised = min(0, w.surprised) - 1
	default:
		w.surprised = 0
	}
	if w.surprised >= changeRuns || w.surprised <= -changeRuns {
		w.variance = min(unknownVariance, w.variance+changeVariance)
		total = w.variance + noise
	}
	gain := w.variance / total
	w.move(gain * used)
	w.variance -= gain * w.variance
	return used
}

// bounded returns x, at least -limit and at most limit.
func bounded(x, limit float64) float64 { return min(limit, max(-limit, x)) }

func sqrt(x float64) float64 { return math.Sqrt(x) }

// move changes the logarithm of the slowness within its bounds.
func (w *workerSpeed) move(by float64) {
	w.log = min(maxLog, max(minLog, w.log+by))
}

// compensate takes the mean of the recent changes of the speeds from w. Run times are
// skewed and the first run of a step is a short one, so changes are not zero on average.
// If only center undid that, workers with few runs would seem to become faster.
func (m *Model) compensate(w *workerSpeed, change float64) {
	m.meanChange += changeWeight * (change - m.meanChange)
	w.move(-m.meanChange)
}

// changeWeight is the weight of a run in Model.meanChange.
const changeWeight = 1.0 / 500

// center moves all speeds so that the middle half of the workers has slowness 1 on
// average. Without that the speeds and the ratios of the queues could drift in opposite
// directions. The worker in the middle alone would jump between two classes of equal size.
func (m *Model) center(elapsed time.Duration) {
	m.speeds = m.speeds[:0]
	for w := range m.workers.all() {
		if w.runs >= minCenterRuns {
			m.speeds = append(m.speeds, w.log)
		}
	}
	if len(m.speeds) == 0 {
		return
	}
	slices.Sort(m.speeds)
	quarter := len(m.speeds) / 4
	middle, sum := m.speeds[quarter:len(m.speeds)-quarter], 0.0
	for _, log := range middle {
		sum += log
	}
	by := -sum / float64(len(middle)) * (1 - math.Exp(-elapsed.Seconds()/centerTime.Seconds()))
	for w := range m.workers.all() {
		if w.runs > 0 {
			w.move(by)
		}
	}
}
