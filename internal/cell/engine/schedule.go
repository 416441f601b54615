package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/placement"
	"pollenbend/internal/cell/policy"
)

// place runs a placement round: it plans runs for the tasks of open steps that fit on
// workers, the most urgent steps first.
func (e *Engine) place() {
	e.dropPlacedSteps()
	e.sortByUrgency(e.openSteps)
	rounds := e.tryOpenSteps()
	e.preempt(rounds)
	e.placeSpeculativeRuns(rounds)
	e.noteReservations(rounds)
}

// tryOpenSteps tries to place the open steps, which are sorted by urgency. It returns the rounds
// by service.
func (e *Engine) tryOpenSteps() map[string]*placementRound {
	e.clearHeld()
	e.updateWithheld()
	e.holdFreed()
	rounds := make(map[string]*placementRound)
	if e.cfg.Features.Backfill {
		e.holdFirmReservations(rounds)
	}
	e.tryInOrder(e.openSteps, rounds)
	return rounds
}

// tryInOrder tries to place the given steps, which are sorted by urgency.
func (e *Engine) tryInOrder(steps []*stepState, rounds map[string]*placementRound) {
	for _, s := range steps {
		q := e.queueOf(s.job())
		if q == nil || !s.open() {
			continue // the queue is not declared any more, or nothing is left to place
		}
		round := e.roundOf(rounds, q.Service)
		if e.waitsForExposure(s, round) {
			e.logWait(s, round)
			continue // it must not use up the budgets of the round
		}
		if e.tryStep(s, q, round) {
			e.logWait(s, round)
			continue
		}
		round.passedOver = append(round.passedOver, s)
	}
	e.tryPassedOverSteps(rounds)
	for _, service := range slices.Sorted(maps.Keys(rounds)) {
		for _, s := range rounds[service].passedOver {
			e.logWait(s, rounds[service])
		}
	}
}

// roundOf returns the round for a service and creates it on first use.
func (e *Engine) roundOf(rounds map[string]*placementRound, service string) *placementRound {
	round := rounds[service]
	if round == nil {
		round = e.newRound(service)
		rounds[service] = round
	}
	return round
}

// tryStep tries to place s. It reports false if the window of the round is used up. A step
// with a firm reservation is tried always, as resources wait for it.
func (e *Engine) tryStep(s *stepState, q *policy.Queue, round *placementRound) bool {
	e.trial.consider(s, q)
	if (round.window.left <= 0 || round.failuresLeft <= 0) && !s.reservation.firm() {
		return false
	}
	if e.trial == nil {
		s.triedAt = e.now
	}
	if !e.placeStep(s, q, round) {
		round.failuresLeft--
	}
	return true
}

// tryPassedOverSteps tries some of the steps that the rounds have passed over: those that
// follow in the order of urgency where the previous rounds have ended. A step that
// cannot be placed then does not keep smaller ones behind it from free resources.
func (e *Engine) tryPassedOverSteps(rounds map[string]*placementRound) {
	for _, service := range slices.Sorted(maps.Keys(rounds)) {
		round := rounds[service]
		steps := round.passedOver
		round.failuresLeft = maxFailedSteps
		for n := range steps {
			index := (round.nextPassedOver + n) % len(steps)
			s := steps[index]
			if !e.tryStep(s, e.queueOf(s.job()), round) {
				round.nextPassedOver = index
				break
			}
		}
	}
}

const (
	// waitLogDelay is the time that a step waits before logWait logs it, and the
	// minimum interval between two such lines for the same step.
	waitLogDelay = 3 * time.Second
	// waitLogInterval is the minimum interval between such lines over all steps.
	waitLogInterval = 50 * time.Millisecond
)

// logWait logs why a step has been waiting for longer than waitLogDelay.
func (e *Engine) logWait(s *stepState, round *placementRound) {
	if e.trial != nil || !s.open() || e.now.Sub(s.readyAt) < waitLogDelay || e.now.Sub(s.waitLoggedAt) < waitLogDelay || e.now.Sub(e.waitLoggedAt) < waitLogInterval {
		return
	}
	s.waitLoggedAt, e.waitLoggedAt = e.now, e.now
	good, valid, asked, calls := 0, 0, 0, 0
	if a := s.advice; a != nil {
		good, asked, calls = len(a.good), len(a.asked), a.callsInFlight
		valid = len(e.workersWithTicket(s))
	}
	limit := job.Resources{}
	if team := e.policy.Team(s.job().team); team != nil {
		limit = team.Limit
	}
	e.log.Info("step waits", "step", s.name, "job", s.ref.Job, "ready_ms", e.msSince(s.readyAt), "tasks", s.waiting, "of", len(s.tasks),
		"gang", s.spec.Gang, "cpu", s.charge.CPU, "most_free_cpu", round.mostFreeCPU(e.now), "workers", len(round.workers), "asked", asked, "good", good,
		"tickets", valid, "calls", calls, "team_cpu", e.usage[s.job().team].CPU, "team_limit_cpu", limit.CPU, "label", fmt.Sprintf("%.*s", maxLoggedChars, s.spec.Label),
		"tried", s.triedAt.Equal(e.now), "window_left", round.window.left, "tries_left", round.failuresLeft, "free_cpu", round.free,
		"reserved_cpu", round.reservedCPU, "hold_left_cpu", round.holdBudget, "beside_headroom_cpu", round.cpuBesideHeadroom)
}

