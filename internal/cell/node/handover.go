package node

import (
	"context"
	"sync"
	"time"

	"pollenbend/internal/cell/engine"
)

// considerHandover hands over if the store does not answer this leader but answers
// another instance, or if an instance with much more CPU could lead.
func (l *leader) considerHandover(live []*follower) {
	probed := l.storeRefused.Load() && l.storeFailingFor() > 0
	if probed {
		l.probeStore() // if only single calls were refused, they no longer count
	}
	failingFor, sinceAnswer := l.storeFailingFor(), l.n.since(&l.n.storeAnsweredAt)
	reachesStore := func(f *follower) bool { return f.storeSilence() <= sinceAnswer-storeAnswerMargin }
	switch {
	case l.storeRefused.Load() && failingFor >= storeRefusedHandoverDelay:
		reachesStore = l.reachedStoreSinceFailure
	case failingFor > storeFailingHandoverDelay || sinceAnswer > storeNoAnswerHandoverDelay:
		// Silence may be that of a slow store, so storeAnswerMargin applies.
	default:
		l.onlyLowCPUSince = time.Time{}
		l.handOverToMoreCPU(live)
		return
	}
	successor := l.mostCPU(live, reachesStore)
	if successor == nil {
		l.onlyLowCPUSince = time.Time{}
		return
	}
	if lowCPU(successor.CPUShare, maxCPUShare(live, l.n.cpuShare())) {
		if l.onlyLowCPUSince.IsZero() {
			l.onlyLowCPUSince = time.Now()
		}
		if time.Since(l.onlyLowCPUSince) < lowCPUHandoverDelay {
			return
		}
	}
	if !probed && l.probeStore() {
		return // the store answers this leader again
	}
	l.handOver(successor)
}

// storeSilence returns the time since the store last answered the follower.
func (f *follower) storeSilence() time.Duration { return f.StoreAge + time.Since(f.pingedAt) }

// storeFailingFor returns for how long every call of this leader to the store has failed,
// zero if the last one succeeded.
func (l *leader) storeFailingFor() time.Duration {
	since := l.storeFailingSince.Load() // once, as an answer may clear it at any time
	if since == 0 {
		return 0
	}
	return time.Since(l.n.startedAt) - time.Duration(since)
}

// reachedStoreSinceFailure reports whether the store refuses this leader and has answered
// the follower since.
func (l *leader) reachedStoreSinceFailure(f *follower) bool {
	return l.storeRefused.Load() && f.storeSilence()+storeRefusedAnswerMargin <= l.storeFailingFor()
}

// probeTimeout bounds a probe of the store. It is many times as long as a healthy store
// takes to answer.
const probeTimeout = 200 * time.Millisecond

// probeStore reports whether the store answers this leader.
func (l *leader) probeStore() bool {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	if _, _, _, _, err := l.n.readLeadership(ctx); err != nil {
		l.n.log.Debug("store probe failed", "term", l.rec.Term, "reason", err.Error())
		return false
	}
	l.noteStoreAnswer()
	return true
}

// maxCPUShare returns the largest of share and the CPU shares of the instances in live.
func maxCPUShare(live []*follower, share float64) float64 {
	for _, f := range live {
		share = max(share, f.CPUShare)
	}
	return share
}

// lowCPU reports whether an instance has so little CPU, compared with the largest CPU
// share in its cell, that it should leave the leadership to others.
func lowCPU(share, largest float64) bool { return share < largest/minCPUShareRatio }

const (
	// minCPUShareRatio is the ratio of two CPU shares from which the instance with the
	// larger share is preferred as the leader.
	minCPUShareRatio = 1.5
	// lowCPUHandoverDelay is how long only low-CPU instances must have reached the store
	// before a leader that does not reach it hands over to one of them. They take
	// seconds to load the state of a large cell.
	lowCPUHandoverDelay = 2500 * time.Millisecond
	// minTermDuration is how long a term must have lasted before the leader hands over
	// to an instance because of its CPU share.
	minTermDuration = 2 * time.Second
	// moreCPUHandoverDelay is how long an instance must have had much more CPU before the
	// leader hands over to it. It is longer than the age of what pings report, as all
	// instances may turn slow at the same time.
	moreCPUHandoverDelay = pingInterval + 100*time.Millisecond
)

