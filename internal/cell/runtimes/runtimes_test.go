package runtimes

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet simulates runs on workers whose speeds nothing reports.
type fleet struct {
	Model
	rand     *rand.Rand
	slowness []float64
	step     int
	runs     int
	within   map[bool]int // predictions by the 0.9 quantile, by whether they held
}

func newFleet(workers int, seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), within: make(map[bool]int)}
	for i := range workers {
		f.slowness = append(f.slowness, []float64{1 / 0.6, 1, 1 / 1.6}[i%3])
	}
	return f
}

func workerID(i int) string { return fmt.Sprintf("w%03d", i) }

// spread returns a random factor whose logarithm has the given standard deviation.
func (f *fleet) spread(sd float64) float64 { return math.Exp(sd * f.rand.NormFloat64()) }

// runStep runs a step whose tasks start at the same time on random workers, and observes
// them in the order in which they end.
func (f *fleet) runStep(queue string, tasks int, taskSpread, estimateError float64) {
	f.step++
	type ended struct {
		worker string
		took   time.Duration
		Prediction
	}
	length := float64(2*time.Second) * f.spread(0.5)
	task := Task{Queue: queue, Team: "a", Step: fmt.Sprint(queue, f.step), CPU: 4000, Estimate: time.Duration(length * (1 + estimateError*(2*f.rand.Float64()-1)))}
	var ends []ended
	for _, i := range f.rand.Perm(len(f.slowness))[:tasks] {
		took := length * f.spread(taskSpread) * f.slowness[i]
		if f.rand.Float64() < 0.03 {
			took *= 7
		}
		ends = append(ends, ended{workerID(i), time.Duration(took), f.Expect(task, workerID(i)).Prediction()})
	}
	slices.SortFunc(ends, func(a, b ended) int { return cmp.Compare(a.took, b.took) })
	for _, end := range ends {
		f.within[end.took <= end.p90]++
		f.ObservePredicted(task, end.worker, end.took, end.Prediction)
		if f.runs++; f.runs%(2*len(f.slowness)) == 0 {
			f.Advance(time.Second) // the fleet ends two runs per worker and second
		}
	}
}

// errors returns the root mean square of the errors of the logarithms of the slowness, and
// the part of the workers that are closer to another class of speed than to their own.
func (f *fleet) errors() (rms, misclassified float64) {
	n := float64(len(f.slowness))
	for i, truth := range f.slowness {
		found := f.Slowness(workerID(i))
		rms += math.Pow(math.Log(found/truth), 2) / n
		for _, other := range f.slowness[:3] {
			if math.Abs(math.Log(found/other)) < math.Abs(math.Log(found/truth)) {
				misclassified += 1 / n
			}
		}
	}
	return math.Sqrt(rms), misclassified
}

// Without the speeds, an urgent task goes to a slow worker as often as to a fast one.
func TestSpeedsOfWorkersAreFoundAfterTenRuns(t *testing.T) {
	for _, c := range []struct {
		spread          float64
		tasks           int
		maxRMS, maxFail float64
	}{{0.15, 3, 0.12, 0.05}, {0.15, 25, 0.16, 0.08}, {0.3, 3, 0.17, 0.12}, {0.3, 25, 0.18, 0.14}} {
		for seed := range uint64(3) {
			f := newFleet(351, seed)
			for f.runs < 10*len(f.slowness) {
				f.runStep("q", c.tasks, c.spread, 0.9)
			}
			rms, misclassified := f.errors()
			t.Logf("spread %.2f, %d tasks: error %.3f, %.3f in the wrong class", c.spread, c.tasks, rms, misclassified)
			assert.Less(t, rms, c.maxRMS)
			assert.Less(t, misclassified, c.maxFail)
		}
	}
}

// An expectation that is too narrow makes backfill delay gangs, one that is too wide
// leaves workers idle.
func TestQuantilesAreCalibrated(t *testing.T) {
	for _, c := range []struct {
		tasks         int
		spread, error float64
	}{{3, 0.15, 0.2}, {3, 0.3, 0.9}, {25, 0.3, 0.9}} {
		f := newFleet(351, 7)
		for f.runs < 5000 {
			f.runStep("q", c.tasks, c.spread, c.error)
		}
		clear(f.within)
		for f.runs < 25_000 {
			f.runStep("q", c.tasks, c.spread, c.error)
		}
		share := float64(f.within[true]) / float64(f.within[true]+f.within[false])
		t.Logf("%+v: %.3f ended within the 0.9 quantile, reported %.3f", c, share, f.Calibration())
		assert.InDelta(t, 0.9, share, 0.05)
		assert.InDelta(t, 0.9, f.Calibration(), 0.05)
		assert.Equal(t, f.runs, f.Queues()[0].Samples)
	}
}

