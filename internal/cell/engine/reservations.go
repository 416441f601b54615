package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/reservation"
)

// stepReservation is what a waiting step has reserved: a gang the resources of all its tasks,
// a step of wide tasks those of one.
type stepReservation struct {
	step        *stepState
	promised    time.Time     // start that was expected when the reservation was made
	bound       time.Duration // by how much later the expected start may be until the hold is strict
	start       time.Time     // expected start
	plannedAt   time.Time     // when the round last took up its step
	foundAt     time.Time     // when start and the workers were last computed
	shares      []share
	spare       []*worker // those that become free next
	committed   bool      // its tickets are being renewed, or valid; it keeps its workers
	strict      bool      // nothing that is held may be used until the step has started
	amidIdle    bool      // at least half of the service's CPU was free when the round held it
	moves       int       // how often it has moved while firm to other workers
	moveTriedAt time.Time // when workers that are free sooner were last looked for
	bindsAll    bool      // while firm, it binds steps of higher priorities too
	rank        int       // position among the firm reservations of the round, the most urgent first
	reached     bool      // the placement round has tried the step: what it holds binds all later ones
}

// share is the number of tasks that are to start on a worker.
type share struct {
	worker *worker
	tasks  int
}

// ReservationEvent is what happens to reservations.
type ReservationEvent uint8

// The events that Config.CountReservations counts.
const (
	StepsReserving     ReservationEvent = iota // steps that had a reservation in the last placement round; not a sum
	RunBackfilled                              // a run was planned on reserved resources
	ReservationSlipped                         // a reservation became strict, as its start was expected too late
)

const (
	// maxReservingSteps is the number of steps that have a reservation in a placement round.
	maxReservingSteps = 16
	// maxReservationWorkers is the number of workers that the steps of a round may examine for
	// their reservations. It bounds the duration of a round.
	maxReservationWorkers = 4000
	// reservationCoverage is the number of tasks that fit on the examined workers when they are
	// idle, as a multiple of the waiting tasks, for a step without advice on a large fleet.
	reservationCoverage = 4
	// wideTaskRatio is the part of a worker's CPU or memory from which a task counts as wide:
	// only one fits, so smaller tasks can keep it waiting for ever.
	wideTaskRatio = 0.5
	// narrowDelay is how long a gang that fits on one worker only holds what is free before it
	// reserves. Most start sooner, and would take the reservations of wider ones.
	narrowDelay = 300 * time.Millisecond
	// replanInterval is how long a start that was found on some workers holds before it is computed
	// anew: as long as the expected ends that it is computed from. Planned in each round, a
	// reservation moves to other workers so often that hardly anything is backfilled. A gang that
	// fits starts at once in any case.
	replanInterval = endsRetention
	// promiseRetention is how long a promised start is kept while the step cannot be placed
	// for other reasons, such as its team's limit.
	promiseRetention = time.Second
	// spareTaskRatio is the part of a gang's tasks for which it reserves besides, as some ends are
	// later than expected, and steps of higher priorities may use some of what is reserved.
	spareTaskRatio = 0.15
	// firmRatio is the part of a service's CPU that firm reservations may keep from steps of
	// higher priorities. The most urgent one may exceed it, so that none is too wide to start.
	firmRatio = 0.3
	// holdPatience is how long a step waits until it may use what reservations of lower
	// priorities keep from it. Most steps find other resources in this time.
	holdPatience = 150 * time.Millisecond
	// maxMoves is how often a firm reservation may move to workers that will be free sooner, and
	// minMoveGain by how much sooner they have to be. With each move the wait begins anew. While most
	// of the CPU is free it may always move, at intervals of moveInterval: a run that takes many
	// times as long as expected otherwise keeps a gang waiting beside an idle fleet.
	maxMoves     = 3
	minMoveGain  = time.Second
	moveInterval = time.Second
)

// binds reports whether what r holds is held against s. A firm reservation also binds the steps
// that are placed before it in the round: those of higher priorities only within firmRatio and
// for holdPatience, so that they find free resources.
func (r *stepReservation) binds(s *stepState) bool {
	if r.step == s {
		return false
	}
	switch {
	case r.reached:
		return true
	case !r.firm() || r.step.urgency.OverEntitlement:
		return false
	case s.urgency.Priority >= r.step.urgency.Priority:
		return true
	}
	return r.bindsAll && !s.passesHolds
}

