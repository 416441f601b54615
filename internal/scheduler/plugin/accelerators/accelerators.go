// Package accelerators reserves processors and memory for tasks that need the free
// accelerators of a worker.
package accelerators

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "accelerators"

// Filter refuses a task that needs no accelerator on a worker with accelerators if
// the task would use capacity reserved for the free ones.
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
