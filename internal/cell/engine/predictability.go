package engine

import "pollenbend/internal/cell/policy"

// maxTailRatio is the 0.99 quantile of the run times of the tasks of a step relative to their median
// up to which reservations are made by expected ends. With a longer tail some run on the workers of
// a wide gang nearly always ends much later than expected, and the gang and all that is held for it
// wait for that run. The log-normal spreads of 0.15 to 0.3 that are usual give 1.4 to 2.0.
const maxTailRatio = 3

// measurePredictability determines for which services gangs reserve by expected ends.
func (e *Engine) measurePredictability() {
	for service, p := range e.pools {
		before := p.unpredictable
		p.unpredictable = false
		for i := range e.policy.Queues {
			q := &e.policy.Queues[i]
			if ratio, known := e.runtimes.TailRatio(q.Name); q.Service == service && known && ratio > maxTailRatio {
				p.unpredictable = true
			}
		}
		if p.unpredictable != before {
			e.log.Info("backfill changed", "service", service, "on", !p.unpredictable)
		}
	}
}

// backfills reports whether steps of q reserve resources for their expected start, and others run there
// until then. If not, gangs hold what is free, as without the feature.
func (e *Engine) backfills(q *policy.Queue) bool {
	if !e.cfg.Features.Backfill {
		return false
	}
	p := e.pools[q.Service]
	return p == nil || !p.unpredictable
}
