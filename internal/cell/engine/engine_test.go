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

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(t, 4, 1)
	w.run(time.Second)
	first, second := tasks(4, 2000, time.Second), gang(3, 3000, 2*time.Second)
	second.DependsOn = []int{0}
	id := w.submit("batch", "a", first, second)
	assert.Equal(t, "unknown", w.state(id), "not shown before it is stored")
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

func TestTakeoverAdoptsWhatRuns(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(8, 2000, 3*time.Second))
	w.run(time.Second)
	started := w.starts
	w.lead()
	w.run(4 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, started, w.starts, "nothing is started again")
}

func TestAcceptedJobOutlivesItsLeader(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(2, 2000, time.Second))
	for w.answers[id].Outcome != OK || !w.ok[id] {
		w.run(simTick)
	}
	w.lead()
	w.run(4 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// A worker that falls silent keeps its runs until their lease has lapsed; then they
// start elsewhere.
func TestSilentWorkerLosesItsRunsAfterTheLease(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 9*time.Second))
	w.run(time.Second)
	w.workers["w01"].dark = true
	w.run(4 * time.Second)
	assert.Equal(t, 3, w.starts, "the lease has not lapsed")
	w.run(20 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 4, w.starts)
}

func TestSilentWorkerAfterATakeover(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 9*time.Second))
	w.run(time.Second)
	w.workers["w01"].dark = true
	w.lead()
	w.run(35 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

// The worker answers the new leader once and then falls silent: the lease that the
// earlier leader asked for still counts.
func TestWorkerSilentRightAfterTheFirstLook(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 9*time.Second))
	w.run(time.Second)
	w.lead()
	w.run(15 * time.Millisecond)
	w.workers["w01"].dark = true
	w.run(35 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestRestartedWorkerLosesItsRuns(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(3, 6000, 3*time.Second))
	w.run(time.Second)
	w.crash("w01")
	w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
}

func TestStoreThatRefusesRefusesJobsAtOnce(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	w.storeRefuses = true
	id := w.submit("batch", "a", tasks(3, 1000, time.Second))
	w.run(200 * time.Millisecond)
	require.Equal(t, Refused, w.answers[id].Outcome)
	assert.Positive(t, w.answers[id].RetryAfter)
	second := w.submit("batch", "a", tasks(3, 1000, time.Second))
	assert.Equal(t, Refused, w.answers[second].Outcome, "refused at once while the store is away")
	w.storeRefuses = false
	w.run(time.Second)
	w.engine.Handle(w.now, &StoreAnswered{})
	w.send(w.specs[id])
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, "unknown", w.state(second))
}

func TestJobsBehindASilentStoreAreRefused(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	w.storeSilent = true
	first := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(50 * time.Millisecond)
	second := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(time.Second)
	assert.NotContains(t, w.answers, first, "its append is under way, so nothing can be said")
	assert.Equal(t, Refused, w.answers[second].Outcome)
	w.storeSilent = false
	w.run(3 * time.Second)
	assert.Equal(t, OK, w.answers[first].Outcome)
	assert.Equal(t, StateCompleted, w.state(first))
}

// The report of a worker overtakes its answer to the start.
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

// A job whose every step depends on all steps before it has more paths than can be
// counted; the engine must not walk them.
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

// A run that nobody knows takes room of a size that nobody knows: nothing is placed
// beside it until it has been stopped.
func TestUnknownRunClosesItsWorker(t *testing.T) {
	w := newWorld(t, 1, 1)
	s := w.workers["w00"]
	s.lease = w.now.Add(5 * time.Second)
	ghost := "00000000000000ff.0.0.0"
	r := &simRun{task: ghost, run: 1, begun: w.now, length: 4 * time.Second, need: job.Resources{CPU: 6000}}
	s.runs[ghost] = r
	w.tasks[ghost] = &simTask{runs: map[string]*simRun{"w00": r}}
	w.specs["00000000000000ff"] = &job.Spec{Team: "a"}
	id := w.submit("batch", "a", tasks(1, 6000, 500*time.Millisecond))
	w.run(2 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id), "after the unknown run was stopped")
	assert.Empty(t, s.runs)
}

// The last step of a quiet cell gets no advice once and must be asked about again
// without any other event.
func TestAdviceIsAskedForAgainWithoutAnEvent(t *testing.T) {
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
	w.failing = 1
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 100*time.Millisecond))
	w.run(3 * time.Second)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 3, w.starts)
}

