// Package ordering decides which of two waiting steps is placed first. It is
// designed for a fleet with a long queue: a step whose job can still finish in time
// comes before one whose job cannot, so that a late job does not make others late.
package ordering

import (
	"cmp"
	"time"
)

// Step holds the attributes of a waiting step that determine its order.
type Step struct {
	OverEntitlement bool          // exceeds the entitlement of its team
	Priority        int           // zero comes first
	Arrived         time.Time     // arrival of the job
	Objective       time.Duration // target time from the arrival to the end of the job
	Remaining       time.Duration // remaining critical path of the job
	Yields          bool          // its team is above its share, see Yielding
}

// LateMultiplier is how many times its objective a job may take while its result is
// still of some use to the caller.
const LateMultiplier = 3

// Timeliness classifies a step by the expected end of its job relative to its objective.
type Timeliness int

// Classes of timeliness, in the order in which their steps are placed.
const (
	InTime  Timeliness = iota // within the objective
	Late                      // after the objective, but still useful
	TooLate                   // of no more use to the caller
)

// TimelinessOf returns the timeliness of s at now.
func TimelinessOf(s Step, now time.Time) Timeliness {
	duration := now.Add(s.Remaining).Sub(s.Arrived)
	switch {
	case duration <= s.Objective:
		return InTime
	case duration <= LateMultiplier*s.Objective:
		return Late
	}
	return TooLate
}

// Key is the sort key of a step, computed once for each round of placement.
type Key struct {
	overEntitlement bool
	timeliness      Timeliness
	priority        int
	yields          bool
	latestStart     time.Time // latest time to place the step for the job to finish in time
}

// KeyOf returns the key of s at now.
func KeyOf(s Step, now time.Time) Key {
	return Key{s.OverEntitlement, TimelinessOf(s, now), s.Priority, s.Yields, s.Arrived.Add(s.Objective - s.Remaining)}
}

// Compare returns a negative number if the step with key a is placed before the one with
// key b, zero if they are equally urgent, and a positive number otherwise.
func Compare(a, b Key) int {
	switch {
	case a.overEntitlement != b.overEntitlement:
		if b.overEntitlement {
			return -1
		}
		return 1
	case a.timeliness != b.timeliness:
		return cmp.Compare(a.timeliness, b.timeliness)
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.yields != b.yields:
		if b.yields {
			return -1
		}
		return 1
	}
	return a.latestStart.Compare(b.latestStart)
}
