package declare

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/model"
)

// TeamAt returns a team with the share and limit that hold at now: those of the
// policies whose hours it is replace the declared ones. Of several, the last in
// the order of names counts. A policy whose time zone this machine does not
// know has no effect.
func (s *State) TeamAt(id model.TeamID, now time.Time) (model.Team, bool) {
	t, ok := s.teams[id]
	if !ok {
		return t, false
	}
	for _, p := range s.byTeam[id] {
		if p.holds(now) {
			t = p.on(t)
		}
	}
	return t, true
}

// Limited reports whether the team has an upper limit at any hour: its own or a
// policy's, even one whose time zone this machine does not know.
func (s *State) Limited(id model.TeamID) bool {
	if s.teams[id].Limit > 0 {
		return true
	}
	return slices.ContainsFunc(s.byTeam[id], func(p policy) bool { return p.Limit > 0 })
}

// MaxLimit returns the highest limit of the team at any hour, 0 when there is an
// hour without one.
func (s *State) MaxLimit(id model.TeamID) int64 {
	limit := s.teams[id].Limit
	if limit == 0 {
		return 0
	}
	for _, p := range s.byTeam[id] {
		limit = max(limit, p.Limit)
	}
	return limit
}

// policy is a declared policy with its time zone at hand.
type policy struct {
	model.Policy
	zone *time.Location // nil if unknown
}

// indexPolicies sorts the policies by team after a change of them.
func (s *State) indexPolicies() {
	s.byTeam = map[model.TeamID][]policy{}
	for _, name := range slices.Sorted(maps.Keys(s.policies)) {
		p := s.policies[name]
		zone, err := time.LoadLocation(p.TimeZone)
		if err != nil {
			zone = nil
		}
		s.byTeam[p.Team] = append(s.byTeam[p.Team], policy{p, zone})
	}
}

func isPolicy(ref model.ObjectRef) bool { return ref.Kind == model.ObjectPolicy }

// holds reports whether now lies in the policy's hours, which may pass midnight.
func (p policy) holds(now time.Time) bool {
	if p.zone == nil {
		return false
	}
	local := now.In(p.zone)
	clock := time.Duration(local.Hour())*time.Hour +
		time.Duration(local.Minute())*time.Minute +
		time.Duration(local.Second())*time.Second
	if p.From < p.Until {
		return clock >= p.From && clock < p.Until
	}
	return clock >= p.From || clock < p.Until
}

func (p policy) on(t model.Team) model.Team {
	if p.Share != 0 {
		t.Share = p.Share
	}
	if p.Limit != 0 {
		t.Limit = p.Limit
	}
	return t
}
