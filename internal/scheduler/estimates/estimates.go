// Package estimates learns the size and run time of work by team and kind from
// what workers report, with the declared values as prior.
package estimates

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenbend/internal/model"
)

const (
	// priorWeight is the number of outcomes that the declared values are worth.
	priorWeight = 16
	// windowSize is the number of outcomes after which the older half of what was
	// learned is dropped.
	windowSize = 512
	// sizeQuantile and runTimeQuantile are the percentiles used.
	sizeQuantile    = 95
	runTimeQuantile = 50
	// headroom is added to a learned size, in percent.
	headroom = 10
	// maxFactor bounds how far an estimate may be from the declared size.
	maxFactor = 4
	// maxKeys bounds the kinds of work that are learned; the oldest go first.
	maxKeys = 4096

	significantDigits = 1
	permille          = 1000
	maxPermille       = 1 << 14 // of what was declared
	maxRunTimeMillis  = 1 << 32
)

// key names the work that is taken as alike.
type key struct {
	team    model.TeamID
	kind    model.Kind
	service string
}

func keyOf(t *model.Task) key { return key{t.Team, t.Kind, t.Service} }

// Estimator holds what was learned. It belongs to one goroutine.
type Estimator struct {
	records map[key]*record
	order   []key
}

// New returns an estimator that knows nothing.
func New() *Estimator { return &Estimator{records: make(map[key]*record)} }

// record holds two windows: the current one and the one before.
type record struct {
	current, previous window
}

type window struct {
	cpuPermille, memoryPermille *hdrhistogram.Histogram // used, in relation to declared
	runTime                     *hdrhistogram.Histogram // in milliseconds
}

func newWindow() window {
	return window{
		cpuPermille:    hdrhistogram.New(1, maxPermille, significantDigits),
		memoryPermille: hdrhistogram.New(1, maxPermille, significantDigits),
		runTime:        hdrhistogram.New(1, maxRunTimeMillis, significantDigits),
	}
}

// Observe learns from the outcome of a task that ran to its end; t carries the
// declared demand, not one that Demand gave. Failed and
// stopped tasks say nothing about size or run time.
func (e *Estimator) Observe(t *model.Task, o model.Outcome) {
	if o.Failed || o.Stopped {
		return
	}
	r := e.record(keyOf(t))
	recordClipped(r.current.runTime, o.Ran.Milliseconds())
	if !o.Usage.IsZero() {
		recordRatio(r.current.cpuPermille, o.Usage.MilliCPU, t.Demand.MilliCPU)
		recordRatio(r.current.memoryPermille, o.Usage.MemoryMiB, t.Demand.MemoryMiB)
	}
	if r.current.runTime.TotalCount() >= windowSize {
		r.previous, r.current = r.current, newWindow()
	}
}

// recordRatio records what was used in relation to what was declared, so that
// tasks of different sizes teach the same.
func recordRatio(h *hdrhistogram.Histogram, used, declared int64) {
	if declared > 0 {
		recordClipped(h, used*permille/declared)
	}
}

// recordClipped records a value, clipped to what the histogram can hold.
func recordClipped(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(min(max(v, 1), h.HighestTrackableValue()))
}

func (e *Estimator) record(k key) *record {
	if r := e.records[k]; r != nil {
		return r
	}
	if len(e.order) >= maxKeys {
		delete(e.records, e.order[0])
		e.order = e.order[1:]
	}
	r := &record{current: newWindow(), previous: newWindow()}
	e.records[k] = r
	e.order = append(e.order, k)
	return r
}

// Demand returns the size to commit for a task: the declared size, moved towards
// what such tasks used. It never exceeds largest, what the largest worker has,
// unless the declared size does. Slots and accelerators stay as declared.
func (e *Estimator) Demand(t *model.Task, largest model.Resources) model.Resources {
	r := e.records[keyOf(t)]
	if r == nil {
		return t.Demand
	}
	out := t.Demand
	out.MilliCPU = size(t.Demand.MilliCPU, largest.MilliCPU, r.current.cpuPermille, r.previous.cpuPermille)
	out.MemoryMiB = size(t.Demand.MemoryMiB, largest.MemoryMiB, r.current.memoryPermille, r.previous.memoryPermille)
	return out
}

// RunTime returns the expected run time of a task.
func (e *Estimator) RunTime(t *model.Task) time.Duration {
	r := e.records[keyOf(t)]
	if r == nil {
		return t.RunTime
	}
	learned, count := learn(runTimeQuantile, r.current.runTime, r.previous.runTime)
	if t.RunTime == 0 && count > 0 {
		return time.Duration(learned) * time.Millisecond
	}
	return time.Duration(blend(t.RunTime.Milliseconds(), learned, count)) * time.Millisecond
}

// size blends a declared with a learned size.
func size(declared, largest int64, windows ...*hdrhistogram.Histogram) int64 {
	if declared == 0 {
		return 0
	}
	ratio, count := learn(sizeQuantile, windows...)
	learned := declared * ratio / permille
	out := blend(declared, learned+learned*headroom/100, count)
	out = min(max(out, declared/maxFactor), declared*maxFactor)
	return min(out, max(largest, declared))
}

// learn returns the quantile of all windows, weighted by their counts, and the
// number of values.
func learn(quantile float64, windows ...*hdrhistogram.Histogram) (value, count int64) {
	var sum int64
	for _, h := range windows {
		n := h.TotalCount()
		sum += h.ValueAtQuantile(quantile) * n
		count += n
	}
	if count == 0 {
		return 0, 0
	}
	return sum / count, count
}

func blend(declared, learned, count int64) int64 {
	return (declared*priorWeight + learned*count) / (priorWeight + count)
}