// A worker that becomes slow, for example for its neighbors on the host, must not keep
// the work that needs a fast one, and one that is fast again must get it.
func TestWorkerThatChangesIsFollowedWithinTenRuns(t *testing.T) {
	for i, factor := range map[int]float64{2: 3, 0: 0.375} {
		off := 0.0
		for seed := range uint64(10) {
			f := newFleet(60, seed)
			for f.runs < 30*len(f.slowness) {
				f.runStep("q", 6, 0.3, 0.9)
			}
			f.slowness[i] *= factor
			runs := func() int { return f.workers.get(workerID(i)).runs }
			for before := runs(); runs() < before+10; {
				f.runStep("q", 6, 0.3, 0.9)
			}
			off += math.Abs(math.Log(f.Slowness(workerID(i))/f.slowness[i])) / 10
		}
		t.Logf("change by %.2f: error %.2f", factor, off)
		assert.Less(t, off, 0.4, "of %.2f before", math.Abs(math.Log(factor)))
	}
}

// A worker without runs must not seem to become fast while the others are observed, as it
// would then get the urgent work.
func TestSpeedOfAnIdleWorkerDoesNotDrift(t *testing.T) {
	f := newFleet(100, 1)
	for f.runs < 5000 {
		f.runStep("q", 2, 0.3, 0.9)
	}
	before := f.Slowness(workerID(99))
	f.slowness = f.slowness[:99]
	for f.runs < 50_000 {
		f.runStep("q", 2, 0.3, 0.9)
	}
	assert.InEpsilon(t, before, f.Slowness(workerID(99)), 0.1)
}

// One run of the tail says little about its worker, and no number of them is unbounded.
func TestOneLongRunMovesAWorkerLittle(t *testing.T) {
	var m Model
	task := Task{Queue: "q", Step: "s", Estimate: time.Second}
	m.Observe(task, "w", time.Second)
	m.Observe(task, "new", 7*time.Second)
	assert.Less(t, m.Slowness("new"), 1.6)
	for range 1000 {
		m.Observe(task, "new", time.Hour)
	}
	assert.LessOrEqual(t, m.Slowness("new"), float64(maxSlowness))
}

// Callers' estimates are used until there are samples, and the first few change little.
func TestEstimateHoldsAtFirst(t *testing.T) {
	var m Model
	task := Task{Queue: "q", Estimate: time.Second}
	assert.InDelta(t, 1, m.Expect(task, "w").Median().Seconds(), 0.01)
	assert.InDelta(t, 1, m.Expect(task, "w").Mean().Seconds(), 0.01)
	assert.Zero(t, m.Expect(task, "w").Samples())
	assert.Equal(t, 1.0, m.Slowness("w"))
	m.Observe(task, "w", 5*time.Second)
	assert.Less(t, m.Expect(task, "").Median().Seconds(), 1.2)
	assert.Equal(t, 1, m.Expect(task, "").Samples())
	assert.Zero(t, Expectation{}.Median())
}

// observeAll observes a run on each of many workers with the ratio of run time to estimate.
func observeAll(m *Model, task Task, runs int, ratio func(i int) float64) {
	for i := range runs {
		m.Observe(task, workerID(i%50), time.Duration(ratio(i)*float64(task.Estimate)))
		if i%100 == 0 {
			m.Advance(time.Second)
		}
	}
}

