package engine

import (
	"log/slog"
	"os"
	"testing"
)

// debugLog prints the engine's log with virtual time if WORLD_LOG is set.
func debugLog(t testing.TB, w *world) {
	if os.Getenv("WORLD_LOG") != "" {
		w.engine.log = slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", w.now.Sub(w.startTime).String())
			}
			return a
		}}))
	}
}
