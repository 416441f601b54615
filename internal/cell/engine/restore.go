package engine

import (
	"slices"
	"sort"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// Restored holds the records of a cell from the store.
type Restored struct {
	Jobs        map[string]*record.Job
	Steps       map[job.StepRef]record.StoredStep
	Withdrawals map[string]*record.Withdrawal // by key
	Model       []byte                        // what is learned of run times, see record.ModelKey
}

// NewRestored returns an empty set of records.
func NewRestored() Restored {
	return Restored{Jobs: make(map[string]*record.Job), Steps: make(map[job.StepRef]record.StoredStep), Withdrawals: make(map[string]*record.Withdrawal)}
}

// StepOf returns the records of a step, to which the caller may add some.
func (r *Restored) StepOf(ref job.StepRef) record.StoredStep {
	if r.Steps[ref] == nil {
		r.Steps[ref] = make(record.StoredStep)
	}
	return r.Steps[ref]
}

// Restore applies the records that earlier leaders stored. It is called once, before
// any event except WorkersListed.
func (e *Engine) Restore(from Restored) {
	e.restoreModel(from.Model)
	e.restoreWithdrawals(from.Withdrawals)
	ids := make([]string, 0, len(from.Jobs))
	for id := range from.Jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		x, y := from.Jobs[ids[a]], from.Jobs[ids[b]]
		if x.Accepted != y.Accepted {
			return x.Accepted < y.Accepted
		}
		return ids[a] < ids[b]
	})
	wall := e.wall()
	for _, id := range ids {
		e.restoreJob(id, from.Jobs[id], wall, from.Steps)
	}
	sort.SliceStable(e.endedJobs, func(a, b int) bool { return e.endedJobs[a].endedAt < e.endedJobs[b].endedAt })
	e.log.Info("state restored", "jobs", len(from.Jobs), "steps", len(from.Steps), "withdrawals", len(from.Withdrawals), "open_steps", len(e.openSteps), "workers", len(e.workerList))
}

// restoreJob restores a job and its steps.
func (e *Engine) restoreJob(id string, rec *record.Job, wall int64, steps map[job.StepRef]record.StoredStep) {
	if rec.Spec == nil {
		j := &jobState{id: id, team: rec.Team, queue: rec.Queue, acceptedAt: rec.Accepted, endedAt: rec.Ended,
			state: rec.State, reason: rec.Reason, reportedState: rec.State, stored: true, started: true, compacted: true}
		e.jobs[id] = j
		e.endedJobs = append(e.endedJobs, j)
		return
	}
	j := newJob(rec.Spec, rec.Accepted)
	j.stored = true
	j.arrivedAt = e.now.Add(-time.Duration(max(0, wall-rec.Accepted)) * time.Millisecond)
	e.remember(j)
	for k := range j.occurrences {
		for i := range j.spec.Steps {
			ref := job.StepRef{Job: id, Occurrence: k, Step: i}
			if stored := steps[ref]; stored != nil {
				e.restoreStep(j.occurrenceAt(k).steps[i], stored)
			}
		}
		if o := j.occurrences[k]; o != nil && o.remaining == 0 {
			j.remaining--
		}
	}
	if rec.State.Final() {
		e.restoreEnded(j, rec)
		return
	}
	if j.remaining == 0 {
		e.finishJob(j, record.Completed)
		return
	}
	e.addJob(j)
	for _, o := range j.occurrences {
		if o != nil && o.remaining > 0 {
			e.openReadySteps(o)
		}
	}
}

// restoreEnded restores an ended job that may still have runs.
func (e *Engine) restoreEnded(j *jobState, rec *record.Job) {
	j.state, j.reportedState, j.endedAt, j.started = rec.State, rec.State, rec.Ended, true
	j.reason = rec.Reason
	e.endedJobs = append(e.endedJobs, j)
	j.eachStep(func(s *stepState) {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				e.stopRun(r, "job has ended")
			}
		}
	})
	e.compactJob(j)
}

