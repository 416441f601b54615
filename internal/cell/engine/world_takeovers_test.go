package engine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// injectTakeover has a new leader take over that does not reach a worker, with a probability of one in
// twenty. Commands of the earlier leader reach the worker late, which restarts before or after the
// takeover. Tasks that last longer than a lease start around the restart.
func (n *network) injectTakeover(r *rand.Rand) {
	if r.IntN(20) > 0 {
		return
	}
	submit := func() { n.w.submit("batch", "a", tasks(1+r.IntN(4), 500, 8*time.Second+upTo(r, 12*time.Second))) }
	id := n.w.ids[r.IntN(len(n.w.ids))]
	n.links[id].lateRatio = 1
	submit()
	n.w.after(100*time.Millisecond+upTo(r, time.Second), n.links[id].clear)
	restart := upTo(r, 3*time.Second)
	n.w.after(restart, func() {
		if slices.Contains(n.w.ids, id) {
			n.restart(id, upTo(r, 200*time.Millisecond), upTo(r, 15*time.Second))
		}
	})
	n.w.after(restart+upTo(r, time.Second), submit)
	lasts := simConfig().MaxCommandDelay + upTo(r, simConfig().MaxLease)
	lost := func() { n.links[id].silentUntil = n.w.now.Add(lasts) }
	takeover := time.Second + upTo(r, 3*time.Second)
	if n.orderlyEnds {
		n.w.after(takeover-500*time.Millisecond+upTo(r, time.Second), lost)
		n.endInOrder(takeover, upTo(r, 500*time.Millisecond))
		return
	}
	n.w.after(takeover, func() {
		lost()
		n.w.startLeader()
	})
}

// endInOrder asks the leader to end in order after a time, and has the next one begin once it has stored what it
// knows, or after the limit.
func (n *network) endInOrder(after, limit time.Duration) {
	n.w.after(after, func() {
		ending, begun := n.w.engine, false
		begin := func() {
			if !begun && n.w.engine == ending {
				begun = true
				n.w.startLeader()
			}
		}
		ending.Handle(n.w.now, &Conclude{Done: func() { n.w.after(simTick, begin) }})
		n.w.after(limit, begin)
	})
}
