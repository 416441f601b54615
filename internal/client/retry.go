package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/verdict"
)

// Backoff between attempts. Each wait is drawn between half of the current step
// and the whole of it.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// The budget of repeats: each call earns a part of one, each repeat spends one.
const (
	budgetPerCall = 0.1
	budgetMax     = 10.0
)

// budget bounds the repeats of all calls together, so that an overloaded system
// does not get many times its load.
type budget struct {
	mu   *sync.Mutex
	left *float64
}

func newBudget() budget {
	left := budgetMax
	return budget{new(sync.Mutex), &left}
}

func (b budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.left = min(budgetMax, *b.left+budgetPerCall)
}

func (b budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *b.left < 1 {
		return false
	}
	*b.left--
	return true
}

// sleeper waits for d and reports false when ctx ends first.
type sleeper func(ctx context.Context, d time.Duration) bool

func sleepFor(ctx context.Context, d time.Duration) bool {
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

// do makes attempts until one settles the call, and keeps count of what the
// attempts so far may have done.
func (c *Client) do(ctx context.Context, x exchange) (*wire.Answer, error) {
	c.budget.earn()
	step := minBackoff
	var doubt *verdict.Error // of an attempt whose answer was lost
	for n := 1; ; n++ {
		o := c.attempt(ctx, x)
		if o.err == nil {
			return o.answer, nil
		}
		if doubt != nil && !x.settled(o) {
			o = o.stillInDoubt(doubt)
		}
		if o.lost {
			doubt = o.err
		}
		wait := max(o.err.RetryAfter, step/2+rand.N(step/2))
		if !retryable(o) || n >= c.cfg.MaxAttempts || !c.budget.spend() || !c.sleep(ctx, wait) {
			return o.answer, o.err
		}
		step = min(2*step, maxBackoff)
	}
}

// retryable reports whether another attempt under the same id may help.
func retryable(o outcome) bool {
	if o.lost {
		return true
	}
	switch o.err.Code {
	case verdict.CodeOverloaded, verdict.CodeUnavailable, verdict.CodeDraining, verdict.CodeStaleAuthority:
		return o.refused
	}
	return false
}

// settled reports whether the answer to a repeat tells of the attempts before it
// as well.
func (x exchange) settled(o outcome) bool {
	if o.lost || x.read || o.err.Verdict != verdict.NotRun {
		return true
	}
	return o.err.Code == verdict.CodeCanceled || x.settles != nil && x.settles(o.err.Code)
}

// stillInDoubt returns the refusal of a repeat with the verdict of the lost
// attempt: a refusal tells nothing of the attempts before it.
func (o outcome) stillInDoubt(doubt *verdict.Error) outcome {
	o.err = &verdict.Error{
		Verdict:    doubt.Verdict,
		Code:       o.err.Code,
		Message:    o.err.Message + "; before that, " + doubt.Message,
		RetryAfter: o.err.RetryAfter,
	}
	if o.answer != nil {
		o.answer.Verdict = doubt.Verdict
	}
	return o
}
