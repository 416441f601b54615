package engine

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
	"pollenbend/internal/cell/runtimes"
)

// newUnevenWorld returns a world of nine workers, three of each speed, with the feature
// LearnedRuntimes. Tasks take twice as long as their callers estimate.
func newUnevenWorld(t testing.TB, learned bool) *world {
	w := newWorld(t, 9, 5)
	w.features.LearnedRuntimes = learned
	for i, id := range w.ids {
		w.workers[id].slowdown = []float64{1 / 0.6, 1, 1 / 1.6}[i%3]
	}
	w.runtime = func(ref job.TaskRef, step *job.Step) time.Duration {
		return time.Duration(float64(2*step.Estimate) * math.Exp(0.2*w.loadRand.NormFloat64()))
	}
	w.startLeader()
	w.run(time.Second)
	return w
}

// submitTeaching submits jobs for the given time that keep the workers busy.
func (w *world) submitTeaching(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.run(500 * time.Millisecond) {
		w.submit("batch", "a", tasks(9, 3000, 400*time.Millisecond))
	}
}

// An urgent task that goes to a slow worker unknowingly ends late, and a new leader must
// not begin to learn the speeds again.
func TestNewLeaderStartsWithWhatWasLearned(t *testing.T) {
	w := newUnevenWorld(t, true)
	w.submitTeaching(45 * time.Second)
	before := w.engine
	check := func() {
		for _, id := range w.ids {
			assert.InEpsilon(t, w.workers[id].slowdown/w.workers[w.ids[1]].slowdown, w.engine.runtimes.Slowness(id)/w.engine.runtimes.Slowness(w.ids[1]), 0.35, "%s", id)
		}
		spec := &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{tasks(1, 3000, time.Second)}}
		assert.InDelta(t, 2, w.engine.criticalPathsOf(spec)[0].Seconds(), 0.4)
	}
	check()
	require.NotEmpty(t, w.stored[record.ModelKey])
	assert.LessOrEqual(t, len(w.stored[record.ModelKey]), runtimes.MaxEncoded)
	w.startLeader()
	require.NotSame(t, before, w.engine)
	check()
}

// A damaged record, or one of another version, must not keep an instance from leading.
func TestModelThatCannotBeDecodedIsIgnored(t *testing.T) {
	w := newUnevenWorld(t, true)
	w.stored[record.ModelKey] = []byte{0xff, 0x01}
	w.startLeader()
	assert.Empty(t, w.engine.runtimes.Queues())
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 200*time.Millisecond))
	w.run(2 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// Earlier deployments run without the feature and must be scheduled as before, also if the
// store holds a model.
func TestWithoutTheFeatureNothingIsLearned(t *testing.T) {
	ends := func(model []byte) map[string]time.Duration {
		w := newUnevenWorld(t, false)
		if model != nil {
			w.stored[record.ModelKey] = model
		}
		w.startLeader()
		w.submitTeaching(10 * time.Second)
		assert.Equal(t, model, w.stored[record.ModelKey], "not written")
		assert.Zero(t, w.engine.runtimes.Observed())
		spec := &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{tasks(1, 3000, time.Second)}}
		assert.Equal(t, w.engine.estimator.expect("batch", time.Second), w.engine.criticalPathsOf(spec)[0])
		return w.turnaround
	}
	taught := newUnevenWorld(t, true)
	taught.submitTeaching(40 * time.Second)
	require.NotEmpty(t, taught.stored[record.ModelKey])
	assert.Equal(t, ends(nil), ends(taught.stored[record.ModelKey]))
}

// The store is expensive: the model goes with appends that are sent anyway, at most every
// five seconds.
func TestModelIsStoredRarely(t *testing.T) {
	w := newUnevenWorld(t, true)
	records, last := 0, time.Time{}
	for end := w.now.Add(60 * time.Second); w.now.Before(end); w.run(100 * time.Millisecond) {
		w.submit("batch", "a", tasks(6, 1000, 100*time.Millisecond))
		if !w.engine.modelUpkeep.storedAt.Equal(last) {
			records, last = records+1, w.engine.modelUpkeep.storedAt
		}
	}
	assert.InDelta(t, 12, records, 2)
	w.run(5 * time.Second) // everything has ended
	stored := w.engine.modelUpkeep.storedAt
	w.run(time.Minute)
	assert.Equal(t, stored, w.engine.modelUpkeep.storedAt, "no append without other records")
}

