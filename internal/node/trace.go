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

// trace records the core's events until a write fails. Its zero value records
// nothing.
type trace struct {
	recorder *replay.Recorder
	logger   *slog.Logger
}

func newTrace(cfg Config, o core.Options, c *core.Core) (*trace, error) {
	if cfg.Record == nil {
		return &trace{}, nil
	}
	keys, err := kernel.Find[replay.KeyReferencer](c.Kernel(), service.Config)
	if err != nil {
		return nil, err
	}
	recorder, err := replay.NewRecorder(cfg.Record, o, keys)
	return &trace{recorder: recorder, logger: cfg.Logger}, err
}

func (t *trace) record(at time.Duration, e event.Event) {
	if t.recorder != nil {
		t.stopOnError(t.recorder.Record(at, e))
	}
}

func (t *trace) flush() {
	if t.recorder != nil {
		t.stopOnError(t.recorder.Flush())
	}
}

// stopOnError ends the trace at the first error, because a trace with a gap replays
// to different actions.
func (t *trace) stopOnError(err error) {
	if err != nil {
		t.recorder = nil
		t.logger.Error("failed to write the event trace; recording stops", "error", err)
	}
}
