package engine

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/job"
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

// ticket is the adviser's permission to start tasks of a step on a worker.
type ticket struct {
	value       string
	incarnation int64
	validUntil  time.Time
}

// delegate is an instance that can call the adviser.
type delegate struct {
	name string
	advice.Delegate
}

// ticket returns the ticket of s for a worker, or the zero ticket if none is needed.
func (s *stepState) ticket(w *worker) ticket {
	if s.advice == nil || s.advice.goodByWorker[w] == nil {
		return ticket{}
	}
	return s.advice.goodByWorker[w].ticket
}

// invalidateTicket makes the ticket of s for a worker count as expired.
func (s *stepState) invalidateTicket(w *worker) {
	if s.advice != nil && s.advice.goodByWorker[w] != nil {
		s.advice.goodByWorker[w].ticket.validUntil = time.Time{}
	}
}

// ticketMargin is the time that a start command takes to reach its worker. The validity
// of a ticket is reduced by it and by the time that storing the run's record takes.
const ticketMargin = 60 * time.Millisecond

// ticketValidAt reports whether a ticket is still valid when the start command of a run
// that is planned at the given time reaches its worker.
func (e *Engine) ticketValidAt(t ticket, at time.Time) bool {
	return at.Add(ticketMargin + e.storeLatency).Before(t.validUntil)
}

// workersWithTicket returns the usable workers for which s has a valid ticket.
func (e *Engine) workersWithTicket(s *stepState) []*worker {
	var out []*worker
	for g := range e.usableGoodWorkers(s) {
		if e.ticketValidAt(g.ticket, e.now) {
			out = append(out, g.worker)
		}
	}
	return out
}

// goodWorkers returns the usable workers that the adviser found good for s, in the order
// of its answers.
func (e *Engine) goodWorkers(s *stepState) []*worker {
	var out []*worker
	for g := range e.usableGoodWorkers(s) {
		out = append(out, g.worker)
	}
	return out
}

// usableGoodWorkers iterates over the workers that goodWorkers returns.
func (e *Engine) usableGoodWorkers(s *stepState) iter.Seq[*goodWorker] {
	return func(yield func(*goodWorker) bool) {
		if s.advice == nil {
			return
		}
		for _, g := range s.advice.good {
			if g.ticket.incarnation == g.incarnation && g.usable(e.now) && !yield(g) {
				return
			}
		}
	}
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

// workersToAsk returns the workers that the adviser should be asked about now: good ones
// with free resources whose ticket has expired, or else ones it was not asked about yet.
func (e *Engine) workersToAsk(s *stepState, q *policy.Queue, round *placementRound, capacity ticketCapacity) []*worker {
	if s.spec.Gang && s.reservation != nil && e.now.Sub(s.reservation.plannedAt) <= promiseRetention {
		return e.workersForReservation(s, q, round)
	}
	need := s.waiting
	if capacity.valid >= need || !s.spec.Gang && capacity.valid > 0 {
		return nil // tasks can start with these tickets; the others ask in a later round
	}
	if s.spec.Gang && capacity.valid+capacity.expired >= need {
		// A gang starts once it has all of its tickets, so only tickets count that are still
		// valid when the call for the missing ones returns.
		capacity = e.ticketCapacity(s, e.now.Add(q.Advice.CallDuration(min(need, maxWorkersPerCall))))
	}
	if capacity.valid+capacity.expired >= need || !s.spec.Gang && capacity.expired > 0 {
		workers := e.workersWithExpiredTicket(s, capacity)
		return e.largestFirst(s, workers, need-capacity.valid, e.expiredOrder(s, q, round, workers))
	}
	if e.backfills(q) && s.spec.Gang {
		if e.knowsEnoughToReserve(s) {
			return nil // it waits until it can reserve
		}
		return e.rankBySoonest(s, q, round)
	}
	return e.rankForAdvice(s, q, round)
}

// ticketCapacity is how many waiting tasks of a step fit now on its good workers, by whether
// their tickets are valid at a given time.
type ticketCapacity struct {
	at             time.Time
	valid, expired int
}

// mayPlace reports whether any of count tasks of s may be placed with the tickets.
func (c ticketCapacity) mayPlace(s *stepState, count int) bool {
	if s.spec.Gang {
		return c.valid >= count
	}
	return c.valid > 0
}

// ticketCapacity returns the capacity on the good workers of s.
func (e *Engine) ticketCapacity(s *stepState, at time.Time) ticketCapacity {
	c := ticketCapacity{at: at}
	for g := range e.usableGoodWorkers(s) {
		n := tasksThatFit(s, g.worker, e.freeFor(s, g.worker))
		switch {
		case n == 0:
		case e.ticketValidAt(g.ticket, at):
			c.valid += n
		default:
			c.expired += n
		}
	}
	return c
}

// workersWithExpiredTicket returns the workers that hold the expired part of a capacity.
func (e *Engine) workersWithExpiredTicket(s *stepState, c ticketCapacity) []*worker {
	var workers []*worker
	for g := range e.usableGoodWorkers(s) {
		if !e.ticketValidAt(g.ticket, c.at) && tasksThatFit(s, g.worker, e.freeFor(s, g.worker)) > 0 {
			workers = append(workers, g.worker)
		}
	}
	return workers
}

// tasksThatFit returns how many waiting tasks of s fit into the resources free of w.
func tasksThatFit(s *stepState, w *worker, free job.Resources) int {
	n := s.charge.CountIn(free, s.waiting)
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-s.tasksOn(w))
	}
	return max(0, n)
}