// maxLoggedChars is the maximum length in a log line of a text that a caller has chosen, in characters.
const maxLoggedChars = 100

// sortByUrgency sorts steps by urgency.
func (e *Engine) sortByUrgency(steps []*stepState) {
	e.updateYields()
	for _, s := range steps {
		s.key = ordering.KeyOf(s.urgency, e.now)
	}
	slices.SortStableFunc(steps, func(a, b *stepState) int { return ordering.Compare(a.key, b.key) })
}

// urgencyOf returns the properties of s that determine its urgency.
func (e *Engine) urgencyOf(s *stepState) ordering.Step {
	j := s.job()
	o := ordering.Step{OverEntitlement: j.overEntitlement, Priority: lowestPriority, Arrived: e.arrivalOf(s), Remaining: e.timeToEnd(s)}
	if q := e.queueOf(j); q != nil {
		o.Priority = q.Priority
		o.Objective = objective(q, e.criticalPath(j))
	}
	return o
}

// dropPlacedSteps removes the steps without tasks to place from the open steps.
func (e *Engine) dropPlacedSteps() {
	kept := e.openSteps[:0]
	for _, s := range e.openSteps {
		if s.hasTasksToPlace() {
			kept = append(kept, s)
			continue
		}
		s.inOpenSteps = false
	}
	clear(e.openSteps[len(kept):])
	e.openSteps = kept
}

// hasTasksToPlace reports whether s belongs to the open steps.
func (s *stepState) hasTasksToPlace() bool {
	return s.remaining > 0 && s.waiting > 0 && !s.job().state.Final()
}

// lowestPriority is the priority of jobs whose queue is not declared any more.
const lowestPriority = 1 << 20

// placeStep plans runs for as many waiting tasks of s as possible. It reports whether it
// has planned one or called the adviser.
func (e *Engine) placeStep(s *stepState, q *policy.Queue, round *placementRound) bool {
	e.trial.try(s)
	e.taskBuffer = s.appendWaitingTasks(e.taskBuffer[:0])
	tasks := e.taskBuffer
	if s.spec.Gang && len(tasks) < len(s.tasks) {
		return false // members of the last run are still being stopped
	}
	allowed := e.withinLimit(s, tasks)
	if e.trial == nil && len(allowed) < len(tasks) {
		s.waitedForLimit = true
	}
	tasks = e.withinHeadroom(s, q, round, allowed)
	e.trial.noteKept(s, len(allowed)-len(tasks))
	if len(tasks) == 0 {
		return false
	}
	asksLeft := round.asksLeft
	s.placementTried = true
	backfills := e.backfills(q)
	if backfills {
		s.passesHolds = e.isPastPatience(s)
	}
	mayFit := true
	if q.Advice != nil {
		capacity := e.ticketCapacity(s, e.now)
		e.advise(s, q, round, capacity)
		mayFit = capacity.mayPlace(s, len(tasks)) || e.mayBeRisky(s)
	}
	var workers []*worker
	var chosen []int
	if mayFit {
		workers, chosen = e.choose(s, q, round, tasks)
	}
	round.cpuBesideHeadroom = max(0, round.cpuBesideHeadroom-s.charge.CPU*int64(len(chosen)))
	if e.trial == nil && len(chosen) > 0 && !s.started && !s.spec.Gang && !s.job().overEntitlement && (e.contention == nil || !s.waitedForLimit) {
		s.started = true
		if !e.waitsApart(s, round.pool, len(tasks)) {
			e.demandAt(q.Priority).noteStart(e.now.Sub(s.readyAt), e.now)
		}
	}
	e.contention.noteSurplusStart(s, q, len(chosen), e.now)
	for i, index := range chosen {
		t, w := tasks[i], workers[index]
		e.trial.planning(t, w)
		e.countBackfill(s, w)
		r := e.addRun(t, w, e.nextNumber(s, t), s.ticket(w))
		if risk := e.crashRisk(t); risk > 0 {
			r.expose(risk)
		}
		if e.trial == nil {
			e.storeRun(r)
		}
	}
	if len(chosen) > 0 || !backfills || !s.spec.Gang || len(tasks) < 2 {
		e.draw(s, round, len(tasks), workers, chosen, mayFit)
	} // steps behind a gang use what it reserves until it starts
	switch {
	case len(chosen) > 0:
		s.reservation = nil
	case backfills:
		e.reserveStart(s, q, round, len(tasks))
	default:
		s.reservation = nil
		e.holdForGang(s, round, len(tasks))
	}
	e.noteUnplaced(s, q, round, len(tasks)-len(chosen))
	return len(chosen) > 0 || round.asksLeft < asksLeft
}

