package limits

import (
	"math"

	"pollenbend/internal/model"
)

// reduction is an amount by which this instance reduced its own ceiling when it lost
// a worker whose task runs on. Heartbeats up to beat do not include it, nor do
// grants based on them.
type reduction struct {
	beat uint64
	n    int64
}

// currentBeat marks a grant of this instance to itself, which includes every
// reduction.
const currentBeat = math.MaxUint64

// Shed reduces the ceiling of a team by one: a task of the team runs on, but on a
// worker whose lease this instance no longer holds.
func (s *Service) ReduceCeiling(team model.TeamID) {
	c := s.currentCeiling(team)
	c.max = max(c.max-1, 0)
	s.ceilings[team] = c
	s.reductions[team] = append(s.reductions[team], reduction{beat: s.beat, n: 1})
}

// unreportedReductions returns the sum of the reductions that the heartbeat on which
// a grant is based did not include, and discards the older ones.
func (s *Service) unreportedReductions(team model.TeamID, beat uint64) int64 {
	var n int64
	var kept []reduction
	for _, d := range s.reductions[team] {
		if d.beat >= beat {
			n += d.n
			kept = append(kept, d)
		}
	}
	s.reductions[team] = kept
	return n
}
