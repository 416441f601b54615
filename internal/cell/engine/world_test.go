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

// world simulates the store, the workers and the adviser of an engine in virtual time,
// and checks the invariants that they can observe.
type world struct {
	t               testing.TB
	rand            *rand.Rand
	loadRand        *rand.Rand // of the submitted jobs, which do not depend on what the engine does
	now             time.Time
	startTime       time.Time
	events          eventQueue
	nextSeq         int
	engine          *Engine
	term            int64
	fence           int64 // newest fence number of a leader, as the store's offsets are
	policy          *policy.Policy
	stored          map[string][]byte
	workers         map[string]*simWorker
	ids             []string
	tasks           map[string]*simTask
	specs           map[string]*job.Spec
	refused         map[string]bool // jobs whose every submission was refused
	accepted        map[string]bool // accepted jobs
	canceledAt      map[string]time.Time
	answers         map[string]Answer
	cancelRequested map[string]bool          // jobs for which a cancel was sent; its answer may be lost
	submittedAt     map[string]time.Time     // when a job was submitted
	turnaround      map[string]time.Duration // from a job's submission to the last success of a task

	answerDelay      time.Duration // of the answer to a command
	storeRefuses     bool
	storeHangs       bool
	storeDelay       time.Duration         // of an append, and of its answer
	maxRecordBytes   int                   // of a key and value; zero for no limit
	rejectRecord     func(key string) bool // whether the store rejects a record for good; nil for none
	uncertain        map[*Append]bool      // appends with an attempt of unknown outcome
	workersAsked     int                   // number of workers that the adviser was asked about
	adviceFails      bool
	adviser          simAdviser
	isGood           func(step job.StepRef, worker string) bool // if nil, about four workers in ten are good
	lateCommandRatio float64                                    // share of commands that are carried out late, without an answer
	lostStarts       int                                        // number of starts that will be carried out late, without an answer
	lostRenewals     int                                        // number of renewals with a wait that will get no answer
	lostStartAnswers int                                        // number of starts that will be carried out, but not answered
	refuseStart      func(a *Start, number int) CommandOutcome  // outcome of a refusal, or Accepted; number counts the commands for the run; nil refuses none
	startCommands    map[string]int                             // start commands that reached a worker, by task and run
	failureRatio     float64                                    // share of runs that fail
	starts           int
	delegates        []string
	gangs            map[string]*simGang // by step and run
	gangTimeouts     int                 // members that ended because their gang was not complete in time
	net              *network            // carries the calls to workers if set
	features         Features
	runtime          func(ref job.TaskRef, step *job.Step) time.Duration // of a task on an ordinary worker; nil for its estimate
	rackOf           func(id string) string
	labelsOf         func(id string) []string // of workers, beside "a" and the rack; nil for none
	evacuatedSince   map[string]time.Time     // by availability zone
	cold             map[string]time.Duration // how much longer workers are slow after their start
	slownessOf       func(id string) float64  // what the engine takes for a worker's slowness; if nil, what it has learned
	firstStart       map[string]time.Time     // of a run of the job
	feedShort        bool                     // feedSmall submits tasks of 100 ms too
	restoreTime      time.Duration            // that a run takes to resume from a checkpoint
	maxPreempted     float64                  // part of the CPU that may be in preemption; zero for the usual one
	records          bool                     // actions of the engine are kept in recorded
	recorded         []any
	preempted        int      // runs that were preempted, under all leaders
	callers          *callers // that cancel jobs at any time; nil for none
}

// simTask is the actual state of a task, as the workers see it.
type simTask struct {
	runs         map[string]*simRun // by worker
	succeeded    bool               // a run has succeeded
	acknowledged bool               // the engine has acknowledged that end
	lastRun      int                // highest run number started
}

type simRun struct {
	task      string
	run       int
	startedAt time.Time
	runtime   time.Duration
	fails     bool
	need      job.Resources
	stopped   bool
	gang      *simGang

	longRunning bool          // works until it is stopped
	resumedFrom string        // checkpoint
	saved       time.Duration // work that the checkpoint saved
}

