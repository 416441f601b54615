package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTaskThatCrashesItsWorkersIsStartedWithoutEnd(t *testing.T) {
	w := newWorld(t, 6, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	id := n.submitDeadly("batch", "a", crashDelay)
	w.run(time.Minute)
	assert.Equal(t, StateFailed, w.state(id))
	assert.Equal(t, 2, n.crashesUnder(id))
}

// Each leader sees one crash.
func TestNextLeaderForgetsTheWorkersThatATaskCrashed(t *testing.T) {
	w := newWorld(t, 6, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	id := n.submitDeadly("batch", "a", crashDelay)
	for range 10 {
		w.run(5 * time.Second)
		n.w.startLeader()
	}
	assert.Equal(t, StateFailed, w.state(id))
	assert.LessOrEqual(t, n.crashesUnder(id), maxCrashes)
	w.engine.Handle(w.now, &Status{ID: id, Caller: Caller{Team: "a"}, Reply: func(a Answer) { assert.Contains(t, a.Why, "crashes the workers") }})
}

// The next incarnation of a crashed worker, or else the end of its leases, is the proof that its runs have ended.
func TestTasksOfACrashedWorkerWaitLongerThanForProof(t *testing.T) {
	for _, c := range []struct{ downTime, wait time.Duration }{
		{downTime: time.Second, wait: time.Second + maxProofDelay},
		{downTime: 30 * time.Second, wait: simConfig().Lease + maxProofDelay},
	} {
		t.Run(c.downTime.String(), func(t *testing.T) {
			w := newWorld(t, 3, 1)
			n := w.useNetwork(1)
			w.run(time.Second)
			id := w.submit("batch", "a", tasks(6, 2000, time.Minute))
			w.run(simConfig().MaxLease + time.Second) // an earlier leader may have granted the maximum
			n.crash("w01", c.downTime)
			w.run(c.wait)
			assert.Equal(t, 6, w.runningTasks(id, 0))
		})
	}
}

// Several tasks that crash their workers start at the same moment as others.
func TestNeighborsOfATaskThatCrashesWorkersFailWithIt(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(t, 8, seed)
		n := w.useNetwork(seed)
		w.run(time.Second)
		var deadly, innocent []string
		for range 3 {
			deadly = append(deadly, n.submitDeadly("batch", "a", crashDelay))
			for range 4 {
				innocent = append(innocent, w.submit("batch", "a", tasks(2, 1000, 3*time.Second)))
			}
		}
		w.run(25 * time.Second)
		for _, id := range deadly {
			assert.Equal(t, StateFailed, w.state(id), "seed %d", seed)
			assert.LessOrEqual(t, n.crashesUnder(id), 3, "seed %d", seed)
		}
		for _, id := range innocent {
			assert.Equal(t, StateCompleted, w.state(id), "seed %d: %s", seed, id)
		}
	}
}

// down returns how many workers are down.
func (n *network) down() int {
	down := 0
	for _, id := range n.w.ids {
		if n.w.now.Before(n.links[id].downUntil) {
			down++
		}
	}
	return down
}

// Three in ten jobs of a queue crash the workers that start them.
func TestQueueWhoseTasksCrashWorkersTakesMostOfThemDown(t *testing.T) {
	w := newWorld(t, 24, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	var deadly, others []string
	most := 0
	for i := range 200 {
		if n.rand.IntN(10) < 3 {
			deadly = append(deadly, n.submitDeadly("urgent", "a", crashDelay))
		} else {
			w.submit("urgent", "a", tasks(1, 1000, time.Second))
		}
		if i%10 == 0 {
			others = append(others, w.submit("batch", "a", tasks(18, 1000, 3*time.Second)))
		}
		w.run(50 * time.Millisecond)
		most = max(most, n.down())
	}
	assert.LessOrEqual(t, most, len(w.ids)/2)
	w.run(10*time.Second + maxDownTime + maxProofDelay) // a run that is lost waits for proof
	for _, id := range others {
		assert.Equal(t, StateCompleted, w.state(id))
	}
	w.run(80 * time.Second)
	for _, id := range deadly {
		if w.accepted[id] {
			assert.Equal(t, StateFailed, w.state(id))
			assert.LessOrEqual(t, n.crashesUnder(id), maxCrashes)
		}
	}
	t.Logf("%d jobs that crash workers, at most %d workers down", len(deadly), most)
}

// More jobs arrive than the workers that may be exposed can try.
func TestJobsOfAQueueThatCrashesWorkersWaitInVain(t *testing.T) {
	w := newWorld(t, 12, 1)
	n := w.useNetwork(1)
	w.run(time.Second)
	var innocent []string
	for range 300 {
		if n.rand.IntN(10) < 4 {
			n.submitDeadly("urgent", "a", crashDelay)
		} else {
			innocent = append(innocent, w.submit("urgent", "a", tasks(1, 1000, time.Second)))
		}
		w.run(30 * time.Millisecond)
	}
	refused := 0
	w.run(14 * time.Second)
	for _, id := range innocent {
		if !w.accepted[id] {
			refused++
			continue
		}
		assert.Equal(t, StateCompleted, w.state(id), id)
	}
	assert.Positive(t, refused)
}
