// Package wait lets time pass until a context ends or something happens.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx has ended.
func For(ctx context.Context, d time.Duration) { Until(ctx, nil, d) }

// Until waits until something comes from wake, or it is closed, or d has passed, or
// ctx has ended. It reports whether wake was the reason. A nil wake never is.
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
