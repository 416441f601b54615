package capacity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/snapshots"
	"pollenbend/internal/wire"
)

func jobOf(i, count int) wire.JobAccepted {
	return wire.JobAccepted{Job: model.Job{
		ID: model.JobID(fmt.Sprintf("job-%028d", i)), Count: count, Template: taskOf("", teamOf(0)),
	}}
}

// progressOf ends the first n tasks of job i.
func progressOf(i, n int) wire.JobProgress {
	p := wire.JobProgress{Team: teamOf(0), Job: jobOf(i, 0).Job.ID}
	for t := range n {
		p.Done = append(p.Done, t)
	}
	return p
}

// jobCell returns an instance that owns no shard and has folded jobs with as many
// ended tasks each.
func jobCell(tb testing.TB, jobs, ended int) *cell {
	c := newCell(tb, cellSize{instances: 2, teams: 1, spare: true})
	for i := range jobs {
		c.entry(jobOf(i, ended+1), progressOf(i, ended))
	}
	return c
}

// BenchmarkCapacityJobs measures what every instance pays for the jobs of all,
// whether it owns their shards or not. The raw entries that the core keeps for its
// peers are included in the memory.
func BenchmarkCapacityJobs(b *testing.B) {
	jobs, tasks := []int{200, 2000}, []int{10, 1000}
	measure(b, "job_memory", memoryBytes, "job", jobs, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell { return jobCell(b, n, 0) })
	})
	const perSize = 100
	measure(b, "job_memory_by_ended_task", memoryBytes, "ended task", tasks, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell { return jobCell(b, perSize, n) }) / perSize
	})
	measure(b, "tick_ns_by_job", nanoseconds, "job", jobs, func(b *testing.B, n int) float64 {
		c := jobCell(b, n, 0)
		return timed(b, func() { c.step(event.Tick{}) })
	})
	measure(b, "progress_bytes_by_task", encodedBytes, "ended task", tasks, func(b *testing.B, n int) float64 {
		return constant(b, float64(entryBytes(b, progressOf(0, n))))
	})
	measure(b, "progress_take_ns_by_task", nanoseconds, "ended task", tasks, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 2, teams: 1, spare: true})
		serial := 0
		var e event.LogRead
		return timedAfter(b, func() {
			serial++
			c.entry(jobOf(serial, n+1))
			e = c.nextEntry(progressOf(serial, n))
		}, func() { c.step(e) })
	})
	measure(b, "snapshot_entry_bytes_by_job", encodedBytes, "job with 200 ended tasks", []int{20, 200}, func(b *testing.B, n int) float64 {
		snapshots, err := kernel.Find[*snapshots.Service](jobCell(b, n, 200).core.Kernel(), service.Snapshots)
		require.NoError(b, err)
		return constant(b, float64(entryBytes(b, snapshots.Take())))
	})
}
