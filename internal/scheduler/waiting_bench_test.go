package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenbend/internal/model"
)

const (
	waitingRunDuration = 600 * time.Second
	warmUpDuration     = 360 * time.Second
	arrivalsPerUrgent  = 50 // one in this many arrivals is urgent
	arrivalsPerLow     = 5  // one in this many of the others is of class low
)

// waitHistograms records the waiting times after the warm-up, in milliseconds.
type waitHistograms struct {
	byClass map[model.Class]*hdrhistogram.Histogram
	byTeam  map[model.TeamID]*hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 2)
}

// BenchmarkPlaceWaiting simulates arrivals at several loads relative to the capacity of
// the fleet. It reports the waiting time by class, in virtual milliseconds, and the
// median and maximum over teams of the median for class normal.
func BenchmarkPlaceWaiting(b *testing.B) {
	for _, load := range []float64{0.7, 0.95, 1.2} {
		for _, v := range []struct {
			name string
			o    options
		}{
			{"fifo", options{fifo: true}},
			{"shares", options{}},
			{"shares+faults", options{wrongSizes: true, workersPerBroken: 50}},
			{"shares+faults+remedies", options{wrongSizes: true, workersPerBroken: 50, estimates: true, quarantine: true}},
		} {
			b.Run(fmt.Sprintf("load=%.0f/policy=%s", 100*load, v.name), func(b *testing.B) {
				v.o.workers = 1200
				for b.Loop() {
					runWaiting(b, v.o, load)
				}
			})
		}
	}
}

func runWaiting(b *testing.B, o options, load float64) {
	x := newExperiment(o)
	w := waitHistograms{byClass: map[model.Class]*hdrhistogram.Histogram{}, byTeam: map[model.TeamID]*hdrhistogram.Histogram{}}
	x.started = func(t *model.Task, waited time.Duration) {
		if x.now >= warmUpDuration {
			w.record(t.Class, x.profiles[t.ID].team, waited)
		}
	}
	rate := load * x.arrivalRate()
	nextArrival := time.Duration(0)
	nextRebalance := time.Duration(0)
	for x.now < waitingRunDuration {
		for ; nextArrival <= x.now; nextArrival += time.Duration(x.rng.ExpFloat64() / rate * float64(time.Second)) {
			x.arrive()
		}
		if x.now >= nextRebalance {
			x.targets = x.rebalance()
			nextRebalance += time.Second
		}
		x.advance()
	}
	w.report(b)
	b.ReportMetric(float64(x.preemptions)/x.now.Seconds(), "stops/s")
	b.ReportMetric(100*float64(x.failedStarts)/float64(x.starts), "failed-starts-%")
	x.reportActualUsage(b)
}

// arrivalRate returns the arrivals per second that would keep all processors busy.
func (x *experiment) arrivalRate() float64 {
	var work float64
	for _, t := range x.w.templates {
		work += float64(t.Demand.MilliCPU)
	}
	work /= float64(len(x.w.templates))
	runTime := batchRunTime.Seconds()*(1-1.0/arrivalsPerUrgent) + requestRunTime.Seconds()/arrivalsPerUrgent
	return float64(x.s.Fleet.Capacity().MilliCPU) / (work * runTime)
}

// arrive submits a batch task or an urgent request. Teams with low numbers are drawn
// more often.
func (x *experiment) arrive() {
	u := x.rng.Float64()
	team := int(math.Pow(u, 1.5) * benchTeams)
	t := x.w.plainNext()
	template := x.w.templates[team+benchTeams*x.rng.IntN(templatesPerTeam)]
	t.Team, t.Job, t.Kind, t.Demand = template.Team, template.Job, model.KindBatch, template.Demand
	switch {
	case x.rng.IntN(arrivalsPerUrgent) == 0:
		t.Class, t.Kind = model.ClassUrgent, model.KindRequest
	case x.rng.IntN(arrivalsPerLow) == 0:
		t.Class = model.ClassLow
	}
	x.submit(t)
}

func (w waitHistograms) record(class model.Class, team model.TeamID, waited time.Duration) {
	if w.byClass[class] == nil {
		w.byClass[class] = newHistogram()
	}
	_ = w.byClass[class].RecordValue(waited.Milliseconds())
	if class != model.ClassNormal {
		return
	}
	if w.byTeam[team] == nil {
		w.byTeam[team] = newHistogram()
	}
	_ = w.byTeam[team].RecordValue(waited.Milliseconds())
}

func (w waitHistograms) report(b *testing.B) {
	for class, h := range w.byClass {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), string(class)+"-p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), string(class)+"-p99-ms")
	}
	var medians []float64
	for _, h := range w.byTeam {
		medians = append(medians, float64(h.ValueAtQuantile(50)))
	}
	slices.Sort(medians)
	b.ReportMetric(medians[len(medians)/2], "teams-median-p50-ms")
	b.ReportMetric(medians[len(medians)-1], "teams-worst-p50-ms")
}
