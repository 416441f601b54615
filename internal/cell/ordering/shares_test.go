package ordering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestYielding(t *testing.T) {
	for _, c := range []struct {
		name  string
		teams []TeamUse
		want  []bool
	}{
		{"near their shares", []TeamUse{{1, 19, true}, {1, 19, true}, {4, 62, true}}, []bool{false, false, false}},
		{"one team far above", []TeamUse{{1, 50, true}, {1, 10, true}, {4, 40, true}}, []bool{true, false, false}},
		{"above by less than the tolerance", []TeamUse{{1, 54, true}, {1, 46, true}}, []bool{false, false}},
		{"the team below has nothing that waits", []TeamUse{{1, 90, true}, {1, 10, false}}, []bool{false, false}},
		{"a team without a share", []TeamUse{{0, 90, true}, {1, 5, true}, {1, 5, true}}, []bool{false, false, false}},
		{"a team that neither runs nor waits has no part", []TeamUse{{1, 50, true}, {1, 50, true}, {8, 0, false}}, []bool{false, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, Yielding(c.teams, 100)) })
	}
}

// A step of a team above its share comes after others of its priority and timeliness only.
func TestStepsOfATeamAboveItsShareYield(t *testing.T) {
	now := time.Unix(1000, 0)
	other := Step{Priority: 1, Arrived: now, Objective: 10 * time.Second, Remaining: 2 * time.Second}
	yields := other
	yields.Yields, yields.Arrived = true, now.Add(-5*time.Second)
	lower, late := other, other
	lower.Priority = 2
	late.Arrived = now.Add(-9 * time.Second)
	assert.Positive(t, Compare(KeyOf(yields, now), KeyOf(other, now)))
	assert.Negative(t, Compare(KeyOf(yields, now), KeyOf(lower, now)))
	assert.Negative(t, Compare(KeyOf(yields, now), KeyOf(late, now)))
}
