package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

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
