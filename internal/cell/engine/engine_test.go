package engine

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

func TestJobRunsToCompletion(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	first, second := tasks(4, 2000, time.Second), gang(3, 3000, 2*time.Second)
	second.DependsOn = []int{0}
	id := w.submit("batch", "a", first, second)
	assert.Equal(t, "unknown", w.state(id), "not visible before it is stored")
	w.run(100 * time.Millisecond)
	assert.Equal(t, OK, w.answers[id].Outcome)
	assert.Equal(t, StateRunning, w.state(id))
	w.run(4 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestCancelStopsTasks(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(6, 2000, 20*time.Second))
	w.run(time.Second)
	w.cancel(id)
	w.run(time.Second)
	assert.Equal(t, StateCanceled, w.state(id))
	for _, s := range w.workers {
		assert.Empty(t, s.runs)
	}
}

func TestNewLeaderAdoptsRunningTasks(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(8, 2000, 3*time.Second))
	w.run(time.Second)
	started := w.starts
	w.startLeader()
	w.run(4 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, started, w.starts, "no task is started again")
}

func TestAcceptedJobSurvivesChangeOfLeader(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(2, 2000, time.Second))
	for w.answers[id].Outcome != OK || !w.accepted[id] {
		w.run(simTick)
	}
	w.startLeader()
	w.run(4 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// The runs of an unreachable worker are started on other workers only after their lease
// has expired.
func TestUnreachableWorkerLosesItsRunsAfterTheLease(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 9*time.Second))
	w.run(time.Second)
	w.workers["w01"].unreachable = true
	w.run(4 * time.Second)
	assert.Equal(t, 3, w.starts, "the lease has not expired")
	w.run(20 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 4, w.starts)
}

func TestUnreachableWorkerAfterChangeOfLeader(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 9*time.Second))
	w.run(time.Second)
	w.workers["w01"].unreachable = true
	w.startLeader()
	w.run(35 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// A worker answers the first renewal of a new leader and then becomes unreachable. The
// lease that the earlier leader requested still counts.
func TestWorkerUnreachableAfterFirstRenewal(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 9*time.Second))
	w.run(time.Second)
	w.startLeader()
	w.run(15 * time.Millisecond)
	w.workers["w01"].unreachable = true
	w.run(35 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestRestartedWorkerLosesItsRuns(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 3*time.Second))
	w.run(time.Second)
	w.restartWorker("w01")
	w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestJobsAreRefusedAtOnceWhileStoreRefuses(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	w.storeRefuses = true
	id := w.submit("batch", "a", tasks(3, 1000, time.Second))
	w.run(200 * time.Millisecond)
	require.Equal(t, Refused, w.answers[id].Outcome)
	assert.Positive(t, w.answers[id].RetryAfter)
	second := w.submit("batch", "a", tasks(3, 1000, time.Second))
	assert.Equal(t, Refused, w.answers[second].Outcome, "refused at once while the store refuses appends")
	w.storeRefuses = false
	w.run(time.Second)
	w.engine.Handle(w.now, &StoreRecovered{})
	w.sendSubmit(w.specs[id])
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, "unknown", w.state(second))
}

func TestJobsBehindAHangingStoreAreRefused(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	w.storeHangs = true
	first := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(50 * time.Millisecond)
	second := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(time.Second)
	assert.NotContains(t, w.answers, first, "the outcome of its append is not known yet")
	assert.Equal(t, Refused, w.answers[second].Outcome)
	w.storeHangs = false
	w.run(3 * time.Second)
	assert.Equal(t, OK, w.answers[first].Outcome)
	assert.Equal(t, StateCompleted, w.state(first))
}

