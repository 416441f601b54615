package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A worker on which everything stands still while it reports itself as sound.
func TestStalledRunStartsElsewhere(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 2*time.Second))
	w.run(time.Second)
	w.workers["w01"].slow = 1e6
	w.run(9 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestSlowRunGetsASecondCopy(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	step := tasks(3, 6000, 3*time.Second)
	step.Speculative = true
	w.workers["w01"].slow = 6
	id := w.submit("batch", "a", step)
	w.run(9 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id), "the copy ends long before the slow run")
	assert.Equal(t, 4, w.starts)
}

func TestDrainingWorkerIsEmptiedInTime(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	step := tasks(3, 6000, 8*time.Second)
	step.Checkpoints = true
	id := w.submit("batch", "a", step)
	w.run(3 * time.Second)
	w.workers["w01"].draining = true
	w.list()
	w.run(1500 * time.Millisecond)
	assert.Empty(t, w.workers["w01"].runs, "stopped with its progress before the worker leaves")
	w.run(15 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}
