package ordering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCompare(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := Step{Priority: 1, Arrived: now, Objective: 10 * time.Second, Remaining: 2 * time.Second}
	late := Step{Priority: 0, Arrived: now.Add(-9 * time.Second), Objective: 10 * time.Second, Remaining: 2 * time.Second}
	tooLate := Step{Priority: 0, Arrived: now.Add(-time.Minute), Objective: 10 * time.Second, Remaining: 2 * time.Second}
	tight := fresh
	tight.Arrived = now.Add(-6 * time.Second)
	urgent := fresh
	urgent.Priority = 0
	overEntitlement := urgent
	overEntitlement.OverEntitlement = true
	for _, c := range []struct {
		name        string
		first, next Step
	}{
		{"in time before late, regardless of priority", fresh, late},
		{"late before too late", late, tooLate},
		{"by priority among those in time", urgent, tight},
		{"less slack first at equal priority", tight, fresh},
		{"work over a team's entitlement comes last", tooLate, overEntitlement},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := KeyOf(c.first, now), KeyOf(c.next, now)
			assert.Negative(t, Compare(a, b))
			assert.Positive(t, Compare(b, a))
		})
	}
}
