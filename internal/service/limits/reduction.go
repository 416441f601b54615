package limits

import (
	"math"

	"pollenbend/internal/model"
)

// reduction is a number of tasks by which this instance reduced its own ceiling when
// it lost the lease of a worker on which they may still run. Heartbeats up to
// heartbeatSeq do not include it, nor do grants based on them.
type reduction struct {
	heartbeatSeq uint64
	n            int64
}

// currentHeartbeatSeq marks a grant of this instance to itself, which includes every
// reduction.
const currentHeartbeatSeq = math.MaxUint64

// ReduceCeiling reduces the ceiling of a team by one: a task of the team may still run
// on a worker whose lease this instance no longer holds.
func (s *Service) ReduceCeiling(team model.TeamID) {
	c := s.currentCeiling(team)
	c.max = max(c.max-1, 0)
	s.ceilings[team] = c
	s.reductions[team] = append(s.reductions[team], reduction{heartbeatSeq: s.sentHeartbeatSeq, n: 1})
}

// unreportedReductions returns the sum of the reductions that the heartbeat on which
// a grant is based did not include, and discards the older ones.
func (s *Service) unreportedReductions(team model.TeamID, heartbeatSeq uint64) int64 {
	var n int64
	var kept []reduction
	for _, r := range s.reductions[team] {
		if r.heartbeatSeq >= heartbeatSeq {
			n += r.n
			kept = append(kept, r)
		}
	}
	s.reductions[team] = kept
	return n
}
