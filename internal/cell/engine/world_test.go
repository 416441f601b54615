package engine

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// world plays the store, the workers and the adviser around an engine in virtual
// time, and checks what they see.
type world struct {
	t         *testing.T
	rand      *rand.Rand
	now       time.Time
	begin     time.Time
	agenda    agenda
	scheduled int
	engine    *Engine
	term      int64
	policy    *policy.Policy
	stored    map[string][]byte
	workers   map[string]*simWorker
	ids       []string
	tasks     map[string]*simTask
	specs     map[string]*job.Spec
	refused   map[string]bool // jobs whose every submission was refused
	ok        map[string]bool // accepted jobs
	killed    map[string]time.Time
	answers   map[string]Answer
	unwanted  map[string]bool          // jobs that a cancel was sent for; its answer may be lost
	sent      map[string]time.Time     // when a job was handed in
	took      map[string]time.Duration // until its last task ended

	answerDelay  time.Duration // on the way back from an order
	storeRefuses bool
	storeSilent  bool
	storeDelay   time.Duration    // on the way to the store, and on the way back
	open         map[*Append]bool // an attempt had no certain outcome
	asked        int              // workers that the adviser was asked about
	adviceFails  bool
	goodFor      func(step job.StepRef, worker string) bool // nil for four workers in ten
	lateOrders   float64                                    // share of orders that are carried out late, without an answer
	loseStarts   int                                        // so many starts are carried out late, without an answer
	loseLooks    int                                        // so many looks that may be held back are not answered
	loseAnswers  int                                        // so many starts are carried out, but not answered
	failing      float64                                    // share of runs that fail
	starts       int
	arms         []string
	gangs        map[string]*simGang // by step and run
	alone        int                 // members that waited in vain
}

// simTask is what really happened to a task.
type simTask struct {
	runs    map[string]*simRun // by worker
	reached bool               // a run has ended as done
	done    bool               // and that end was confirmed
	last    int                // highest run number started
}

type simRun struct {
	task    string
	run     int
	begun   time.Time
	length  time.Duration
	fails   bool
	need    job.Resources
	stopped bool
	gang    *simGang
}

func (r *simRun) worksFrom() time.Time {
	if r.gang != nil {
		return r.gang.since
	}
	return r.begun
}

// simGang is one run of a gang.
type simGang struct {
	members map[string]*simRun // by task, with the worker of each
	on      map[string]*simWorker
	count   int
	since   time.Time // when all members were present
}

// together reports whether the gang of r has begun to work.
func (w *world) together(r *simRun) bool {
	if r.gang.since.IsZero() && len(r.gang.members) == r.gang.count {
		r.gang.since = w.now
	}
	return !r.gang.since.IsZero()
}

// simWorker is a worker as the platform describes it.
type simWorker struct {
	id       string
	life     int64
	capacity job.Resources
	fence    int64
	lease    time.Time
	runs     map[string]*simRun
	ended    []RunEnd
	numbers  int64
	barred   map[string]int // highest run that was stopped or has ended, by task
	dark     bool
	draining bool
	waiting  []func()
	slow     float64
	expired  int64 // ends up to here were listed when the lease had run out
}

type event struct {
	at  time.Time
	seq int // in the order of scheduling
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

const simTick = 5 * time.Millisecond

func simConfig() Config {
	return Config{
		Lease: 6 * time.Second, MaxLease: 10 * time.Second, LapseMargin: 100 * time.Millisecond, StopTime: 200 * time.Millisecond,
		GangWait: 3 * time.Second, FarPenalty: 2,
		LookWait: 600 * time.Millisecond, LookRetry: 150 * time.Millisecond, IdleLook: 2 * time.Second, UnlistedLooks: 15 * time.Second,
		ForgetWorker: 30 * time.Second, StopRetry: 400 * time.Millisecond, SettleStart: 500 * time.Millisecond,
		Planning: 4 * time.Millisecond, KeepEnded: 150 * time.Second,
	}
}

func simPolicy() *policy.Policy {
	return (&policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, LatencyTarget: 250 * time.Millisecond},
			{Name: "gangs", Service: "s", Priority: 1, Attempts: 3, Stretch: 2.2, LatencyTarget: time.Second},
			{Name: "batch", Service: "s", Priority: 2, Attempts: 3, Stretch: 4, LatencyTarget: 3 * time.Second},
			{
				Name: "advised", Service: "s", Priority: 1, Attempts: 3, Stretch: 2.2, LatencyTarget: time.Second,
				Advice: &policy.AdviceCost{Base: 300 * time.Millisecond, PerWorker: 5 * time.Millisecond, TicketTTL: 1500 * time.Millisecond},
			},
		},
		Services: []policy.Service{{Name: "s"}},
		Teams: []policy.Team{
			{Name: "a", Weight: 50},
			{Name: "capped", Weight: 50, Limit: job.Resources{CPU: 8000}},
		},
	}).Index()
}

