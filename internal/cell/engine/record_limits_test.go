package engine

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// testRecordBytes is a limit that the tasks of one segment reach, and those of a wide step exceed.
const testRecordBytes = record.SegmentTasks * maxTaskBytes

// limitedWorld returns a world whose store takes records of at most testRecordBytes.
func limitedWorld(t *testing.T, workers int) *world {
	w := newWorld(t, workers, 1)
	w.maxRecordBytes = testRecordBytes
	w.startLeader()
	w.run(time.Second)
	return w
}

// smallTasks returns a step of so small tasks that a worker holds 1,000.
func smallTasks(count int, runtime time.Duration) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: 8, MemMB: 1}, Estimate: runtime}
}

// Review case 8: the record of a step grew with its width, and nothing was stored any more once the
// store refused it.
func TestWideStepIsStoredWithinTheLimitOfRecords(t *testing.T) {
	const count = 2600
	w := limitedWorld(t, 4)
	id := w.submit("batch", "a", smallTasks(count, 5*time.Second))
	w.run(2 * time.Second)
	require.Equal(t, StateRunning, w.state(id))
	started := w.starts
	require.Equal(t, count, started)
	w.startLeader()
	w.run(time.Second)
	assert.Equal(t, started, w.starts, "the next leader knows all runs")
	lost := len(w.workers["w03"].runs)
	w.restartWorker("w03")
	w.run(time.Second)
	assert.Equal(t, started+lost, w.starts)
	w.startLeader()
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, started+lost, w.starts)
	for key := range w.stored {
		assert.False(t, strings.HasPrefix(key, "s/"), "the records of an ended job are removed: %s", key)
	}
}

// A change of one task writes one segment, not the whole step.
func TestOneTaskOfAWideStepIsStoredAlone(t *testing.T) {
	w := limitedWorld(t, 2)
	id := w.submit("batch", "a", smallTasks(1000, time.Minute))
	w.run(3 * time.Second)
	w.engine.markDirty(w.engine.jobs[id].occurrences[0].steps[0].tasks[700])
	w.engine.putDirtySteps()
	require.Len(t, w.engine.batch.Records, 1)
	assert.Equal(t, "s/"+id+".0.0/2", w.engine.batch.Records[0].Key)
}

// A leader of this version loads the record of a step that an earlier version has written as a whole,
// and the next one what it has stored of it.
func TestStepOfAnEarlierVersionIsLoaded(t *testing.T) {
	w := limitedWorld(t, 8)
	whole, err := os.ReadFile("testdata/step-of-600-tasks.cbor")
	require.NoError(t, err)
	step := smallTasks(600, time.Minute)
	step.Checkpoints = true
	spec := &job.Spec{ID: "00000000000000aa", Queue: "batch", Team: "a", Payload: "p", Steps: []job.Step{step}}
	w.specs[spec.ID] = spec
	w.stored[record.JobKey(spec.ID)] = record.Encode(&record.Job{Spec: spec, Accepted: w.now.UnixMilli()})
	key := record.StepKey(job.StepRef{Job: spec.ID}, 0)
	w.stored[key] = whole

	check := func(e *Engine, when string) {
		s := e.jobs[spec.ID].occurrences[0].steps[0]
		assert.Equal(t, 450, s.remaining, when)
		for i, want := range map[int]task{
			4: {done: true, lastRun: 1}, 596: {done: true, lastRun: 1}, 5: {lastRun: 2, failures: 1}, 597: {lastRun: 2, failures: 1},
			599: {lastRun: 3}, 2: {}, 598: {},
		} {
			got := s.tasks[i]
			assert.Equal(t, want.done, got.done, "%s: task %d", when, i)
			assert.GreaterOrEqual(t, got.lastRun, want.lastRun, "%s: task %d", when, i)
			assert.Equal(t, want.failures, got.failures, "%s: task %d", when, i)
		}
		assert.Equal(t, "000000000000024d", s.tasks[589].checkpoint, when)
		assert.Equal(t, record.Crashes{Caused: 1, Run: 1}, s.tasks[590].crashes, when)
		assert.Equal(t, record.Crashes{Doubtful: 1, Run: 1}, s.tasks[5].crashes, when)
	}
	w.startLeader()
	check(w.engine, "loaded")
	s := w.engine.jobs[spec.ID].occurrences[0].steps[0]
	assert.Equal(t, "w07", s.tasks[599].runs[0].worker.id)
	assert.Len(t, s.tasks[7].runs, 2, "with its speculative run")

	// A change in a later segment leaves the record of the earlier version in force for the others.
	w.engine.markDirty(s.tasks[599])
	w.engine.putDirtySteps()
	require.Len(t, w.engine.batch.Records, 1)
	w.stored[w.engine.batch.Records[0].Key] = w.engine.batch.Records[0].Value
	w.startLeader()
	check(w.engine, "with one later segment")

	// Its replacement is stored after the other segments.
	w.engine.markDirty(w.engine.jobs[spec.ID].occurrences[0].steps[0].tasks[0])
	w.engine.putDirtySteps()
	records := w.engine.batch.Records
	require.Len(t, records, 3)
	assert.Equal(t, key, records[2].Key)
	for _, r := range records {
		w.stored[r.Key] = r.Value
		w.startLeader()
		check(w.engine, "after "+r.Key)
	}
}

