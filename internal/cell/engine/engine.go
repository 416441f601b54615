// Package engine decides for a whole cell: which jobs are accepted, where and
// when their tasks run, and what callers are told. It is a state machine without
// I/O: events go in with the time, actions come out. What has to outlive the
// process leaves it as records, and nothing that depends on a record is done or
// said before the record is stored.
package engine

import (
	"log/slog"
	"sort"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// Config holds the bounds that the platform and the settings give.
type Config struct {
	Term          int64            // number of this leadership, higher than all before
	Lease         time.Duration    // how long runs go on without contact to the leader
	MaxLease      time.Duration    // longest lease that workers grant
	LapseMargin   time.Duration    // added to a lease before its runs count as gone
	StopTime      time.Duration    // longest time that a stop takes
	GangWait      time.Duration    // how long members of a gang wait for each other
	FarPenalty    float64          // how many times as long a task takes away from its data
	LookWait      time.Duration    // how long a worker may hold back the answer to a look
	LookRetry     time.Duration    // pause after a look without an answer
	IdleLook      time.Duration    // pause between looks at a worker that runs nothing
	UnlistedLooks time.Duration    // how long an idle worker is looked at after it left the directory
	ForgetWorker  time.Duration    // when an idle worker that left the directory is dropped
	StopRetry     time.Duration    // pause between stops of the same run
	SettleStart   time.Duration    // when a confirmed run has to be in the reports
	Planning      time.Duration    // least time between two rounds of placement
	KeepEnded     time.Duration    // how long the state of a job that is over can be asked for
	Clock         func() time.Time // measures how long a round of placement takes
}

// replanEvery is the longest pause between rounds of placement while steps wait:
// tickets lapse and pauses end without an event.
const replanEvery = 40 * time.Millisecond

// planningRest is how much longer than a round of placement the pause after it is,
// so that placement takes a bounded part of the processor however long the queue.
const planningRest = 8

// Engine is the state of a cell. It is used by one goroutine.
type Engine struct {
	cfg    Config
	log    *slog.Logger
	policy *policy.Policy
	wall   func() int64 // Unix milliseconds

	now     time.Time
	started time.Time
	deposed bool
	actions []any

	jobs    map[string]*jobState
	open    []*stepRun // steps whose turn has come and that have tasks to place
	timed   []*jobState
	ended   []*jobState // in the order in which they ended
	workers map[string]*worker
	order   []*worker // in the order in which they were found
	strays  map[string]time.Time
	usage   map[string]job.Resources // by team
	queued  map[string]int           // accepted jobs of a queue that have not begun
	arms    []*arm
	pace    pace
	owed    map[string]*allowance
	demands map[int]*demand    // by priority
	shares  map[string]float64 // of workers that the adviser finds good, by queue

	dirty      bool // placement may find something to do
	planned    time.Time
	planTook   time.Duration
	watched    time.Time // when stragglers were looked for last
	measured   time.Time // when what waits was measured last
	toldAt     time.Time // when the log said last why a step waits
	loadToldAt time.Time // when the log said last what the load is
	batch      *Append
	inFlight   bool
	stopsTried time.Time     // when stops without an answer were sent again last
	storing    time.Duration // smoothed time until an append is stored
	sentAt     time.Time     // when the append in flight was sent
	storeDown  time.Time     // since when the store refuses appends, zero if it does not
	retryAt    time.Time     // when the next append may be sent
	dirtyStep  map[*stepRun]struct{}
	dirtyList  []*stepRun
}

// New returns an engine without jobs or workers. wall reads the time of day.
func New(cfg Config, log *slog.Logger, wall func() int64, now time.Time) *Engine {
	return &Engine{
		cfg: cfg, log: log, wall: wall, now: now, started: now,
		policy: (&policy.Policy{}).Index(),
		jobs:   make(map[string]*jobState), workers: make(map[string]*worker),
		strays: make(map[string]time.Time), usage: make(map[string]job.Resources),
		queued: make(map[string]int), owed: make(map[string]*allowance),
		demands: make(map[int]*demand),
		batch:   &Append{}, dirtyStep: make(map[*stepRun]struct{}),
	}
}

// Handle takes in one event that happened at now.
func (e *Engine) Handle(now time.Time, event any) {
	e.now = now
	if e.deposed {
		e.refuseAll(event)
		return
	}
	switch ev := event.(type) {
	case *Submit:
		e.submit(ev)
	case *Cancel:
		e.cancel(ev)
	case *Status:
		e.status(ev)
	case *Pending:
		ev.Reply(Answer{Outcome: OK, Pending: e.queued[ev.Queue]})
	case *PolicyChanged:
		e.policyChanged(ev.Policy)
	case *WorkersListed:
		e.workersListed(ev.Workers)
	case *Looked:
		e.looked(ev)
	case *StartAnswered:
		e.startAnswered(ev)
	case *StopAnswered:
		e.stopAnswered(ev)
	case *Advised:
		e.advised(ev)
	case *Appended:
		e.appended(ev)
	case *StoreAnswered:
		e.storeBack()
	case *ArmsChanged:
		e.armsChanged(ev.Arms)
	}
}

// Settle does what became due after a batch of events and returns the actions.
func (e *Engine) Settle(now time.Time) []any {
	e.now = now
	if !e.deposed {
		e.lapsed()
		e.expire()
		e.retryStops()
		e.watch()
		e.openDue()
		if len(e.open) > 0 && now.Sub(e.planned) >= replanEvery {
			e.dirty = true
		}
		if e.dirty && now.Sub(e.planned) >= max(e.cfg.Planning, planningRest*e.planTook) {
			e.dirty = false
			e.planned = now
			begun := e.cfg.Clock()
			e.place()
			e.planTook = e.cfg.Clock().Sub(begun)
		}
		e.lookAtWorkers()
		e.refuseUnstored()
		e.tellLoad()
		e.flush()
	}
	actions := e.actions
	e.actions = nil
	return actions
}

func (e *Engine) emit(action any) { e.actions = append(e.actions, action) }

func (e *Engine) age(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return e.now.Sub(at).Milliseconds()
}

func (e *Engine) stepDown(why string) {
	if e.deposed {
		return
	}
	e.deposed = true
	e.log.Warn("stepping down", "term", e.cfg.Term, "reason", why)
	e.emit(&StepDown{Why: why})
}

// refuseAll answers callers after another leader has taken over. They ask again.
func (e *Engine) refuseAll(event any) {
	var reply func(Answer)
	switch ev := event.(type) {
	case *Submit:
		reply = ev.Reply
	case *Cancel:
		reply = ev.Reply
	case *Status:
		reply = ev.Reply
	case *Pending:
		reply = ev.Reply
	default:
		return
	}
	reply(Answer{Outcome: Refused, Why: "another leader has taken over"})
}

func (e *Engine) policyChanged(p *policy.Policy) {
	if p.Version <= e.policy.Version {
		return
	}
	e.log.Info("declarations in force", "version", p.Version, "before", e.policy.Version, "queues", len(p.Queues), "teams", len(p.Teams))
	e.policy = p
	e.dirty = true
}

func (e *Engine) queueOf(j *jobState) *policy.Queue { return e.policy.Queue(j.queue) }

// task returns the task of that name, or nil.
func (e *Engine) task(ref job.TaskRef) *task {
	j := e.jobs[ref.Job]
	if j == nil || j.spec == nil || ref.Occurrence >= len(j.occ) || ref.Step >= len(j.spec.Steps) {
		return nil
	}
	if ref.Index >= j.spec.Steps[ref.Step].Count {
		return nil
	}
	return j.occurrenceAt(ref.Occurrence).steps[ref.Step].tasks[ref.Index]
}

func sortRuns(runs []*run) {
	sort.Slice(runs, func(i, j int) bool {
		a, b := runs[i], runs[j]
		if a.task.name != b.task.name {
			return a.task.name < b.task.name
		}
		return a.number < b.number
	})
}
