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

// BenchmarkCell measures a cell of separate processes as its callers see it: requests
// per second, time to the answer and time to the start. Tasks run for 20 ms.
func BenchmarkCell(b *testing.B) {
	for _, size := range []struct{ instances, callers int }{{3, 16}, {9, 16}, {9, 128}} {
		b.Run(fmt.Sprintf("instances=%d/desks=%d", size.instances, size.callers), func(b *testing.B) {
			benchmarkCell(b, size.instances, size.callers)
		})
	}
}

func benchmarkCell(b *testing.B, instances, callers int) {
	c := startCell(b, "guild", instances)
	c.apply()
	cl := c.client(c.example.Secret("dublin-desk"))
	call := apiwire.Call{Queue: "dublin", Service: "no-steam-warning", Payload: json.RawMessage(`1`), Timeout: "20s"}
	var mu sync.Mutex
	answerTimes := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	waitTimes := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				answer, err := cl.Call(context.Background(), call, client.Identity{})
				took := time.Since(start)
				if err != nil {
					b.Errorf("call: %v", err)
					return
				}
				mu.Lock()
				_ = answerTimes.RecordValue(took.Microseconds())
				_ = waitTimes.RecordValue(max(answer.WaitedMS, 1))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(answerTimes.ValueAtQuantile(50))/1e3, "answer-p50-ms")
	b.ReportMetric(float64(answerTimes.ValueAtQuantile(99))/1e3, "answer-p99-ms")
	b.ReportMetric(float64(waitTimes.ValueAtQuantile(99)), "wait-p99-ms")
}