func TestAnswerToAStartIsLost(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.run(time.Second)
	w.lateOrders = 0.3
	var ids []string
	for range 10 {
		ids = append(ids, w.submit("batch", "a", tasks(3, 1000, 500*time.Millisecond)))
		w.run(300 * time.Millisecond)
	}
	w.lateOrders = 0
	w.run(25 * time.Second)
	for _, id := range ids {
		assert.Equal(t, StateCompleted, w.state(id))
	}
}

// randomFaults plays a seeded day with every fault of the world and checks at its
// end that nothing that was accepted is lost.
func randomFaults(t *testing.T, seed uint64) *world {
	w := newWorld(t, 6, seed)
	w.failing = 0.05
	w.run(time.Second)
	queues := []string{"urgent", "gangs", "batch", "advised"}
	teams := []string{"a", "capped"}
	for range 120 {
		queue, team := queues[w.rand.IntN(4)], teams[w.rand.IntN(2)]
		length := time.Duration(100+w.rand.IntN(3000)) * time.Millisecond
		first := tasks(1+w.rand.IntN(4), int64(500+w.rand.IntN(1500)), length)
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
		w.strike()
		w.run(time.Duration(w.rand.IntN(400)) * time.Millisecond)
	}
	w.heal()
	w.run(70 * time.Second)
	for _, id := range sortedKeys(w.ok) {
		if !w.ok[id] {
			continue
		}
		state := w.state(id)
		over := state == StateCompleted || state == StateFailed || w.unwanted[id] && state == StateCanceled
		assert.True(t, over, "seed %d: job %s is %s at the end", seed, id, state)
	}
	return w
}

// strike brings about a fault, now and then.
func (w *world) strike() {
	id := w.ids[w.rand.IntN(len(w.ids))]
	switch w.rand.IntN(27) {
	case 0:
		w.lead()
	case 1:
		w.workers[id].dark = true
		w.after(time.Duration(w.rand.IntN(12000))*time.Millisecond, func() { w.workers[id].dark = false })
	case 2:
		w.crash(id)
	case 3:
		w.storeRefuses = true
		w.after(time.Duration(w.rand.IntN(3000))*time.Millisecond, func() { w.storeRefuses = false; w.engine.Handle(w.now, &StoreAnswered{}) })
	case 4:
		w.storeSilent = true
		w.after(time.Duration(w.rand.IntN(3000))*time.Millisecond, func() { w.storeSilent = false })
	case 5:
		w.lateOrders = 0.1
		w.after(3*time.Second, func() { w.lateOrders = 0 })
	case 6:
		w.workers[id].slow = 5
		w.after(3*time.Second, func() { w.workers[id].slow = 1 })
	case 8, 9:
		w.storeDelay = time.Duration(w.rand.IntN(300)) * time.Millisecond
		w.after(3*time.Second, func() { w.storeDelay = 0 })
	case 7:
		w.adviceFails = true
		w.after(time.Second, func() { w.adviceFails = false })
	}
}

func (w *world) heal() {
	w.storeRefuses, w.storeSilent, w.adviceFails, w.lateOrders = false, false, false, 0
	w.storeDelay = 0
	w.engine.Handle(w.now, &StoreAnswered{})
	for _, s := range w.workers {
		s.dark, s.slow = false, 1
	}
}

// seeds returns how many days are played: WORLD_SEEDS, or a number that suits CI.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("WORLD_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 100
}

func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= seeds(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

// An order without an answer is sent again under the same number, as the worker
// takes it once: the other members of a gang need not start anew.
func TestGangOutlivesALostOrder(t *testing.T) {
	w := newWorld(t, 8, 3)
	w.run(time.Second)
	w.loseStarts = 1
	id := w.submit("gangs", "a", gang(6, 4000, time.Second))
	w.run(1800 * time.Millisecond)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 6, w.starts)
	w.run(12 * time.Second) // the lost order is carried out late, to no effect
	assert.Equal(t, 6, w.starts)
}

// A run whose answer was lost ends before the order is sent again. Its end counts,
// and the task is not run a second time.
func TestRunEndsBeforeItsOrderIsSentAgain(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.run(time.Second)
	w.loseAnswers = 1
	id := w.submit("batch", "a", tasks(1, 1000, 100*time.Millisecond))
	w.run(3 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.starts)
}

// The report that would list the ends of an urgent job is lost. The next one comes
// soon enough for the job to be in time.
func TestReportIsLost(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.run(time.Second)
	id := w.submit("urgent", "a", tasks(2, 1000, 800*time.Millisecond))
	w.run(300 * time.Millisecond)
	w.loseLooks = 2
	w.run(1150 * time.Millisecond)
	assert.Equal(t, StateCompleted, w.state(id))
}
