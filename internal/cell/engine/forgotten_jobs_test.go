package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A run of a job that was forgotten may end after the id was used again. It must not overwrite the records of the new job.
func TestEndOfAForgottenJobKeepsTheRecordsOfTheNextOne(t *testing.T) {
	w := newWorld(t, 2, 1)
	n := w.useNetwork(1)
	n.planted.noStops = true // a run that the worker can't end
	w.run(time.Second)
	spec := specOf("00000000000000a1")
	spec.Steps[0].LongRunning = true
	w.specs[spec.ID] = spec
	w.sendSubmit(spec)
	w.run(time.Second)
	w.cancel(spec.ID)
	w.run(simConfig().EndedJobRetention + time.Second)
	require.Equal(t, "unknown", w.state(spec.ID))

	n.planted.noStops = false
	delete(w.canceledAt, spec.ID)
	clear(w.tasks)
	w.sendSubmit(spec)
	w.run(time.Second)
	require.Equal(t, OK, w.answers[spec.ID].Outcome)
	for _, s := range w.workers {
		for _, r := range s.runs {
			r.stopped = true
		}
	}
	w.run(5 * time.Second)
	w.startLeader()
	assert.NotEqual(t, StateCanceled, w.state(spec.ID), "the next job of the id was not canceled")
	assert.NotEqual(t, "unknown", w.state(spec.ID))
}
