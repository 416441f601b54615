package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A renewal is refused since the worker has restarted, before the directory tells it.
func TestRestartSeenByARefusedRenewalSkipsTheEndsOfTheNextIncarnation(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.submit("batch", "a", tasks(6, 1000, 100*time.Millisecond))
	w.run(time.Second)
	w.restartUnlisted("w00")
	w.run(3 * time.Second)
	w.publishDirectory()
	w.run(200 * time.Millisecond)
	id := w.submit("batch", "a", tasks(3, 1000, 100*time.Millisecond))
	w.run(2 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 9, w.starts)
}
