package transport

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

// BenchmarkSend measures payloads of 256 bytes from Send to the peer's handler.
func BenchmarkSend(b *testing.B) {
	ca := devCA(b, "a")
	from, up := listen(b, ca, "entry-1", nil)
	to, received := listen(b, ca, "entry-2", nil)
	from.SetPeers(at("entry-2", to.Addr()))
	<-up.up
	const window = 1024
	b.ReportAllocs()
	b.ResetTimer()
	sent, arrived := 0, 0
	for arrived < b.N {
		for sent < b.N && sent-arrived < window {
			require.True(b, from.Send("entry-2", make([]byte, 256)))
			sent++
		}
		<-received.messages
		arrived++
	}
}

// BenchmarkHeartbeat measures what one dialled connection without payloads costs
// on the wire for each heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	ca := devCA(b, "a")
	to, _ := listen(b, ca, "entry-2", nil)
	between := newRelay(b, to.Addr())
	const heartbeat = 100 * time.Millisecond
	from, up := listen(b, ca, "entry-1", func(c *Config) { c.Heartbeat, c.DeadAfter = heartbeat, time.Minute })
	from.SetPeers(at("entry-2", between.front.LocalAddr().String()))
	<-up.up
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for range 20 { // path discovery is over by then
		<-ticker.C
	}
	bytes, count := between.bytes.Load(), between.count.Load()
	b.ResetTimer()
	for range b.N {
		<-ticker.C
	}
	b.ReportMetric(float64(between.bytes.Load()-bytes)/float64(b.N), "bytes/heartbeat")
	b.ReportMetric(float64(between.count.Load()-count)/float64(b.N), "datagrams/heartbeat")
}

// BenchmarkIdlePeers measures the memory of one dialled connection that carries
// nothing, both ends together.
func BenchmarkIdlePeers(b *testing.B) {
	ca := devCA(b, "a")
	to, _ := listen(b, ca, "entry-0", nil)
	before := memory()
	for i := range b.N {
		id := model.InstanceID("entry-" + strconv.Itoa(i+1))
		up := newRecorder(1)
		from, _ := listen(b, ca, id, func(c *Config) { c.Handler = up })
		from.SetPeers(at("entry-0", to.Addr()))
		<-up.up
	}
	b.ReportMetric(float64(memory()-before)/float64(b.N), "bytes/connection")
}

// memory returns the bytes of live heap and of stacks.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
