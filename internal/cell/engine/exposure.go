package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/placement"
	"pollenbend/internal/cell/policy"
)

// A start that may crash its worker is risky. It goes to a worker on which little work is at
// stake. If the task is suspected of a crash, no task of another job starts there until the
// worker has worked on after it, so that a crash tells which job has caused it.

const (
	// maxExposedRatio is the part of a service's workers that may be down after a crash, or
	// expected to be so after the risky starts to which they are exposed.
	maxExposedRatio = 0.25
	// maxSuspectRatio is that part for steps that are late and for tasks that are one of several
	// possible causes of a crash, and maxUselessRatio for steps that come too late for their
	// callers and for tasks that are the only possible cause. They are worth less than the work
	// that a crash loses.
	maxSuspectRatio = 0.1
	maxUselessRatio = 0.05
	// maxIdleExposedRatio is that part while half of the service's capacity or more is idle. Up
	// to then it is at least what is idle beyond idleReserve.
	maxIdleExposedRatio = 0.5
	idleReserve         = 0.2
	// minExposedWorkers is the least number of workers that may be down or expected to be. In a
	// small service suspects would otherwise wait for each other while workers are free.
	minExposedWorkers = 2.0
	// minIdleExposedWorkers is that number while half of the service's capacity or more is idle, if as
	// many as reservedWorkers are left. In a service of six workers maxIdleExposedRatio allows three,
	// and jobs waited for over 3 s beside three idle workers while three were down.
	minIdleExposedWorkers = 4.0
	reservedWorkers       = 2
	// isolationPatience is how long a step with risky starts waits for workers on which no
	// other start is recent.
	isolationPatience = time.Second
	// checkpointedLoss is the work that a run with checkpoints loses at most, including the
	// time that it takes to resume.
	checkpointedLoss = 2 * time.Second
)

// hazard tells how often the starts of a queue crash workers.
type hazard struct {
	crashes  float64 // smoothed; crashes with several possible causes count for a part
	survived float64 // smoothed number of risky starts that their workers outlived
	at       time.Time
	crashAt  time.Time // of the last crash
}

const (
	// hazardWindow is the time constant of a hazard, and the time after the last crash until
	// it is over.
	hazardWindow = 10 * time.Second
	// minHazard is the number of crashes from which every start of a queue is risky, until a
	// worker has outlived it. It is more than one crash whose cause is not certain.
	minHazard = 1.2
	// minHazardRisk and maxHazardRisk bound the probability that is assumed for a crash by a
	// start that is risky for its queue alone. ambiguousRisk is that for a task that is one of
	// several possible causes of a crash, from which on other jobs are kept off the worker.
	minHazardRisk = 0.05
	maxHazardRisk = 0.45
	ambiguousRisk = 0.5
	// certainRisk is that for a task that is the only possible cause of one, and
	// maxSharedSuspects the number of such starts that may share a worker.
	certainRisk       = 1
	maxSharedSuspects = 8
)

// update brings the averages to the given time.
func (h *hazard) update(now time.Time) {
	factor := decay(now.Sub(h.at), hazardWindow)
	h.crashes, h.survived, h.at = h.crashes*factor, h.survived*factor, now
}

// hazardOf returns the hazard of a queue and creates it on first use.
func (e *Engine) hazardOf(queue string) *hazard {
	h := e.hazards[queue]
	if h == nil {
		h = &hazard{at: e.now}
		e.hazards[queue] = h
	}
	h.update(e.now)
	return h
}

// noteHazards records a crash for the queues of the runs that may have caused it.
func (e *Engine) noteHazards(causes []*run) {
	for _, r := range causes {
		if r.task.suspect() {
			continue // it says nothing about other tasks
		}
		queue := r.task.step.job().queue
		h := e.hazardOf(queue)
		before := h.crashes
		h.crashes, h.crashAt = h.crashes+1/float64(len(causes)), e.now
		if before < minHazard && h.crashes >= minHazard {
			e.log.Warn("tasks of a queue crash workers", "queue", queue, "crashes", h.crashes, "survived", h.survived)
		}
	}
}

// hazardous reports whether tasks of a queue crashed workers lately.
func (e *Engine) hazardous(queue string) bool {
	h := e.hazards[queue]
	return h != nil && h.crashes >= minHazard && e.now.Sub(h.crashAt) < hazardWindow
}

