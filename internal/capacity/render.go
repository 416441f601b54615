package capacity

import (
	"fmt"
	"math"
	"strings"
)

// heapMultiplier is the number of heap bytes per live byte with the default setting
// of the garbage collector.
const heapMultiplier = 2

// TargetInstances is the number of instances that the page shows for the target
// size.
const TargetInstances = 120

// table is a Markdown table.
type table struct {
	b       strings.Builder
	columns int
}

func newTable(heads ...string) *table {
	t := &table{columns: len(heads)}
	t.row(heads...)
	t.b.WriteString(strings.Repeat("|---", len(heads)) + "|\n")
	return t
}

func (t *table) row(cells ...string) {
	t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) String() string { return t.b.String() }

// Tables returns the tables of docs/CAPACITY.md by name.
func Tables(s Slopes) map[string]string {
	today := Model{Slopes: s, Size: CurrentSize(), Design: CurrentDesign(), Instances: CurrentSize().Instances}
	target := Model{Slopes: s, Size: TargetSize(), Design: CurrentDesign(), Instances: TargetInstances}
	changed := target
	changed.Design = ProposedDesign()
	return map[string]string{
		"slopes":        slopesTable(s),
		"transport":     transportTable(s.Transport),
		"roles-today":   rolesTable(today, false),
		"roles-target":  rolesTable(target, true),
		"roles-changed": rolesTable(changed, true),
		"sums":          sumsTable(s),
		"needs":         needsTable(s),
		"appends":       appendsTable(s),
		"catch-up":      catchUpTable(s),
		"failures":      failuresTable(today, target),
	}
}

func slopesTable(s Slopes) string {
	t := newTable("Line", "Measured at", "Fixed", "Each")
	for name, l := range s.Lines.byName() {
		sizes := make([]string, len(l.Sizes))
		for i, z := range l.Sizes {
			sizes[i] = formatNumber(z)
		}
		t.row("`"+name+"`", strings.Join(sizes, ", "), formatNumber(l.Intercept())+" "+l.Unit, formatNumber(l.Slope())+" "+l.Unit+" a "+l.Per)
	}
	return t.String()
}

func transportTable(c TransportCosts) string {
	t := newTable("Line", "Figure")
	t.row("one payload, both ends", formatNumber(c.SendNS)+" ns")
	t.row("ping, pong and acknowledgment", fmt.Sprintf("%s bytes in %s datagrams, headers of IP and UDP not included", formatNumber(c.PingBytes), formatNumber(c.PingDatagrams)))
	t.row("one idle connection, both ends", formatBytes(c.ConnectionBytes))
	return t.String()
}

func rolesTable(m Model, withVerdicts bool) string {
	heads := []string{"Role", "Line", "Packages", "Counted as", "Messages/s", "Bytes/s", "Core", "Live memory"}
	if withVerdicts {
		heads = append(heads, "Verdict")
	}
	t := newTable(heads...)
	for _, c := range m.Costs() {
		cells := append([]string{c.Role, c.Item, formatPackages(c.Packages), costKind(c)}, formatCost(c)...)
		if withVerdicts {
			cells = append(cells, limitVerdict(c))
		}
		t.row(cells...)
	}
	for _, control := range []bool{true, false} {
		sum := m.Sum(control)
		sum.Control = control
		cells := append([]string{"**sum**", "", "", costKind(sum)}, formatCost(sum)...)
		if withVerdicts {
			cells = append(cells, limitVerdict(sum))
		}
		t.row(cells...)
	}
	return t.String()
}

func formatPackages(packages string) string {
	return "`" + strings.Join(strings.Split(packages, ", "), "`, `") + "`"
}

func costKind(c Cost) string {
	if c.Control {
		return "control"
	}
	return "traffic"
}

func formatCost(c Cost) []string {
	return []string{formatNumber(c.Messages), formatBytes(c.Bytes), formatPercent(c.Core), formatBytes(c.Memory)}
}

// limitVerdict compares one cost for control with the limits for the sum of all
// control. It returns an empty string for traffic.
func limitVerdict(c Cost) string {
	if !c.Control {
		return ""
	}
	core, memory, bytes := ControlLimits().Within(c)
	var exceeded []string
	for _, l := range []struct {
		name string
		ok   bool
	}{{"core", core}, {"memory", memory}, {"bytes", bytes}} {
		if !l.ok {
			exceeded = append(exceeded, l.name)
		}
	}
	if len(exceeded) == 0 {
		return "meets"
	}
	miss := "MISS (" + strings.Join(exceeded, ", ") + ")"
	if c.Remedy != "" {
		miss += ": " + c.Remedy
	}
	return miss
}

