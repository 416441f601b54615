package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
)

// exclusion is the reason why a worker cannot get a task of a step now.
type exclusion uint8

const (
	notExcluded exclusion = iota
	excludedNotListed
	excludedNotDescribed
	excludedDraining
	excludedEvacuated
	excludedSilent
	excludedUnknownRuns
	excludedQuarantined
	excludedTooSmall
	excludedLabel
	excludedNotAsked
	excludedNotGood
	excludedNoTicket
	excludedRisky
	excludedFull
	excludedReserved
	excludedLimit
	exclusions
)

var exclusionNames = [exclusions]string{
	"", "not listed", "listed as an earlier incarnation", "draining", "evacuated zone", "silent", "reports unknown runs", "quarantined",
	"cannot hold the task", "lacks the label", "not yet asked of the adviser", "not recommended by the adviser", "no valid ticket",
	"kept apart after a risky start", "no free capacity", "reserved for other steps", "limit of the team",
}

// String returns the name of x in explanations.
func (x exclusion) String() string { return exclusionNames[x] }

// usable reports whether new tasks may be sent to w.
func (w *worker) usable(now time.Time) bool { return w.whyUnusable(now) == notExcluded }

// whyUnusable returns why no new tasks may be sent to w, or notExcluded.
func (w *worker) whyUnusable(now time.Time) exclusion {
	switch {
	case !w.listed:
		return excludedNotListed
	case !w.described():
		return excludedNotDescribed
	case w.draining:
		return excludedDraining
	case w.evacuated:
		return excludedEvacuated
	case !w.reported || w.fenceSpent || w.missedRenewals != 0 || !w.refusingSince.IsZero():
		return excludedSilent
	case w.unknownRuns != 0:
		return excludedUnknownRuns
	case w.health.quarantined(now):
		return excludedQuarantined
	}
	return notExcluded
}

// canHold reports whether w could run a task of s if it were idle.
func (w *worker) canHold(s *job.Step) bool { return w.isLargeEnough(s) && w.hasLabel(s) }

// isLargeEnough reports whether a task of s fits into the capacity of w.
func (w *worker) isLargeEnough(s *job.Step) bool { return s.Charge().Fits(w.capacity) }

// hasLabel reports whether w has the label that s requires, if any.
func (w *worker) hasLabel(s *job.Step) bool {
	return s.Label == "" || slices.Contains(w.labels, s.Label)
}
