package scheduler

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

// Bounds of the candidates of one decision.
var (
	packing   = fleet.Bounds{Candidates: 24, PerClass: 6, Probes: 24, Classes: 12}
	spreading = fleet.Bounds{Candidates: 64, PerClass: 3, Probes: 12, Classes: 64}
	preferred = fleet.Bounds{Candidates: 8, PerClass: 4, Probes: 16, Classes: 4}
)

const (
	maxPreferences = 4  // preferred selectors that get candidates of their own
	randomProbes   = 32 // workers looked at anywhere for work that spreads
)

// collect gathers workers that fit a task.
func (s *Scheduler) collect(t *model.Task) {
	start := s.rng.Uint64()
	bounds := packing
	if t.SpreadBy != "" {
		bounds = spreading
	}
	s.candidates = s.search.Sample(start, bounds, s.candidates[:0])
	if t.SpreadBy != "" {
		s.collectAnywhere(t)
	}
	for i := range min(len(t.Prefer), maxPreferences) {
		s.collectPreferred(t, t.Prefer[i], start)
	}
}

// collectAnywhere adds workers without regard to the index, because tight cells
// tend to lie in few racks.
func (s *Scheduler) collectAnywhere(t *model.Task) {
	nodes := s.Fleet.Nodes()
	for range min(randomProbes, len(nodes)) {
		n := nodes[s.rng.IntN(len(nodes))]
		if t.Require.Matches(n.Worker.Labels) && s.search.Fits(n) {
			s.candidates = append(s.candidates, n)
		}
	}
}

func (s *Scheduler) collectPreferred(t *model.Task, p model.Preference, start uint64) {
	if p.Weight <= 0 {
		return
	}
	s.merged = append(append(s.merged[:0], t.Require...), p.Selector...)
	s.preferred.Start(s.Fleet, s.Fleet.Select(s.merged), t.Demand)
	s.candidates = s.preferred.Sample(start, preferred, s.candidates)
}
