package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/estimates"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/preempt"
	"pollenbend/internal/scheduler/quarantine"
	"pollenbend/internal/scheduler/queue"
	"pollenbend/internal/scheduler/shares"
)

// Run times and delays in the experiments.
const (
	batchRunTime       = 134 * time.Second
	serviceRunTime     = time.Hour
	requestRunTime     = 5 * time.Second
	brokenRunTime      = 500 * time.Millisecond // of any task on a broken worker
	minStopDelay       = 200 * time.Millisecond // from a stop command to the end of the task
	maxStopDelay       = time.Second
	tick               = 20 * time.Millisecond
	holdDuration       = 5 * time.Second
	maxReclaimsPerTick = 20                     // preemption plans for teams below their share
	preemptRetryDelay  = 500 * time.Millisecond // after a plan for a team found no victims
)

// options selects the features and faults of an experiment.
type options struct {
	workers          int
	noCeiling        bool // shares order the queue, but teams have no ceilings
	fifo             bool // baseline: one FIFO queue for all teams
	reclaim          bool // preempt teams above their fair share for teams below
	wrongSizes       bool // actual usage differs from the declared demand by up to 4 times
	estimates        bool
	workersPerBroken int // one in this many workers fails every task; 0 for none
	quarantine       bool
}

// taskProfile holds the actual properties of a task, which the scheduler doesn't know.
type taskProfile struct {
	team      model.TeamID
	runTime   time.Duration
	usage     model.Resources
	submitted time.Duration
	declared  model.Resources
}

type taskEnd struct {
	at   time.Duration
	task model.TaskID
	stop bool
}

type taskEndHeap []taskEnd

func (e taskEndHeap) Len() int           { return len(e) }
func (e taskEndHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e taskEndHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *taskEndHeap) Push(x any)        { *e = append(*e, x.(taskEnd)) }
func (e *taskEndHeap) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

// experiment simulates arrivals and ends of tasks on the scheduler in virtual time.
type experiment struct {
	options
	s            *Scheduler
	q            *queue.Queue
	planner      *preempt.Planner
	tracker      *quarantine.Tracker
	estimator    *estimates.Estimator
	accounts     *shares.Accounts // by the actual team, also when the queue has one team only
	w            *workload
	rng          *rand.Rand
	now          time.Duration
	ends         taskEndHeap
	profiles     map[model.TaskID]taskProfile
	broken       map[model.WorkerID]bool
	pending      map[model.TeamID]model.Resources // of parked tasks
	targets      map[model.TeamID]float64
	retryAt      map[model.TeamID]time.Duration
	parkedDemand map[model.TaskID]parked
	started      func(t *model.Task, waited time.Duration)
	starts       int
	reclaims     int
	failedStarts int
	preemptions  int
}

// parked is the contribution of a parked task to pending.
type parked struct {
	team   model.TeamID
	demand model.Resources
}

const fifoTeam = "all"

func newExperiment(o options) *experiment {
	x := &experiment{
		options:      o,
		s:            New(Config{Seed: benchSeed}),
		q:            queue.New(queue.Config{MaxWaiting: 1 << 30}),
		planner:      preempt.New(benchSeed),
		estimator:    estimates.New(),
		accounts:     shares.NewAccounts(),
		w:            newWorkload(benchSeed),
		rng:          rand.New(rand.NewPCG(benchSeed, 4)),
		profiles:     make(map[model.TaskID]taskProfile),
		broken:       make(map[model.WorkerID]bool),
		retryAt:      make(map[model.TeamID]time.Duration),
		parkedDemand: make(map[model.TaskID]parked),
		pending:      make(map[model.TeamID]model.Resources),
		started:      func(*model.Task, time.Duration) {},
	}
	x.tracker = quarantine.New(x.s.Fleet)
	for i, w := range benchWorkers(o.workers) {
		w.Capacity.Accelerators = 0
		x.s.Fleet.Upsert(w)
		if o.workersPerBroken > 0 && i%o.workersPerBroken == 11 {
			x.broken[w.ID] = true
		}
	}
	x.q.SetCapacity(x.s.Fleet.Capacity())
	x.accounts.SetCapacity(x.s.Fleet.Capacity())
	for i := range benchTeams {
		x.q.SetWeight(teamName(i), weightOf(i))
		x.accounts.SetWeight(teamName(i), weightOf(i))
	}
	return x
}

