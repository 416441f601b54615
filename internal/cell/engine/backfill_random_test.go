package engine

import (
	"fmt"
	"testing"
)

// backfillSeeds is the default number of schedules of each kind. WORLD_SEEDS sets another.
const backfillSeeds = 12

// The random schedules keep all rules while gangs reserve and other tasks run on what they
// have reserved.
func TestRandomFaultsWithBackfill(t *testing.T) {
	for seed := uint64(1); seed <= min(seedCount(), backfillSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed, Features{Backfill: true}) })
	}
}

func TestRandomRefusalsWithBackfill(t *testing.T) {
	for name, o := range map[string]refusalOptions{
		"refusals": {restartsKeepID: true, untold: true},
		"crashes":  {crashes: true},
		"cuts":     {cuts: true, crashes: true, restartsKeepID: true, untold: true},
		"drains":   {drains: true, restartsKeepID: true},
	} {
		o.features = Features{Backfill: true}
		t.Run(name, func(t *testing.T) { runRefusalSeeds(t, o) })
	}
}
