package engine

import "time"

// A leader that ends in order first stores what its successor can't find out on workers that it doesn't reach: which
// runs are settled. Conclude asks for that.

// conclusion is the end of a term in order.
type conclusion struct {
	since   time.Time
	done    func() // called once what the leader knows is stored
	storing bool
}

// conclusionStartWait is how long a leader that ends waits for the answers to its start commands, which settle runs. A
// healthy worker answers within a few milliseconds.
const conclusionStartWait = 100 * time.Millisecond

// beginConclusion begins to end the term in order. From now on no runs are planned, as their starts might not be settled
// when it ends.
func (e *Engine) beginConclusion(ev *Conclude) {
	e.conclusion = &conclusion{since: e.now, done: ev.Done}
}

// continueTerm has the term go on after Conclude.
func (e *Engine) continueTerm() { e.conclusion, e.needsPlacement = nil, true }

// conclude stores which runs are settled once no start command awaits its answer.
func (e *Engine) conclude() {
	if e.conclusion == nil || e.conclusion.storing || e.now.Sub(e.conclusion.since) < conclusionStartWait && e.awaitsStarts() {
		return
	}
	e.conclusion.storing = true
	for _, w := range e.workerList {
		for _, r := range w.runs {
			e.storeSettled(r)
		}
	}
	e.afterAppend(e.conclusion.done)
}

// awaitsStarts reports whether the start command of a run is yet to be sent or answered.
func (e *Engine) awaitsStarts() bool {
	for _, w := range e.workerList {
		for _, r := range w.runs {
			if r.phase == starting || r.phase == planned && !r.restored {
				return true
			}
		}
	}
	return false
}
