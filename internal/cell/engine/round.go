package engine

import (
	"cmp"
	"math"
	"slices"

	"pollenbend/internal/cell/job"
)

// placementRound holds the workers of a service, its window and its budgets in one placement round.
type placementRound struct {
	*pool
	window            window                            // work that may still be tried in this round
	holdBudget        int64                             // CPU that may still be held for gangs, in thousandths of a core
	holds             bool                              // something is held for a gang
	speculativeBudget int64                             // CPU that may still be used for speculative runs, in thousandths of a core
	asksLeft          int                               // steps for which the adviser may still be called
	cpuBesideHeadroom int64                             // CPU that work of lower priorities may still use, in thousandths of a core
	delegates         [callClasses]delegateAvailability // by class of calls
	failuresLeft      int                               // steps that may still be tried without a run or a call coming of it
	exposure          *exposure                         // nil until a step with risky starts is tried
	passedOver        []*stepState                      // steps that were not tried, in the order of urgency

	// With Features.Preemption:
	unplaced    []unplacedStep // steps for which runs may be stopped, in the order of urgency
	unplacedCPU int64          // CPU of the waiting tasks of the highest priority that could not be placed

	// With Features.Backfill:
	reservations []*stepReservation // that hold resources in this round
	reserving    int                // their number
	reservedCPU  int64              // their CPU, in thousandths of a core
	firmCPU      int64              // the part of it that firm reservations hold
	examined     int                // workers that were examined for reservations
}

const (
	// gangHoldRatio is the part of a service's CPU that may be held for gangs that wait
	// until enough resources are free at the same time. The most urgent of them may exceed
	// it if all workers together can hold it, so that none is too wide to start.
	gangHoldRatio = 0.3
	// maxAskingSteps is the number of steps for which the adviser may be called in a round.
	maxAskingSteps = 24
	// maxFailedSteps bounds the steps of a round that are tried without a run or a call
	// coming of it, once in the order of urgency and once more from the step at which the
	// previous round ended, so that smaller steps behind them are tried in turn.
	maxFailedSteps = 64
)

// newRound returns the round for a service.
func (e *Engine) newRound(service string) *placementRound {
	p := e.poolOf(service)
	p.measure(e.now)
	e.measureSpeeds(p)
	beside := int64(math.MaxInt64)
	if e.cfg.Features.Headroom {
		beside = p.cpuBesideHeadroom(e.now)
	}
	return &placementRound{
		pool:              p,
		cpuBesideHeadroom: beside,
		window:            newWindow(p),
		holdBudget:        int64(gangHoldRatio * float64(p.capacity)),
		speculativeBudget: int64(speculativeRatio * float64(p.capacity)),
		asksLeft:          maxAskingSteps,
		failuresLeft:      maxFailedSteps,
	}
}

// clearHeld clears what the last placement round held for gangs.
func (e *Engine) clearHeld() {
	for _, w := range e.heldWorkers {
		w.heldForGangs = job.Resources{}
		clear(w.holds)
		w.holds = w.holds[:0]
	}
	e.heldWorkers = e.heldWorkers[:0]
}

// holdForGang holds resources on workers that a waiting gang can use, so that they
// accumulate for the gang instead of being taken by smaller tasks. Nothing is held for a gang that the
// workers can't hold together.
func (e *Engine) holdForGang(s *stepState, round *placementRound, count int) {
	if !s.spec.Gang || count < 2 || round.holdBudget <= 0 || !e.canHoldGang(s, round, count) {
		return
	}
	need, candidates := count, e.gangCandidates(s, round)
	mayExceed := !round.holds && fitsIn(s, candidates, count)
	for _, w := range candidates {
		n := s.charge.CountIn(w.capacity.Sub(w.heldForGangs), need)
		if n <= 0 {
			continue
		}
		held := s.charge.Times(n)
		w.heldForGangs = w.heldForGangs.Add(held)
		e.heldWorkers = append(e.heldWorkers, w)
		round.holdBudget -= held.CPU
		round.holds = true
		need -= n
		if need == 0 || round.holdBudget <= 0 && !mayExceed {
			return
		}
	}
}

// canHoldGang reports whether count tasks of s would fit on the usable workers if they were idle, whether
// or not the adviser finds them good.
func (e *Engine) canHoldGang(s *stepState, round *placementRound, count int) bool {
	for _, w := range round.workers {
		if !w.usable(e.now) || !w.canHold(s.spec) {
			continue
		}
		if count -= tasksThatFit(s, w, w.capacity); count <= 0 {
			return true
		}
	}
	return false
}

// fitsIn reports whether count tasks of s fit on idle workers.
func fitsIn(s *stepState, workers []*worker, count int) bool {
	for _, w := range workers {
		if count -= s.charge.CountIn(w.capacity, count); count <= 0 {
			return true
		}
	}
	return false
}

// gangCandidates returns the workers on which a gang can wait for resources, those with
// the most free CPU first.
func (e *Engine) gangCandidates(s *stepState, round *placementRound) []*worker {
	var workers []*worker
	if s.advice == nil {
		workers = e.eligible(s, round)
	} else {
		workers = e.goodWorkers(s)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
	return workers
}
