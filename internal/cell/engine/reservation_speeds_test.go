package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Reservations mix workers of different speeds, so gangs ran at the pace of the slowest and occupied
// the others for much longer than without backfill. On such a fleet gangs hold what is free instead.
func TestGangsDoNotReserveOnWorkersOfDifferentSpeeds(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		w := newWorldOfSpeeds(t, 60, true, 0.1)
		w.features = Features{LearnedRuntimes: true, SpeedPlacement: true, Backfill: true}
		if !uneven {
			w.slownessOf = func(string) float64 { return 1 }
		}
		w.startLeader()
		submitLoad(w, 5*time.Second, map[string]float64{"urgent": 1, "gangs": 4, "batch": 4})
		assert.Equal(t, !uneven, w.engine.backfills(w.policy.Queue("gangs")))
		reserving := false
		for _, s := range w.engine.openSteps {
			reserving = reserving || s.reservation != nil
		}
		assert.Equal(t, !uneven, reserving)
	}
}
