// Package services keeps long-running services at their declared number of
// replicas: it replaces lost and leaving ones and rolls changes out. It only says
// what to start and stop; placement spreads the replicas.
package services

import (
	"cmp"
	"slices"

	"pollenbend/internal/model"
)

// State is the state of a replica.
type State uint8

// States of a replica.
const (
	Waiting State = iota // accepted, not yet running
	Running
	Stopping
)

// Replica is one task of a service.
type Replica struct {
	Task    model.TaskID
	Index   int
	Version uint64 // of the declaration it was started from
	State   State
	Leaving bool // its worker is leaving
}

// Desired is what is declared.
type Desired struct {
	Count   int
	Version uint64
	// Surge is how many replicas more than Count a change may have; at least 1.
	Surge int
}

// Plan is what to do now.
type Plan struct {
	Start []int // indexes, each a new task
	Stop  []model.TaskID
}

// Reconcile compares what is desired with the replicas there are. It starts
// replacements before it stops what they replace, at most Surge at a time, so
// that the number of running replicas doesn't fall below Count by its doing.
func Reconcile(d Desired, replicas []Replica) Plan {
	current, old := split(d, replicas)
	plan := Plan{}
	missing := missingIndexes(d, current)
	room := d.Count + max(d.Surge, 1) - len(current) - len(old)
	for _, index := range missing {
		if room <= 0 && len(old) > 0 {
			break
		}
		plan.Start = append(plan.Start, index)
		room--
	}
	plan.Stop = superfluous(d, current, old)
	return plan
}

// split sorts replicas into those that stay and those to be replaced. What stops
// already counts as neither.
func split(d Desired, replicas []Replica) (current, old []Replica) {
	taken := make(map[int]bool)
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, order)
	for _, r := range sorted {
		switch {
		case r.State == Stopping:
		case r.Version != d.Version || r.Leaving || r.Index >= d.Count || taken[r.Index]:
			old = append(old, r)
		default:
			taken[r.Index] = true
			current = append(current, r)
		}
	}
	return current, old
}

// order puts running replicas before waiting ones of the same index.
func order(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(b.State, a.State), cmp.Compare(a.Task, b.Task))
}

func missingIndexes(d Desired, current []Replica) []int {
	have := make(map[int]bool, len(current))
	for _, r := range current {
		have[r.Index] = true
	}
	var out []int
	for index := range d.Count {
		if !have[index] {
			out = append(out, index)
		}
	}
	return out
}

// superfluous returns old replicas that aren't needed to keep Count running:
// those that wait, and of the running ones as many as there are too many.
func superfluous(d Desired, current, old []Replica) []model.TaskID {
	running := 0
	for _, list := range [...][]Replica{current, old} {
		for _, r := range list {
			if r.State == Running {
				running++
			}
		}
	}
	var out []model.TaskID
	for _, r := range old {
		if r.State == Running && running <= d.Count {
			continue
		}
		if r.State == Running {
			running--
		}
		out = append(out, r.Task)
	}
	return out
}
