// Package spread implements spread constraints: it spreads the tasks of one job or
// service over racks or availability zones.
package spread

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "spread"

// maxSkew is the maximum difference in tasks of the job between a domain and the one
// with the fewest.
const maxSkew = 1

// Filter avoids workers in domains where one more task of the job would exceed
// maxSkew. It never refuses them, so that the tasks of a lost availability zone can be
// replaced in the others.
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
	if domainCount(counts, t.SpreadBy, n)+1-minDomainCount(s.Fleet, counts, t.SpreadBy) <= maxSkew {
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
	inDomains := counts.Zones[n.Zone()] + counts.Racks[n.Rack()]
	return plugin.MaxScore - int64(plugin.MaxScore*inDomains/(2*counts.Total))
}

// domainCount returns the number of the job's tasks in the worker's domain.
func domainCount(counts *fleet.Spread, by string, n *fleet.Node) int {
	if by == "rack" {
		return counts.Racks[n.Rack()]
	}
	return counts.Zones[n.Zone()]
}

// minDomainCount returns the minimum number of the job's tasks over all domains of the
// fleet.
func minDomainCount(f *fleet.Fleet, counts *fleet.Spread, by string) int {
	domains := counts.Zones
	if by == "rack" {
		domains = counts.Racks
	}
	if len(domains) < f.Domains(by) {
		return 0
	}
	minimum := counts.Total
	for _, n := range domains {
		minimum = min(minimum, n)
	}
	return minimum
}
