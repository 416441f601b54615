package engine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// cut parts a worker from the engine, which sees its connections end and new ones refused. The
// worker works on.
func (n *network) cut(id string, d time.Duration) {
	l := n.links[id]
	if until := n.w.now.Add(d); until.After(l.refusesUntil) {
		l.refusesUntil = until
	}
	n.endOpenCalls(id)
}

// endOpenCalls ends the calls that have arrived at a worker and have no answer.
func (n *network) endOpenCalls(id string) {
	for _, c := range n.open[id] {
		n.w.after(n.links[id].delay(n.rand), func() { n.answer(c, c.unanswered) })
	}
	n.open[id] = nil
}

// injectCut cuts some workers off, with a probability of an eighth. Some of them restart
// behind the cut.
func (n *network) injectCut(r *rand.Rand) {
	if r.IntN(8) > 0 {
		return
	}
	share := r.Float64()
	ids := slices.DeleteFunc(slices.Clone(n.w.ids), func(string) bool { return r.Float64() >= share })
	for _, id := range ids {
		length := upTo(r, 4*time.Second)
		if r.IntN(6) == 0 {
			length += simConfig().Lease // longer than a lease
		}
		n.cut(id, length)
		if r.IntN(3) == 0 {
			n.w.after(upTo(r, length), func() {
				if !slices.Contains(n.w.ids, id) {
					return // it is gone for good
				}
				// To the engine, a single worker seems to crash when it is cut off.
				n.rules.crashed(n.w.workers[id], len(ids) >= minSharedCrashes, length)
				n.restart(id, upTo(r, time.Second), upTo(r, 3*time.Second))
			})
		}
	}
}
