package engine

import (
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// The states of a job in answers to callers.
const (
	StateQueued    = "queued"
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateCanceled  = "canceled"
)

func (e *Engine) submit(ev *Submit) {
	if e.refuseSettled(ev) {
		return
	}
	if j := e.jobs[ev.Spec.ID]; j != nil {
		e.resubmit(j, ev)
		return
	}
	if e.withdrawn(ev) {
		e.refuse(ev.Spec, canceledReason, 0, ev)
		return
	}
	why, retryAfter := e.admit(ev.Spec)
	if why == "" {
		why, retryAfter = e.memoryFull(ev.Spec)
	}
	if why == "" {
		why, retryAfter = e.storeUnavailable(ev.Wait)
		retryAfter = e.retryAfter(ev.Spec.ID, retryAfter)
	}
	if why != "" {
		e.refuse(ev.Spec, why, retryAfter, ev)
		return
	}
	accepted := e.wall()
	jobRecord := record.Encode(&record.Job{Spec: ev.Spec, Accepted: accepted})
	if why := e.unstorable(ev.Spec, jobRecord); why != "" {
		e.refuse(ev.Spec, why, 0, ev)
		return
	}
	j := newJob(ev.Spec, accepted)
	j.arrivedAt = e.now
	j.overEntitlement = !e.takeToken(ev.Spec.Team)
	e.addJob(j)
	e.put(record.JobKey(j.id), jobRecord)
	j.pendingSubmits = append(j.pendingSubmits, ev)
	e.batch.jobs = append(e.batch.jobs, j)
	e.afterAppend(func() {
		if e.jobs[j.id] != j {
			return // refused in the meantime
		}
		j.stored = true
		for _, pending := range j.pendingSubmits {
			pending.Reply(Answer{Outcome: OK})
		}
		j.pendingSubmits = nil
		e.log.Info("job accepted", "job", j.id, "term", e.cfg.Term, "queue", j.queue, "team", j.team, "steps", len(ev.Spec.Steps), "after_ms", e.msSince(j.arrivedAt))
	})
}

// refuse answers the submitters of a job that it is not accepted.
func (e *Engine) refuse(spec *job.Spec, why string, retryAfter time.Duration, submits ...*Submit) {
	e.countRefused(why)
	e.log.Info("job refused", "job", spec.ID, "queue", spec.Queue, "team", spec.Team, "reason", why, "retry_ms", retryAfter.Milliseconds(), "open_steps", len(e.openSteps))
	for _, ev := range submits {
		e.replyRefused(ev, why, retryAfter)
	}
}

// resubmit answers a repeated submission of a known job.
func (e *Engine) resubmit(j *jobState, ev *Submit) {
	caller := Caller{Team: ev.Spec.Team, Queue: ev.Spec.Queue, Public: ev.Spec.Public}
	if !caller.mayAccess(j.team, j.queue) {
		e.replyRefused(ev, "the id is taken", 0)
		return
	}
	if !j.stored {
		j.pendingSubmits = append(j.pendingSubmits, ev)
		return
	}
	ev.Reply(Answer{Outcome: OK})
}

// addJob adds a job and opens its first steps. A scheduled job is opened by
// openDueOccurrences.
func (e *Engine) addJob(j *jobState) {
	e.remember(j)
	if j.spec == nil {
		return
	}
	if j.spec.Scheduled() {
		e.scheduledJobs = append(e.scheduledJobs, j)
		return
	}
	if !j.started {
		e.queued[j.queue]++
	}
	e.openReadySteps(j.occurrenceAt(0))
}

// openReadySteps opens the steps of o whose dependencies are done.
func (e *Engine) openReadySteps(o *occurrence) {
	e.countArrival(o)
	for _, s := range o.steps {
		if s.ready || s.remaining == 0 || !o.dependenciesDone(s) {
			continue
		}
		s.ready = true
		s.readyAt = e.now
		e.addOpenStep(s)
		e.needsPlacement = true
	}
}

// addOpenStep adds s to the open steps unless it is one of them.
func (e *Engine) addOpenStep(s *stepState) {
	if s.inOpenSteps {
		return
	}
	s.inOpenSteps = true
	s.urgency = e.urgencyOf(s)
	e.openSteps = append(e.openSteps, s)
}

// dependenciesDone reports whether all steps that s depends on are done.
func (o *occurrence) dependenciesDone(s *stepState) bool {
	for _, d := range s.spec.DependsOn {
		if o.steps[d].remaining > 0 {
			return false
		}
	}
	return true
}

// openDueOccurrences opens the occurrences of scheduled jobs that are due.
func (e *Engine) openDueOccurrences() {
	if len(e.scheduledJobs) == 0 {
		return
	}
	wall := e.wall()
	for _, j := range e.scheduledJobs {
		if j.state.Final() {
			continue
		}
		for k := range j.occurrences {
			if j.spec.Due(k) > wall {
				break
			}
			o := j.occurrenceAt(k)
			if o.remaining > 0 {
				e.openReadySteps(o)
			}
		}
	}
}

// cancel cancels a job. Once that is acknowledged no task of the job starts, also if its submission arrives later.
func (e *Engine) cancel(ev *Cancel) {
	j := e.jobs[ev.ID]
	known, askedAt := e.knowledgeOf(j, ev.Caller), e.now
	reply := func(a Answer) {
		e.log.Info("cancellation answered", "job", ev.ID, "team", ev.Caller.Team, "outcome", a.Outcome.String(), "term", e.cfg.Term, "known", known,
			"declarations", e.policy.Version, "after_ms", e.msSince(askedAt), "reason", a.Why)
		ev.Reply(a)
	}
	outcome := OK
	if j == nil || !ev.Caller.mayAccess(j.team, j.queue) {
		outcome = NotFound
		why, retryAfter := e.storeUnavailable(0)
		if why == "" && e.withdrawals.find(ev.ID, ev.Caller) == nil && !e.withdrawals.hasRoom(ev.Caller) {
			why, retryAfter = "too many cancellations of unknown jobs", withdrawalRetryAfter
		}
		if why != "" {
			reply(Answer{Outcome: Refused, Why: why, RetryAfter: retryAfter})
			return
		}
	}
	if outcome == NotFound || e.mayForget(j) {
		e.withdraw(ev.ID, ev.Caller)
	}
	if outcome == OK && j.state == record.Open {
		e.log.Info("job canceled", "job", j.id, "begun", j.started)
		e.finishJob(j, record.Canceled)
	}
	e.afterAppend(func() { reply(Answer{Outcome: outcome}) })
}

// mayForget reports whether a copy of the submission of j may arrive after j is forgotten: the store may refuse j, or
// its retention is over soon.
func (e *Engine) mayForget(j *jobState) bool {
	return !j.stored || j.state.Final() && e.wall()-j.endedAt >= e.cfg.EndedJobRetention.Milliseconds()/2
}

// knowledgeOf returns what this leader knows of a job that a caller asks for, for the log: that it
// is unknown, of another team, not stored yet, or its state.
func (e *Engine) knowledgeOf(j *jobState, c Caller) string {
	switch {
	case j == nil:
		return "unknown"
	case !c.mayAccess(j.team, j.queue):
		return "of another team"
	case !j.stored:
		return "not stored"
	}
	return j.stateName()
}

func (e *Engine) status(ev *Status) {
	j := e.jobs[ev.ID]
	if j == nil || !ev.Caller.mayAccess(j.team, j.queue) || !j.stored {
		e.log.Info("job not found", "job", ev.ID, "team", ev.Caller.Team, "term", e.cfg.Term, "known", e.knowledgeOf(j, ev.Caller), "declarations", e.policy.Version)
		ev.Reply(Answer{Outcome: NotFound})
		return
	}
	answer := Answer{Outcome: OK, State: j.stateName()}
	if j.reportedState == record.Failed {
		answer.Why = j.reason
	}
	ev.Reply(answer)
}

// stateName returns the state of j for callers, one of the State constants.
func (j *jobState) stateName() string {
	switch j.reportedState {
	case record.Completed:
		return StateCompleted
	case record.Failed:
		return StateFailed
	case record.Canceled:
		return StateCanceled
	}
	if j.started {
		return StateRunning
	}
	return StateQueued
}

// markStarted records that a task of j has started, or that none ever will, so that j
// no longer counts as queued.
func (e *Engine) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	if !j.spec.Scheduled() {
		e.queued[j.queue]--
	}
}

