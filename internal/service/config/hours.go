package config

import "pollenbend/internal/model"

// team returns a team with the share and limit in effect now. Policies have no effect
// while the time of day is unknown.
func (s *Service) team(id model.TeamID) (model.Team, bool) {
	if wall := s.env.Wall(); !wall.IsZero() {
		return s.state.TeamAt(id, wall)
	}
	return s.state.Team(id)
}

// Teams returns the declared teams with the shares and limits in effect now.
func (s *Service) Teams() []model.Team {
	teams := s.state.Declarations().Teams
	for i := range teams {
		teams[i], _ = s.team(teams[i].Name)
	}
	return teams
}

// Limit returns the maximum number of running tasks of a team that is in effect now by
// this instance's clock, 0 for no limit.
func (s *Service) Limit(id model.TeamID) int64 {
	t, _ := s.team(id)
	return t.Limit
}

// HasLimit reports whether a team has a limit at any time of day. It does not depend
// on the clock.
func (s *Service) HasLimit(id model.TeamID) bool { return s.state.HasLimit(id) }

// LimitedTeams returns the teams with a limit at any time of day, sorted.
func (s *Service) LimitedTeams() []model.TeamID {
	var teams []model.TeamID
	for _, t := range s.state.Declarations().Teams {
		if s.HasLimit(t.Name) {
			teams = append(teams, t.Name)
		}
	}
	return teams
}

// MaxLimit returns the highest limit of a team at any time of day, 0 when there is a
// time of day without one. It does not depend on the clock.
func (s *Service) MaxLimit(id model.TeamID) int64 { return s.state.MaxLimit(id) }
