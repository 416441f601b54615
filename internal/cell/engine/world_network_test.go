package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
)

// network carries the calls between an engine and the workers as the platform specifies
// them: a call may be lost, late or refused, its answer may be lost, and answers may
// overtake each other. It replaces the commands and renewals of the plain world.
type network struct {
	w             *world
	rand          *rand.Rand
	links         map[string]*link
	planted       plantedFault
	endsPerReport int
	seenEnded     map[string]time.Time // when jobs were first seen to have ended

	// restartsKeepID says that calls name a worker's id, not its incarnation, so that a
	// call which is under way when the worker restarts is carried out by the new one.
	restartsKeepID bool
	untold         bool // answers to commands don't tell the worker's incarnation
	orderlyEnds    bool // leaders end in order before others take over
	faultsCleared  bool // the last fault of the schedule is over
	rules          taskRules
	reports        map[string][]*Report // by worker and incarnation, for a planted fault

	deadly   map[string]time.Duration // how long after its start a task crashes its worker, by task
	isolated []*isolatedLeader
	calm     bool               // the last fault is over
	open     map[string][]*call // calls that have arrived and have no answer, by worker
}

// link holds the faults of the calls to one worker.
type link struct {
	maxDelay       time.Duration // of a call, and of its answer
	lostRatio      float64       // share of calls that are lost
	lateRatio      float64       // share of calls that are carried out 2 to 12 s late
	lostReplyRatio float64       // share of calls that are carried out, but not answered
	refusedRatio   float64       // share of calls that are refused
	refusals       []CommandOutcome
	downUntil      time.Time // end of a restart
	silentUntil    time.Time // until when calls that are sent are lost
	refusesUntil   time.Time // until when connections are refused, as the worker's process has ended or it is cut off
}

const (
	usualDelay = 15 * time.Millisecond
	minLate    = 2 * time.Second
	maxLate    = 12 * time.Second
)

func (w *world) useNetwork(seed uint64) *network {
	n := &network{w: w, rand: rand.New(rand.NewPCG(seed, 3)), links: make(map[string]*link), endsPerReport: 500, seenEnded: make(map[string]time.Time),
		deadly: make(map[string]time.Duration), open: make(map[string][]*call),
		reports: make(map[string][]*Report), rules: taskRules{w: w, tasks: make(map[string]*taskHistory)}}
	w.net = n
	for _, id := range w.ids {
		n.links[id] = &link{maxDelay: usualDelay}
		n.startClock(w.workers[id], 1+n.rand.Int64N(600_000))
	}
	w.startLeader()
	return n
}

func lifeKey(id string, incarnation int64) string { return fmt.Sprintf("%s/%d", id, incarnation) }

// delay returns the delay of one call or answer.
func (l *link) delay(r *rand.Rand) time.Duration {
	return simTick + time.Duration(r.Int64N(int64(l.maxDelay)))
}

// call is one call of an engine to a worker.
type call struct {
	engine     *Engine
	worker     string
	timeout    time.Duration
	unanswered any
	carryOut   func(s *simWorker, reply func(event any))
	answered   bool
}

// send sends a call. The engine gets exactly one event: the answer, or unanswered after
// the timeout.
func (n *network) send(c *call) {
	l := n.links[c.worker]
	n.w.after(c.timeout, func() { n.answer(c, c.unanswered) })
	delay := l.delay(n.rand)
	switch p := n.rand.Float64(); {
	case p < l.lostRatio || n.w.now.Before(l.silentUntil) || n.cutOffFrom(c.engine, c.worker):
		return
	case p < l.lostRatio+l.lateRatio:
		delay = minLate + time.Duration(n.rand.Int64N(int64(maxLate-minLate)))
	}
	n.w.after(delay, func() { n.arrive(c) })
}

// arrive carries out a call that has reached its worker.
func (n *network) arrive(c *call) {
	s, l := n.w.workers[c.worker], n.links[c.worker]
	switch {
	case s.unreachable:
		return
	case n.w.now.Before(l.refusesUntil):
		n.w.after(l.delay(n.rand), func() { n.answer(c, refusedConnection(c.unanswered)) })
		return
	case n.w.now.Before(l.downUntil):
		return
	}
	incarnation, replied := s.incarnation, false
	c.carryOut(s, func(event any) {
		replied = true
		if n.rand.Float64() < l.lostReplyRatio || s.unreachable || s.incarnation != incarnation {
			return
		}
		n.w.after(l.delay(n.rand), func() { n.answer(c, event) })
	})
	if !replied {
		n.open[c.worker] = append(n.open[c.worker], c)
	}
}

// answer delivers the outcome of a call unless it has one.
func (n *network) answer(c *call, event any) {
	if c.answered {
		return
	}
	c.answered = true
	if n.planted.event != nil {
		event = n.planted.event(n, event)
	}
	if !n.hears(c.engine) {
		return
	}
	if ev, ok := event.(*StartAnswered); ok && ev.Outcome == NoAnswer && ev.Start.Ticket == "" {
		n.rules.history(ev.Start.Task).openUntil = n.w.now.Add(simConfig().MaxCommandDelay + maxProofDelay)
	}
	switch ev := event.(type) {
	case *StartAnswered:
		if n.untold {
			ev.Incarnation = 0
		}
	case *StopAnswered:
		if n.untold {
			ev.Incarnation = 0
		}
	}
	c.engine.Handle(n.w.now, event)
}

