package capacity

import (
	"flag"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	slopesFile = "../../docs/capacity-slopes.toml"
	pageFile   = "../../docs/CAPACITY.md"
)

var update = flag.Bool("update", false, "rewrite the tables of docs/CAPACITY.md")

// tablePattern matches a table of the page between its two markers.
var tablePattern = regexp.MustCompile(`(?s)<!-- table ([a-z-]+) -->\n(.*?)<!-- end -->`)

// TestCapacityPage checks that every table of the page follows from the slopes.
func TestCapacityPage(t *testing.T) {
	slopes, err := Read(slopesFile)
	require.NoError(t, err)
	tables := Tables(slopes)
	page, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	shown := make(map[string]bool)
	fresh := tablePattern.ReplaceAllFunc(page, func(found []byte) []byte {
		name := string(tablePattern.FindSubmatch(found)[1])
		require.Contains(t, tables, name)
		require.False(t, shown[name], "table %s is shown twice", name)
		shown[name] = true
		return []byte("<!-- table " + name + " -->\n" + tables[name] + "<!-- end -->")
	})
	require.Len(t, shown, len(tables), "the page shows every table")
	if *update {
		require.NoError(t, os.WriteFile(pageFile, fresh, 0o644))
		return
	}
	require.Equal(t, string(fresh), string(page), "run: go test ./internal/capacity -run TestCapacityPage -update")
}

func TestLine(t *testing.T) {
	for _, tt := range []struct {
		name             string
		line             Line
		intercept, slope float64
	}{
		{"exact", Line{Sizes: []float64{10, 30}, Values: []float64{25, 65}}, 5, 2},
		{"fitted", Line{Sizes: []float64{0, 1, 2}, Values: []float64{0, 2, 1}}, 0.5, 0.5},
		{"falling", Line{Sizes: []float64{1, 2}, Values: []float64{3, 1}}, 2, 0},
		{"below zero at 0", Line{Sizes: []float64{10, 20}, Values: []float64{1, 11}}, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.InDelta(t, tt.intercept, tt.line.Intercept(), 1e-9)
			require.InDelta(t, tt.slope, tt.line.Slope(), 1e-9)
			require.InDelta(t, tt.intercept+100*tt.slope, tt.line.At(100), 1e-9)
		})
	}
}

func TestParseRejectsInvalidSlopes(t *testing.T) {
	_, err := Parse([]byte("[lines.heartbeat_bytes]\n"))
	require.Error(t, err, "unknown line")
	_, err = Parse([]byte("command = 'x'\n"))
	require.ErrorContains(t, err, "expected two sizes or more")
}

func TestNeeded(t *testing.T) {
	slopes, err := Read(slopesFile)
	require.NoError(t, err)
	m := Model{Slopes: slopes, Size: TargetSize(), Design: ProposedDesign()}
	need := m.Needed(ControlLimits())
	m.Instances = need.All
	core, memory, bytes := ControlLimits().Within(m.Sum(true))
	require.True(t, core && memory && bytes)
	m.Instances--
	core, memory, bytes = ControlLimits().Within(m.Sum(true))
	require.False(t, core && memory && bytes)
	m.Size.Workers *= 1000
	require.Zero(t, m.Needed(ControlLimits()).All)
}