// Runs that did less than the whole work, or whose start is not known, and gangs, which end
// at the pace of the slowest member, say nothing of a worker.
func TestRunsThatSayLittleAreLeftOut(t *testing.T) {
	w := newUnevenWorld(t, true)
	w.submit("batch", "a", tasks(3, 3000, 4*time.Second))
	w.run(2 * time.Second)
	w.startLeader() // the runs are restored
	w.run(15 * time.Second)
	assert.Zero(t, w.engine.runtimes.Observed(), "restored")

	id := w.submit("batch", "a", tasks(1, 3000, time.Second))
	w.run(300 * time.Millisecond)
	r := w.engine.jobs[id].occurrenceAt(0).steps[0].tasks[0].runs[0]
	r.checkpoint = "half"
	w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Zero(t, w.engine.runtimes.Observed(), "resumed from a checkpoint")

	id = w.submit("batch", "a", gang(9, 5000, time.Second))
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.engine.runtimes.Observed(), "a gang counts once")
	for _, known := range w.engine.runtimes.Workers() {
		assert.Zero(t, known.Samples, known.Worker)
	}
}

// A run that was silent for a while seems to have taken that long.
func TestRunsOnASilentWorkerAreLeftOut(t *testing.T) {
	w := newUnevenWorld(t, true)
	w.submit("batch", "a", tasks(9, 5000, time.Second))
	w.run(300 * time.Millisecond)
	w.workers["w01"].unreachable = true
	w.run(4 * time.Second)
	w.workers["w01"].unreachable = false
	w.run(4 * time.Second)
	assert.Equal(t, 8, w.engine.runtimes.Observed())
}

// Backfill beside a reservation relies on these ends, also where the estimate is far off.
func TestExpectedEndFollowsProgress(t *testing.T) {
	for _, learned := range []bool{false, true} {
		t.Run(fmt.Sprint(learned), func(t *testing.T) {
			w := newUnevenWorld(t, learned)
			w.runtime = func(job.TaskRef, *job.Step) time.Duration { return 10 * time.Second }
			id := w.submit("batch", "a", tasks(1, 3000, time.Second))
			w.run(100 * time.Millisecond)
			r := w.engine.jobs[id].occurrenceAt(0).steps[0].tasks[0].runs[0]
			end := func(p float64) time.Time { return w.engine.expectedEnd(r, p) }
			assert.InDelta(t, 1, end(0.5).Sub(w.now).Seconds(), 0.3, "by the estimate, as nothing else is known")
			assert.True(t, end(0.9).After(end(0.5)))
			w.run(4 * time.Second)
			total := time.Duration(10 * float64(time.Second) * w.workers[r.worker.id].slowdown)
			assert.InDelta(t, total.Seconds(), end(0.5).Sub(r.startSentAt).Seconds(), 0.1*total.Seconds(), "by the progress")
		})
	}
}

// An end in the past would let a gang wait for a run that is not expected to end.
func TestOverdueRunEndsLater(t *testing.T) {
	w := newUnevenWorld(t, true)
	e := w.engine
	r := &run{percent: 50, baseAt: w.now.Add(-30 * time.Second), progressAt: w.now.Add(-20 * time.Second)}
	left, known := e.remainingTime(r)
	require.True(t, known)
	require.Zero(t, left)
	early := e.leftByProgress(r, 0, 0.5)
	r.baseAt, r.progressAt = r.baseAt.Add(-20*time.Second), r.progressAt.Add(-20*time.Second)
	assert.Greater(t, e.leftByProgress(r, 0, 0.5), early)
	assert.Greater(t, early, time.Second)
	r = &run{task: &task{step: newJob(&job.Spec{Queue: "batch", Steps: []job.Step{tasks(1, 1, time.Second)}}, 0).occurrenceAt(0).steps[0]}, worker: &worker{}, startSentAt: w.now.Add(-time.Hour)}
	assert.Greater(t, e.expectedEnd(r, 0.5), w.now.Add(10*time.Minute))
}

// The calibration tells operators whether the expected run times can be trusted.
func TestLearnedRunTimesAreReported(t *testing.T) {
	w := newUnevenWorld(t, true)
	var log bytes.Buffer
	w.engine.log = slog.New(slog.NewJSONHandler(&log, nil))
	var reports []RuntimeReport
	w.engine.cfg.ReportRuntimes = func(r RuntimeReport) { reports = append(reports, r) }
	w.submitTeaching(31 * time.Second)
	require.Len(t, reports, 3)
	assert.Equal(t, 3, bytes.Count(log.Bytes(), []byte(`"msg":"learned run times"`)))
	assert.Regexp(t, `"within_p90":0\.[89]\d*,.*"samples_batch":\d+,"median_batch":[12]\.?\d*,"p90_batch":`, log.String())
	assert.Greater(t, reports[2].MostSlowness, 1.4)
	assert.Less(t, reports[2].LeastSlowness, 0.75)
	assert.Positive(t, reports[2].NewSamples)
}