// Checkpoints are a worker's to choose. Those that don't fit beside the rest are left out of the record, and the
// step goes on.
func TestLongCheckpointsAreLeftOutOfTheRecord(t *testing.T) {
	w := limitedWorld(t, 4)
	id := w.submit("batch", "a", tasks(100, 80, 10*time.Second))
	w.run(time.Second)
	s := w.engine.jobs[id].occurrences[0].steps[0]
	for _, u := range s.tasks {
		u.noteCheckpoint(strings.Repeat("c", 1000))
	}
	w.run(time.Second)
	other := w.submit("batch", "a", tasks(1, 8, time.Second))
	w.run(20 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, StateCompleted, w.state(other))
}

// What certainly can't be stored is refused when it is submitted, with the size and the limit.
func TestJobOverTheLimitOfRecordsIsRefused(t *testing.T) {
	w := limitedWorld(t, 4)
	for name, steps := range map[string][]job.Step{
		"text":        {{Count: 1, Need: job.Resources{CPU: 8}, Image: strings.Repeat("i", testRecordBytes)}},
		"speculative": {{Count: job.MaxTasks, Need: job.Resources{CPU: 8}, Speculative: true}},
	} {
		id := w.submit("batch", "a", steps...)
		w.run(100 * time.Millisecond)
		require.Equal(t, Refused, w.answers[id].Outcome, name)
		assert.Contains(t, w.answers[id].Why, "at most 24576 can be stored", name)
		assert.Zero(t, w.answers[id].RetryAfter, name)
	}
}

// A record that the store rejects within the known limit concerns its job alone: it is refused, or
// fails without a start that isn't stored.
func TestRejectedRecordConcernsItsJobAlone(t *testing.T) {
	for prefix, state := range map[string]string{"j/": "unknown", "s/": StateFailed} {
		w := newWorld(t, 4, 1)
		w.run(time.Second)
		rejections := 0
		rejected := ""
		w.rejectRecord = func(key string) bool {
			rejects := strings.HasPrefix(key, prefix+rejected) && rejections == 0
			if rejects {
				rejections++
			}
			return rejects
		}
		rejected = w.submit("batch", "a", tasks(3, 8, time.Second))
		other := w.submit("batch", "a", tasks(3, 8, time.Second))
		w.run(4 * time.Second)
		assert.Equal(t, 1, rejections, prefix)
		assert.Equal(t, StateCompleted, w.state(other), prefix)
		assert.Equal(t, state, w.state(rejected), prefix)
		assert.Equal(t, 3, w.starts, "%s: no run whose plan is not stored starts", prefix)
	}
}

// The end of a job whose record doesn't fit with its spec is stored without it.
func TestEndOfAJobIsStoredWithoutASpecThatDoesNotFit(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 8, time.Minute))
	w.run(time.Second)
	ended := false
	w.rejectRecord = func(key string) bool {
		rejects := key == "j/"+id && !ended
		ended = ended || rejects
		return rejects
	}
	w.cancel(id)
	w.run(3 * time.Second)
	require.True(t, ended)
	assert.Contains(t, w.canceledAt, id)
	w.startLeader()
	w.run(time.Second)
	assert.Equal(t, StateCanceled, w.state(id))
}

// Guards against issue 57: jobs with long texts, each inside the limits, filled the memory of the leader.
func TestLargeJobsAreBoundedTogether(t *testing.T) {
	w := newWorld(t, 4, 1)
	limit := func() { w.engine.cfg.MaxLargeJobBytes = 4 * largeJobBytes }
	limit()
	large := job.Step{Count: 1, Need: job.Resources{CPU: 100}, Estimate: time.Minute, Image: strings.Repeat("i", largeJobBytes)}
	refused := func(steps ...job.Step) bool {
		id := w.submit("batch", "a", steps...)
		w.run(100 * time.Millisecond)
		if w.refused[id] {
			assert.Equal(t, noMemoryReason, w.answers[id].Why)
			assert.Positive(t, w.answers[id].RetryAfter)
		}
		return w.refused[id]
	}
	for range 3 {
		require.False(t, refused(large))
	}
	assert.True(t, refused(large))
	assert.False(t, refused(tasks(1, 100, time.Second)), "others are accepted")
	w.startLeader()
	limit()
	w.run(time.Second)
	assert.True(t, refused(large), "the next leader has the same jobs")
	w.run(time.Minute + w.engine.cfg.EndedJobRetention + time.Minute)
	assert.Zero(t, w.engine.largeJobBytes)
	assert.False(t, refused(large))
}