// largestFirst returns enough of workers to hold need tasks, and spareRenewedTickets more: those
// whose speed class is first in the order, which is given by class, and of a class those that hold
// the most tasks. It returns at most as many workers as maxCalls calls accept.
func (e *Engine) largestFirst(s *stepState, workers []*worker, need int, order []int) []*worker {
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(order[a.speedClass], order[b.speedClass]), cmp.Compare(tasksThatFit(s, b, e.freeFor(s, b)), tasksThatFit(s, a, e.freeFor(s, a))))
	})
	for i, w := range workers {
		need -= tasksThatFit(s, w, e.freeFor(s, w))
		if need <= 0 {
			workers = workers[:min(len(workers), i+1+spareRenewedTickets)]
			break
		}
	}
	return workers[:min(len(workers), maxCalls*maxWorkersPerCall)]
}

const (
	// maxWorkersPerCall is the maximum number of workers that the adviser accepts in a
	// call.
	maxWorkersPerCall = 100
	// minWorkersAsked is the minimum number of workers to ask about, as the fixed cost of
	// a call is far higher than the cost per worker.
	minWorkersAsked = 12
	// spareRenewedTickets is the number of tickets to renew beyond those needed, as
	// resources may be taken while the adviser answers.
	spareRenewedTickets = 2
	// askMultiplier is the capacity to ask about as a multiple of the capacity needed. A
	// gang waits for resources on its good workers, so it asks about more workers.
	askMultiplier     = 1.5
	gangAskMultiplier = 3
	// usedCapacityRatio is the part of a worker's capacity in use that counts as
	// available when workers are asked about in advance.
	usedCapacityRatio = 0.3
)

// aheadCoverage is the number of tasks that the good workers of a step hold when they are
// idle, as a multiple of the waiting tasks, from which the step stops asking in advance
// while delegates are scarce.
const aheadCoverage = 3

// minIdleDelegates is the part of the delegates that must be idle for steps to ask in
// advance about more workers than aheadCoverage.
const minIdleDelegates = 0.5

// knowsEnoughWorkers reports whether the step only has to wait for resources on workers
// that the adviser found good. While few delegates are idle, further calls would take them
// from other steps, whose tickets then expire.
func (e *Engine) knowsEnoughWorkers(s *stepState) bool {
	if advice.IdleRatio(e.delegateLoads, e.now) >= minIdleDelegates {
		return false
	}
	fit := 0
	for g := range e.usableGoodWorkers(s) {
		if fit += tasksThatFit(s, g.worker, g.capacity); fit >= aheadCoverage*s.waiting {
			return true
		}
	}
	return false
}

// maxRankedWorkers is the maximum number of workers among which rankForAdvice chooses.
const maxRankedWorkers = 400

// rankedWorker is a worker that the adviser may be asked about.
type rankedWorker struct {
	*worker
	tier  int     // those of a lower tier come first
	score float64 // available capacity in tasks, less the more other calls about it are pending
	room  float64 // the part of it that is free now; for rankBySoonest the tasks that fit when it is idle
}

