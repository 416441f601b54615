package scheduler

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

// Limits on the candidates of one decision: for tasks that are packed, for tasks
// with a spread constraint, and for each preferred selector.
var (
	packingBounds    = fleet.Bounds{Candidates: 24, PerClass: 6, Probes: 24, Classes: 12}
	spreadBounds     = fleet.Bounds{Candidates: 64, PerClass: 3, Probes: 12, Classes: 64}
	preferenceBounds = fleet.Bounds{Candidates: 8, PerClass: 4, Probes: 16, Classes: 4}
)

const (
	maxPreferences = 4  // preferred selectors that are sampled separately
	randomProbes   = 32 // workers drawn from the whole fleet for a spread constraint
)

// collectCandidates samples feasible workers for a task.
func (s *Scheduler) collectCandidates(t *model.Task) {
	start := s.rng.Uint64()
	bounds := packingBounds
	if t.SpreadBy != "" {
		bounds = spreadBounds
	}
	s.candidates = s.search.Sample(start, bounds, s.candidates[:0])
	if t.SpreadBy != "" {
		s.collectRandom(t)
	}
	for i := range min(len(t.Prefer), maxPreferences) {
		s.collectPreferred(t, t.Prefer[i], start)
	}
}

// collectRandom adds random feasible workers of the whole fleet. The candidates from
// the index aren't enough for a spread constraint: the workers of the cells that fit
// most tightly tend to be in few racks.
func (s *Scheduler) collectRandom(t *model.Task) {
	nodes := s.Fleet.Nodes()
	for range min(randomProbes, len(nodes)) {
		n := nodes[s.rng.IntN(len(nodes))]
		if t.Require.Matches(n.Worker.Labels) && s.search.Fits(n) {
			s.candidates = append(s.candidates, n)
		}
	}
}

// collectPreferred adds feasible workers that match a preferred selector.
func (s *Scheduler) collectPreferred(t *model.Task, p model.Preference, start uint64) {
	if p.Weight <= 0 {
		return
	}
	s.mergedSelector = append(append(s.mergedSelector[:0], t.Require...), p.Selector...)
	s.preferredSearch.Start(s.Fleet, s.Fleet.Select(s.mergedSelector), t.Demand)
	s.candidates = s.preferredSearch.Sample(start, preferenceBounds, s.candidates)
}
