package runtimes

import (
	"cmp"
	"math"
	"slices"
)

// QueueSummary is what has been learned of a queue.
type QueueSummary struct {
	Queue       string
	Samples     int     // runs observed, without loss of weight
	Median, P90 float64 // quantiles of the ratio of run time to estimate on a worker of ordinary speed
	Calibration float64 // part of the predictions by the 0.9 quantile that held; zero if there were none
}

// WorkerSummary is what has been learned of a worker.
type WorkerSummary struct {
	Worker   string
	Slowness float64
	Samples  int
}

// Queues returns what has been learned of each queue, those with most samples first.
func (m *Model) Queues() []QueueSummary {
	var out []QueueSummary
	for key, g := range m.groups.byUse() {
		if key.kind != byQueue {
			continue
		}
		q := QueueSummary{Queue: key.queue, Samples: g.observed,
			Median: math.Exp(g.ratios.median()), P90: math.Exp(g.ratios.quantile(0.9))}
		if g.total > 0 {
			q.Calibration = g.within / g.total
		}
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b QueueSummary) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Queue, b.Queue))
	})
	return out
}

// Workers returns what has been learned of each worker, in the order of their names.
func (m *Model) Workers() []WorkerSummary {
	var out []WorkerSummary
	for id, w := range m.workers.byUse() {
		out = append(out, WorkerSummary{Worker: id, Slowness: math.Exp(w.log), Samples: w.runs})
	}
	slices.SortFunc(out, func(a, b WorkerSummary) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// Calibration returns the part of the recent predictions of all queues by the 0.9
// quantile that held, or zero if there were none. Queues count by their recent runs.
func (m *Model) Calibration() float64 {
	held, total := 0.0, 0.0
	for key, g := range m.groups.byUse() {
		if key.kind == byQueue {
			held += g.within * g.ratios.samples()
			total += g.total * g.ratios.samples()
		}
	}
	if total == 0 {
		return 0
	}
	return held / total
}

// SlownessRange returns the least, the median and the greatest slowness of the workers
// that were observed, or ones if there are none.
func (m *Model) SlownessRange() (least, median, greatest float64) {
	m.speeds = m.speeds[:0]
	for w := range m.workers.all() {
		m.speeds = append(m.speeds, w.log)
	}
	if len(m.speeds) == 0 {
		return 1, 1, 1
	}
	slices.Sort(m.speeds)
	return math.Exp(m.speeds[0]), math.Exp(m.speeds[len(m.speeds)/2]), math.Exp(m.speeds[len(m.speeds)-1])
}
