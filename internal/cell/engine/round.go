package engine

import (
	"sort"

	"pollenbend/internal/cell/job"
)

// placementRound holds the workers of a service and the budgets of one placement round.
type placementRound struct {
	workers           []*worker
	maxFree           job.Resources // by resource, the largest free amount on one worker
	cpuBudget         int64         // CPU of the steps that may still be tried in this round, in thousandths of a core
	holdBudget        int64         // CPU that may still be held for gangs, in thousandths of a core
	speculativeBudget int64         // CPU that may still be used for speculative runs, in thousandths of a core
}

const (
	// budgetFreeRatio and budgetCapacityRatio bound the CPU of the steps that a round
	// tries, relative to the free CPU and to the total CPU of the service. The steps are
	// enough to use the CPU that is free and that becomes free while an adviser answers.
	budgetFreeRatio     = 1.5
	budgetCapacityRatio = 0.15
	// gangHoldRatio is the part of a service's CPU that may be held for gangs that wait
	// until enough resources are free at the same time.
	gangHoldRatio = 0.12
)

// newRound returns the round for a service and clears what the last round held for gangs.
func (e *Engine) newRound(service string) *placementRound {
	round := &placementRound{}
	var free, capacity int64
	for _, w := range e.workerList {
		if w.service != service || !w.usable(e.now) {
			continue
		}
		w.heldForGangs = job.Resources{}
		f := w.free()
		round.workers = append(round.workers, w)
		round.maxFree.CPU = max(round.maxFree.CPU, f.CPU)
		round.maxFree.MemMB = max(round.maxFree.MemMB, f.MemMB)
		round.maxFree.GPU = max(round.maxFree.GPU, f.GPU)
		free += max(0, f.CPU)
		capacity += w.capacity.CPU
	}
	round.cpuBudget = int64(budgetFreeRatio*float64(free) + budgetCapacityRatio*float64(capacity))
	round.holdBudget = int64(gangHoldRatio * float64(capacity))
	round.speculativeBudget = int64(speculativeRatio * float64(capacity))
	return round
}

// holdForGang holds resources on workers that a waiting gang can use, so that they
// accumulate for the gang instead of being taken by smaller tasks.
func (e *Engine) holdForGang(s *stepState, round *placementRound, count int) {
	if !s.spec.Gang || count < 2 || round.holdBudget <= 0 {
		return
	}
	need := count
	for _, w := range e.gangCandidates(s, round) {
		n := s.charge.CountIn(w.capacity.Sub(w.heldForGangs), need)
		if n <= 0 {
			continue
		}
		held := s.charge.Times(n)
		w.heldForGangs = w.heldForGangs.Add(held)
		round.holdBudget -= held.CPU
		need -= n
		if need == 0 || round.holdBudget <= 0 {
			return
		}
	}
}

// gangCandidates returns the workers on which a gang can wait for resources, those with
// the most free CPU first.
func (e *Engine) gangCandidates(s *stepState, round *placementRound) []*worker {
	var workers []*worker
	if s.advice == nil {
		workers = s.eligible(round)
	} else {
		workers = e.goodWorkers(s)
	}
	sort.SliceStable(workers, func(i, j int) bool { return workers[i].free().CPU > workers[j].free().CPU })
	return workers
}
