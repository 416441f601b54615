package engine

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// isolatedLeader is a replaced leader that neither the store nor the other instances reach. It goes on with the workers.
type isolatedLeader struct {
	engine *Engine
	until  time.Time
	only   string    // worker that no other leader reaches
	cut    time.Time // until when
}

// isolateLeader replaces the leader by another one that doesn't reach a worker for some time. The old one goes on for as
// long as its successor expects, or less.
func (n *network) isolateLeader(goesOn time.Duration, only string, lasts time.Duration) {
	if n.calm {
		return
	}
	n.isolated = append(n.isolated, &isolatedLeader{n.w.engine, n.w.now.Add(goesOn), only, n.w.now.Add(lasts)})
	n.w.startLeader()
}

// hears reports whether the answer to a call reaches e, which leads or is isolated.
func (n *network) hears(e *Engine) bool {
	return e == n.w.engine || slices.ContainsFunc(n.isolated, func(l *isolatedLeader) bool { return l.engine == e && !n.w.now.After(l.until) })
}

// cutOffFrom reports whether a worker is out of reach for e, as only an isolated leader reaches it.
func (n *network) cutOffFrom(e *Engine, worker string) bool {
	return slices.ContainsFunc(n.isolated, func(l *isolatedLeader) bool {
		return l.only == worker && l.engine != e && n.w.now.Before(l.cut)
	})
}

// settleIsolated has the isolated leaders call the workers. Their calls to the store get no answer.
func (n *network) settleIsolated() {
	for _, l := range n.isolated {
		if n.w.now.After(l.until) {
			continue
		}
		for _, a := range l.engine.Settle(n.w.now) {
			switch a.(type) {
			case *Start, *Stop, *Renew:
				n.execute(l.engine, a)
			}
		}
	}
}

// injectIsolatedLeader isolates the leader with a probability of one in fifteen, while long tasks run that were started
// just before. The worker that only this one reaches, and whose calls come late, may restart.
func (n *network) injectIsolatedLeader(r *rand.Rand) {
	if r.IntN(15) > 0 {
		return
	}
	submit := func() {
		n.w.submit([]string{"batch", "advised"}[r.IntN(2)], "a", tasks(1+r.IntN(5), 500, upTo(r, 25*time.Second)))
	}
	id, goesOn, lasts := n.w.ids[r.IntN(len(n.w.ids))], upTo(r, maxSimOverlap), upTo(r, 30*time.Second)
	submit()
	n.w.after(upTo(r, 3*time.Second), submit)
	if r.IntN(2) == 0 {
		n.links[id].lateRatio = r.Float64()
		n.w.after(upTo(r, 4*time.Second), n.links[id].clear)
	}
	n.w.after(upTo(r, 4*time.Second), func() { n.isolateLeader(goesOn, id, lasts) })
	if r.IntN(2) == 0 {
		n.w.after(upTo(r, 12*time.Second), func() {
			if slices.Contains(n.w.ids, id) {
				n.restart(id, upTo(r, 600*time.Millisecond), upTo(r, 15*time.Second))
			}
		})
	}
}

func TestRandomRefusalsWithIsolatedLeaders(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, isolated: true})
}

// Besides, workers restart and are cut off, and new leaders don't reach them.
func TestRandomRefusalsWithIsolatedLeadersAndRecuts(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, isolated: true, recuts: true, takeovers: true})
}
