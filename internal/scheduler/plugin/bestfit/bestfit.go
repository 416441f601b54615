// Package bestfit scores workers for bin packing: the less capacity a task leaves
// free, the higher the score.
package bestfit

import (
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name.
const Name = "best fit"

// Weights in the score, which add up to plugin.MaxScore: of the remaining capacity, and
// of the imbalance between remaining processors and memory.
const (
	remainingWeight = 7000
	imbalanceWeight = plugin.MaxScore - remainingWeight
)

// Scorer prefers workers that a task leaves with little remaining capacity and with
// similar fractions of processors and memory.
type Scorer struct{}

// Name implements plugin.Scorer.
func (Scorer) Name() string { return Name }

// Score implements plugin.Scorer.
func (Scorer) Score(s *plugin.State, t *model.Task, n *fleet.Node) int64 {
	remaining := n.Free().Sub(t.Demand)
	largest := s.Fleet.Largest()
	cpu := fraction(remaining.MilliCPU, largest.MilliCPU)
	memory := fraction(remaining.MemoryMiB, largest.MemoryMiB)
	imbalance := max(cpu-memory, memory-cpu)
	return plugin.MaxScore - (remainingWeight*(cpu+memory)/2+imbalanceWeight*imbalance)/fractionScale
}

// fractionScale is the denominator of the results of fraction.
const fractionScale = 1 << 16

// fraction returns remaining as a fraction of largest, in units of 1/fractionScale.
func fraction(remaining, largest int64) int64 {
	if largest == 0 {
		return 0
	}
	return remaining * fractionScale / largest
}
