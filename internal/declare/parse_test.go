package declare

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)
)

const sample = `
[[team]]
name = "north"
share = 3
[[queue]]
name = "front"
team = "north"
[[service]]
name = "s"
demand = { cpu = "500m", memory = "1GiB" }
require = "zone in (a, b), !gpu, tier!=web"
prefer = [{ selector = "fast", weight = 2 }]
timeout = "5s"
[[policy]]
name = "late"
team = "north"
time_zone = "Europe/Dublin"
from = "17:30"
until = "24:00"
limit = 7
`

func TestParse(t *testing.T) {
	d, faults := Parse("d.toml", []byte(sample))
	require.Empty(t, faults)
	require.Equal(t, []model.Service{{
		Name:   "s",
		Demand: model.Resources{MilliCPU: 500, MemoryMiB: 1024, Slots: 1},
		Require: model.Selector{
			{Label: "zone", Op: model.OpIn, Values: []string{"a", "b"}},
			{Label: "gpu", Op: model.OpNotExists},
			{Label: "tier", Op: model.OpNotIn, Values: []string{"web"}},
		},
		Prefer:  []model.Preference{{Selector: model.Selector{{Label: "fast", Op: model.OpExists}}, Weight: 2}},
		Class:   model.ClassNormal,
		Timeout: 5 * time.Second,
	}}, d.Services)
	require.Equal(t, 17*time.Hour+30*time.Minute, d.Policies[0].From)
	require.Equal(t, 24*time.Hour, d.Policies[0].Until)

	data, err := Marshal(d)
	require.NoError(t, err)
	again, faults := Parse("again.toml", data)
	require.Empty(t, faults)
	require.Equal(t, d, again)
}

func TestParseReportsFaultsInsideInlineTables(t *testing.T) {
	_, faults := Parse("d.toml", []byte(`
[[service]]
name = "s"
demand = { cpu = -1, memory = "1G", sockets = 2 }
prefer = [
  { selector = "a b", weight = 1 },
  { selector = "fast" },
]
`))
	var keys []string
	var lines []int
	for _, f := range faults {
		keys = append(keys, f.Key)
		lines = append(lines, f.Line)
	}
	require.Equal(t, []string{"service.demand.cpu", "service.demand.memory", "service.demand.sockets", "service.prefer.selector"}, keys, faults)
	require.Equal(t, []int{4, 4, 4, 6}, lines)
}

func TestLoadValidatesFilesTogether(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	teams := write("teams.toml", "[[team]]\nname = \"north\"\nshare = 1\n")
	queues := write("queues.toml", "[[queue]]\nname = \"front\"\nteam = \"north\"\n")
	d, faults := Load(teams, queues)
	require.Empty(t, faults)
	require.Len(t, d.Queues, 1)

	more := write("more.toml", "[[team]]\nname = \"south\"\nshare = 1\n[[team]]\nname = \"north\"\nshare = 1\n")
	_, faults = Load(teams, more, filepath.Join(dir, "absent.toml"))
	require.Len(t, faults, 2)
	require.Equal(t, filepath.Join(dir, "absent.toml"), faults[0].File)
	require.Equal(t, Fault{File: more, Line: 5, Key: "team.name", Message: faults[1].Message}, faults[1])
}

func TestSelectors(t *testing.T) {
	for _, text := range []string{"", "gpu", "!gpu", "tier=web", "zone in (a,b)", "rack notin (r1)", "a=1, !b, c in (x,y)"} {
		s, err := ParseSelector(text)
		require.NoError(t, err, text)
		require.Equal(t, text, FormatSelector(s))
	}
	for _, text := range []string{"a b", "zone in a,b", "zone in ()", "zone in (a", "=x", "a=", "!", ",", "a,,b", "5"} {
		_, err := ParseSelector(text)
		require.Error(t, err, text)
	}
}

func TestNames(t *testing.T) {
	for name, valid := range map[string]bool{
		"a": true, "0": true, "a.b_c-9": true, strings.Repeat("a", maxNameBytes): true,
		"": false, "-a": false, ".": false, "A": false, "a b": false, "a/b": false, "\u00e9": false,
		strings.Repeat("a", maxNameBytes+1): false,
	} {
		problems := Validate(model.Declarations{Teams: []model.Team{{Name: model.TeamID(name), Share: 1}}})
		require.Equal(t, valid, len(problems) == 0, "name %q: %v", name, problems)
	}
}

func TestDiffAndRender(t *testing.T) {
	before, faults := Parse("d.toml", []byte(sample))
	require.Empty(t, faults)
	after := before
	after.Teams = []model.Team{{Name: "north", Share: 4}, {Name: "south", Share: 1}}
	after.Policies = nil
	c := Diff(before, after)
	require.Equal(t, after.Teams, c.Put.Teams)
	require.Empty(t, c.Put.Services)
	require.Equal(t, []model.ObjectRef{{Kind: model.ObjectPolicy, Name: "late"}}, c.Delete)
	require.True(t, IsEmpty(Diff(before, before)))
	require.Equal(t, `~ team north
    - share = 3
    + share = 4
+ team south
    + share = 1
- policy late
`, Render(before, c))
}

func TestPolicyHoursFollowTheLocalClock(t *testing.T) {
	s := NewState()
	put := model.Declarations{
		Teams: []model.Team{{Name: "north", Share: 3, Limit: 9}},
		Policies: []model.Policy{
			{Name: "late", Team: "north", TimeZone: "Europe/Dublin", From: 17 * time.Hour, Until: 18 * time.Hour, Limit: 7},
			{Name: "night", Team: "north", TimeZone: "Europe/Dublin", From: 22 * time.Hour, Until: 2 * time.Hour, Share: 5},
		},
	}
	require.Equal(t, Accepted, s.Apply(1, model.Change{ID: "a", Put: put}).Outcome)
	for _, tt := range []struct {
		utc          string
		share, limit int64
	}{
		{"2026-01-10T17:00:00Z", 3, 7}, // winter: UTC
		{"2026-07-10T17:00:00Z", 3, 9}, // summer: 18:00 in Dublin
		{"2026-07-10T16:00:00Z", 3, 7},
		{"2026-01-10T16:59:59Z", 3, 9},
		{"2026-01-10T23:00:00Z", 5, 9}, // past midnight
		{"2026-01-10T01:59:00Z", 5, 9},
		{"2026-01-10T02:00:00Z", 3, 9},
	} {
		now, err := time.Parse(time.RFC3339, tt.utc)
		require.NoError(t, err)
		team, ok := s.TeamAt("north", now)
		require.True(t, ok)
		require.Equal(t, model.Team{Name: "north", Share: tt.share, Limit: tt.limit}, team, tt.utc)
	}
	restored, err := Restore(s.Snapshot())
	require.NoError(t, err)
	s.Apply(2, change("b", 1, model.Declarations{}, model.ObjectRef{Kind: model.ObjectPolicy, Name: "late"}))
	now := time.Date(2026, 1, 10, 17, 0, 0, 0, time.UTC)
	team, _ := restored.TeamAt("north", now)
	require.Equal(t, int64(7), team.Limit)
	team, _ = s.TeamAt("north", now)
	require.Equal(t, int64(9), team.Limit, "the policy is deleted")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[[team]]\nname = \"a\"\nshare = 1\n[team.x]\n[team]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, faults := Parse("f.toml", data)
		if len(faults) > 0 {
			return
		}
		again, err := Marshal(d)
		require.NoError(t, err)
		d2, faults := Parse("again.toml", again)
		require.Empty(t, faults)
		require.True(t, IsEmpty(Diff(d, d2)))
	})
}
