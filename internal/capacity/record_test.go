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

var recordFile = flag.String("record", "", "write the lines that the benchmarks measured to this slopes file and keep its other lines")

// recordedLines holds the lines measured in this run by the name of their metric.
var recordedLines = struct {
	sync.Mutex
	lines map[string]Line
}{lines: make(map[string]Line)}

func TestMain(m *testing.M) {
	code := m.Run()
	if *recordFile != "" && code == 0 {
		if err := writeRecorded(*recordFile); err != nil {
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
	for name, l := range recordedLines.lines {
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

// measure runs one sub-benchmark for each size and records the returned values under
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
	recordedLines.Lock()
	defer recordedLines.Unlock()
	recordedLines.lines[name] = line
}

// threadTimePerOp returns the nanoseconds of processor time of one op.
func threadTimePerOp(b *testing.B, op func()) float64 {
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

// medianAfterSetup returns the median nanoseconds of one op, excluding the setup
// before each op. Short ops are seldom interrupted, so the median is close to their
// processor time.
func medianAfterSetup(b *testing.B, setup, op func()) float64 {
	var times []time.Duration
	for b.Loop() {
		setup()
		times = append(times, elapsed(op))
	}
	return median(times)
}

// medianTime returns the median nanoseconds of one op in a number of rounds,
// excluding the setup before each op.
func medianTime(rounds int, setup, op func()) float64 {
	times := make([]time.Duration, 0, rounds)
	for range rounds {
		setup()
		times = append(times, elapsed(op))
	}
	return median(times)
}

func elapsed(op func()) time.Duration {
	startTime := time.Now()
	op()
	return time.Since(startTime)
}

func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2])
}

// threadTime returns the processor time that the calling thread has used.
func threadTime(tb testing.TB) time.Duration { return processorUsage(tb, syscall.RUSAGE_THREAD) }

// processorTime returns the processor time that this process has used.
func processorTime(tb testing.TB) time.Duration { return processorUsage(tb, syscall.RUSAGE_SELF) }

func processorUsage(tb testing.TB, who int) time.Duration {
	var u syscall.Rusage
	require.NoError(tb, syscall.Getrusage(who, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fixedValue returns v, a value that does not depend on b.N. It runs an empty loop,
// which a sub-benchmark needs to end.
func fixedValue(b *testing.B, v float64) float64 {
	for b.Loop() {
		runtime.KeepAlive(v)
	}
	b.ReportMetric(0, "ns/op")
	return v
}

// memory returns the bytes of heap and stacks that the result of build holds.
func memory[T any](b *testing.B, build func() T) float64 {
	return fixedValue(b, memoryHeldBy(build))
}

func memoryHeldBy[T any](build func() T) float64 {
	before := memoryInUse()
	held := build()
	after := memoryInUse()
	runtime.KeepAlive(held)
	return float64(after) - float64(before)
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
