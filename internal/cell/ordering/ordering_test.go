package ordering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := Step{Priority: 1, Arrived: now, Objective: 10 * time.Second, Left: 2 * time.Second}
	late := Step{Priority: 0, Arrived: now.Add(-9 * time.Second), Objective: 10 * time.Second, Left: 2 * time.Second}
	useless := Step{Priority: 0, Arrived: now.Add(-time.Minute), Objective: 10 * time.Second, Left: 2 * time.Second}
	tight := fresh
	tight.Arrived = now.Add(-6 * time.Second)
	urgent := fresh
	urgent.Priority = 0
	overdue := urgent
	overdue.Overdue = true
	for _, c := range []struct {
		name        string
		first, next Step
	}{
		{"what can end in time goes before what is late, whatever its priority", fresh, late},
		{"late goes before useless", late, useless},
		{"priority among those in time", urgent, tight},
		{"less slack first at one priority", tight, fresh},
		{"work beyond an allowance comes last", useless, overdue},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := KeyOf(c.first, now), KeyOf(c.next, now)
			assert.True(t, Before(a, b))
			assert.False(t, Before(b, a))
		})
	}
}
