package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/verdict"
)

// Backoff between attempts. Each delay is drawn at random between half of the
// current backoff and the whole of it; the backoff doubles after each attempt.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// The retry budget, in retries. It begins at maxRetryBudget; each call deposits
// retriesPerCall and each retry withdraws one.
const (
	retriesPerCall = 0.1
	maxRetryBudget = 10.0
)

// retryBudget limits the retries of all calls of a client together, so that retries
// do not multiply the load of an overloaded system.
type retryBudget struct {
	mu        *sync.Mutex
	remaining *float64
}

func newRetryBudget() retryBudget {
	remaining := maxRetryBudget
	return retryBudget{new(sync.Mutex), &remaining}
}

func (b retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.remaining = min(maxRetryBudget, *b.remaining+retriesPerCall)
}

func (b retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *b.remaining < 1 {
		return false
	}
	*b.remaining--
	return true
}

// sleepFunc waits for d and returns true. It returns false, possibly without waiting,
// if ctx ends or will end first.
type sleepFunc func(ctx context.Context, d time.Duration) bool

func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// do makes attempts until one gives a final result. If an earlier attempt may have
// run, a refusal of a later one does not prove that the call has not run.
func (c *Client) do(ctx context.Context, call apiCall) (*wire.Answer, error) {
	c.budget.deposit()
	backoff := minBackoff
	var inDoubt *verdict.Error // error of the last attempt whose answer was lost
	for attempt := 1; ; attempt++ {
		result := c.attempt(ctx, call)
		if result.err == nil {
			return result.answer, nil
		}
		if inDoubt != nil && !call.resolvesEarlierAttempts(result) {
			result = result.withVerdictOf(inDoubt)
		}
		if result.answerLost {
			inDoubt = result.err
		}
		wait := max(result.err.RetryAfter, backoff/2+rand.N(backoff/2))
		if !retryable(result) || attempt >= c.cfg.MaxAttempts || !c.budget.withdraw() || !c.sleep(ctx, wait) {
			return result.answer, result.err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryable reports whether another attempt under the same id may succeed.
func retryable(o outcome) bool {
	if o.answerLost {
		return true
	}
	switch o.err.Code {
	case verdict.CodeOverloaded, verdict.CodeUnavailable, verdict.CodeDraining, verdict.CodeStaleAuthority:
		return o.notRun
	}
	return false
}

// resolvesEarlierAttempts reports whether the outcome of a retry also holds for the
// attempts before it.
func (c apiCall) resolvesEarlierAttempts(o outcome) bool {
	if o.answerLost || c.targetsRequest || o.err.Verdict != verdict.NotRun {
		return true
	}
	return o.err.Code == verdict.CodeCanceled || c.resolvesEarlier != nil && c.resolvesEarlier(o.err.Code)
}

// withVerdictOf returns the outcome of a refused retry with the verdict of the
// earlier attempt whose answer was lost, because a refusal says nothing about the
// attempts before it.
func (o outcome) withVerdictOf(earlier *verdict.Error) outcome {
	o.err = &verdict.Error{
		Verdict:    earlier.Verdict,
		Code:       o.err.Code,
		Message:    o.err.Message + "; before that, " + earlier.Message,
		RetryAfter: o.err.RetryAfter,
	}
	if o.answer != nil {
		o.answer.Verdict = earlier.Verdict
	}
	return o
}
