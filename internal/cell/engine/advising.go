package engine

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/policy"
)

// adviceState holds the adviser's answers about a step.
type adviceState struct {
	good          []*goodWorker           // in the order of the answers
	goodByWorker  map[*worker]*goodWorker // the same
	asked         map[*worker]int64       // incarnation of each worker that the adviser was asked about
	callsInFlight int                     // calls without an answer yet
	retryAt       time.Time               // earliest next call after a failed one
	exhaustedAt   time.Time               // when no worker was left to ask about; zero if that was never so

	asking         []*worker // the workers of the calls in flight
	answerExpected time.Time // when the last answer to the calls in flight is expected
}

// goodWorker is a worker that the adviser found good for a step.
type goodWorker struct {
	*worker
	ticket ticket
}

// awaitsFirstAnswer reports whether the first call about the step has no answer yet.
func (a *adviceState) awaitsFirstAnswer() bool {
	return a != nil && a.callsInFlight > 0 && len(a.asked) == 0
}

// ensureAdvice returns the advice about s and creates it on first use.
func (s *stepState) ensureAdvice() *adviceState {
	if s.advice == nil {
		s.advice = &adviceState{goodByWorker: make(map[*worker]*goodWorker), asked: make(map[*worker]int64)}
	}
	return s.advice
}

// adviceRetention is how long the advice about a worker that left the directory is kept, as it
// may come back.
const adviceRetention = 5 * time.Second

// forgetGone removes the workers that have left or restarted since they were asked about. What
// the adviser said of them is of no use any more.
func (a *adviceState) forgetGone(now time.Time) {
	gone := func(w *worker, incarnation int64) bool {
		return w.incarnation != incarnation || !w.listed && now.Sub(w.unlistedSince) > adviceRetention
	}
	maps.DeleteFunc(a.asked, func(w *worker, incarnation int64) bool { return gone(w, incarnation) })
	a.good = slices.DeleteFunc(a.good, func(g *goodWorker) bool {
		if !gone(g.worker, g.ticket.incarnation) {
			return false
		}
		delete(a.goodByWorker, g.worker)
		return true
	})
}

// markGood records that a worker is good for s.
func (s *stepState) markGood(w *worker, t ticket) {
	a := s.ensureAdvice()
	g := a.goodByWorker[w]
	if g == nil {
		g = &goodWorker{worker: w}
		a.good, a.goodByWorker[w] = append(a.good, g), g
	}
	g.ticket, a.asked[w] = t, t.incarnation
	s.planFailedAt = time.Time{}
}

// delegate is an instance that can call the adviser.
type delegate struct {
	name string
	advice.Delegate
}

// advise calls the adviser about workers for s if that could help to place s.
// capacity is what the step's tickets that are valid now are worth.
func (e *Engine) advise(s *stepState, q *policy.Queue, round *placementRound, capacity ticketCapacity) {
	a := s.ensureAdvice()
	if a.callsInFlight > 0 || e.now.Before(a.retryAt) {
		return
	}
	if round.asksLeft <= 0 {
		return // a later round asks for s
	}
	if !round.delegateMayTake(e, q.Advice.Base) {
		return // no delegate can take even the shortest call
	}
	ask := e.workersToAsk(s, q, round, capacity)
	if len(ask) > 0 {
		round.asksLeft--
	}
	for _, workers := range split(ask, callCount(s, len(ask))) {
		if !e.callAdviser(s, q, round, workers) {
			return // a later round asks about the remaining workers
		}
	}
}

const (
	// gangCallSize is the approximate number of workers per call when several calls are
	// made for a gang at once. Fewer workers would make a call hardly cheaper.
	gangCallSize = 60
	// maxCalls is the maximum number of concurrent calls for a step. They occupy
	// delegates that other steps need.
	maxCalls = 3
)

// callCount returns the number of concurrent calls to make about n workers for s. A gang
// starts after the last answer, and the tickets of the first answer are valid for little
// longer than a call takes, so a gang's calls are smaller.
func callCount(s *stepState, n int) int {
	perCall := maxWorkersPerCall
	if s.spec.Gang {
		perCall = gangCallSize
	}
	return min(maxCalls, (n+perCall-1)/perCall)
}

// split divides workers into n parts of about the same length, round-robin, so that each
// part contains some of the highest ranked ones.
func split(workers []*worker, n int) [][]*worker {
	parts := make([][]*worker, min(n, len(workers)))
	for i, w := range workers {
		parts[i%len(parts)] = append(parts[i%len(parts)], w)
	}
	return parts
}

// callClasses is the number of classes of calls, see callClass.
const callClasses = 2

// callClass returns the index in worker.pendingAsks of calls about a queue with the given
// fixed duration of a call: steps with short and with long calls compete among themselves.
func callClass(base time.Duration) int {
	if base >= advice.LongCallThreshold {
		return 1
	}
	return 0
}

