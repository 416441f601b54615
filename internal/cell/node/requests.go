package node

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/peer"
	"pollenbend/internal/verdict"

	"pollenbend/internal/wait"
)

const (
	// noLeaderTimeout is how long a request waits for a leader. After that it is refused,
	// so that the caller retries.
	noLeaderTimeout = 300 * time.Millisecond
	// noLeaderRetryDelay is the delay after which a refused caller should retry: about
	// the time that a takeover takes.
	noLeaderRetryDelay = time.Second
	// maxLeaderAnswerAge is how long after its last answer to a ping the leader is still
	// sent requests.
	maxLeaderAnswerAge = pingInterval + pingTimeout
	// leaderRetryDelay is the delay before a request, a ping or a read of the leadership
	// record is repeated while it is uncertain who leads.
	leaderRetryDelay = 25 * time.Millisecond
)

// Submit submits a job to the leader and sets its Entry. An error is a *verdict.Error.
func (n *Node) Submit(ctx context.Context, spec *job.Spec) (engine.Answer, error) {
	if why := engine.CannotStore(spec, n.settings.Engine.MaxRecordBytes); why != "" {
		return engine.Answer{Outcome: engine.Refused, Why: why}, nil
	}
	spec.Entry = n.settings.Address
	added := n.ownPayloads.addFirst(spec.ID, spec.Payload)
	call := n.incarnation + "-" + strconv.FormatUint(n.submitCalls.Add(1), 36)
	answer, err := n.requestInAttempts(ctx, func(number int) request {
		args := &SubmitArgs{Spec: spec, Wait: untilDeadline(ctx), Attempt: engine.Attempt{Call: call, Number: number}}
		return request{
			method: "Submit",
			args: func(term int64) any {
				args.Term = term
				return args
			},
			event: func(answer func(engine.Answer)) any {
				return &engine.Submit{Spec: spec, Wait: args.Wait, Attempt: args.Attempt, Reply: answer}
			},
		}
	})
	var e *verdict.Error
	notRun := errors.As(err, &e) && e.Verdict == verdict.NotRun || err == nil && answer.Outcome == engine.Refused
	if added && notRun {
		n.ownPayloads.remove(spec.ID) // a later job of this id may have another
	}
	return answer, err
}

// untilDeadline returns the time until the deadline of ctx, or zero if it has none.
func untilDeadline(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline))
}

// Cancel cancels a job for a caller. An error is a *verdict.Error.
func (n *Node) Cancel(ctx context.Context, id string, caller engine.Caller) (engine.Answer, error) {
	return n.request(ctx, "Cancel", newJobArgs(id, caller), func(answer func(engine.Answer)) any {
		return &engine.Cancel{ID: id, Caller: caller, Reply: answer}
	})
}

// Status returns the status of a job for a caller. An error is a *verdict.Error.
func (n *Node) Status(ctx context.Context, id string, caller engine.Caller) (engine.Answer, error) {
	return n.request(ctx, "Status", newJobArgs(id, caller), func(answer func(engine.Answer)) any {
		return &engine.Status{ID: id, Caller: caller, Reply: answer}
	})
}

// Pending returns how many jobs of a queue have not started. An error is a
// *verdict.Error.
func (n *Node) Pending(ctx context.Context, queue string) (engine.Answer, error) {
	return n.request(ctx, "Pending", &QueueArgs{Queue: queue}, func(answer func(engine.Answer)) any {
		return &engine.Pending{Queue: queue, Reply: answer}
	})
}

// request is a request as it is sent once.
type request struct {
	method string
	args   func(term int64) any          // for another instance, which leads the term
	event  func(func(engine.Answer)) any // for the engine of this instance
}

// request gets the leader's answer to a request that is the same in each attempt.
func (n *Node) request(ctx context.Context, method string, args any, newEvent func(func(engine.Answer)) any) (engine.Answer, error) {
	r := request{method: method, args: func(int64) any { return args }, event: newEvent}
	return n.requestInAttempts(ctx, func(int) request { return r })
}

