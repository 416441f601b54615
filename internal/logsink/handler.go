package logsink

import (
	"context"
	"log/slog"

	"pollenbend/internal/wait"
)

// Handler returns a handler that writes JSON lines to the sink. Lines about one job,
// worker or request have bounds of their own, and so have those of them at the level WARN
// or above, so that a burst of requests crowds out neither these nor the lines about the
// instance's own state. Only the attributes of the line itself decide, not those of its
// logger.
func (s *Sink) Handler(level slog.Leveler) slog.Handler {
	return &handler{sink: s, json: newJSONHandler(s, level)}
}

func newJSONHandler(s *Sink, level slog.Leveler) slog.Handler {
	return slog.NewJSONHandler(queueWriter{s}, &slog.HandlerOptions{Level: level})
}

type handler struct {
	sink *Sink
	json slog.Handler
}

// isPerItem reports whether an attribute with this key marks a line about one job,
// worker or request.
func isPerItem(key string) bool { return key == "job" || key == "worker" || key == "path" }

// classOf returns the class of the line r.
func classOf(r *slog.Record) class {
	c := general
	r.Attrs(func(a slog.Attr) bool {
		if isPerItem(a.Key) {
			c = item
		}
		return c == general
	})
	if c == item && r.Level >= slog.LevelWarn {
		return itemWarning
	}
	return c
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.json.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.sink.admit(classOf(&r), r.Message, h.json) {
		return nil
	}
	return h.json.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{sink: h.sink, json: h.json.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{sink: h.sink, json: h.json.WithGroup(name)}
}

// queueWriter queues lines that have been admitted.
type queueWriter struct{ s *Sink }

// Write implements io.Writer.
func (w queueWriter) Write(line []byte) (int, error) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.s.queue = append(w.s.queue, line...)
	wait.Wake(w.s.wake)
	return len(line), nil
}
