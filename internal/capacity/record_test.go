package capacity

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

var recordTo = flag.String("record", "", "write the lines that the benchmarks measured to this slopes file, and keep its other lines")

// recorded holds the lines measured in this run, by the name of their metric.
var recorded = struct {
	sync.Mutex
	lines map[string]Line
}{lines: make(map[string]Line)}

func TestMain(m *testing.M) {
	code := m.Run()
	if *recordTo != "" && code == 0 {
		if err := writeRecorded(*recordTo); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

func writeRecorded(path string) error {
	file := struct {
		Command   string          `toml:"command"`
		Machine   string          `toml:"machine"`
		Transport map[string]any  `toml:"transport"`
		Lines     map[string]Line `toml:"lines"`
	}{Lines: make(map[string]Line)}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := toml.Unmarshal(data, &file); err != nil {
		return err
	}
	if file.Lines == nil {
		file.Lines = make(map[string]Line)
	}
	for name, l := range recorded.lines {
		file.Lines[name] = l
	}
	if data, err = toml.Marshal(file); err != nil {
		return err
	}
	slopes, err := Parse(data)
	if err != nil {
		return err
	}
	if data, err = slopes.Marshal(); err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// measure runs one sub-benchmark for each size and records what it returns under
// the name of the metric.
func measure(b *testing.B, name, unit, per string, sizes []int, run func(b *testing.B, size int) float64) {
	line := Line{Unit: unit, Per: per}
	for _, size := range sizes {
		var value float64
		ran := b.Run(fmt.Sprintf("%s=%d", name, size), func(b *testing.B) {
			value = run(b, size)
			b.ReportMetric(value, unit+"_total")
		})
		if !ran {
			return
		}
		line.Sizes = append(line.Sizes, float64(size))
		line.Values = append(line.Values, math.Round(value))
	}
	recorded.Lock()
	defer recorded.Unlock()
	recorded.lines[name] = line
}

// timed returns the nanoseconds of processor time of one op.
func timed(b *testing.B, op func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := threadTime(b)
	n := 0
	for b.Loop() {
		op()
		n++
	}
	return float64(threadTime(b)-before) / float64(n)
}

// timedAfter returns the median nanoseconds of one op, without those of the setup
// before each. Short ops are seldom interrupted, so the median is close to their
// processor time.
func timedAfter(b *testing.B, setup, op func()) float64 {
	var times []time.Duration
	for b.Loop() {
		setup()
		times = append(times, wall(op))
	}
	return median(times)
}

// medianOf returns the median nanoseconds of some rounds of an op.
func medianOf(rounds int, setup, op func()) float64 {
	times := make([]time.Duration, 0, rounds)
	for range rounds {
		setup()
		times = append(times, wall(op))
	}
	return median(times)
}

func wall(op func()) time.Duration {
	began := time.Now()
	op()
	return time.Since(began)
}

func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2])
}

// threadTime returns what the calling thread has used of the processors.
func threadTime(tb testing.TB) time.Duration { return used(tb, syscall.RUSAGE_THREAD) }

// processorTime returns what this process has used of the processors.
func processorTime(tb testing.TB) time.Duration { return used(tb, syscall.RUSAGE_SELF) }

func used(tb testing.TB, who int) time.Duration {
	var u syscall.Rusage
	require.NoError(tb, syscall.Getrusage(who, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// constant runs the op only so that the sub-benchmark ends, and returns v.
func constant(b *testing.B, v float64) float64 {
	for b.Loop() {
		runtime.KeepAlive(v)
	}
	b.ReportMetric(0, "ns/op")
	return v
}

// memory returns the bytes of heap and stacks that build's result holds.
func memory[T any](b *testing.B, build func() T) float64 {
	return constant(b, inUseBy(build))
}

func inUseBy[T any](build func() T) float64 {
	before := inUse()
	held := build()
	after := inUse()
	runtime.KeepAlive(held)
	return float64(after) - float64(before)
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
