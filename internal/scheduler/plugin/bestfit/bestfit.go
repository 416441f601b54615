// Package bestfit scores workers by how little a task leaves free on them.
package bestfit

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name.
const Name = "best fit"

// parts of the score for what is left and for how uneven it is left.
const (
	leftPart   = 7000
	unevenPart = plugin.MaxScore - leftPart
)

// Scorer prefers workers that a task fills, evenly in processors and memory.
type Scorer struct{}

// Name implements plugin.Scorer.
func (Scorer) Name() string { return Name }

// Score implements plugin.Scorer.
func (Scorer) Score(s *plugin.State, t *model.Task, n *fleet.Node) int64 {
	left := n.Free().Sub(t.Demand)
	largest := s.Fleet.Largest()
	cpu := part(left.MilliCPU, largest.MilliCPU)
	memory := part(left.MemoryMiB, largest.MemoryMiB)
	uneven := max(cpu-memory, memory-cpu)
	return plugin.MaxScore - (leftPart*(cpu+memory)/2+unevenPart*uneven)/scale
}

// scale is the denominator of part.
const scale = 1 << 16

func part(left, largest int64) int64 {
	if largest == 0 {
		return 0
	}
	return left * scale / largest
}
