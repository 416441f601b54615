package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The parts must add up to the wait that decides, or an explanation names the wrong cause.
func TestWaitParts(t *testing.T) {
	for _, test := range []struct {
		parts WaitParts
		total time.Duration
		cause string
	}{
		{WaitParts{Bearable: time.Second}, 0, ""},
		{WaitParts{Cores: 3, Recent: 2, Limit: 1}, 3, CauseWorkAhead},
		{WaitParts{Cores: 2, Recent: 3, Limit: 1, Adviser: 3}, 6, CauseRecent},
		{WaitParts{Cores: 2, Recent: 1, Limit: 4}, 4, CauseTeamLimit},
		{WaitParts{Cores: 2, Adviser: 3}, 5, CauseAdviser},
	} {
		assert.Equal(t, []any{test.total, test.cause}, []any{test.parts.Total(), test.parts.Cause()}, "%+v", test.parts)
	}
}

// The decision reports the same parts for both rules.
func TestDecisionsTellTheirParts(t *testing.T) {
	d := Contend(Contender{Cores: 10, Work: 10, Objective: 9 * time.Second, TimeToEnd: time.Second},
		Contention{Capacity: 100, PackedCapacity: 100, GoodRatio: 1, AheadCores: 50, AheadWork: 80, TeamWait: 400 * time.Millisecond, AdviceWait: 100 * time.Millisecond})
	want := WaitParts{Cores: time.Second, Limit: 400 * time.Millisecond, Adviser: 100 * time.Millisecond, Bearable: 7200 * time.Millisecond, AheadCores: 50, AheadWork: 80}
	assert.Equal(t, Decision{Accept: true, Wait: 1100 * time.Millisecond, Parts: want}, d)
	d = Decide(Job{Cores: 10, Objective: 9 * time.Second, CriticalPath: time.Second}, Load{Capacity: 100, WaitingCores: 50, WaitingCoreSeconds: 90, RecentWait: 2 * time.Second})
	want = WaitParts{Cores: time.Second, Recent: 2 * time.Second, Bearable: 8 * time.Second, AheadCores: 50, AheadWork: 90}
	assert.Equal(t, Decision{Accept: true, Wait: 2 * time.Second, Parts: want}, d)
}
