// Package gang starts the tasks of a gang together or not at all. Gangs that have
// waited long take turns to gather room: one gang at a time keeps what fits, for a
// bounded time, so two gangs never hold parts of what the other needs and a large
// gang isn't passed by small work for ever.
package gang

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin name in statuses.
const Name = "gang"

const (
	// patience is how long a gang waits before it may gather room.
	patience = 15 * time.Second
	// turn is the longest time for which one gang keeps room.
	turn = 2 * time.Minute
)

// Gang is a set of tasks that start together.
type Gang struct {
	Job   model.JobID
	Tasks []*model.Task
	Since time.Duration // when it was received
}

// Placer chooses a worker for one task.
type Placer func(t *model.Task) (model.WorkerID, plugin.Status)

// Placement is one task of a gang and its worker.
type Placement struct {
	Task   *model.Task
	Worker model.WorkerID
}

// Planner starts gangs on one fleet.
type Planner struct {
	fleet   *fleet.Fleet
	waiting []model.JobID // gangs that wait for their turn, in order
	turnOf  model.JobID
	held    []model.TaskID
	ends    time.Duration
}

// New returns a planner for a fleet.
func New(f *fleet.Fleet) *Planner { return &Planner{fleet: f} }

// Start assumes all tasks of a gang and returns where, or none of them and the
// status of the first that has no place. The caller tries again later.
func (p *Planner) Start(now time.Duration, g Gang, place Placer) ([]Placement, plugin.Status) {
	p.endTurn(now)
	plan, status := p.plan(now, g, place)
	if status.Success() {
		p.fleet.Keep()
		p.Forget(g.Job)
		return plan, status
	}
	p.fleet.Rollback()
	if p.mayGather(now, g) {
		p.gather(plan)
	}
	return nil, status
}

// Forget drops a gang that no longer waits, with the room it gathered.
func (p *Planner) Forget(job model.JobID) {
	if p.turnOf == job {
		p.release()
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(other model.JobID) bool { return other == job })
}

// Turn returns the gang that gathers room, or "".
func (p *Planner) Turn() model.JobID { return p.turnOf }

// plan assumes as many tasks as fit. It leaves the journal open.
func (p *Planner) plan(now time.Duration, g Gang, place Placer) ([]Placement, plugin.Status) {
	p.fleet.Begin()
	plan := make([]Placement, 0, len(g.Tasks))
	missing := plugin.Status{}
	for _, t := range g.Tasks {
		worker, status := place(t)
		if !status.Success() {
			missing = status
			break
		}
		if p.fleet.Assume(now, t, worker) != nil {
			missing = plugin.Status{Code: plugin.Unfit, Plugin: Name, Reason: "worker changed while planning"}
			break
		}
		plan = append(plan, Placement{t, worker})
	}
	return plan, missing
}

// mayGather gives a gang the turn when it has waited long enough and is next.
func (p *Planner) mayGather(now time.Duration, g Gang) bool {
	if p.turnOf == g.Job {
		return true
	}
	if now-g.Since < patience {
		return false
	}
	if !slices.Contains(p.waiting, g.Job) {
		p.waiting = append(p.waiting, g.Job)
	}
	if p.turnOf != "" || p.waiting[0] != g.Job {
		return false
	}
	p.turnOf = g.Job
	p.ends = now + turn
	return true
}

// gather holds the room of the tasks that had a place. Starting the gang uses its
// own holds up; what it held before is held again here.
func (p *Planner) gather(plan []Placement) {
	p.dropHolds()
	for _, part := range plan {
		if p.fleet.Hold(part.Task, part.Worker, p.ends) == nil {
			p.held = append(p.held, part.Task.ID)
		}
	}
}

// endTurn takes the turn away from a gang that had it long enough and puts it
// last.
func (p *Planner) endTurn(now time.Duration) {
	if p.turnOf == "" || now < p.ends {
		return
	}
	job := p.turnOf
	p.Forget(job)
	p.waiting = append(p.waiting, job)
}

func (p *Planner) release() {
	p.dropHolds()
	p.turnOf = ""
}

func (p *Planner) dropHolds() {
	for _, id := range p.held {
		p.fleet.Unhold(id)
	}
	p.held = p.held[:0]
}
