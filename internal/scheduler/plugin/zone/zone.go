// Package zone scores workers by their distance from the scheduler's instance.
package zone

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name.
const Name = "zone"

// Scorer prefers workers near Home for short requests, whose callers wait for
// the way there and back.
type Scorer struct {
	Home model.Location
}

// Name implements plugin.Scorer.
func (Scorer) Name() string { return Name }

// Score implements plugin.Scorer.
func (z Scorer) Score(_ *plugin.State, t *model.Task, n *fleet.Node) int64 {
	if t.Kind != model.KindRequest {
		return 0
	}
	at := n.Worker.Location
	switch {
	case at.Region != z.Home.Region:
		return 0
	case at.Zone != z.Home.Zone:
		return plugin.MaxScore / 2
	}
	return plugin.MaxScore
}
