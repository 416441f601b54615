package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCutThatRefusesConnectionsEndsRunsThatGoOn(t *testing.T) {
	w := newWorld(t, 3, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(6, 3000, 3*time.Second))
	w.run(time.Second)
	for _, worker := range w.ids {
		n.cut(worker, 1500*time.Millisecond)
	}
	w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 6, w.starts)
}

// Two workers are cut off right after starts, and one of them restarts behind the cut before the other
// answers again. Its task looks as if it had crashed it until then.
func TestRestartBehindACutOfTwoWorkersBlamesNoTask(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, 4, seed)
		n := w.useNetwork(seed)
		n.restartsKeepID = true
		w.run(time.Second)
		id := w.submit("batch", "a", tasks(4, 5000, 10*time.Second)) // one on each worker
		w.run(110 * time.Millisecond)
		n.cut("w00", 300*time.Millisecond)
		n.cut("w01", 700*time.Millisecond)
		w.run(100 * time.Millisecond)
		n.restart("w00", 0, 100*time.Millisecond)
		for end := w.now.Add(time.Second); w.now.Before(end); w.run(simTick) {
			for _, task := range w.engine.jobs[id].occurrenceAt(0).steps[0].tasks {
				if task.crashes.Caused > 0 {
					t.Fatalf("seed %d: %v: %s is blamed", seed, w.now.Sub(w.startTime), task.name)
				}
			}
		}
		w.run(20 * time.Second)
		assert.Equal(t, StateCompleted, w.state(id), "seed %d", seed)
	}
}
