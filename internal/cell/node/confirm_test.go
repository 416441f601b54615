package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
)

// pause holds up the engine of a leader, its watch of the followers and its calls to the store, as a process that is frozen,
// until resume is called.
func (c *cluster) pause(m *member) (resume func()) {
	resumed := make(chan struct{})
	m.store.mu.Lock()
	m.store.resumed = resumed
	m.store.mu.Unlock()
	m.leading.Load().post(&engine.Pending{Queue: "q", Reply: func(engine.Answer) { <-resumed }})
	return func() {
		m.store.mu.Lock()
		m.store.resumed = nil
		m.store.mu.Unlock()
		close(resumed)
	}
}

// replace stores a claim of another leader.
func (c *cluster) replace() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.leaderships = append(c.store.leaderships, Leadership{Instance: "other", Session: "other", Address: "other:1"})
	c.store.term = int64(len(c.store.leaderships))
}

func submitEvent(id, queue string) func(func(engine.Answer)) any {
	return func(reply func(engine.Answer)) any {
		s := spec(id)
		s.Queue = queue
		return &engine.Submit{Spec: s, Wait: time.Second, Attempt: engine.Attempt{Call: "call-" + id, Number: 1}, Reply: reply}
	}
}

func statusEvent(id string) func(func(engine.Answer)) any {
	return func(reply func(engine.Answer)) any {
		return &engine.Status{ID: id, Caller: engine.Caller{Team: "a"}, Reply: reply}
	}
}

func pendingEvent(reply func(engine.Answer)) any { return &engine.Pending{Queue: "q", Reply: reply} }

// queries are requests that the engine answers from memory.
var queries = map[string]func(func(engine.Answer)) any{
	"unknown job": statusEvent("unknown"), "known job": statusEvent("known"), "refused submission": submitEvent("refused", "none"),
	"known submission": submitEvent("known", "q"), "pending": pendingEvent,
}

// The leader was paused and another took over. What it is asked when it wakes goes to the next leader.
func TestPausedLeaderThatWasReplacedAnswersNothing(t *testing.T) {
	for _, paused := range []time.Duration{550 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		t.Run(paused.String(), func(t *testing.T) {
			runCluster(t, 3, func(t *testing.T, c *cluster) {
				old := c.leader()
				submitWithin(t, old, "known", 100*time.Millisecond)
				l := old.leading.Load()
				setUnreachable(c, old, true) // so that it does not hand over meanwhile
				resume := c.pause(old)
				time.Sleep(paused / 2)
				c.replace()
				time.Sleep(paused / 2)
				setUnreachable(c, old, false)
				resume()
				assertNothingAnswered(t, l)
				assert.Error(t, l.ctx.Err(), "the term has ended")
			})
		})
	}
}

// assertNothingAnswered asks a leader all queries at once.
func assertNothingAnswered(t *testing.T, l *leader) {
	t.Helper()
	var wg sync.WaitGroup
	for name, newEvent := range queries {
		wg.Go(func() {
			answer, err := l.ask(t.Context(), newEvent)
			assert.ErrorIs(t, err, errNotHandled, "%s: %v", name, answer)
		})
	}
	wg.Wait()
}

func setUnreachable(c *cluster, m *member, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[m.settings.Instance] = unreachable
}

// After a pause in which nobody took over, the leader reads the record once and answers.
func TestPausedLeaderThatStillLeadsAnswers(t *testing.T) {
	for _, paused := range []time.Duration{550 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(paused.String(), func(t *testing.T) {
			runCluster(t, 3, func(t *testing.T, c *cluster) {
				old := c.leader()
				submitWithin(t, old, "known", 100*time.Millisecond)
				l := old.leading.Load()
				resume := c.pause(old)
				time.Sleep(paused)
				resume()
				start := time.Now()
				for name, outcome := range map[string]engine.Outcome{
					"unknown job": engine.NotFound, "known job": engine.OK, "refused submission": engine.Refused, "pending": engine.OK,
				} {
					answer, err := l.ask(t.Context(), queries[name])
					require.NoError(t, err, name)
					assert.Equal(t, outcome, answer.Outcome, name)
				}
				assert.Less(t, time.Since(start), 100*time.Millisecond)
				assert.Same(t, l, old.leading.Load())
			})
		})
	}
}

// Another instance claimed the leadership less than maxUnconfirmed ago, as after refused connections. A job
// that the leader does not know may have been accepted there.
func TestUnknownJobIsConfirmedByARead(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		submitWithin(t, old, "known", 100*time.Millisecond)
		l := old.leading.Load()
		c.replace()
		_, err := l.ask(t.Context(), statusEvent("unknown"))
		require.ErrorIs(t, err, errNotHandled)
		assert.Error(t, l.ctx.Err(), "the term has ended")
	})
}

