package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// submitAdvised submits wide gangs that need long calls to the adviser, for a span of time.
func submitAdvised(w *world, span time.Duration) (ids []string) {
	for end := w.now.Add(span); w.now.Before(end); w.run(100 * time.Millisecond) {
		ids = append(ids, w.submit("gangs", "a", gang(12, 8000, 2*time.Second)))
	}
	return ids
}

func TestCallsToTheAdviserTimeOutForeverAfterItWasSlow(t *testing.T) {
	w := newAdvisedWorld(t, 350, 12)
	w.run(2 * time.Second)
	w.adviser.delay = 400 * time.Millisecond
	ids := submitAdvised(w, 4*time.Second)
	w.adviser.delay = 0
	w.run(5 * time.Second)
	before := w.adviser.timeouts
	w.run(25 * time.Second)
	t.Logf("timeouts: %d while the adviser was slow and soon after, then %d", before, w.adviser.timeouts-before)
	assert.Zero(t, w.adviser.timeouts-before)
	for _, id := range ids {
		if w.accepted[id] {
			assert.Equal(t, StateCompleted, w.state(id))
		}
	}
}

func TestSmallDelaysOfTheAdviserAddUpUntilCallsTimeOut(t *testing.T) {
	w := newAdvisedWorld(t, 350, 12)
	w.run(2 * time.Second)
	w.adviser.delay = 30 * time.Millisecond
	submitAdvised(w, 40*time.Second)
	assert.Zero(t, w.adviser.timeouts)
}

// A gang waits while workers come back as new ones.
func TestAdviceAboutWorkersThatAreGoneAddsUp(t *testing.T) {
	w := newWorld(t, 4, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	id := w.submit("advised", "a", gang(6, 8000, time.Second))
	for range 30 {
		n.replace(w.ids[0], time.Second)
		w.run(3 * time.Second)
	}
	s := w.engine.jobs[id].occurrences[0].steps[0]
	assert.LessOrEqual(t, len(s.advice.asked), 2*len(w.ids))
	assert.LessOrEqual(t, len(s.advice.good), 2*len(w.ids))
}
