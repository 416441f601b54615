// Package preempt chooses what to stop when urgent work, or work of a team below
// its share, finds no room: the tasks on one worker whose stop loses the least
// work. The same work isn't chosen again and again.
package preempt

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
	"pollenbend/internal/scheduler/shares"
)

// Name is the plugin name in statuses.
const Name = "preempt"

const (
	// probes is the number of workers sampled for one plan, plans the number of
	// those on which victims are chosen and compared.
	probes = 64
	plans  = 10
	// maxPreemptions is how often one task of a job is stopped within budgetPeriod.
	maxPreemptions = 3
	budgetPeriod   = time.Hour
	// checkpointLoss is the work lost by a checkpoint and the restart from it.
	checkpointLoss = 2 * time.Second
	// unsavedPart is the inverse of how often a checkpoint fails.
	unsavedPart = 10
	// normalFactor makes work of class normal costlier to stop than of class low.
	normalFactor = 4
)

// Victim is a task to stop.
type Victim struct {
	Task model.TaskID
	Mode platform.StopMode // to be followed by a kill when it isn't over in time
}

// Plan is what to stop to make room on one worker. Cost is the work lost, in
// seconds times the dominant part of the worker.
type Plan struct {
	Worker  model.WorkerID
	Victims []Victim
	Cost    float64
}

// lineage names one task of a job over its restarts.
type lineage struct {
	team  model.TeamID
	job   model.JobID
	index int
	task  model.TaskID // when it belongs to no job
}

func lineageOf(t *model.Task) lineage {
	if t.Job == "" {
		return lineage{team: t.Team, task: t.ID}
	}
	return lineage{team: t.Team, job: t.Job, index: t.Index}
}

// record is how often a lineage was stopped.
type record struct {
	count int
	last  time.Duration
}

// Planner makes plans. It belongs to one goroutine.
type Planner struct {
	rng     *rand.Rand
	search  fleet.Search
	history map[lineage]record
	swept   time.Duration
	scratch []candidate
	workers []near
}

// New returns a planner whose sampling depends on seed.
func New(seed uint64) *Planner {
	return &Planner{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		history: make(map[lineage]record),
	}
}

// Eligible says whether a task may be stopped for another.
type Eligible func(victim *model.Task) bool

// ForUrgent lets urgent work displace other work.
func ForUrgent(victim *model.Task) bool { return victim.Class != model.ClassUrgent }

// ForShare lets a team take back its share from teams above theirs, but not
// urgent work. targets are dominant parts of the fleet by team.
func ForShare(book *shares.Book, targets map[model.TeamID]float64) Eligible {
	return func(victim *model.Task) bool {
		if victim.Class == model.ClassUrgent {
			return false
		}
		over := book.Account(victim.Team).Dominant() - targets[victim.Team]
		return over > shares.Dominant(victim.Demand, book.Capacity())
	}
}

// stoppable reports whether a task's kind allows to stop it: nobody waits for it
// and it may be run again.
func stoppable(t *model.Task) bool {
	switch t.Kind {
	case model.KindBatch:
		return t.Repeatable
	case model.KindService:
		return true
	}
	return false
}

// Plan returns the cheapest plan found for a task.
func (p *Planner) Plan(now time.Duration, f *fleet.Fleet, t *model.Task, eligible Eligible) (Plan, plugin.Status) {
	p.search.Start(f, f.Select(t.Require), t.Demand)
	best := Plan{}
	for _, near := range p.nearest(t.Demand) {
		plan, ok := p.planOn(now, near.node, t, eligible)
		if ok && (best.Worker == "" || plan.Cost < best.Cost) {
			best = plan
		}
	}
	if best.Worker == "" {
		return Plan{}, plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: "found no worker where stopping less important work makes room"}
	}
	return best, plugin.Status{}
}

// near is a worker and the part of it that a task lacks there.
type near struct {
	node  *fleet.Node
	lacks float64
}

// nearest samples workers and returns those where the demand lacks the least, the
// least first.
func (p *Planner) nearest(demand model.Resources) []near {
	p.workers = p.workers[:0]
	for range probes {
		n := p.search.Probe(p.rng.IntN)
		if n == nil {
			break
		}
		if !n.Schedulable() || !demand.Fits(n.Worker.Capacity) || !p.search.Selection.Matches(n) {
			continue
		}
		lacks := demand.Sub(n.Available().Add(n.Stopping()))
		p.workers = append(p.workers, near{n, shares.Dominant(lacks, n.Worker.Capacity)})
	}
	slices.SortStableFunc(p.workers, func(x, y near) int { return compare(x.lacks, y.lacks) })
	return p.workers[:min(len(p.workers), plans)]
}

