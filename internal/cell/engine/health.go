package engine

import "time"

// health tracks the outcomes of a worker's runs. It detects workers that report
// themselves as healthy but whose runs fail or stall.
type health struct {
	failures         int // consecutive failed runs, and starts without an answer
	quarantinedUntil time.Time
	quarantineTime   time.Duration
	stalls           int // consecutive stalled runs
}

const (
	// failuresToQuarantine is the number of consecutive failures after which a worker is
	// quarantined. On healthy workers one run in twenty fails.
	failuresToQuarantine = 3
	initialQuarantine    = 2 * time.Second
	maxQuarantine        = 8 * time.Second
)

// quarantined reports whether the worker gets no new tasks now.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// slownessPerFailure is added to the slowness of a worker for each consecutive failure
// or stall.
const slownessPerFailure = 0.3

// slowness returns the assumed runtime of a task as a multiple of that on a healthy
// worker.
func (h *health) slowness() float64 { return 1 + slownessPerFailure*float64(h.failures+h.stalls) }

// succeeded records a successful run.
func (h *health) succeeded() {
	h.failures, h.stalls = 0, 0
	h.quarantineTime = 0
}

// failed records a failed run. It reports whether the worker is quarantined because of
// it.
func (h *health) failed(now time.Time) bool {
	h.failures++
	return h.quarantineAtLimit(h.failures, failuresToQuarantine, now)
}

// stallsToQuarantine is the number of consecutive stalled runs after which a worker is
// quarantined.
const stallsToQuarantine = 2

// stalled records a run that made no progress. It reports whether the worker is
// quarantined because of it.
func (h *health) stalled(now time.Time) bool {
	h.stalls++
	return h.quarantineAtLimit(h.stalls, stallsToQuarantine, now)
}

// quarantineAtLimit quarantines the worker if count has reached limit and it is not
// quarantined yet. It reports whether it did.
func (h *health) quarantineAtLimit(count, limit int, now time.Time) bool {
	if count < limit || h.quarantined(now) {
		return false
	}
	h.quarantine(now)
	return true
}

// quarantine quarantines the worker for twice as long as the last time, within the limits.
func (h *health) quarantine(now time.Time) {
	h.quarantineTime = min(maxQuarantine, max(initialQuarantine, 2*h.quarantineTime))
	h.quarantinedUntil = now.Add(h.quarantineTime)
}