func teamName(i int) model.TeamID { return model.TeamID("team" + strconv.Itoa(i)) }

// weightOf returns a team's weight, from 1 to 5.
func weightOf(i int) int64 { return int64(1 + i%5) }

// submit draws a task's actual properties and pushes it.
func (x *experiment) submit(t *model.Task) {
	runTime := batchRunTime
	switch {
	case t.Class == model.ClassUrgent || t.Kind == model.KindRequest:
		runTime = requestRunTime
	case t.Kind == model.KindService:
		runTime = serviceRunTime
	}
	known := taskProfile{
		team:      t.Team,
		runTime:   time.Duration(x.rng.ExpFloat64() * float64(runTime)),
		usage:     x.trueSize(t),
		submitted: x.now,
		declared:  t.Demand,
	}
	t.Repeatable = true
	x.push(t, known)
}

func (x *experiment) push(t *model.Task, known taskProfile) {
	if x.options.estimates {
		t.Demand = x.estimator.Demand(t, x.s.Fleet.Largest())
	}
	if x.fifo {
		t.Team = fifoTeam
	}
	x.profiles[t.ID] = known
	if err := x.q.Push(t); err != nil {
		panic(err)
	}
}

// trueSize returns a task's actual usage: its declared size times a factor from 1/4 to
// 4 that depends on its team and kind, with a random error of up to a tenth.
func (x *experiment) trueSize(t *model.Task) model.Resources {
	if !x.wrongSizes {
		return t.Demand
	}
	exponent := int(hashString(string(t.Team)+string(t.Kind))%5) - 2
	factor := float64(int64(1)<<(exponent+2)) / 4 * (0.9 + 0.2*x.rng.Float64())
	return model.Resources{
		MilliCPU:  int64(float64(t.Demand.MilliCPU) * factor),
		MemoryMiB: int64(float64(t.Demand.MemoryMiB) * factor),
		Slots:     t.Demand.Slots,
	}
}

func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// advance simulates one tick: ends of tasks, then decisions.
func (x *experiment) advance() {
	x.now += tick
	for len(x.ends) > 0 && x.ends[0].at <= x.now {
		x.end(heap.Pop(&x.ends).(taskEnd))
	}
	for _, id := range x.s.Fleet.ExpireHolds(x.now) {
		x.unpark(id)
	}
	if x.quarantine {
		x.tracker.Tick(x.now)
	}
	x.decide()
}

func (x *experiment) decide() {
	x.reclaims = 0
	for t := x.q.Pop(); t != nil; t = x.q.Pop() {
		n, _, status := x.s.place(x.now, t)
		if status.Success() && x.s.Fleet.Assume(x.now, t, n.Worker.ID) == nil {
			x.start(t, n)
			continue
		}
		if !x.tryPreempt(t) {
			x.q.Defer(t)
		}
	}
}

func (x *experiment) start(t *model.Task, n *fleet.Node) {
	known := x.profiles[t.ID]
	x.q.Started(t)
	x.accounts.Charge(known.team, t.Demand)
	x.starts++
	x.started(t, x.now-known.submitted)
	end := x.now + known.runTime
	if x.broken[n.Worker.ID] {
		end = x.now + brokenRunTime
	}
	heap.Push(&x.ends, taskEnd{at: end, task: t.ID})
}

