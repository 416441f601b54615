package engine

import (
	"log/slog"
	"os"
	"testing"
)

func debugLog(t *testing.T, w *world) {
	if os.Getenv("WORLD_LOG") != "" {
		w.engine.log = slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", w.now.Sub(w.begin).String())
			}
			return a
		}}))
	}
}