// isPastPatience reports whether s has waited long enough to use what is reserved for steps of
// lower priorities.
func (e *Engine) isPastPatience(s *stepState) bool { return e.now.Sub(s.readyAt) >= holdPatience }

// firm reports whether r keeps its workers from round to round.
func (r *stepReservation) firm() bool { return r != nil && (r.strict || r.committed) }

// heldFrom returns from when on the reserved resources are not available to others. For a strict
// reservation that is now. While half of the service is idle it is the expected start, and others may
// use only what the step doesn't need once it has started, see freeBeside: it isn't CPU that the step
// waits for.
func (r *stepReservation) heldFrom(now time.Time) time.Time {
	if r.strict && !r.amidIdle {
		return now
	}
	return r.start
}

// holdFirmReservations holds what the firm reservations need before the steps are placed. A
// reservation whose bound has passed becomes strict here, as more urgent steps may keep the round
// from trying its step.
func (e *Engine) holdFirmReservations(rounds map[string]*placementRound) {
	for _, s := range e.openSteps {
		r := s.reservation
		if r == nil {
			continue
		}
		q := e.queueOf(s.job())
		if q == nil || !s.open() {
			continue
		}
		if !e.backfills(q) {
			s.reservation = nil
			continue
		}
		r.reached = false
		if !r.firm() && e.now.Sub(r.promised) <= r.bound {
			continue
		}
		round := e.roundOf(rounds, q.Service)
		if len(e.withinLimit(s, s.waitingTasks())) == 0 || e.waitsForExposure(s, round) {
			s.reservation = nil // it waits for something else
			continue
		}
		if r.start.Before(e.now) {
			r.start = e.now
		}
		e.checkSlip(r)
		if r.firm() && round.reserving < maxReservingSteps && e.keepsWorkers(r, q, round) {
			e.holdFirm(r, round)
		}
	}
}

// holdFirm holds the resources of a firm reservation before the steps are placed.
func (e *Engine) holdFirm(r *stepReservation, round *placementRound) {
	r.bindsAll = round.firmCPU == 0 || round.firmCPU+r.cpu() <= int64(firmRatio*float64(round.capacity))
	r.rank = round.reserving
	round.firmCPU += r.cpu()
	e.hold(r, round)
}

// reserveStart reserves the resources for tasks of s, which could not be placed now.
func (e *Engine) reserveStart(s *stepState, q *policy.Queue, round *placementRound, waiting int) {
	count := e.reservedTasks(s, waiting)
	if count == 0 {
		return
	}
	r := s.reservation
	if r != nil && r.holding(round) {
		r.reached = true
		e.checkSlip(r)
		e.moveFirm(r, q, round, count)
		return
	}
	if r == nil && s.spec.Gang && e.now.Sub(s.readyAt) < narrowDelay && e.isNarrow(s, round) {
		e.holdForGang(s, round, count)
		return
	}
	if round.reserving >= maxReservingSteps || round.examined >= maxReservationWorkers || round.reservedCPU+s.charge.CPU*int64(count) > round.capacity {
		return
	}
	plan, ok := e.recentPlan(r, q)
	if !ok && (s.planFailedAt.IsZero() || e.now.Sub(s.planFailedAt) >= replanInterval) {
		plan, ok = e.planStart(s, q, round, count)
	}
	if !ok {
		s.reservation = nil
		return
	}
	if r == nil || !r.strict && e.now.Sub(r.plannedAt) > promiseRetention {
		r = &stepReservation{step: s, promised: plan.start, bound: reservation.SlipBound(plan.start.Sub(e.now))}
		s.reservation = r
	}
	r.use(plan, e.now)
	r.committed = e.hasTickets(s, q, r)
	r.reached = true
	e.checkSlip(r)
	e.hold(r, round)
}

