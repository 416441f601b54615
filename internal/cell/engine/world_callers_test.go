package engine

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// callers submit, ask for and cancel jobs in any order, at the engine that leads and at engines
// that were replaced and go on answering. They check what the answers promise.
type callers struct {
	w     *world
	rand  *rand.Rand
	stale []*staleEngine

	canceledAt map[string]time.Time // when a caller who may cancel the job was first told that it is canceled or not known
	canceling  map[string]bool      // jobs that a caller who may cancel them tried to, at any engine
	submits    map[string]int       // submissions sent, by job
	refusals   map[string]int       // submissions refused, by job

	leaderSince    time.Time
	reported       map[string]bool      // tasks that were found to run on for too long
	reachableSince map[string]time.Time // since when nothing keeps the leader from stopping runs, by worker
}

// staleEngine is an engine that was replaced and does not know it. The store and the workers do
// nothing for it.
type staleEngine struct {
	engine *Engine
	until  time.Time // the end of its process
	told   bool      // the store answers its appends, else it never does
}

const (
	// maxStaleTime is the longest time for which a leader that reaches nobody goes on.
	maxStaleTime = 2500 * time.Millisecond
	// maxCancelDelay is the longest time from the answer to a cancellation to the end of the last run
	// on a worker that the leader reaches.
	maxCancelDelay = 3 * time.Second
	// maxRequestDelay is the longest time from a call of act to its last request.
	maxRequestDelay = 7 * time.Second
	// stopSlack allows for the time that the stop command and its answer travel.
	stopSlack = 300 * time.Millisecond
)

func newCallers(w *world, r *rand.Rand) *callers {
	w.policy.Teams = append(w.policy.Teams, policy.Team{Weight: 50}) // callers without a key
	w.policy.Index()
	w.startLeader()
	return &callers{w: w, rand: r, canceledAt: make(map[string]time.Time), canceling: make(map[string]bool), submits: make(map[string]int), refusals: make(map[string]int),
		leaderSince: w.now, reported: make(map[string]bool), reachableSince: make(map[string]time.Time)}
}

// listens reports whether e leads, or was replaced and goes on.
func (w *world) listens(e *Engine) bool { return e == w.engine || w.callers.staleOf(e) != nil }

// staleOf returns the stale engine that e is, or nil.
func (c *callers) staleOf(e *Engine) *staleEngine {
	if c == nil {
		return nil
	}
	for _, s := range c.stale {
		if s.engine == e {
			return s
		}
	}
	return nil
}

// takeOver starts a new leader while the replaced one goes on answering.
func (c *callers) takeOver() {
	c.stale = append(c.stale, &staleEngine{engine: c.w.engine, until: c.w.now.Add(c.upTo(maxStaleTime)), told: c.rand.IntN(2) == 0})
	c.w.startLeader()
}

// leaderStarted records that a new leader has started.
func (c *callers) leaderStarted() {
	if c != nil {
		c.leaderSince = c.w.now
	}
}

// settle carries out what the stale engines ask for: no worker and no adviser answers them.
func (c *callers) settle() {
	if c == nil {
		return
	}
	going := c.stale[:0]
	for _, s := range c.stale {
		if c.w.now.Before(s.until) && !s.engine.steppedDown {
			going = append(going, s)
		}
	}
	c.stale = going
	for _, s := range c.stale {
		for _, action := range s.engine.Settle(c.w.now) {
			switch a := action.(type) {
			case *Append:
				c.refuseAppend(s.engine, a)
			case *Start:
				c.w.deliver(s.engine, a.Timeout, &StartAnswered{Start: a, Outcome: NoAnswer})
			case *Stop:
				c.w.deliver(s.engine, a.Timeout, &StopAnswered{Stop: a, Outcome: NoAnswer})
			case *Renew:
				c.w.deliver(s.engine, a.Timeout, &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: c.w.now})
			case *AdviceCall:
				c.w.deliver(s.engine, a.ExpectedDuration, &AdviceAnswered{Call: a})
			}
		}
	}
	c.checkStops()
}

// refuseAppend answers an append of a replaced engine if the store answers it at all.
func (c *callers) refuseAppend(e *Engine, a *Append) {
	if s := c.staleOf(e); s != nil && s.told {
		c.w.deliver(e, 2*simTick+c.w.storeDelay, &Appended{Append: a, Outcome: Superseded})
	}
}

func (c *callers) upTo(d time.Duration) time.Duration { return upTo(c.rand, d) }

// instance returns the engine that takes a request: mostly the leading one.
func (c *callers) instance() *Engine {
	if len(c.stale) > 0 && c.rand.IntN(3) == 0 {
		return c.stale[c.rand.IntN(len(c.stale))].engine
	}
	return c.w.engine
}

