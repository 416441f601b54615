package declare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

func at(t *testing.T, utc string) time.Time {
	t.Helper()
	out, err := time.Parse(time.RFC3339, utc)
	require.NoError(t, err)
	return out
}

func peak(zone string, from, until time.Duration) model.Policy {
	return model.Policy{Name: "peak", Team: "a", TimeZone: zone, From: from, Until: until, Share: 9, Limit: 90}
}

// newStateWithPolicies returns a state with two teams and the policies.
func newStateWithPolicies(t *testing.T, policies ...model.Policy) *State {
	t.Helper()
	s := NewState()
	put := model.Declarations{Teams: []model.Team{{Name: "a", Share: 1, Limit: 10}, {Name: "b", Share: 1}}, Policies: policies}
	require.Equal(t, Accepted, s.Apply(1, model.Change{ID: "a", Put: put}).Outcome)
	return s
}

// TestClockChange evaluates policies around both daylight saving transitions of
// 2026: forward on 29 March, back on 25 October, both at 01:00 UTC.
func TestClockChange(t *testing.T) {
	const dublin, copenhagen = "Europe/Dublin", "Europe/Copenhagen"
	hm := func(h, m int) time.Duration { return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute }
	tests := []struct {
		name        string
		zone        string
		from, until time.Duration
		utc         string
		want        bool
	}{
		{"Dublin, day before forward: 09:00 is 09:00 UTC", dublin, hm(9, 0), hm(10, 0), "2026-03-28T09:00:00Z", true},
		{"Dublin, after forward: 09:00 is 08:00 UTC", dublin, hm(9, 0), hm(10, 0), "2026-03-29T08:00:00Z", true},
		{"Dublin, after forward: 10:00 is 09:00 UTC", dublin, hm(9, 0), hm(10, 0), "2026-03-29T09:00:00Z", false},
		{"Dublin, last second before forward", dublin, hm(0, 30), hm(1, 30), "2026-03-29T00:59:59Z", true},
		{"Dublin, 01:00 is skipped to 02:00", dublin, hm(0, 30), hm(1, 30), "2026-03-29T01:00:00Z", false},
		{"Dublin, start in the skipped hour", dublin, hm(1, 30), hm(3, 0), "2026-03-29T01:00:00Z", true},
		{"Dublin, back: 01:30 the first time", dublin, hm(1, 0), hm(2, 0), "2026-10-25T00:30:00Z", true},
		{"Dublin, back: 01:30 the second time", dublin, hm(1, 0), hm(2, 0), "2026-10-25T01:30:00Z", true},
		{"Dublin, back: 02:00", dublin, hm(1, 0), hm(2, 0), "2026-10-25T02:00:00Z", false},
		{"Dublin, after back: 09:00 is 09:00 UTC", dublin, hm(9, 0), hm(10, 0), "2026-10-25T09:00:00Z", true},
		{"Copenhagen, day before forward: 09:00 is 08:00 UTC", copenhagen, hm(9, 0), hm(10, 0), "2026-03-28T08:00:00Z", true},
		{"Copenhagen, after forward: 09:00 is 07:00 UTC", copenhagen, hm(9, 0), hm(10, 0), "2026-03-29T07:00:00Z", true},
		{"Copenhagen, after forward: 10:00 is 08:00 UTC", copenhagen, hm(9, 0), hm(10, 0), "2026-03-29T08:00:00Z", false},
		{"Copenhagen, 02:00 is skipped to 03:00", copenhagen, hm(2, 0), hm(3, 0), "2026-03-29T01:00:00Z", false},
		{"Copenhagen, back: 02:30 the first time", copenhagen, hm(2, 0), hm(3, 0), "2026-10-25T00:30:00Z", true},
		{"Copenhagen, back: 02:30 the second time", copenhagen, hm(2, 0), hm(3, 0), "2026-10-25T01:30:00Z", true},
		{"Copenhagen, back: 03:00", copenhagen, hm(2, 0), hm(3, 0), "2026-10-25T02:00:00Z", false},
		{"Copenhagen, over midnight before", copenhagen, hm(22, 0), hm(4, 0), "2026-10-24T20:00:00Z", true},
		{"Copenhagen, over midnight of the 25-hour day", copenhagen, hm(22, 0), hm(4, 0), "2026-10-25T02:59:59Z", true},
		{"Copenhagen, over midnight after", copenhagen, hm(22, 0), hm(4, 0), "2026-10-25T03:00:00Z", false},
		{"whole day", copenhagen, 0, 24 * time.Hour, "2026-10-25T23:00:00Z", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStateWithPolicies(t, peak(tt.zone, tt.from, tt.until))
			want := model.Team{Name: "a", Share: 1, Limit: 10}
			if tt.want {
				want = model.Team{Name: "a", Share: 9, Limit: 90}
			}
			team, ok := s.TeamAt("a", at(t, tt.utc))
			require.True(t, ok)
			require.Equal(t, want, team)
		})
	}
}

// If several policies are active, the last by name wins for each field. Other teams
// and fields that no policy sets keep their declared values.
func TestPoliciesLeaveOtherTeamsAndUnsetFieldsAlone(t *testing.T) {
	night := model.Policy{Name: "zz-night", Team: "a", TimeZone: "UTC", From: 0, Until: 12 * time.Hour, Limit: 5}
	s := newStateWithPolicies(t, peak("UTC", 0, 24*time.Hour), night)
	morning := at(t, "2026-06-01T06:00:00Z")
	team, _ := s.TeamAt("a", morning)
	require.Equal(t, model.Team{Name: "a", Share: 9, Limit: 5}, team)
	other, _ := s.TeamAt("b", morning)
	require.Equal(t, model.Team{Name: "b", Share: 1}, other)
}
