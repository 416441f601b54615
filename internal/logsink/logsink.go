// Package logsink writes log lines without ever holding up who logs. Lines beyond
// what the sink can take, or beyond its rate, are left out and counted.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines may wait to be written.
	queueLines = 4096
	// linesPerSecond bounds the volume. A line is about 250 bytes.
	linesPerSecond = 1500
	// reservedPerSecond bounds lines that are about no single job or worker.
	reservedPerSecond = 200
	// flushEvery is how long lines are gathered before they are written at once.
	flushEvery = 50 * time.Millisecond
)

// Sink is an io.Writer of whole lines.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once

	many, few rate
}

// rate counts lines by the second.
type rate struct {
	most   int // in a second
	mu     sync.Mutex
	second time.Time
	count  int
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), closed: make(chan struct{}), done: make(chan struct{})}
	s.many.most, s.few.most = linesPerSecond, reservedPerSecond
	go s.run()
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) { return s.write(line, &s.many) }

func (s *Sink) write(line []byte, r *rate) (int, error) {
	if !r.allows() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (r *rate) allows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.second) >= time.Second {
		r.second, r.count = now, 0
	}
	r.count++
	return r.count <= r.most
}

// Close writes what waits and ends the sink. Lines that come later are lost.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closed) })
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var buffer []byte
	for {
		open := true
		buffer = buffer[:0]
		select {
		case line := <-s.lines:
			buffer = append(buffer, line...)
			open = s.gather(&buffer)
		case <-s.closed:
			open = s.gather(&buffer)
		}
		if n := s.dropped.Swap(0); n > 0 {
			buffer = fmt.Appendf(buffer, `{"time":%q,"level":"WARN","msg":"log lines left out","count":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
		}
		s.flush(buffer)
		if !open {
			return
		}
	}
}

// atomicWrite is how many bytes a pipe takes whole (PIPE_BUF). Readers of longer
// writes may see lines cut or mixed with those of others.
const atomicWrite = 4096

// flush writes whole lines, in pieces that a pipe takes whole.
func (s *Sink) flush(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > atomicWrite {
			n = bytes.LastIndexByte(lines[:atomicWrite], '\n') + 1
			if n == 0 { // a single line is longer
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}
		if _, err := s.out.Write(lines[:n]); err != nil {
			s.dropped.Add(1) // there is nowhere else to tell it
		}
		lines = lines[n:]
	}
}

// gather adds the lines that come within flushEvery. It reports whether more may
// come.
func (s *Sink) gather(buffer *[]byte) bool {
	t := time.NewTimer(flushEvery)
	defer t.Stop()
	for {
		select {
		case line := <-s.lines:
			*buffer = append(*buffer, line...)
		case <-t.C:
			return true
		case <-s.closed:
			s.rest(buffer)
			return false
		}
	}
}

// rest adds the lines that wait.
func (s *Sink) rest(buffer *[]byte) {
	for {
		select {
		case line := <-s.lines:
			*buffer = append(*buffer, line...)
		default:
			return
		}
	}
}
