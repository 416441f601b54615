package node

import (
	"log/slog"
	"time"

	"pollenbend/internal/core"
	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/replay"
	"pollenbend/internal/service"
)

// trace records the core's events until a write fails. The zero value records
// nothing.
type trace struct {
	recorder *replay.Recorder
	logger   *slog.Logger
}

func newTrace(cfg Config, o core.Options, c *core.Core) (*trace, error) {
	if cfg.Record == nil {
		return &trace{}, nil
	}
	keys, err := kernel.Find[replay.Keys](c.Kernel(), service.Config)
	if err != nil {
		return nil, err
	}
	recorder, err := replay.NewRecorder(cfg.Record, o, keys)
	return &trace{recorder: recorder, logger: cfg.Logger}, err
}

func (t *trace) record(at time.Duration, e event.Event) {
	if t.recorder != nil {
		t.check(t.recorder.Record(at, e))
	}
}

func (t *trace) flush() {
	if t.recorder != nil {
		t.check(t.recorder.Flush())
	}
}

// check ends the trace at the first error: a trace with a gap replays to other
// actions.
func (t *trace) check(err error) {
	if err != nil {
		t.recorder = nil
		t.logger.Error("the event trace ends here", "error", err)
	}
}
