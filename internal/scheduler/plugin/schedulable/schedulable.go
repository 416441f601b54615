// Package schedulable filters out workers that take no new work because they are
// leaving, their lease isn't held, or they are quarantined.
package schedulable

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "schedulable"

// Filter refuses unschedulable workers. On probation a worker takes one task at a
// time, and is avoided for tasks that are urgent or may not run again.
type Filter struct{}

// Name implements plugin.Filter.
func (Filter) Name() string { return Name }

// Filter implements plugin.Filter.
func (Filter) Filter(_ *plugin.State, t *model.Task, n *fleet.Node) plugin.Status {
	if !n.Schedulable() {
		return plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: reason(n.Reasons())}
	}
	if n.Reasons()&fleet.ReasonProbation == 0 {
		return plugin.Status{}
	}
	if len(n.Allocations()) > 0 {
		return plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: "on probation and busy"}
	}
	if t.Class == model.ClassUrgent || !t.Repeatable {
		return plugin.Status{Code: plugin.Avoid, Plugin: Name, Reason: "on probation"}
	}
	return plugin.Status{}
}

// reason returns the reason why a worker is unschedulable.
func reason(r fleet.Reason) string {
	switch {
	case r&fleet.ReasonLeaving != 0:
		return "leaving"
	case r&fleet.ReasonNoLease != 0:
		return "lease not held"
	}
	return "quarantined"
}
