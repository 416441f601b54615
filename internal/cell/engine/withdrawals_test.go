package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// specOf returns a job of one task with the given id.
func specOf(id string) *job.Spec {
	return &job.Spec{ID: id, Queue: "batch", Team: "a", Payload: "p", Steps: []job.Step{tasks(1, 1000, time.Second)}}
}

// sendCancel sends a cancellation to e. It returns where the outcome is put; nil stands for no answer.
func sendCancel(w *world, e *Engine, id, team string) **Outcome {
	outcome := new(*Outcome)
	e.Handle(w.now, &Cancel{ID: id, Caller: Caller{Team: team}, Reply: func(a Answer) { *outcome = &a.Outcome }})
	return outcome
}

// requireNeverStarts submits a job of the given id, which must not be accepted or start.
func requireNeverStarts(t *testing.T, w *world, id string) {
	t.Helper()
	w.specs[id] = specOf(id)
	w.sendSubmit(w.specs[id])
	w.run(5 * time.Second)
	require.Equal(t, Refused, w.answers[id].Outcome, "its cancellation was acknowledged")
	assert.Zero(t, w.starts)
}

// Guards against issue 47: a cancellation was acknowledged before the submission arrived, and the job ran.
func TestJobThatWasCanceledBeforeItsSubmissionNeverStarts(t *testing.T) {
	for name, takeovers := range map[string]int{"same leader": 0, "next leader": 1, "leader after that": 2} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 1)
			w.run(time.Second)
			outcome := sendCancel(w, w.engine, "00000000000000a1", "a")
			w.run(time.Second)
			require.NotNil(t, *outcome)
			require.Equal(t, NotFound, **outcome)
			for range takeovers {
				w.startLeader()
				w.run(time.Second)
			}
			requireNeverStarts(t, w, "00000000000000a1")
		})
	}
}

// Guards against issue 47: the store refused the record of a canceled job, and the cancellation was lost with it.
func TestJobThatWasCanceledBeforeItWasStoredNeverStarts(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	w.storeRefuses = true
	w.specs["00000000000000a1"] = specOf("00000000000000a1")
	w.sendSubmit(w.specs["00000000000000a1"])
	outcome := sendCancel(w, w.engine, "00000000000000a1", "a")
	w.run(500 * time.Millisecond)
	w.storeRefuses = false
	w.engine.Handle(w.now, &StoreRecovered{})
	w.run(time.Second)
	require.NotNil(t, *outcome)
	requireNeverStarts(t, w, "00000000000000a1")
}

// Guards against issue 47 and review case 2: a leader that was replaced acknowledged cancellations from memory.
func TestReplacedLeaderAcknowledgesNoCancellation(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	replaced := w.engine
	w.startLeader()
	outcome := sendCancel(w, replaced, "00000000000000a1", "a")
	for range 20 {
		w.run(20 * time.Millisecond)
		for _, action := range replaced.Settle(w.now) {
			if batch, ok := action.(*Append); ok {
				replaced.Handle(w.now, &Appended{Append: batch, Outcome: Superseded})
			}
		}
	}
	assert.Nil(t, *outcome, "the next leader may know the job")
}

// A cancellation that can't be stored is not acknowledged, but refused at once.
func TestCancellationOfAnUnknownJobIsRefusedWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	w.storeRefuses = true
	w.submit("batch", "a", tasks(1, 1000, time.Second)) // its append shows that the store is away
	w.run(200 * time.Millisecond)
	outcome := sendCancel(w, w.engine, "00000000000000a1", "a")
	require.NotNil(t, *outcome)
	assert.Equal(t, Refused, **outcome)
}

func TestWithdrawalDoesNotConcernOtherTeams(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 2*time.Second))
	for _, asked := range []string{id, "00000000000000a1"} {
		outcome := sendCancel(w, w.engine, asked, "capped")
		w.run(100 * time.Millisecond)
		require.NotNil(t, *outcome)
		assert.Equal(t, NotFound, **outcome)
	}
	w.specs["00000000000000a1"] = specOf("00000000000000a1")
	w.sendSubmit(w.specs["00000000000000a1"])
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, StateCompleted, w.state("00000000000000a1"))
}

