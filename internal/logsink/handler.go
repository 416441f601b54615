package logsink

import (
	"context"
	"log/slog"
)

// Handler returns a handler that writes JSON lines to the sink. Lines about one job
// or one worker share one rate limit. All other lines, which report the instance's
// own state, such as who leads, have a separate limit, so that a burst of requests
// does not crowd them out. Only the attributes of the line itself decide, not those
// of its logger.
func (s *Sink) Handler(level slog.Leveler) slog.Handler {
	options := &slog.HandlerOptions{Level: level}
	return &handler{perItem: slog.NewJSONHandler(s, options), general: slog.NewJSONHandler(generalWriter{s}, options)}
}

type handler struct{ perItem, general slog.Handler }

// isPerItem reports whether an attribute with this key marks a line about one job
// or one worker.
func isPerItem(key string) bool { return key == "job" || key == "worker" }

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.perItem.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	target := h.general
	r.Attrs(func(a slog.Attr) bool {
		if isPerItem(a.Key) {
			target = h.perItem
		}
		return target == h.general
	})
	return target.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{perItem: h.perItem.WithAttrs(attrs), general: h.general.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{perItem: h.perItem.WithGroup(name), general: h.general.WithGroup(name)}
}

// generalWriter writes lines that are not about one job or one worker, with their
// own rate limit.
type generalWriter struct{ s *Sink }

// Write implements io.Writer.
func (r generalWriter) Write(line []byte) (int, error) { return r.s.write(line, &r.s.generalRate) }
