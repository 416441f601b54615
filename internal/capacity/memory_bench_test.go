package capacity

import (
	"fmt"
	"testing"

	"pollenbend/internal/event"
)

const memoryBytes = "bytes"

func BenchmarkCapacityMemory(b *testing.B) {
	cellMemory := func(b *testing.B, size cellSize) float64 {
		return memory(b, func() *cell { return newCell(b, size) })
	}
	const peers = 20
	measure(b, "member_memory_by_team", memoryBytes, "team", []int{0, 60, 170}, func(b *testing.B, n int) float64 {
		alone := memoryHeldBy(func() *cell { return newCell(b, cellSize{instances: 1, teams: n}) })
		return (cellMemory(b, cellSize{instances: 1 + peers, teams: n}) - alone) / peers
	})
	measure(b, "held_worker_memory", memoryBytes, "worker", []int{100, 1000}, func(b *testing.B, n int) float64 {
		return cellMemory(b, cellSize{instances: 1, workers: n})
	})
	measure(b, "listed_worker_memory", memoryBytes, "worker", []int{1200, 12000}, func(b *testing.B, n int) float64 {
		return cellMemory(b, cellSize{instances: 2, workers: n, withoutShards: true})
	})
	measure(b, "running_task_memory", memoryBytes, "task", []int{500, 4000}, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell {
			c := newCell(b, cellSize{instances: 1, workers: 100, teams: 1})
			for range n {
				c.lastHandle++
				c.handleAction(c.startRequest())
			}
			return c
		})
	})
	measure(b, "finished_request_memory", memoryBytes, "request", []int{500, 4000}, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell {
			c := newCell(b, cellSize{instances: 1, workers: 10, teams: 1})
			c.completeCalls(n)
			return c
		})
	})
	measure(b, "waiting_request_memory", memoryBytes, "request", []int{500, 4000}, func(b *testing.B, n int) float64 {
		return memory(b, func() *cell { return waitingCell(b, n) })
	})
	measure(b, "declaration_memory_by_team", memoryBytes, "team", []int{17, 170}, func(b *testing.B, n int) float64 {
		return cellMemory(b, cellSize{instances: 1, teams: n})
	})
	measure(b, "time_line_memory", memoryBytes, "event", []int{100, 4000}, func(b *testing.B, n int) float64 {
		return memory(b, func() *event.Env {
			env := event.NewEnv(instanceOf(0), timing, 1)
			for i := range n {
				env.Note(event.Note{Kind: "shard-moved", Subject: fmt.Sprintf("shard/%d", i%256), Detail: fmt.Sprintf("%s -> %s", instanceRefOf(i%99).Instance, instanceRefOf(i%98).Instance)})
				env.Begin(0)
			}
			return env
		})
	})
}