// After the retention the id is as good as new, and the store holds nothing of it.
func TestWithdrawalsExpireWithEndedJobs(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	sendCancel(w, w.engine, "00000000000000a1", "a")
	w.run(100 * time.Second)
	sendCancel(w, w.engine, "00000000000000a1", "a") // counts from here on
	w.run(100 * time.Second)
	requireNeverStarts(t, w, "00000000000000a1")
	w.startLeader() // its clock tells nothing of their age
	w.run(140 * time.Second)
	assert.Len(t, w.engine.withdrawals.byAge, 1)
	w.run(20 * time.Second)
	assert.Empty(t, w.engine.withdrawals.byAge)
	assert.Empty(t, w.engine.withdrawals.byJob)
	assert.Empty(t, w.engine.withdrawals.count)
	for key := range w.stored {
		assert.False(t, record.IsWithdrawal(key), key)
	}
	w.sendSubmit(w.specs["00000000000000a1"])
	w.run(5 * time.Second)
	assert.Equal(t, StateCompleted, w.state("00000000000000a1"))
}

// A team that cancels many ids takes neither the memory nor the cancellations of others.
func TestWithdrawalsOfATeamAreBounded(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	for i := range maxTeamWithdrawals {
		sendCancel(w, w.engine, fmt.Sprintf("%016x", 0xa000+i), "a")
	}
	w.run(time.Second)
	var answer Answer
	w.engine.Handle(w.now, &Cancel{ID: "00000000000000a1", Caller: Caller{Team: "a"}, Reply: func(a Answer) { answer = a }})
	assert.Equal(t, Refused, answer.Outcome)
	assert.Positive(t, answer.RetryAfter)
	for _, allowed := range [][2]string{{"00000000000000a1", "capped"}, {fmt.Sprintf("%016x", 0xa000), "a"}} {
		outcome := sendCancel(w, w.engine, allowed[0], allowed[1])
		w.run(100 * time.Millisecond)
		require.NotNil(t, *outcome)
		assert.Equal(t, NotFound, **outcome)
	}
}

// Guards against issue 47: a caller without a known key on a public queue was told that a job of it, which had been
// submitted with one, does not exist.
func TestCallersOfAPublicQueueReachEachOfItsJobs(t *testing.T) {
	anyone := Caller{Queue: "batch", Public: true}
	for name, test := range map[string]struct {
		submitted string // team of the submission
		caller    Caller
		want      Outcome
	}{
		"without a key":                       {"a", anyone, OK},
		"with a key":                          {"", Caller{Team: "a", Queue: "batch", Public: true}, OK},
		"with the key of another team":        {"a", Caller{Team: "capped", Queue: "batch", Public: true}, NotFound},
		"without a key, of another queue":     {"", Caller{Queue: "gangs", Public: true}, NotFound},
		"of another public queue":             {"a", Caller{Queue: "gangs", Public: true}, NotFound},
		"of a queue that is public no more":   {"", Caller{Team: "a", Queue: "batch"}, OK},
		"with another key and not public":     {"a", Caller{Team: "capped", Queue: "batch"}, NotFound},
		"without a key, of a job without one": {"", anyone, OK},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, 1)
			w.policy.Teams = append(w.policy.Teams, policy.Team{}) // callers without a key
			w.policy.Index()
			w.startLeader()
			w.run(time.Second)
			id := w.submit("batch", test.submitted, tasks(1, 1000, 3*time.Second))
			w.run(time.Second)
			var shown, canceled Answer
			w.engine.Handle(w.now, &Status{ID: id, Caller: test.caller, Reply: func(a Answer) { shown = a }})
			w.engine.Handle(w.now, &Cancel{ID: id, Caller: test.caller, Reply: func(a Answer) { canceled = a }})
			w.run(time.Second)
			assert.Equal(t, test.want, shown.Outcome)
			assert.Equal(t, test.want, canceled.Outcome)
			assert.Equal(t, test.want == OK, w.state(id) == StateCanceled)
		})
	}
}

// The key may be taken away between a submission to a public queue and its repeat, or its cancellation and
// the submission.
func TestSubmissionToAPublicQueueIsTheSameWithoutItsKey(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(time.Second)
	repeat := specOf(id)
	repeat.Team, repeat.Public = "", true
	w.sendSubmit(repeat)
	w.run(time.Second)
	assert.Equal(t, OK, w.answers[id].Outcome)

	w.engine.Handle(w.now, &Cancel{ID: "00000000000000a1", Caller: Caller{Queue: "batch", Public: true}, Reply: func(Answer) {}})
	w.run(time.Second)
	w.starts = 0
	requireNeverStarts(t, w, "00000000000000a1")
}
