package declare

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/model"
)

// TeamAt returns a team with the share and limit in effect at now. A policy that
// is active at now overrides the declared values; if several are active, the last
// by name that sets a value wins. A policy whose time zone is unknown on this machine
// has no effect.
func (s *State) TeamAt(id model.TeamID, now time.Time) (model.Team, bool) {
	t, ok := s.teams[id]
	if !ok {
		return t, false
	}
	for _, p := range s.policiesByTeam[id] {
		if p.activeAt(now) {
			t = p.applyTo(t)
		}
	}
	return t, true
}

// HasLimit reports whether the team has a limit at any time of day: its own or that of
// a policy, even of one whose time zone is unknown on this machine.
func (s *State) HasLimit(id model.TeamID) bool {
	if s.teams[id].Limit > 0 {
		return true
	}
	return slices.ContainsFunc(s.policiesByTeam[id], func(p policyWithLocation) bool { return p.Limit > 0 })
}

// MaxLimit returns the highest limit of the team at any time of day, or 0 if the team
// itself has no limit.
func (s *State) MaxLimit(id model.TeamID) int64 {
	limit := s.teams[id].Limit
	if limit == 0 {
		return 0
	}
	for _, p := range s.policiesByTeam[id] {
		limit = max(limit, p.Limit)
	}
	return limit
}

// policyWithLocation is a declared policy with its loaded time zone.
type policyWithLocation struct {
	model.Policy
	location *time.Location // nil if the time zone is unknown
}

// indexPolicies rebuilds the index of policies by team.
func (s *State) indexPolicies() {
	s.policiesByTeam = map[model.TeamID][]policyWithLocation{}
	for _, name := range slices.Sorted(maps.Keys(s.policies)) {
		p := s.policies[name]
		location, err := time.LoadLocation(p.TimeZone)
		if err != nil {
			location = nil
		}
		s.policiesByTeam[p.Team] = append(s.policiesByTeam[p.Team], policyWithLocation{p, location})
	}
}

func isPolicyRef(ref model.ObjectRef) bool { return ref.Kind == model.ObjectPolicy }

// activeAt reports whether now is within the policy's hours, which may span
// midnight.
func (p policyWithLocation) activeAt(now time.Time) bool {
	if p.location == nil {
		return false
	}
	local := now.In(p.location)
	timeOfDay := time.Duration(local.Hour())*time.Hour +
		time.Duration(local.Minute())*time.Minute +
		time.Duration(local.Second())*time.Second
	if p.From < p.Until {
		return timeOfDay >= p.From && timeOfDay < p.Until
	}
	return timeOfDay >= p.From || timeOfDay < p.Until
}

// applyTo returns t with the share and limit that the policy sets.
func (p policyWithLocation) applyTo(t model.Team) model.Team {
	if p.Share != 0 {
		t.Share = p.Share
	}
	if p.Limit != 0 {
		t.Limit = p.Limit
	}
	return t
}
