// Package advice spreads calls to a slow adviser over the instances of the cell.
// The adviser serves one call at a time for each calling instance. The package
// answers the load of many short calls beside a few long ones: a short call must
// not wait behind a long one, so some arms are kept free of long calls.
package advice

import "time"

// LongCall is the duration from which a call counts as long.
const LongCall = 250 * time.Millisecond

// ShortOnly is the share of the arms that take no long calls.
const ShortOnly = 1.0 / 3

// mostQueued is how much work an arm may have waiting, by the kind of call. A call
// that would wait longer is better asked for later, when more is known.
const (
	mostQueuedShort = 60 * time.Millisecond
	mostQueuedLong  = 300 * time.Millisecond
)

// Arm is an instance that calls the adviser. The zero value is idle.
type Arm struct {
	busyUntil time.Time
	calls     int
	badUntil  time.Time
}

// badArm is how long an arm whose call failed is left alone.
const badArm = 400 * time.Millisecond

// Take notes a call of that cost that is sent now.
func (a *Arm) Take(now time.Time, cost time.Duration) {
	if a.calls == 0 || a.busyUntil.Before(now) {
		a.busyUntil = now
	}
	a.busyUntil = a.busyUntil.Add(cost)
	a.calls++
}

// Done notes the end of a call of that cost.
func (a *Arm) Done(now time.Time, cost time.Duration, ok bool) {
	a.calls = max(0, a.calls-1)
	if a.calls == 0 {
		a.busyUntil = now
	}
	if !ok {
		a.badUntil = now.Add(badArm)
	}
}

// Choose returns the index of the arm for a call of that cost, or -1 if every arm
// has too much waiting.
func Choose(arms []*Arm, now time.Time, cost time.Duration) int {
	long := cost >= LongCall
	first := 0
	most := mostQueuedShort
	if long {
		first = int(float64(len(arms))*ShortOnly + 0.5)
		most = mostQueuedLong
	}
	best, bestWait := -1, time.Duration(0)
	for i := range arms {
		// Short calls look at the reserved arms first, long ones only at the others.
		if i < first && len(arms) > 1 {
			continue
		}
		a := arms[i]
		if now.Before(a.badUntil) {
			continue
		}
		wait := max(0, a.busyUntil.Sub(now))
		if a.calls == 0 {
			wait = 0
		}
		if wait > most {
			continue
		}
		if best < 0 || wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return best
}
