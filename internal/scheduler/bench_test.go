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

// fill commits n tasks with the scheduler itself, whatever the policy under test,
// since only the decisions after that are measured.
func fill(b *testing.B, w *workload, p placer, n int) []model.TaskID {
	b.Helper()
	running := make([]model.TaskID, 0, n)
	filler := sampled{New(Config{Seed: benchSeed})}
	if s, ok := p.(sampled); ok {
		filler = s
	} else {
		filler.Fleet = p.ledger()
	}
	for range n {
		t := w.next()
		if node := filler.place(t); node != nil {
			require.NoError(b, p.ledger().Assume(0, t, node.Worker.ID))
			running = append(running, t.ID)
		}
	}
	return running
}

// BenchmarkPlace measures decisions on a fleet at work: a task ends, another is
// decided and committed. At load "full" more tasks are offered than fit.
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
	running := fill(b, w, p, tasks)
	rng := rand.New(rand.NewPCG(benchSeed, 3))
	latencies := hdrhistogram.New(1, int64(time.Second), 3)
	placed := 0
	b.ReportAllocs()
	for b.Loop() {
		last := len(running) - 1
		end := rng.IntN(len(running))
		p.ledger().Release(running[end])
		running[end] = running[last]
		running = running[:last]
		for range 2 {
			if len(running) > last && load == "usual" {
				break
			}
			t := w.next()
			start := time.Now()
			n := p.place(t)
			if n != nil && p.ledger().Assume(0, t, n.Worker.ID) == nil {
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

// BenchmarkPlacePacking fills an empty fleet until the first task that would fit in total
// can't be placed, and reports the part of the processors then in use.
func BenchmarkPlacePacking(b *testing.B) {
	for _, workers := range benchFleets {
		for _, name := range policyNames {
			b.Run(fmt.Sprintf("workers=%d/policy=%s", workers, name), func(b *testing.B) {
				used := 0.0
				rounds := 0
				for b.Loop() {
					used += pack(workers, name, benchSeed+uint64(rounds))
					rounds++
				}
				b.ReportMetric(100*used/float64(rounds), "%used")
			})
		}
	}
}

func pack(workers int, name string, seed uint64) float64 {
	w := newWorkload(seed)
	p := policies(workers)[name]
	for {
		t := w.plainNext()
		n := p.place(t)
		if n == nil {
			return usedPart(p)
		}
		if err := p.ledger().Assume(0, t, n.Worker.ID); err != nil {
			panic(err)
		}
	}
}

// usedPart leaves workers with accelerators out: the work that is packed needs none.
func usedPart(p placer) float64 {
	var used, has int64
	for _, n := range p.ledger().Nodes() {
		if n.Worker.Capacity.Accelerators == 0 {
			used += n.Used().MilliCPU
			has += n.Worker.Capacity.MilliCPU
		}
	}
	return float64(used) / float64(has)
}
