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
