package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

var benchFleets = []int{48, 1200, 12000}

// fillFleet commits n tasks. It places them with the scheduler whatever the policy under
// test, since only the decisions after that are measured.
func fillFleet(b *testing.B, w *workload, p placer, n int) []model.TaskID {
	b.Helper()
	running := make([]model.TaskID, 0, n)
	filler := sampledPlacer{New(Config{Seed: benchSeed})}
	if s, ok := p.(sampledPlacer); ok {
		filler = s
	} else {
		filler.Fleet = p.fleet()
	}
	for range n {
		t := w.next()
		if node := filler.place(t); node != nil {
			require.NoError(b, p.fleet().Assume(0, t, node.Worker.ID))
			running = append(running, t.ID)
		}
	}
	return running
}

// BenchmarkPlace measures decisions on a busy fleet: one task ends, another is placed and
// committed. At load "full" more tasks are offered than fit.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range benchFleets {
		for _, load := range []string{"usual", "full"} {
			for _, name := range policyNames {
				b.Run(fmt.Sprintf("workers=%d/load=%s/policy=%s", workers, load, name), func(b *testing.B) {
					benchmarkPlace(b, workers, load, name)
				})
			}
		}
	}
}

func benchmarkPlace(b *testing.B, workers int, load, name string) {
	w := newWorkload(benchSeed)
	p := policies(workers)[name]
	tasks := int(float64(workers) * tasksPerWorker)
	if load == "full" {
		tasks = tasks * 3 / 2
	}
	running := fillFleet(b, w, p, tasks)
	rng := rand.New(rand.NewPCG(benchSeed, 3))
	latencies := hdrhistogram.New(1, int64(time.Second), 3)
	placed := 0
	b.ReportAllocs()
	for b.Loop() {
		last := len(running) - 1
		end := rng.IntN(len(running))
		p.fleet().Release(running[end])
		running[end] = running[last]
		running = running[:last]
		for range 2 {
			if len(running) > last && load == "usual" {
				break
			}
			t := w.next()
			start := time.Now()
			n := p.place(t)
			if n != nil && p.fleet().Assume(0, t, n.Worker.ID) == nil {
				running = append(running, t.ID)
				placed++
			}
			_ = latencies.RecordValue(int64(time.Since(start)))
		}
	}
	report(b, latencies, placed, len(running))
}

func report(b *testing.B, latencies *hdrhistogram.Histogram, placed, running int) {
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(latencies.Max())/1e3, "max-µs")
	decided := float64(latencies.TotalCount())
	b.ReportMetric(decided/(latencies.Mean()*decided/1e9), "decisions/s")
	b.ReportMetric(float64(placed)/(latencies.Mean()*decided/1e9), "placements/s")
	b.ReportMetric(float64(running), "running")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlacePacking fills an empty fleet until the first task that can't be placed,
// and reports the percentage of processors in use then.
func BenchmarkPlacePacking(b *testing.B) {
	for _, workers := range benchFleets {
		for _, name := range policyNames {
			b.Run(fmt.Sprintf("workers=%d/policy=%s", workers, name), func(b *testing.B) {
				used := 0.0
				rounds := 0
				for b.Loop() {
					used += packFleet(workers, name, benchSeed+uint64(rounds))
					rounds++
				}
				b.ReportMetric(100*used/float64(rounds), "%used")
			})
		}
	}
}

func packFleet(workers int, name string, seed uint64) float64 {
	w := newWorkload(seed)
	p := policies(workers)[name]
	for {
		t := w.plainNext()
		n := p.place(t)
		if n == nil {
			return usedCPURatio(p)
		}
		if err := p.fleet().Assume(0, t, n.Worker.ID); err != nil {
			panic(err)
		}
	}
}

// usedCPURatio returns the fraction of processors in use on workers without
// accelerators. It leaves out the others, because the tasks that are packed need none.
func usedCPURatio(p placer) float64 {
	var used, capacity int64
	for _, n := range p.fleet().Nodes() {
		if n.Worker.Capacity.Accelerators == 0 {
			used += n.Used().MilliCPU
			capacity += n.Worker.Capacity.MilliCPU
		}
	}
	return float64(used) / float64(capacity)
}