// choose chooses workers for tasks of s. It returns those that were considered, and the index
// of one for each task that it places.
func (e *Engine) choose(s *stepState, q *policy.Queue, round *placementRound, tasks []*task) ([]*worker, []int) {
	if risk := e.highestRisk(s, tasks); risk > 0 {
		return e.chooseForRisky(s, q, round, tasks, risk)
	}
	workers := e.placeableWorkers(s, q, round)
	return workers, placement.Place(e.request(s, q, len(tasks)), e.candidates(s, workers))
}

// request returns the placement request for count tasks of s.
func (e *Engine) request(s *stepState, q *policy.Queue, count int) placement.Request {
	preference := e.preferenceOf(s, q)
	return placement.Request{
		Need: s.charge, Count: count, AllOrNothing: s.spec.Gang, SameRack: s.spec.SameRack,
		PreferredRack: s.spec.PreferredRack, OffRackMultiplier: e.cfg.OffRackMultiplier, MaxPerWorker: s.spec.MaxPerWorker,
		Speed: preference.speed, MaxSlowness: preference.maxSlowness,
	}
}

// candidates returns the placement candidates for tasks of s, one per worker.
func (e *Engine) candidates(s *stepState, workers []*worker) []placement.Candidate {
	out := make([]placement.Candidate, len(workers))
	for i, w := range workers {
		out[i] = placement.Candidate{Free: e.freeFor(s, w), Rack: w.rack, Slowness: w.classSlowness(), Penalty: w.health.slowness()}
		if s.spec.MaxPerWorker > 0 {
			out[i].Running = s.tasksOn(w)
		}
		out[i].AtStake = w.reservedAgainst(s)
		if w.closedTo(s.job()) {
			out[i].Free = job.Resources{}
		}
	}
	return out
}

// tasksOn returns how many runs of tasks of s are on w.
func (s *stepState) tasksOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// waitingTasks returns the tasks of s that are neither done nor have a run, and that no crash
// is being investigated for.
func (s *stepState) waitingTasks() []*task { return s.appendWaitingTasks(nil) }

// appendWaitingTasks appends the tasks that waitingTasks returns to a buffer.
func (s *stepState) appendWaitingTasks(buffer []*task) []*task {
	for _, t := range s.tasks {
		if !t.done && !t.hasRuns() && t.investigations == 0 {
			buffer = append(buffer, t)
		}
	}
	return buffer
}

// nextNumber returns the number of the next run of t. All members of a gang use the
// same number.
func (e *Engine) nextNumber(s *stepState, t *task) int {
	if s.spec.Gang {
		number := s.lastGangRun
		if t.lastRun == s.lastGangRun {
			number++
		}
		return number
	}
	return t.lastRun + 1
}

// withinLimit returns the first tasks, as many as the team's limit allows to run now. For
// a gang it returns all of them or none.
func (e *Engine) withinLimit(s *stepState, tasks []*task) []*task {
	team := e.policy.Team(s.job().team)
	if team == nil {
		return tasks
	}
	n := s.spec.Need.CountWithin(team.Limit, e.usage[team.Name], len(tasks))
	if s.spec.Gang && n < len(tasks) {
		return nil
	}
	return tasks[:n]
}

// placeableWorkers returns the workers that tasks of s may be sent to now, whatever
// their free resources.
func (e *Engine) placeableWorkers(s *stepState, q *policy.Queue, round *placementRound) []*worker {
	if q.Advice != nil {
		return e.workersWithTicket(s)
	}
	if len(round.workers) <= smallFleet || s.spec.PreferredRack != "" || s.spec.SameRack {
		return e.eligible(s, round)
	}
	return e.bestFitting(s, q, round)
}

// eligible returns the usable workers that could hold a task of s, whatever their
// free resources.
func (e *Engine) eligible(s *stepState, round *placementRound) []*worker {
	out := make([]*worker, 0, len(round.workers))
	for _, w := range round.workers {
		if w.usable(e.now) && w.canHold(s.spec) {
			out = append(out, w)
		}
	}
	return out
}

const (
	// smallFleet is the number of workers up to which a step is placed on the best of all
	// workers instead of the best of a sample.
	smallFleet = 400
	// sampleMultiplier is the number of tasks that fit on the workers of a sample as a
	// multiple of the number of tasks to place, and minSample its minimum number of
	// workers, so that slow workers in it can be avoided.
	sampleMultiplier = 3
	minSample        = 64
)

// bestFitting returns a sample of the usable workers that tasks of s fit on now, those on
// which the least CPU stays unused, of the preferred speed first.
func (e *Engine) bestFitting(s *stepState, q *policy.Queue, round *placementRound) []*worker {
	var out []*worker
	fit := 0
	for w := range round.leastFree(s.charge.CPU, round.classesFor(e.preferenceOf(s, q))) {
		if !w.usable(e.now) || !w.canHold(s.spec) {
			continue
		}
		n := tasksThatFit(s, w, e.freeFor(s, w))
		if n == 0 {
			continue
		}
		fit += n
		if out = append(out, w); len(out) >= minSample && fit >= sampleMultiplier*s.waiting {
			break
		}
	}
	return out
}
