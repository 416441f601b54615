// Package ordering says which of two waiting steps is placed first. It answers the
// load of a fleet with a long queue: a step that can still end in time goes before
// one that cannot, so that lateness does not spread from one job to the next.
package ordering

import "time"

// Step is what counts for the order.
type Step struct {
	Overdue   bool // beyond what its team is owed
	Priority  int  // zero comes first
	Arrived   time.Time
	Objective time.Duration // from the arrival to the end of the job
	Left      time.Duration // longest chain of work that is left of the job
}

// lateFactor is how many times its objective a job may take and still be of some
// use to its caller.
const lateFactor = 3

// Band is how useful the end of a step's job still is.
type Band int

// Bands, in the order in which they are served.
const (
	InTime Band = iota
	Late
	Useless
)

// BandOf returns the band of s at now.
func BandOf(s Step, now time.Time) Band {
	ends := now.Add(s.Left).Sub(s.Arrived)
	switch {
	case ends <= s.Objective:
		return InTime
	case ends <= lateFactor*s.Objective:
		return Late
	}
	return Useless
}

// Key is a step's place in the order, worked out once for a round of placement.
type Key struct {
	overdue  bool
	band     Band
	priority int
	latest   time.Time // by which the job must go on to end in time
}

// KeyOf returns the key of s at now.
func KeyOf(s Step, now time.Time) Key {
	return Key{s.Overdue, BandOf(s, now), s.Priority, s.Arrived.Add(s.Objective - s.Left)}
}

// Before reports whether a is served before b.
func Before(a, b Key) bool {
	switch {
	case a.overdue != b.overdue:
		return !a.overdue
	case a.band != b.band:
		return a.band < b.band
	case a.priority != b.priority:
		return a.priority < b.priority
	}
	return a.latest.Before(b.latest)
}
