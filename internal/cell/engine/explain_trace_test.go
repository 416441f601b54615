package engine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pollenbend/internal/cell/record"
)

// fingerprint describes the state of an engine that decisions depend on. Pointers stand for their
// identity, and the order in lists counts.
func (e *Engine) fingerprint() string {
	var b strings.Builder
	for _, w := range e.workerList {
		fmt.Fprintf(&b, "worker %+v\n", *w)
	}
	for _, id := range sortedKeys(e.jobs) {
		e.jobs[id].eachStep(func(s *stepState) {
			shown := *s
			shown.key = stepState{}.key // a round computes it before it uses it
			fmt.Fprintf(&b, "step %+v\n", shown)
			for segment := range record.Segments(len(s.tasks)) {
				fmt.Fprintf(&b, "segment %d %x\n", segment, record.Encode(s.segmentRecord(segment)))
			}
			for _, t := range s.tasks {
				fmt.Fprintf(&b, "task %+v\n", *t)
				for _, r := range t.runs {
					fmt.Fprintf(&b, "run %+v\n", *r)
				}
			}
			if s.advice != nil {
				fmt.Fprintf(&b, "advice %+v\n", *s.advice)
			}
			if s.reservation != nil {
				fmt.Fprintf(&b, "reservation %+v\n", *s.reservation)
			}
		})
	}
	describeValues(&b, e.pools)
	describeValues(&b, e.demands)
	describeValues(&b, e.hazards)
	describeValues(&b, e.entitlements)
	for _, d := range e.delegates {
		fmt.Fprintf(&b, "delegate %+v\n", *d)
	}
	e.contention.describe(&b)
	fmt.Fprintf(&b, "%d %d %d %d %d %v\n", e.backfilled, e.slipped, e.slippedInTerm, e.reserving, e.reservedCPU, e.modelUpkeep)
	fmt.Fprintf(&b, "%v %v %v %v %v %v %v %v %v %v %v %d %d %d\n", e.openSteps, e.usage, e.queued, e.coldWorkers, e.heldWorkers, e.goodShares,
		e.estimator, e.needsPlacement, e.placedAt, e.demandMeasuredAt, e.dirtySteps, len(e.actions), len(e.batch.Records), len(e.batch.onStored))
	fmt.Fprintf(&b, "%x %v", e.runtimes.Encode(), e.runtimes.Queues())
	return b.String()
}

// describe writes what decisions depend on.
func (c *contention) describe(b *strings.Builder) {
	if c == nil {
		return
	}
	fmt.Fprintf(b, "contention %+v\n", *c)
	for _, l := range c.classes {
		fmt.Fprintf(b, "class %+v\n", *l)
	}
	for _, r := range c.arrivals {
		fmt.Fprintf(b, "arrivals %+v\n", *r)
	}
	for _, r := range c.starts {
		fmt.Fprintf(b, "starts %+v\n", *r)
	}
	describeValues(b, c.teams)
	describeValues(b, c.rooms)
}

// describeValues writes what the values of m point to, in the order of the keys.
func describeValues[K cmp.Ordered, V any](b *strings.Builder, m map[K]*V) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(b, "%v %+v\n", k, *m[k])
	}
}
