package scenario

import (
	"flag"
	"fmt"
	"testing"
)

var (
	seedFlag      = flag.Uint64("seed", 1, "first seed of the random schedules")
	schedulesFlag = flag.Int("schedules", 20, "number of random schedules")
)

// TestRandomSchedules checks the promises under random failures, with one schedule for
// each seed from -seed on. It shortens a schedule that fails.
func TestRandomSchedules(t *testing.T) {
	t.Logf("seeds %d to %d", *seedFlag, *seedFlag+uint64(*schedulesFlag)-1)
	for i := range uint64(*schedulesFlag) {
		t.Run(fmt.Sprint(*seedFlag+i), func(t *testing.T) {
			t.Parallel()
			checkSchedule(t, *seedFlag+i)
		})
	}
}

func checkSchedule(t *testing.T, seed uint64) {
	s := generate(seed)
	err := s.run(nil)
	if err == nil {
		return
	}
	t.Errorf("seed %d: %v", seed, err)
	if shorter := s.shrink(nil); len(shorter) < len(s) {
		t.Logf("shortened schedule:\n%s%v", shorter, shorter.failure(nil))
	}
}
