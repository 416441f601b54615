// Package preempt chooses preemption victims when an urgent task, or a task of a
// team below its fair share, can't be placed: the tasks on one worker whose stop
// loses the least work. It limits how often the same task is preempted.
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
	// maxProbes is the number of workers sampled for one task. maxPlans is the maximum
	// number of them for which victims are chosen and the plans compared.
	maxProbes = 64
	maxPlans  = 10
	// maxPreemptions is how often one logical task may be preempted. The count restarts
	// when it hasn't been preempted for preemptionWindow.
	maxPreemptions   = 3
	preemptionWindow = time.Hour
	// checkpointCost is the run time lost by a checkpoint and the restart from it.
	checkpointCost = 2 * time.Second
	// One in checkpointsPerFailure checkpoints is expected to fail. The task then loses
	// all work since its start.
	checkpointsPerFailure = 10
	// normalClassMultiplier is the cost of preempting work of class normal relative to
	// class low.
	normalClassMultiplier = 4
)

// Victim is a task to stop.
type Victim struct {
	Task model.TaskID
	Mode platform.StopMode // the caller follows it with a kill if the task doesn't stop in time
}

// Plan lists the victims that free enough capacity on one worker. Cost is the
// expected work lost, in seconds of run time times the dominant share of the worker.
type Plan struct {
	Worker  model.WorkerID
	Victims []Victim
	Cost    float64
}

// logicalTask identifies one task of a job across its restarts.
type logicalTask struct {
	team  model.TeamID
	job   model.JobID
	index int
	task  model.TaskID // only if it belongs to no job
}

func logicalTaskOf(t *model.Task) logicalTask {
	if t.Job == "" {
		return logicalTask{team: t.Team, task: t.ID}
	}
	return logicalTask{team: t.Team, job: t.Job, index: t.Index}
}

// preemptionRecord counts the recent preemptions of a logical task.
type preemptionRecord struct {
	count int
	last  time.Duration // time of the last one
}

// Planner makes preemption plans. It belongs to one goroutine.
type Planner struct {
	rng        *rand.Rand
	search     fleet.Search
	history    map[logicalTask]preemptionRecord
	lastSweep  time.Duration
	candidates []victimCandidate
	nodes      []nodeShortfall
}

// New returns a planner whose sampling depends on seed.
func New(seed uint64) *Planner {
	return &Planner{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		history: make(map[logicalTask]preemptionRecord),
	}
}

// Eligible reports whether a task may be a victim.
type Eligible func(victim *model.Task) bool

// EligibleForUrgent makes every task that isn't urgent eligible, for urgent preemptors.
func EligibleForUrgent(victim *model.Task) bool { return victim.Class != model.ClassUrgent }

// EligibleForShare makes tasks eligible that aren't urgent and whose team stays above its
// fair share without them, for preemptors of a team below its own. targets holds the
// fair shares as dominant shares by team.
func EligibleForShare(accounts *shares.Accounts, targets map[model.TeamID]float64) Eligible {
	return func(victim *model.Task) bool {
		if victim.Class == model.ClassUrgent {
			return false
		}
		excess := accounts.Account(victim.Team).DominantShare() - targets[victim.Team]
		return excess > shares.DominantShare(victim.Demand, accounts.Capacity())
	}
}

// preemptible reports whether a task may be stopped at all: no caller waits for it
// and it may run again.
func preemptible(t *model.Task) bool {
	switch t.Kind {
	case model.KindBatch:
		return t.Repeatable
	case model.KindService:
		return true
	}
	return false
}

// Plan returns the cheapest plan found for a task. When there is none, the status
// isn't OK and holds the reason.
func (p *Planner) Plan(now time.Duration, f *fleet.Fleet, t *model.Task, eligible Eligible) (Plan, plugin.Status) {
	p.search.Start(f, f.Select(t.Require), t.Demand)
	best := Plan{}
	for _, sampled := range p.sampleNodes(t.Demand) {
		plan, ok := p.planOn(now, sampled.node, t, eligible)
		if ok && (best.Worker == "" || plan.Cost < best.Cost) {
			best = plan
		}
	}
	if best.Worker == "" {
		return Plan{}, plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: "found no worker where stopping less important work makes room"}
	}
	return best, plugin.Status{}
}

// nodeShortfall is a worker and the capacity that a task lacks there, as the dominant
// share of the worker.
type nodeShortfall struct {
	node      *fleet.Node
	shortfall float64
}

// sampleNodes samples workers and returns at most maxPlans of them, in increasing
// order of shortfall.
func (p *Planner) sampleNodes(demand model.Resources) []nodeShortfall {
	p.nodes = p.nodes[:0]
	for range maxProbes {
		n := p.search.Probe(p.rng.IntN)
		if n == nil {
			break
		}
		if !n.Schedulable() || !demand.Fits(n.Worker.Capacity) || !p.search.Selection.Matches(n) {
			continue
		}
		missing := demand.Sub(n.Available().Add(n.Stopping()))
		p.nodes = append(p.nodes, nodeShortfall{n, shares.DominantShare(missing, n.Worker.Capacity)})
	}
	slices.SortStableFunc(p.nodes, func(x, y nodeShortfall) int { return compare(x.shortfall, y.shortfall) })
	return p.nodes[:min(len(p.nodes), maxPlans)]
}

