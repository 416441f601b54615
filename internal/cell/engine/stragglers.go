package engine

import (
	"time"

	"pollenbend/internal/cell/policy"
)

// A run is a straggler if it makes no progress, or if a second copy started now
// should end well before it. The engine answers workers that hang or turn slow while
// they report themselves as sound.

const (
	// watchEvery is the pause between two looks for stragglers.
	watchEvery = 100 * time.Millisecond
	// stallLeast is the shortest time without progress that counts as a stall:
	// longer than the pause between two reports of a busy worker.
	stallLeast = 2500 * time.Millisecond
	// stallShare is that time as a part of the time that the whole run should take.
	stallShare = 0.25
	// copyGain is how many times as long as a new run the rest of a run must last
	// before a copy pays.
	copyGain = 1.6
	// copyLeast is the progress in percent from which the rest of a run is judged.
	copyLeast = 5
	// copiesOfAll is the part of a service's CPU that may be spent on copies.
	copiesOfAll = 0.04
)

// watch looks for stragglers and empties draining workers.
func (e *Engine) watch() {
	if e.now.Sub(e.watched) < watchEvery {
		return
	}
	e.watched = e.now
	for _, w := range e.order {
		if len(w.runs) == 0 || w.silent > 0 {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.phase != running {
				continue
			}
			switch {
			case e.stalled(r):
				e.log.Warn("run makes no progress", "job", r.task.step.ref.Job, "task", r.task.name, "run", r.number, "worker", w.id,
					"percent", r.percent, "still_ms", e.age(r.percentAt), "expected_ms", e.expected(r).Milliseconds())
				if w.health.stalled(e.now) {
					e.log.Warn("worker under quarantine", "worker", w.id, "stalls", w.health.stalls, "for_ms", w.health.penalty.Milliseconds())
				}
				e.stop(r, "no progress")
			case w.draining && e.cutOff(r):
				e.stop(r, "its worker leaves before it ends")
			case r.task.step.spec.Speculative && len(r.task.runs) == 1 && e.copyPays(r):
				e.dirty = true
			}
		}
	}
}

// expected returns how long a run should take from its start to its end.
func (e *Engine) expected(r *run) time.Duration {
	s := r.task.step
	return e.pace.expect(s.job().queue, s.spec.Estimate)
}

// stalled reports whether r has stood still for so long that it is better started
// elsewhere.
func (e *Engine) stalled(r *run) bool {
	if r.percentAt.IsZero() || r.task.step.spec.LongRunning || r.percent >= 99 {
		return false
	}
	if r.task.step.spec.Gang && r.percent == 0 && e.now.Sub(r.begun) < e.cfg.GangWait+stallLeast {
		return false // it may wait for its other members
	}
	// One step of the percentage takes a hundredth of the run.
	limit := max(stallLeast, time.Duration(float64(e.expected(r))*stallShare))
	return e.now.Sub(r.percentAt) > limit && r.worker.answered.After(r.percentAt.Add(limit/2))
}

// rest returns how long r should still take by its pace so far.
func (e *Engine) rest(r *run) (time.Duration, bool) {
	gained := r.percent - r.base
	if gained < copyLeast || r.percentAt.Before(r.baseAt) {
		return 0, false
	}
	perPercent := float64(r.percentAt.Sub(r.baseAt)) / float64(gained)
	rest := time.Duration(perPercent*float64(100-r.percent)) - e.now.Sub(r.percentAt)
	return max(0, rest), true
}

// cutOff reports whether r is on a draining worker that leaves before r ends, and
// has to be stopped now to keep its progress. A run that keeps none goes on to the
// end, as it may still make it.
func (e *Engine) cutOff(r *run) bool {
	left := r.worker.leaves.Sub(e.now)
	rest, known := e.rest(r)
	if !known {
		rest = max(0, e.expected(r)-e.now.Sub(r.begun))
	}
	if rest < left {
		return false
	}
	if r.task.step.spec.LongRunning {
		return true
	}
	if !r.task.step.spec.Checkpoints {
		return rest > left+lingerHope
	}
	return left < e.cfg.StopTime+evacuateBefore
}

const (
	// evacuateBefore is how long before a worker leaves its runs are stopped, beside
	// the time that a stop takes: for the look that confirms it.
	evacuateBefore = 700 * time.Millisecond
	// lingerHope is how much longer than it promised a draining worker usually stays.
	lingerHope = 2 * time.Second
)

// placeCopies starts second copies of stragglers of steps that allow it.
func (e *Engine) placeCopies(rooms map[string]*room) {
	for _, w := range e.order {
		for r := range w.runs {
			s := r.task.step
			if !s.spec.Speculative || r.phase != running || len(r.task.runs) > 1 || r.task.done || s.job().state.Final() || s.job().overdue {
				continue
			}
			q := e.queueOf(s.job())
			if q == nil || !e.copyPays(r) {
				continue
			}
			rm := rooms[q.Service]
			if rm == nil {
				rm = e.roomOf(q.Service)
				rooms[q.Service] = rm
			}
			e.placeCopy(r, q, rm)
		}
	}
}

func (e *Engine) copyPays(r *run) bool {
	rest, known := e.rest(r)
	if !known {
		return false
	}
	fresh := e.expected(r)
	return float64(rest) > copyGain*float64(fresh)
}

func (e *Engine) placeCopy(r *run, q *policy.Queue, rm *room) {
	s := r.task.step
	if rm.copies <= 0 || len(e.withinLimit(s, []*task{r.task})) == 0 {
		return
	}
	for _, w := range e.allowed(s, q, rm) {
		if w == r.worker || !s.charge.Fits(w.free()) || w.health.failures > 0 {
			continue
		}
		if s.spec.MaxPerWorker > 0 && s.present(w) >= s.spec.MaxPerWorker {
			continue
		}
		rm.copies -= s.charge.CPU
		e.log.Info("second copy", "job", s.ref.Job, "task", r.task.name, "slow_worker", r.worker.id, "percent", r.percent, "worker", w.id)
		e.plan(r.task, w, r.task.number+1, s.ticket(w.id))
		return
	}
}