// A worker's report arrives before its answer to the start command.
func TestJobSeenRunningIsNoLongerPending(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	w.answerDelay = 400 * time.Millisecond
	id := w.submit("batch", "a", tasks(2, 1000, 300*time.Millisecond))
	w.run(2 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	pending := -1
	w.engine.Handle(w.now, &Pending{Queue: "batch", Reply: func(a Answer) { pending = a.Pending }})
	assert.Zero(t, pending)
}

// If every step of a job depends on all earlier steps, the number of paths grows
// exponentially, so the engine must not enumerate them.
func TestJobWithAllDependencies(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	var steps []job.Step
	for i := range job.MaxSteps {
		s := tasks(1, 1000, 10*time.Millisecond)
		for d := range i {
			s.DependsOn = append(s.DependsOn, d)
		}
		steps = append(steps, s)
	}
	id := w.submit("batch", "a", steps...)
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// The resource use of an unknown run is unknown too, so nothing is placed on its worker
// until it has been stopped.
func TestNoTasksArePlacedBesideAnUnknownRun(t *testing.T) {
	w := newWorld(t, 1, 1)
	s := w.workers["w00"]
	s.leaseEnd = w.now.Add(5 * time.Second)
	unknownTask := "00000000000000ff.0.0.0"
	r := &simRun{task: unknownTask, run: 1, startedAt: w.now, runtime: 4 * time.Second, need: job.Resources{CPU: 6000}}
	s.runs[unknownTask] = r
	w.tasks[unknownTask] = &simTask{runs: map[string]*simRun{"w00": r}}
	w.specs["00000000000000ff"] = &job.Spec{Team: "a"}
	id := w.submit("batch", "a", tasks(1, 6000, 500*time.Millisecond))
	w.run(2 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id), "after the unknown run was stopped")
	assert.Empty(t, s.runs)
}

// A call to the adviser for the only open step fails. It must be retried although no
// other event occurs.
func TestFailedAdviserCallIsRetriedWithoutAnEvent(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.run(time.Second)
	w.adviceFails = true
	id := w.submit("advised", "a", gang(3, 3000, time.Second))
	w.run(500 * time.Millisecond)
	w.adviceFails = false
	w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestTeamStaysWithinItsLimit(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	id := w.submit("batch", "capped", tasks(12, 2000, time.Second))
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.failureRatio = 1
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 100*time.Millisecond))
	w.run(3 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 3, w.starts)
}

func TestAnswerToAStartIsLost(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.run(time.Second)
	w.lateCommandRatio = 0.3
	var ids []string
	for range 10 {
		ids = append(ids, w.submit("batch", "a", tasks(3, 1000, 500*time.Millisecond)))
		w.run(300 * time.Millisecond)
	}
	w.lateCommandRatio = 0
	w.run(25 * time.Second)
	for _, id := range ids {
		assert.Equal(t, StateCompleted, w.state(id))
	}
}

// runRandomFaults submits random jobs while injecting random faults, and checks that
// every accepted job reaches a final state.
func runRandomFaults(t *testing.T, seed uint64, f Features) *world {
	w := newWorld(t, 6, seed)
	if f != (Features{}) {
		w.features = f
		w.startLeader()
	}
	w.failureRatio = 0.05
	w.run(time.Second)
	queues := []string{"urgent", "gangs", "batch", "advised"}
	teams := []string{"a", "capped"}
	for range 120 {
		queue, team := queues[w.rand.IntN(4)], teams[w.rand.IntN(2)]
		runtime := time.Duration(100+w.rand.IntN(3000)) * time.Millisecond
		first := tasks(1+w.rand.IntN(4), int64(500+w.rand.IntN(1500)), runtime)
		first.Gang = queue == "gangs" || queue == "advised"
		steps := []job.Step{first}
		if w.rand.IntN(3) == 0 {
			next := first
			next.DependsOn = []int{0}
			steps = append(steps, next)
		}
		id := w.submit(queue, team, steps...)
		if w.rand.IntN(8) == 0 {
			w.after(time.Duration(w.rand.IntN(2000))*time.Millisecond, func() { w.cancel(id) })
		}
		w.injectFault()
		w.run(time.Duration(w.rand.IntN(400)) * time.Millisecond)
	}
	w.clearFaults()
	w.run(70 * time.Second)
	for _, id := range sortedKeys(w.accepted) {
		if !w.accepted[id] {
			continue
		}
		state := w.state(id)
		ended := state == StateCompleted || state == StateFailed || w.cancelRequested[id] && state == StateCanceled
		assert.True(t, ended, "seed %d: job %s is %s at the end", seed, id, state)
	}
	return w
}

