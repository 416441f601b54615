package limits

import (
	"time"

	"pollenbend/internal/model"
)

// gangDemand is the highest number of tasks that a team's gangs recently asked to
// start. It counts as demand until it expires, so that ceilings stay constant between
// the attempts of a gang.
type gangDemand struct {
	count int64
	since time.Duration // when count or more tasks were last asked for
}

const gangDemandRetention = 3 * time.Second

// StartableTasks returns how many of the wanted tasks of a team may start on this instance.
// The wanted tasks count as demand for gangDemandRetention.
func (s *Service) StartableTasks(team model.TeamID, wanted int64) int64 {
	if !s.config.HasLimit(team) {
		return wanted
	}
	if wanted >= s.gangDemands[team].count {
		s.gangDemands[team] = gangDemand{count: wanted, since: s.env.Now()}
	}
	return min(wanted, max(s.currentCeiling(team).max-s.ledger.Running(team), 0))
}

func (s *Service) expireGangDemands() {
	for team, d := range s.gangDemands {
		if s.env.Now()-d.since >= gangDemandRetention {
			delete(s.gangDemands, team)
		}
	}
}