func sumsTable(s Slopes) string {
	t := newTable("Size", "Design", "Instances", "Control core", "Control memory", "Control bytes/s", "Traffic core", "Traffic bytes/s", "Control within limits")
	for _, z := range []Size{CurrentSize(), TargetSize()} {
		for _, d := range []Design{CurrentDesign(), ProposedDesign()} {
			for _, n := range shownInstances(z) {
				m := Model{Slopes: s, Size: z, Design: d, Instances: n}
				control, traffic := m.Sum(true), m.Sum(false)
				control.Control = true
				t.row(z.Name, d.Name, formatNumber(float64(n)), formatPercent(control.Core), formatBytes(control.Memory*heapMultiplier), formatBytes(control.Bytes),
					formatPercent(traffic.Core), formatBytes(traffic.Bytes), limitVerdict(control))
			}
		}
	}
	return t.String()
}

func shownInstances(z Size) []int {
	if z.Instances > 0 {
		return []int{z.Instances}
	}
	return []int{MinInstances, 60, TargetInstances, MaxInstances}
}

func needsTable(s Slopes) string {
	t := newTable("Size", "Design", "Core 3.3%", "Memory 128 MB", "Bytes 12 KB/s", "All three", "Traffic and control in one core")
	for _, z := range []Size{CurrentSize(), TargetSize()} {
		for _, d := range []Design{CurrentDesign(), ProposedDesign()} {
			need := Model{Slopes: s, Size: z, Design: d}.Needed(ControlLimits())
			t.row(z.Name, d.Name, formatNeeded(need.Core), formatNeeded(need.Memory), formatNeeded(need.Bytes), formatNeeded(need.All), formatNeeded(need.Traffic))
		}
	}
	return t.String()
}

func formatNeeded(n int) string {
	if n == 0 {
		return fmt.Sprintf("MISS: none up to %d", MaxInstances)
	}
	return fmt.Sprint(n)
}

func appendsTable(s Slopes) string {
	t := newTable("Size", "Instances", "Changes/s", "Claims/s", "Handovers/s", "Jobs/s", "Progress/s", "Sum/s", "Part of the bound", "Bytes/s", "Verdict")
	limit := ControlLimits().AppendsPerSecond
	for _, z := range []Size{CurrentSize(), TargetSize()} {
		for _, n := range shownInstances(z) {
			a := Model{Slopes: s, Size: z, Design: CurrentDesign(), Instances: n}.Appends()
			verdict := "meets"
			if a.Total() > limit {
				verdict = "MISS"
			}
			t.row(z.Name, formatNumber(float64(n)), formatNumber(a.Changes), formatNumber(a.Claims), formatNumber(a.Handovers), formatNumber(a.Jobs), formatNumber(a.Progress), formatNumber(a.Total()),
				formatPercent(a.Total()/limit), formatBytes(a.Bytes()), verdict)
		}
	}
	return t.String()
}

func catchUpTable(s Slopes) string {
	t := newTable("Size", "Design", "Instances", "Claims", "Jobs", "Entries of jobs", "Progress", "Entries of progress", "Appended within", "Read by each instance", "Read within, at 12 KB/s")
	for _, z := range []Size{CurrentSize(), TargetSize()} {
		for _, d := range []Design{CurrentDesign(), ProposedDesign()} {
			n := z.Instances
			if n == 0 {
				n = TargetInstances
			}
			c := Model{Slopes: s, Size: z, Design: d, Instances: n}.CatchUp(ControlLimits())
			t.row(z.Name, d.Name, formatNumber(float64(n)), formatNumber(c.ClaimEntries), formatBytes(c.JobBytes), formatNumber(c.JobEntries), formatBytes(c.ProgressBytes), formatNumber(c.ProgressEntries),
				formatNumber(c.AppendSeconds)+" s", formatBytes(c.ReadBytes), formatNumber(c.ReadSeconds)+" s")
		}
	}
	return t.String()
}

// formatNumber formats x with three significant digits.
func formatNumber(x float64) string {
	if x == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(x)))))
	if digits > 6 {
		return "0"
	}
	text := fmt.Sprintf("%.*f", digits, x)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

func formatPercent(x float64) string { return formatNumber(x*100) + "%" }

func formatBytes(x float64) string {
	switch {
	case x >= 1<<20:
		return formatNumber(x/(1<<20)) + " MiB"
	case x >= 1<<10:
		return formatNumber(x/(1<<10)) + " KiB"
	}
	return formatNumber(x) + " B"
}
