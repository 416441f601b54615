package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/preemption"
)

// With Features.Preemption, runs of lower priorities are stopped for a step of the highest priority
// that would otherwise start too late. What they free is held for that step. Nothing of it is
// stored: a new leader sees stopped runs and a waiting step.

const (
	// maxPreemptingSteps is the number of steps that a placement round examines, and
	// maxPreemptionWorkers that of the workers for each. They bound what a round costs.
	maxPreemptingSteps   = 4
	maxPreemptionWorkers = 32
	// preemptionInterval is the minimum interval between two examinations of a step. The expected
	// ends of runs hardly change in less.
	preemptionInterval = 50 * time.Millisecond
	// maxPreemptedRatio is the part of a service's CPU that may be in preemption at a time.
	maxPreemptedRatio = 0.02
	// preemptionQuantile is the probability of the expected ends that count. With medians, as many
	// runs end sooner than expected as later.
	preemptionQuantile = 0.5
	// aheadMultiplier is how many times the tasks that wait ahead of a step count, as jobs that
	// arrive later and are more urgent take ends too. In six plays of 6,063 urgent jobs in bursts, 1
	// gave 57 more of them in time and 2 gave 131.
	aheadMultiplier = 2
	// restoreTime is the time that a task takes to resume from a checkpoint.
	restoreTime = 100 * time.Millisecond
	// freedRetention is how long freed resources are held for a step that needs no tickets.
	freedRetention = time.Second
)

// unplacedStep is a step of which a placement round could not place all tasks.
type unplacedStep struct {
	*stepState
	queue *policy.Queue
	ahead int64 // CPU of the waiting tasks of more urgent steps, in thousandths of a core
}

// freedResources are what the runs that are stopped for a step free on a worker.
type freedResources struct {
	step   *stepState
	worker *worker
	hold   *stepReservation // closes the resources to other steps
	tasks  int              // tasks that are to start
	before int              // tasks of the step that were on the worker before
	until  time.Time        // end of the hold for a step that needs no tickets
}

// preemptionState is what the engine knows of preemptions. It is not stored.
type preemptionState struct {
	freed      []*freedResources   // held for the steps for which runs were stopped
	stopped    []*run              // for other steps; those that have not ended
	candidates []preemption.Worker // reused by preemptFor
	maxRatio   float64             // maxPreemptedRatio; larger in tests of small fleets
}

// noteUnplaced notes that the round could not place count tasks of s, if runs may be stopped for
// them: for a step of single tasks of the highest priority, within its team's entitlement and
// limit, which is still in time after a stop.
func (e *Engine) noteUnplaced(s *stepState, q *policy.Queue, round *placementRound, count int) {
	if !e.cfg.Features.Preemption || e.trial != nil || count == 0 || s.job().overEntitlement || !e.policy.IsHighestPriority(q) {
		return
	}
	ahead := round.unplacedCPU
	round.unplacedCPU += s.charge.CPU * int64(count)
	switch {
	case count < s.waiting || len(round.unplaced) == maxPreemptingSteps || s.spec.Gang || s.spec.LongRunning || s.charge.CPU <= 0:
		return
	case e.now.Sub(s.preemptionTriedAt) < preemptionInterval || e.latestStartIn(s) < e.cfg.MaxStopDuration+preemption.StartMargin:
		return
	case q.Advice != nil && (s.advice == nil || len(s.advice.good) == 0):
		return
	case slices.ContainsFunc(e.preemption.freed, func(f *freedResources) bool { return f.step == s }):
		return
	}
	round.unplaced = append(round.unplaced, unplacedStep{s, q, ahead})
}

// latestStartIn returns the time from now until which s has to be placed for its job to end in time.
func (e *Engine) latestStartIn(s *stepState) time.Duration {
	return s.urgency.Arrived.Add(s.urgency.Objective - s.urgency.Remaining).Sub(e.now)
}

// preempt stops runs for the steps that the rounds could not place.
func (e *Engine) preempt(rounds map[string]*placementRound) {
	if !e.cfg.Features.Preemption {
		return
	}
	e.preemption.stopped = slices.DeleteFunc(e.preemption.stopped, func(r *run) bool { return r.ended })
	for _, service := range slices.Sorted(maps.Keys(rounds)) {
		round := rounds[service]
		for _, s := range round.unplaced {
			e.preemptFor(s.stepState, s.queue, round, s.ahead)
		}
	}
}

