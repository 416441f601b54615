package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/peer"
	"pollenbend/internal/verdict"

	"pollenbend/internal/wait"
)

const (
	// noLeaderWait is how long a request waits for a leader. A takeover that lasts
	// longer is better spent by the caller than in a queue here.
	noLeaderWait = 300 * time.Millisecond
	// noLeaderRetry is when a caller should come back after that: about the time of
	// a takeover.
	noLeaderRetry = time.Second
	// leaderSilent is how long the leader may be silent before new requests are no
	// longer sent to it.
	leaderSilent = pingEvery + pingTimeout
	// retryPause is the pause between two attempts to reach the leader.
	retryPause = 25 * time.Millisecond
)

// Submit passes a job to the leader. Errors carry a verdict.
func (n *Node) Submit(ctx context.Context, spec *job.Spec) (engine.Answer, error) {
	return n.ask(ctx, "Submit", &SubmitArgs{Spec: spec}, func(answer func(engine.Answer)) any {
		return &engine.Submit{Spec: spec, Reply: answer}
	})
}

// Cancel cancels a job of team. Errors carry a verdict.
func (n *Node) Cancel(ctx context.Context, id, team string) (engine.Answer, error) {
	return n.ask(ctx, "Cancel", &JobArgs{ID: id, Team: team}, func(answer func(engine.Answer)) any {
		return &engine.Cancel{ID: id, Team: team, Reply: answer}
	})
}

// Status asks how a job of team stands. Errors carry a verdict.
func (n *Node) Status(ctx context.Context, id, team string) (engine.Answer, error) {
	return n.ask(ctx, "Status", &JobArgs{ID: id, Team: team}, func(answer func(engine.Answer)) any {
		return &engine.Status{ID: id, Team: team, Reply: answer}
	})
}

// Pending asks how many jobs of a queue have not begun. Errors carry a verdict.
func (n *Node) Pending(ctx context.Context, queue string) (engine.Answer, error) {
	return n.ask(ctx, "Pending", &QueueArgs{Queue: queue}, func(answer func(engine.Answer)) any {
		return &engine.Pending{Queue: queue, Reply: answer}
	})
}

// ask has the leader answer. All requests are idempotent by the job's id, so one
// whose answer was lost is sent again, to the next leader too.
func (n *Node) ask(ctx context.Context, method string, args any, event func(func(engine.Answer)) any) (engine.Answer, error) {
	start := time.Now()
	inDoubt := false
	for {
		changed := n.leaderChanged()
		answer, sent, ok := n.attempt(ctx, changed, method, args, event)
		if ok {
			return answer, nil
		}
		inDoubt = inDoubt || sent
		if ctx.Err() != nil {
			return engine.Answer{}, giveUp(inDoubt, verdict.CodeDeadline, "no answer from the leader in time")
		}
		if !inDoubt && time.Since(start) > noLeaderWait {
			return engine.Answer{}, giveUp(false, verdict.CodeUnavailable, "no leader in reach")
		}
		wait.Until(ctx, changed, retryPause)
	}
}

func giveUp(inDoubt bool, code verdict.Code, message string) error {
	if inDoubt {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt, Message: message}
	}
	return verdict.Refuse(code, "%s", message).After(noLeaderRetry)
}

// attempt asks the leader once. sent tells whether the request may have had an
// effect; ok whether there is an answer.
func (n *Node) attempt(ctx context.Context, changed <-chan struct{}, method string, args any, event func(func(engine.Answer)) any) (answer engine.Answer, sent, ok bool) {
	if l := n.leading.Load(); l != nil {
		answer, ok = l.ask(ctx, event)
		return answer, true, ok
	}
	rec := n.known.Load()
	if rec == nil || rec.Session == n.session || n.since(&n.heard) > leaderSilent {
		return engine.Answer{}, false, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	var reply Reply
	err := n.peers.Get(rec.Address).Call(ctx, serviceName+"."+method, args, &reply)
	switch {
	case err == nil && reply.NotLeading:
		select {
		case n.doubt <- struct{}{}:
		default: // noted already
		}
		return engine.Answer{}, false, false
	case err == nil:
		return reply.Answer, true, true
	}
	return engine.Answer{}, !errors.Is(err, peer.ErrNotSent), false
}