// restoreStep applies the records of a step.
func (e *Engine) restoreStep(s *stepState, step record.StoredStep) {
	s.wholeStored = step.Whole()
	gangDone := s.spec.Gang && anyDone(step) // a part of its records may have been stored
	for index, t := range s.tasks {
		rec, i := step.Task(index)
		if rec == nil {
			rec, i = noProgress, 0
		}
		stored := rec.Tasks[i]
		stored.Done = stored.Done || gangDone
		t.lastRun, t.failures, t.checkpoint = stored.Run, stored.Failures, stored.Checkpoint
		t.crashes = rec.Crashes[i]
		s.suspected = s.suspected || t.suspect()
		t.harmless = stored.Failures > 0 || stored.Checkpoint != ""
		s.lastGangRun = max(s.lastGangRun, stored.Run)
		if rec.Begun || stored.Done || stored.Failures > 0 || stored.Checkpoint != "" {
			s.job().started = true // a planned run alone may never have started
		}
		if stored.Done {
			t.done = true
			s.remaining--
			s.waiting--
		}
		if stored.Worker != "" {
			e.restoreRun(t, &stored, rec.PlannedAt)
		}
		if speculative, ok := rec.SpeculativeRuns[i]; ok {
			t.lastRun = max(t.lastRun, speculative.Run)
			if speculative.Worker != "" {
				copied := e.restoreRun(t, &speculative, rec.PlannedAt)
				if !s.mayCopyRuns() { // an earlier version has started it
					e.stopRun(copied, "a copy of a single member of a gang")
				}
			}
		}
	}
	if first := step[0]; first != nil {
		s.failedGangRuns = first.FailedGangRuns
		e.restoreAdvice(s, first)
	}
	if s.spec.Gang {
		s.restoreGangFailures()
	}
	if s.remaining == 0 {
		s.occ.remaining--
	}
}

// restoreGangFailures restores how many runs of the gang failed. The count may be stored without the numbers of
// some of these runs, by an earlier version or as only a part of the records was stored. They are taken to be the
// newest runs that have ended for a member.
func (s *stepState) restoreGangFailures() {
	count := len(s.failedGangRuns)
	for _, t := range s.tasks {
		count = max(count, t.failures)
	}
	for number := s.lastGangRun; number > 0 && len(s.failedGangRuns) < count; number-- {
		if !slices.Contains(s.failedGangRuns, number) && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.endedRun(number) }) {
			s.failedGangRuns = append(s.failedGangRuns, number)
		}
	}
	for _, t := range s.tasks {
		t.failures = len(s.failedGangRuns) // an earlier version counted a run once for each member that failed
	}
}

// endedRun reports whether t had the run with the given number and it has ended.
func (t *task) endedRun(number int) bool {
	return t.lastRun >= number && !slices.ContainsFunc(t.runs, func(r *run) bool { return r.number == number })
}

// noProgress is the record of a task that never had a run.
var noProgress = &record.Step{Tasks: make([]record.Task, 1)}

// anyDone reports whether a task is done according to the records of a step.
func anyDone(step record.StoredStep) bool {
	for _, rec := range step {
		if slices.ContainsFunc(rec.Tasks, func(t record.Task) bool { return t.Done }) {
			return true
		}
	}
	return false
}

// restoreAdvice restores the adviser's answers to earlier leaders, without the tickets,
// which are not stored.
func (e *Engine) restoreAdvice(s *stepState, rec *record.Step) {
	if len(rec.Asked) == 0 {
		return
	}
	asked := rec.Asked.Matcher()
	for _, w := range e.workerList {
		if asked(w.id) {
			s.ensureAdvice().asked[w] = w.incarnation
		}
	}
	for _, g := range rec.GoodWorkers {
		if w := e.workers[g.Worker]; w != nil {
			s.markGood(w, ticket{incarnation: g.Incarnation})
		}
	}
}

// restoreRun restores a run that was planned by plannedAt, in Unix milliseconds. Its worker is added
// if the directory does not list it. It returns the run.
func (e *Engine) restoreRun(t *task, stored *record.Task, plannedAt int64) *run {
	w := e.workers[stored.Worker]
	if w == nil {
		w = newWorker(stored.Worker)
		w.incarnation = stored.Incarnation
		w.unlistedSince = e.now
		e.workers[w.id] = w
		e.workerList = append(e.workerList, w)
	}
	if !t.hasRuns() && !t.done {
		t.step.waiting--
	}
	r := &run{task: t, worker: w, incarnation: stored.Incarnation, number: stored.Run, charge: t.step.charge, phase: planned, plannedAt: plannedAt, restored: true, startSent: true,
		newAtTakeover: e.newAtTakeover(plannedAt), hadTicket: stored.Ticket}
	if stored.Settled {
		e.restoreSettled(r, stored.LateLease)
	}
	t.runs = append(t.runs, r)
	e.reserve(r)
	return r
}
