package node

import (
	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
)

// stats are the metrics of the node and its core. docs/OPERATING.md says which of
// them are worth an alarm.
type stats struct {
	stepDuration   gometrics.Timer   // duration of one step of the core
	unsentMessages gometrics.Counter // messages dropped for lack of a connection or because its queue was full
	inboxEvents    gometrics.Gauge
	waitingCallers gometrics.Gauge
	openRequests   gometrics.Gauge
	ownedShards    gometrics.Gauge
	heldWorkers    gometrics.Gauge
	leasedWorkers  gometrics.Gauge
	freeTaskSlots  gometrics.Gauge
	configVersion  gometrics.Gauge
	appliedOffset  gometrics.Gauge
	ready          gometrics.Gauge
}

func newStats(r gometrics.Registry) stats {
	gauge := func(name string) gometrics.Gauge { return gometrics.GetOrRegisterGauge(metrics.Name(name), r) }
	return stats{
		stepDuration:   gometrics.GetOrRegisterTimer(metrics.Name("core_step_seconds"), r),
		unsentMessages: gometrics.GetOrRegisterCounter(metrics.Name("peer_messages_unsent_total"), r),
		inboxEvents:    gauge("core_inbox_events"),
		waitingCallers: gauge("callers_waiting"),
		openRequests:   gauge("requests_open"),
		ownedShards:    gauge("shards_owned"),
		heldWorkers:    gauge("workers_held"),
		leasedWorkers:  gauge("workers_leased"),
		freeTaskSlots:  gauge("worker_slots_free"),
		configVersion:  gauge("config_version"),
		appliedOffset:  gauge("log_offset_applied"),
		ready:          gauge("ready"),
	}
}

func (s stats) update(v *View, inboxLen int) {
	s.inboxEvents.Update(int64(inboxLen))
	s.waitingCallers.Update(int64(v.WaitingCallers))
	s.openRequests.Update(int64(v.OpenRequests))
	s.ownedShards.Update(int64(v.OwnedShards))
	s.heldWorkers.Update(int64(v.HeldWorkers))
	s.leasedWorkers.Update(int64(v.LeasedWorkers))
	s.freeTaskSlots.Update(v.Free.Slots)
	s.configVersion.Update(int64(v.ConfigVersion))
	s.appliedOffset.Update(int64(v.AppliedOffset))
	s.ready.Update(0)
	if v.Ready {
		s.ready.Update(1)
	}
}