// handOverToMoreCPU hands over to an instance that has much more CPU at present and reaches
// the store, if there is one.
func (l *leader) handOverToMoreCPU(live []*follower) {
	if time.Since(l.startedAt) < minTermDuration {
		return
	}
	best := l.mostCPU(live, func(f *follower) bool {
		return f.CPUShare >= l.n.cpuShare()*minCPUShareRatio && f.StoreAge <= storeUnreachableTimeout
	})
	if best == nil {
		l.moreCPUSince = time.Time{}
		return
	}
	if l.moreCPUSince.IsZero() {
		l.moreCPUSince = time.Now()
	}
	if time.Since(l.moreCPUSince) >= moreCPUHandoverDelay {
		l.conclude(l.ctx)
		if !l.handOver(best) {
			l.moreCPUSince = time.Time{}
			l.post(&engine.TermContinues{})
		}
	}
}

// concludeTimeout bounds how long the end of a term in order waits until what the next leader needs is stored. It allows
// for a slow store, and is a small part of the time that a process has to end.
const concludeTimeout = 400 * time.Millisecond

// conclude has the engine store what the next leader needs, unless the store does not answer.
func (l *leader) conclude(ctx context.Context) {
	if l.storeFailingFor() > 0 {
		return
	}
	start, stored := time.Now(), make(chan struct{})
	if !l.postUnlessEnded(&engine.Conclude{Done: sync.OnceFunc(func() { close(stored) })}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, concludeTimeout)
	defer cancel()
	select {
	case <-stored:
		l.n.log.Info("stored what the next leader needs", "term", l.rec.Term, "after_ms", time.Since(start).Milliseconds())
	case <-ctx.Done():
		l.n.log.Warn("the term ends without storing what the next leader needs", "term", l.rec.Term, "after_ms", time.Since(start).Milliseconds())
	case <-l.done:
	}
}

// mostCPU returns the eligible instance in live with the largest CPU share, other than
// this instance, or nil. It prefers a warm one if that does not have much less CPU.
func (l *leader) mostCPU(live []*follower, eligible func(*follower) bool) *follower {
	var best, warm *follower
	for _, f := range live {
		if f.Instance == l.n.settings.Instance || !eligible(f) {
			continue
		}
		if best == nil || f.CPUShare > best.CPUShare {
			best = f
		}
		if f.Warm && (warm == nil || f.CPUShare > warm.CPUShare) {
			warm = f
		}
	}
	if warm != nil && !lowCPU(warm.CPUShare, best.CPUShare) {
		return warm
	}
	return best
}

// successor returns the instance with the largest CPU share of those that reach the
// store, or nil if only low-CPU instances do.
func (l *leader) successor() *follower {
	live := l.liveFollowers()
	best := l.mostCPU(live, func(f *follower) bool { return f.storeSilence() <= storeUnreachableTimeout })
	if best != nil && lowCPU(best.CPUShare, maxCPUShare(live, l.n.cpuShare())) {
		return nil
	}
	return best
}

// handOver asks an instance to claim the leadership and ends the term on this one. It
// reports whether the call succeeded; otherwise the term goes on.
func (l *leader) handOver(to *follower) bool {
	if err := l.n.askToTakeOver(l.ctx, to.Address, l.rec.Term); err != nil {
		l.n.log.Warn("handover failed", "to", to.Instance, "reason", err.Error())
		return false
	}
	l.n.log.Info("handed over", "to", to.Instance, "term", l.rec.Term, "store_silent_ms", l.n.since(&l.n.storeAnsweredAt).Milliseconds(),
		"cpu_share", to.CPUShare, "warm", to.Warm, "own_cpu_share", l.n.cpuShare())
	l.stop("handed over to " + to.Instance)
	return true
}
