package transport

import (
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
)

// stats counts what one transport does.
type stats struct {
	sent          gometrics.Counter
	sentBytes     gometrics.Counter
	received      gometrics.Counter
	receivedBytes gometrics.Counter
	refused       gometrics.Counter
	refusedPeers  gometrics.Counter
	dialFailures  gometrics.Counter
	silent        gometrics.Counter
	open          *atomic.Int64 // dialled connections
}

func newStats(r gometrics.Registry) stats {
	counter := func(base string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter(metrics.Name(base), r)
	}
	open := new(atomic.Int64)
	_ = r.Register(metrics.Name("peer_connections"), gometrics.NewFunctionalGauge(open.Load))
	return stats{
		sent:          counter("peer_messages_sent_total"),
		sentBytes:     counter("peer_bytes_sent_total"),
		received:      counter("peer_messages_received_total"),
		receivedBytes: counter("peer_bytes_received_total"),
		refused:       counter("peer_sends_refused_total"),
		refusedPeers:  counter("peer_connections_refused_total"),
		dialFailures:  counter("peer_dial_failures_total"),
		silent:        counter("peer_connections_silent_total"),
		open:          open,
	}
}
