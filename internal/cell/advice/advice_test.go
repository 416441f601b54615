package advice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Short calls must not wait behind long ones when there are more long calls than the
// delegates can serve.
func TestShortCallsDoNotWaitBehindLongOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	delegates := make([]*Delegate, 9)
	for i := range delegates {
		delegates[i] = &Delegate{}
	}
	long, short := 900*time.Millisecond, 15*time.Millisecond
	sent := 0
	for range 20 {
		if i := Choose(delegates, now, long); i >= 0 {
			delegates[i].CallSent(now, long)
			sent++
		}
	}
	assert.Equal(t, 6, sent, "one on each delegate that takes long calls")
	for range 6 {
		i := Choose(delegates, now, short)
		assert.GreaterOrEqual(t, i, 0)
		assert.Less(t, i, 3, "on a delegate without long calls")
		delegates[i].CallSent(now, short)
	}
}

func TestFailedDelegateIsInBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	delegates := []*Delegate{{}, {}}
	delegates[0].CallSent(now, time.Millisecond)
	delegates[0].CallEnded(now, time.Millisecond, false)
	assert.Equal(t, 1, Choose(delegates, now, time.Millisecond))
	delegates[1].CallSent(now, time.Millisecond)
	delegates[1].CallEnded(now, time.Millisecond, false)
	assert.Equal(t, -1, Choose(delegates, now, time.Millisecond))
	assert.GreaterOrEqual(t, Choose(delegates, now.Add(time.Second), time.Millisecond), 0)
}

func TestSingleDelegateTakesAllCalls(t *testing.T) {
	assert.Equal(t, 0, Choose([]*Delegate{{}}, time.Unix(1000, 0), time.Second))
}

func TestIdleRatio(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Zero(t, IdleRatio(nil, now))
	busy, failed := new(Delegate), new(Delegate)
	busy.CallSent(now, time.Second)
	failed.CallSent(now, time.Second)
	failed.CallEnded(now, time.Second, false)
	all := []*Delegate{new(Delegate), new(Delegate), busy, failed}
	assert.InDelta(t, 0.5, IdleRatio(all, now), 0.001)
	assert.InDelta(t, 1, IdleRatio(all, now.Add(2*time.Second)), 0.001)
}

// A long call does not wait for the delegates of short ones, nor a short one for all of them.
func TestWaitIsThatOfTheDelegatesThatMayTakeTheCall(t *testing.T) {
	now := time.Unix(1000, 0)
	short, long := 20*time.Millisecond, time.Second
	var delegates []*Delegate
	assert.Zero(t, Wait(delegates, now, long))
	for range 3 {
		delegates = append(delegates, &Delegate{})
	}
	delegates[1].CallSent(now, long)
	assert.Zero(t, Wait(delegates, now, long))
	delegates[2].CallSent(now, 3*time.Second)
	assert.Equal(t, long, Wait(delegates, now, long))
	assert.Zero(t, Wait(delegates, now, short))
	delegates[0].CallSent(now, short)
	assert.Equal(t, short, Wait(delegates, now, short))
}
