// Package wait waits for a duration, unless a context or a channel ends the wait, and
// ends such waits.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done.
func For(ctx context.Context, d time.Duration) { Until(ctx, nil, d) }

// Until waits until a value is received from wake or wake is closed, d has passed,
// or ctx is done. It reports whether wake ended the wait. A nil wake never does.
func Until(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
		return true
	}
	return false
}

// Wake ends a wait on c, which has room for one value, or the next wait if there is none now.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // an earlier call has not ended a wait yet
	}
}