// Apply marks a plan's victims as stopping, reserves the capacity for the task with a
// hold until expires, and counts the preemptions.
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
		key := logicalTaskOf(a.Task)
		p.history[key] = preemptionRecord{count: p.recentPreemptions(now, key) + 1, last: now}
		if err := f.MarkStopping(v.Task); err != nil {
			return err
		}
	}
	return nil
}

// recentPreemptions returns how often a logical task was preempted, or 0 if the last
// preemption is at least preemptionWindow ago.
func (p *Planner) recentPreemptions(now time.Duration, key logicalTask) int {
	r, ok := p.history[key]
	if !ok || now-r.last >= preemptionWindow {
		return 0
	}
	return r.count
}

// sweep deletes expired records, at most once per preemptionWindow.
func (p *Planner) sweep(now time.Duration) {
	if now-p.lastSweep < preemptionWindow {
		return
	}
	p.lastSweep = now
	for key, r := range p.history {
		if now-r.last >= preemptionWindow {
			delete(p.history, key)
		}
	}
}

// victimCandidate is a task that may be preempted.
type victimCandidate struct {
	allocation   *fleet.Allocation
	cost         float64
	costPerFreed float64 // cost divided by the part of the missing capacity that it frees
}

// planOn chooses victims on one worker. It returns false if all candidates
// together would not free enough.
func (p *Planner) planOn(now time.Duration, n *fleet.Node, t *model.Task, eligible Eligible) (Plan, bool) {
	free := n.Available().Add(n.Stopping())
	missing := clampToZero(t.Demand.Sub(free))
	if missing.IsZero() {
		return Plan{Worker: n.Worker.ID}, true
	}
	p.candidates = p.candidates[:0]
	for _, a := range n.Allocations() {
		if a.Stopping || !preemptible(a.Task) || !eligible(a.Task) {
			continue
		}
		if c, ok := p.victimCandidate(now, a, missing); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	slices.SortStableFunc(p.candidates, func(x, y victimCandidate) int { return compare(x.costPerFreed, y.costPerFreed) })
	single, found := cheapestSingle(p.candidates, free, t.Demand)
	chosen, ok := chooseVictims(p.candidates, free, t.Demand)
	if !ok {
		return Plan{}, false
	}
	plan := planOf(n, chosen)
	if found && single.cost <= plan.Cost {
		return planOf(n, []victimCandidate{single}), true
	}
	return plan, true
}

// cheapestSingle returns the cheapest candidate that frees enough by itself.
func cheapestSingle(candidates []victimCandidate, free, demand model.Resources) (victimCandidate, bool) {
	best, found := victimCandidate{}, false
	for _, c := range candidates {
		if !demand.Fits(free.Add(c.allocation.Task.Demand)) {
			continue
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// victimCandidate computes the cost of preempting a task. It returns false if the task
// was preempted too often or frees nothing that is missing. The cost quadruples with
// each recent preemption.
func (p *Planner) victimCandidate(now time.Duration, a *fleet.Allocation, missing model.Resources) (victimCandidate, bool) {
	preemptions := p.recentPreemptions(now, logicalTaskOf(a.Task))
	if preemptions >= maxPreemptions {
		return victimCandidate{}, false
	}
	freedRatio := shares.DominantShare(minOf(a.Task.Demand, missing), missing)
	if freedRatio == 0 {
		return victimCandidate{}, false
	}
	lost := lostWork(now, a) * float64(int(1)<<(2*preemptions))
	if a.Task.Class != model.ClassLow {
		lost *= normalClassMultiplier
	}
	cost := lost * shares.DominantShare(a.Task.Demand, a.Node.Worker.Capacity)
	return victimCandidate{allocation: a, cost: cost, costPerFreed: cost / freedRatio}, true
}

// lostWork returns the run time, in seconds, that preempting a task is expected to lose.
func lostWork(now time.Duration, a *fleet.Allocation) float64 {
	if a.Task.Kind == model.KindService {
		return checkpointCost.Seconds()
	}
	expectedLoss := max(now-a.Since, 0) / checkpointsPerFailure
	return (checkpointCost + expectedLoss).Seconds()
}

// chooseVictims takes candidates in order until demand fits, then drops those that
// aren't needed, the most expensive ones first.
func chooseVictims(candidates []victimCandidate, free, demand model.Resources) ([]victimCandidate, bool) {
	taken := 0
	for taken < len(candidates) && !demand.Fits(free) {
		free = free.Add(candidates[taken].allocation.Task.Demand)
		taken++
	}
	if !demand.Fits(free) {
		return nil, false
	}
	chosen := candidates[:taken]
	slices.SortStableFunc(chosen, func(x, y victimCandidate) int { return compare(y.cost, x.cost) })
	needed := chosen[:0]
	for _, c := range chosen {
		without := free.Sub(c.allocation.Task.Demand)
		if demand.Fits(without) {
			free = without
			continue
		}
		needed = append(needed, c)
	}
	return needed, true
}

func planOf(n *fleet.Node, chosen []victimCandidate) Plan {
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

// clampToZero replaces negative amounts by 0.
func clampToZero(r model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMiB:    max(r.MemoryMiB, 0),
		Slots:        max(r.Slots, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}

// minOf returns the minimum of a and b in each dimension.
func minOf(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Slots:        min(a.Slots, b.Slots),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
