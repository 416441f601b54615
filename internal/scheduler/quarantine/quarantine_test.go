package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

func newFleet(workers int) *fleet.Fleet {
	f := fleet.New()
	for i := range workers {
		f.Upsert(model.Worker{ID: workerID(i), Capacity: model.Resources{MilliCPU: 1000}})
	}
	return f
}

func workerID(i int) model.WorkerID { return model.WorkerID(fmt.Sprint("w", i)) }

func quarantinedWorkers(f *fleet.Fleet) map[model.WorkerID]bool {
	out := map[model.WorkerID]bool{}
	for _, n := range f.Nodes() {
		if n.Reasons()&fleet.ReasonQuarantined != 0 {
			out[n.Worker.ID] = true
		}
	}
	return out
}

// observeRandomOutcomes reports random outcomes to a new Tracker: broken workers fail every
// task, job 0 fails on every worker, and other jobs fail one time in twenty.
func observeRandomOutcomes(f *fleet.Fleet, broken map[model.WorkerID]bool, outcomes int) *Tracker {
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, seed))
	tr := New(f)
	for i := range outcomes {
		nodes := f.Nodes()
		n := nodes[rng.IntN(len(nodes))]
		if !n.Schedulable() {
			continue
		}
		job := rng.IntN(20)
		failed := broken[n.Worker.ID] || job == 0 || rng.IntN(20) == 0
		tr.Observe(time.Duration(i)*time.Millisecond, n.Worker.ID, &model.Task{Job: model.JobID(fmt.Sprint(job))}, failed)
	}
	return tr
}

func TestQuarantineFindsWorkersThatFailEverything(t *testing.T) {
	f := newFleet(200)
	broken := map[model.WorkerID]bool{"w3": true, "w77": true, "w120": true, "w199": true}
	observeRandomOutcomes(f, broken, 10_000)
	require.Equal(t, broken, quarantinedWorkers(f))
}

func TestQuarantineIgnoresJobsThatFailEverywhere(t *testing.T) {
	f := newFleet(100)
	tr := New(f)
	for i := range 5000 {
		tr.Observe(0, workerID(i%100), &model.Task{Job: "broken"}, true)
	}
	require.Zero(t, tr.Quarantined())
	tr.Observe(0, "w1", &model.Task{Job: "also broken"}, true)
	require.Zero(t, tr.Quarantined())
}

func TestQuarantineIsBounded(t *testing.T) {
	f := newFleet(100)
	broken := map[model.WorkerID]bool{}
	for i := range 30 {
		broken[workerID(i)] = true
	}
	tr := observeRandomOutcomes(f, broken, 20_000)
	require.Equal(t, 5, tr.Quarantined())
}

func TestQuarantineProbation(t *testing.T) {
	f := newFleet(40)
	tr := New(f)
	good := &model.Task{Job: "good"}
	for i := 1; i < 10; i++ {
		tr.Observe(0, workerID(i), good, false)
	}
	failUntilQuarantined := func(now time.Duration) {
		for i := 0; i < 10 && !tr.Observe(now, "w0", good, true); i++ {
		}
		require.NotZero(t, f.Node("w0").Reasons()&fleet.ReasonQuarantined)
	}
	failUntilQuarantined(0)
	tr.Tick(firstDuration - 1)
	require.False(t, f.Node("w0").Schedulable())
	tr.Tick(firstDuration)
	require.Equal(t, fleet.ReasonProbation, f.Node("w0").Reasons())
	failUntilQuarantined(firstDuration)
	tr.Tick(2 * firstDuration)
	require.False(t, f.Node("w0").Schedulable(), "the second quarantine lasts twice as long")
	tr.Tick(3 * firstDuration)
	for range probationSuccesses {
		tr.Observe(3*firstDuration, "w0", good, false)
	}
	require.Zero(t, f.Node("w0").Reasons())
}