// crashRisk returns the probability with which a start of t is expected to crash its worker.
// It is zero for a start that is not risky.
func (e *Engine) crashRisk(t *task) float64 {
	switch {
	case t.crashes.Late >= lateCrashesToSuspect:
		return ambiguousRisk
	case t.harmless:
		return 0
	case t.crashes.Caused > 0 && t.onlyCause:
		return certainRisk
	case t.suspect():
		return ambiguousRisk
	case e.hazardous(t.step.job().queue):
		return e.hazardOf(t.step.job().queue).risk()
	}
	return 0
}

// risk returns the probability that is assumed for a crash by a start of the queue.
func (h *hazard) risk() float64 {
	return min(maxHazardRisk, max(minHazardRisk, h.crashes/(h.crashes+h.survived)))
}

// highestRisk returns the highest crash risk of tasks, which are of s.
func (e *Engine) highestRisk(s *stepState, tasks []*task) float64 {
	risk := 0.0
	if !e.mayBeRisky(s) {
		return risk
	}
	for _, t := range tasks {
		risk = max(risk, e.crashRisk(t))
	}
	return risk
}

// mayBeRisky reports whether a start of s can be risky. It spares a visit to all tasks.
func (e *Engine) mayBeRisky(s *stepState) bool { return s.suspected || e.hazardous(s.job().queue) }

// expose records that the worker of r is exposed to a risky start.
func (r *run) expose(risk float64) {
	r.crashRisk = risk
	r.worker.exposed++
}

// endExposure records that r does not expose its worker any more.
func (r *run) endExposure() {
	if r.crashRisk > 0 {
		r.crashRisk = 0
		r.worker.exposed--
	}
}

// atStake returns the work that a crash of w would lose, in core-seconds.
func (e *Engine) atStake(w *worker) float64 {
	total := 0.0
	for _, r := range w.runs {
		total += e.workOfRun(r)
	}
	return total
}

// workOfRun returns the work of r that would be lost with its worker, in core-seconds. A gang
// loses the work of all members.
func (e *Engine) workOfRun(r *run) float64 {
	s := r.task.step
	worked := s.spec.Estimate
	if !r.startSentAt.IsZero() {
		worked = e.now.Sub(r.startSentAt)
	}
	if s.spec.Checkpoints {
		worked = min(worked, checkpointedLoss)
	}
	work := float64(s.charge.CPU) / 1000 * worked.Seconds()
	if s.spec.Gang {
		work *= float64(len(s.tasks))
	}
	return work
}

// hasRecentStarts reports whether the start of a task of another job than j on w may still
// prove harmful.
func (w *worker) hasRecentStarts(j *jobState) bool {
	for _, r := range w.runs {
		if !r.task.harmless && r.task.step.job() != j {
			return true
		}
	}
	return false
}

// closedTo reports whether w is exposed to a risky start of another job than j.
func (w *worker) closedTo(j *jobState) bool {
	if w.exposed == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.crashRisk >= ambiguousRisk && r.task.step.job() != j {
			return true
		}
	}
	return false
}

const (
	// expectedDownTime is how long a crashed worker is assumed to be away.
	expectedDownTime = 3500 * time.Millisecond
	// maxExposureRetryAfter bounds the time after which a caller is asked to come back to a queue
	// whose tasks crash workers. The hazard may be over by then.
	maxExposureRetryAfter = 5 * time.Second
)

// exposureDelay returns how long a new job of q is expected to wait until its risky start may expose
// a worker. Steps that come too late for their callers are placed after it and do not count.
func (e *Engine) exposureDelay(q *policy.Queue) time.Duration {
	if !e.hazardous(q.Name) || e.pools[q.Service] == nil {
		return 0
	}
	waiting := 0
	for _, s := range e.openSteps {
		if s.job().queue == q.Name && s.open() && ordering.TimelinessOf(s.urgency, e.now) != ordering.TooLate {
			waiting++
		}
	}
	workers := max(minExposedWorkers, maxExposedRatio*float64(len(e.pools[q.Service].workers)))
	return time.Duration(float64(waiting) * e.hazardOf(q.Name).risk() / workers * float64(expectedDownTime))
}

// doomed reports whether w is about to get a start that will most likely crash it. Until the
// start is sent, others that are as certain to crash their worker may join it, so that they
// take down one worker together.
func (w *worker) doomed() bool {
	certain := 0
	for _, r := range w.runs {
		if r.crashRisk >= certainRisk && r.phase == planned {
			certain++
		}
	}
	return certain > 0 && certain < maxSharedSuspects
}

// waitsForExposure reports whether s has risky starts that may expose no further worker in
// this round.
func (e *Engine) waitsForExposure(s *stepState, round *placementRound) bool {
	if !e.mayBeRisky(s) {
		return false
	}
	risk := e.highestRisk(s, s.waitingTasks())
	if risk == 0 || e.exposuresLeft(s, round, risk) > 0 {
		return false
	}
	return risk < certainRisk || !slices.ContainsFunc(round.workers, (*worker).doomed)
}

