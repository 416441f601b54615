package limits

import (
	"time"

	"pollenbend/internal/model"
)

// asked is the most for which a gang asked lately. It counts as demand until it
// is forgotten, so that ceilings stand still between the rounds of a gang.
type asked struct {
	count int64
	since time.Duration
}

const askedMemory = 3 * time.Second

// Room returns how many of the wanted tasks of team may start here, and counts
// them as demand for a while.
func (s *Service) Room(team model.TeamID, wanted int64) int64 {
	if !s.config.Limited(team) {
		return wanted
	}
	if wanted >= s.asked[team].count {
		s.asked[team] = asked{count: wanted, since: s.env.Now()}
	}
	return min(wanted, max(s.hold(team).max-s.ledger.Running(team), 0))
}

func (s *Service) forgetAsked() {
	for team, a := range s.asked {
		if s.env.Now()-a.since >= askedMemory {
			delete(s.asked, team)
		}
	}
}