// act draws the requests about one job, and takeovers.
func (c *callers) act() {
	w, r := c.w, c.rand
	if r.IntN(12) == 0 {
		c.takeOver()
	}
	if r.IntN(2) == 0 {
		return
	}
	spec := c.drawJob()
	id, other := spec.ID, c.otherCaller(spec)
	submitted := c.upTo(1500 * time.Millisecond)
	w.after(submitted, func() { c.submit(c.instance(), c.copyOf(spec)) })
	for range r.IntN(3) {
		w.after(submitted+c.upTo(5*time.Second), func() { c.submit(c.instance(), c.copyOf(spec)) })
	}
	if r.IntN(5) > 0 {
		at := c.upTo(3 * time.Second)
		for range 1 + r.IntN(3) {
			w.after(at, func() { c.cancel(c.instance(), id, callerWith(c.copyOf(spec)), true) })
			at += c.upTo(2 * time.Second)
		}
	}
	if r.IntN(3) == 0 {
		w.after(c.upTo(4*time.Second), func() { c.cancel(c.instance(), id, other, false) })
		w.after(c.upTo(4*time.Second), func() { c.status(c.instance(), id, other, false) })
	}
	for range r.IntN(3) {
		w.after(c.upTo(6*time.Second), func() { c.status(c.instance(), id, callerWith(c.copyOf(spec)), true) })
	}
	if r.IntN(4) == 0 {
		w.after(max(0, submitted-50*time.Millisecond), c.disturbStore)
	}
	if r.IntN(6) == 0 {
		w.after(c.upTo(4*time.Second), c.takeOver)
	}
}

// drawJob draws a job that nobody has submitted yet.
func (c *callers) drawJob() *job.Spec {
	w, r := c.w, c.rand
	step := tasks(1+r.IntN(3), int64(200+r.IntN(600)), 100*time.Millisecond+c.upTo(6*time.Second))
	spec := &job.Spec{Queue: []string{"urgent", "gangs", "batch", "advised"}[r.IntN(4)], Team: []string{"a", "capped"}[r.IntN(2)], Payload: "p"}
	step.Gang = spec.Queue == "gangs"
	if spec.Queue == "batch" {
		spec.Team, spec.Public = "a", true
	}
	step.Speculative = !step.Gang && r.IntN(4) == 0
	spec.Steps = []job.Step{step}
	if r.IntN(3) == 0 {
		next := step
		next.DependsOn = []int{0}
		spec.Steps = append(spec.Steps, next)
	}
	return w.addSpec(spec)
}

// copyOf returns a copy of a job that is submitted to a public queue with or without its key, or spec.
func (c *callers) copyOf(spec *job.Spec) *job.Spec {
	if !spec.Public || c.rand.IntN(2) == 0 {
		return spec
	}
	keyless := *spec
	keyless.Team = ""
	return &keyless
}

// otherCaller returns a caller who may neither see nor cancel a job: one with the key of another team, or one
// of another public queue.
func (c *callers) otherCaller(spec *job.Spec) Caller {
	switch {
	case spec.Public:
		return Caller{Team: []string{"capped", ""}[c.rand.IntN(2)], Queue: "urgent", Public: true}
	case spec.Team == "a":
		return Caller{Team: "capped", Queue: spec.Queue}
	}
	return Caller{Team: "a", Queue: spec.Queue}
}

// disturbStore has the store refuse, hang or be slow for up to a second.
func (c *callers) disturbStore() {
	w, lasts := c.w, c.upTo(time.Second)
	switch c.rand.IntN(3) {
	case 0:
		w.storeRefuses = true
		w.after(lasts, func() { w.storeRefuses = false; w.engine.Handle(w.now, &StoreRecovered{}) })
	case 1:
		w.storeHangs = true
		w.after(lasts, func() { w.storeHangs = false })
	case 2:
		w.storeDelay = c.upTo(300 * time.Millisecond)
		w.after(lasts, func() { w.storeDelay = 0 })
	}
}

// submit sends a copy of the submission of a job to e.
func (c *callers) submit(e *Engine, spec *job.Spec) {
	w, id := c.w, spec.ID
	if _, sent := w.submittedAt[id]; !sent {
		w.submittedAt[id] = w.now
	}
	c.submits[id]++
	e.Handle(w.now, &Submit{Spec: spec, Reply: func(a Answer) {
		if !w.listens(e) {
			return
		}
		w.answers[id] = a
		switch a.Outcome {
		case OK:
			w.accepted[id] = true
		case Refused:
			c.refusals[id]++
			if strings.Contains(a.Why, "canceled") && !w.cancelRequested[id] && (e == w.engine || !c.canceling[id]) {
				w.t.Errorf("%v: %s was refused as canceled, but nobody who may canceled it", c.elapsed(), id)
			}
		}
		w.refused[id] = c.refusals[id] == c.submits[id]
	}})
	w.refused[id] = c.refusals[id] == c.submits[id]
}

