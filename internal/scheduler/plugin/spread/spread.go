// Package spread spreads the tasks of one job or service over racks or
// availability zones.
package spread

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "spread"

// maxSkew is the most tasks that a domain may have more than the emptiest one.
const maxSkew = 1

// Filter avoids domains that have more than their even part of the job's tasks.
// It never refuses them, so that a lost availability zone doesn't stop a service
// from being replaced elsewhere.
type Filter struct{}

// Name implements plugin.Filter.
func (Filter) Name() string { return Name }

// Filter implements plugin.Filter.
func (Filter) Filter(s *plugin.State, t *model.Task, n *fleet.Node) plugin.Status {
	if t.SpreadBy == "" {
		return plugin.Status{}
	}
	counts := s.Fleet.SpreadOf(t)
	if counts == nil {
		return plugin.Status{}
	}
	if domainCount(counts, t.SpreadBy, n)+1-fewest(s.Fleet, counts, t.SpreadBy) <= maxSkew {
		return plugin.Status{}
	}
	return plugin.Status{Code: plugin.Avoid, Plugin: Name, Reason: "its " + t.SpreadBy + " has enough of the job"}
}

// Scorer prefers workers in racks and availability zones with fewer tasks of the
// same job.
type Scorer struct{}

// Name implements plugin.Scorer.
func (Scorer) Name() string { return Name }

// Score implements plugin.Scorer.
func (Scorer) Score(s *plugin.State, t *model.Task, n *fleet.Node) int64 {
	if t.SpreadBy == "" {
		return 0
	}
	counts := s.Fleet.SpreadOf(t)
	if counts == nil {
		return plugin.MaxScore
	}
	near := counts.Zones[n.Zone()] + counts.Racks[n.Rack()]
	return plugin.MaxScore - int64(plugin.MaxScore*near/(2*counts.Total))
}

func domainCount(counts *fleet.Spread, by string, n *fleet.Node) int {
	if by == "rack" {
		return counts.Racks[n.Rack()]
	}
	return counts.Zones[n.Zone()]
}

// fewest returns the number of the job's tasks in the emptiest domain.
func fewest(f *fleet.Fleet, counts *fleet.Spread, by string) int {
	domains := counts.Zones
	if by == "rack" {
		domains = counts.Racks
	}
	if len(domains) < f.Domains(by) {
		return 0
	}
	least := counts.Total
	for _, n := range domains {
		least = min(least, n)
	}
	return least
}