// The remaining time of a task in the tail must not shrink to nothing while it works on.
func TestRemainingTimeGrowsInTheTail(t *testing.T) {
	var m Model
	task := Task{Queue: "q", Estimate: time.Second}
	observeAll(&m, task, 2000, func(i int) float64 {
		if i%33 == 0 {
			return 7
		}
		return 0.8 + 0.4*float64(i%10)/9
	})
	x := m.Expect(task, "")
	assert.InDelta(t, 0.5, x.Remaining(500*time.Millisecond, 0.5).Seconds(), 0.15)
	assert.InDelta(t, 4, x.Remaining(3*time.Second, 0.5).Seconds(), 0.8, "it is one of those that take seven times as long")
	last := time.Duration(0)
	for _, worked := range []time.Duration{10 * time.Second, 20 * time.Second, time.Minute, time.Hour} {
		left := x.Remaining(worked, 0.5)
		assert.Greater(t, left, max(last, worked/4), "after %v", worked)
		assert.Greater(t, x.Remaining(worked, 0.9), left)
		last = left
	}
	for _, worked := range []time.Duration{0, time.Second / 2, time.Second, 2 * time.Second, 8 * time.Second} {
		before := time.Duration(0)
		for p := 0.05; p < 1; p += 0.05 {
			left := x.Remaining(worked, p)
			assert.GreaterOrEqual(t, left, before, "after %v, %.2f", worked, p)
			before = left
		}
	}
}

// Ended tasks of the same step tell more than the caller's estimate.
func TestStepMatesCountMost(t *testing.T) {
	var m Model
	rnd := rand.New(rand.NewPCG(1, 1))
	observeAll(&m, Task{Queue: "q", Estimate: time.Second}, 1000, func(int) float64 { return math.Exp(0.6 * rnd.NormFloat64()) })
	task := Task{Queue: "q", Step: "s", Estimate: time.Second}
	for i := range 4 {
		m.Observe(task, workerID(i), 3*time.Second)
	}
	assert.InDelta(t, 3, m.Expect(task, "").Median().Seconds(), 0.5)
	assert.InDelta(t, 1, m.Expect(Task{Queue: "q", Step: "other", Estimate: time.Second}, "").Median().Seconds(), 0.3)
}

// A team whose estimates are always half of the run time gets its own distribution.
func TestNarrowGroupsAreUsedIfTheyPredictBetter(t *testing.T) {
	var m Model
	for i := range 1000 {
		m.Observe(Task{Queue: "q", Team: "a", Estimate: time.Second}, workerID(i%50), time.Second)
		m.Observe(Task{Queue: "q", Team: "b", Estimate: time.Second}, workerID(i%50), 2*time.Second)
	}
	assert.InDelta(t, 1, m.Expect(Task{Queue: "q", Team: "a", Estimate: time.Second}, "").Median().Seconds(), 0.15)
	assert.InDelta(t, 2, m.Expect(Task{Queue: "q", Team: "b", Estimate: time.Second}, "").Median().Seconds(), 0.3)
}

// A gang ends at the pace of its slowest member, which must neither count for the workers
// nor make the tasks of the queue seem long.
func TestGangCountsForItsQueueOnly(t *testing.T) {
	var m Model
	observeAll(&m, Task{Queue: "q", Step: "s", Estimate: time.Second}, 600, func(i int) float64 { return float64(1 + 2*(i%50/49)) })
	slow := m.Slowness(workerID(49))
	require.Greater(t, slow, 2.0)
	for range 300 {
		m.ObserveGang(Task{Queue: "gangs", Estimate: time.Second}, workerID(49), time.Duration(slow*float64(time.Second)), Prediction{})
	}
	assert.Equal(t, slow, m.Slowness(workerID(49)))
	assert.InDelta(t, 1, m.Expect(Task{Queue: "gangs", Estimate: time.Second}, "").Median().Seconds(), 0.1)
}

// Run times drift: a new version of a caller's program is slower than the last one. After
// hours without runs the old ones are not forgotten, but new ones soon outweigh them.
func TestModelFollowsDrift(t *testing.T) {
	for idle, runs := range map[time.Duration]int{0: 6000, 10 * time.Hour: 200} {
		var m Model
		task := Task{Queue: "q", Estimate: time.Second}
		observeAll(&m, task, 5000, func(int) float64 { return 1 })
		for range 100 {
			m.Advance(idle / 100)
		}
		assert.Greater(t, m.Expect(task, "").Samples(), 10)
		observeAll(&m, task, runs, func(int) float64 { return 2 })
		assert.InDelta(t, 2, m.Expect(task, "").Median().Seconds(), 0.25, "%d runs", runs)
	}
}

