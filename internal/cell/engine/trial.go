package engine

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// trial is a placement round that an explanation tries. It runs the code of a real round on the
// state of the engine and then undoes its changes in the reverse order, so that no rule exists
// twice. Its actions are discarded. The methods that the round calls accept a nil trial, which
// stands for a real round.
type trial struct {
	e       *Engine
	undo    []func()
	saved   map[*stepState]bool
	tried   map[*stepState]bool
	actions []any                       // of the engine, before the trial
	watched map[*stepState]*watchedStep // steps that are explained

	releases      []savedReleases
	releasesSaved map[*worker]bool
}

// watchedStep is what a trial finds out about a step.
type watchedStep struct {
	considered bool
	kept       int // tasks that may not start as resources are kept for urgent ones
	out        *StepExplanation
	chosen     map[*worker]int // index in out.Chosen, or -1 beyond the maximum
}

// newTrial saves what a placement round and a decision about admission change beside the steps
// and workers that they place tasks of and on.
func (e *Engine) newTrial() *trial {
	t := &trial{
		e: e, saved: make(map[*stepState]bool), tried: make(map[*stepState]bool), watched: make(map[*stepState]*watchedStep),
		actions: e.actions, releasesSaved: make(map[*worker]bool),
	}
	e.actions = nil
	e.trial = t
	e.runtimes.Freeze(true)
	t.saveAverages()
	t.savePools()
	t.saveCold()
	t.saveHeld()
	t.saveReservations()
	t.saveContention()
	delegates := make([]advice.Delegate, len(e.delegates))
	for i, d := range e.delegates {
		delegates[i] = d.Delegate
	}
	t.onUndo(func() {
		for i, d := range e.delegates {
			d.Delegate = delegates[i]
		}
	})
	return t
}

func (t *trial) onUndo(f func()) { t.undo = append(t.undo, f) }

// end undoes the changes of the trial.
func (t *trial) end() {
	e := t.e
	for _, c := range t.calls() {
		for _, w := range c.asked {
			w.pendingAsks[c.class]--
		}
	}
	for _, f := range slices.Backward(t.undo) {
		f()
	}
	e.actions, e.trial = t.actions, nil
	e.runtimes.Freeze(false)
}

