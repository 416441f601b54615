// Package accelerators keeps processors and memory of workers with accelerators
// for work that needs these.
package accelerators

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "accelerators"

// Filter refuses work without accelerators on a worker whose remaining capacity
// is the part of its free accelerators.
type Filter struct{}

// Name implements plugin.Filter.
func (Filter) Name() string { return Name }

// Filter implements plugin.Filter.
func (Filter) Filter(s *plugin.State, t *model.Task, n *fleet.Node) plugin.Status {
	if n.Worker.Capacity.Accelerators == 0 || t.Demand.Accelerators > 0 {
		return plugin.Status{}
	}
	if t.Demand.Fits(n.AvailableFor(t.Demand, s.Search.Dedicated())) {
		return plugin.Status{}
	}
	return plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: "kept for work that needs accelerators"}
}