// Names come from callers, so their number must not decide how much memory is used.
func TestMemoryIsBounded(t *testing.T) {
	var m Model
	for i := range 10_000 {
		m.Observe(Task{Queue: "q", Team: fmt.Sprint("t", i), Image: fmt.Sprint("i", i), Step: fmt.Sprint("s", i), Estimate: time.Second}, fmt.Sprint("w", i), time.Second)
		m.Observe(Task{Queue: "q", Step: "wide", Estimate: time.Second}, fmt.Sprint("w", i), time.Second)
	}
	assert.Len(t, m.workers.entries, MaxWorkers)
	assert.Len(t, m.groups.entries, MaxGroups)
	assert.Len(t, m.steps.entries, maxSteps)
	assert.LessOrEqual(t, len(m.steps.get("wide").mates), maxMates)
	assert.NotNil(t, m.groups.get(groupKey{queue: "q"}), "it is used all the time")
	assert.Nil(t, m.workers.get("w0"))
	assert.LessOrEqual(t, len(m.Encode()), MaxEncoded)
}

// A new leader expects what the one before it has learned.
func TestEncodedModelExpectsTheSame(t *testing.T) {
	f := newFleet(351, 3)
	for f.runs < 10_000 {
		f.runStep("urgent", 3, 0.2, 0.2)
		f.runStep("batch", 25, 0.3, 0.9)
	}
	data := f.Encode()
	t.Logf("%d bytes", len(data))
	require.LessOrEqual(t, len(data), MaxEncoded)
	var m Model
	require.NoError(t, m.Decode(data))
	for i := range f.slowness {
		assert.InDelta(t, f.Slowness(workerID(i)), m.Slowness(workerID(i)), 0.01)
	}
	for _, queue := range []string{"urgent", "batch"} {
		task := Task{Queue: queue, Team: "a", CPU: 4000, Estimate: time.Second}
		before, after := f.Expect(task, ""), m.Expect(task, "")
		for _, p := range []float64{0.1, 0.5, 0.9} {
			assert.InEpsilon(t, before.Quantile(p).Seconds(), after.Quantile(p).Seconds(), 0.03, "%s %.1f", queue, p)
		}
		assert.InDelta(t, before.Samples(), after.Samples(), 1)
	}
	assert.InDelta(t, f.Calibration(), m.Calibration(), 0.01)
	assert.Equal(t, data, f.Encode(), "the encoding does not depend on the order of a map")
}

// A record of another version, or a damaged one, must not stop a new leader.
func TestInvalidEncodingLeavesTheModelEmpty(t *testing.T) {
	f := newFleet(12, 3)
	f.runStep("q", 6, 0.2, 0.2)
	data := f.Encode()
	for range 3000 {
		damaged := slices.Clone(data[:1+f.rand.IntN(len(data))])
		damaged[f.rand.IntN(len(damaged))] = byte(f.rand.Uint32())
		var m Model
		if m.Decode(damaged) != nil {
			assert.Zero(t, m)
		}
		assert.Positive(t, m.Slowness(workerID(1)))
		assert.Positive(t, m.Expect(Task{Queue: "q", Team: "a", CPU: 4000, Estimate: time.Second}, workerID(1)).Remaining(time.Second, 0.9))
	}
	assert.Error(t, new(Model).Decode(marshal(&encodedModel{Version: encodedVersion + 1})))
}

func BenchmarkModel(b *testing.B) {
	f := newFleet(351, 1)
	for f.runs < 20_000 {
		f.runStep("q", 25, 0.3, 0.9)
	}
	var ids, steps []string
	for i := range 2000 {
		ids, steps = append(ids, workerID(i%351)), append(steps, fmt.Sprint("step", i))
	}
	task := func(i int) Task {
		return Task{Queue: "q", Team: "a", Image: "i", Step: steps[i/25%2000], CPU: 4000, Estimate: time.Second}
	}
	for name, call := range map[string]func(i int){
		"Observe":            func(i int) { f.Observe(task(i), ids[i%2000], time.Duration(500+i*7919%1000)*time.Millisecond) },
		"Expect":             func(i int) { f.Expect(task(i), ids[i%2000]) },
		"ExpectAndQuantile":  func(i int) { f.Expect(task(i), ids[i%2000]).Quantile(0.9) },
		"ExpectAndRemaining": func(i int) { f.Expect(task(i), ids[i%2000]).Remaining(time.Second, 0.9) },
		"Slowness":           func(i int) { f.Slowness(ids[i%2000]) },
		"Encode":             func(int) { f.Encode() },
		"Advance":            func(int) { f.Advance(time.Second) },
	} {
		b.Run(name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				call(i)
			}
		})
	}
}
