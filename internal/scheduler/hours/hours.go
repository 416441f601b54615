// Package hours works out which policies are in force at a wall time. A policy's
// hours are read off a clock on the wall in its IANA time zone: on the day on
// which clocks go forward, an hour that is skipped is in no policy; on the day on
// which they go back, the hour that comes twice counts both times.
package hours

import (
	"time"
	_ "time/tzdata" // instances may lack the zone data

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

const day = 24 * time.Hour

// ErrHours says that a policy's hours are not within a day or are empty.
var ErrHours = errors.New("policy hours must lie within a day and differ")

// rule is a policy with its zone loaded.
type rule struct {
	policy model.Policy
	zone   *time.Location
}

// Rules are the policies of all teams, in the order declared.
type Rules struct {
	byTeam map[model.TeamID][]rule
}

// Compile checks policies and loads their zones.
func Compile(policies []model.Policy) (*Rules, error) {
	r := &Rules{byTeam: make(map[model.TeamID][]rule)}
	for _, p := range policies {
		zone, err := time.LoadLocation(p.TimeZone)
		if err != nil {
			return nil, errors.Wrapf(err, "policy %q", p.Name)
		}
		if p.From < 0 || p.From >= day || p.Until < 0 || p.Until > day || p.From == p.Until {
			return nil, errors.Wrapf(ErrHours, "policy %q", p.Name)
		}
		r.byTeam[p.Team] = append(r.byTeam[p.Team], rule{p, zone})
	}
	return r, nil
}

// Resolve returns a team as it is at a wall time: with the share and the limit of
// the policies in force. Of several, the one declared last wins in each; a policy
// without share or limit leaves it as it is.
func (r *Rules) Resolve(team model.Team, at time.Time) model.Team {
	for _, rule := range r.byTeam[team.Name] {
		if !rule.inForce(at) {
			continue
		}
		if rule.policy.Share > 0 {
			team.Share = rule.policy.Share
		}
		if rule.policy.Limit > 0 {
			team.Limit = rule.policy.Limit
		}
	}
	return team
}

// inForce reports whether the wall clock in the rule's zone is within its hours.
// Hours that end before they start go over midnight.
func (r rule) inForce(at time.Time) bool {
	local := sinceMidnight(at.In(r.zone))
	from, until := r.policy.From, r.policy.Until
	if from < until {
		return from <= local && local < until
	}
	return local >= from || local < until
}

// sinceMidnight reads the clock, which on some days isn't the time elapsed.
func sinceMidnight(t time.Time) time.Duration {
	hour, minute, second := t.Clock()
	return time.Duration(hour)*time.Hour +
		time.Duration(minute)*time.Minute +
		time.Duration(second)*time.Second +
		time.Duration(t.Nanosecond())
}
