package engine

import (
	"time"

	"pollenbend/internal/cell/job"
)

// applyEnds takes in the ends that a worker lists.
func (e *Engine) applyEnds(w *worker, rep *Report) {
	last := w.seen
	fresh := false
	for i := range rep.Ended {
		end := &rep.Ended[i]
		if end.Number <= w.seen {
			continue
		}
		last = max(last, end.Number)
		fresh = true
		ref, err := job.ParseTask(end.Task)
		if err != nil {
			e.log.Warn("worker lists an unknown task", "worker", w.id, "task", end.Task, "reason", err.Error())
			continue
		}
		e.applyEnd(w, ref, end)
	}
	if !fresh {
		return
	}
	w.seen = last
	w.unstored++
	w.lookSoon = true
	life := w.life
	e.afterAppend(func() {
		w.unstored--
		if w.life == life {
			w.cursor = max(w.cursor, last)
			w.lookNext = e.now
		}
	})
}

func (e *Engine) applyEnd(w *worker, ref job.TaskRef, end *RunEnd) {
	t := e.task(ref)
	if t == nil {
		return
	}
	for _, r := range t.runs {
		if r.worker == w && r.number == end.Run {
			e.endRun(r, end.How, end.Checkpoint, "reported")
			return
		}
	}
	// The run is not known here: it was given up after its lease had lapsed, or its
	// record was never stored. A success is taken only if no other run is live.
	e.log.Info("end of an unknown run", "task", end.Task, "run", end.Run, "worker", w.id, "how", end.How.String())
	if end.Run > t.number {
		t.number = end.Run
		t.step.gangRun = max(t.step.gangRun, end.Run)
	}
	if end.How == EndedDone && !t.done && !t.live() {
		e.taskDone(t)
	}
}

// applyRunning compares what a worker runs with what it should run.
func (e *Engine) applyRunning(w *worker, ev *Looked) {
	present := make(map[string]*RunStatus, len(ev.Report.Running))
	w.strays = 0
	for i := range ev.Report.Running {
		s := &ev.Report.Running[i]
		present[s.Task] = s
		ref, err := job.ParseTask(s.Task)
		if err != nil {
			e.log.Warn("worker runs an unknown task", "worker", w.id, "task", s.Task, "reason", err.Error())
			continue
		}
		e.applyStatus(w, ref, s)
	}
	for _, r := range w.sortedRuns() {
		s := present[r.task.name]
		if s != nil && s.Run == r.number {
			continue
		}
		e.missing(w, r, ev)
	}
}

// applyStatus takes in one run that a worker reports as present.
func (e *Engine) applyStatus(w *worker, ref job.TaskRef, s *RunStatus) {
	t := e.task(ref)
	if t != nil {
		for _, r := range t.runs {
			if r.worker == w && r.number == s.Run {
				e.runSeen(r, s)
				return
			}
		}
	}
	e.stray(w, t, s)
}

// runSeen notes the progress of a run.
func (e *Engine) runSeen(r *run, s *RunStatus) {
	if r.phase == ordered || r.phase == doubtful || r.phase == planned && r.restored {
		r.phase = running
		e.taskBegun(r.task.step.job())
	}
	r.restored = false
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	if r.baseAt.IsZero() {
		r.base, r.baseAt = s.Percent, e.now
	}
	if s.Percent > r.percent || r.percentAt.IsZero() {
		r.percent, r.percentAt = s.Percent, e.now
	}
	if r.task.done && r.phase == running {
		e.stop(r, "the task is done")
	}
}

// stray deals with a run that nobody here knows: of an earlier leader whose
// record was not stored, or carried out late.
func (e *Engine) stray(w *worker, t *task, s *RunStatus) {
	w.strays++
	w.lookSoon = true
	key := s.Task
	if at, known := e.strays[key]; known && e.now.Sub(at) < e.cfg.StopRetry {
		return
	}
	e.strays[key] = e.now
	e.log.Warn("stopping a run that is not wanted", "task", s.Task, "run", s.Run, "worker", w.id, "task_known", t != nil)
	e.emit(&Stop{Timeout: stopTimeout, Worker: w.id, Address: w.address, Life: w.life, Task: s.Task, Run: s.Run})
}

// missing deals with a run that the worker neither runs nor lists as ended.
func (e *Engine) missing(w *worker, r *run, ev *Looked) {
	switch r.phase {
	case planned:
		if !r.restored {
			return
		}
		e.stop(r, "not seen after a change of leaders")
	case ordered:
		return // the order may still be under way; its answer decides
	case running:
		if ev.Sent.After(r.begun.Add(e.cfg.SettleStart)) {
			// Confirmed, absent and not listed as ended: the worker forgot it.
			e.stop(r, "gone from its worker")
		}
	case doubtful:
		e.stop(r, "in doubt")
	case stopping:
		if !r.stopped.IsZero() && ev.Sent.After(r.stopped) {
			e.endRun(r, EndedStopped, "", "absent after the stop")
		}
	}
}

// lapsed ends the runs on workers that were not reached until every lease there
// had run out.
func (e *Engine) lapsed() {
	for _, w := range e.order {
		if len(w.runs) == 0 {
			continue
		}
		end := w.lapses()
		if !w.looked {
			end = e.started.Add(e.cfg.MaxLease + time.Duration(float64(e.cfg.MaxLease)*2*clockDrift))
		}
		if e.now.Before(end.Add(e.cfg.LapseMargin)) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if !r.sent {
				continue
			}
			e.endRun(r, EndedLapsed, "", "lease lapsed without contact")
		}
	}
}
