package engine

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// linesOf returns the messages logged about a job, in their order.
func linesOf(t *testing.T, log *bytes.Buffer, id string) []string {
	var found []string
	for _, line := range bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n")) {
		var l struct{ Msg, Job string }
		require.NoError(t, json.Unmarshal(line, &l))
		if l.Job == id {
			found = append(found, l.Msg)
		}
	}
	return found
}

// Every decision that touches a job leaves a line with its id.
func TestDecisionsLeaveTheirLines(t *testing.T) {
	w := newWorld(t, 2, 1)
	var log bytes.Buffer
	w.engine.log = slog.New(slog.NewJSONHandler(&log, nil))
	w.run(time.Second)
	done := w.submit("batch", "a", tasks(1, 1000, 200*time.Millisecond))
	canceled := w.submit("batch", "a", tasks(1, 1000, 5*time.Second))
	waits := w.submit("batch", "a", gang(3, 8000, time.Second))
	w.run(time.Second)
	w.cancel(canceled)
	w.run(5 * time.Second)
	w.storeRefuses = true
	refused := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(100 * time.Millisecond)
	assert.Equal(t, []string{"job accepted", "task started", "run ended", "job ended"}, linesOf(t, &log, done))
	assert.Equal(t, []string{"job accepted", "task started", "job canceled", "job ended", "run ended"}, linesOf(t, &log, canceled))
	assert.Contains(t, linesOf(t, &log, waits), "step waits")
	assert.Equal(t, []string{"job refused", "run dropped"}, linesOf(t, &log, refused))
}