// preemptFor stops runs for s if that is worth its loss.
func (e *Engine) preemptFor(s *stepState, q *policy.Queue, round *placementRound, ahead int64) {
	s.preemptionTriedAt = e.now
	if e.highestRisk(s, s.waitingTasks()) > 0 {
		return // its tasks may crash the worker
	}
	req := preemption.Request{
		Need: s.charge, Count: s.waiting, Priority: q.Priority, Runtime: e.runtimeOf(s).median, LatestStart: e.latestStartIn(s),
		StopTime: e.cfg.MaxStopDuration, MaxCPU: int64(e.preemption.maxRatio*float64(round.capacity)) - e.cpuInPreemption(q.Service),
	}
	if req.MaxCPU <= 0 {
		return
	}
	workers := e.preemptionWorkers(s, q, round)
	if len(workers) == 0 {
		return
	}
	req.Ahead = int(aheadMultiplier * (ahead / s.charge.CPU) * int64(len(workers)) / int64(len(round.workers)))
	candidates := e.preemption.candidates[:0]
	for _, w := range workers {
		candidates = e.appendCandidate(candidates, s, w)
	}
	e.preemption.candidates = candidates
	if preemption.Missing(req, candidates) == 0 {
		return // the case of most examinations
	}
	for i, w := range workers {
		e.describeRuns(candidates[i].Runs, s, w)
	}
	for _, share := range preemption.Choose(req, candidates) {
		w := workers[share.Worker]
		for _, index := range share.Runs {
			e.preemptRun(w.runs[index], s, candidates[share.Worker].Runs[index].Lost)
		}
		hold := &stepReservation{step: s, promised: e.now, start: e.now, plannedAt: e.now, committed: true, strict: true, bindsAll: true, reached: true}
		f := &freedResources{step: s, worker: w, hold: hold, tasks: share.Tasks, before: s.tasksOn(w), until: e.now.Add(freedRetention)}
		e.preemption.freed = append(e.preemption.freed, f)
		e.holdFor(f, share.Tasks)
	}
}

// cpuInPreemption returns the CPU of the runs of a service that are being stopped for other steps.
func (e *Engine) cpuInPreemption(service string) int64 {
	cpu := int64(0)
	for _, r := range e.preemption.stopped {
		if !r.ended && r.worker.service == service {
			cpu += r.charge.CPU
		}
	}
	return cpu
}

// preemptRun stops a run for a step.
func (e *Engine) preemptRun(r *run, s *stepState, lost time.Duration) {
	r.task.preempted = true
	e.preemption.stopped = append(e.preemption.stopped, r)
	e.log.Info("run preempted", "job", r.task.step.ref.Job, "task", r.task.name, "run", r.number, "worker", r.worker.id, "for", s.ref.Job,
		"lost_ms", lost.Milliseconds(), "cpu", r.charge.CPU)
	if e.cfg.CountPreempted != nil {
		e.cfg.CountPreempted()
	}
	e.stopRun(r, "preempted")
}

// preemptionWorkers returns the workers on which runs may be stopped for s: those to which its tasks
// may be sent after a stop, with the most free CPU first.
func (e *Engine) preemptionWorkers(s *stepState, q *policy.Queue, round *placementRound) []*worker {
	var out []*worker
	if q.Advice == nil {
		for w := range round.mostFree() {
			if w.usable(e.now) && w.canHold(s.spec) && !w.closedTo(s.job()) {
				if out = append(out, w); len(out) == maxPreemptionWorkers {
					break
				}
			}
		}
		return out
	}
	startAt := e.now.Add(e.cfg.MaxStopDuration + preemption.StartMargin)
	for g := range e.usableGoodWorkers(s) {
		if e.ticketValidAt(g.ticket, startAt) && g.canHold(s.spec) && !g.closedTo(s.job()) {
			out = append(out, g.worker)
		}
	}
	slices.SortStableFunc(out, func(a, b *worker) int { return cmp.Compare(b.poolIndex, a.poolIndex) })
	return out[:min(len(out), maxPreemptionWorkers)]
}

// appendCandidate appends what s may use on w, and when the runs there are expected to end. It uses
// the memory behind candidates.
func (e *Engine) appendCandidate(candidates []preemption.Worker, s *stepState, w *worker) []preemption.Worker {
	n := len(candidates)
	if n < cap(candidates) {
		candidates = candidates[:n+1]
	} else {
		candidates = append(candidates, preemption.Worker{})
	}
	c := &candidates[n]
	c.Free, c.Runs, c.MaxTasks = e.freeBesideFirm(s, w), c.Runs[:0], len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		c.MaxTasks = s.spec.MaxPerWorker - s.tasksOn(w)
	}
	for _, r := range w.runs {
		x := preemption.Run{Resources: r.charge, Remaining: max(0, e.expectedEnd(r, preemptionQuantile).Sub(e.now))}
		if r.held {
			x.Resources = job.Resources{} // they count as free already
		}
		c.Runs = append(c.Runs, x)
	}
	return candidates
}

