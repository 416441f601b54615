package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenbend/internal/client"
	apiwire "pollenbend/internal/httpapi/wire"
)

// BenchmarkCell measures callers' answers from a cell of separate processes:
// requests a second, time to the answer and time to the start. Tasks run for 20 ms.
func BenchmarkCell(b *testing.B) {
	for _, size := range []struct{ instances, desks int }{{3, 16}, {9, 16}, {9, 128}} {
		b.Run(fmt.Sprintf("instances=%d/desks=%d", size.instances, size.desks), func(b *testing.B) {
			benchmarkCell(b, size.instances, size.desks)
		})
	}
}

func benchmarkCell(b *testing.B, instances, desks int) {
	c := startCell(b, "guild", instances)
	c.apply()
	clients := c.client(c.example.Secret("dublin-desk"))
	call := apiwire.Call{Queue: "dublin", Service: "no-steam-warning", Payload: json.RawMessage(`1`), Timeout: "20s"}
	var mu sync.Mutex
	answered := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	waited := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ResetTimer()
	var group sync.WaitGroup
	for range desks {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				start := time.Now()
				answer, err := clients.Call(context.Background(), call, client.Identity{})
				took := time.Since(start)
				if err != nil {
					b.Errorf("call: %v", err)
					return
				}
				mu.Lock()
				_ = answered.RecordValue(took.Microseconds())
				_ = waited.RecordValue(max(answer.WaitedMS, 1))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(answered.ValueAtQuantile(50))/1e3, "answer-p50-ms")
	b.ReportMetric(float64(answered.ValueAtQuantile(99))/1e3, "answer-p99-ms")
	b.ReportMetric(float64(waited.ValueAtQuantile(99)), "wait-p99-ms")
}
