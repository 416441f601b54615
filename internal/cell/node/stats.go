package node

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/cell/engine"
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

	EntriesIgnored  gometrics.Counter // entries of the directory that name no worker to use
	WorkersEnded    gometrics.Counter // workers with runs that refused connections
	RecordsRejected gometrics.Counter // records that the store has rejected for good
	TasksSuspected  gometrics.Counter // crashes of which a task is suspected
	JobsGivenUp     gometrics.Counter // jobs that failed as their tasks crash workers

	WorkersEvacuated   gometrics.Gauge        // workers in evacuated availability zones, on the leader
	RunsEvacuated      gometrics.Gauge        // runs that are left on them
	RuntimeCalibration gometrics.GaugeFloat64 // part of the runs that ended within the 0.9 quantile of their expected run time
	RuntimeSamples     gometrics.Counter      // runs from which run times were learned
	LeastSlowness      gometrics.GaugeFloat64 // of the workers, as learned
	MedianSlowness     gometrics.GaugeFloat64
	MostSlowness       gometrics.GaugeFloat64
	Reservations       gometrics.Gauge   // steps with a reservation in the last placement round
	BackfilledRuns     gometrics.Counter // runs planned on reserved resources
	ReservationSlips   gometrics.Counter // reservations whose start was expected too late
	PreemptedRuns      gometrics.Counter // runs stopped for steps of higher priorities
}

// NewStats returns stats in a new registry.
func NewStats() *Stats {
	r := gometrics.NewRegistry()
	s := &Stats{
		Registry: r,
		Events:   gometrics.NewRegisteredCounter(metrics.Name("cell_events_total"), r),
		Renewals: gometrics.NewRegisteredCounter(metrics.Name("cell_looks_total"), r),
		Advice:   gometrics.NewRegisteredCounter(metrics.Name("cell_advice_total"), r),
		Append:   gometrics.NewRegisteredTimer(metrics.Name("cell_append_seconds"), r),
		Start:    gometrics.NewRegisteredTimer(metrics.Name("cell_start_seconds"), r),

		EntriesIgnored:  gometrics.NewRegisteredCounter(metrics.Name("cell_worker_entries_ignored_total"), r),
		WorkersEnded:    gometrics.NewRegisteredCounter(metrics.Name("cell_workers_ended_total"), r),
		RecordsRejected: gometrics.NewRegisteredCounter(metrics.Name("cell_records_rejected_total"), r),
		TasksSuspected:  gometrics.NewRegisteredCounter(metrics.Name("cell_tasks_suspected_total"), r),
		JobsGivenUp:     gometrics.NewRegisteredCounter(metrics.Name("cell_jobs_given_up_total"), r),

		WorkersEvacuated:   gometrics.NewRegisteredGauge(metrics.Name("cell_workers_evacuated"), r),
		RunsEvacuated:      gometrics.NewRegisteredGauge(metrics.Name("cell_runs_evacuated"), r),
		RuntimeCalibration: gometrics.NewRegisteredGaugeFloat64(metrics.Name("cell_runtime_calibration_ratio"), r),
		RuntimeSamples:     gometrics.NewRegisteredCounter(metrics.Name("cell_runtime_samples_total"), r),
		LeastSlowness:      newSlownessGauge("minimum", r),
		MedianSlowness:     newSlownessGauge("median", r),
		MostSlowness:       newSlownessGauge("maximum", r),
		Reservations:       gometrics.NewRegisteredGauge(metrics.Name("cell_reservations"), r),
		BackfilledRuns:     gometrics.NewRegisteredCounter(metrics.Name("cell_backfilled_runs_total"), r),
		ReservationSlips:   gometrics.NewRegisteredCounter(metrics.Name("cell_reservation_slips_total"), r),
		PreemptedRuns:      gometrics.NewRegisteredCounter(metrics.Name("cell_preempted_runs_total"), r),
	}
	for _, reason := range engine.RefusalLabels() {
		s.refused(reason) // shown before the first refusal
	}
	return s
}

// newSlownessGauge returns a gauge of the slowness of the workers, in a new registry entry
// with the given label.
func newSlownessGauge(of string, r gometrics.Registry) gometrics.GaugeFloat64 {
	return gometrics.NewRegisteredGaugeFloat64(metrics.Name("cell_worker_slowness", metrics.Label{Name: "of", Value: of}), r)
}

// reportRuntimes sets the metrics of the learned run times.
func (s *Stats) reportRuntimes(r engine.RuntimeReport) {
	s.RuntimeCalibration.Update(r.Calibration)
	s.RuntimeSamples.Inc(int64(r.NewSamples))
	s.LeastSlowness.Update(r.LeastSlowness)
	s.MedianSlowness.Update(r.MedianSlowness)
	s.MostSlowness.Update(r.MostSlowness)
}

// otherMethod is the label of methods that the handler for callers does not know. Callers choose
// the method, and a timer is kept for each.
const otherMethod = "other"

// Answer returns the timer of the answers to callers with this method and status. It
// registers the timer at the first call.
func (s *Stats) Answer(method, status string) gometrics.Timer {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
	default:
		method = otherMethod
	}
	name := metrics.Name("cell_answer_seconds", metrics.Label{Name: "method", Value: method}, metrics.Label{Name: "status", Value: status})
	return gometrics.GetOrRegisterTimer(name, s.Registry)
}

// reportEvacuated sets the numbers of workers in evacuated availability zones and of their
// runs.
func (s *Stats) reportEvacuated(workers, runs int) {
	s.WorkersEvacuated.Update(int64(workers))
	s.RunsEvacuated.Update(int64(runs))
}

// refused returns the counter of the jobs that are refused for a reason.
func (s *Stats) refused(reason string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(metrics.Name("cell_refused_jobs_total", metrics.Label{Name: "reason", Value: reason}), s.Registry)
}

// countRefused counts a refused job.
func (s *Stats) countRefused(reason string) {
	s.refused(reason).Inc(1)
}

// countCrash counts an event of the engine.
func (s *Stats) countCrash(event engine.CrashEvent) {
	switch event {
	case engine.WorkerEnded:
		s.WorkersEnded.Inc(1)
	case engine.TaskSuspected:
		s.TasksSuspected.Inc(1)
	case engine.JobGivenUp:
		s.JobsGivenUp.Inc(1)
	}
}

// countReservations counts an event of the engine.
func (s *Stats) countReservations(event engine.ReservationEvent, n int) {
	switch event {
	case engine.StepsReserving:
		s.Reservations.Update(int64(n))
	case engine.RunBackfilled:
		s.BackfilledRuns.Inc(int64(n))
	case engine.ReservationSlipped:
		s.ReservationSlips.Inc(int64(n))
	}
}

// countPreempted counts a run that is stopped for a step of a higher priority.
func (s *Stats) countPreempted() { s.PreemptedRuns.Inc(1) }