// exhaustedInterval is how long no workers are ranked for a step after there were none left to ask
// about. Workers that join, and tasks that end, change that only slowly.
const exhaustedInterval = 100 * time.Millisecond

// allAsked reports whether lately no worker was left that the adviser could be asked about for s.
func (e *Engine) allAsked(s *stepState) bool {
	return e.cfg.Features.Backfill && !e.uncached && !s.advice.exhaustedAt.IsZero() && e.now.Sub(s.advice.exhaustedAt) < exhaustedInterval
}

// rankForAdvice returns workers that the adviser was not asked about yet for s: those with
// the most available capacity, as many as are expected to include enough good ones.
// Gangs, steps of the highest priority and steps whose calls to the adviser are long ask
// in advance: for them, workers whose capacity is in use count too. Capacity counts less
// the more other calls about the worker are pending, as their steps compete for it. Workers of
// the preferred speed come first.
func (e *Engine) rankForAdvice(s *stepState, q *policy.Queue, round *placementRound) []*worker {
	if e.allAsked(s) {
		return nil
	}
	asked := len(s.advice.asked)
	ahead := (s.spec.Gang || q.Priority == 0 || q.Advice.Base >= advice.LongCallThreshold) && !e.knowsEnoughWorkers(s)
	class := callClass(q.Advice.Base)
	classes := round.classesFor(e.preferenceAfterCall(s, q))
	ranked := e.rankBuffer[:0]
	for n, speedClass := range classes {
		limit := len(ranked) + round.rankQuota(classes, n, maxRankedWorkers-len(ranked))
		for w := range round.mostFreeOf(speedClass) {
			if len(ranked) == limit || !ahead && w.poolIndex < coresFree(s.charge.CPU) {
				break
			}
			if asked > 0 && w.incarnation != 0 && s.advice.asked[w] == w.incarnation || !w.usable(e.now) || !w.canHold(s.spec) {
				continue
			}
			free := float64(tasksThatFit(s, w, e.freeFor(s, w)))
			capacity := free
			if ahead {
				capacity += usedCapacityRatio * (float64(tasksThatFit(s, w, w.capacity)) - free)
			}
			if capacity <= 0 {
				continue
			}
			competitors := float64(1 + w.pendingAsks[class])
			ranked = append(ranked, rankedWorker{w, 0, capacity / competitors, free / competitors})
		}
	}
	e.rankBuffer = ranked
	if len(ranked) == 0 {
		if ahead {
			s.advice.exhaustedAt = e.now
		}
		return nil
	}
	e.setTiers(s, q, ranked, classes)
	share := e.goodShare(q.Name)
	want := float64(s.waiting) * askMultiplier
	if s.spec.Gang {
		want = float64(s.waiting) * gangAskMultiplier
	}
	limit := maxWorkersPerCall
	if s.spec.Gang {
		limit *= maxCalls
	}
	least := e.minAsked(q)
	var ask []*worker
	expected := 0.0
	for _, i := range e.rankOrder(ranked) {
		if len(ask) == limit || expected >= want && len(ask) >= least {
			break
		}
		expected += share * ranked[i].score
		ask = append(ask, ranked[i].worker)
	}
	return ask
}

// rankOrder returns the indexes of ranked workers in the order of their tiers, those of a tier with
// the highest scores first. It sorts numbers, as the workers of the whole fleet are ranked for each
// call to the adviser.
func (e *Engine) rankOrder(ranked []rankedWorker) []int32 {
	order := e.orderBuffer[:0]
	for i := range ranked {
		order = append(order, int32(i))
	}
	e.orderBuffer = order
	slices.SortFunc(order, func(a, b int32) int {
		x, y := &ranked[a], &ranked[b]
		switch {
		case x.tier != y.tier:
			return x.tier - y.tier
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return int(a - b)
	})
	return order
}

// initialGoodShare is the assumed share of good workers for a queue before the adviser's
// first answer.
const initialGoodShare = 0.4

// goodShare returns the expected share of good workers for a queue, at least 0.05. A share
// of zero would make every call as large as possible.
func (e *Engine) goodShare(queue string) float64 {
	if share, ok := e.goodShares[queue]; ok {
		return max(0.05, share)
	}
	return initialGoodShare
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
		e.markDirty(s) // stores the answer, so that the next leader need not repeat a long call
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