// requestInAttempts gets the leader's answer to a request. All requests are idempotent by the
// job's id, so one whose answer was lost is sent again, also to the next leader. newRequest
// returns the request for an attempt. Attempts that certainly had no effect do not count.
func (n *Node) requestInAttempts(ctx context.Context, newRequest func(number int) request) (engine.Answer, error) {
	start := time.Now()
	var inDoubt doubts
	for attempts := 1; ; attempts++ {
		leaderChange := n.leaderChanged()
		a := n.attempt(ctx, leaderChange, newRequest(len(inDoubt)+1))
		// The leader forgets ended jobs after the retention, so later its refusal does not
		// tell that no earlier attempt was accepted.
		settles := a.answer.Settles && time.Since(start) < n.settings.Engine.EndedJobRetention
		switch {
		case a.answered && a.answer.Outcome == engine.Refused && !inDoubt.settledBy(a.leader, settles):
			return engine.Answer{}, noAnswerError(true, verdict.CodeInDoubt, "refused ("+a.answer.Why+"), but an earlier attempt got no answer")
		case a.answered:
			a.answer.Leader, a.answer.Term, a.answer.Attempts = a.leader.Instance, a.leader.Term, attempts
			return a.answer, nil
		case a.sent:
			inDoubt = append(inDoubt, a.leader)
		}
		if ctx.Err() != nil {
			return engine.Answer{}, noAnswerError(len(inDoubt) > 0, verdict.CodeDeadline, "no answer from the leader in time")
		}
		if len(inDoubt) == 0 && time.Since(start) > noLeaderTimeout {
			return engine.Answer{}, noAnswerError(false, verdict.CodeUnavailable, "no leader in reach")
		}
		wait.Until(ctx, leaderChange, leaderRetryDelay)
	}
}

// doubts are the leaders that a request was sent to without an answer.
type doubts []*Leadership

// settledBy reports whether a refusal by the given leader holds for all attempts. It has
// fenced off the earlier leaders, so what they may still handle has no effect, and it knows
// what they had stored before. The same leader may handle an earlier attempt after a later
// one, unless settles reports that it refuses the earlier attempts of its term.
func (d doubts) settledBy(leader *Leadership, settles bool) bool {
	for _, earlier := range d {
		sameTerm := earlier.Session == leader.Session && earlier.Term == leader.Term
		if sameTerm && settles {
			continue
		}
		if earlier.Session == leader.Session || earlier.Term >= leader.Term {
			return false
		}
	}
	return true
}

// noAnswerError returns the error for a request that got no answer. inDoubt reports
// whether it may have had an effect; code is the one to use if it cannot have had any.
func noAnswerError(inDoubt bool, code verdict.Code, message string) error {
	if inDoubt {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt, Message: message}
	}
	return verdict.Refuse(code, "%s", message).WithRetryAfter(noLeaderRetryDelay)
}

// attempt is the outcome of sending a request to the leader once.
type attempt struct {
	leader   *Leadership // that was asked; nil if none is known
	sent     bool        // the request may have had an effect, or may still have one
	answered bool
	answer   engine.Answer // if answered
}

// attempt sends the request to the leader once, unless no leader is known or it has not
// answered pings lately. A change of the leader aborts the call to it.
func (n *Node) attempt(ctx context.Context, leaderChange <-chan struct{}, r request) attempt {
	if l := n.leading.Load(); l != nil {
		answer, err := l.ask(ctx, r.event)
		return attempt{leader: &l.rec, sent: !errors.Is(err, errNotHandled), answered: err == nil, answer: answer}
	}
	rec := n.knownLeader.Load()
	if rec == nil || rec.Session == n.incarnation || n.since(&n.leaderAnsweredAt) > maxLeaderAnswerAge {
		return attempt{}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-leaderChange:
			cancel()
		case <-ctx.Done():
		}
	}()
	var reply Reply
	err := n.peers.Get(rec.Address).Call(ctx, serviceName+"."+r.method, r.args(rec.Term), &reply)
	switch {
	case err == nil && reply.NotLeading:
		wait.Wake(n.leaderDoubted)
		return attempt{}
	case err == nil:
		return attempt{leader: rec, sent: true, answered: true, answer: reply.Answer}
	}
	return attempt{leader: rec, sent: !errors.Is(err, peer.ErrNotSent)}
}
