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

// messagesOf returns the messages logged about a job, in order.
func messagesOf(t *testing.T, log *bytes.Buffer, id string) []string {
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

// Every decision about a job is logged with the job's id.
func TestDecisionsAreLogged(t *testing.T) {
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
	assert.Equal(t, []string{"job accepted", "task started", "run ended", "job ended"}, messagesOf(t, &log, done))
	assert.Equal(t, []string{"job accepted", "task started", "job canceled", "job ended", "cancellation answered", "run ended"}, messagesOf(t, &log, canceled))
	assert.Contains(t, messagesOf(t, &log, waits), "step waits")
	assert.Equal(t, []string{"job refused", "run dropped"}, messagesOf(t, &log, refused))
}

// A verdict on a job that is not there leaves a line as well, as another instance may have known it.
func TestAnswersAboutUnknownJobsAreLogged(t *testing.T) {
	w := newWorld(t, 2, 1)
	var log bytes.Buffer
	w.engine.log = slog.New(slog.NewJSONHandler(&log, nil))
	id := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(time.Second)
	for _, known := range []string{"unknown", "of another team"} {
		log.Reset()
		team, asked := "capped", id
		if known == "unknown" {
			team, asked = "a", "00000000000000ff"
		}
		w.engine.Handle(w.now, &Cancel{ID: asked, Caller: Caller{Team: team}, Reply: func(Answer) {}})
		w.engine.Handle(w.now, &Status{ID: asked, Caller: Caller{Team: team}, Reply: func(Answer) {}})
		w.run(time.Second)
		assert.Subset(t, messagesOf(t, &log, asked), []string{"cancellation answered", "job not found"})
		assert.Contains(t, log.String(), `"outcome":"not found","term":1,"known":"`+known+`","declarations":1`)
	}
}

// The line of a refused start tells whether an earlier command for the run got no answer.
func TestRefusedStartIsLoggedWithItsUnansweredCommands(t *testing.T) {
	w := newWorld(t, 3, 3)
	var log bytes.Buffer
	w.engine.log = slog.New(slog.NewJSONHandler(&log, nil))
	w.run(time.Second)
	w.lostStarts = 1
	w.refuseStart = func(*Start, int) CommandOutcome { return Unhealthy }
	w.submit("advised", "a", tasks(1, 1000, time.Second))
	w.run(800 * time.Millisecond)
	assert.Regexp(t, `"run":1,"worker":"w0.","reason":"unknown","orders":1,"unanswered":0`, log.String())
	assert.Regexp(t, `"run":1,"worker":"w0.","reason":"unhealthy","orders":2,"unanswered":1`, log.String())
}
