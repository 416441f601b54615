package node

import (
	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
)

// Stats are the counters and timers of one instance.
type Stats struct {
	Registry gometrics.Registry
	Events   gometrics.Counter // events handled by the engine
	Renewals gometrics.Counter // renewals sent to workers
	Advice   gometrics.Counter // calls to the adviser
	Append   gometrics.Timer   // time until a batch is stored
	Start    gometrics.Timer   // time until a worker answers a start command
}

// NewStats returns stats in a new registry.
func NewStats() *Stats {
	r := gometrics.NewRegistry()
	return &Stats{
		Registry: r,
		Events:   gometrics.NewRegisteredCounter(metrics.Name("cell_events_total"), r),
		Renewals: gometrics.NewRegisteredCounter(metrics.Name("cell_looks_total"), r),
		Advice:   gometrics.NewRegisteredCounter(metrics.Name("cell_advice_total"), r),
		Append:   gometrics.NewRegisteredTimer(metrics.Name("cell_append_seconds"), r),
		Start:    gometrics.NewRegisteredTimer(metrics.Name("cell_start_seconds"), r),
	}
}

// Answer returns the timer of the answers to callers with this method and status. It
// registers the timer at the first call.
func (s *Stats) Answer(method, status string) gometrics.Timer {
	name := metrics.Name("cell_answer_seconds", metrics.Label{Name: "method", Value: method}, metrics.Label{Name: "status", Value: status})
	return gometrics.GetOrRegisterTimer(name, s.Registry)
}
