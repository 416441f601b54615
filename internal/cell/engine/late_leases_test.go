package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Late commands name times on the clock of the earlier incarnation, which is far ahead. One extends the
// lease of the present one just before a cut that lasts longer than the lease that the engine has requested.
func TestLateCommandOfAnEarlierIncarnationExtendsLeasesUnseen(t *testing.T) {
	w := newWorld(t, 2, 1)
	n, s := w.useNetwork(1), w.workers["w00"]
	n.restartsKeepID = true
	n.startClock(s, 400_000)
	w.run(time.Second)
	n.cut("w01", 11*time.Second)
	w.run(3 * time.Second) // until the engine sees it
	n.links["w00"].lateRatio = 1
	w.submit("batch", "a", tasks(1, 1000, 2*time.Second))
	w.run(100 * time.Millisecond)
	n.links["w00"].lateRatio = 0
	n.restart("w00", 0, 0)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 12*time.Second))
	for end := w.now.Add(maxLate); w.now.Before(end) && s.leaseEnd.Sub(w.now) < 9*time.Second; {
		w.run(simTick)
	}
	n.cut("w00", 9*time.Second)
	w.run(30 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.tasks[taskName(id, 0, 0)].lastRun)
}