// workStart returns when r began to work; a member of a gang waits for the others.
func (r *simRun) workStart() time.Time {
	if r.gang != nil {
		return r.gang.completeAt
	}
	return r.startedAt
}

// simGang is one run of a gang.
type simGang struct {
	members    map[string]*simRun    // by task
	workers    map[string]*simWorker // by task
	count      int
	completeAt time.Time // when all members were present
	checkpoint string    // in the start commands of the members
}

// gangComplete reports whether all members of the gang of r have started.
func (w *world) gangComplete(r *simRun) bool {
	if r.gang.completeAt.IsZero() && len(r.gang.members) == r.gang.count {
		r.gang.completeAt = w.now
	}
	return !r.gang.completeAt.IsZero()
}

// simWorker simulates a worker as the platform specifies it.
type simWorker struct {
	life
	id             string
	incarnation    int64
	capacity       job.Resources
	shrunk         []shrinkage    // past capacities
	listed         *job.Resources // capacity in the directory; nil for the present one
	fence          int64          // highest term of a leader that has reached the worker
	leaseEnd       time.Time
	runs           map[string]*simRun
	ended          []RunEnd // not acknowledged yet
	lastEnd        int64
	endedRuns      map[string]int // highest run number that was stopped or has ended, by task
	unreachable    bool
	draining       bool
	crashed        bool // the directory lists its last incarnation
	pendingAnswers []func()
	slowdown       float64 // runtime of a run as a multiple of its estimate
	expiredEnds    int64   // number of the last end that was listed when the lease had expired
}

type event struct {
	at  time.Time
	seq int // order among events of the same time
	fn  func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

const simTick = 5 * time.Millisecond

// maxSimOverlap is how long an isolated leader goes on after its successor has begun.
const maxSimOverlap = 3310 * time.Millisecond

func simConfig() Config {
	return Config{
		Lease: 6 * time.Second, MaxLease: 10 * time.Second, LeaseExpiryMargin: 100 * time.Millisecond, MaxCommandDelay: maxLate + time.Second, MaxStopDuration: 200 * time.Millisecond,
		MaxLeaderOverlap: maxSimOverlap, GangStartTimeout: 3 * time.Second, OffRackMultiplier: 2,
		RenewalMaxWait: 600 * time.Millisecond, RenewalRetryDelay: 150 * time.Millisecond, IdleRenewalInterval: 2 * time.Second, UnlistedRenewalWindow: 15 * time.Second,
		UnlistedWorkerRetention: 30 * time.Second, StopRetryDelay: 400 * time.Millisecond, StartReportTimeout: 500 * time.Millisecond,
		MinPlacementInterval: 4 * time.Millisecond, EndedJobRetention: 150 * time.Second,
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

func newWorld(t testing.TB, workers int, seed uint64) *world {
	now := time.Unix(1_700_000_000, 0)
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), loadRand: rand.New(rand.NewPCG(seed, 2)), now: now, startTime: now, policy: simPolicy(),
		stored: make(map[string][]byte), workers: make(map[string]*simWorker), tasks: make(map[string]*simTask),
		specs: make(map[string]*job.Spec), refused: make(map[string]bool), accepted: make(map[string]bool),
		canceledAt: make(map[string]time.Time), answers: make(map[string]Answer), cancelRequested: make(map[string]bool),
		evacuatedSince: make(map[string]time.Time), submittedAt: make(map[string]time.Time), turnaround: make(map[string]time.Duration), delegates: []string{"i1", "i2", "i3"},
		rackOf: func(id string) string { return "r1-" + id[2:] },
		gangs:  make(map[string]*simGang), firstStart: make(map[string]time.Time), startCommands: make(map[string]int), adviser: simAdviser{queues: make(map[string][]*simAdviceCall)},
	}
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		w.ids = append(w.ids, id)
		w.workers[id] = &simWorker{id: id, incarnation: 1, capacity: job.Resources{CPU: 8000, MemMB: 16000},
			runs: make(map[string]*simRun), endedRuns: make(map[string]int), slowdown: 1}
	}
	w.startLeader()
	return w
}

