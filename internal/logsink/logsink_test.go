package logsink

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/metrics"
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
		assert.Equal(t, maxItemLinesPerSecond, strings.Count(out.String(), `"msg":"job accepted"`))
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

// flood logs n lines with one message about a job at the given level.
func flood(log *slog.Logger, level slog.Level, message string, n int) {
	for i := range n {
		log.Log(context.Background(), level, message, "job", "5c0e7a21d94b36f8", "run", i)
	}
}

// count returns the number of lines in text with the given message.
func count(text, message string) int { return strings.Count(text, `"msg":"`+message+`"`) }

func TestBurstOfStartedTasksDoesNotDropAWarningAboutARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo))
		flood(log, slog.LevelInfo, "task started", 3000)
		log.Warn("start not confirmed", "job", "5c0e7a21d94b36f8", "run", 1, "reason", "unknown")
		s.Close()
		assert.Contains(t, out.String(), "start not confirmed")
	})
}

func TestBurstOfOneMessageDoesNotDropLinesWithOthers(t *testing.T) {
	for _, test := range []struct {
		level           slog.Level
		flooding, other string
		want            int // lines with the flooding message
	}{
		{slog.LevelInfo, "task started", "end of an unknown run", maxItemLinesPerSecond},
		{slog.LevelWarn, "worker did not answer a command", "start not confirmed", maxItemWarningsPerSecond},
	} {
		t.Run(test.flooding, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				s := New(&out)
				log := slog.New(s.Handler(slog.LevelInfo))
				flood(log, test.level, test.flooding, 3000)
				flood(log, test.level, test.other, 3000)
				s.Close()
				assert.Equal(t, test.want, count(out.String(), test.flooding))
				assert.Equal(t, reservedItemLines, count(out.String(), test.other))
			})
		})
	}
}

func TestBurstOfWarningsDoesNotDropOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo))
		flood(log, slog.LevelWarn, "start not confirmed", 3000)
		flood(log, slog.LevelInfo, "task started", maxItemLinesPerSecond)
		log.Info("leading", "term", 7)
		s.Close()
		assert.Equal(t, maxItemWarningsPerSecond, count(out.String(), "start not confirmed"))
		assert.Equal(t, maxItemLinesPerSecond, count(out.String(), "task started"))
		assert.Equal(t, 1, count(out.String(), "leading"))
	})
}

// While the output is blocked the queue fills up with lines of one class only.
func TestFullQueueOfStartedTasksDoesNotDropAWarningAboutARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		s := New(out)
		log := slog.New(s.Handler(slog.LevelInfo))
		for range 2 * maxQueuedLines / maxItemLinesPerSecond {
			flood(log, slog.LevelInfo, "task started", maxItemLinesPerSecond)
			time.Sleep(time.Second)
		}
		log.Warn("start not confirmed", "job", "5c0e7a21d94b36f8", "run", 1, "reason", "unknown")
		log.Info("end of an unknown run", "worker", "w01", "run", 1)
		log.Info("leading", "term", 7)
		close(out.release)
		s.Close()
		text := out.written.String()
		assert.Equal(t, 1, count(text, "start not confirmed"))
		assert.Equal(t, 1, count(text, "end of an unknown run"))
		assert.Equal(t, 1, count(text, "leading"))
		assert.LessOrEqual(t, count(text, "task started"), maxItemLinesPerSecond+maxQueuedItemLines)
		assert.Less(t, strings.LastIndex(text, `"msg":"task started"`), strings.Index(text, `"msg":"start not confirmed"`), "lines keep their order")
	})
}

func TestLinesAreBoundedWhateverTheirMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo))
		for i := range 10 * maxItemWarningsPerSecond {
			log.Warn("answer "+strconv.Itoa(i), "job", "5c0e7a21d94b36f8")
		}
		s.Close()
		assert.Equal(t, maxItemWarningsPerSecond+1, strings.Count(out.String(), "\n"), "warnings and the report")
	})
}

// leftOutLines returns the reports in text.
func leftOutLines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var reports []map[string]any
	for line := range strings.Lines(text) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		if fields["msg"] == "log lines left out" {
			delete(fields, "time")
			reports = append(reports, fields)
		}
	}
	return reports
}

func TestReportOfLeftOutLinesNamesTheInstanceAndTheMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo)).With("instance", "edge-eire-cork-3")
		flood(log, slog.LevelInfo, "task started", maxItemLinesPerSecond+70)
		flood(log, slog.LevelInfo, "run ended", reservedItemLines+30)
		flood(log, slog.LevelWarn, "start not confirmed", maxItemWarningsPerSecond+5)
		s.Close()
		assert.Equal(t, []map[string]any{
			{"level": "WARN", "msg": "log lines left out", "instance": "edge-eire-cork-3", "class": "item", "count": 100.0,
				"queue_full": 0.0, "message": "task started", "message_count": 70.0},
			{"level": "WARN", "msg": "log lines left out", "instance": "edge-eire-cork-3", "class": "item_warning", "count": 5.0,
				"queue_full": 0.0, "message": "start not confirmed", "message_count": 5.0},
		}, leftOutLines(t, out.String()))
	})
}

func TestLeftOutLinesAreReportedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		log := slog.New(s.Handler(slog.LevelInfo))
		for range 10 { // for ten seconds
			for range 10 {
				flood(log, slog.LevelInfo, "task started", maxItemLinesPerSecond/5)
				time.Sleep(time.Second / 10)
			}
		}
		s.Close()
		reports := leftOutLines(t, out.String())
		assert.InDelta(t, 10, len(reports), 1)
		sum := 0.0
		for _, r := range reports {
			sum += r["count"].(float64)
		}
		assert.Equal(t, 10.0*maxItemLinesPerSecond, sum)
		assert.Equal(t, 10*maxItemLinesPerSecond, count(out.String(), "task started"))
	})
}

// brokenWriter fails its first write.
type brokenWriter struct {
	bytes.Buffer
	failed bool
}

func (w *brokenWriter) Write(p []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, errors.New("no space left")
	}
	return w.Buffer.Write(p)
}

func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(brokenWriter)
		s := New(out)
		registry := gometrics.NewRegistry()
		require.NoError(t, s.Register(registry))
		log := slog.New(s.Handler(slog.LevelInfo)).With("instance", "i1")
		log.Info("leading", "term", 7)
		log.Info("state restored", "jobs", 3)
		time.Sleep(time.Second)
		flood(log, slog.LevelInfo, "task started", maxItemLinesPerSecond+3)
		s.Close()
		assert.Equal(t, map[string]any{"level": "WARN", "msg": "log lines left out", "instance": "i1", "class": "output", "count": 2.0,
			"queue_full": 0.0, "message": "no space left", "message_count": 2.0}, leftOutLines(t, out.String())[1])
		var rendered bytes.Buffer
		require.NoError(t, metrics.Render(&rendered, registry))
		assert.Equal(t, `# TYPE pollenbend_log_lines_left_out_total counter
pollenbend_log_lines_left_out_total{class="general"} 0
pollenbend_log_lines_left_out_total{class="item"} 3
pollenbend_log_lines_left_out_total{class="item_warning"} 0
pollenbend_log_lines_left_out_total{class="output"} 2
`, rendered.String())
	})
}
