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
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	submit := func() { n.w.submit("batch", "a", tasks(1+r.IntN(4), 500, 8*time.Second+upTo(12*time.Second))) }
	id := n.w.ids[r.IntN(len(n.w.ids))]
	n.links[id].lateRatio = 1
	submit()
	n.w.after(100*time.Millisecond+upTo(time.Second), n.links[id].clear)
	restart := upTo(3 * time.Second)
	n.w.after(restart, func() {
		if slices.Contains(n.w.ids, id) {
			n.restart(id, upTo(200*time.Millisecond), upTo(15*time.Second))
		}
	})
	n.w.after(restart+upTo(time.Second), submit)
	lasts := simConfig().MaxCommandDelay + upTo(simConfig().MaxLease)
	n.w.after(time.Second+upTo(3*time.Second), func() {
		n.links[id].silentUntil = n.w.now.Add(lasts)
		n.w.startLeader()
	})
}
