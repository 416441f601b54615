// Package ledger manages the workers whose shards this instance owns: it renews
// their leases, tracks the tasks that run on them, and rechecks every start against
// the worker's free resources before the start is sent.
//
// The worker is the source of truth. An instance that becomes the lease holder of a
// worker rebuilds the worker's state from its full report before it starts anything
// there.
package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/wire"
)

// Ownership returns the terms and owners of shards.
type Ownership interface {
	// OwnedTerm returns the term of a shard that this instance owns.
	OwnedTerm(model.Shard) (term uint64, ok bool)
	// Owner returns a shard's owner and term, or false if it has never had an owner.
	Owner(model.Shard) (ownership.ShardOwner, bool)
}

// Coordinator receives the states of tasks whose request shard this instance owns.
type Coordinator interface {
	OnTaskState(from wire.InstanceRef, st wire.TaskState)
}

// Limits decides how many tasks of a team may start on the workers held here.
type Limits interface {
	// MayStart reports whether one more task of a team may start here.
	MayStart(model.TeamID) bool
	// StartableTasks returns how many of the wanted tasks of a team may start here.
	StartableTasks(team model.TeamID, wanted int64) int64
	// ReduceCeiling reduces by one the number of tasks that the team may run on the
	// workers held here: a task may still run on a worker that is no longer held.
	ReduceCeiling(model.TeamID)
}

// Service tracks the workers held here and the tasks on them.
type Service struct {
	env         *event.Env
	ownership   Ownership
	coordinator Coordinator
	limits      Limits
	placement   placement

	listed    map[model.WorkerID]model.Worker
	workers   map[model.WorkerID]*worker
	workerIDs []model.WorkerID // sorted keys of workers
	tasks     map[model.TaskID]*task
	finished  map[model.TaskID]finishedTask
	fences    map[model.TaskID]fence
	maxTerms  [model.Shards]uint64 // highest term seen, by request shard
	maxRuns   map[model.TaskID]int // highest run seen, by task without run
	running   map[model.TeamID]int64
	usage     map[model.TeamID]model.Resources

	freshness     freshness
	nextCleanupAt time.Duration // when records past the retention are removed next
	coverage      wire.Coverage
	missedStates  map[model.InstanceID]bool // instances that may have missed task states
}

type task struct {
	spec   model.Task
	worker model.WorkerID
	phase  wire.TaskPhase
	seq    uint64 // sequence number of the start command
	// incarnation is the worker's incarnation that the start was sent to, 0 for a
	// task known only from a report.
	incarnation model.Incarnation
	term        uint64
	attempt     uint32
}

type finishedTask struct {
	outcome    model.Outcome
	worker     model.WorkerID
	recordedAt time.Duration
}

// fence makes the ledger refuse dispatches of a task up to and including (term,
// attempt).
type fence struct {
	term     uint64
	attempt  uint32
	fencedAt time.Duration
}

// New returns a ledger that holds no workers.
func New(env *event.Env) *Service {
	return &Service{
		env:          env,
		freshness:    newFreshness(),
		placement:    newPlacement(uint64(env.Self.Incarnation), env.Self.Location),
		listed:       make(map[model.WorkerID]model.Worker),
		workers:      make(map[model.WorkerID]*worker),
		tasks:        make(map[model.TaskID]*task),
		finished:     make(map[model.TaskID]finishedTask),
		maxRuns:      make(map[model.TaskID]int),
		fences:       make(map[model.TaskID]fence),
		running:      make(map[model.TeamID]int64),
		missedStates: make(map[model.InstanceID]bool),
		usage:        make(map[model.TeamID]model.Resources),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Ledger }

// Bind looks up the services that the ledger depends on.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	if s.coordinator, err = kernel.Find[Coordinator](k, service.Requests); err != nil {
		return err
	}
	s.limits, err = kernel.Find[Limits](k, service.Limits)
	return err
}

// OnListing replaces the list of workers. A worker that is no longer listed has
// ended, and so have its tasks.
func (s *Service) OnListing(l platform.Listing) {
	s.freshness.observe(s.env.Now())
	s.freshness.listings++
	listed := make(map[model.WorkerID]model.Worker, len(l.Workers))
	for _, w := range l.Workers {
		listed[w.ID] = w
	}
	s.listed = listed
	for _, id := range slices.Clone(s.workerIDs) {
		if _, ok := listed[id]; !ok {
			s.removeEnded(s.workers[id], "worker left the instance list")
		}
	}
	for _, w := range l.Workers {
		s.adoptWorker(w)
	}
}

// adoptWorker adds or updates a worker if this instance owns its shard. A new term
// of the shard needs a new lease.
func (s *Service) adoptWorker(info model.Worker) {
	term, ok := s.ownership.OwnedTerm(model.ShardOfWorker(info.ID))
	if !ok {
		return
	}
	w, held := s.workers[info.ID]
	if !held {
		w = &worker{info: info}
		s.workers[info.ID] = w
		i, _ := slices.BinarySearch(s.workerIDs, info.ID)
		s.workerIDs = slices.Insert(s.workerIDs, i, info.ID)
	}
	if w.term != term {
		w.term = term
		w.resetLease()
	}
	w.info = info
	s.placement.scheduler.Fleet.Upsert(info)
	s.placement.setLeased(info.ID, w.leased(s.env.Now()))
}

// removeEnded removes a worker that has ended and reports its tasks as stopped.
func (s *Service) removeEnded(w *worker, reason string) {
	for _, t := range s.tasksOn(w.info.ID) {
		s.finish(t, model.Outcome{Task: t.spec.ID, Failed: true, Stopped: true, Message: reason})
	}
	s.dropWorker(w)
}

