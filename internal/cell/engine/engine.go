// Package engine schedules the jobs of a cell. It decides which jobs are accepted,
// where and when their tasks run, and what callers are answered. It is a state
// machine without I/O: Handle takes events and the time, Settle returns actions.
// State that has to survive the process is written as records, and no action or
// answer that depends on a record is issued before the record is stored.
package engine

import (
	"log/slog"
	"slices"
	"time"

	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/reservation"
	"pollenbend/internal/cell/runtimes"
)

// Config holds the limits and intervals that the platform and the settings define.
type Config struct {
	Term                    int64         // number of this leader's term, higher than all earlier ones
	Lease                   time.Duration // how long runs continue without contact with the leader
	MaxLease                time.Duration // maximum lease that workers grant
	LeaseExpiryMargin       time.Duration // time after the end of a lease until its runs count as ended
	MaxCommandDelay         time.Duration // time after which a command that got no answer is no longer carried out
	MaxLeaderOverlap        time.Duration // how long after the start of this term the leader before may go on renewing leases
	MaxStopDuration         time.Duration // maximum time that a stop takes
	GangStartTimeout        time.Duration // maximum time that members of a gang wait for each other
	OffRackMultiplier       float64       // runtime of a task outside its preferred rack relative to that inside
	RenewalMaxWait          time.Duration // maximum time that a worker may delay its answer to a renewal
	RenewalRetryDelay       time.Duration // delay after a renewal without an answer
	IdleRenewalInterval     time.Duration // interval between renewals of an idle worker
	UnlistedRenewalWindow   time.Duration // how long an idle worker is renewed after it left the directory
	UnlistedWorkerRetention time.Duration // time after which an idle worker that left the directory is dropped
	StopRetryDelay          time.Duration // interval between stop commands for the same run
	StartReportTimeout      time.Duration // time after its start from which a confirmed run must be in reports
	MinPlacementInterval    time.Duration // minimum interval between two placement rounds
	EndedJobRetention       time.Duration // how long the state of an ended job is kept
	MaxRecordBytes          int           // maximum size of a record's key and value that the store takes; zero for no limit
	Features                Features
	Now                     func() time.Time                    // measures the duration of a placement round
	CountCrash              func(CrashEvent)                    // counts what the engine finds out about crashes; nil for no counts
	ReportEvacuated         func(workers, runs int)             // reports the workers in evacuated zones and their runs; nil for no reports
	ReportRuntimes          func(RuntimeReport)                 // takes what is known of run times every few seconds; nil for no reports
	MaxLargeJobBytes        int64                               // maximum memory of all jobs that are large, see largeJobBytes; zero for no limit
	CountRefused            func(reason string)                 // counts a refused job, see refusalLabels; nil for no counts
	CountReservations       func(event ReservationEvent, n int) // counts what happens to reservations; nil for no counts
	CountPreempted          func()                              // counts a run that is stopped for another step; nil for no counts
}

// CrashEvent is what the engine finds out about crashes of workers.
type CrashEvent uint8

// The events that Config.CountCrash counts.
const (
	WorkerEnded   CrashEvent = iota // a worker has ended with its runs
	TaskSuspected                   // a task is suspected of a crash
	JobGivenUp                      // a job has failed as its task crashes workers
)

// maxPlacementInterval is the maximum interval between placement rounds while steps
// wait. Rounds have to run without an event too, as none occurs when a ticket expires or
// a retry delay ends.
const maxPlacementInterval = 40 * time.Millisecond

// placementPauseMultiplier is the minimum interval between the starts of placement
// rounds as a multiple of the duration of the last round. It bounds the share of CPU
// time that placement takes, whatever the length of the queue.
const placementPauseMultiplier = 8

