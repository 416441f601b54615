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

// Run times in the experiments.
const (
	batchRunTime    = 134 * time.Second
	serviceRunTime  = time.Hour
	requestRunTime  = 5 * time.Second
	failTime        = 500 * time.Millisecond // of a task on a broken worker
	minStop         = 200 * time.Millisecond // from a stop command to its end
	maxStop         = time.Second
	tick            = 20 * time.Millisecond
	holdTime        = 5 * time.Second
	reclaimsPerTick = 20                     // plans to take back a share
	retryPreempt    = 500 * time.Millisecond // after no victims were found for a team
)

// options choose what takes part in an experiment.
type options struct {
	workers     int
	noCeiling   bool // shares order the queue, but nothing bounds a team
	fifo        bool // baseline: one queue for all teams
	reclaim     bool // stop work of teams above their share for teams below
	wrongSizes  bool // true sizes differ from declared ones by up to 4 times
	estimates   bool
	brokenEvery int // one worker in so many fails everything; 0 for none
	quarantine  bool
}

// truth is what only the experiment knows of a task.
type truth struct {
	team      model.TeamID
	runTime   time.Duration
	usage     model.Resources
	submitted time.Duration
	declared  model.Resources
}

type ending struct {
	at   time.Duration
	task model.TaskID
	stop bool
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

// experiment plays arrivals and ends of tasks in virtual time on the scheduler.
type experiment struct {
	options
	s            *Scheduler
	q            *queue.Queue
	planner      *preempt.Planner
	keeper       *quarantine.Keeper
	learned      *estimates.Estimator
	book         *shares.Accounts // by true team, whatever the queue sees
	w            *workload
	rng          *rand.Rand
	now          time.Duration
	ends         endings
	truths       map[model.TaskID]truth
	broken       map[model.WorkerID]bool
	pending      map[model.TeamID]model.Resources // of parked tasks
	targets      map[model.TeamID]float64
	retry        map[model.TeamID]time.Duration
	parkedDemand map[model.TaskID]parked
	started      func(t *model.Task, waited time.Duration)
	starts       int
	reclaims     int
	fails        int
	stops        int
}

// parked is what a parked task counts for.
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
		learned:      estimates.New(),
		book:         shares.NewAccounts(),
		w:            newWorkload(benchSeed),
		rng:          rand.New(rand.NewPCG(benchSeed, 4)),
		truths:       make(map[model.TaskID]truth),
		broken:       make(map[model.WorkerID]bool),
		retry:        make(map[model.TeamID]time.Duration),
		parkedDemand: make(map[model.TaskID]parked),
		pending:      make(map[model.TeamID]model.Resources),
		started:      func(*model.Task, time.Duration) {},
	}
	x.keeper = quarantine.New(x.s.Fleet)
	for i, w := range benchWorkers(o.workers) {
		w.Capacity.Accelerators = 0
		x.s.Fleet.Upsert(w)
		if o.brokenEvery > 0 && i%o.brokenEvery == 11 {
			x.broken[w.ID] = true
		}
	}
	x.q.SetCapacity(x.s.Fleet.Capacity())
	x.book.SetCapacity(x.s.Fleet.Capacity())
	for i := range benchTeams {
		x.q.SetShare(teamName(i), weightOf(i))
		x.book.SetWeight(teamName(i), weightOf(i))
	}
	return x
}

func teamName(i int) model.TeamID { return model.TeamID("team" + strconv.Itoa(i)) }

// weightOf gives teams shares from 1 to 5.
func weightOf(i int) int64 { return int64(1 + i%5) }

// submit adds a task of a template to the queue.
func (x *experiment) submit(t *model.Task) {
	runTime := batchRunTime
	switch {
	case t.Class == model.ClassUrgent || t.Kind == model.KindRequest:
		runTime = requestRunTime
	case t.Kind == model.KindService:
		runTime = serviceRunTime
	}
	known := truth{
		team:      t.Team,
		runTime:   time.Duration(x.rng.ExpFloat64() * float64(runTime)),
		usage:     x.trueSize(t),
		submitted: x.now,
		declared:  t.Demand,
	}
	t.Repeatable = true
	x.push(t, known)
}

func (x *experiment) push(t *model.Task, known truth) {
	if x.options.estimates {
		t.Demand = x.learned.Demand(t, x.s.Fleet.Largest())
	}
	if x.fifo {
		t.Team = fifoTeam
	}
	x.truths[t.ID] = known
	if err := x.q.Push(t); err != nil {
		panic(err)
	}
}