// dropWorker removes a worker without reporting its tasks, which may continue to run.
func (s *Service) dropWorker(w *worker) {
	for _, id := range sortedKeys(s.placement.pending) {
		if p := s.placement.pending[id]; p.worker == w.info.ID {
			s.dropPending(p, ReasonNoCapacity)
		}
	}
	for _, t := range s.tasksOn(w.info.ID) {
		s.limits.ReduceCeiling(t.spec.Team)
		s.removeTask(t)
	}
	s.placement.scheduler.Fleet.Remove(w.info.ID)
	s.placement.quarantine.Remove(w.info.ID)
	delete(s.workers, w.info.ID)
	if i, ok := slices.BinarySearch(s.workerIDs, w.info.ID); ok {
		s.workerIDs = slices.Delete(s.workerIDs, i, i+1)
	}
}

func (s *Service) tasksOn(id model.WorkerID) []*task {
	var list []*task
	for _, t := range s.tasks {
		if t.worker == id {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return list
}

// OnShardMoved adopts or releases the workers of a shard, and reports the tasks held
// here whose requests belong to the shard to its new owner.
func (s *Service) OnShardMoved(m service.ShardMove) {
	s.maxTerms[m.Shard] = max(s.maxTerms[m.Shard], m.Term)
	if m.After == s.env.SelfRef() {
		for _, id := range sortedKeys(s.listed) {
			if model.ShardOfWorker(id) == m.Shard {
				s.adoptWorker(s.listed[id])
			}
		}
	} else if m.Before == s.env.SelfRef() {
		for _, id := range slices.Clone(s.workerIDs) {
			if model.ShardOfWorker(id) == m.Shard {
				s.releaseWorker(s.workers[id])
			}
		}
	}
	s.reportShard(m.Shard)
}

// releaseWorker releases a worker's lease, so that the next holder need not wait until
// it expires.
func (s *Service) releaseWorker(w *worker) {
	if w.leased(s.env.Now()) {
		s.env.Emit(event.Renew{Worker: w.info, Request: platform.RenewRequest{Lease: s.leaseRef(w), Release: true}})
	}
	s.dropWorker(w)
}

// reportShard sends the state of every task of a request shard to the shard's owner.
func (s *Service) reportShard(shard model.Shard) {
	for _, id := range sortedKeys(s.tasks) {
		if model.ShardOfTask(id) == shard {
			s.reportState(s.stateOf(s.tasks[id]))
		}
	}
	for _, id := range sortedKeys(s.finished) {
		if p := s.finished[id]; model.ShardOfTask(id) == shard {
			s.reportState(wire.TaskState{Task: id, Phase: wire.PhaseFinished, Worker: p.worker, Outcome: p.outcome})
		}
	}
}

// sortedKeys returns a map's keys in ascending order, so that the same events always
// produce the same actions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// OnPeerDown notes that a peer may have missed task states.
func (s *Service) OnPeerDown(peer wire.InstanceRef) { s.missedStates[peer.Instance] = true }

// reportMissed sends a peer that is reachable again the state of every task whose
// request it coordinates.
func (s *Service) reportMissed(peer wire.InstanceRef) {
	if !s.missedStates[peer.Instance] {
		return
	}
	delete(s.missedStates, peer.Instance)
	for shard := range model.Shard(model.Shards) {
		if shardOwner, ok := s.ownership.Owner(shard); ok && shardOwner.Owner == peer {
			s.reportShard(shard)
		}
	}
}

func (s *Service) stateOf(t *task) wire.TaskState {
	return wire.TaskState{
		Task: t.spec.ID, Term: t.term, Attempt: t.attempt, Phase: t.phase, Worker: t.worker,
	}
}

// reportState sends a task's state to the owner of its request shard.
func (s *Service) reportState(st wire.TaskState) {
	shardOwner, ok := s.ownership.Owner(model.ShardOfTask(st.Task))
	if !ok {
		return
	}
	if shardOwner.Owner == s.env.SelfRef() {
		s.coordinator.OnTaskState(s.env.SelfRef(), st)
		return
	}
	s.env.Send(shardOwner.Owner.Instance, st)
}

// Running returns how many tasks of a team are running or starting on the workers
// held here.
func (s *Service) Running(team model.TeamID) int64 { return s.running[team] }

// Usage returns the resources that a team's tasks use on the workers held here.
func (s *Service) Usage(team model.TeamID) model.Resources { return s.usage[team] }

// Teams returns the teams with running or starting tasks here, sorted.
func (s *Service) Teams() []model.TeamID {
	teams := make([]model.TeamID, 0, len(s.running))
	for t, n := range s.running {
		if n > 0 {
			teams = append(teams, t)
		}
	}
	slices.Sort(teams)
	return teams
}

// Free returns the sum of the free resources of the workers leased to this instance,
// without workers that are leaving.
func (s *Service) Free() model.Resources {
	var free model.Resources
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.leased(s.env.Now()) && !w.info.Leaving {
			free = free.Add(w.info.Capacity.Sub(w.used))
		}
	}
	return free
}

// ListedWorkers returns every listed worker, including those held by other instances.
func (s *Service) ListedWorkers() map[model.WorkerID]model.Worker { return s.listed }

// HeldWorkers returns the workers whose shards this instance owns, sorted.
func (s *Service) HeldWorkers() []model.WorkerID { return s.workerIDs }