// finishJob ends a job in the given final state and stops its remaining runs.
func (e *Engine) finishJob(j *jobState, state record.State) {
	j.state = state
	j.endedAt = e.wall()
	e.markStarted(j)
	e.putJob(j)
	j.eachStep(func(s *stepState) {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				if !t.done || !s.spec.Gang {
					e.stopRun(r, "job has ended")
				}
			}
		}
	})
	e.afterAppend(func() {
		j.reportedState = state
		e.log.Info("job ended", "job", j.id, "state", j.stateName(), "queue", j.queue, "since_arrival_ms", e.msSince(j.arrivedAt))
	})
	e.endedJobs = append(e.endedJobs, j)
	e.needsPlacement = true
	e.compactJob(j)
}

// record returns the record of j. As long as an ended job has runs, the record keeps
// the job's spec, from which the next leader knows what resources they use.
func (j *jobState) record() *record.Job {
	r := &record.Job{State: j.state, Team: j.team, Queue: j.queue, Accepted: j.acceptedAt, Ended: j.endedAt, Reason: j.reason}
	if !j.state.Final() || j.hasRuns() {
		r.Spec = j.spec
	}
	return r
}

// eachStep calls f for every step of the occurrences created so far.
func (j *jobState) eachStep(f func(*stepState)) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			f(s)
		}
	}
}

