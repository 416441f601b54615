package transport

import (
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
)

// stats holds the metrics of one transport.
type stats struct {
	sent               gometrics.Counter
	sentBytes          gometrics.Counter
	received           gometrics.Counter
	receivedBytes      gometrics.Counter
	sendsRefused       gometrics.Counter
	connectionsRefused gometrics.Counter
	dialFailures       gometrics.Counter
	heartbeatTimeouts  gometrics.Counter
	openConnections    *atomic.Int64 // dialled connections
}

func newStats(r gometrics.Registry) stats {
	counter := func(base string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter(metrics.Name(base), r)
	}
	openConnections := new(atomic.Int64)
	_ = r.Register(metrics.Name("peer_connections"), gometrics.NewFunctionalGauge(openConnections.Load))
	return stats{
		sent:               counter("peer_messages_sent_total"),
		sentBytes:          counter("peer_bytes_sent_total"),
		received:           counter("peer_messages_received_total"),
		receivedBytes:      counter("peer_bytes_received_total"),
		sendsRefused:       counter("peer_sends_refused_total"),
		connectionsRefused: counter("peer_connections_refused_total"),
		dialFailures:       counter("peer_dial_failures_total"),
		heartbeatTimeouts:  counter("peer_connections_silent_total"),
		openConnections:    openConnections,
	}
}