// reservedTasks returns the number of tasks of s to reserve for: all of a gang, one of a step of
// wide tasks.
func (e *Engine) reservedTasks(s *stepState, waiting int) int {
	switch {
	case s.spec.Gang && waiting >= 2:
		return waiting
	case s.spec.Gang || s.spec.LongRunning || s.waiting == 0:
		return 0
	}
	for _, w := range e.pools[e.queueOf(s.job()).Service].workers {
		if w.canHold(s.spec) { // the first stands for all
			if float64(s.charge.CPU) >= wideTaskRatio*float64(w.capacity.CPU) || float64(s.charge.MemMB) >= wideTaskRatio*float64(w.capacity.MemMB) {
				return 1
			}
			return 0
		}
	}
	return 0
}

// stepPlan is the earliest start of a step.
type stepPlan struct {
	start   time.Time
	shares  []share
	spare   []*worker
	foundAt time.Time
}

// isNarrow reports whether the tasks of s would fit on one idle worker.
func (e *Engine) isNarrow(s *stepState, round *placementRound) bool {
	for _, w := range round.workers {
		if w.canHold(s.spec) { // the first stands for all
			return tasksThatFit(s, w, w.capacity) >= s.waiting
		}
	}
	return false
}

// use replaces the plan of r.
func (r *stepReservation) use(p stepPlan, now time.Time) {
	r.start, r.shares, r.spare, r.plannedAt, r.foundAt = p.start, p.shares, p.spare, now, p.foundAt
}

// recentPlan returns the plan of r if it was found within replanInterval and its workers may
// still be used.
func (e *Engine) recentPlan(r *stepReservation, q *policy.Queue) (stepPlan, bool) {
	if r == nil || e.now.Sub(r.foundAt) >= replanInterval || !e.mayUseShares(r, q) {
		return stepPlan{}, false
	}
	return stepPlan{start: latest(r.start, e.now), shares: r.shares, spare: r.spare, foundAt: r.foundAt}, true
}

// mayUseShares reports whether tasks of the step may be sent to all workers of r.
func (e *Engine) mayUseShares(r *stepReservation, q *policy.Queue) bool {
	for _, sh := range r.shares {
		if !sh.worker.usable(e.now) || q.Advice != nil && !r.step.isGood(sh.worker) {
			return false
		}
	}
	return true
}

// isGood reports whether the adviser found the present incarnation of w good for s.
func (s *stepState) isGood(w *worker) bool {
	return s.advice != nil && s.advice.goodByWorker[w] != nil && s.ticket(w).incarnation == w.incarnation
}

// planStart finds the earliest start of count tasks of s and the workers for it.
func (e *Engine) planStart(s *stepState, q *policy.Queue, round *placementRound, count int) (stepPlan, bool) {
	if count == 0 {
		return stepPlan{}, false
	}
	workers := e.reservable(s, q, round, count)
	round.examined += len(workers)
	lines := make([]reservation.Worker, len(workers))
	for i, w := range workers {
		lines[i] = e.timeline(w, s)
		lines[i].MaxTasks = count
		if s.spec.MaxPerWorker > 0 {
			lines[i].MaxTasks = s.spec.MaxPerWorker - s.tasksOn(w)
		}
		lines[i].NotBefore = e.ticketReadyAt(s, q, w, count)
		lines[i].Preferred = q.Advice != nil && e.ticketValidAt(s.ticket(w), e.now) || s.reservation.has(w)
	}
	req := reservation.Request{Need: s.charge, Count: count + int(spareTaskRatio*float64(count)), From: e.now, Spare: max(spareRenewedTickets, count/4)}
	found, ok := reservation.Find(req, lines)
	if !ok {
		req.Count = count
		found, ok = reservation.Find(req, lines)
	}
	s.neverFits = !ok && !fitsBesideLongRuns(s, lines, count)
	if !ok {
		s.planFailedAt = e.now
		return stepPlan{}, false
	}
	s.planFailedAt = time.Time{}
	plan := stepPlan{start: found.Start, foundAt: e.now}
	for _, sh := range found.Shares {
		plan.shares = append(plan.shares, share{workers[sh.Worker], sh.Tasks})
	}
	for _, i := range found.Spare {
		plan.spare = append(plan.spare, workers[i])
	}
	plan.start = e.startWithTickets(s, q, plan)
	return plan, true
}