// startLeader replaces the engine by that of a new leader with the stored records.
func (w *world) startLeader() {
	w.fence++
	w.term = w.fence
	w.callers.leaderStarted()
	w.uncertain = make(map[*Append]bool)
	cfg := simConfig()
	cfg.Term, cfg.Features, cfg.MaxRecordBytes = w.term, w.features, w.maxRecordBytes
	cfg.Now = func() time.Time { return w.now }
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w.engine = New(cfg, log, func() int64 { return w.now.UnixMilli() }, w.now)
	w.engine.slownessOf = w.slownessOf
	w.engine.cfg.CountPreempted = func() { w.preempted++ }
	if w.maxPreempted > 0 {
		w.engine.preemption.maxRatio = w.maxPreempted
	}
	debugLog(w.t, w)
	w.engine.Handle(w.now, &WorkersListed{Workers: w.directory()})
	state := NewRestored()
	if w.net != nil && w.net.planted.losesWithdrawals {
		maps.DeleteFunc(w.stored, func(key string, _ []byte) bool { return record.IsWithdrawal(key) })
	}
	for key, value := range w.stored {
		if key == record.ModelKey {
			state.Model = value
			continue
		}
		if record.IsWithdrawal(key) {
			rec := new(record.Withdrawal)
			w.must(record.Decode(value, rec))
			state.Withdrawals[key] = rec
			continue
		}
		id, step, err := record.ParseKey(key)
		if err != nil {
			w.t.Fatal(err)
		}
		if step != nil {
			rec := new(record.Step)
			w.must(record.Decode(value, rec))
			state.StepOf(step.StepRef)[step.Segment] = rec
			continue
		}
		rec := new(record.Job)
		w.must(record.Decode(value, rec))
		state.Jobs[id] = rec
	}
	w.engine.Restore(state)
	w.engine.Handle(w.now, &PolicyChanged{Policy: w.policy})
	w.engine.Handle(w.now, &DelegatesChanged{Delegates: w.delegates})
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

// directory returns the directory's entries of the workers.
func (w *world) directory() []WorkerInfo {
	var list []WorkerInfo
	for _, id := range w.ids {
		s := w.workers[id]
		incarnation := s.incarnation
		if s.crashed {
			incarnation--
		}
		list = append(list, WorkerInfo{ID: id, Incarnation: incarnation, Address: id, Service: "s", Zone: zoneOf(id), Labels: w.labels(id),
			Capacity: s.listedCapacity(), Draining: s.draining, LeavesIn: 2 * time.Second, ColdFor: w.cold[id]})
	}
	return list
}

// labels returns the labels of a worker.
func (w *world) labels(id string) []string {
	labels := []string{"a", w.rackOf(id)}
	if w.labelsOf != nil {
		labels = append(labels, w.labelsOf(id)...)
	}
	return labels
}

// after calls fn after a delay.
func (w *world) after(d time.Duration, fn func()) {
	w.nextSeq++
	heap.Push(&w.events, event{w.now.Add(d), w.nextSeq, fn})
}

// deliver delivers an event to e after a delay unless e has been replaced and does not go on.
func (w *world) deliver(e *Engine, d time.Duration, ev any) {
	w.after(d, func() {
		if w.listens(e) {
			e.Handle(w.now, ev)
		}
	})
}

// fenceInterval is the interval at which leaders get a higher fence number while the store serves.
const fenceInterval = 250 * time.Millisecond

// renewFence gives the engine a higher fence number each fenceInterval.
func (w *world) renewFence() {
	if w.storeRefuses || w.storeHangs || w.now.Sub(w.startTime)%fenceInterval != 0 {
		return
	}
	w.fence++
	w.engine.Handle(w.now, &FenceRenewed{Fence: w.fence})
}

// run advances the time by d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(simTick)
		w.renewFence()
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			heap.Pop(&w.events).(event).fn()
		}
		for _, id := range w.ids {
			w.endDueRuns(w.workers[id])
		}
		for _, a := range w.engine.Settle(w.now) {
			if w.records {
				w.recorded = append(w.recorded, a)
			}
			w.execute(a)
		}
		w.callers.settle()
		if w.net != nil {
			w.net.settleIsolated()
		}
	}
}

