package engine

import (
	"fmt"
	"os"
	"testing"
)

// backfillSeeds returns the first seed and the number of seeds to run: those of refusalSeeds, or
// fewer for CI.
func backfillSeeds() (first, count uint64) {
	first, count = refusalSeeds()
	if os.Getenv("WORLD_SEEDS") == "" {
		count = 10
	}
	return first, count
}

// The random schedules keep all rules while gangs reserve and other tasks run on what they
// have reserved.
func TestRandomFaultsWithBackfill(t *testing.T) {
	first, count := backfillSeeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, seed, backfillOn)
		})
	}
}

func TestRandomRefusalsWithBackfill(t *testing.T) {
	for name, o := range map[string]refusalOptions{
		"refusals": {restartsKeepID: true, untold: true},
		"crashes":  {crashes: true},
		"cuts":     {cuts: true, crashes: true, restartsKeepID: true, untold: true},
		"drains":   {drains: true, restartsKeepID: true},
	} {
		o.features = backfillOn
		first, count := backfillSeeds()
		for seed := first; seed < first+count; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				runRandomRefusals(t, seed, o)
			})
		}
	}
}
