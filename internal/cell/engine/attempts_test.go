package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// attempt submits a job in a numbered attempt of a call. The result is the answer once there is
// one.
func (w *world) attempt(call string, number int, spec *job.Spec) *Answer {
	answer := new(Answer)
	*answer = Answer{Outcome: noOutcome}
	w.engine.Handle(w.now, &Submit{Spec: spec, Attempt: Attempt{Call: call, Number: number}, Reply: func(a Answer) { *answer = a }})
	return answer
}

// noOutcome stands for an answer that has not come.
const noOutcome = Outcome(255)

// newSpec returns a job that the world accepts.
func (w *world) newSpec(id string) *job.Spec {
	spec := &job.Spec{ID: id, Queue: "batch", Team: "a", Payload: "p", Steps: []job.Step{tasks(1, 1000, time.Second)}}
	w.must(spec.Validate())
	w.specs[id] = spec
	return spec
}

const attemptedJob = "00000000000000aa"

// An attempt that was delayed arrives after a later one was refused, however late that refusal
// was decided. The caller has been told that the job was not run.
func TestEarlierAttemptAfterARefusalIsRefused(t *testing.T) {
	for name, refuse := range map[string]func(w *world, spec *job.Spec) *Answer{
		"by the decision": func(w *world, spec *job.Spec) *Answer {
			unknown := *spec
			unknown.Queue = "none"
			return w.attempt("call", 2, &unknown)
		},
		"by the store's refusal": func(w *world, spec *job.Spec) *Answer {
			w.storeRefuses = true
			a := w.attempt("call", 2, spec)
			assert.Equal(t, noOutcome, a.Outcome)
			w.run(200 * time.Millisecond)
			return a
		},
		"behind a hanging store": func(w *world, spec *job.Spec) *Answer {
			w.storeHangs = true
			w.submit("batch", "a", tasks(1, 1000, time.Second))
			w.run(50 * time.Millisecond)
			a := w.attempt("call", 2, spec)
			assert.Equal(t, noOutcome, a.Outcome)
			w.run(time.Second)
			return a
		},
		"while the store refuses": func(w *world, spec *job.Spec) *Answer {
			w.storeRefuses = true
			w.submit("batch", "a", tasks(1, 1000, time.Second))
			w.run(200 * time.Millisecond)
			return w.attempt("call", 2, spec)
		},
		"a repeat that waits": func(w *world, spec *job.Spec) *Answer {
			w.storeRefuses = true
			third := w.attempt("call", 3, spec)
			second := w.attempt("call", 2, spec)
			w.run(200 * time.Millisecond)
			assert.True(t, third.Settles)
			return second
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.run(time.Second)
			spec := w.newSpec(attemptedJob)
			refused := refuse(w, spec)
			require.Equal(t, Refused, refused.Outcome)
			assert.True(t, refused.Settles)
			w.storeRefuses, w.storeHangs = false, false
			w.engine.Handle(w.now, &StoreRecovered{})
			w.run(2 * time.Second)
			late := w.attempt("call", 1, spec)
			w.run(2 * time.Second)
			assert.Equal(t, Refused, late.Outcome)
			assert.Equal(t, "unknown", w.state(spec.ID))
			assert.Equal(t, OK, w.submitAgain(spec).Outcome, "another call of the caller")
			assert.Equal(t, Refused, w.attempt("call", 1, spec).Outcome)
			w.run(2 * time.Second)
			assert.Equal(t, StateCompleted, w.state(spec.ID))
		})
	}
}

// submitAgain submits a job in another call and waits for the answer.
func (w *world) submitAgain(spec *job.Spec) *Answer {
	a := w.attempt("another call", 1, spec)
	w.run(time.Second)
	return a
}

// An id that another team holds is refused for the earlier attempts as well.
func TestRefusalOfATakenIDSettlesEarlierAttempts(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	id := w.submit("batch", "capped", tasks(1, 1000, time.Second))
	assert.True(t, w.attempt("call", 2, w.newSpec(id)).Settles)
}

// A refusal must not undo what an earlier attempt has achieved.
func TestAcceptedSubmissionIsNotRefusedLater(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	spec := w.newSpec(attemptedJob)
	second, first := w.attempt("call", 2, spec), w.attempt("call", 1, spec)
	w.run(200 * time.Millisecond)
	w.storeRefuses = true
	third := w.attempt("call", 3, spec)
	for _, a := range []*Answer{first, second, third} {
		assert.Equal(t, OK, a.Outcome)
	}
	assert.Empty(t, w.engine.settledCalls)
}