// tryPreempt preempts other work for a task that is urgent or whose team stays within
// its target, and parks the task.
func (x *experiment) tryPreempt(t *model.Task) bool {
	switch {
	case t.Class == model.ClassUrgent:
		return x.preempt(t, preempt.EligibleForUrgent)
	case !x.belowTarget(t):
		return false
	case x.reclaim && x.reclaims < maxReclaimsPerTick && x.now >= x.retryAt[t.Team]:
		x.reclaims++
		if x.preempt(t, preempt.EligibleForShare(x.accounts, x.targets)) {
			return true
		}
		x.retryAt[t.Team] = x.now + preemptRetryDelay
	}
	return false
}

func (x *experiment) preempt(t *model.Task, eligible preempt.Eligible) bool {
	plan, status := x.planner.Plan(x.now, x.s.Fleet, t, eligible)
	if !status.Success() || x.planner.Apply(x.now, x.s.Fleet, t, plan, x.now+holdDuration) != nil {
		return false
	}
	for _, v := range plan.Victims {
		x.preemptions++
		delay := minStopDelay + time.Duration(x.rng.Int64N(int64(maxStopDelay-minStopDelay)))
		heap.Push(&x.ends, taskEnd{at: x.now + delay, task: v.Task, stop: true})
	}
	x.park(t)
	if len(plan.Victims) == 0 {
		x.unparkFitting(x.s.Fleet.Node(plan.Worker))
	}
	return true
}

func (x *experiment) park(t *model.Task) {
	x.pending[t.Team] = x.pending[t.Team].Add(t.Demand)
	x.parkedDemand[t.ID] = parked{t.Team, t.Demand}
	x.q.Park(t)
}

// belowTarget reports whether a team would stay within its target with task t.
func (x *experiment) belowTarget(t *model.Task) bool {
	usage := x.accounts.Account(t.Team).Usage().Add(x.pending[t.Team]).Add(t.Demand)
	return shares.DominantShare(usage, x.accounts.Capacity()) <= x.targets[t.Team]
}

func (x *experiment) unpark(id model.TaskID) {
	p, _ := x.parkedDemand[id]
	x.pending[p.team] = x.pending[p.team].Sub(p.demand)
	delete(x.parkedDemand, id)
	x.q.Unpark(id)
}

// unparkFitting unparks the tasks whose hold on a worker fits its capacity now.
func (x *experiment) unparkFitting(n *fleet.Node) {
	for _, id := range x.s.Fleet.HoldsOn(n) {
		h, _ := x.s.Fleet.HoldOf(id)
		if h.Demand.Fits(n.Available().Add(h.Demand)) {
			x.unpark(id)
		}
	}
}

func (x *experiment) end(e taskEnd) {
	a := x.s.Fleet.Allocation(e.task)
	if a == nil || e.stop && !a.Stopping {
		return // the task ended before
	}
	x.s.Fleet.Release(e.task)
	x.q.Ended(a.Task)
	known := x.profiles[e.task]
	delete(x.profiles, e.task)
	x.accounts.Refund(known.team, a.Task.Demand)
	x.unparkFitting(a.Node)
	x.q.Wake(a.Node.Available())
	x.outcome(e, a, known)
}

func (x *experiment) outcome(e taskEnd, a *fleet.Allocation, known taskProfile) {
	failed := x.broken[a.Node.Worker.ID] && !e.stop
	again := *a.Task
	again.Team = known.team
	again.Demand = known.declared
	again.ID += "+"
	switch {
	case e.stop:
		known.runTime -= min(x.now-a.Since, known.runTime)
		x.push(&again, known)
	case failed:
		x.failedStarts++
		x.s.Failures.Record(x.now, a.Task, a.Node.Worker.ID)
		x.push(&again, known)
	default:
		x.estimator.Observe(&again, model.Outcome{Ran: known.runTime, Usage: known.usage})
	}
	if x.quarantine && !e.stop {
		x.tracker.Observe(x.now, a.Node.Worker.ID, a.Task, failed)
	}
}