// hasRuns reports whether a task of j has a run.
func (j *jobState) hasRuns() bool {
	found := false
	j.eachStep(func(s *stepState) {
		for _, t := range s.tasks {
			found = found || t.hasRuns()
		}
	})
	return found
}

// compactJob removes the steps of an ended job from the store once the job has no
// runs.
func (e *Engine) compactJob(j *jobState) {
	if !j.state.Final() || j.compacted || j.hasRuns() {
		return
	}
	j.compacted = true
	known := e.jobs[j.id]
	if known != nil && known != j {
		return // j was forgotten, and the records are those of a later job of its id
	}
	j.eachStep(func(s *stepState) {
		for segment := range record.Segments(len(s.tasks)) {
			if s.mayBeStored(segment) {
				e.put(record.StepKey(s.ref, segment), nil)
			}
		}
	})
	if known == j {
		e.putJob(j)
	}
}

// mayBeStored reports whether the store may hold a record of a segment of s.
func (s *stepState) mayBeStored(segment int) bool {
	switch {
	case segment == 0 && (s.advice != nil || s.wholeStored):
		return true // the adviser's answers are stored before a task starts
	case s.spec.Gang && s.lastGangRun > 0:
		return true // all segments of a gang are written together
	}
	for _, t := range s.segment(segment) {
		if t.lastRun > 0 || t.hasRuns() || t.done {
			return true
		}
	}
	return false
}

// dropExpiredJobs drops jobs that ended more than EndedJobRetention ago, from the
// store as well, old withdrawals, and the times of stop commands for unknown runs after a minute.
func (e *Engine) dropExpiredJobs() {
	n := 0
	wall := e.wall()
	for _, j := range e.endedJobs {
		if wall-j.endedAt < e.cfg.EndedJobRetention.Milliseconds() {
			break
		}
		e.forget(j)
		e.put(record.JobKey(j.id), nil)
		n++
	}
	e.endedJobs = e.endedJobs[n:]
	e.dropExpiredWithdrawals()
	for k, at := range e.unknownRunStops {
		if e.now.Sub(at) > time.Minute {
			delete(e.unknownRunStops, k)
		}
	}
}
