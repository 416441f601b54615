// Package estimates estimates the demand and run time of tasks by team, kind and
// service from the usage that workers report, with the declared values as prior.
package estimates

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenbend/internal/model"
)

const (
	// priorWeight is the number of outcomes that weigh as much as the declared values.
	priorWeight = 16
	// windowSize is the number of outcomes in a window. When the current window is full,
	// the previous one is dropped.
	windowSize = 512
	// sizePercentile and runTimePercentile are the percentiles of the observed usage and run
	// time that estimates are based on.
	sizePercentile    = 95
	runTimePercentile = 50
	// headroomPercent is added to a learned size.
	headroomPercent = 10
	// maxRatio is the maximum ratio of an estimate to the declared size, and of the
	// declared size to an estimate.
	maxRatio = 4
	// maxKeys is the maximum number of keys with a record. The oldest record is deleted
	// first.
	maxKeys = 4096

	significantDigits = 1 // of the values in a histogram
	permille          = 1000
	maxPermille       = 1 << 14 // of the declared size
	maxRunTimeMillis  = 1 << 32
)

// key identifies tasks that are estimated together.
type key struct {
	team    model.TeamID
	kind    model.Kind
	service string
}

func keyOf(t *model.Task) key { return key{t.Team, t.Kind, t.Service} }

// Estimator estimates demand and run time from past outcomes. It belongs to one
// goroutine.
type Estimator struct {
	records map[key]*record
	order   []key // in the order of the first outcome
}

// New returns an Estimator without outcomes.
func New() *Estimator { return &Estimator{records: make(map[key]*record)} }

// record holds the outcomes of one key in two windows.
type record struct {
	current, previous window
}

// window holds at most windowSize outcomes.
type window struct {
	cpuPermille, memoryPermille *hdrhistogram.Histogram // usage in thousandths of the declared size
	runTime                     *hdrhistogram.Histogram // in milliseconds
}

func newWindow() window {
	return window{
		cpuPermille:    hdrhistogram.New(1, maxPermille, significantDigits),
		memoryPermille: hdrhistogram.New(1, maxPermille, significantDigits),
		runTime:        hdrhistogram.New(1, maxRunTimeMillis, significantDigits),
	}
}

// Observe records the outcome of a task. t must have the declared demand, not one
// that Demand returned. Failed and stopped tasks are ignored, because they are no
// evidence about size or run time.
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

// recordRatio records usage relative to the declared size, so that tasks of different
// sizes can be compared.
func recordRatio(h *hdrhistogram.Histogram, used, declared int64) {
	if declared > 0 {
		recordClipped(h, used*permille/declared)
	}
}

// recordClipped records a value, clipped to the range of the histogram.
func recordClipped(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(min(max(v, 1), h.HighestTrackableValue()))
}

// record returns the record of a key and creates it if it doesn't exist.
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

// Demand returns the resources to commit for a task: the declared demand, adjusted
// towards the usage of earlier tasks. It never exceeds largest, the maximum worker
// capacity in each dimension, unless the declared demand does. Task slots and
// accelerators stay as declared.
func (e *Estimator) Demand(t *model.Task, largest model.Resources) model.Resources {
	r := e.records[keyOf(t)]
	if r == nil {
		return t.Demand
	}
	out := t.Demand
	out.MilliCPU = estimateSize(t.Demand.MilliCPU, largest.MilliCPU, r.current.cpuPermille, r.previous.cpuPermille)
	out.MemoryMiB = estimateSize(t.Demand.MemoryMiB, largest.MemoryMiB, r.current.memoryPermille, r.previous.memoryPermille)
	return out
}

// RunTime returns the expected run time of a task.
func (e *Estimator) RunTime(t *model.Task) time.Duration {
	r := e.records[keyOf(t)]
	if r == nil {
		return t.RunTime
	}
	learned, count := weightedPercentile(runTimePercentile, r.current.runTime, r.previous.runTime)
	if t.RunTime == 0 && count > 0 {
		return time.Duration(learned) * time.Millisecond
	}
	return time.Duration(blend(t.RunTime.Milliseconds(), learned, count)) * time.Millisecond
}

// estimateSize blends a declared size with the learned one, within the limits of
// maxRatio and largest.
func estimateSize(declared, largest int64, windows ...*hdrhistogram.Histogram) int64 {
	if declared == 0 {
		return 0
	}
	ratio, count := weightedPercentile(sizePercentile, windows...)
	learned := declared * ratio / permille
	out := blend(declared, learned+learned*headroomPercent/100, count)
	out = min(max(out, declared/maxRatio), declared*maxRatio)
	return min(out, max(largest, declared))
}

// weightedPercentile returns the mean of the windows' percentiles, weighted by their
// numbers of values, and the total number of values. percentile is from 0 to 100.
func weightedPercentile(percentile float64, windows ...*hdrhistogram.Histogram) (value, count int64) {
	var sum int64
	for _, h := range windows {
		n := h.TotalCount()
		sum += h.ValueAtQuantile(percentile) * n
		count += n
	}
	if count == 0 {
		return 0, 0
	}
	return sum / count, count
}

// blend returns the mean of a declared value, weighted by priorWeight, and a learned
// one, weighted by the number of its outcomes.
func blend(declared, learned, count int64) int64 {
	return (declared*priorWeight + learned*count) / (priorWeight + count)
}
