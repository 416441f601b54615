package limits

import (
	"math"

	"pollenbend/internal/model"
)

// shed is a part of this instance's ceiling that went with a worker it gave up.
// Heartbeats up to beat do not tell of it yet, nor does a grant based on one.
type shed struct {
	beat uint64
	n    int64
}

// currentBeat marks a grant of this instance to itself, which knows of every shed.
const currentBeat = math.MaxUint64

// Shed lowers a team's ceiling by one: a task of the team runs on, but on a worker
// that is no longer held here.
func (s *Service) Shed(team model.TeamID) {
	h := s.hold(team)
	h.max = max(h.max-1, 0)
	s.held[team] = h
	s.sheds[team] = append(s.sheds[team], shed{beat: s.beat, n: 1})
}

// unknownSheds returns what was shed since the heartbeat on which a grant is
// based, and forgets what was shed before.
func (s *Service) unknownSheds(team model.TeamID, beat uint64) int64 {
	var n int64
	var kept []shed
	for _, d := range s.sheds[team] {
		if d.beat >= beat {
			n += d.n
			kept = append(kept, d)
		}
	}
	s.sheds[team] = kept
	return n
}