// chooseForRisky chooses workers for tasks of s, whose starts have the given risk, those on
// which the least work is at stake.
func (e *Engine) chooseForRisky(s *stepState, q *policy.Queue, round *placementRound, tasks []*task, risk float64) ([]*worker, []int) {
	if s.riskySince.IsZero() {
		s.riskySince = e.now
	}
	workers := e.eligible(s, round)
	if q.Advice != nil {
		workers = e.workersWithTicket(s)
	}
	if risk >= certainRisk {
		if chosen := e.chooseDoomed(s, q, workers, len(tasks)); len(chosen) > 0 {
			s.riskySince = time.Time{}
			return workers, chosen
		}
	}
	patient := risk >= ambiguousRisk && e.now.Sub(s.riskySince) < isolationPatience
	candidates := e.candidates(s, workers)
	for i, w := range workers {
		if patient && w.hasRecentStarts(s.job()) {
			candidates[i].Free = job.Resources{}
		}
		candidates[i].AtStake = e.atStake(w)
	}
	chosen := placement.Place(e.request(s, q, len(tasks)), candidates)
	if !s.spec.Gang {
		chosen = onWorkers(chosen, e.exposuresLeft(s, round, risk))
	}
	if len(chosen) > 0 {
		s.riskySince = time.Time{}
		round.exposure = nil // measured again for the next step
	}
	return workers, chosen
}

// chooseDoomed chooses doomed workers for count tasks of s whose starts will most likely crash
// theirs. It returns the indexes in workers.
func (e *Engine) chooseDoomed(s *stepState, q *policy.Queue, workers []*worker, count int) []int {
	candidates := e.candidates(s, workers)
	for i, w := range workers {
		candidates[i].Free = job.Resources{}
		if w.doomed() {
			candidates[i].Free = e.freeFor(s, w)
		}
	}
	return placement.Place(e.request(s, q, count), candidates)
}

// exposure tells how many workers of a service are exposed to risky starts or down.
type exposure struct {
	workers  int
	expected float64 // workers that are down or expected to crash
}

// measureExposure returns the exposure of the workers of p.
func (p *pool) measureExposure() *exposure {
	x := &exposure{workers: len(p.workers)}
	for _, w := range p.workers {
		switch {
		case !w.refusingSince.IsZero():
			x.expected++
		case w.exposed > 0:
			x.expected += w.crashRisk()
		}
	}
	return x
}

// crashRisk returns the probability with which the starts to which w is exposed are expected
// to crash it.
func (w *worker) crashRisk() float64 {
	risk := 0.0
	for _, r := range w.runs {
		risk += r.crashRisk
	}
	return min(1, risk)
}

// exposuresLeft returns how many more workers may be exposed to starts of s, which have the
// given risk.
func (e *Engine) exposuresLeft(s *stepState, round *placementRound, risk float64) int {
	if round.exposure == nil {
		round.exposure = round.measureExposure()
	}
	x := round.exposure
	limit := max(minExposedWorkers, e.exposedRatio(s, round, risk)*float64(x.workers))
	if round.idleRatio() >= maxIdleExposedRatio {
		limit = max(limit, min(minIdleExposedWorkers, float64(x.workers-reservedWorkers)))
	}
	return int(max(0, limit-x.expected) / risk)
}

// exposedRatio returns the part of a service's workers that may be down, or expected to be so,
// after starts of s of the given risk.
func (e *Engine) exposedRatio(s *stepState, round *placementRound, risk float64) float64 {
	ratio, timeliness := maxExposedRatio, ordering.TimelinessOf(s.urgency, e.now)
	switch {
	case risk >= certainRisk || timeliness == ordering.TooLate:
		ratio = maxUselessRatio
	case risk >= ambiguousRisk || timeliness == ordering.Late:
		ratio = maxSuspectRatio
	}
	idle := round.idleRatio()
	if idle >= maxIdleExposedRatio {
		return maxIdleExposedRatio
	}
	return max(ratio, idle-idleReserve)
}

// idleRatio returns the part of the service's capacity that is idle.
func (r *placementRound) idleRatio() float64 { return float64(r.free) / float64(max(1, r.capacity)) }

// onWorkers returns the first of the chosen candidates that are on at most n workers.
func onWorkers(chosen []int, n int) []int {
	seen := make(map[int]bool)
	for i, index := range chosen {
		if !seen[index] && len(seen) == n {
			return chosen[:i]
		}
		seen[index] = true
	}
	return chosen
}
