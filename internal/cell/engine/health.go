package engine

import "time"

// health judges a worker by the outcomes of its tasks. It answers workers that
// report themselves as sound and fail, or stall, what they start.
type health struct {
	failures int // failed runs in a row
	until    time.Time
	penalty  time.Duration
	stalls   int // stalled runs in a row
}

const (
	// failuresToQuarantine is how many runs of different tasks fail in a row
	// before a worker is left alone. Sound workers fail one run in twenty.
	failuresToQuarantine = 3
	firstQuarantine      = 2 * time.Second
	longestQuarantine    = 8 * time.Second
)

func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }

// failurePenalty is how much slower a worker is ranked for each failure in a row.
const failurePenalty = 0.3

// slowness returns how much longer than on a sound worker a task is taken to last.
func (h *health) slowness() float64 { return 1 + failurePenalty*float64(h.failures+h.stalls) }

// succeeded notes a run that ended well.
func (h *health) succeeded() {
	h.failures, h.stalls = 0, 0
	h.penalty = 0
}

// failed notes a run that failed. It reports whether the worker is put under
// quarantine now.
func (h *health) failed(now time.Time) bool {
	h.failures++
	return h.struck(h.failures, failuresToQuarantine, now)
}

// stallsToQuarantine is how many runs in a row stall before a worker is left alone.
const stallsToQuarantine = 2

// stalled notes a run that made no progress. It reports whether the worker is put
// under quarantine now.
func (h *health) stalled(now time.Time) bool {
	h.stalls++
	return h.struck(h.stalls, stallsToQuarantine, now)
}

// struck puts the worker under quarantine once count reaches most, unless it is.
func (h *health) struck(count, most int, now time.Time) bool {
	if count < most || h.quarantined(now) {
		return false
	}
	h.quarantine(now)
	return true
}

func (h *health) quarantine(now time.Time) {
	h.penalty = min(longestQuarantine, max(firstQuarantine, 2*h.penalty))
	h.until = now.Add(h.penalty)
}
