// Package preference scores workers by a task's preferred selectors.
package preference

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name.
const Name = "preference"

// Scorer scores a worker by the weighted fraction of the preferences that it meets.
type Scorer struct{}

// Name implements plugin.Scorer.
func (Scorer) Name() string { return Name }

// Score implements plugin.Scorer.
func (Scorer) Score(_ *plugin.State, t *model.Task, n *fleet.Node) int64 {
	var met, all int64
	for _, p := range t.Prefer {
		if p.Weight <= 0 {
			continue
		}
		all += int64(p.Weight)
		if p.Selector.Matches(n.Worker.Labels) {
			met += int64(p.Weight)
		}
	}
	if all == 0 {
		return 0
	}
	return plugin.MaxScore * met / all
}
