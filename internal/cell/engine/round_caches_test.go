package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A placement round keeps what it found out about the delegates, and ranks no workers for a step
// that was asked about all of them. Neither may change when a task starts, which a stale value
// would.
func TestCachesOfARoundChangeNoStart(t *testing.T) {
	for name, f := range map[string]Features{"none": {}, "speed": {LearnedRuntimes: true, SpeedPlacement: true}, "contention": {ContentionAdmission: true, Headroom: true}, "all": allFeatures} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				play := func(uncached bool) map[string]time.Time {
					w := newContendedFleet(t, 60+int(seed)*40, f)
					w.engine.uncached = uncached
					w.sendContendedLoad(2*time.Second, 1.3)
					w.addBacklog()
					w.sendContendedLoad(3*time.Second, 1.5)
					return w.firstStart
				}
				cached := play(false)
				assert.Equal(t, play(true), cached)
				assert.Greater(t, len(cached), 100)
			})
		}
	}
}