// cancel sends a cancellation of a job to e. own says that the caller may cancel it.
func (c *callers) cancel(e *Engine, id string, caller Caller, own bool) {
	w := c.w
	c.canceling[id] = c.canceling[id] || own
	w.cancelRequested[id] = w.cancelRequested[id] || own && e == w.engine
	e.Handle(w.now, &Cancel{ID: id, Caller: caller, Reply: func(a Answer) {
		switch {
		case !w.listens(e) || a.Outcome == Refused:
			return
		case !own && a.Outcome == OK:
			w.t.Errorf("%v: a cancellation of %s by another caller was answered %v", c.elapsed(), id, a.Outcome)
		case own && a.Outcome == NotFound && e == w.engine && w.accepted[id]:
			w.t.Errorf("%v: a cancellation of %s, which was accepted, was answered %v", c.elapsed(), id, a.Outcome)
		}
		if _, known := c.canceledAt[id]; own && !known {
			c.canceledAt[id] = w.now
		}
	}})
}

// status asks e for the state of a job. own says that the caller may see it.
func (c *callers) status(e *Engine, id string, caller Caller, own bool) {
	w := c.w
	e.Handle(w.now, &Status{ID: id, Caller: caller, Reply: func(a Answer) {
		switch {
		case !own && a.Outcome == OK:
			w.t.Errorf("%v: another caller was told that %s is %s", c.elapsed(), id, a.State)
		case own && a.Outcome == NotFound && e == w.engine && w.accepted[id]:
			w.t.Errorf("%v: %s, which was accepted, was answered %v", c.elapsed(), id, a.Outcome)
		case own && a.State == StateCanceled && !w.cancelRequested[id]:
			w.t.Errorf("%v: %s is shown as canceled, but nobody who may canceled it", c.elapsed(), id)
		}
	}})
}

func (c *callers) elapsed() time.Duration { return c.w.now.Sub(c.w.startTime) }

// checkCommand checks that no start command of a job is sent after its cancellation was answered.
func (c *callers) checkCommand(action any) {
	a, ok := action.(*Start)
	if c == nil || !ok {
		return
	}
	id, _, _ := strings.Cut(a.Task, ".")
	if at, canceled := c.canceledAt[id]; canceled && c.w.now.After(at) {
		c.w.t.Errorf("%v: a start command for %s was sent %v after the answer to its cancellation", c.elapsed(), a.Task, c.w.now.Sub(at))
	}
}

// checkStart checks that a run that starts was sent before the cancellation of its job was answered.
func (c *callers) checkStart(task, id string, sent time.Time) {
	if c == nil {
		return
	}
	if at, canceled := c.canceledAt[id]; canceled && sent.After(at) {
		c.w.t.Errorf("%v: %s started %v after the answer to the cancellation of its job", c.elapsed(), task, c.w.now.Sub(at))
	}
}

// checkStops checks that the runs of canceled jobs are stopped in time where the leader reaches the worker.
func (c *callers) checkStops() {
	w := c.w
	for _, id := range w.ids {
		s := w.workers[id]
		if !c.reaches(s) {
			delete(c.reachableSince, id)
			continue
		}
		since, known := c.reachableSince[id]
		if !known {
			c.reachableSince[id] = w.now
			continue
		}
		for _, name := range sortedKeys(s.runs) {
			of, _, _ := strings.Cut(name, ".")
			at, canceled := c.canceledAt[of]
			if !canceled || c.reported[name] {
				continue
			}
			from := latest(latest(at, since), latest(s.runs[name].startedAt, c.leaderSince))
			if d := w.now.Sub(from); d > maxCancelDelay+simConfig().MaxStopDuration+stopSlack {
				c.reported[name] = true
				w.t.Errorf("%v: %s runs on %s %v after the answer to the cancellation of its job", c.elapsed(), name, id, w.now.Sub(at))
			}
		}
	}
}

// reaches reports whether no fault is on the way between the leader and a worker.
func (c *callers) reaches(s *simWorker) bool {
	l, now := c.w.net.links[s.id], c.w.now
	return !s.unreachable && l.maxDelay == usualDelay && l.lostRatio == 0 && l.lateRatio == 0 && l.lostReplyRatio == 0 && l.refusedRatio == 0 &&
		!now.Before(l.downUntil) && !now.Before(l.silentUntil) && !now.Before(l.refusesUntil)
}

// cancelSeeds is the number of schedules with cancellations in CI.
const cancelSeeds = 12

// Callers cancel jobs before, while and after they are submitted, at the leader and at leaders that were replaced.
func TestRandomRefusalsWithCancellations(t *testing.T) {
	first, count := refusalSeeds()
	if os.Getenv("WORLD_SEEDS") == "" {
		count = cancelSeeds
	}
	runRefusals(t, first, count, refusalOptions{cancels: true})
	runRefusals(t, first, count, refusalOptions{cancels: true, restartsKeepID: true, untold: true, drains: true})
}
