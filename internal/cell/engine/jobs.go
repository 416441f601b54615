package engine

import (
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// Words for the state of a job.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCanceled  = "canceled"
)

func (e *Engine) submit(ev *Submit) {
	if j := e.jobs[ev.Spec.ID]; j != nil {
		e.submitAgain(j, ev)
		return
	}
	why, after := e.admit(ev.Spec)
	if why == "" {
		why, after = e.unstorable()
	}
	if why != "" {
		e.refuse(ev.Spec, why, after, ev.Reply)
		return
	}
	j := newJob(ev.Spec, e.wall())
	j.arrived = e.now
	j.overdue = !e.allow(ev.Spec.Team)
	e.add(j)
	e.put(record.JobKey(j.id), record.Encode(&record.Job{Spec: j.spec, Accepted: j.accepted}))
	j.waiting = append(j.waiting, ev.Reply)
	e.batch.jobs = append(e.batch.jobs, j)
	e.afterAppend(func() {
		if e.jobs[j.id] != j {
			return // refused meanwhile
		}
		j.stored = true
		for _, reply := range j.waiting {
			reply(Answer{Outcome: OK})
		}
		j.waiting = nil
		e.log.Info("job accepted", "job", j.id, "queue", j.queue, "team", j.team, "steps", len(ev.Spec.Steps), "after_ms", e.age(j.arrived))
	})
}

// refuse tells everyone who handed a job in that it is not accepted.
func (e *Engine) refuse(spec *job.Spec, why string, after time.Duration, replies ...func(Answer)) {
	e.log.Info("job refused", "job", spec.ID, "queue", spec.Queue, "team", spec.Team, "reason", why, "retry_ms", after.Milliseconds(), "open_steps", len(e.open))
	for _, reply := range replies {
		reply(Answer{Outcome: Refused, Why: why, RetryAfter: after})
	}
}

// submitAgain answers a repeat of a submission.
func (e *Engine) submitAgain(j *jobState, ev *Submit) {
	if j.team != ev.Spec.Team {
		ev.Reply(Answer{Outcome: Refused, Why: "the id is taken"})
		return
	}
	if !j.stored {
		j.waiting = append(j.waiting, ev.Reply)
		return
	}
	ev.Reply(Answer{Outcome: OK})
}

// add takes a job in and opens its first steps.
func (e *Engine) add(j *jobState) {
	e.jobs[j.id] = j
	if j.spec == nil {
		return
	}
	if j.spec.Scheduled() {
		e.timed = append(e.timed, j)
		return
	}
	if !j.begun {
		e.queued[j.queue]++
	}
	e.openSteps(j.occurrenceAt(0))
}

// openSteps opens the steps of o whose turn has come.
func (e *Engine) openSteps(o *occurrence) {
	e.arrived(o)
	for _, s := range o.steps {
		if s.ready || s.left == 0 || !o.dependenciesDone(s) {
			continue
		}
		s.ready = true
		s.readyAt = e.now
		e.open = append(e.open, s)
		e.dirty = true
	}
}

func (o *occurrence) dependenciesDone(s *stepRun) bool {
	for _, d := range s.spec.DependsOn {
		if o.steps[d].left > 0 {
			return false
		}
	}
	return true
}

// openDue opens the occurrences of scheduled jobs that are due.
func (e *Engine) openDue() {
	if len(e.timed) == 0 {
		return
	}
	wall := e.wall()
	for _, j := range e.timed {
		if j.state.Final() {
			continue
		}
		for k := range j.occ {
			if j.spec.Due(k) > wall {
				break
			}
			o := j.occurrenceAt(k)
			if o.left > 0 {
				e.openSteps(o)
			}
		}
	}
}

func (e *Engine) cancel(ev *Cancel) {
	j := e.jobs[ev.ID]
	if j == nil || j.team != ev.Team {
		ev.Reply(Answer{Outcome: NotFound})
		return
	}
	if j.state == record.Open {
		e.log.Info("job canceled", "job", j.id, "begun", j.begun)
		e.finish(j, record.Canceled)
	}
	e.afterAppend(func() { ev.Reply(Answer{Outcome: OK}) })
}

func (e *Engine) status(ev *Status) {
	j := e.jobs[ev.ID]
	if j == nil || j.team != ev.Team || !j.stored {
		ev.Reply(Answer{Outcome: NotFound})
		return
	}
	ev.Reply(Answer{Outcome: OK, State: j.word()})
}

func (j *jobState) word() string {
	switch j.shown {
	case record.Completed:
		return StateCompleted
	case record.Failed:
		return StateFailed
	case record.Canceled:
		return StateCanceled
	}
	if j.begun {
		return StateRunning
	}
	return StateQueued
}

// taskBegun notes that a task of j has started, or that none ever will: j no longer
// counts as waiting.
func (e *Engine) taskBegun(j *jobState) {
	if j.begun {
		return
	}
	j.begun = true
	if !j.spec.Scheduled() {
		e.queued[j.queue]--
	}
}

// finish ends a job and stops what still runs of it.
func (e *Engine) finish(j *jobState, state record.State) {
	j.state = state
	j.ended = e.wall()
	e.taskBegun(j)
	e.put(record.JobKey(j.id), record.Encode(j.record()))
	j.eachStep(func(s *stepRun) {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				if !t.done || !s.spec.Gang {
					e.stop(r, "the job is over")
				}
			}
		}
	})
	e.afterAppend(func() {
		j.shown = state
		e.log.Info("job over", "job", j.id, "state", j.word(), "queue", j.queue, "since_arrival_ms", e.age(j.arrived))
	})
	e.ended = append(e.ended, j)
	e.dirty = true
	e.compact(j)
}

// record returns the durable form of j. While runs of a job that is over are left,
// it keeps the job's spec, so that a next leader knows what they take.
func (j *jobState) record() *record.Job {
	r := &record.Job{State: j.state, Team: j.team, Queue: j.queue, Accepted: j.accepted, Ended: j.ended}
	if !j.state.Final() || j.live() {
		r.Spec = j.spec
	}
	return r
}

func (j *jobState) eachStep(f func(*stepRun)) {
	for _, o := range j.occ {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			f(s)
		}
	}
}

// live reports whether runs of j are left.
func (j *jobState) live() bool {
	live := false
	j.eachStep(func(s *stepRun) {
		for _, t := range s.tasks {
			live = live || t.live()
		}
	})
	return live
}

// compact drops the steps of a job that is over from the store once none of its
// runs is left.
func (e *Engine) compact(j *jobState) {
	if !j.state.Final() || j.compacted || j.live() {
		return
	}
	j.compacted = true
	j.eachStep(func(s *stepRun) {
		if s.touched() {
			e.put(record.StepKey(s.ref), nil)
		}
	})
	e.put(record.JobKey(j.id), record.Encode(j.record()))
}

// touched reports whether a record of s may be stored.
func (s *stepRun) touched() bool {
	if s.advice != nil {
		return true // the adviser's answers are kept before a task starts
	}
	for _, t := range s.tasks {
		if t.number > 0 || t.live() || t.done {
			return true
		}
	}
	return false
}

// expire forgets jobs that ended long ago.
func (e *Engine) expire() {
	n := 0
	wall := e.wall()
	for _, j := range e.ended {
		if wall-j.ended < e.cfg.KeepEnded.Milliseconds() {
			break
		}
		delete(e.jobs, j.id)
		e.put(record.JobKey(j.id), nil)
		n++
	}
	e.ended = e.ended[n:]
	for k, at := range e.strays {
		if e.now.Sub(at) > time.Minute {
			delete(e.strays, k)
		}
	}
}
