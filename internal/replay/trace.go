// Package replay records the events that a decision core handles, replays them
// through a new core and compares the outcomes. A trace is a text file of JSON
// lines: a header, then one event per line.
package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/core"
	"pollenbend/internal/event"
	"pollenbend/internal/platform"
)

// traceFormat is the version of the trace format.
const traceFormat = 1

// header is the first line of a trace: the options of the recorded core.
type header struct {
	Format int               `json:"format"`
	Self   platform.Instance `json:"self"`
	Timing event.Timing      `json:"timing"`
	Seed   uint64            `json:"seed"`
}

// traceLine is one event. At is the time on the core's clock; it is written in
// nanoseconds.
type traceLine struct {
	At    time.Duration   `json:"at_ns"`
	Kind  kind            `json:"kind"`
	Event json.RawMessage `json:"event"`
}

// Recorder writes a trace. It is not safe for concurrent use: only the goroutine
// that owns the core may call it.
type Recorder struct {
	out  *bufio.Writer
	keys KeyReferencer
}

// KeyReferencer returns the reference under which a caller's key is recorded, so that a
// trace contains no secret.
type KeyReferencer interface {
	KeyReference(secret string) string
}

// NewRecorder starts a trace of a core that was created with o and writes the
// header. It returns an error when out cannot be written.
func NewRecorder(out io.Writer, o core.Options, keys KeyReferencer) (*Recorder, error) {
	r := &Recorder{out: bufio.NewWriter(out), keys: keys}
	return r, r.write(header{Format: traceFormat, Self: o.Self, Timing: o.Timing, Seed: o.Seed})
}

// Record writes one event. It must be called before the core handles the event,
// because the event may change which key a secret refers to. It returns an error
// when the event cannot be written.
func (r *Recorder) Record(at time.Duration, e event.Event) error {
	if in, ok := e.(event.RequestIn); ok {
		in.Request.Key = r.keys.KeyReference(in.Request.Key)
		e = in
	}
	k, body, err := encodeEvent(e)
	if err != nil {
		return err
	}
	return r.write(traceLine{At: at, Kind: k, Event: body})
}

// Flush writes the buffered lines to the output.
func (r *Recorder) Flush() error { return errors.Wrap(r.out.Flush(), "write trace") }

func (r *Recorder) write(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode trace line")
	}
	_, err = r.out.Write(append(data, '\n'))
	return errors.Wrap(err, "write trace")
}

// Trace reads a trace.
type Trace struct {
	Options    core.Options // of the recorded core
	decoder    *json.Decoder
	eventsRead int
}

// NewTrace reads the header of a trace. It returns an error when the header is
// missing or has another format.
func NewTrace(in io.Reader) (*Trace, error) {
	t := &Trace{decoder: json.NewDecoder(bufio.NewReader(in))}
	var h header
	if err := t.decoder.Decode(&h); err != nil {
		return nil, errors.Wrap(err, "read the trace's header")
	}
	if h.Format != traceFormat {
		return nil, errors.Newf("the trace has format %d, expected %d", h.Format, traceFormat)
	}
	t.Options = core.Options{Self: h.Self, Timing: h.Timing, Seed: h.Seed, RecordedKeys: true}
	return t, nil
}

// Next returns the next event and its time on the core's clock. At the end, or
// at a last line that was written only in part, it returns io.EOF.
func (t *Trace) Next() (time.Duration, event.Event, error) {
	var l traceLine
	err := t.decoder.Decode(&l)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, nil, io.EOF
	}
	t.eventsRead++
	if err != nil {
		return 0, nil, errors.Wrapf(err, "trace event %d", t.eventsRead)
	}
	e, err := decodeEvent(l.Kind, l.Event)
	return l.At, e, errors.Wrapf(err, "trace event %d", t.eventsRead)
}
