package limits

import "pollenbend/internal/model"

// hold returns this instance's ceiling of a team. When the declared limit fell
// below the one that the ceiling is a part of, the ceiling falls in proportion, here and
// now: the parts of all holders then sum up to no more than the new limit, also
// while some of them can't hear the owner.
func (s *Service) hold(team model.TeamID) ceiling {
	h := s.held[team]
	limit := s.mostEver(team)
	if limit >= h.limit {
		return h
	}
	h.max = h.max * limit / h.limit
	h.limit = limit
	s.held[team] = h
	return h
}

// mostEver returns the highest limit that is declared for any hour.
func (s *Service) mostEver(team model.TeamID) int64 {
	if limit := s.config.MaxLimit(team); limit > 0 {
		return limit
	}
	return noLimit
}
