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

// stuck is a writer that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
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

// Whoever logs is never held up, and what is left out is counted.
func TestStuckOutputBlocksNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := New(out)
	for range 3 * queueLines {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(out.release)
	s.Close()
	text := out.got.String()
	assert.Contains(t, text, "log lines left out")
	assert.Less(t, strings.Count(text, "line\n"), 3*queueLines)
}

func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	s.Close()
	_, err := s.Write([]byte("late\n"))
	require.NoError(t, err)
	assert.Empty(t, out.String())
}

// Load: a burst of lines about jobs beyond the rate. Who leads is told all the same.
func TestBurstOfRequestsLeavesRoomForOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo)).With("instance", "i1")
		for i := range 2 * linesPerSecond {
			log.Info("job accepted", "job", i)
		}
		log.Info("leading", "term", 7)
		s.Close()
		assert.Contains(t, out.String(), `"msg":"leading","instance":"i1","term":7`)
		assert.Equal(t, linesPerSecond, strings.Count(out.String(), "job accepted"))
		assert.Contains(t, out.String(), `"count":1500`)
	})
}

// pieces notes the length of each write.
type pieces struct {
	bytes.Buffer
	sizes []int
}

func (p *pieces) Write(b []byte) (int, error) {
	p.sizes = append(p.sizes, len(b))
	return p.Buffer.Write(b)
}

// A pipe takes writes of up to 4,096 bytes whole: lines are written in such pieces,
// and none is cut.
func TestLinesAreWrittenInPiecesThatAPipeTakesWhole(t *testing.T) {
	out := &pieces{}
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
