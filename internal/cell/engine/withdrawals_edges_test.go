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

// answerOf returns where the answer to a cancellation by c is put.
func answerOf(w *world, id string, c Caller) *Answer {
	answer := &Answer{Outcome: 99}
	w.engine.Handle(w.now, &Cancel{ID: id, Caller: c, Reply: func(a Answer) { *answer = a }})
	return answer
}

// The record of an ended job may expire just after a cancellation of it was acknowledged.
func TestAcknowledgedCancellationOfAnEndedJobOutlivesTheRecordOfTheJob(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, time.Second))
	w.run(4 * time.Second)
	require.Equal(t, StateCompleted, w.state(id))
	ended := time.UnixMilli(w.engine.endedJobs[0].endedAt)
	w.run(ended.Add(149 * time.Second).Sub(w.now))
	answer := answerOf(w, id, Caller{Team: "a"})
	w.run(2 * time.Second)
	require.Equal(t, OK, answer.Outcome)
	w.starts = 0
	w.sendSubmit(w.specs[id]) // a late copy
	w.run(5 * time.Second)
	assert.Equal(t, Refused, w.answers[id].Outcome, "its cancellation was acknowledged 2 s before")
	assert.Zero(t, w.starts)
}

// The bound is one on unknown jobs, but a job whose record is on its way to the store is known.
func TestKnownJobIsCanceledWhileTheBoundOfItsTeamIsReached(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	for i := range maxTeamWithdrawals {
		sendCancel(w, w.engine, fmt.Sprintf("%016x", 0xa000+i), "a")
	}
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 2*time.Second))
	answer := answerOf(w, id, Caller{Team: "a"})
	w.run(time.Second)
	assert.Equal(t, OK, answer.Outcome, answer.Why)
	assert.Equal(t, StateCanceled, w.state(id))
}

// Callers of all public queues share the bound of the team without a name.
func TestCallersWithoutAKeyOfOneQueueLeaveRoomForThoseOfOthers(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	for i := range maxTeamWithdrawals {
		answerOf(w, fmt.Sprintf("%016x", 0xa000+i), Caller{Queue: "gangs", Public: true})
	}
	w.run(time.Second)
	answer := answerOf(w, "00000000000000a1", Caller{Queue: "batch", Public: true})
	w.run(time.Second)
	assert.Equal(t, NotFound, answer.Outcome, answer.Why)
}

// A caller with the key of one team neither sees nor cancels the job of another, on public queues too.
func TestCallerWithAnotherKeyOnAPublicQueueReachesNoJobOfATeam(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(1, 1000, 2*time.Second))
	w.run(500 * time.Millisecond)
	other := &job.Spec{ID: id, Queue: "batch", Team: "capped", Public: true, Payload: "other", Steps: []job.Step{tasks(1, 1000, time.Second)}}
	var submitted Answer
	w.engine.Handle(w.now, &Submit{Spec: other, Reply: func(a Answer) { submitted = a }})
	answer := answerOf(w, id, Caller{Team: "capped", Queue: "batch", Public: true})
	w.run(time.Second)
	assert.Equal(t, Refused, submitted.Outcome, "the submission of another team counts as accepted")
	assert.Equal(t, NotFound, answer.Outcome)
	assert.NotEqual(t, StateCanceled, w.state(id))
}

// mayAccess says that only callers of its queue reach a job without a key.
func TestCallerWithoutAKeyReachesNoJobOfAnotherQueue(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.policy.Teams = append(w.policy.Teams, policy.Team{})
	w.policy.Index()
	w.startLeader()
	w.run(time.Second)
	id := w.submit("batch", "", tasks(1, 1000, 3*time.Second))
	w.run(500 * time.Millisecond)
	answer := answerOf(w, id, Caller{Queue: "gangs", Public: true})
	w.run(time.Second)
	assert.Equal(t, NotFound, answer.Outcome)
	assert.NotEqual(t, StateCanceled, w.state(id))
}

