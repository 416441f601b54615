package engine

import "time"

// An entry of the directory may come from another writer, so an entry that names another incarnation than the known
// one is a hint only: nothing is ended, started or forgotten for it. What decides is an answer of the worker to a call
// that was sent after the entry was read, as the report names the incarnation that answers. Until then the entry is a
// claim, and the worker is asked at once, beside a renewal that may be waiting. See docs/design/worker-calls.md.

// claim is an entry that names another incarnation of its worker than the known one.
type claim struct {
	entry     WorkerInfo
	since     time.Time // when it was read first
	nextProbe time.Time
	disproved bool // the worker has answered since, in another incarnation
}

// claimed reports whether the directory claims a later incarnation of w, and no answer has told yet whether that is so.
func (w *worker) claimed() bool {
	return w.claim != nil && !w.claim.disproved && w.claim.entry.Incarnation > w.incarnation
}

// noteClaim records an entry that names another incarnation of w than the known one.
func (e *Engine) noteClaim(w *worker, l *WorkerInfo) {
	if c := w.claim; c != nil && c.entry.Incarnation == l.Incarnation && c.entry.Address == l.Address {
		c.entry = *l
		return
	}
	w.claim = &claim{entry: *l, since: e.now, nextProbe: e.now}
	e.log.Info("entry of another incarnation", "worker", w.id, "life", w.incarnation, "entry_life", l.Incarnation, "listed", w.listed, "runs", len(w.runs))
}

// probe asks at the address of an undecided claim which incarnation is there, if that is due.
func (e *Engine) probe(w *worker) {
	c := w.claim
	if c == nil || c.disproved || w.probeInFlight || e.now.Before(c.nextProbe) {
		return
	}
	if len(w.runs) == 0 && !e.isDeclared(c.entry.Service) {
		return
	}
	w.probeInFlight = true
	e.emit(&Renew{Worker: w.id, Address: c.entry.Address, Incarnation: c.entry.Incarnation, Fence: e.fenceOf(w), Timeout: renewalAnswerTimeout, Probe: true})
}

// probeAnswered applies the outcome of a probe, which tells only the incarnation.
func (e *Engine) probeAnswered(w *worker, ev *RenewalAnswered) {
	w.probeInFlight = false
	c := w.claim
	if c != nil {
		c.nextProbe = e.now.Add(e.cfg.RenewalRetryDelay)
		if ev.Malformed || ev.Report != nil {
			c.nextProbe = e.now.Add(malformedRetryDelay) // unless the report decides
		}
	}
	if ev.Report == nil || ev.Report.Incarnation <= 0 {
		return
	}
	if c != nil && w.address == "" {
		w.address = c.entry.Address // that of a worker which was not listed when its runs were restored
	}
	e.incarnationTold(w, ev.Report.Incarnation, ev.SentAt, "probe")
}

// incarnationTold records that a report of w, the answer to a call that was sent at the given time, names an
// incarnation. It reports whether that is the present one. An earlier one is that of an answer which was overtaken,
// unless the call was sent after the present one had become known.
func (e *Engine) incarnationTold(w *worker, incarnation int64, sentAt time.Time, source string) bool {
	switch {
	case incarnation == w.incarnation:
	case w.incarnation == 0:
		w.incarnation, w.incarnationKnownAt = incarnation, e.now
		e.applyClaim(w)
	case incarnation > w.incarnation:
		e.newIncarnation(w, incarnation, source)
	case incarnation > 0 && !sentAt.Before(w.incarnationKnownAt):
		e.log.Warn("known incarnation disproved", "worker", w.id, "life", incarnation, "before", w.incarnation, "source", source, "runs", len(w.runs))
		e.switchIncarnation(w, incarnation)
		w.incarnationSince = time.Time{} // it may have begun long ago
	default:
		return false
	}
	if c := w.claim; c != nil && !c.disproved && !sentAt.Before(c.since) {
		c.disproved = true
		e.needsPlacement = true
		e.log.Info("entry of another incarnation disproved", "worker", w.id, "life", w.incarnation, "entry_life", c.entry.Incarnation, "source", source)
	}
	return true
}

// claimedLeasesExpireAt returns when the leases have ended that the claimed incarnation of w may hold, if there is one
// and it is not reached: it may carry out late commands that were sent to the known one. Of the runs that the known one
// has, it has none.
func (e *Engine) claimedLeasesExpireAt(w *worker) time.Time {
	end := w.claim.since.Add(e.longestLease())
	if !w.unansweredLease.IsZero() {
		end = latest(end, e.lateLeaseEnd(w.unansweredLease))
	}
	return end
}

// applyClaim applies the claimed entry if it describes the present incarnation, or if that is not known.
func (e *Engine) applyClaim(w *worker) {
	c := w.claim
	if c == nil || w.incarnation == 0 && c.disproved || w.incarnation != 0 && w.incarnation != c.entry.Incarnation {
		return
	}
	w.claim = nil
	e.workerListed(w, &c.entry)
	e.rebuildPools()
}
