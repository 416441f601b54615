package transport

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

// BenchmarkSend measures the throughput of 256-byte payloads from Send to the
// peer's handler.
func BenchmarkSend(b *testing.B) {
	ca := devCA(b, "a")
	from, senderEvents := listen(b, ca, "entry-1", nil)
	to, receiverEvents := listen(b, ca, "entry-2", nil)
	from.SetPeers(peerAt("entry-2", to.Addr()))
	<-senderEvents.up
	const window = 1024
	b.ReportAllocs()
	b.ResetTimer()
	sent, arrived := 0, 0
	for arrived < b.N {
		for sent < b.N && sent-arrived < window {
			require.True(b, from.Send("entry-2", make([]byte, 256)))
			sent++
		}
		<-receiverEvents.messages
		arrived++
	}
}

// BenchmarkHeartbeat measures the network traffic of one dialled connection
// without payloads for each heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	ca := devCA(b, "a")
	to, _ := listen(b, ca, "entry-2", nil)
	proxy := newUDPProxy(b, to.Addr())
	const heartbeat = 100 * time.Millisecond
	from, events := listen(b, ca, "entry-1", func(c *Config) { c.Heartbeat, c.DeadAfter = heartbeat, time.Minute })
	from.SetPeers(peerAt("entry-2", proxy.frontSocket.LocalAddr().String()))
	<-events.up
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for range 20 { // until path MTU discovery has finished
		<-ticker.C
	}
	bytes, count := proxy.forwardedBytes.Load(), proxy.forwardedDatagrams.Load()
	b.ResetTimer()
	for range b.N {
		<-ticker.C
	}
	b.ReportMetric(float64(proxy.forwardedBytes.Load()-bytes)/float64(b.N), "bytes/heartbeat")
	b.ReportMetric(float64(proxy.forwardedDatagrams.Load()-count)/float64(b.N), "datagrams/heartbeat")
}

// BenchmarkIdlePeers measures the memory of one idle dialled connection, both
// ends together.
func BenchmarkIdlePeers(b *testing.B) {
	ca := devCA(b, "a")
	to, _ := listen(b, ca, "entry-0", nil)
	before := memoryInUse()
	for i := range b.N {
		id := model.InstanceID("entry-" + strconv.Itoa(i+1))
		events := newRecorder(1)
		from, _ := listen(b, ca, id, func(c *Config) { c.Handler = events })
		from.SetPeers(peerAt("entry-0", to.Addr()))
		<-events.up
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N), "bytes/connection")
}

// memoryInUse returns the bytes in use by the heap and by stacks, after a
// garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
