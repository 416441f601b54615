package engine

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/policy"
)

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
