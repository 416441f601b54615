package capacity

import (
	"fmt"
	"testing"
)

func TestExplore(t *testing.T) {
	s, err := Read("../../docs/capacity-slopes.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, z := range []Size{Today(), Target()} {
		for _, d := range []Design{AsBuilt(), Changed()} {
			m := Model{Slopes: s, Size: z, Design: d}
			fmt.Println(z.Name, d.Name, fmt.Sprintf("%+v", m.Needed(ControlLimits())))
			for _, n := range []int{9, 60, 120, 180, 256} {
				m.N = n
				c, tr := m.Sum(true), m.Sum(false)
				fmt.Printf("  n=%d control core %.3f mem %.1fMiB bytes %.1fKiB | traffic core %.2f mem %.1f bytes %.1fKiB\n", n, c.Core, c.Memory/1048576, c.Bytes/1024, tr.Core, tr.Memory/1048576, tr.Bytes/1024)
				if n == 120 || n == 9 {
					for _, x := range m.Costs() {
						fmt.Printf("      %-50s msg %.0f core %.4f mem %.2f KB %.2f\n", x.Item, x.Messages, x.Core, x.Memory/1048576, x.Bytes/1024)
					}
					fmt.Printf("   %+v %+v\n", m.Appends(), m.CatchUp(ControlLimits()))
				}
			}
		}
	}
}
