package ledger

import (
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/scheduler"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
	"pollenbend/internal/scheduler/preempt"
	"pollenbend/internal/scheduler/quarantine"
	"pollenbend/internal/wire"
)

// placement chooses workers among those held here.
type placement struct {
	scheduler *scheduler.Scheduler
	keeper    *quarantine.Keeper
	preempter *preempt.Planner
	pending   map[model.TaskID]*pendingStart
	gangHolds map[model.TaskID]model.TeamID // tasks of gangs for which room is kept
}

// pendingStart is an urgent task whose room is being made by stopping other work.
type pendingStart struct {
	dispatch wire.Dispatch
	worker   model.WorkerID
	expires  time.Duration
}

// preemptWait is how long a task waits for the work that it displaces to stop.
const preemptWait = 1500 * time.Millisecond

func newPlacement(seed uint64, home model.Location) placement {
	s := scheduler.New(scheduler.Config{Seed: seed, Home: home})
	return placement{
		scheduler: s,
		keeper:    quarantine.New(s.Fleet),
		preempter: preempt.New(seed),
		pending:   make(map[model.TaskID]*pendingStart),
		gangHolds: make(map[model.TaskID]model.TeamID),
	}
}

func (p *placement) setLease(id model.WorkerID, held bool) {
	// A worker that is not in the fleet takes no work anyway.
	_ = p.scheduler.Fleet.SetUnschedulable(id, fleet.ReasonNoLease, !held)
}

// preempt makes room for an urgent task by stopping less important work. The task
// counts as starting from here on; it starts when the room is there.
func (s *Service) preempt(d wire.Dispatch) (model.WorkerID, bool) {
	now := s.env.Now()
	t := &d.Task
	plan, status := s.place.preempter.Plan(now, s.place.scheduler.Fleet, t, preempt.ForUrgent)
	if !status.Success() {
		return "", false
	}
	expires := now + preemptWait
	if err := s.place.preempter.Apply(now, s.place.scheduler.Fleet, t, plan, expires); err != nil {
		return "", false
	}
	w := s.workers[plan.Worker]
	for _, v := range plan.Victims {
		s.env.Emit(event.Stop{Worker: w.info, Request: platform.StopRequest{
			Lease: s.leaseRef(w), Task: v.Task, Mode: platform.StopCheckpoint,
		}})
	}
	s.place.pending[t.ID] = &pendingStart{dispatch: d, worker: plan.Worker, expires: expires}
	return plan.Worker, true
}

// startPending starts the tasks whose room has come free and gives up those whose
// wait is over.
func (s *Service) startPending() {
	if len(s.place.pending) == 0 {
		return
	}
	for _, id := range sortedKeys(s.place.pending) {
		p := s.place.pending[id]
		switch {
		case s.limits.MayStart(p.dispatch.Task.Team) && s.commit(p.dispatch, p.worker):
			delete(s.place.pending, id)
		case s.env.Now() >= p.expires:
			s.dropPending(p, ReasonRoom)
		}
	}
}

// dropPending gives a pending start up. It never reached a worker.
func (s *Service) dropPending(p *pendingStart, reason string) {
	id := p.dispatch.Task.ID
	delete(s.place.pending, id)
	s.place.scheduler.Fleet.Unhold(id)
	s.tell(wire.TaskState{
		Task: id, Term: p.dispatch.Term, Attempt: p.dispatch.Attempt,
		Phase: wire.PhaseRejected, Reason: reason,
	})
}

// observe lets the quarantine learn from an outcome.
func (s *Service) observe(t *task, out model.Outcome) {
	if !out.Stopped {
		s.place.keeper.Observe(s.env.Now(), t.worker, &t.spec, out.Failed)
	}
}

// Explain tells why a task would not be placed on the workers held here.
func (s *Service) Explain(t *model.Task) scheduler.Explanation {
	return s.place.scheduler.Explain(s.env.Now(), t)
}

func (s *Service) choose(t *model.Task) (model.WorkerID, plugin.Status) {
	d, status := s.place.scheduler.Place(s.env.Now(), t)
	return d.Worker, status
}