// injectFault injects a random fault with a probability of about one third.
func (w *world) injectFault() {
	id := w.ids[w.rand.IntN(len(w.ids))]
	switch w.rand.IntN(27) {
	case 0:
		w.startLeader()
	case 1:
		w.workers[id].unreachable = true
		w.after(time.Duration(w.rand.IntN(12000))*time.Millisecond, func() { w.workers[id].unreachable = false })
	case 2:
		w.restartWorker(id)
	case 3:
		w.storeRefuses = true
		w.after(time.Duration(w.rand.IntN(3000))*time.Millisecond, func() { w.storeRefuses = false; w.engine.Handle(w.now, &StoreRecovered{}) })
	case 4:
		w.storeHangs = true
		w.after(time.Duration(w.rand.IntN(3000))*time.Millisecond, func() { w.storeHangs = false })
	case 5:
		w.lateCommandRatio = 0.1
		w.after(3*time.Second, func() { w.lateCommandRatio = 0 })
	case 6:
		w.workers[id].slowdown = 5
		w.after(3*time.Second, func() { w.workers[id].slowdown = 1 })
	case 8, 9:
		w.storeDelay = time.Duration(w.rand.IntN(300)) * time.Millisecond
		w.after(3*time.Second, func() { w.storeDelay = 0 })
	case 7:
		w.adviceFails = true
		w.after(time.Second, func() { w.adviceFails = false })
	}
}

// clearFaults ends all faults.
func (w *world) clearFaults() {
	w.storeRefuses, w.storeHangs, w.adviceFails, w.lateCommandRatio = false, false, false, 0
	w.storeDelay = 0
	w.engine.Handle(w.now, &StoreRecovered{})
	for _, s := range w.workers {
		s.unreachable, s.slowdown = false, 1
	}
}

// seedCount returns the number of seeds to run: WORLD_SEEDS, or a default for CI.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("WORLD_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 100
}

func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= seedCount(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed, Features{}) })
	}
}

// A start command with a ticket is sent again if it gets no answer, with the same run number,
// which the worker starts at most once. The other members of the gang must not be restarted.
func TestGangSurvivesALostStart(t *testing.T) {
	w := newWorld(t, 8, 3)
	w.run(time.Second)
	w.lostStarts = 1
	id := w.submit("advised", "a", gang(6, 4000, time.Second))
	w.run(2200 * time.Millisecond)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 6, w.starts)
	w.run(12 * time.Second) // the lost command is carried out late, without effect
	assert.Equal(t, 6, w.starts)
}

// The answer to a start command is lost, and the run ends before the command is sent
// again. Its end counts, and the task is not run a second time.
func TestRunEndsBeforeItsStartIsRetried(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.run(time.Second)
	w.lostStartAnswers = 1
	id := w.submit("batch", "a", tasks(1, 1000, 100*time.Millisecond))
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.starts)
}

// The report with the ended runs of an urgent job is lost. The next renewal comes early
// enough for the job to end in time.
func TestReportIsLost(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.run(time.Second)
	id := w.submit("urgent", "a", tasks(2, 1000, 800*time.Millisecond))
	w.run(300 * time.Millisecond)
	w.lostRenewals = 2
	w.run(1150 * time.Millisecond)
	assert.Equal(t, StateCompleted, w.state(id))
}

// A job's run is stored, but its start command is lost with the leader. The next leader
// counts the job as waiting until a task starts.
func TestJobWhoseStartWasLostCountsAsWaiting(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	w.lostStarts = 1
	id := w.submit("batch", "a", tasks(1, 1000, 3*time.Second))
	w.run(200 * time.Millisecond)
	require.True(t, w.accepted[id])
	assert.Equal(t, 1, w.pending("batch"))
	w.startLeader()
	w.run(100 * time.Millisecond)
	assert.Equal(t, StateQueued, w.state(id))
	assert.Equal(t, 1, w.pending("batch"))
	w.run(20 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Zero(t, w.pending("batch"))
}

// A job runs when the leader changes. The next leader learns from the worker that it does.
func TestRunningJobDoesNotCountAsWaitingAfterChangeOfLeader(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 3*time.Second))
	w.run(500 * time.Millisecond)
	assert.Zero(t, w.pending("batch"))
	w.startLeader()
	w.run(200 * time.Millisecond)
	assert.Equal(t, StateRunning, w.state(id))
	assert.Zero(t, w.pending("batch"))
}
