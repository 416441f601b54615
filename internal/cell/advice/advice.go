// Package advice distributes calls to a slow adviser over the instances of the cell.
// The adviser serves one call at a time for each calling instance. The package is
// designed for many short calls mixed with a few long ones: a short call must not
// wait behind a long one, so some delegates are reserved for short calls.
package advice

import "time"

// LongCallThreshold is the minimum duration of a long call.
const LongCallThreshold = 250 * time.Millisecond

// shortOnlyRatio is the part of the delegates that is reserved for short calls.
const shortOnlyRatio = 1.0 / 3

// Maximum wait of a short or long call at its delegate. A call that would wait longer is
// not sent yet, as more is known later.
const (
	maxShortBacklog = 60 * time.Millisecond
	maxLongBacklog  = 300 * time.Millisecond
)

// Delegate is an instance that calls the adviser for the leader. The zero value is
// idle.
type Delegate struct {
	busyUntil    time.Time     // expected time at which the adviser has served the calls sent
	pending      time.Duration // expected duration of the calls that have not ended
	backoffUntil time.Time     // no calls are sent before this time
}

// failureBackoff is how long a delegate gets no calls after one of its calls failed.
const failureBackoff = 400 * time.Millisecond

// CallSent records that a call of the given expected duration is sent at now.
func (d *Delegate) CallSent(now time.Time, expectedDuration time.Duration) {
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(expectedDuration)
	d.pending += expectedDuration
}

// CallEnded records that a call of the given expected duration ended at now, and whether
// it succeeded.
func (d *Delegate) CallEnded(now time.Time, expectedDuration time.Duration, ok bool) {
	d.pending = max(0, d.pending-expectedDuration)
	if ok {
		// The adviser begins the next call now, whatever was expected of the earlier ones.
		d.busyUntil = now.Add(d.pending)
		return
	}
	d.backoffUntil = now.Add(failureBackoff)
	// The adviser goes on with a call that it has begun.
	if end := now.Add(d.pending + expectedDuration); end.After(d.busyUntil) {
		d.busyUntil = end
	}
}

// IdleRatio returns the part of the delegates that have no call to make at now. It is zero
// if there are no delegates.
func IdleRatio(delegates []*Delegate, now time.Time) float64 {
	idle := 0
	for _, d := range delegates {
		if !now.Before(d.busyUntil) && !now.Before(d.backoffUntil) {
			idle++
		}
	}
	return float64(idle) / float64(max(1, len(delegates)))
}

// Choose returns the index of the delegate for a call of the given expected duration:
// the one with the shortest wait. It returns -1 if every delegate that may take the call
// has too long a wait or is in backoff.
func Choose(delegates []*Delegate, now time.Time, expectedDuration time.Duration) int {
	long := expectedDuration >= LongCallThreshold
	firstAllowed := 0
	maxBacklog := maxShortBacklog
	if long {
		firstAllowed = int(float64(len(delegates))*shortOnlyRatio + 0.5)
		maxBacklog = maxLongBacklog
	}
	best, minWait := -1, time.Duration(0)
	for i := range delegates {
		// Short calls prefer the reserved delegates, which come first; long calls use
		// only the others. A single delegate takes all calls.
		if i < firstAllowed && len(delegates) > 1 {
			continue
		}
		d := delegates[i]
		if now.Before(d.backoffUntil) {
			continue
		}
		wait := max(0, d.busyUntil.Sub(now))
		if wait > maxBacklog {
			continue
		}
		if best < 0 || wait < minWait {
			best, minWait = i, wait
		}
	}
	return best
}

// Wait returns the shortest time until a delegate that may take a call of the given expected
// duration is free. It is zero if there are no delegates.
func Wait(delegates []*Delegate, now time.Time, expectedDuration time.Duration) time.Duration {
	first := 0
	if expectedDuration >= LongCallThreshold && len(delegates) > 1 {
		first = int(float64(len(delegates))*shortOnlyRatio + 0.5)
	}
	best := time.Duration(-1)
	for _, d := range delegates[first:] {
		wait := max(0, d.busyUntil.Sub(now), d.backoffUntil.Sub(now))
		if wait == 0 {
			return 0
		}
		if best < 0 || wait < best {
			best = wait
		}
	}
	return max(0, best)
}