// Engine is the scheduling state of a cell. It is not safe for concurrent use.
type Engine struct {
	cfg    Config
	log    *slog.Logger
	policy *policy.Policy
	wall   func() int64 // Unix milliseconds

	now         time.Time
	startedAt   time.Time
	fence       int64 // newest fence number, see FenceRenewed
	steppedDown bool
	inDoubt     bool        // a worker has named a newer leader, and CheckLeadership has no answer yet
	conclusion  *conclusion // nil unless the term ends in order
	actions     []any

	jobs            map[string]*jobState
	largeJobBytes   int64        // memory of the large ones among jobs
	openSteps       []*stepState // ready steps that have tasks to place
	scheduledJobs   []*jobState  // jobs with a schedule
	endedJobs       []*jobState  // ordered by the time at which they ended
	workers         map[string]*worker
	directory       []WorkerInfo       // as it was last listed
	workerList      []*worker          // in the order in which they were found
	pools           map[string]*pool   // by service
	coldWorkers     []*worker          // workers that are slow after their start
	heldWorkers     []*worker          // workers on which the last placement round held resources for gangs
	holdBuffer      []reservation.Hold // reused by freeBeside
	backfilled      int                // runs planned on reserved resources since the last line about the load
	slipped         int                // reservations that became strict since then
	slippedInTerm   int                // the same since the start of the term
	reserving       int                // steps with a reservation in the last placement round
	reservedCPU     int64              // that they had reserved then, in thousandths of a core
	preemption      preemptionState
	stragglers      []*run             // runs for whose tasks a speculative run is worth starting
	hazards         map[string]*hazard // by queue
	openCrashes     []*crash
	crashOnsets     []crashOnset             // of the last crashMemory
	cutPeriods      []cutPeriod              // of the last crashMemory
	unknownRunStops map[string]time.Time     // when a stop was last sent for an unknown run, by task
	usage           map[string]job.Resources // by team
	queued          map[string]int           // jobs without a schedule that have not started, by queue
	delegates       []*delegate
	delegateLoads   []*advice.Delegate // of delegates, in the same order
	estimator       runtimeEstimator
	runtimes        runtimes.Model
	modelUpkeep     modelUpkeep
	slownessOf      func(worker string) float64 // of workers, instead of that by runtimes; nil except in tests
	entitlements    map[string]*tokenBucket     // by team
	demands         map[int]*demand             // by priority
	goodShares      map[string]float64          // share of workers that the adviser finds good, by queue
	contention      *contention                 // nil without the feature

	taskBuffer  []*task        // of placeStep
	drawBuffer  []*worker      // of draw
	rankBuffer  []rankedWorker // of rankForAdvice and rankBySoonest
	orderBuffer []int32        // of rankOrder
	uncached    bool           // placement rounds look up and rank everything anew; true only in tests
	trial       *trial         // the placement round that an explanation tries; nil otherwise
	explainedAt [2]time.Time   // when the last explanations were made

	needsPlacement    bool          // placement may have work to do
	placedAt          time.Time     // when the last placement round started
	placementTook     time.Duration // duration of the last placement round
	runsCheckedAt     time.Time     // when checkRuns last ran
	leasesCheckedAt   time.Time     // when expireLeases last ran
	renewalsCheckedAt time.Time     // when sendRenewals last ran
	demandMeasuredAt  time.Time     // when measureDemand last ran
	waitLoggedAt      time.Time     // when logWait last logged a step
	loadLoggedAt      time.Time     // when logLoad last logged the load
	batch             *Append
	appendInFlight    bool
	stopsRetriedAt    time.Time      // when retryStops last ran
	storeLatency      time.Duration  // smoothed duration of an append
	appendSentAt      time.Time      // when the last append was sent
	storeDownSince    time.Time      // since when the store refuses appends; zero if it accepts them
	appendRetryAt     time.Time      // when the next append may be sent
	dirtySteps        []*stepState   // steps with dirty segments, in the order in which they were marked
	settledCalls      map[string]int // highest refused attempt, by call; see Attempt
	withdrawals       withdrawals
}

// New returns an engine without jobs or workers. wall returns the wall clock time in
// Unix milliseconds.
func New(cfg Config, log *slog.Logger, wall func() int64, now time.Time) *Engine {
	e := &Engine{
		cfg: cfg, log: log, wall: wall, now: now, startedAt: now, fence: cfg.Term,
		policy: (&policy.Policy{}).Index(),
		jobs:   make(map[string]*jobState), workers: make(map[string]*worker),
		settledCalls: make(map[string]int), withdrawals: newWithdrawals(), unknownRunStops: make(map[string]time.Time), usage: make(map[string]job.Resources),
		queued: make(map[string]int), entitlements: make(map[string]*tokenBucket),
		demands: make(map[int]*demand), hazards: make(map[string]*hazard), pools: make(map[string]*pool),
		batch: &Append{},
	}
	e.preemption.maxRatio = maxPreemptedRatio
	if cfg.Features.ContentionAdmission {
		e.contention = newContention()
	}
	return e
}

// Handle applies an event that happened at now.
func (e *Engine) Handle(now time.Time, event any) {
	e.now = now
	if (e.steppedDown || e.inDoubt) && e.refuseRequest(event) || e.steppedDown {
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
	case *Explain:
		e.explain(ev)
	case *Runtimes:
		e.describeRuntimes(ev)
	case *PolicyChanged:
		e.policyChanged(ev.Policy)
	case *WorkersListed:
		e.workersListed(ev.Workers)
	case *RenewalAnswered:
		e.renewalAnswered(ev)
	case *StartAnswered:
		e.startAnswered(ev)
	case *StopAnswered:
		e.stopAnswered(ev)
	case *AdviceAnswered:
		e.adviceAnswered(ev)
	case *Appended:
		e.appended(ev)
	case *FenceRenewed:
		e.fence = max(e.fence, ev.Fence)
	case *StoreRecovered:
		e.storeRecovered()
	case *DelegatesChanged:
		e.delegatesChanged(ev.Delegates)
	case *Conclude:
		e.beginConclusion(ev)
	case *TermContinues:
		e.continueTerm()
	case *LeadershipConfirmed:
		e.inDoubt, e.needsPlacement = false, true
	}
}