// refusal returns the outcome by which a worker refuses a call, if it does.
func (n *network) refusal(s *simWorker) (CommandOutcome, bool) {
	l := n.links[s.id]
	if len(l.refusals) == 0 || n.rand.Float64() >= l.refusedRatio {
		return Accepted, false
	}
	return l.refusals[n.rand.IntN(len(l.refusals))], true
}

// execute carries out an action of the engine if it is a call to a worker or to the adviser.
// It reports whether it is.
func (n *network) execute(e *Engine, action any) bool {
	if n.planted.action != nil {
		if action = n.planted.action(n, action); action == nil {
			return true
		}
	}
	sent := n.w.now
	switch a := action.(type) {
	case *Start:
		n.send(&call{engine: e, worker: a.Worker, timeout: a.Timeout, unanswered: &StartAnswered{Start: a, Outcome: NoAnswer},
			carryOut: func(s *simWorker, reply func(any)) { reply(n.start(s, a, sent)) }})
	case *Stop:
		n.send(&call{engine: e, worker: a.Worker, timeout: a.Timeout, unanswered: &StopAnswered{Stop: a, Outcome: NoAnswer},
			carryOut: func(s *simWorker, reply func(any)) { reply(n.stop(s, a)) }})
	case *Renew:
		n.send(&call{engine: e, worker: a.Worker, timeout: a.Timeout,
			unanswered: &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: sent},
			carryOut:   func(s *simWorker, reply func(any)) { n.renew(s, a, sent, reply) }})
	case *AdviceCall:
		n.advise(e, a)
	default:
		return false
	}
	return true
}

// adviceTravelTime is the time between the issue of tickets and their arrival.
const adviceTravelTime = 20 * time.Millisecond

// advise answers a call to the adviser with tickets that the workers check.
func (n *network) advise(e *Engine, a *AdviceCall) {
	w := n.w
	if w.adviceFails {
		w.deliver(e, simTick, &AdviceAnswered{Call: a})
		return
	}
	w.after(a.ExpectedDuration, func() {
		tickets := w.answerAdvice(a)
		for id := range tickets {
			tickets[id] = fmt.Sprintf("%s %d %d", a.Step, w.workers[id].incarnation, w.now.UnixMilli())
		}
		w.deliver(e, adviceTravelTime, &AdviceAnswered{Call: a, OK: true, TTL: ticketTTL, Tickets: tickets})
	})
}

const ticketTTL = 1500 * time.Millisecond

// ticketValid reports whether a start command has the ticket that its queue requires.
func (n *network) ticketValid(s *simWorker, ref job.TaskRef, ticket string) bool {
	if n.w.policy.Queue(n.w.specs[ref.Job].Queue).Advice == nil {
		return true
	}
	var step string
	var incarnation, issued int64
	if _, err := fmt.Sscanf(ticket, "%s %d %d", &step, &incarnation, &issued); err != nil {
		return false
	}
	return step == ref.StepRef.String() && incarnation == s.incarnation && n.w.now.Sub(time.UnixMilli(issued)) <= ticketTTL
}

// restart restarts a worker under the same id. The directory shows it after a delay.
func (n *network) restart(id string, downTime, listDelay time.Duration) {
	w, s := n.w, n.w.workers[id]
	for _, name := range sortedKeys(s.runs) {
		if r := s.runs[name]; r != nil && r.gang != nil {
			delete(s.runs, name)
			delete(w.tasks[name].runs, id)
			w.endGang(r, EndedGangBroken)
		}
	}
	w.restartUnlisted(id)
	s.leaseEnd = time.Time{}
	n.links[id].downUntil = w.now.Add(downTime)
	n.startClock(s, 1)
	w.after(downTime+listDelay, n.w.publishDirectory)
}

// replace ends a worker for good. Another one with a new id joins after a delay.
func (n *network) replace(id string, delay time.Duration) {
	w := n.w
	n.restart(id, 24*time.Hour, 0)
	w.ids = slices.DeleteFunc(w.ids, func(other string) bool { return other == id })
	n.w.publishDirectory()
	w.after(delay, func() {
		joined := fmt.Sprintf("w%02d", len(w.workers))
		w.ids = append(w.ids, joined)
		s := &simWorker{id: joined, incarnation: 1, capacity: w.workers[id].capacity, runs: make(map[string]*simRun), endedRuns: make(map[string]int), slowdown: 1}
		w.workers[joined] = s
		n.links[joined] = &link{maxDelay: usualDelay}
		n.startClock(s, 1)
		n.w.publishDirectory()
	})
}

// drain has a worker drain. It ends some seconds later, and another one joins.
func (n *network) drain(r *rand.Rand) {
	w := n.w
	id := w.ids[r.IntN(len(w.ids))]
	if id == "w00" || id == "w01" || w.workers[id].draining { // for some steps the adviser names no other worker
		return
	}
	w.workers[id].draining = true
	n.w.publishDirectory()
	w.after(drainTime+time.Duration(r.Int64N(int64(4*time.Second))), func() {
		if slices.Contains(w.ids, id) {
			n.replace(id, time.Second)
		}
	})
}

// drainTime is the minimum time that the directory tells of a draining worker.
const drainTime = 2 * time.Second
