package capacity

import (
	"fmt"
	"math"
	"strings"
)

// garbageFactor is what the runtime holds for each live byte, at the default
// setting of its garbage collector.
const garbageFactor = 2

// TargetInstances is the number of instances of the target that the page shows.
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
	today := Model{Slopes: s, Size: Today(), Design: AsBuilt(), N: Today().Instances}
	target := Model{Slopes: s, Size: Target(), Design: AsBuilt(), N: TargetInstances}
	changed := target
	changed.Design = Changed()
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
			sizes[i] = number(z)
		}
		t.row("`"+name+"`", strings.Join(sizes, ", "), number(l.Fixed())+" "+l.Unit, number(l.Each())+" "+l.Unit+" a "+l.Per)
	}
	return t.String()
}

func transportTable(c TransportCosts) string {
	t := newTable("Line", "Figure")
	t.row("one payload, both ends", number(c.SendNS)+" ns")
	t.row("ping, pong and acknowledgment", fmt.Sprintf("%s bytes in %s datagrams, headers of IP and UDP not included", number(c.PingBytes), number(c.PingDatagrams)))
	t.row("one idle connection, both ends", bytesOf(c.ConnectionBytes))
	return t.String()
}

func rolesTable(m Model, misses bool) string {
	heads := []string{"Role", "Line", "Carried by", "Counted as", "Messages/s", "Bytes/s", "Core", "Live memory"}
	if misses {
		heads = append(heads, "Verdict")
	}
	t := newTable(heads...)
	for _, c := range m.Costs() {
		cells := append([]string{c.Role, c.Item, code(c.Mechanism), kindOf(c)}, figures(c)...)
		if misses {
			cells = append(cells, verdictOf(c))
		}
		t.row(cells...)
	}
	for _, control := range []bool{true, false} {
		sum := m.Sum(control)
		sum.Control = control
		cells := append([]string{"**sum**", "", "", kindOf(sum)}, figures(sum)...)
		if misses {
			cells = append(cells, verdictOf(sum))
		}
		t.row(cells...)
	}
	return t.String()
}

func code(packages string) string {
	return "`" + strings.Join(strings.Split(packages, ", "), "`, `") + "`"
}

func kindOf(c Cost) string {
	if c.Control {
		return "control"
	}
	return "traffic"
}

func figures(c Cost) []string {
	return []string{number(c.Messages), bytesOf(c.Bytes), percent(c.Core), bytesOf(c.Memory)}
}

// verdictOf holds a line for control against the limits of all control together.
func verdictOf(c Cost) string {
	if !c.Control {
		return ""
	}
	core, memory, bytes := ControlLimits().Within(c)
	var over []string
	for _, l := range []struct {
		name string
		ok   bool
	}{{"core", core}, {"memory", memory}, {"bytes", bytes}} {
		if !l.ok {
			over = append(over, l.name)
		}
	}
	if len(over) == 0 {
		return "meets"
	}
	miss := "MISS (" + strings.Join(over, ", ") + ")"
	if c.Remedy != "" {
		miss += ": " + c.Remedy
	}
	return miss
}

func sumsTable(s Slopes) string {
	t := newTable("Size", "Design", "Instances", "Control core", "Control memory", "Control bytes/s", "Traffic core", "Traffic bytes/s", "Control within limits")
	for _, z := range []Size{Today(), Target()} {
		for _, d := range []Design{AsBuilt(), Changed()} {
			for _, n := range instancesShown(z) {
				m := Model{Slopes: s, Size: z, Design: d, N: n}
				control, traffic := m.Sum(true), m.Sum(false)
				control.Control = true
				t.row(z.Name, d.Name, number(float64(n)), percent(control.Core), bytesOf(control.Memory*garbageFactor), bytesOf(control.Bytes),
					percent(traffic.Core), bytesOf(traffic.Bytes), verdictOf(control))
			}
		}
	}
	return t.String()
}

func instancesShown(z Size) []int {
	if z.Instances > 0 {
		return []int{z.Instances}
	}
	return []int{MinInstances, 60, TargetInstances, MaxInstances}
}

func needsTable(s Slopes) string {
	t := newTable("Size", "Design", "Core 3.3%", "Memory 128 MB", "Bytes 12 KB/s", "All three", "Traffic and control in one core")
	for _, z := range []Size{Today(), Target()} {
		for _, d := range []Design{AsBuilt(), Changed()} {
			need := Model{Slopes: s, Size: z, Design: d}.Needed(ControlLimits())
			t.row(z.Name, d.Name, needed(need.Core), needed(need.Memory), needed(need.Bytes), needed(need.All), needed(need.Traffic))
		}
	}
	return t.String()
}

func needed(n int) string {
	if n == 0 {
		return fmt.Sprintf("MISS: none up to %d", MaxInstances)
	}
	return fmt.Sprint(n)
}

func appendsTable(s Slopes) string {
	t := newTable("Size", "Instances", "Changes/s", "Claims/s", "Handovers/s", "Jobs/s", "Progress/s", "Sum/s", "Part of the bound", "Bytes/s", "Verdict")
	limit := ControlLimits().Append
	for _, z := range []Size{Today(), Target()} {
		for _, n := range instancesShown(z) {
			a := Model{Slopes: s, Size: z, Design: AsBuilt(), N: n}.Appends()
			verdict := "meets"
			if a.Total() > limit {
				verdict = "MISS"
			}
			t.row(z.Name, number(float64(n)), number(a.Changes), number(a.Claims), number(a.Handovers), number(a.Jobs), number(a.Progress), number(a.Total()),
				percent(a.Total()/limit), bytesOf(a.Bytes()), verdict)
		}
	}
	return t.String()
}

func catchUpTable(s Slopes) string {
	t := newTable("Size", "Design", "Instances", "Claims", "Jobs", "Entries of jobs", "Progress", "Entries of progress", "Appended within", "Read by each instance", "Read within, at 12 KB/s")
	for _, z := range []Size{Today(), Target()} {
		for _, d := range []Design{AsBuilt(), Changed()} {
			n := z.Instances
			if n == 0 {
				n = TargetInstances
			}
			c := Model{Slopes: s, Size: z, Design: d, N: n}.CatchUp(ControlLimits())
			t.row(z.Name, d.Name, number(float64(n)), number(c.ClaimEntries), bytesOf(c.JobBytes), number(c.JobEntries), bytesOf(c.ProgressBytes), number(c.ProgressEntries),
				number(c.AppendSeconds)+" s", bytesOf(c.ReadBytes), number(c.ReadSeconds)+" s")
		}
	}
	return t.String()
}

// number writes x with three significant digits.
func number(x float64) string {
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

func percent(x float64) string { return number(x*100) + "%" }

func bytesOf(x float64) string {
	switch {
	case x >= 1<<20:
		return number(x/(1<<20)) + " MiB"
	case x >= 1<<10:
		return number(x/(1<<10)) + " KiB"
	}
	return number(x) + " B"
}