// The next leader's time of day may be ahead.
func TestWithdrawalOutlivesANextLeaderWhoseClockIsAhead(t *testing.T) {
	for _, ahead := range []time.Duration{30 * time.Second, 3 * time.Minute} {
		t.Run(ahead.String(), func(t *testing.T) {
			w := newWorld(t, 2, 1)
			w.run(time.Second)
			sendCancel(w, w.engine, "00000000000000a1", "a")
			w.run(time.Second)
			w.startLeader()
			w.engine.wall = func() int64 { return w.now.Add(ahead).UnixMilli() }
			w.run(time.Second)
			requireNeverStarts(t, w, "00000000000000a1")
		})
	}
}

// A withdrawal from a clock that was ahead must not keep later ones beyond their retention.
func TestWithdrawalsFromAClockAheadDoNotFillTheBound(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	w.engine.wall = func() int64 { return w.now.Add(time.Hour).UnixMilli() }
	sendCancel(w, w.engine, "00000000000000a1", "a")
	w.run(time.Second)
	w.startLeader()
	w.run(time.Second)
	sendCancel(w, w.engine, "00000000000000a2", "a")
	w.run(200 * time.Second)
	assert.Empty(t, w.engine.withdrawals.byAge, "both have expired")
}

// One append with a withdrawal, an accepted job and a cancellation of each kind, refused and merged with the next.
func TestWithdrawalsInBatchesThatAreRefusedAndMerged(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(time.Second)
	stored := w.submit("batch", "a", tasks(1, 1000, 20*time.Second))
	w.run(time.Second)
	w.storeRefuses = true
	w.specs["00000000000000a1"] = specOf("00000000000000a1")
	w.sendSubmit(w.specs["00000000000000a1"])
	answers := map[string]*Answer{}
	for _, id := range []string{"00000000000000a1", "00000000000000a2", stored} {
		answers[id] = answerOf(w, id, Caller{Team: "a"})
	}
	w.run(300 * time.Millisecond)
	answers["again"] = answerOf(w, "00000000000000a1", Caller{Team: "a"})
	w.storeRefuses = false
	w.engine.Handle(w.now, &StoreRecovered{})
	w.run(time.Second)
	assert.Equal(t, OK, answers[stored].Outcome)
	assert.Equal(t, Refused, answers["again"].Outcome, "the store was away")
	w.startLeader()
	w.run(time.Second)
	assert.Equal(t, StateCanceled, w.state(stored))
	w.starts = 0
	requireNeverStarts(t, w, "00000000000000a1")
	requireNeverStarts(t, w, "00000000000000a2")
}

// A withdrawal is renewed in the append that would also drop it.
func TestWithdrawalRenewedAroundItsExpiry(t *testing.T) {
	for _, at := range []time.Duration{74990, 75000, 149980, 149990, 149995, 150000, 150005, 150010, 150020} {
		w := newWorld(t, 2, 1)
		w.run(time.Second)
		sendCancel(w, w.engine, "00000000000000a1", "a")
		w.run(at * time.Millisecond)
		answer := answerOf(w, "00000000000000a1", Caller{Team: "a"})
		w.run(200 * time.Millisecond)
		require.Equal(t, NotFound, answer.Outcome)
		w.startLeader()
		w.run(70 * time.Second)
		requireNeverStarts(t, w, "00000000000000a1")
	}
}

// go test ./internal/cell/engine -run xxx -bench RestoreWithdrawals
func BenchmarkRestoreWithdrawals(b *testing.B) {
	for _, n := range []int{maxTeamWithdrawals, maxWithdrawals} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			stored := make(map[string]*record.Withdrawal, n)
			for i := range n {
				w := &record.Withdrawal{Job: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Team: fmt.Sprint("team", i/maxTeamWithdrawals), Queue: "batch"}
				stored[w.Key()] = w
			}
			for b.Loop() {
				e := &Engine{withdrawals: newWithdrawals(), now: time.Unix(0, 0)}
				e.restoreWithdrawals(stored)
			}
		})
	}
}