// callAdviser has a delegate call the adviser about workers for s. It reports whether a
// delegate could take the call. expectedDuration is the expected duration of the call.
func (e *Engine) callAdviser(s *stepState, q *policy.Queue, round *placementRound, ask []*worker) bool {
	expectedDuration := q.Advice.CallDuration(len(ask))
	chosen := e.chooseDelegate(expectedDuration)
	if chosen == nil {
		return false
	}
	round.delegates = [callClasses]delegateAvailability{}
	chosen.CallSent(e.now, expectedDuration)
	s.advice.callsInFlight++
	s.advice.answerExpected = e.now.Add(expectedDuration)
	s.advice.asking = append(s.advice.asking, ask...)
	names := make([]string, len(ask))
	for i, w := range ask {
		names[i] = w.id
		w.pendingAsks[callClass(q.Advice.Base)]++
	}
	e.emit(&AdviceCall{Delegate: chosen.name, Step: s.name, Workers: names, ExpectedDuration: expectedDuration, asked: ask, class: callClass(q.Advice.Base), step: s, sentAt: e.now})
	return true
}

// chooseDelegate returns the delegate for a call with the given expected duration, or nil
// if none can take it.
func (e *Engine) chooseDelegate(expectedDuration time.Duration) *delegate {
	i := advice.Choose(e.delegateLoads, e.now, expectedDuration)
	if i < 0 {
		return nil
	}
	return e.delegates[i]
}

// delegateAvailability tells whether a delegate can take a call.
type delegateAvailability uint8

const (
	delegatesUnknown delegateAvailability = iota
	delegateFree
	noDelegateFree
)

// delegateMayTake reports whether a delegate can take a call of the given expected duration. It
// stays the same for calls of a class until the next call is sent in the round.
func (r *placementRound) delegateMayTake(e *Engine, expectedDuration time.Duration) bool {
	known := &r.delegates[callClass(expectedDuration)]
	if *known == delegatesUnknown || e.uncached {
		*known = noDelegateFree
		if e.chooseDelegate(expectedDuration) != nil {
			*known = delegateFree
		}
	}
	return *known == delegateFree
}

// adviceRetryDelay is the delay after a failed call to the adviser.
const adviceRetryDelay = 30 * time.Millisecond

// adviceAnswered applies the outcome of a call to the adviser.
func (e *Engine) adviceAnswered(ev *AdviceAnswered) {
	s := ev.Call.step
	if s.advice.callsInFlight--; s.advice.callsInFlight == 0 {
		s.advice.asking = nil
	}
	for _, w := range ev.Call.asked {
		w.pendingAsks[ev.Call.class]--
	}
	e.needsPlacement = true
	for _, d := range e.delegates {
		if d.name == ev.Call.Delegate {
			d.CallEnded(e.now, ev.Call.ExpectedDuration, ev.OK)
		}
	}
	if !ev.OK {
		s.advice.retryAt = e.now.Add(adviceRetryDelay)
		e.log.Warn("adviser call failed", "step", s.name, "job", s.ref.Job, "arm", ev.Call.Delegate, "workers", len(ev.Call.Workers), "after_ms", e.msSince(ev.Call.sentAt))
		return
	}
	s.advice.forgetGone(e.now)
	newlyAsked := 0 // workers that no earlier answer covers
	for _, w := range ev.Call.asked {
		if s.advice.asked[w] != w.incarnation {
			newlyAsked++
		}
		s.advice.asked[w] = w.incarnation
		if t, good := ev.Tickets[w.id]; good {
			s.markGood(w, ticket{value: t, incarnation: w.incarnation, validUntil: e.now.Add(ev.TTL)})
		}
	}
	if newlyAsked > 0 && s.waiting > 0 && ev.Call.ExpectedDuration >= advice.LongCallThreshold {
		e.markAdviceDirty(s) // stores the answer, so that the next leader need not repeat a long call
	}
	if newlyAsked == len(ev.Call.Workers) && newlyAsked > 0 {
		e.updateGoodShare(s.job().queue, float64(len(ev.Tickets))/float64(newlyAsked))
	}
	e.log.Debug("adviser call done", "step", s.name, "arm", ev.Call.Delegate, "asked", len(ev.Call.Workers), "good", len(ev.Tickets), "after_ms", e.msSince(ev.Call.sentAt))
}

// goodShareWeight is the weight of one answer in the smoothed share of good workers.
const goodShareWeight = 0.1

// updateGoodShare updates the smoothed share of good workers of a queue.
func (e *Engine) updateGoodShare(queue string, share float64) {
	if e.goodShares == nil {
		e.goodShares = make(map[string]float64)
	}
	old, known := e.goodShares[queue]
	if !known {
		old = initialGoodShare
	}
	e.goodShares[queue] = old + goodShareWeight*(share-old)
}

// delegatesChanged replaces the delegates and keeps the load of those that stay.
func (e *Engine) delegatesChanged(names []string) {
	known := make(map[string]*delegate, len(e.delegates))
	for _, d := range e.delegates {
		known[d.name] = d
	}
	delegates := make([]*delegate, 0, len(names))
	for _, name := range names {
		d := known[name]
		if d == nil {
			d = &delegate{name: name}
			e.log.Info("delegate added", "arm", name)
		}
		delegates = append(delegates, d)
	}
	e.delegates = delegates
	e.delegateLoads = e.delegateLoads[:0]
	for _, d := range delegates {
		e.delegateLoads = append(e.delegateLoads, &d.Delegate)
	}
	e.needsPlacement = true
}
