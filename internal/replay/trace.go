// Package replay records the events that enter a decision core, runs them again
// through the same core and compares what came of them. A trace is text: a
// header, then one event a line, as JSON.
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

// traceFormat is the version of the trace's layout.
const traceFormat = 1

// header is the first line of a trace: what the core was made with.
type header struct {
	Format int               `json:"format"`
	Self   platform.Instance `json:"self"`
	Timing event.Timing      `json:"timing"`
	Seed   uint64            `json:"seed"`
}

// line is one event. At is the time of the core's clock in nanoseconds.
type line struct {
	At    time.Duration   `json:"at_ns"`
	Kind  kind            `json:"kind"`
	Event json.RawMessage `json:"event"`
}

// Recorder writes a trace. It is for the goroutine that owns the core.
type Recorder struct {
	out  *bufio.Writer
	keys Keys
}

// Keys tells under which reference a caller's key is recorded, which holds no
// secret.
type Keys interface {
	KeyReference(secret string) string
}

// NewRecorder begins a trace of a core made with o. It returns an error when out
// cannot be written.
func NewRecorder(out io.Writer, o core.Options, keys Keys) (*Recorder, error) {
	r := &Recorder{out: bufio.NewWriter(out), keys: keys}
	return r, r.write(header{Format: traceFormat, Self: o.Self, Timing: o.Timing, Seed: o.Seed})
}

// Record writes one event. It is called before the core handles the event, so
// that a key stands for what it was then. It returns an error when the event
// cannot be written.
func (r *Recorder) Record(at time.Duration, e event.Event) error {
	if in, ok := e.(event.RequestIn); ok {
		in.Request.Key = r.keys.KeyReference(in.Request.Key)
		e = in
	}
	k, body, err := encodeEvent(e)
	if err != nil {
		return err
	}
	return r.write(line{At: at, Kind: k, Event: body})
}

// Flush writes out what is buffered.
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
	Options core.Options // that the recorded core was made with
	lines   *json.Decoder
	read    int
}

// NewTrace reads the header of a trace. It returns an error when there is none or
// its format is another.
func NewTrace(in io.Reader) (*Trace, error) {
	t := &Trace{lines: json.NewDecoder(bufio.NewReader(in))}
	var h header
	if err := t.lines.Decode(&h); err != nil {
		return nil, errors.Wrap(err, "read the trace's header")
	}
	if h.Format != traceFormat {
		return nil, errors.Newf("the trace has format %d, expected %d", h.Format, traceFormat)
	}
	t.Options = core.Options{Self: h.Self, Timing: h.Timing, Seed: h.Seed, RecordedKeys: true}
	return t, nil
}

// Next returns the next event and its time. At the end it returns io.EOF, also
// after a last line that was cut while it was written.
func (t *Trace) Next() (time.Duration, event.Event, error) {
	var l line
	err := t.lines.Decode(&l)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, nil, io.EOF
	}
	t.read++
	if err != nil {
		return 0, nil, errors.Wrapf(err, "trace event %d", t.read)
	}
	e, err := decodeEvent(l.Kind, l.Event)
	return l.At, e, errors.Wrapf(err, "trace event %d", t.read)
}
