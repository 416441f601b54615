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

func newJob(i, count int) wire.JobAccepted {
	return wire.JobAccepted{Job: model.Job{
		ID: model.JobID(fmt.Sprintf("job-%028d", i)), Count: count, Template: taskOf("", teamOf(0)),
	}}
}

// newProgress returns the record that ends the first n tasks of job i.
func newProgress(i, n int) wire.JobProgress {
	p := wire.JobProgress{Team: teamOf(0), Job: newJob(i, 0).Job.ID}
	for t := range n {
		p.Done = append(p.Done, t)
	}
	return p
}

// jobCell returns a cell whose instance owns no shard and has applied the records
// of a number of jobs, each with a number of ended tasks.
func jobCell(tb testing.TB, jobs, ended int) *cell {
	c := newCell(tb, cellSize{instances: 2, teams: 1, withoutShards: true})
	for i := range jobs {
		c.appendEntry(newJob(i, ended+1), newProgress(i, ended))
	}
	return c
}

// BenchmarkCapacityJobs measures the cost of the jobs of the whole cell at every
// instance, whether or not it owns their shards. The memory includes the raw entries
// that the core keeps for its peers.
func BenchmarkCapacityJobs(b *testing.B) {
	jobs, tasks := []int{200, 2000}, []int{10, 1000}
	measure(b, "job_memory", memoryBytes, "job", jobs, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell { return jobCell(b, n, 0) })
	})
	const jobCount = 100
	measure(b, "job_memory_by_ended_task", memoryBytes, "ended task", tasks, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell { return jobCell(b, jobCount, n) }) / jobCount
	})
	measure(b, "tick_ns_by_job", nanoseconds, "job", jobs, func(b *testing.B, n int) float64 {
		c := jobCell(b, n, 0)
		return threadTimePerOp(b, func() { c.step(event.Tick{}) })
	})
	measure(b, "progress_bytes_by_task", encodedBytes, "ended task", tasks, func(b *testing.B, n int) float64 {
		return fixedValue(b, float64(entryBytes(b, newProgress(0, n))))
	})
	measure(b, "progress_take_ns_by_task", nanoseconds, "ended task", tasks, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 2, teams: 1, withoutShards: true})
		serial := 0
		var e event.LogRead
		return medianAfterSetup(b, func() {
			serial++
			c.appendEntry(newJob(serial, n+1))
			e = c.nextEntry(newProgress(serial, n))
		}, func() { c.step(e) })
	})
	measure(b, "snapshot_entry_bytes_by_job", encodedBytes, "job with 200 ended tasks", []int{20, 200}, func(b *testing.B, n int) float64 {
		snapshots, err := kernel.Find[*snapshots.Service](jobCell(b, n, 200).core.Kernel(), service.Snapshots)
		require.NoError(b, err)
		return fixedValue(b, float64(entryBytes(b, snapshots.TakeSnapshot())))
	})
}