// Apply marks a plan's victims as stopping, holds the room for the task until
// expires, and counts the stops.
func (p *Planner) Apply(now time.Duration, f *fleet.Fleet, t *model.Task, plan Plan, expires time.Duration) error {
	if err := f.Hold(t, plan.Worker, expires); err != nil {
		return err
	}
	p.sweep(now)
	for _, v := range plan.Victims {
		a := f.Allocation(v.Task)
		if a == nil {
			continue
		}
		key := lineageOf(a.Task)
		p.history[key] = record{count: p.count(now, key) + 1, last: now}
		if err := f.MarkStopping(v.Task); err != nil {
			return err
		}
	}
	return nil
}

func (p *Planner) count(now time.Duration, key lineage) int {
	r, ok := p.history[key]
	if !ok || now-r.last >= budgetPeriod {
		return 0
	}
	return r.count
}

// sweep forgets old records once in a budget period.
func (p *Planner) sweep(now time.Duration) {
	if now-p.swept < budgetPeriod {
		return
	}
	p.swept = now
	for key, r := range p.history {
		if now-r.last >= budgetPeriod {
			delete(p.history, key)
		}
	}
}

// candidate is a task that could be stopped.
type candidate struct {
	allocation *fleet.Allocation
	cost       float64
	perPart    float64 // cost in relation to the part of the need that it frees
}

// planOn works out what to stop on one worker.
func (p *Planner) planOn(now time.Duration, n *fleet.Node, t *model.Task, eligible Eligible) (Plan, bool) {
	room := n.Available().Add(n.Stopping())
	short := positive(t.Demand.Sub(room))
	if short.IsZero() {
		return Plan{Worker: n.Worker.ID}, true
	}
	p.scratch = p.scratch[:0]
	for _, a := range n.Allocations() {
		if a.Stopping || !stoppable(a.Task) || !eligible(a.Task) {
			continue
		}
		if c, ok := p.candidate(now, a, short); ok {
			p.scratch = append(p.scratch, c)
		}
	}
	slices.SortStableFunc(p.scratch, func(x, y candidate) int { return compare(x.perPart, y.perPart) })
	single, found := cheapestSingle(p.scratch, room, t.Demand)
	chosen, ok := choose(p.scratch, room, t.Demand)
	if !ok {
		return Plan{}, false
	}
	plan := planOf(n, chosen)
	if found && single.cost <= plan.Cost {
		return planOf(n, []candidate{single}), true
	}
	return plan, true
}

// cheapestSingle returns the cheapest candidate whose stop is enough.
func cheapestSingle(candidates []candidate, room, demand model.Resources) (candidate, bool) {
	best, found := candidate{}, false
	for _, c := range candidates {
		if !demand.Fits(room.Add(c.allocation.Task.Demand)) {
			continue
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

func (p *Planner) candidate(now time.Duration, a *fleet.Allocation, short model.Resources) (candidate, bool) {
	stops := p.count(now, lineageOf(a.Task))
	if stops >= maxPreemptions {
		return candidate{}, false
	}
	useful := shares.Dominant(atMost(a.Task.Demand, short), short)
	if useful == 0 {
		return candidate{}, false
	}
	lost := lostWork(now, a) * float64(int(1)<<(2*stops))
	if a.Task.Class != model.ClassLow {
		lost *= normalFactor
	}
	cost := lost * shares.Dominant(a.Task.Demand, a.Node.Worker.Capacity)
	return candidate{allocation: a, cost: cost, perPart: cost / useful}, true
}

// lostWork is the expected run time lost in seconds.
func lostWork(now time.Duration, a *fleet.Allocation) float64 {
	if a.Task.Kind == model.KindService {
		return checkpointLoss.Seconds()
	}
	unsaved := max(now-a.Since, 0) / unsavedPart
	return (checkpointLoss + unsaved).Seconds()
}

// choose takes candidates in order until demand fits, then gives back those that
// turn out to be not needed, the costliest first.
func choose(order []candidate, room, demand model.Resources) ([]candidate, bool) {
	taken := 0
	for taken < len(order) && !demand.Fits(room) {
		room = room.Add(order[taken].allocation.Task.Demand)
		taken++
	}
	if !demand.Fits(room) {
		return nil, false
	}
	chosen := order[:taken]
	slices.SortStableFunc(chosen, func(x, y candidate) int { return compare(y.cost, x.cost) })
	needed := chosen[:0]
	for _, c := range chosen {
		without := room.Sub(c.allocation.Task.Demand)
		if demand.Fits(without) {
			room = without
			continue
		}
		needed = append(needed, c)
	}
	return needed, true
}

func planOf(n *fleet.Node, chosen []candidate) Plan {
	plan := Plan{Worker: n.Worker.ID}
	for _, c := range chosen {
		plan.Victims = append(plan.Victims, Victim{Task: c.allocation.Task.ID, Mode: platform.StopCheckpoint})
		plan.Cost += c.cost
	}
	return plan
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func positive(r model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMiB:    max(r.MemoryMiB, 0),
		Slots:        max(r.Slots, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}

func atMost(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Slots:        min(a.Slots, b.Slots),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