// calls returns the calls to the adviser that the trial would make.
func (t *trial) calls() []*AdviceCall {
	var calls []*AdviceCall
	for _, a := range t.e.actions {
		if c, ok := a.(*AdviceCall); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// saveAverages saves the measured demand and the hazards, whose averages lose weight when they
// are read.
func (t *trial) saveAverages() {
	e, measuredAt := t.e, t.e.demandMeasuredAt
	undoDemands, undoHazards := undoValues(e.demands), undoValues(e.hazards)
	t.onUndo(func() {
		undoDemands()
		undoHazards()
		e.demandMeasuredAt = measuredAt
	})
}

// undoValues returns a function that restores the keys of m and what its values point to.
func undoValues[K comparable, V any](m map[K]*V) func() {
	values := make(map[K]V, len(m))
	for k, v := range m {
		values[k] = *v
	}
	return func() {
		for k, v := range m {
			old, existed := values[k]
			if !existed {
				delete(m, k)
				continue
			}
			*v = old
		}
	}
}

// savePools saves the measurements of the pools. The speed classes stay those of the last round,
// as moving a large fleet between classes and back would cost more than the trial.
func (t *trial) savePools() {
	e := t.e
	known := maps.Clone(e.pools)
	for _, p := range known {
		measuredAt, speedsAt, free, capacity, next, urgent := p.measuredAt, p.speedsAt, p.free, p.capacity, p.nextPassedOver, p.urgent
		leastCapacity, added := p.leastCapacity, p.added
		p.speedsAt = e.now
		t.onUndo(func() {
			p.measuredAt, p.speedsAt, p.free, p.capacity, p.nextPassedOver, p.urgent = measuredAt, speedsAt, free, capacity, next, urgent
			p.leastCapacity, p.added = leastCapacity, added
		})
	}
	t.onUndo(func() {
		maps.DeleteFunc(e.pools, func(service string, _ *pool) bool { return known[service] == nil })
	})
}

// saveCold saves the workers that are slow after their start.
func (t *trial) saveCold() {
	e := t.e
	cold := slices.Clone(e.coldWorkers)
	for _, w := range cold {
		until, withheld := w.coldUntil, w.withheld
		t.onUndo(func() { w.coldUntil, w.withheld = until, withheld })
	}
	t.onUndo(func() { e.coldWorkers = cold })
}

// saveHeld saves what is held for gangs and reserved.
func (t *trial) saveHeld() {
	e := t.e
	workers := slices.Clone(e.heldWorkers)
	held, holds := make([]job.Resources, len(workers)), make([][]workerHold, len(workers))
	for i, w := range workers {
		held[i], holds[i] = w.heldForGangs, slices.Clone(w.holds)
	}
	t.onUndo(func() {
		e.clearHeld()
		for i, w := range workers {
			w.heldForGangs, w.holds = held[i], holds[i]
		}
		e.heldWorkers = workers
	})
}

// try notes that the round tries to place s.
func (t *trial) try(s *stepState) {
	if t != nil {
		t.tried[s] = true
		t.save(s)
	}
}

// save saves the state of s that the attempt to place it changes.
func (t *trial) save(s *stepState) {
	if t == nil || t.saved[s] {
		return
	}
	t.saved[s] = true
	a, tried, riskySince, gangRun := s.advice, s.placementTried, s.riskySince, s.lastGangRun
	reservation, neverFits, passesHolds, planFailedAt := s.reservation, s.neverFits, s.passesHolds, s.planFailedAt
	var before adviceState
	if a != nil {
		before = *a
	}
	t.onUndo(func() {
		s.advice, s.placementTried, s.riskySince, s.lastGangRun = a, tried, riskySince, gangRun
		s.reservation, s.neverFits, s.passesHolds, s.planFailedAt = reservation, neverFits, passesHolds, planFailedAt
		if a != nil {
			a.callsInFlight, a.asking, a.answerExpected, a.exhaustedAt = before.callsInFlight, before.asking, before.answerExpected, before.exhaustedAt
		}
	})
}

// planning saves what a run of x on w is about to change, and notes the worker.
func (t *trial) planning(x *task, w *worker) {
	if t == nil {
		return
	}
	t.noteChosen(x.step, w)
	t.saveReleases(w)
	e, s := t.e, x.step
	team := s.job().team
	usage, counted := e.usage[team]
	waiting, lastRun, used, runs, index, slot := s.waiting, x.lastRun, w.used, w.runs, w.poolIndex, w.poolSlot
	t.onUndo(func() {
		w.runs[len(w.runs)-1].endExposure()
		w.runs, w.used = runs, used
		if w.pool != nil {
			w.pool.moveBack(w, index, slot)
		}
		x.runs, x.lastRun, s.waiting = x.runs[:len(x.runs)-1], lastRun, waiting
		if e.usage[team] = usage; !counted {
			delete(e.usage, team)
		}
	})
}

// moveBack undoes the last update of the pool, which has moved w from its place in the list with the
// given index, if that was another one.
func (p *pool) moveBack(w *worker, index, slot int) {
	if w.poolIndex == index {
		return
	}
	lists := &p.byFreeCPU[w.speedClass]
	lists[w.poolIndex] = lists[w.poolIndex][:len(lists[w.poolIndex])-1]
	list := append(lists[index], w)
	if last := len(list) - 1; slot < last {
		list[last], list[slot] = list[slot], w
		list[last].poolSlot = last
	}
	lists[index] = list
	w.poolIndex, w.poolSlot = index, slot
}

// noteChosen notes that a task of s is placed on w.
func (t *trial) noteChosen(s *stepState, w *worker) {
	watched := t.watched[s]
	if watched == nil {
		return
	}
	out := watched.out
	out.Placed++
	index, known := watched.chosen[w]
	if !known {
		out.ChosenCount++
		index = -1
		if len(out.Chosen) < maxListedWorkers {
			index = len(out.Chosen)
			free := w.free()
			out.Chosen = append(out.Chosen, ChosenWorker{Worker: w.id, Zone: w.zone, Slowness: rounded(t.e.modelSlowness(w) * w.health.slowness()),
				FreeCPU: free.CPU, FreeMemMB: free.MemMB, FreeGPU: free.GPU})
		}
		watched.chosen[w] = index
	}
	if index >= 0 {
		out.Chosen[index].Tasks++
	}
}

// noteKept notes that n tasks of s may not start as resources are kept for urgent ones.
func (t *trial) noteKept(s *stepState, n int) {
	if t == nil {
		return
	}
	if watched := t.watched[s]; watched != nil {
		watched.kept = n
	}
}

// consider notes which workers are excluded when the round first comes to s.
func (t *trial) consider(s *stepState, q *policy.Queue) {
	if t == nil {
		return
	}
	if watched := t.watched[s]; watched != nil && !watched.considered {
		watched.considered = true
		t.save(s)
		s.passesHolds = t.e.isPastPatience(s)
		t.e.explainWorkers(s, q, watched.out)
	}
}

// run runs a placement round with the additional steps. It starts no speculative runs, as these
// come after all steps.
func (t *trial) run(more []*stepState) {
	e := t.e
	var steps []*stepState
	for _, s := range e.openSteps {
		if s.hasTasksToPlace() {
			steps = append(steps, s)
		}
	}
	open := e.openSteps
	e.openSteps = append(steps, more...)
	e.sortByUrgency(e.openSteps)
	t.noteOrder(e.openSteps)
	e.tryOpenSteps()
	e.openSteps = open
}

// noteOrder notes the places of the watched steps among those of their service, and the tasks
// before them. steps are sorted by urgency.
func (t *trial) noteOrder(steps []*stepState) {
	type count struct{ steps, tasks int }
	before := make(map[string]count)
	for _, s := range steps {
		q := t.e.queueOf(s.job())
		if q == nil {
			continue
		}
		c := before[q.Service]
		if watched := t.watched[s]; watched != nil {
			watched.out.Place, watched.out.TasksBefore = c.steps+1, c.tasks
		}
		before[q.Service] = count{c.steps + 1, c.tasks + s.waiting}
	}
	for s, watched := range t.watched {
		if q := t.e.queueOf(s.job()); q != nil && watched.out.Place > 0 {
			watched.out.OpenSteps = before[q.Service].steps
		}
	}
}

// explanationWindow and maxExplanations bound the time that explanations take from the leader: of
// each window, at most the duration of as many rounds.
const (
	explanationWindow = time.Second
	maxExplanations   = 2
)

// mayExplain reports whether another explanation may be made now, and counts it.
func (e *Engine) mayExplain() bool {
	oldest := &e.explainedAt[0]
	if at := &e.explainedAt[1]; at.Before(*oldest) {
		oldest = at
	}
	if !oldest.IsZero() && e.now.Sub(*oldest) < explanationWindow {
		return false
	}
	*oldest = e.now
	return true
}
