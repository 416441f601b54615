package node

import (
	"context"
	"time"
)

// considerHandover hands over when the store turns this leader away but not others, or
// when a much stronger instance could lead.
func (l *leader) considerHandover(live []*armState) {
	failing := l.failing.Load()
	refused := failing != 0 && time.Since(l.n.born)-time.Duration(failing) > refusedBeforeHandover
	silent := l.n.since(&l.n.storeSeen)
	cutOff := refused || silent > silentBeforeHandover
	if !cutOff {
		l.onlyWeak = time.Time{}
		l.yieldToStronger(live)
		return
	}
	best := l.strongestThat(live, func(a *armState) bool { return a.StoreAge+time.Since(a.at) <= silent-armStoreMargin })
	if best == nil {
		l.onlyWeak = time.Time{}
		return
	}
	if weak(best.CPUShare, strongest(live, l.n.set.CPUShare)) {
		if l.onlyWeak.IsZero() {
			l.onlyWeak = time.Now()
		}
		if time.Since(l.onlyWeak) < waitForStrong {
			return
		}
	}
	if l.reachesStore() {
		return // it has come back here as well
	}
	l.handOver(best)
}

// probeTimeout bounds a try of the store, many times what a sound store takes.
const probeTimeout = 200 * time.Millisecond

// reachesStore tries whether the store answers this leader again.
func (l *leader) reachesStore() bool {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	if _, _, _, _, err := l.n.readLeadership(ctx); err != nil {
		l.n.log.Debug("store probed in vain", "term", l.rec.Term, "reason", err.Error())
		return false
	}
	l.seen()
	return true
}

// strongest returns the largest share of a core of the instances in live and of own.
func strongest(live []*armState, own float64) float64 {
	for _, a := range live {
		own = max(own, a.CPUShare)
	}
	return own
}

// weak reports whether an instance with that share of a core should leave the
// leadership to the strongest of its cell.
func weak(share, strongest float64) bool { return share < strongest/strongerFactor }

const (
	// strongerFactor is how much more of a core an instance must have to count as
	// stronger than another.
	strongerFactor = 1.5
	// waitForStrong is how long only weak instances must have reached the store before
	// a leader that does not hands over to one of them. They take seconds to load the
	// state of a large cell.
	waitForStrong = 2500 * time.Millisecond
	// settledTerm is how long a term lasts at least before it is handed to a stronger
	// instance.
	settledTerm = 2 * time.Second
)

// yieldToStronger hands over to an instance that is much stronger, if there is one
// that reaches the store.
func (l *leader) yieldToStronger(live []*armState) {
	if time.Since(l.begun) < settledTerm {
		return
	}
	best := l.strongestThat(live, func(a *armState) bool {
		return a.CPUShare >= l.n.set.CPUShare*strongerFactor && a.StoreAge <= storeAway
	})
	if best != nil {
		l.handOver(best)
	}
}

// strongestThat returns the arm with the most processor of those that fit, other than
// this instance, or nil.
func (l *leader) strongestThat(live []*armState, fits func(*armState) bool) *armState {
	var best *armState
	for _, a := range live {
		if a.Instance != l.n.set.Instance && fits(a) && (best == nil || a.CPUShare > best.CPUShare) {
			best = a
		}
	}
	return best
}

// successor returns the strongest instance that reaches the store, or nil if only
// much weaker ones do.
func (l *leader) successor() *armState {
	live := l.liveArms()
	best := l.strongestThat(live, func(a *armState) bool { return a.StoreAge+time.Since(a.at) <= storeAway })
	if best != nil && weak(best.CPUShare, strongest(live, l.n.set.CPUShare)) {
		return nil
	}
	return best
}

// handOver has an instance claim the leadership, and ends the term here. It reports
// whether that instance was reached.
func (l *leader) handOver(to *armState) bool {
	ctx, cancel := context.WithTimeout(l.ctx, pingTimeout)
	defer cancel()
	if err := l.n.peers.Get(to.Address).Call(ctx, serviceName+".TakeOver", &struct{}{}, &struct{}{}); err != nil {
		l.n.log.Warn("handover failed", "to", to.Instance, "reason", err.Error())
		return false
	}
	l.n.log.Info("handed over", "to", to.Instance, "term", l.rec.Term, "store_silent_ms", l.n.since(&l.n.storeSeen).Milliseconds(),
		"cpu_share", to.CPUShare)
	l.stop("handed over to " + to.Instance)
	return true
}
