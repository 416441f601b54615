// Package zone scores workers by their distance from the instance that decides.
package zone

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name.
const Name = "zone"

// Scorer prefers workers near Home for requests, because their callers wait for the
// network round trip.
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
	location := n.Worker.Location
	switch {
	case location.Region != z.Home.Region:
		return 0
	case location.Zone != z.Home.Zone:
		return plugin.MaxScore / 2
	}
	return plugin.MaxScore
}
