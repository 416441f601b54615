package engine

import (
	"pollenbend/internal/cell/record"
)

// taskDone notes that t has ended well.
func (e *Engine) taskDone(t *task) {
	s := t.step
	if t.done || s.spec.LongRunning {
		return
	}
	members := []*task{t}
	if s.spec.Gang {
		members = s.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		if !m.live() {
			s.waiting--
		}
		m.done = true
		s.left--
		for _, r := range m.runs {
			if !s.spec.Gang && r.phase != stopping {
				e.stop(r, "another copy is done")
			}
		}
	}
	e.touch(s)
	e.dirty = true
	if s.left == 0 {
		e.stepDone(s)
	}
}

func (e *Engine) stepDone(s *stepRun) {
	o := s.occ
	o.left--
	e.log.Debug("step done", "step", s.name, "since_ready_ms", e.age(s.readyAt))
	if o.left > 0 {
		e.openSteps(o)
		return
	}
	j := o.job
	j.left--
	if j.left == 0 && !j.state.Final() {
		e.finish(j, record.Completed)
	}
}

// endRun takes a run off its worker and decides what follows for its task.
func (e *Engine) endRun(r *run, how How, checkpoint, source string) {
	if r.gone {
		return
	}
	t, s := r.task, r.task.step
	j := s.job()
	e.dropRun(r)
	if checkpoint != "" {
		t.checkpoint = checkpoint
		if s.spec.Gang {
			for _, m := range s.tasks {
				m.checkpoint = checkpoint
			}
		}
	}
	what := "run ended"
	if !r.sent {
		what = "run dropped" // no order has gone out
	}
	e.log.Info(what, "job", j.id, "task", t.name, "run", r.number, "worker", r.worker.id, "how", how.String(),
		"source", source, "ran_ms", e.age(r.begun), "percent", r.percent, "stop_reason", r.stopWhy)
	e.judgeWorker(r, how)
	e.touch(s)
	e.dirty = true
	if j.state.Final() {
		e.compact(j)
		return
	}
	switch how {
	case EndedDone:
		e.observe(r)
		e.taskDone(t)
	case EndedFailed:
		e.taskFailed(t, r)
	}
	if s.spec.Gang && !t.done && how != EndedDone {
		e.collapse(s, r.number)
	}
}

func (e *Engine) dropRun(r *run) {
	r.gone = true
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	delete(r.worker.runs, r)
	r.worker.used = r.worker.used.Sub(r.charge)
	team := t.step.job().team
	e.usage[team] = e.usage[team].Sub(t.step.spec.Need)
	if !t.done && !t.live() {
		t.step.waiting++
		e.reopen(t.step)
	}
}

// reopen lists s again among the steps with tasks to place.
func (e *Engine) reopen(s *stepRun) {
	if !s.ready || s.job().state.Final() {
		return
	}
	for _, o := range e.open {
		if o == s {
			return
		}
	}
	e.open = append(e.open, s)
}

func (e *Engine) taskFailed(t *task, r *run) {
	s := t.step
	if s.spec.LongRunning {
		return
	}
	j := s.job()
	attempts := 1
	if q := e.queueOf(j); q != nil {
		attempts = max(1, q.Attempts)
	}
	t.failures++
	t.lastWorker = r.worker.id
	if s.spec.Gang {
		// A gang fails as a whole, once for each of its runs.
		for _, m := range s.tasks {
			m.failures = max(m.failures, t.failures)
		}
	}
	if t.failures >= attempts && !t.done {
		e.log.Info("job failed", "job", j.id, "task", t.name, "failures", t.failures, "attempts", attempts)
		e.finish(j, record.Failed)
	}
}

// collapse stops what is left of a gang's run after one member ended early.
func (e *Engine) collapse(s *stepRun, number int) {
	for _, m := range s.tasks {
		for _, r := range m.runs {
			if r.number == number && r.phase != stopping {
				e.stop(r, "another member of the gang ended")
			}
		}
	}
}

// judgeWorker keeps the record of how well a worker runs tasks.
func (e *Engine) judgeWorker(r *run, how How) {
	w := r.worker
	switch how {
	case EndedDone:
		w.health.succeeded()
	case EndedFailed:
		if r.task.failures > 0 && r.task.lastWorker != w.id {
			return // it failed elsewhere too: the task is more likely at fault
		}
		if w.health.failed(e.now) {
			e.log.Warn("worker under quarantine", "worker", w.id, "failures", w.health.failures, "for_ms", w.health.penalty.Milliseconds())
		}
	}
}
