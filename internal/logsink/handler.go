package logsink

import (
	"context"
	"log/slog"
)

// Handler returns a handler that writes JSON lines to the sink. Lines about one job
// or one worker share the sink's rate; the few others, which tell what an instance
// believes, such as who leads, have a rate of their own, so that a burst of requests
// does not push them out.
func (s *Sink) Handler(level slog.Leveler) slog.Handler {
	options := &slog.HandlerOptions{Level: level}
	return &handler{many: slog.NewJSONHandler(s, options), few: slog.NewJSONHandler(reserved{s}, options)}
}

type handler struct{ many, few slog.Handler }

// perItem are the attributes of lines that come in numbers.
func perItem(key string) bool { return key == "job" || key == "worker" }

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.many.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	to := h.few
	r.Attrs(func(a slog.Attr) bool {
		if perItem(a.Key) {
			to = h.many
		}
		return to == h.few
	})
	return to.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{many: h.many.WithAttrs(attrs), few: h.few.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{many: h.many.WithGroup(name), few: h.few.WithGroup(name)}
}

// reserved writes lines at the rate that is kept for few lines.
type reserved struct{ s *Sink }

// Write implements io.Writer.
func (r reserved) Write(line []byte) (int, error) { return r.s.write(line, &r.s.few) }