// A first attempt has no earlier ones, and instances of earlier versions number none: their
// refusals take no room.
func TestRefusalsThatSettleNothing(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	spec := *w.newSpec(attemptedJob)
	spec.Queue = "none"
	for _, a := range []Attempt{{}, {Call: "call", Number: 1}, {Number: 2}} {
		answer := w.attempt(a.Call, a.Number, &spec)
		assert.Equal(t, Refused, answer.Outcome)
		assert.False(t, answer.Settles)
	}
	assert.Empty(t, w.engine.settledCalls)
}

// A new term starts without a record. Attempts that name an earlier term do not reach its engine.
func TestRecordOfRefusalsEndsWithTheTerm(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	spec := w.newSpec(attemptedJob)
	unknown := *spec
	unknown.Queue = "none"
	require.True(t, w.attempt("call", 2, &unknown).Settles)
	w.startLeader()
	w.run(time.Second)
	a := w.attempt("call", 1, spec)
	w.run(time.Second)
	assert.Equal(t, OK, a.Outcome)
}

// A refusal that the full record does not hold must not claim to settle earlier attempts.
func TestFullRecordOfRefusalsSettlesNoMoreCalls(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(time.Second)
	spec := w.newSpec(attemptedJob)
	unknown := *spec
	unknown.Queue = "none"
	for i := range maxSettledCalls {
		require.True(t, w.attempt(fmt.Sprint(i), 2, &unknown).Settles)
	}
	assert.False(t, w.attempt("call", 2, &unknown).Settles)
	assert.True(t, w.attempt("7", 4, &unknown).Settles, "the call is in the record")
	assert.Len(t, w.engine.settledCalls, maxSettledCalls)
	assert.Equal(t, Refused, w.attempt("7", 3, spec).Outcome)
	a := w.attempt("call", 1, spec)
	w.run(time.Second)
	assert.Equal(t, OK, a.Outcome)
}

// Attempts arrive in any order while the store serves, refuses and hangs. No attempt is accepted
// whose call was told by a later one that it was not run.
func TestRandomAttemptsAgreeWithTheRefusalsThatSettleThem(t *testing.T) {
	settled, late := 0, 0
	for seed := range uint64(60) {
		w := newWorld(t, 2, seed)
		w.run(time.Second)
		s, l := runRandomAttempts(t, w, rand.New(rand.NewPCG(seed, 0)))
		settled, late = settled+s, late+l
	}
	assert.Greater(t, settled, 50)
	assert.Greater(t, late, 50)
}

// runRandomAttempts returns how many refusals settled earlier attempts, and how many attempts
// were refused for these.
func runRandomAttempts(t *testing.T, w *world, random *rand.Rand) (settled, late int) {
	const calls, attempts = 20, 4
	var answers [calls][attempts + 1]*Answer
	order := random.Perm(calls * attempts)
	for _, k := range order {
		switch random.IntN(6) {
		case 0:
			w.storeRefuses, w.storeHangs = random.IntN(2) == 0, false
		case 1:
			w.storeRefuses, w.storeHangs = false, random.IntN(2) == 0
		}
		if !w.storeRefuses {
			w.engine.Handle(w.now, &StoreRecovered{})
		}
		call, number := k/attempts, k%attempts+1
		answers[call][number] = w.attempt(fmt.Sprint(call), number, w.newSpec(fmt.Sprintf("%016x", 0xa00+call)))
		w.run(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	w.storeRefuses, w.storeHangs = false, false
	w.engine.Handle(w.now, &StoreRecovered{})
	w.run(3 * time.Second)
	for call := range answers {
		accepted := false
		last := 0 // attempt whose refusal settles the earlier ones
		for number, a := range answers[call] {
			if a != nil && a.Settles && a.Why != lateAttemptReason {
				last = number
				settled++
			}
		}
		for number, a := range answers[call][1:] {
			require.NotEqual(t, noOutcome, a.Outcome)
			accepted = accepted || a.Outcome == OK
			if a.Why == lateAttemptReason {
				late++
			}
			if number+1 < last {
				require.Equal(t, Refused, a.Outcome, "call %d, attempt %d of which %d was refused", call, number+1, last)
			}
		}
		require.Equal(t, accepted, w.state(fmt.Sprintf("%016x", 0xa00+call)) != "unknown")
	}
	return settled, late
}