// describeRuns adds to the runs on w what decides whether they may be stopped for s.
func (e *Engine) describeRuns(runs []preemption.Run, s *stepState, w *worker) {
	for i, r := range w.runs {
		v, x := r.task.step, &runs[i]
		q := e.queueOf(v.job())
		x.Gang, x.Preempted = v.spec.Gang, r.task.preempted
		x.Fixed = q == nil || r.phase != running || r.held || v.spec.LongRunning || v.spec.Filler || len(r.task.runs) > 1 || r.task.done || v.job().state.Final()
		if !x.Fixed && !x.Gang && !x.Preempted && q.Priority > s.urgency.Priority {
			x.Priority, x.Lost = q.Priority, e.lostByStop(r)
			x.Timely = e.staysTimely(r, q, x.Remaining, x.Lost)
		}
	}
}

// freeBesideFirm returns the resources of w that are free for s beside what is firmly reserved for
// others. What waiting steps of lower priorities hold otherwise is free for s in the next round.
func (e *Engine) freeBesideFirm(s *stepState, w *worker) job.Resources {
	free := w.capacity.Sub(w.used).Sub(w.withheld)
	for _, h := range w.holds {
		if by := h.by; by.step != s && by.firm() && (by.step.urgency.Priority <= s.urgency.Priority || by.bindsAll && !s.passesHolds) {
			free = free.Sub(h.resources)
		}
	}
	return free
}

// lostByStop returns the work that a stop of r loses, with the time of the stop. A stop has a task
// that saves checkpoints save one, so it loses no more than the time to resume.
func (e *Engine) lostByStop(r *run) time.Duration {
	if r.task.step.spec.Checkpoints {
		return e.cfg.MaxStopDuration + restoreTime
	}
	return e.workedTime(r) + e.cfg.MaxStopDuration
}

// staysTimely reports whether the job of r still ends in time, or as late as it does anyway, if r
// is stopped. Its task then waits as long as others of its priority did lately.
func (e *Engine) staysTimely(r *run, q *policy.Queue, remaining, lost time.Duration) bool {
	s := r.task.step
	if s.urgency.Objective <= 0 {
		return false // not known to this leader
	}
	wait := e.storeLatency + dispatchTime
	if d := e.demands[q.Priority]; d != nil {
		wait += d.waitingTime(e.now)
	}
	if q.Advice != nil {
		wait += q.Advice.CallDuration(minWorkersAsked)
	}
	after := max(0, e.criticalPathFrom(s)-e.runtimeOf(s).median)
	x := s.urgency
	x.Remaining = remaining + after
	before := ordering.TimelinessOf(x, e.now)
	x.Remaining += lost + wait
	return ordering.TimelinessOf(x, e.now) == before
}

// holdFreed holds what preemption has freed, or will free, for the steps for which it was freed, and
// drops what these do not need any more. It comes before the steps are placed.
func (e *Engine) holdFreed() {
	if len(e.preemption.freed) == 0 {
		return
	}
	e.preemption.freed = slices.DeleteFunc(e.preemption.freed, func(f *freedResources) bool { return e.neededTasks(f) == 0 })
	for _, f := range e.preemption.freed {
		e.holdFor(f, e.neededTasks(f))
	}
}

// neededTasks returns the number of tasks that are still to start in f.
func (e *Engine) neededTasks(f *freedResources) int {
	s, w := f.step, f.worker
	q := e.queueOf(s.job())
	if q == nil || !s.open() || !w.usable(e.now) {
		return 0
	}
	if q.Advice == nil && !e.now.Before(f.until) || q.Advice != nil && !e.ticketValidAt(s.ticket(w), e.now) {
		return 0
	}
	return max(0, min(s.waiting, f.tasks-max(0, s.tasksOn(w)-f.before)))
}

// holdFor holds the resources of a number of tasks in f until the next placement round.
func (e *Engine) holdFor(f *freedResources, tasks int) {
	if len(f.worker.holds) == 0 {
		e.heldWorkers = append(e.heldWorkers, f.worker)
	}
	f.worker.holds = append(f.worker.holds, workerHold{f.hold, f.step.charge.Times(tasks)})
}
