// Package ledger holds the workers that fall to this instance: their leases, what
// runs on them, and the commit point that rechecks every start against what the
// worker has.
//
// The worker is the source of truth. A holder that gains a worker rebuilds its
// state from the worker's full report before it starts anything there.
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

// Ownership is what the ledger needs of the ownership service.
type Ownership interface {
	Mine(model.Shard) (term uint64, ok bool)
	Owner(model.Shard) (ownership.Slot, bool)
}

// Coordinator receives what becomes of tasks whose request shard this instance
// owns.
type Coordinator interface {
	OnTaskState(from wire.Owner, st wire.TaskState)
}

// Limits says whether one more task of a team may start here.
type Limits interface {
	MayStart(model.TeamID) bool
	// Room returns how many of the wanted tasks of a team may start here.
	Room(team model.TeamID, wanted int64) int64
	// Shed tells that a task of the team runs on where it can't be seen from here.
	Shed(model.TeamID)
}

// Service is the ledger.
type Service struct {
	env         *event.Env
	ownership   Ownership
	coordinator Coordinator
	limits      Limits
	place       placement

	listed  map[model.WorkerID]model.Worker
	workers map[model.WorkerID]*worker
	order   []model.WorkerID // keys of workers, sorted
	tasks   map[model.TaskID]*task
	past    map[model.TaskID]pastTask
	fences  map[model.TaskID]fence
	seen    [model.Shards]uint64 // highest term seen per request shard
	latest  map[model.TaskID]int // highest run seen, by task without run
	running map[model.TeamID]int64
	usage   map[model.TeamID]model.Resources

	freshness freshness
	forgetAt  time.Duration // of the next look for what is past its retention
	coverage  wire.Coverage
	missed    map[model.InstanceID]bool // instances that may have missed task states
}

type task struct {
	spec   model.Task
	worker model.WorkerID
	phase  wire.TaskPhase
	seq    uint64 // of the start command
	// incarnation of the worker that the start was sent to, 0 for a task that a
	// report told of.
	incarnation model.Incarnation
	term        uint64
	attempt     uint32
}

type pastTask struct {
	outcome model.Outcome
	worker  model.WorkerID
	at      time.Duration
}

// fence refuses dispatches at or below (term, attempt).
type fence struct {
	term    uint64
	attempt uint32
	at      time.Duration
}

