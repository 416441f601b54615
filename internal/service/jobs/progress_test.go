package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// tickAt runs a step with one tick and returns the done tasks in the records that it
// appends, and the id of the append.
func tickAt(t *testing.T, s *Service, now time.Duration) (done []int, id uint64) {
	t.Helper()
	s.env.Begin(now)
	s.OnTick()
	for _, a := range s.env.EndStep() {
		appended, ok := a.(event.Append)
		require.True(t, ok, "%T", a)
		for _, r := range appended.Records {
			done = append(done, r.(wire.JobProgress).Done...)
		}
		id = appended.ID
	}
	return done, id
}

// Ends of tasks are appended again if an earlier append of them failed or had no result in
// time, also if no other task has ended since.
func TestEndsOfFailedAppendsAreWrittenAgain(t *testing.T) {
	s, _ := newTestService()
	end := func(index int) {
		s.TaskEnded(model.Task{Team: "t", Job: "one", Index: index}, model.Answer{Verdict: verdict.Done, Code: verdict.CodeOK})
	}
	end(0)
	done, _ := tickAt(t, s, flushInterval)
	assert.Equal(t, []int{0}, done)
	end(1)
	done, _ = tickAt(t, s, 2*flushInterval)
	assert.Empty(t, done, "one append at a time")
	now := 2*flushInterval + flushTimeout
	done, id := tickAt(t, s, now)
	assert.ElementsMatch(t, []int{0, 1}, done, "the first append has no result")

	now += flushInterval + flushTimeout
	done, id2 := tickAt(t, s, now)
	assert.ElementsMatch(t, []int{0, 1}, done, "nothing else has ended")
	assert.NotEqual(t, id, id2)
	s.OnAppendDone(event.AppendDone{ID: id, Verdict: verdict.NotRun})
	s.OnAppendDone(event.AppendDone{ID: id2, Verdict: verdict.NotRun})
	now += flushInterval
	done, id = tickAt(t, s, now)
	assert.ElementsMatch(t, []int{0, 1}, done, "the last append failed")
	s.OnAppendDone(event.AppendDone{ID: id, Verdict: verdict.Done})
	done, _ = tickAt(t, s, now+flushInterval+flushTimeout)
	assert.Empty(t, done)
}
