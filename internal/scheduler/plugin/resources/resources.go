// Package resources filters workers by available capacity.
package resources

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "resources"

// Filter refuses workers whose available capacity doesn't fit the task's demand.
type Filter struct{}

// Name implements plugin.Filter.
func (Filter) Name() string { return Name }

// Filter implements plugin.Filter.
func (Filter) Filter(_ *plugin.State, t *model.Task, n *fleet.Node) plugin.Status {
	free := n.Available()
	if t.Demand.Fits(free) {
		return plugin.Status{}
	}
	return plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: missingResource(t.Demand, free)}
}

// missingResource returns the reason for the first dimension of which there is too
// little.
func missingResource(demand, free model.Resources) string {
	switch {
	case demand.Accelerators > free.Accelerators:
		return "too few free accelerators"
	case demand.MilliCPU > free.MilliCPU:
		return "too little free processor time"
	case demand.MemoryMiB > free.MemoryMiB:
		return "too little free memory"
	}
	return "no free slot"
}
