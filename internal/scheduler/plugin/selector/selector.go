// Package selector filters workers by the task's required selector.
package selector

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "selector"

// Filter refuses workers whose labels don't match the task's required selector.
type Filter struct{}

// Name implements plugin.Filter.
func (Filter) Name() string { return Name }

// Filter implements plugin.Filter.
func (Filter) Filter(_ *plugin.State, t *model.Task, n *fleet.Node) plugin.Status {
	if t.Require.Matches(n.Worker.Labels) {
		return plugin.Status{}
	}
	return plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: "labels don't match"}
}
