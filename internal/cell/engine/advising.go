package engine

import (
	"sort"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// adviceState is what the adviser has said of a step.
type adviceState struct {
	good    map[string]ticket // by worker; a worker that is not good has no ticket
	order   []string          // the workers in good, in the order in which they were found
	asked   map[string]int64  // life of each worker that was asked about
	calls   int               // under way
	retryAt time.Time
}

// first reports whether the adviser has not answered yet for the first time.
func (a *adviceState) first() bool { return a != nil && a.calls > 0 && len(a.asked) == 0 }

// adviceSoFar returns the state of the advice for s, which is empty at first.
func (s *stepRun) adviceSoFar() *adviceState {
	if s.advice == nil {
		s.advice = &adviceState{good: make(map[string]ticket), asked: make(map[string]int64)}
	}
	return s.advice
}

// known notes that a worker is good for s.
func (s *stepRun) known(worker string, t ticket) {
	a := s.adviceSoFar()
	if _, there := a.good[worker]; !there {
		a.order = append(a.order, worker)
	}
	a.good[worker], a.asked[worker] = t, t.life
}

type ticket struct {
	value string
	life  int64
	until time.Time
}

// arm is an instance that can call the adviser.
type arm struct {
	name string
	advice.Arm
}

// ticket returns the ticket of s for a worker; the zero ticket if none is needed.
func (s *stepRun) ticket(worker string) ticket {
	if s.advice == nil {
		return ticket{}
	}
	return s.advice.good[worker]
}

func (s *stepRun) dropTicket(worker string) {
	if s.advice == nil {
		return
	}
	if t, ok := s.advice.good[worker]; ok {
		t.until = time.Time{}
		s.advice.good[worker] = t
	}
}

// ticketMargin is the time that an order needs to reach its worker, taken off the
// life of a ticket beside the time that its record needs to be stored.
const ticketMargin = 60 * time.Millisecond

// ticketHolds reports whether a ticket will still be valid when an order that is
// planned at that time reaches its worker.
func (e *Engine) ticketHolds(t ticket, at time.Time) bool {
	return at.Add(ticketMargin + e.storing).Before(t.until)
}

// ticketed returns the usable workers that s has a valid ticket for.
func (e *Engine) ticketed(s *stepRun) []*worker {
	var out []*worker
	for _, w := range e.goodFor(s) {
		if e.ticketHolds(s.advice.good[w.id], e.now) {
			out = append(out, w)
		}
	}
	return out
}

// goodFor returns the usable workers that the adviser found good for s, in the order
// in which it did.
func (e *Engine) goodFor(s *stepRun) []*worker {
	if s.advice == nil {
		return nil
	}
	out := make([]*worker, 0, len(s.advice.order))
	for _, id := range s.advice.order {
		w := e.workers[id]
		if w != nil && s.advice.good[id].life == w.life && w.usable(e.now) {
			out = append(out, w)
		}
	}
	return out
}

// advise asks the adviser about workers for s if that could help to place it.
func (e *Engine) advise(s *stepRun, q *policy.Queue, r *room) {
	a := s.adviceSoFar()
	if a.calls > 0 || e.now.Before(a.retryAt) {
		return
	}
	if e.chooseArm(q.Advice.Base) == nil {
		return // no arm could take the call, whatever it asks
	}
	ask := e.worthAsking(s, q, r)
	for _, part := range split(ask, callsFor(s, len(ask))) {
		if !e.call(s, q, part) {
			return // the rest is asked about later
		}
	}
}

const (
	// callSize is about how many workers a call names, where several calls ask for a
	// gang at a time: with fewer, a call costs little less.
	callSize = 60
	// mostCalls bounds the calls for a gang at a time, which leave other steps without
	// an arm.
	mostCalls = 3
)

// callsFor returns how many calls side by side ask about n workers for s. A gang
// starts after the last of its answers, and the tickets of the first last little
// longer than a call.
func callsFor(s *stepRun, n int) int {
	size := mostAsked
	if s.spec.Gang {
		size = callSize
	}
	return min(mostCalls, (n+size-1)/size)
}

// split cuts workers into n parts of about the same length. It deals them out in
// turn, so that each part has some of the best.
func split(workers []*worker, n int) [][]*worker {
	parts := make([][]*worker, min(n, len(workers)))
	for i, w := range workers {
		parts[i%len(parts)] = append(parts[i%len(parts)], w)
	}
	return parts
}

// call has an arm ask about workers for s. It reports whether there is an arm.
func (e *Engine) call(s *stepRun, q *policy.Queue, ask []*worker) bool {
	cost := q.Advice.Of(len(ask))
	chosen := e.chooseArm(cost)
	if chosen == nil {
		return false
	}
	chosen.Take(e.now, cost)
	s.advice.calls++
	names := make([]string, len(ask))
	for i, w := range ask {
		names[i] = w.id
	}
	e.emit(&Ask{Arm: chosen.name, Step: s.name, Workers: names, Cost: cost, step: s, sent: e.now})
	return true
}

// worthAsking returns the workers that the adviser should be asked about now:
// good ones with room whose ticket has lapsed, or ones it was not asked about yet.
func (e *Engine) worthAsking(s *stepRun, q *policy.Queue, r *room) []*worker {
	need := s.waiting
	if valid, _, _ := e.ticketRoom(s, e.now); valid >= need || !s.spec.Gang && valid > 0 {
		return nil // what can start does; the rest asks again later
	}
	// A gang starts once it has all of its tickets, so those count that outlast the
	// call that brings the rest.
	by := e.now
	if s.spec.Gang {
		by = by.Add(q.Advice.Of(min(need, mostAsked)))
	}
	valid, room, lapsed := e.ticketRoom(s, by)
	if valid+room >= need || !s.spec.Gang && room > 0 {
		return firstWithRoom(s, lapsed, need-valid)
	}
	var fresh []*worker
	for _, w := range s.eligible(r) {
		if s.advice.asked[w.id] != w.life || w.life == 0 {
			fresh = append(fresh, w)
		}
	}
	return e.bestToAsk(s, q, fresh)
}

// ticketRoom returns how many waiting tasks of s have room now on good workers whose
// tickets hold until by, and on the other good workers, with the latter.
func (e *Engine) ticketRoom(s *stepRun, by time.Time) (valid, lapsed int, on []*worker) {
	for _, w := range e.goodFor(s) {
		n := roomFor(s, w, w.free())
		switch {
		case n == 0:
		case e.ticketHolds(s.advice.good[w.id], by):
			valid += n
		default:
			lapsed += n
			on = append(on, w)
		}
	}
	return valid, lapsed, on
}

// roomFor returns how many waiting tasks of s fit into free.
func roomFor(s *stepRun, w *worker, free job.Resources) int {
	n := s.charge.CountIn(free, s.waiting)
	if s.spec.MaxPerWorker > 0 {
		n = min(n, s.spec.MaxPerWorker-s.present(w))
	}
	return max(0, n)
}

// firstWithRoom returns as many of workers as have room for need tasks, those with
// the most room first.
func firstWithRoom(s *stepRun, workers []*worker, need int) []*worker {
	sort.SliceStable(workers, func(i, j int) bool {
		return roomFor(s, workers[i], workers[i].free()) > roomFor(s, workers[j], workers[j].free())
	})
	for i, w := range workers {
		need -= roomFor(s, w, w.free())
		if need <= 0 {
			workers = workers[:min(len(workers), i+1+spareLapsed)]
			break
		}
	}
	return workers[:min(len(workers), mostCalls*mostAsked)]
}

const (
	// mostAsked is how many workers the adviser takes in one call.
	mostAsked = 100
	// leastAsked is how many are asked about at least. A call costs far more by
	// itself than by its workers.
	leastAsked = 12
	// spareLapsed is how many workers tickets are renewed for beyond those needed,
	// as room may be taken while the adviser answers.
	spareLapsed = 2
	// askFactor is how much more room than needed is asked about. A gang waits for
	// room on its good workers, so it asks about more of them.
	askFactor     = 1.5
	askFactorGang = 3
	// laterRoom is the part of a worker's room in use that counts as room when
	// workers are asked about ahead of time.
	laterRoom = 0.3
)

// bestToAsk returns the workers with the most room, as many as should hold enough
// good ones. Steps that cannot wait for an answer later ask ahead of room.
func (e *Engine) bestToAsk(s *stepRun, q *policy.Queue, fresh []*worker) []*worker {
	ahead := s.spec.Gang || q.Priority == 0 || q.Advice.Base >= advice.LongCall
	score := make(map[*worker]float64, len(fresh))
	ranked := fresh[:0]
	for _, w := range fresh {
		v := float64(roomFor(s, w, w.free()))
		if ahead {
			v += laterRoom * (float64(roomFor(s, w, w.capacity)) - v)
		}
		if v <= 0 {
			continue
		}
		score[w] = v
		ranked = append(ranked, w)
	}
	sort.SliceStable(ranked, func(i, j int) bool { return score[ranked[i]] > score[ranked[j]] })
	share := e.goodShare(q.Name)
	want := float64(s.waiting) * askFactor
	if s.spec.Gang {
		want = float64(s.waiting) * askFactorGang
	}
	n, have := 0, 0.0
	most := mostAsked
	if s.spec.Gang {
		most *= mostCalls
	}
	for n < len(ranked) && n < most && (have < want || n < leastAsked) {
		have += share * score[ranked[n]]
		n++
	}
	return ranked[:n]
}

// firstGoodShare is the share of workers taken to be good before the adviser has
// said anything about a queue.
const firstGoodShare = 0.4

func (e *Engine) goodShare(queue string) float64 {
	if share, ok := e.shares[queue]; ok {
		return max(0.05, share)
	}
	return firstGoodShare
}

func (e *Engine) chooseArm(cost time.Duration) *arm {
	plain := make([]*advice.Arm, len(e.arms))
	for i, a := range e.arms {
		plain[i] = &a.Arm
	}
	i := advice.Choose(plain, e.now, cost)
	if i < 0 {
		return nil
	}
	return e.arms[i]
}

// adviceRetry is the pause after a call to the adviser that failed.
const adviceRetry = 30 * time.Millisecond

func (e *Engine) advised(ev *Advised) {
	s := ev.Ask.step
	s.advice.calls--
	e.dirty = true
	for _, a := range e.arms {
		if a.name == ev.Ask.Arm {
			a.Done(e.now, ev.Ask.Cost, ev.OK)
		}
	}
	if !ev.OK {
		s.advice.retryAt = e.now.Add(adviceRetry)
		e.log.Warn("no advice", "step", s.name, "job", s.ref.Job, "arm", ev.Ask.Arm, "workers", len(ev.Ask.Workers), "after_ms", e.age(ev.Ask.sent))
		return
	}
	fresh := 0
	for _, id := range ev.Ask.Workers {
		w := e.workers[id]
		if w == nil {
			continue
		}
		if s.advice.asked[id] != w.life {
			fresh++
		}
		s.advice.asked[id] = w.life
		if t, good := ev.Good[id]; good {
			s.known(id, ticket{value: t, life: w.life, until: e.now.Add(ev.TTL)})
		}
	}
	if fresh > 0 && s.waiting > 0 && ev.Ask.Cost >= advice.LongCall {
		e.touch(s) // the next leader need not ask for this again
	}
	if fresh == len(ev.Ask.Workers) && fresh > 0 {
		e.learnShare(s.job().queue, float64(len(ev.Good))/float64(fresh))
	}
	e.log.Debug("advice", "step", s.name, "arm", ev.Ask.Arm, "asked", len(ev.Ask.Workers), "good", len(ev.Good), "after_ms", e.age(ev.Ask.sent))
}

// shareWeight is the weight of one answer in the smoothed share of good workers.
const shareWeight = 0.1

func (e *Engine) learnShare(queue string, share float64) {
	if e.shares == nil {
		e.shares = make(map[string]float64)
	}
	old, known := e.shares[queue]
	if !known {
		old = firstGoodShare
	}
	e.shares[queue] = old + shareWeight*(share-old)
}

func (e *Engine) armsChanged(names []string) {
	known := make(map[string]*arm, len(e.arms))
	for _, a := range e.arms {
		known[a.name] = a
	}
	arms := make([]*arm, 0, len(names))
	for _, n := range names {
		a := known[n]
		if a == nil {
			a = &arm{name: n}
			e.log.Info("arm joined", "arm", n)
		}
		arms = append(arms, a)
	}
	e.arms = arms
	e.dirty = true
}