// fitsBesideLongRuns reports whether count tasks of s fit when the runs that have an end have
// ended and no other step holds anything.
func fitsBesideLongRuns(s *stepState, lines []reservation.Worker, count int) bool {
	fit := 0
	for _, line := range lines {
		free := line.Free
		for _, r := range line.Releases {
			free = free.Add(r.Resources)
		}
		fit += s.charge.CountIn(free, max(0, line.MaxTasks))
	}
	return fit >= count
}

// has reports whether tasks are to start on w.
func (r *stepReservation) has(w *worker) bool {
	return r != nil && slices.ContainsFunc(r.shares, func(s share) bool { return s.worker == w })
}

// reservable returns the workers on which s can reserve.
func (e *Engine) reservable(s *stepState, q *policy.Queue, round *placementRound, count int) []*worker {
	if q.Advice != nil {
		return e.goodWorkers(s)
	}
	if len(round.workers) <= smallFleet {
		return e.eligible(s, round)
	}
	var out []*worker
	fit := 0
	for w := range round.mostFree() {
		if !w.usable(e.now) || !w.canHold(s.spec) {
			continue
		}
		fit += tasksThatFit(s, w, w.capacity)
		if out = append(out, w); len(out) >= minSample && fit >= reservationCoverage*count {
			break
		}
	}
	return out
}

// checkSlip makes r strict if its start is expected too late. A step that comes too late for
// its caller gets no strict reservation, as others would become late for it.
func (e *Engine) checkSlip(r *stepReservation) {
	late := r.start.Sub(r.promised)
	if r.strict || late <= r.bound || ordering.TimelinessOf(r.step.urgency, e.now) == ordering.TooLate {
		return
	}
	r.strict = true
	e.slipped++
	e.countReservations(ReservationSlipped, 1)
	if e.trial != nil {
		return
	}
	e.slippedInTerm++
	e.log.Info("reservation slipped", "step", r.step.name, "job", r.step.ref.Job, "late_ms", late.Milliseconds(), "bound_ms", r.bound.Milliseconds(),
		"start_ms", r.start.Sub(e.now).Milliseconds(), "workers", len(r.shares))
}

// keepsWorkers updates the start of a firm reservation on the workers that it has. If its step
// cannot start there any more it finds others. It reports false if there are none.
func (e *Engine) keepsWorkers(r *stepReservation, q *policy.Queue, round *placementRound) bool {
	plan, ok := e.recentPlan(r, q)
	if !ok {
		plan, ok = e.startOnShares(r, q)
	}
	if !ok {
		plan, ok = e.planStart(r.step, q, round, e.reservedTasks(r.step, r.step.waiting))
	}
	if !ok {
		r.step.reservation = nil
		return false
	}
	r.use(plan, e.now)
	return true
}

// startOnShares finds the start of a reservation on the workers that it has.
func (e *Engine) startOnShares(r *stepReservation, q *policy.Queue) (stepPlan, bool) {
	s := r.step
	plan := stepPlan{start: e.now, shares: r.shares, spare: r.spare, foundAt: e.now}
	if !e.mayUseShares(r, q) {
		return stepPlan{}, false
	}
	for _, sh := range r.shares {
		w := sh.worker
		line := e.timeline(w, s)
		line.MaxTasks = sh.tasks
		found, ok := reservation.Find(reservation.Request{Need: s.charge, Count: sh.tasks, From: e.now}, []reservation.Worker{line})
		if !ok {
			return stepPlan{}, false
		}
		if found.Start.After(plan.start) {
			plan.start = found.Start
		}
	}
	plan.start = e.startWithTickets(s, q, plan)
	return plan, true
}

// moveFirm moves a firm reservation to workers that are free much sooner.
func (e *Engine) moveFirm(r *stepReservation, q *policy.Queue, round *placementRound, count int) {
	interval := replanInterval
	if r.moves >= maxMoves {
		if round.free < round.capacity/2 {
			return
		}
		interval = moveInterval
	}
	if r.start.Sub(e.now) < minMoveGain || e.now.Sub(r.moveTriedAt) < interval {
		return
	}
	r.moveTriedAt = e.now
	plan, ok := e.planStart(r.step, q, round, count)
	if !ok || r.start.Sub(plan.start) < minMoveGain {
		return
	}
	r.moves++
	e.unhold(r, round)
	r.use(plan, e.now)
	e.hold(r, round)
}
