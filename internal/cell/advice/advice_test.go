package advice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Load: long calls beyond what the arms can do, and short ones that must not wait
// behind them.
func TestShortCallsDoNotWaitBehindLongOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	arms := make([]*Arm, 9)
	for i := range arms {
		arms[i] = &Arm{}
	}
	long, short := 900*time.Millisecond, 15*time.Millisecond
	sent := 0
	for range 20 {
		if i := Choose(arms, now, long); i >= 0 {
			arms[i].Take(now, long)
			sent++
		}
	}
	assert.Equal(t, 6, sent, "one on each arm that takes long calls")
	for range 6 {
		i := Choose(arms, now, short)
		assert.GreaterOrEqual(t, i, 0)
		assert.Less(t, i, 3, "on an arm without long calls")
		arms[i].Take(now, short)
	}
}

func TestFailedArmIsLeftAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	arms := []*Arm{{}, {}}
	arms[0].Take(now, time.Millisecond)
	arms[0].Done(now, time.Millisecond, false)
	assert.Equal(t, 1, Choose(arms, now, time.Millisecond))
	arms[1].Take(now, time.Millisecond)
	arms[1].Done(now, time.Millisecond, false)
	assert.Equal(t, -1, Choose(arms, now, time.Millisecond))
	assert.GreaterOrEqual(t, Choose(arms, now.Add(time.Second), time.Millisecond), 0)
}

func TestSingleArmTakesEverything(t *testing.T) {
	assert.Equal(t, 0, Choose([]*Arm{{}}, time.Unix(1000, 0), time.Second))
}
