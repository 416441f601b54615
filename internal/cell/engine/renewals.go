package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/policy"
)

// renewalLead is how long before its reserved start a gang's tickets are renewed, beyond the
// duration of the call. The gang may be able to start earlier than expected, and delegates may
// be busy; the tickets are valid for much longer.
const renewalLead = 300 * time.Millisecond

// startWithTickets returns when s can start according to a plan and with valid tickets.
func (e *Engine) startWithTickets(s *stepState, q *policy.Queue, p stepPlan) time.Time {
	if q.Advice == nil {
		return p.start
	}
	missing := 0
	for _, sh := range p.shares {
		if !e.ticketValidAt(s.ticket(sh.worker), p.start) {
			missing++
		}
	}
	if missing == 0 {
		return p.start
	}
	ready := e.now.Add(callTime(s, q, missing))
	if s.advice.callsInFlight > 0 {
		ready = s.advice.answerExpected
		if ready.Before(e.now) {
			ready = e.now
		}
	}
	if ready.After(p.start) {
		return ready
	}
	return p.start
}

// callTime returns the expected duration of the calls about n workers for s.
func callTime(s *stepState, q *policy.Queue, n int) time.Duration {
	calls := max(1, callCount(s, n))
	return q.Advice.CallDuration((n + calls - 1) / calls)
}

// workersForReservation returns the workers that the adviser should be asked about now for a
// step with a reservation: those of the reservation, in time for its start, and until then
// others, so that the step can start sooner.
func (e *Engine) workersForReservation(s *stepState, q *policy.Queue, round *placementRound) []*worker {
	r := s.reservation
	neededAt := r.start
	if earliest := e.now.Add(callTime(s, q, len(r.shares))); neededAt.Before(earliest) {
		neededAt = earliest
	}
	stale := make([]*worker, 0, len(r.shares)+len(r.spare))
	for _, sh := range r.shares {
		if !e.ticketValidAt(s.ticket(sh.worker), neededAt) {
			stale = append(stale, sh.worker)
		}
	}
	missing := len(stale)
	for _, w := range r.spare {
		if !e.ticketValidAt(s.ticket(w), neededAt) {
			stale = append(stale, w)
		}
	}
	stale = stale[:min(len(stale), maxCalls*maxWorkersPerCall)]
	renewAt := r.start.Add(-callTime(s, q, len(stale)) - renewalLead)
	if !e.now.Before(renewAt) {
		if missing == 0 {
			return nil
		}
		if e.ticketCapacity(s, e.now).valid >= s.waiting {
			return nil // it starts with the tickets that it has
		}
		r.committed = true
		return stale
	}
	if e.knowsEnoughWorkers(s) {
		return nil
	}
	if e.now.Add(callTime(s, q, minWorkersAsked)).After(renewAt) {
		return nil
	}
	ask := e.rankBySoonest(s, q, round)
	if e.now.Add(callTime(s, q, len(ask))).After(renewAt) {
		return nil // the answer would delay the renewal
	}
	return ask
}

const (
	// rankHorizon is how far ahead the free resources count when a gang asks about workers. It
	// covers a call about them and most of the validity of the tickets.
	rankHorizon = 2500 * time.Millisecond
	// soonestMultiplier is the capacity on good workers that a gang asks for, as a multiple of
	// what it needs, while delegates are scarce.
	soonestMultiplier = 4
)

// rankBySoonest returns workers that the adviser was not asked about yet for a gang: those on
// which most of its tasks are expected to fit soon.
func (e *Engine) rankBySoonest(s *stepState, q *policy.Queue, round *placementRound) []*worker {
	if e.allAsked(s) {
		return nil
	}
	class := callClass(q.Advice.Base)
	horizon := e.now.Add(rankHorizon)
	ranked := e.rankBuffer[:0]
	for w := range round.mostFree() {
		if len(ranked) == maxRankedWorkers {
			break
		}
		if !w.usable(e.now) || !w.canHold(s.spec) || w.incarnation != 0 && s.advice.asked[w] == w.incarnation {
			continue
		}
		soon := float64(tasksThatFit(s, w, e.freeAt(w, s, horizon))) / float64(1+w.pendingAsks[class])
		ranked = append(ranked, rankedWorker{w, 0, soon, float64(tasksThatFit(s, w, w.capacity))})
	}
	e.rankBuffer = ranked
	if len(ranked) == 0 {
		s.advice.exhaustedAt = e.now
		return nil
	}
	want, limit := float64(s.waiting)*soonestMultiplier, maxWorkersPerCall
	if advice.IdleRatio(e.delegateLoads, e.now) >= minIdleDelegates {
		want, limit = float64(s.waiting)*gangAskMultiplier, maxCalls*maxWorkersPerCall
	}
	var ask []*worker
	expected, share := 0.0, e.goodShare(q.Name)
	for _, i := range e.rankOrder(ranked) {
		if len(ask) == limit || expected >= want && len(ask) >= minWorkersAsked {
			break
		}
		expected += share * ranked[i].room
		ask = append(ask, ranked[i].worker)
	}
	return ask
}

// ticketReadyAt returns when a task of s could start on w, as far as tickets are concerned.
// count tasks need tickets.
func (e *Engine) ticketReadyAt(s *stepState, q *policy.Queue, w *worker, count int) time.Time {
	if q.Advice == nil || e.ticketValidAt(s.ticket(w), e.now) {
		return e.now
	}
	free := e.now // when the next call can be made
	if s.advice.callsInFlight > 0 {
		if s.advice.answerExpected.After(e.now) {
			free = s.advice.answerExpected
		}
		if slices.Contains(s.advice.asking, w) {
			return free
		}
	}
	return free.Add(q.Advice.CallDuration(min(count, gangCallSize) / 2))
}

// hasTickets reports whether the tickets of r are valid at its start, or its start is near and
// no tickets are needed.
func (e *Engine) hasTickets(s *stepState, q *policy.Queue, r *stepReservation) bool {
	if q.Advice == nil {
		return r.start.Sub(e.now) <= commitTime
	}
	return !slices.ContainsFunc(r.shares, func(sh share) bool { return !e.ticketValidAt(s.ticket(sh.worker), r.start) })
}

// commitTime is how long before its start a step without tickets keeps its workers.
const commitTime = time.Second

// knowsEnoughToReserve reports whether s can reserve on its good workers, as far as is known.
func (e *Engine) knowsEnoughToReserve(s *stepState) bool {
	if s.neverFits {
		return false
	}
	fit := 0
	for g := range e.usableGoodWorkers(s) {
		if fit += tasksThatFit(s, g.worker, g.capacity); float64(fit) >= enoughCoverage*float64(s.waiting) {
			return true
		}
	}
	return false
}

// enoughCoverage is the number of tasks that the good workers of a gang hold when they are idle,
// as a multiple of its tasks, with which it waits until it can reserve instead of asking about more.
const enoughCoverage = 1.5

// minAsked returns the minimum number of workers to ask about for steps of q. On a fleet that is
// full because it is backfilled, a step of the highest priority starts where resources become
// free next, so it asks about as many workers as make the call twice as long.
func (e *Engine) minAsked(q *policy.Queue) int {
	if !e.backfills(q) || q.Priority > 0 || q.Advice.PerWorker <= 0 {
		return minWorkersAsked
	}
	return max(minWorkersAsked, int(q.Advice.Base/q.Advice.PerWorker))
}