// While the store is away for all, nobody takes over. Submissions are refused about as soon as
// without the confirmation, and what the leader knows is answered.
func TestStoreOutageDelaysFewAnswers(t *testing.T) {
	for name, mode := range map[string]storeMode{"refused": storeRefuses, "no answer": storeNoAnswer} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, func(t *testing.T, c *cluster) {
				leader := c.leader()
				submitWithin(t, leader, "known", 100*time.Millisecond)
				for _, m := range c.all() {
					m.store.setMode(mode)
				}
				time.Sleep(time.Second)
				l := leader.leading.Load()
				slow := 0
				for range 100 {
					start := time.Now()
					answer, err := l.ask(t.Context(), submitEvent("new", "none"))
					require.NoError(t, err)
					require.Equal(t, engine.Refused, answer.Outcome)
					if took := time.Since(start); took > 20*time.Millisecond {
						slow++
						require.LessOrEqual(t, took, confirmTimeout+20*time.Millisecond)
					}
					answer, err = l.ask(t.Context(), statusEvent("known"))
					require.NoError(t, err)
					require.Equal(t, engine.OK, answer.Outcome)
					time.Sleep(20 * time.Millisecond)
				}
				assert.LessOrEqual(t, slow, 3, "one request in unconfirmedPause waits")
				start := time.Now()
				answer, err := l.ask(t.Context(), statusEvent("unknown"))
				require.NoError(t, err)
				assert.Equal(t, engine.Refused, answer.Outcome, "an answer that may be untrue")
				assert.Equal(t, noLeaderRetryDelay, answer.RetryAfter)
				assert.LessOrEqual(t, time.Since(start), confirmTimeout+exactConfirmTimeout+20*time.Millisecond)
				for _, m := range c.all() {
					m.store.setMode(storeServes)
				}
				time.Sleep(3 * time.Second)
				answer, err = c.leader().leading.Load().ask(t.Context(), statusEvent("unknown"))
				require.NoError(t, err)
				assert.Equal(t, engine.NotFound, answer.Outcome)
			})
		})
	}
}

// A read takes 360 ms, longer than confirmTimeout.
func TestSlowStoreDoesNotStopAnswers(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		submitWithin(t, leader, "known", 100*time.Millisecond)
		for _, m := range c.all() {
			m.store.setSlowdown(90)
		}
		time.Sleep(2 * time.Second)
		l := leader.leading.Load()
		for i := range 50 {
			for name, outcome := range map[string]engine.Outcome{
				"unknown job": engine.NotFound, "known job": engine.OK, "refused submission": engine.Refused, "pending": engine.OK,
			} {
				answer, err := l.ask(t.Context(), queries[name])
				require.NoError(t, err, name)
				require.Equal(t, outcome, answer.Outcome, "%s, %d", name, i)
			}
			time.Sleep(37 * time.Millisecond)
		}
	})
}

// The renewals confirm the leadership of a calm cluster. Only a job that is not known costs a read,
// which all that ask at that time share.
func TestConfirmationsOfACalmCluster(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		leader := c.leader()
		submitWithin(t, leader, "known", 100*time.Millisecond)
		l := leader.leading.Load()
		reads := func() int {
			leader.store.mu.Lock()
			defer leader.store.mu.Unlock()
			return leader.store.reads
		}
		before := reads()
		for range 200 {
			for _, name := range []string{"known job", "refused submission", "pending"} {
				_, err := l.ask(t.Context(), queries[name])
				require.NoError(t, err)
			}
			time.Sleep(25 * time.Millisecond)
		}
		assert.Equal(t, before, reads())
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				answer, err := l.ask(t.Context(), statusEvent(fmt.Sprint("unknown-", i)))
				assert.NoError(t, err)
				assert.Equal(t, engine.NotFound, answer.Outcome)
			})
		}
		wg.Wait()
		assert.LessOrEqual(t, reads()-before, int(300*time.Millisecond/confirmInterval)+2)
	})
}

// A submission that waits for the confirmation at the leader that is its entry was never handed to the engine, so it is
// not in doubt: the refusal of the leader that the instance follows next is final.
func TestSubmissionThatWasNotHandledIsNotInDoubt(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		resume := c.pause(old)
		setUnreachable(c, old, true)
		time.Sleep(700 * time.Millisecond)
		c.replace()
		setUnreachable(c, old, false)
		resume()
		r := old.attempt(t.Context(), nil, request{method: "Submit", event: submitEvent("late", "q")})
		assert.False(t, r.sent)
		assert.False(t, r.answered)
	})
}

// A leader that steps down answers no request, which asks the next leader in place of passing a refusal on.
func TestRequestToALeaderThatStepsDownAsksTheNextOne(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		l := old.leading.Load()
		entries := map[string]*member{"the leader": old, "a follower": c.follower()}
		// The store refuses an append as superseded. The engine steps down in the round that handles
		// that, before the term ends on this instance.
		l.post(&engine.Pending{Queue: "q", Reply: func(engine.Answer) { time.Sleep(20 * time.Millisecond) }})
		l.post(&engine.Appended{Append: &engine.Append{}, Outcome: engine.Superseded})
		var wg sync.WaitGroup
		for name, m := range entries {
			wg.Go(func() {
				answer, err := m.Submit(t.Context(), spec("job-"+m.settings.Instance))
				if assert.NoError(t, err, name) {
					assert.Equal(t, engine.OK, answer.Outcome, "%s: %s", name, answer.Why)
					assert.Greater(t, answer.Term, l.rec.Term, name)
				}
			})
		}
		wg.Wait()
	})
}