// New returns the ledger.
func New(env *event.Env) *Service {
	return &Service{
		env:       env,
		freshness: newFreshness(),
		place:     newPlacement(uint64(env.Self.Incarnation), env.Self.Location),
		listed:    make(map[model.WorkerID]model.Worker),
		workers:   make(map[model.WorkerID]*worker),
		tasks:     make(map[model.TaskID]*task),
		past:      make(map[model.TaskID]pastTask),
		latest:    make(map[model.TaskID]int),
		fences:    make(map[model.TaskID]fence),
		running:   make(map[model.TeamID]int64),
		missed:    make(map[model.InstanceID]bool),
		usage:     make(map[model.TeamID]model.Resources),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Ledger }

// Bind finds the services that this one works with.
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

// OnListing takes over the listed workers and drops those that are gone: a worker
// that was listed and no longer is has ended, and its tasks with it.
func (s *Service) OnListing(l platform.Listing) {
	s.freshness.note(s.env.Now())
	s.freshness.listings++
	listed := make(map[model.WorkerID]model.Worker, len(l.Workers))
	for _, w := range l.Workers {
		listed[w.ID] = w
	}
	s.listed = listed
	for _, id := range slices.Clone(s.order) {
		if _, ok := listed[id]; !ok {
			s.loseWorker(s.workers[id], "worker left the instance list")
		}
	}
	for _, w := range l.Workers {
		s.adopt(w)
	}
}

// adopt starts to hold a worker when its shard is owned here.
func (s *Service) adopt(info model.Worker) {
	term, ok := s.ownership.Mine(model.ShardOfWorker(info.ID))
	if !ok {
		return
	}
	w, held := s.workers[info.ID]
	if !held {
		w = &worker{info: info}
		s.workers[info.ID] = w
		i, _ := slices.BinarySearch(s.order, info.ID)
		s.order = slices.Insert(s.order, i, info.ID)
	}
	if w.term != term {
		w.term = term
		w.leaseLost()
	}
	w.info = info
	s.place.scheduler.Fleet.Upsert(info)
	s.place.setLease(info.ID, w.leased(s.env.Now()))
}

// loseWorker forgets a worker that has ended. Its tasks are told as stopped.
func (s *Service) loseWorker(w *worker, reason string) {
	for _, t := range s.tasksOn(w.info.ID) {
		s.finish(t, model.Outcome{Task: t.spec.ID, Failed: true, Stopped: true, Message: reason})
	}
	s.drop(w)
}

// drop forgets a worker without saying anything about its tasks: they may run on.
func (s *Service) drop(w *worker) {
	for _, id := range sortedKeys(s.place.pending) {
		if p := s.place.pending[id]; p.worker == w.info.ID {
			s.dropPending(p, ReasonRoom)
		}
	}
	for _, t := range s.tasksOn(w.info.ID) {
		s.limits.Shed(t.spec.Team)
		s.forget(t)
	}
	s.place.scheduler.Fleet.Remove(w.info.ID)
	s.place.keeper.Forget(w.info.ID)
	delete(s.workers, w.info.ID)
	if i, ok := slices.BinarySearch(s.order, w.info.ID); ok {
		s.order = slices.Delete(s.order, i, i+1)
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

// OnShardMoved adopts or lets go the workers of a shard, and tells the new owner
// of a request shard about its tasks here.
func (s *Service) OnShardMoved(m service.ShardMove) {
	s.seen[m.Shard] = max(s.seen[m.Shard], m.Term)
	if m.After == s.env.Owner() {
		for _, id := range sortedKeys(s.listed) {
			if model.ShardOfWorker(id) == m.Shard {
				s.adopt(s.listed[id])
			}
		}
	} else if m.Before == s.env.Owner() {
		for _, id := range slices.Clone(s.order) {
			if model.ShardOfWorker(id) == m.Shard {
				s.release(s.workers[id])
			}
		}
	}
	s.tellOwner(m.Shard)
}

// release gives a worker's lease up, so that the next holder need not wait for it
// to lapse.
func (s *Service) release(w *worker) {
	if w.leased(s.env.Now()) {
		s.env.Emit(event.Renew{Worker: w.info, Request: platform.RenewRequest{Lease: s.leaseRef(w), Release: true}})
	}
	s.drop(w)
}

// tellOwner sends the state of every task of a request shard to its owner.
func (s *Service) tellOwner(shard model.Shard) {
	for _, id := range sortedKeys(s.tasks) {
		if model.ShardOfTask(id) == shard {
			s.tell(s.stateOf(s.tasks[id]))
		}
	}
	for _, id := range sortedKeys(s.past) {
		if p := s.past[id]; model.ShardOfTask(id) == shard {
			s.tell(wire.TaskState{Task: id, Phase: wire.PhaseFinished, Worker: p.worker, Outcome: p.outcome})
		}
	}
}

// sortedKeys returns a map's keys in order, so that the same events always give
// the same actions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// OnPeerDown notes that a peer may have missed task states.
func (s *Service) OnPeerDown(peer wire.Owner) { s.missed[peer.Instance] = true }

// retell sends a peer that is heard again the state of every task whose request
// it coordinates.
func (s *Service) retell(peer wire.Owner) {
	if !s.missed[peer.Instance] {
		return
	}
	delete(s.missed, peer.Instance)
	for shard := range model.Shard(model.Shards) {
		if slot, ok := s.ownership.Owner(shard); ok && slot.Owner == peer {
			s.tellOwner(shard)
		}
	}
}

func (s *Service) stateOf(t *task) wire.TaskState {
	return wire.TaskState{
		Task: t.spec.ID, Term: t.term, Attempt: t.attempt, Phase: t.phase, Worker: t.worker,
	}
}

// tell passes a task's state to the owner of its request shard.
func (s *Service) tell(st wire.TaskState) {
	slot, ok := s.ownership.Owner(model.ShardOfTask(st.Task))
	if !ok {
		return
	}
	if slot.Owner == s.env.Owner() {
		s.coordinator.OnTaskState(s.env.Owner(), st)
		return
	}
	s.env.Send(slot.Owner.Instance, st)
}

// Running returns how many tasks of a team run or start here.
func (s *Service) Running(team model.TeamID) int64 { return s.running[team] }

// Usage returns the resources that a team's tasks hold here.
func (s *Service) Usage(team model.TeamID) model.Resources { return s.usage[team] }

// Teams returns the teams with tasks here, sorted.
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

// Free returns what is free on the workers leased here.
func (s *Service) Free() model.Resources {
	var free model.Resources
	for _, id := range s.order {
		w := s.workers[id]
		if w.leased(s.env.Now()) && !w.info.Leaving {
			free = free.Add(w.info.Capacity.Sub(w.used))
		}
	}
	return free
}

// Roster returns every listed worker.
func (s *Service) Roster() map[model.WorkerID]model.Worker { return s.listed }

// Holding returns the workers whose shards this instance owns, sorted.
func (s *Service) Holding() []model.WorkerID { return s.order }
