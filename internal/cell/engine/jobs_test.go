package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A job is canceled and then refused, as the store refuses its record. Its id is accepted
// later.
func TestExpiryOfARefusedJobDropsALaterOneOfItsID(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.storeRefuses = true
	id := w.submit("batch", "a", tasks(1, 1000, 400*time.Second))
	w.cancel(id)
	w.run(300 * time.Millisecond)
	require.Equal(t, Refused, w.answers[id].Outcome)
	w.storeRefuses = false
	w.engine.Handle(w.now, &StoreRecovered{})
	w.run(2 * time.Second)
	delete(w.canceledAt, id)
	w.sendSubmit(w.specs[id])
	w.run(time.Second)
	require.Equal(t, OK, w.answers[id].Outcome)
	w.run(simConfig().EndedJobRetention)
	assert.Equal(t, StateRunning, w.state(id))
}