// trueSize is what a task really uses: its declared size times a factor from a
// quarter to four that belongs to its team and kind, give or take a tenth.
func (x *experiment) trueSize(t *model.Task) model.Resources {
	if !x.wrongSizes {
		return t.Demand
	}
	octaves := int(hashString(string(t.Team)+string(t.Kind))%5) - 2
	factor := float64(int64(1)<<(octaves+2)) / 4 * (0.9 + 0.2*x.rng.Float64())
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

// advance plays one tick: ends, then decisions.
func (x *experiment) advance() {
	x.now += tick
	for len(x.ends) > 0 && x.ends[0].at <= x.now {
		x.end(heap.Pop(&x.ends).(ending))
	}
	for _, id := range x.s.Fleet.ExpireHolds(x.now) {
		x.unpark(id)
	}
	if x.quarantine {
		x.keeper.Tick(x.now)
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
		if !x.makeRoom(t) {
			x.q.Defer(t)
		}
	}
}

func (x *experiment) start(t *model.Task, n *fleet.Node) {
	known := x.truths[t.ID]
	x.q.Started(t)
	x.book.Charge(known.team, t.Demand)
	x.starts++
	x.started(t, x.now-known.submitted)
	end := x.now + known.runTime
	if x.broken[n.Worker.ID] {
		end = x.now + failTime
	}
	heap.Push(&x.ends, ending{at: end, task: t.ID})
}

// makeRoom stops other work for a task, if there is reason to, and parks it.
func (x *experiment) makeRoom(t *model.Task) bool {
	switch {
	case t.Class == model.ClassUrgent:
		return x.preempt(t, preempt.ForUrgent)
	case !x.below(t):
		return false
	case x.reclaim && x.reclaims < reclaimsPerTick && x.now >= x.retry[t.Team]:
		x.reclaims++
		if x.preempt(t, preempt.ForShare(x.book, x.targets)) {
			return true
		}
		x.retry[t.Team] = x.now + retryPreempt
	}
	return false
}

func (x *experiment) preempt(t *model.Task, eligible preempt.Eligible) bool {
	plan, status := x.planner.Plan(x.now, x.s.Fleet, t, eligible)
	if !status.Success() || x.planner.Apply(x.now, x.s.Fleet, t, plan, x.now+holdTime) != nil {
		return false
	}
	for _, v := range plan.Victims {
		x.stops++
		delay := minStop + time.Duration(x.rng.Int64N(int64(maxStop-minStop)))
		heap.Push(&x.ends, ending{at: x.now + delay, task: v.Task, stop: true})
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

// below reports whether a team stays within its target with one more task.
func (x *experiment) below(t *model.Task) bool {
	usage := x.book.Account(t.Team).Usage().Add(x.pending[t.Team]).Add(t.Demand)
	return shares.DominantShare(usage, x.book.Capacity()) <= x.targets[t.Team]
}

func (x *experiment) unpark(id model.TaskID) {
	h, _ := x.parkedDemand[id]
	x.pending[h.team] = x.pending[h.team].Sub(h.demand)
	delete(x.parkedDemand, id)
	x.q.Unpark(id)
}

// unparkFitting lets tasks be tried again for which a worker has room now.
func (x *experiment) unparkFitting(n *fleet.Node) {
	for _, id := range x.s.Fleet.HoldsOn(n) {
		h, _ := x.s.Fleet.HoldOf(id)
		if h.Demand.Fits(n.Available().Add(h.Demand)) {
			x.unpark(id)
		}
	}
}

func (x *experiment) end(e ending) {
	a := x.s.Fleet.Allocation(e.task)
	if a == nil || e.stop && !a.Stopping {
		return // it ended before
	}
	x.s.Fleet.Release(e.task)
	x.q.Ended(a.Task)
	known := x.truths[e.task]
	delete(x.truths, e.task)
	x.book.Refund(known.team, a.Task.Demand)
	x.unparkFitting(a.Node)
	x.q.Wake(a.Node.Available())
	x.outcome(e, a, known)
}

func (x *experiment) outcome(e ending, a *fleet.Allocation, known truth) {
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
		x.fails++
		x.s.Failures.Record(x.now, a.Task, a.Node.Worker.ID)
		x.push(&again, known)
	default:
		x.learned.Observe(&again, model.Outcome{Ran: known.runTime, Usage: known.usage})
	}
	if x.quarantine && !e.stop {
		x.keeper.Observe(x.now, a.Node.Worker.ID, a.Task, failed)
	}
}
