package engine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// injectRecut restarts some workers under their ids and cuts them off soon after, with a probability of one in ten,
// while tasks that last longer than a lease run. Calls to the earlier incarnation arrive in the next one: in time, as the leader
// doesn't know of the restart yet, or late. The cut takes the calls, or only their answers. The next
// leader may take over in between, and the same workers may restart again.
func (n *network) injectRecut(r *rand.Rand) {
	if r.IntN(10) > 0 {
		return
	}
	submit := func() {
		n.w.submit([]string{"batch", "urgent"}[r.IntN(2)], "a", tasks(1+r.IntN(6), 500, upTo(r, 3*time.Second)+time.Duration(r.IntN(2))*upTo(r, 15*time.Second)))
	}
	ids := slices.Clone(n.w.ids)
	r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	for _, id := range ids[:min(len(ids), 1+r.IntN(3))] {
		l := n.links[id]
		l.lateRatio, l.lostReplyRatio = 0.6*r.Float64(), 0.6*r.Float64()
		restart := upTo(r, 2*time.Second)
		n.w.after(restart, func() {
			if slices.Contains(n.w.ids, id) {
				n.restart(id, upTo(r, 600*time.Millisecond), upTo(r, 15*time.Second))
			}
		})
		answersOnly, lasts := r.IntN(2) == 0, time.Second+upTo(r, 9*time.Second)
		n.w.after(restart+upTo(r, 2*time.Second), func() {
			if answersOnly {
				l.clear()
				l.lostReplyRatio = 1
				return
			}
			l.silentUntil = n.w.now.Add(lasts)
		})
		n.w.after(restart+2*time.Second+lasts, l.clear)
	}
	submit()
	n.w.after(upTo(r, 3*time.Second), submit)
	if r.IntN(3) == 0 {
		n.w.after(upTo(r, 4*time.Second), n.w.startLeader)
	}
}

// Issue 54: workers that start again under their ids take calls meant for their earlier incarnation, and are cut off soon
// after, while long tasks run.
func TestRandomRefusalsWithRestartsBeforeCuts(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, recuts: true})
}