// publishDirectory sends the directory to the engine.
func (w *world) publishDirectory() { w.engine.Handle(w.now, &WorkersListed{Workers: w.directory()}) }

// endDueRuns ends the runs of a worker that are due to end.
func (w *world) endDueRuns(s *simWorker) {
	if w.now.After(s.leaseEnd) {
		s.expiredEnds = s.lastEnd
	}
	for _, name := range sortedKeys(s.runs) {
		r := s.runs[name]
		if r == nil {
			continue // ended with its gang
		}
		switch {
		case w.now.After(s.leaseEnd):
			w.endRun(s, r, EndedLeaseExpired)
		case r.stopped:
			w.endRun(s, r, EndedStopped)
		case r.gang != nil && !w.gangComplete(r):
			if w.now.Sub(r.startedAt) > simConfig().GangStartTimeout {
				w.gangTimeouts++
				w.endRun(s, r, EndedGangIncomplete)
			}
		case r.longRunning:
		case w.now.Sub(r.workStart()) >= time.Duration(float64(r.runtime)*s.slowdown):
			reason := EndedDone
			if r.fails {
				reason = EndedFailed
			}
			w.endRun(s, r, reason)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// endRun ends a run and answers the renewals that wait for an end.
func (w *world) endRun(s *simWorker, r *simRun, reason EndReason) {
	delete(s.runs, r.task)
	delete(w.tasks[r.task].runs, s.id)
	s.endedRuns[r.task] = max(s.endedRuns[r.task], r.run)
	if reason == EndedDone {
		w.tasks[r.task].succeeded = true
		id := strings.SplitN(r.task, ".", 2)[0]
		w.turnaround[id] = w.now.Sub(w.submittedAt[id])
	}
	s.lastEnd++
	s.ended = append(s.ended, RunEnd{Number: s.lastEnd, Task: r.task, Run: r.run, Reason: reason})
	if w.net != nil {
		w.net.ended(s, r, reason)
	}
	waiting := s.pendingAnswers
	s.pendingAnswers = nil
	for _, f := range waiting {
		f()
	}
	if r.gang != nil {
		w.endGang(r, reason)
	}
}

// endGang ends the other members of a complete gang after one has ended: with EndedDone if
// that one is done, else with EndedGangBroken, or sometimes with EndedFailed like that one.
func (w *world) endGang(r *simRun, reason EndReason) {
	delete(r.gang.members, r.task)
	together := reason == EndedFailed && w.net != nil && seeded(fmt.Sprint(r.task, r.run)).IntN(2) == 0
	if reason != EndedDone && !together {
		reason = EndedGangBroken
	}
	if r.gang.completeAt.IsZero() {
		return
	}
	for _, name := range sortedKeys(r.gang.members) {
		m := r.gang.members[name]
		delete(r.gang.members, name)
		if r.gang.workers[name].runs[name] == m {
			m.gang = nil
			w.endRun(r.gang.workers[name], m, reason)
		}
	}
}

// restartWorker ends a worker's incarnation, with its runs, starts the next, and publishes
// it in the directory.
func (w *world) restartWorker(id string) {
	w.restartUnlisted(id)
	w.publishDirectory()
}

// restartUnlisted restarts a worker whose entry in the directory stays as it was.
func (w *world) restartUnlisted(id string) {
	s := w.workers[id]
	for _, name := range sortedKeys(s.runs) {
		delete(w.tasks[name].runs, id)
	}
	s.incarnation++
	s.expiredEnds = 0
	s.fence, s.runs, s.ended, s.lastEnd = 0, make(map[string]*simRun), nil, 0
	s.endedRuns = make(map[string]int)
	s.pendingAnswers = nil
}
