package engine

import (
	"sort"

	"pollenbend/internal/cell/job"
)

// room is what the workers of a service have free in one round of placement.
type room struct {
	workers []*worker
	most    job.Resources // largest free amount of each kind on one worker
	window  int64         // CPU of the steps that are still looked at
	holding int64         // CPU that may still be held for gangs
	copies  int64         // CPU that may still be spent on second copies
}

const (
	// windowOfFree and windowOfAll bound the steps that are looked at in a round by
	// their CPU, against what is free and against the whole service: enough to fill
	// the room that is there and what comes free while an adviser answers.
	windowOfFree = 1.5
	windowOfAll  = 0.15
	// holdOfAll is the part of a service's CPU that may be kept free for gangs that
	// wait for their room to come together.
	holdOfAll = 0.12
)

func (e *Engine) roomOf(service string) *room {
	r := &room{}
	var free, all int64
	for _, w := range e.order {
		if w.service != service || !w.usable(e.now) {
			continue
		}
		w.held = job.Resources{}
		f := w.free()
		r.workers = append(r.workers, w)
		r.most.CPU = max(r.most.CPU, f.CPU)
		r.most.MemMB = max(r.most.MemMB, f.MemMB)
		r.most.GPU = max(r.most.GPU, f.GPU)
		free += max(0, f.CPU)
		all += w.capacity.CPU
	}
	r.window = int64(windowOfFree*float64(free) + windowOfAll*float64(all))
	r.holding = int64(holdOfAll * float64(all))
	r.copies = int64(copiesOfAll * float64(all))
	return r
}

// hold keeps room free on workers that a waiting gang can use, so that it comes
// together there instead of being taken by smaller tasks.
func (e *Engine) hold(s *stepRun, r *room, count int) {
	if !s.spec.Gang || count < 2 || r.holding <= 0 {
		return
	}
	need := count
	for _, w := range e.holdOn(s, r) {
		n := s.charge.CountIn(w.capacity.Sub(w.held), need)
		if n <= 0 {
			continue
		}
		held := s.charge.Times(n)
		w.held = w.held.Add(held)
		r.holding -= held.CPU
		need -= n
		if need == 0 || r.holding <= 0 {
			return
		}
	}
}

// holdOn returns the workers on which a gang waits for room, those with the most
// first.
func (e *Engine) holdOn(s *stepRun, r *room) []*worker {
	var on []*worker
	if s.advice == nil {
		on = s.eligible(r)
	} else {
		on = e.goodFor(s)
	}
	sort.SliceStable(on, func(i, j int) bool { return on[i].free().CPU > on[j].free().CPU })
	return on
}
