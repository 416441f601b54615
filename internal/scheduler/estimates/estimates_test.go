package estimates

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

var (
	declared = &model.Task{
		Team: "a", Kind: model.KindBatch, RunTime: time.Minute,
		Demand: model.Resources{MilliCPU: 1000, MemoryMiB: 1000, Slots: 1, Accelerators: 1},
	}
	largest = model.Resources{MilliCPU: 16000, MemoryMiB: 2500, Slots: 8, Accelerators: 1}
)

func observe(e *Estimator, n int, usage model.Resources, ran time.Duration) {
	for range n {
		e.Observe(declared, model.Outcome{Usage: usage, Ran: ran})
	}
}

func TestEstimateMovesFromDeclaredToUsed(t *testing.T) {
	e := New()
	require.Equal(t, declared.Demand, e.Demand(declared, largest))
	require.Equal(t, time.Minute, e.RunTime(declared))

	used := model.Resources{MilliCPU: 2000, MemoryMiB: 500}
	observe(e, 1, used, 2*time.Minute)
	require.InDelta(t, 1000, e.Demand(declared, largest).MilliCPU, 100)

	observe(e, 400, used, 2*time.Minute)
	got := e.Demand(declared, largest)
	require.InEpsilon(t, 2200, got.MilliCPU, 0.07)
	require.InEpsilon(t, 550, got.MemoryMiB, 0.07)
	require.Equal(t, int64(1), got.Slots)
	require.Equal(t, int64(1), got.Accelerators)
	require.InEpsilon(t, 2*time.Minute, e.RunTime(declared), 0.07)

	other := *declared
	other.Team = "b"
	require.Equal(t, other.Demand, e.Demand(&other, largest))
}

func TestEstimateIsBounded(t *testing.T) {
	e := New()
	observe(e, 400, model.Resources{MilliCPU: 12000, MemoryMiB: 1e6}, time.Second)
	got := e.Demand(declared, largest)
	require.Equal(t, int64(4000), got.MilliCPU, "at most four times the declared size")
	require.Equal(t, largest.MemoryMiB, got.MemoryMiB, "at most the capacity of the largest worker")
}

func TestEstimateForgetsOldUsage(t *testing.T) {
	e := New()
	observe(e, 3*windowSize, model.Resources{MilliCPU: 3000, MemoryMiB: 1000}, time.Second)
	observe(e, 2*windowSize, model.Resources{MilliCPU: 500, MemoryMiB: 1000}, time.Second)
	require.InEpsilon(t, 550, e.Demand(declared, largest).MilliCPU, 0.1)
}

func TestEstimateIgnoresFailedAndStoppedTasks(t *testing.T) {
	e := New()
	for range 100 {
		e.Observe(declared, model.Outcome{Failed: true, Usage: largest})
		e.Observe(declared, model.Outcome{Stopped: true, Usage: largest})
	}
	require.Equal(t, declared.Demand, e.Demand(declared, largest))
}
