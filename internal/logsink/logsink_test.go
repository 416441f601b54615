package logsink

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		n, err := s.Write([]byte(line))
		require.NoError(t, err)
		assert.Equal(t, len(line), n)
	}
	s.Close()
	s.Close()
	assert.Equal(t, "one\ntwo\nthree\n", out.String())
}

// A blocked output must not block a caller that logs. Dropped lines are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	for range 3 * maxQueuedLines {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(out.release)
	s.Close()
	text := out.written.String()
	assert.Contains(t, text, "log lines left out")
	assert.Less(t, strings.Count(text, "line\n"), 3*maxQueuedLines)
}

func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	s.Close()
	_, err := s.Write([]byte("late\n"))
	require.NoError(t, err)
	assert.Empty(t, out.String())
}

// A burst of lines about jobs exceeds their rate limit. A line about leadership is
// still written.
func TestBurstOfJobLinesDoesNotDropGeneralLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo)).With("instance", "i1")
		for i := range 2 * maxItemLinesPerSecond {
			log.Info("job accepted", "job", i)
		}
		log.Info("leading", "term", 7)
		s.Close()
		assert.Contains(t, out.String(), `"msg":"leading","instance":"i1","term":7`)
		assert.Equal(t, maxItemLinesPerSecond, strings.Count(out.String(), "job accepted"))
		assert.Contains(t, out.String(), `"count":1500`)
	})
}

// writeRecorder records the length of each write.
type writeRecorder struct {
	bytes.Buffer
	sizes []int
}

func (p *writeRecorder) Write(b []byte) (int, error) {
	p.sizes = append(p.sizes, len(b))
	return p.Buffer.Write(b)
}

// Writes of up to 4,096 bytes to a pipe are atomic. The sink keeps its writes
// within this size and splits no line.
func TestWritesFitIntoAnAtomicPipeWrite(t *testing.T) {
	out := &writeRecorder{}
	s := New(out)
	var want strings.Builder
	for i := range 200 {
		line := strings.Repeat("x", 100+i) + "\n"
		want.WriteString(line)
		_, err := s.Write([]byte(line))
		require.NoError(t, err)
	}
	long := strings.Repeat("y", 9000) + "\n"
	want.WriteString(long)
	_, err := s.Write([]byte(long))
	require.NoError(t, err)
	s.Close()
	assert.Equal(t, want.String(), out.String())
	for _, n := range out.sizes {
		assert.True(t, n <= 4096 || n == len(long), "%d bytes", n)
	}
}
