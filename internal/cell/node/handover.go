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
		l.yieldToStronger(live)
		return
	}
	best := l.strongest(live, func(a *armState) bool { return a.StoreAge+time.Since(a.at) <= silent-armStoreMargin })
	top := l.n.set.CPUShare
	for _, a := range live {
		top = max(top, a.CPUShare)
	}
	if best == nil || best.CPUShare < top/strongerFactor && silent < waitForStrong {
		return
	}
	l.handOver(best)
}

const (
	// strongerFactor is how much more of a core an instance must have to count as
	// stronger than another.
	strongerFactor = 1.5
	// waitForStrong is how long a leader that the store turns away waits for a strong
	// instance to reach the store before it hands over to a weak one.
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
	best := l.strongest(live, func(a *armState) bool {
		return a.CPUShare >= l.n.set.CPUShare*strongerFactor && a.StoreAge <= silentBeforeHandover
	})
	if best != nil {
		l.handOver(best)
	}
}

// strongest returns the arm with the most processor of those that fit, other than
// this instance, or nil.
func (l *leader) strongest(live []*armState, fits func(*armState) bool) *armState {
	var best *armState
	for _, a := range live {
		if a.Instance != l.n.set.Instance && fits(a) && (best == nil || a.CPUShare > best.CPUShare) {
			best = a
		}
	}
	return best
}

func (l *leader) handOver(to *armState) {
	ctx, cancel := context.WithTimeout(l.ctx, pingTimeout)
	defer cancel()
	if err := l.n.peers.Get(to.Address).Call(ctx, serviceName+".TakeOver", &struct{}{}, &struct{}{}); err != nil {
		l.n.log.Warn("handover failed", "to", to.Instance, "reason", err.Error())
		return
	}
	l.n.log.Info("handed over", "to", to.Instance, "term", l.rec.Term, "store_silent_ms", l.n.since(&l.n.storeSeen).Milliseconds(),
		"cpu_share", to.CPUShare)
	l.stop("handed over to " + to.Instance)
}
