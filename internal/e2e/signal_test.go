package e2e

import (
	"context"
	"os/signal"
	"syscall"
)

// signalContext returns a context that SIGTERM cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM)
}
