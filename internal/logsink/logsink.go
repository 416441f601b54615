// Package logsink writes log lines without ever blocking the goroutine that logs.
// Lines that exceed the queue or a rate limit are dropped, counted and reported.
package logsink

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
	"pollenbend/internal/wait"
)

const (
	// flushInterval is how long lines are collected before one write.
	flushInterval = 50 * time.Millisecond
	// reportInterval is how long lines that are left out are counted before one line
	// reports them.
	reportInterval = time.Second
)

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	out    io.Writer
	closed chan struct{} // closed by Close
	wake   chan struct{} // signals that lines are queued or were left out
	done   chan struct{} // closed when the queued lines are written after Close
	once   sync.Once     // closes closed

	mu     sync.Mutex
	queue  []byte // lines that wait to be written
	bounds [classes]bounds
	newest slog.Handler // the one that handled the newest line; it writes the reports
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, closed: make(chan struct{}), done: make(chan struct{}), wake: make(chan struct{}, 1)}
	s.newest = newJSONHandler(s, slog.LevelInfo)
	s.bounds = [classes]bounds{
		general:     newBounds(maxGeneralLinesPerSecond, maxQueuedGeneralLines, reservedGeneralLines),
		item:        newBounds(maxItemLinesPerSecond, maxQueuedItemLines, reservedItemLines),
		itemWarning: newBounds(maxItemWarningsPerSecond, maxQueuedItemWarnings, reservedItemLines),
		output:      newBounds(0, 0, 0),
	}
	go s.run()
	return s
}

// Register adds the counters of the lines left out to a registry.
func (s *Sink) Register(r gometrics.Registry) error {
	for c := range classes {
		name := metrics.Name("log_lines_left_out_total", metrics.Label{Name: "class", Value: c.String()})
		if err := r.Register(name, s.bounds[c].total); err != nil {
			return err
		}
	}
	return nil
}

// Write queues one line about a single job or worker, or drops it. It never blocks
// and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.admit(item, "", nil) {
		return len(line), nil
	}
	return queueWriter{s}.Write(line)
}

// admit reports whether a line of class c is within its bounds. by handles the line; it
// is nil if there is no handler.
func (s *Sink) admit(c class, message string, by slog.Handler) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if by != nil {
		s.newest = by
	}
	admitted := s.bounds[c].admit(message, time.Now())
	if !admitted {
		wait.Wake(s.wake)
	}
	return admitted
}

// Close writes the queued lines and stops the sink. Later lines are lost.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closed) })
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var lines []byte
	for open := true; open; {
		select {
		case <-s.wake:
			open = s.collect()
		case <-s.closed:
			open = false
		}
		reportAfter := reportInterval
		if !open {
			reportAfter = 0
		}
		s.report(reportAfter)
		lines = s.takeQueue(lines[:0])
		s.flush(lines)
	}
}

// collect waits until the lines of flushInterval are queued. It reports whether the sink is
// still open.
func (s *Sink) collect() bool {
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.closed:
		return false
	}
}

// takeQueue returns the queued lines. The next lines are queued in the memory of empty.
func (s *Sink) takeQueue(empty []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.queue
	s.queue = empty
	for c := range s.bounds {
		s.bounds[c].queued.reset()
	}
	return lines
}

// report writes one line for each class of which lines have been left out for at least
// the given time.
func (s *Sink) report(after time.Duration) {
	for c := range classes {
		if l, by := s.takeLeftOut(c, after); l.count > 0 {
			slog.New(by).Warn("log lines left out", l.attrs(c)...)
		}
	}
}

// takeLeftOut returns what was left out of class c and starts to count anew, if it has
// been counted for at least the given time. by writes the report.
func (s *Sink) takeLeftOut(c class, after time.Duration) (l leftOut, by slog.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.bounds[c]
	if b.leftOut.count > 0 && time.Since(b.leftOut.since) < after {
		wait.Wake(s.wake) // it is reported later
		return leftOut{}, nil
	}
	l, b.leftOut = b.leftOut, leftOut{}
	return l, s.newest
}

// maxAtomicWrite is the maximum size in bytes of an atomic write to a pipe
// (PIPE_BUF). With longer writes, readers may see lines split or interleaved with
// those of other writers.
const maxAtomicWrite = 4096

// flush writes whole lines in chunks that fit into an atomic write to a pipe.
func (s *Sink) flush(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxAtomicWrite {
			n = bytes.LastIndexByte(lines[:maxAtomicWrite], '\n') + 1
			if n == 0 { // the first line alone is longer
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}
		if _, err := s.out.Write(lines[:n]); err != nil {
			s.noteWriteError(err, bytes.Count(lines[:n], []byte{'\n'}))
		}
		lines = lines[n:]
	}
}

// noteWriteError counts lines that could not be written. The output is the only place to
// report the error.
func (s *Sink) noteWriteError(err error, lines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds[output].leaveOut(err.Error(), lines, time.Now())
	wait.Wake(s.wake)
}
