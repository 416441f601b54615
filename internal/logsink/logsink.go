// Package logsink writes log lines without ever blocking the goroutine that logs.
// Lines that exceed the queue or a rate limit are dropped and counted.
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
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 4096
	// maxItemLinesPerSecond limits lines about single jobs and workers. At about
	// 250 bytes a line they take at most about 375 KB/s.
	maxItemLinesPerSecond = 1500
	// maxGeneralLinesPerSecond limits all other lines.
	maxGeneralLinesPerSecond = 200
	// flushInterval is how long lines are collected before one write.
	flushInterval = 50 * time.Millisecond
)

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closed  chan struct{} // closed by Close
	done    chan struct{} // closed when the queued lines are written after Close
	once    sync.Once     // closes closed

	itemRate, generalRate rateLimiter
}

// rateLimiter limits the lines in windows of one second.
type rateLimiter struct {
	maxPerSecond int
	mu           sync.Mutex
	windowStart  time.Time
	count        int
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	s.itemRate.maxPerSecond, s.generalRate.maxPerSecond = maxItemLinesPerSecond, maxGeneralLinesPerSecond
	go s.run()
	return s
}

// Write queues one line about a single job or worker, or drops it. It never blocks
// and never returns an error.
func (s *Sink) Write(line []byte) (int, error) { return s.write(line, &s.itemRate) }

func (s *Sink) write(line []byte, limiter *rateLimiter) (int, error) {
	if !limiter.allow() {
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

func (r *rateLimiter) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.count = now, 0
	}
	r.count++
	return r.count <= r.maxPerSecond
}

// Close writes the queued lines and stops the sink. Later lines are lost.
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
			open = s.collect(&buffer)
		case <-s.closed:
			open = s.collect(&buffer)
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
			// The output is the only place to report the error. All lines of the
			// chunk count as one.
			s.dropped.Add(1)
		}
		lines = lines[n:]
	}
}

// collect appends the lines that arrive within flushInterval to buffer. It reports
// whether the sink is still open.
func (s *Sink) collect(buffer *[]byte) bool {
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for {
		select {
		case line := <-s.lines:
			*buffer = append(*buffer, line...)
		case <-t.C:
			return true
		case <-s.closed:
			s.drainQueue(buffer)
			return false
		}
	}
}

// drainQueue appends the queued lines to buffer.
func (s *Sink) drainQueue(buffer *[]byte) {
	for {
		select {
		case line := <-s.lines:
			*buffer = append(*buffer, line...)
		default:
			return
		}
	}
}
