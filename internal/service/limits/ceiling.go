package limits

import "pollenbend/internal/model"

// currentCeiling returns this instance's ceiling for a team. When the declared limit
// has fallen below the one that the ceiling is a part of, it first reduces the
// ceiling in proportion. All instances do the same without the shard owner, so that
// the sum of their ceilings stays within the new limit even while some of them
// cannot reach it.
func (s *Service) currentCeiling(team model.TeamID) ceiling {
	c := s.ceilings[team]
	limit := s.maxLimit(team)
	if limit >= c.limit {
		return c
	}
	c.max = c.max * limit / c.limit
	c.limit = limit
	s.ceilings[team] = c
	return c
}

// maxLimit returns the highest limit that is declared for any time of day, noLimit
// when there is a time of day without one.
func (s *Service) maxLimit(team model.TeamID) int64 {
	if limit := s.config.MaxLimit(team); limit > 0 {
		return limit
	}
	return noLimit
}
