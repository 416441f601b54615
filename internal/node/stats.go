package node

import (
	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
)

// stats are the metrics of the node and its core. docs/OPERATING.md says which of
// them are worth an alarm.
type stats struct {
	steps   gometrics.Timer   // time of one step of the core
	unsent  gometrics.Counter // messages without a connection or room in its queue
	inbox   gometrics.Gauge
	open    gometrics.Gauge
	busy    gometrics.Gauge
	shards  gometrics.Gauge
	holding gometrics.Gauge
	covered gometrics.Gauge
	free    gometrics.Gauge
	version gometrics.Gauge
	applied gometrics.Gauge
	ready   gometrics.Gauge
}

func newStats(r gometrics.Registry) stats {
	gauge := func(name string) gometrics.Gauge { return gometrics.GetOrRegisterGauge(metrics.Name(name), r) }
	return stats{
		steps:   gometrics.GetOrRegisterTimer(metrics.Name("core_step_seconds"), r),
		unsent:  gometrics.GetOrRegisterCounter(metrics.Name("peer_messages_unsent_total"), r),
		inbox:   gauge("core_inbox_events"),
		open:    gauge("callers_waiting"),
		busy:    gauge("requests_open"),
		shards:  gauge("shards_owned"),
		holding: gauge("workers_held"),
		covered: gauge("workers_leased"),
		free:    gauge("worker_slots_free"),
		version: gauge("config_version"),
		applied: gauge("log_offset_applied"),
		ready:   gauge("ready"),
	}
}

func (s stats) update(v *View, inbox int) {
	s.inbox.Update(int64(inbox))
	s.open.Update(int64(v.Open))
	s.busy.Update(int64(v.Busy))
	s.shards.Update(int64(v.Shards))
	s.holding.Update(int64(v.Holding))
	s.covered.Update(int64(v.Covered))
	s.free.Update(v.Free.Slots)
	s.version.Update(int64(v.Version))
	s.applied.Update(int64(v.Applied))
	s.ready.Update(0)
	if v.Ready {
		s.ready.Update(1)
	}
}