func newWorld(t *testing.T, workers int, seed uint64) *world {
	begin := time.Unix(1_700_000_000, 0)
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: begin, begin: begin, policy: simPolicy(),
		stored: make(map[string][]byte), workers: make(map[string]*simWorker), tasks: make(map[string]*simTask),
		specs: make(map[string]*job.Spec), refused: make(map[string]bool), ok: make(map[string]bool),
		killed: make(map[string]time.Time), answers: make(map[string]Answer), unwanted: make(map[string]bool),
		sent: make(map[string]time.Time), took: make(map[string]time.Duration), arms: []string{"i1", "i2", "i3"},
		gangs: make(map[string]*simGang),
	}
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		w.ids = append(w.ids, id)
		w.workers[id] = &simWorker{id: id, life: 1, capacity: job.Resources{CPU: 8000, MemMB: 16000},
			runs: make(map[string]*simRun), barred: make(map[string]int), slow: 1}
	}
	w.lead()
	return w
}

// lead starts a new leader on what is stored. The one before is forgotten.
func (w *world) lead() {
	w.term++
	w.open = make(map[*Append]bool)
	cfg := simConfig()
	cfg.Term = w.term
	cfg.Clock = func() time.Time { return w.now }
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w.engine = New(cfg, log, func() int64 { return w.now.UnixMilli() }, w.now)
	debugLog(w.t, w)
	w.engine.Handle(w.now, &WorkersListed{Workers: w.listed()})
	state := Restored{Jobs: make(map[string]*record.Job), Steps: make(map[job.StepRef]*record.Step)}
	for key, value := range w.stored {
		id, step, err := record.ParseKey(key)
		if err != nil {
			w.t.Fatal(err)
		}
		if step != nil {
			kept := new(record.Step)
			w.must(record.Decode(value, kept))
			state.Steps[*step] = kept
			continue
		}
		kept := new(record.Job)
		w.must(record.Decode(value, kept))
		state.Jobs[id] = kept
	}
	w.engine.Restore(state)
	w.engine.Handle(w.now, &PolicyChanged{Policy: w.policy})
	w.engine.Handle(w.now, &ArmsChanged{Arms: w.arms})
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) listed() []Listed {
	var list []Listed
	for _, id := range w.ids {
		s := w.workers[id]
		list = append(list, Listed{ID: id, Life: s.life, Address: id, Service: "s", Labels: []string{"a", "r1-" + id[2:]},
			Capacity: s.capacity, Draining: s.draining, Leaves: 2 * time.Second})
	}
	return list
}

func (w *world) after(d time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.agenda, event{w.now.Add(d), w.scheduled, do})
}

