package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/limits"
)

func hoursPolicy(zone string, from, until time.Duration) model.Declarations {
	return model.Declarations{
		Teams:    []model.Team{{Name: "t", Share: 3}},
		Policies: []model.Policy{{Name: "p", Team: "t", TimeZone: zone, From: from, Until: until, Share: 9, Limit: 1}},
	}
}

// TestPolicyHoursFollowDaylightSavingTime steps a core at the minutes at which
// policy hours begin and end, around both clock changes of 2026.
func TestPolicyHoursFollowDaylightSavingTime(t *testing.T) {
	const dublin, copenhagen = "Europe/Dublin", "Europe/Copenhagen"
	hm := func(h, m int) time.Duration { return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute }
	for _, tt := range []struct {
		zone        string
		from, until time.Duration
		first, last string // instants at which the hours begin and end
	}{
		{dublin, hm(17, 30), hm(20, 0), "2026-03-28T17:30:00Z", "2026-03-28T20:00:00Z"},
		{dublin, hm(17, 30), hm(20, 0), "2026-03-29T16:30:00Z", "2026-03-29T19:00:00Z"},
		{dublin, hm(1, 30), hm(3, 0), "2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z"},
		{dublin, hm(17, 30), hm(20, 0), "2026-10-24T16:30:00Z", "2026-10-24T19:00:00Z"},
		{dublin, hm(17, 30), hm(20, 0), "2026-10-25T17:30:00Z", "2026-10-25T20:00:00Z"},
		{dublin, hm(1, 0), hm(2, 0), "2026-10-25T00:00:00Z", "2026-10-25T02:00:00Z"},
		{copenhagen, hm(16, 30), hm(19, 30), "2026-03-28T15:30:00Z", "2026-03-28T18:30:00Z"},
		{copenhagen, hm(16, 30), hm(19, 30), "2026-03-29T14:30:00Z", "2026-03-29T17:30:00Z"},
		{copenhagen, hm(2, 30), hm(4, 0), "2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z"},
		{copenhagen, hm(16, 30), hm(19, 30), "2026-10-24T14:30:00Z", "2026-10-24T17:30:00Z"},
		{copenhagen, hm(16, 30), hm(19, 30), "2026-10-25T15:30:00Z", "2026-10-25T18:30:00Z"},
		{copenhagen, hm(2, 0), hm(3, 0), "2026-10-25T00:00:00Z", "2026-10-25T02:00:00Z"},
	} {
		t.Run(tt.zone+" "+tt.first, func(t *testing.T) {
			c := newCell(t, "a")
			c.change("1", 0, hoursPolicy(tt.zone, tt.from, tt.until))
			c.run(stepTime)
			require.EqualValues(t, 3, c.config("a").Teams()[0].Share, "policies have no effect while the time of day is unknown")
			require.Zero(t, c.config("a").Limit("t"))
			first, err := time.Parse(time.RFC3339, tt.first)
			require.NoError(t, err)
			last, err := time.Parse(time.RFC3339, tt.last)
			require.NoError(t, err)
			for _, at := range []time.Time{first.Add(-time.Minute), first, last.Add(-time.Minute), last} {
				c.step("a", event.Tick{Wall: at})
				in := !at.Before(first) && at.Before(last)
				require.Equal(t, in, c.config("a").Teams()[0].Share == 9, at)
				require.Equal(t, in, c.config("a").Limit("t") == 1, at)
			}
		})
	}
}

// mayStart returns the number of instances that may start a task of the team.
func (c *cell) mayStart(team model.TeamID) int {
	n := 0
	for _, i := range c.instances {
		s, err := kernel.Find[*limits.Service](c.cores[i.ID].kernel, service.Limits)
		require.NoError(c.t, err)
		if s.MayStart(team) {
			n++
		}
	}
	return n
}

// TestHourlyLimitFollowsClockOfShardOwner lets the clocks of the other instances
// differ from that of the shard owner by five minutes at the hour at which a limit
// of one task begins.
func TestHourlyLimitFollowsClockOfShardOwner(t *testing.T) {
	for _, skew := range []time.Duration{-5 * time.Minute, 0, 5 * time.Minute} {
		t.Run(skew.String(), func(t *testing.T) {
			c := newCell(t, "a", "b", "c")
			c.listWorkers(24)
			c.startTime = time.Date(2026, 3, 29, 16, 29, 0, 0, time.UTC)
			c.change("1", 0, hoursPolicy("Europe/Dublin", 17*time.Hour+30*time.Minute, 20*time.Hour))
			c.run(30 * time.Second)
			require.Equal(t, 3, c.mayStart("t"), "there is no limit before the hour")

			owner := c.table("a")[model.ShardOfTeam("t")].Owner.Instance
			c.skew = map[model.InstanceID]time.Duration{"a": skew, "b": skew, "c": skew}
			c.skew[owner] = 0
			c.run(28 * time.Second)
			require.Equal(t, 3, c.mayStart("t"), "the clocks of other instances do not start the limit")
			c.run(5 * time.Second)
			require.Equal(t, 1, c.mayStart("t"), "the clocks of other instances do not delay the limit")
		})
	}
}
