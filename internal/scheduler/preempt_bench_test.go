package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/preempt"
)

// BenchmarkPlacePreempt measures preemption plans for urgent tasks on a full fleet.
func BenchmarkPlacePreempt(b *testing.B) {
	for _, workers := range benchFleets {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := newWorkload(benchSeed)
			s := sampledPlacer{New(Config{Seed: benchSeed})}
			for _, worker := range benchWorkers(workers) {
				s.Fleet.Upsert(worker)
			}
			fillFleet(b, w, s, int(float64(workers)*tasksPerWorker*3/2))
			for _, n := range s.Fleet.Nodes() {
				for _, a := range n.Allocations() {
					a.Task.Repeatable = true
				}
			}
			p := preempt.New(benchSeed)
			urgent := &model.Task{ID: "u", Class: model.ClassUrgent, Demand: model.Resources{MilliCPU: 1000, MemoryMiB: 1000, Slots: 1}}
			latencies := hdrhistogram.New(1, int64(time.Second), 3)
			cost := 0.0
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				plan, status := p.Plan(time.Minute, s.Fleet, urgent, preempt.EligibleForUrgent)
				_ = latencies.RecordValue(int64(time.Since(start)))
				require.True(b, status.Success())
				cost += plan.Cost
			}
			report(b, latencies, int(latencies.TotalCount()), s.Fleet.Tasks())
			b.ReportMetric(1000*cost/float64(latencies.TotalCount()), "cost/1000")
		})
	}
}