// to hands an event to the engine that was current when the event was asked for.
func (w *world) to(e *Engine, d time.Duration, ev any) {
	w.after(d, func() {
		if w.engine == e {
			e.Handle(w.now, ev)
		}
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(simTick)
		for len(w.agenda) > 0 && !w.agenda[0].at.After(w.now) {
			heap.Pop(&w.agenda).(event).do()
		}
		for _, id := range w.ids {
			w.progress(w.workers[id])
		}
		for _, a := range w.engine.Settle(w.now) {
			w.carryOut(a)
		}
	}
}

func (w *world) list() { w.engine.Handle(w.now, &WorkersListed{Workers: w.listed()}) }

// progress lets the runs of a worker end that are due.
func (w *world) progress(s *simWorker) {
	if w.now.After(s.lease) {
		s.expired = s.numbers
	}
	for _, name := range sortedKeys(s.runs) {
		r := s.runs[name]
		if r == nil {
			continue // ended with its gang
		}
		switch {
		case w.now.After(s.lease):
			w.end(s, r, EndedLapsed)
		case r.stopped:
			w.end(s, r, EndedStopped)
		case r.gang != nil && !w.together(r):
			if w.now.Sub(r.begun) > simConfig().GangWait {
				w.alone++
				w.end(s, r, EndedAlone)
			}
		case w.now.Sub(r.worksFrom()) >= time.Duration(float64(r.length)*s.slow):
			how := EndedDone
			if r.fails {
				how = EndedFailed
			}
			w.end(s, r, how)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (w *world) end(s *simWorker, r *simRun, how How) {
	delete(s.runs, r.task)
	delete(w.tasks[r.task].runs, s.id)
	s.barred[r.task] = max(s.barred[r.task], r.run)
	if how == EndedDone {
		w.tasks[r.task].reached = true
		id := strings.SplitN(r.task, ".", 2)[0]
		w.took[id] = w.now.Sub(w.sent[id])
	}
	s.numbers++
	s.ended = append(s.ended, RunEnd{Number: s.numbers, Task: r.task, Run: r.run, How: how})
	waiting := s.waiting
	s.waiting = nil
	for _, f := range waiting {
		f()
	}
	if r.gang != nil {
		w.endGang(r, how)
	}
}

// endGang ends the other members with the first: as done with it, or as broken.
func (w *world) endGang(r *simRun, how How) {
	delete(r.gang.members, r.task)
	if how != EndedDone {
		how = EndedBroken
	}
	if r.gang.since.IsZero() {
		return
	}
	for _, name := range sortedKeys(r.gang.members) {
		m := r.gang.members[name]
		delete(r.gang.members, name)
		if r.gang.on[name].runs[name] == m {
			m.gang = nil
			w.end(r.gang.on[name], m, how)
		}
	}
}

// crash ends a worker's life and starts the next.
func (w *world) crash(id string) {
	s := w.workers[id]
	for _, name := range sortedKeys(s.runs) {
		delete(w.tasks[name].runs, id)
	}
	s.life++
	s.expired = 0
	s.fence, s.runs, s.ended, s.numbers = 0, make(map[string]*simRun), nil, 0
	s.barred = make(map[string]int)
	s.waiting = nil
	w.list()
}

func (w *world) carryOut(action any) {
	e := w.engine
	switch a := action.(type) {
	case *Append:
		w.appendRecords(e, a)
	case *Start:
		sent := w.now
		do := func(s *simWorker) any { return w.start(s, a, sent) }
		unanswered := &StartAnswered{Start: a, Refusal: Unknown}
		switch {
		case w.loseStarts > 0:
			w.loseStarts--
			w.to(e, a.Timeout, unanswered)
			w.after(5*time.Second, func() { do(w.workers[a.Worker]) })
		case w.loseAnswers > 0:
			w.loseAnswers--
			w.to(e, a.Timeout, unanswered)
			w.after(simTick, func() { do(w.workers[a.Worker]) })
		default:
			w.order(e, a.Worker, a.Timeout, do, unanswered)
		}
	case *Stop:
		w.order(e, a.Worker, a.Timeout, func(s *simWorker) any { return w.stop(s, a) }, &StopAnswered{Stop: a, Refusal: Unknown})
	case *Look:
		w.look(e, a)
	case *Ask:
		if w.adviceFails {
			w.to(e, simTick, &Advised{Ask: a})
			return
		}
		w.to(e, a.Cost, &Advised{Ask: a, OK: true, TTL: 1500 * time.Millisecond, Good: w.advise(a)})
	case *StepDown:
		w.t.Fatalf("the engine stepped down: %s", a.Why)
	}
}

// appendRecords stores a batch as the platform does: not for a leader that a later
// one has fenced off.
func (w *world) appendRecords(e *Engine, a *Append) {
	again := func() {
		w.after(50*time.Millisecond, func() {
			if w.engine == e {
				w.appendRecords(e, a)
			}
		})
	}
	switch {
	case w.storeRefuses && !w.open[a]:
		w.to(e, simTick, &Appended{Append: a, Outcome: NotStored})
		return
	case w.storeRefuses:
		again()
		return
	case w.storeSilent:
		w.open[a] = true
		again()
		return
	}
	w.after(2*simTick+w.storeDelay, func() {
		if w.engine != e {
			return // a later leader has fenced this one off
		}
		for _, r := range a.Records {
			if len(r.Value) == 0 {
				delete(w.stored, r.Key)
				continue
			}
			w.stored[r.Key] = r.Value
		}
		w.to(e, w.storeDelay, &Appended{Append: a, Outcome: Stored})
	})
}

// submit hands a job in and notes the answer when it comes.
func (w *world) submit(queue, team string, steps ...job.Step) string {
	id := fmt.Sprintf("%016x", len(w.specs)+1)
	spec := &job.Spec{ID: id, Queue: queue, Team: team, Payload: "p", Steps: steps}
	w.must(spec.Validate())
	w.specs[id] = spec
	w.sent[id] = w.now
	w.send(spec)
	return id
}

func (w *world) send(spec *job.Spec) {
	e := w.engine
	e.Handle(w.now, &Submit{Spec: spec, Reply: func(a Answer) {
		if w.engine != e {
			return
		}
		w.answers[spec.ID] = a
		w.refused[spec.ID] = a.Outcome == Refused
		w.ok[spec.ID] = w.ok[spec.ID] || a.Outcome == OK
	}})
}

func (w *world) state(id string) string {
	state := ""
	w.engine.Handle(w.now, &Status{ID: id, Team: w.specs[id].Team, Reply: func(a Answer) {
		state = a.State
		if a.Outcome == NotFound {
			state = "unknown"
		}
	}})
	return state
}

// cancel cancels a job; the time counts from the answer.
func (w *world) cancel(id string) {
	e := w.engine
	w.unwanted[id] = true
	e.Handle(w.now, &Cancel{ID: id, Team: w.specs[id].Team, Reply: func(Answer) {
		if w.engine == e {
			w.killed[id] = w.now
		}
	}})
}

func tasks(count int, cpu int64, length time.Duration) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: cpu, MemMB: 100}, Estimate: length}
}

func gang(count int, cpu int64, length time.Duration) job.Step {
	s := tasks(count, cpu, length)
	s.Gang = true
	return s
}
