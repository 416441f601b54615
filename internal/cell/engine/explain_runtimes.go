package engine

import (
	"cmp"
	"maps"
	"slices"
)

// describeRuntimes answers what has been learned of run times.
func (e *Engine) describeRuntimes(ev *Runtimes) {
	if !e.mayExplain() {
		ev.Reply(Answer{Outcome: Refused, Why: "busy with other explanations", RetryAfter: explanationWindow})
		return
	}
	x := &RuntimeSummary{Calibration: rounded(e.runtimes.Calibration())}
	for _, q := range e.runtimes.Queues() {
		x.QueueCount++
		if x.QueueCount <= maxSummarizedQueues {
			x.Queues = append(x.Queues, QueueRuntimes{q.Queue, q.Samples, rounded(q.Median), rounded(q.P90), rounded(q.Calibration)})
		}
	}
	least, median, most := e.runtimes.SlownessRange()
	x.Slowness = SlownessRange{rounded(least), rounded(median), rounded(most)}
	x.Classes, x.Reservations = e.speedClasses(), e.summarizeReservations()
	var workers []WorkerSpeed
	for _, w := range e.runtimes.Workers() {
		workers = append(workers, WorkerSpeed{w.Worker, rounded(w.Slowness), w.Samples})
	}
	x.Workers = len(workers)
	slices.SortStableFunc(workers, func(a, b WorkerSpeed) int { return cmp.Compare(b.Slowness, a.Slowness) })
	n := min(len(workers), maxListedWorkers)
	x.Slowest = slices.Clone(workers[:n])
	x.Fastest = slices.Clone(workers[len(workers)-n:])
	slices.Reverse(x.Fastest)
	ev.Reply(Answer{Outcome: OK, Runtimes: x})
}

// speedClasses returns the classes into which the workers of each service are divided.
func (e *Engine) speedClasses() []SpeedClass {
	if !e.cfg.Features.SpeedPlacement {
		return nil
	}
	var out []SpeedClass
	for _, service := range slices.Sorted(maps.Keys(e.pools)) {
		p := e.pools[service]
		for class := range p.speeds.Count() {
			out = append(out, SpeedClass{service, rounded(p.speeds.Slowness(class)), p.classSize(class)})
		}
	}
	return out
}

// summarizeReservations returns what waiting steps have reserved, or nil without the feature.
func (e *Engine) summarizeReservations() *ReservationSummary {
	if !e.cfg.Features.Backfill {
		return nil
	}
	x := &ReservationSummary{Steps: e.reserving, CPU: e.reservedCPU, Slipped: e.slippedInTerm}
	for _, s := range e.openSteps {
		if s.open() && s.reservation != nil && s.reservation.strict {
			x.Strict++
		}
	}
	return x
}
