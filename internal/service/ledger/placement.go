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

// placement chooses workers for tasks among the workers held here.
type placement struct {
	scheduler  *scheduler.Scheduler
	quarantine *quarantine.Tracker
	preempter  *preempt.Planner
	pending    map[model.TaskID]*pendingStart
	gangHolds  map[model.TaskID]model.TeamID // gang tasks with reserved resources
}

// pendingStart is an urgent task that waits for preempted tasks to stop.
type pendingStart struct {
	dispatch wire.Dispatch
	worker   model.WorkerID
	expires  time.Duration
}

// preemptTimeout is how long an urgent task waits for the tasks that it preempts to
// stop.
const preemptTimeout = 1500 * time.Millisecond

func newPlacement(seed uint64, home model.Location) placement {
	s := scheduler.New(scheduler.Config{Seed: seed, Home: home})
	return placement{
		scheduler:  s,
		quarantine: quarantine.New(s.Fleet),
		preempter:  preempt.New(seed),
		pending:    make(map[model.TaskID]*pendingStart),
		gangHolds:  make(map[model.TaskID]model.TeamID),
	}
}

func (p *placement) setLeased(id model.WorkerID, leased bool) {
	// SetReasons fails only for a worker that is not in the fleet, which
	// receives no tasks anyway.
	_ = p.scheduler.Fleet.SetReasons(id, fleet.ReasonNoLease, !leased)
}

// preempt stops less important tasks to free resources for an urgent one. The urgent
// task counts as starting from now on; its start is sent once the resources are free.
func (s *Service) preempt(d wire.Dispatch) (model.WorkerID, bool) {
	now := s.env.Now()
	t := &d.Task
	plan, status := s.placement.preempter.Plan(now, s.placement.scheduler.Fleet, t, preempt.EligibleForUrgent)
	if !status.Success() {
		return "", false
	}
	expires := now + preemptTimeout
	if err := s.placement.preempter.Apply(now, s.placement.scheduler.Fleet, t, plan, expires); err != nil {
		return "", false
	}
	w := s.workers[plan.Worker]
	for _, v := range plan.Victims {
		s.env.Emit(event.Stop{Worker: w.info, Request: platform.StopRequest{
			Lease: s.leaseRef(w), Task: v.Task, Mode: platform.StopCheckpoint,
		}})
	}
	s.placement.pending[t.ID] = &pendingStart{dispatch: d, worker: plan.Worker, expires: expires}
	return plan.Worker, true
}

// startPending starts pending tasks whose resources have become free and rejects
// those that have timed out.
func (s *Service) startPending() {
	if len(s.placement.pending) == 0 {
		return
	}
	for _, id := range sortedKeys(s.placement.pending) {
		p := s.placement.pending[id]
		switch {
		case s.limits.MayStart(p.dispatch.Task.Team) && s.commit(p.dispatch, p.worker):
			delete(s.placement.pending, id)
		case s.env.Now() >= p.expires:
			s.dropPending(p, ReasonNoCapacity)
		}
	}
}

// dropPending rejects a pending start, which was never sent to a worker.
func (s *Service) dropPending(p *pendingStart, reason string) {
	id := p.dispatch.Task.ID
	delete(s.placement.pending, id)
	s.placement.scheduler.Fleet.Unhold(id)
	s.reportState(wire.TaskState{
		Task: id, Term: p.dispatch.Term, Attempt: p.dispatch.Attempt,
		Phase: wire.PhaseRejected, Reason: reason,
	})
}

// observeOutcome reports a task's outcome to the quarantine, unless the task was
// stopped.
func (s *Service) observeOutcome(t *task, out model.Outcome) {
	if !out.Stopped {
		s.placement.quarantine.Observe(s.env.Now(), t.worker, &t.spec, out.Failed)
	}
}

// Explain returns why a task cannot be placed on the workers held here.
func (s *Service) Explain(t *model.Task) scheduler.Explanation {
	return s.placement.scheduler.Explain(s.env.Now(), t)
}

func (s *Service) chooseWorker(t *model.Task) (model.WorkerID, plugin.Status) {
	d, status := s.placement.scheduler.Place(s.env.Now(), t)
	return d.Worker, status
}