// Settle does the work that is due after a batch of events and returns the actions
// that have accumulated.
func (e *Engine) Settle(now time.Time) []any {
	e.now = now
	if !e.steppedDown {
		e.expireLeases()
		e.dropExpiredJobs()
		e.closeInvestigations()
		e.retryStops()
		e.checkRuns()
		e.openDueOccurrences()
		if len(e.openSteps) > 0 && now.Sub(e.placedAt) >= maxPlacementInterval {
			e.needsPlacement = true
		}
		if e.needsPlacement && !e.inDoubt && e.conclusion == nil && now.Sub(e.placedAt) >= max(e.cfg.MinPlacementInterval, placementPauseMultiplier*e.placementTook) {
			e.needsPlacement = false
			e.placedAt = now
			start := e.cfg.Now()
			e.place()
			e.contentionAfterRound()
			e.placementTook = e.cfg.Now().Sub(start)
		}
		if !e.inDoubt {
			e.sendRenewals()
		}
		e.refuseUnstoredJobs()
		e.logLoad()
		e.maintainModel()
		e.conclude()
		e.flush()
	}
	actions := e.actions
	e.actions = nil
	return actions
}

func (e *Engine) emit(action any) { e.actions = append(e.actions, action) }

// msSince returns the milliseconds since at, or -1 if at is zero.
func (e *Engine) msSince(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return e.now.Sub(at).Milliseconds()
}

func (e *Engine) stepDown(why string) {
	if e.steppedDown {
		return
	}
	e.steppedDown = true
	e.log.Warn("stepping down", "term", e.cfg.Term, "reason", why)
	e.emit(&StepDown{Reason: why})
}

// fencedBy handles that a worker has answered that it has seen a newer leader. An address in the
// directory may be anybody's, so only the leadership record ends the term. Until it was read,
// nothing is started or answered.
func (e *Engine) fencedBy(w *worker) {
	if e.inDoubt {
		return
	}
	e.inDoubt = true
	e.log.Warn("a worker names a newer leader", "term", e.cfg.Term, "worker", w.id, "address", w.address)
	e.emit(&CheckLeadership{Reason: "worker " + w.id + " has seen a newer leader"})
}

// refuseRequest answers a caller's request with NotLeading, as another leader has or may have taken over. It
// reports whether the event is a request.
func (e *Engine) refuseRequest(event any) bool {
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
	case *Explain:
		reply = ev.Reply
	case *Runtimes:
		reply = ev.Reply
	default:
		return false
	}
	reply(Answer{Outcome: NotLeading})
	return true
}

func (e *Engine) policyChanged(p *policy.Policy) {
	if !p.Newer(e.policy) {
		return
	}
	before := e.policy
	e.policy = p.Merge(before)
	if e.policy.Evacuations.Revision != before.Evacuations.Revision {
		e.evacuationsChanged(&before.Evacuations)
	}
	if p.Version <= before.Version {
		return
	}
	e.log.Info("declarations applied", "version", p.Version, "before", before.Version, "queues", len(p.Queues), "teams", len(p.Teams))
	e.failExhaustedJobs(before)
	e.workersListed(e.directory) // entries may count now whose services were not declared
	for _, s := range e.openSteps {
		s.urgency = e.urgencyOf(s)
	}
	e.needsPlacement = true
}

// failExhaustedJobs fails the jobs with tasks that have used up their attempts while their
// queue was not declared, as before says.
func (e *Engine) failExhaustedJobs(before *policy.Policy) {
	var ids []string
	for id, j := range e.jobs {
		if !j.state.Final() && before.Queue(j.queue) == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		e.jobs[id].eachStep(func(s *stepState) {
			for _, t := range s.tasks {
				if t.failures > 0 && !t.hasRuns() {
					e.failExhausted(t)
				}
			}
		})
	}
}

func (e *Engine) queueOf(j *jobState) *policy.Queue { return e.policy.Queue(j.queue) }

// task returns the task with the given reference, or nil if there is none.
func (e *Engine) task(ref job.TaskRef) *task {
	j := e.jobs[ref.Job]
	if j == nil || j.spec == nil || ref.Occurrence >= len(j.occurrences) || ref.Step >= len(j.spec.Steps) {
		return nil
	}
	if ref.Index >= j.spec.Steps[ref.Step].Count {
		return nil
	}
	return j.occurrenceAt(ref.Occurrence).steps[ref.Step].tasks[ref.Index]
}
