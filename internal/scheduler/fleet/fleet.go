package fleet

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

// Errors that methods of Fleet return.
var (
	ErrUnknownWorker        = errors.New("unknown worker")
	ErrUnknownTask          = errors.New("unknown task")
	ErrDuplicateTask        = errors.New("task is already committed")
	ErrInsufficientCapacity = errors.New("worker has insufficient free capacity")
	ErrUnschedulable        = errors.New("worker is unschedulable")
)

// Fleet keeps the workers and the tasks committed to them.
type Fleet struct {
	nodes    []*Node
	byID     map[model.WorkerID]*Node
	tasks    map[model.TaskID]*Allocation
	capacity model.Resources // of schedulable workers
	used     model.Resources // on all workers
	largest  model.Resources // maximum capacity seen in each dimension

	classes    []*WorkerClass
	classByKey map[string]*WorkerClass
	labels     []string              // names of the indexed labels; the workers of a class have the same values of them
	unindexed  []string              // labels removed from the index because of too many classes
	selections map[uint64]*Selection // by hash of the selector
	pool       cellPool

	freed         freedWorkers
	spread        map[spreadKey]*Spread
	workersByRack map[string]int // number of workers
	workersByZone map[string]int // number of workers
	journal       []journalEntry
	inTransaction bool
	holds         map[model.TaskID]Hold
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		byID:          make(map[model.WorkerID]*Node),
		tasks:         make(map[model.TaskID]*Allocation),
		classByKey:    make(map[string]*WorkerClass),
		selections:    make(map[uint64]*Selection),
		spread:        make(map[spreadKey]*Spread),
		workersByRack: make(map[string]int),
		workersByZone: make(map[string]int),
		holds:         make(map[model.TaskID]Hold),
	}
}

// Node returns a worker, or nil if it is unknown.
func (f *Fleet) Node(id model.WorkerID) *Node { return f.byID[id] }

// Nodes returns all workers. The slice belongs to the fleet and changes with it.
func (f *Fleet) Nodes() []*Node { return f.nodes }

// Allocation returns a task's allocation, or nil if the task isn't committed.
func (f *Fleet) Allocation(id model.TaskID) *Allocation { return f.tasks[id] }

// Tasks returns the number of committed tasks.
func (f *Fleet) Tasks() int { return len(f.tasks) }

// Capacity returns the total capacity of schedulable workers.
func (f *Fleet) Capacity() model.Resources { return f.capacity }

// Used returns the resources committed on all workers.
func (f *Fleet) Used() model.Resources { return f.used }

// Largest returns the maximum worker capacity ever seen in each dimension.
func (f *Fleet) Largest() model.Resources { return f.largest }

// Upsert adds a worker or replaces its description. Its allocations stay.
func (f *Fleet) Upsert(w model.Worker) *Node {
	n := f.byID[w.ID]
	if n == nil {
		n = &Node{ordinal: len(f.nodes)}
		f.nodes = append(f.nodes, n)
		f.byID[w.ID] = n
	} else {
		f.detach(n)
	}
	n.Worker = w
	n.rackKey = w.Location.Zone + "/" + w.Location.Rack
	n.reasons &^= ReasonLeaving
	if w.Leaving {
		n.reasons |= ReasonLeaving
	}
	f.largest = maxOf(f.largest, w.Capacity)
	f.attach(n)
	f.boundClasses()
	return n
}

// Remove removes a worker with its holds and allocations, and returns the
// allocations.
func (f *Fleet) Remove(id model.WorkerID) []*Allocation {
	n := f.byID[id]
	if n == nil {
		return nil
	}
	lost := slices.Clone(n.allocs)
	for len(n.allocs) > 0 {
		f.release(n.allocs[len(n.allocs)-1])
	}
	f.dropHolds(func(h Hold) bool { return h.Node == n })
	f.detach(n)
	n.removed = true
	last := f.nodes[len(f.nodes)-1]
	f.nodes[n.ordinal] = last
	last.ordinal = n.ordinal
	f.nodes[len(f.nodes)-1] = nil
	f.nodes = f.nodes[:len(f.nodes)-1]
	delete(f.byID, id)
	return lost
}

// SetReasons adds reasons that restrict new work on a worker, or removes them if on is
// false.
func (f *Fleet) SetReasons(id model.WorkerID, reason Reason, on bool) error {
	n := f.byID[id]
	if n == nil {
		return ErrUnknownWorker
	}
	f.detach(n)
	n.reasons &^= reason
	if on {
		n.reasons |= reason
	}
	f.attach(n)
	return nil
}

// attach adds a worker to its class and the rack and zone counts, and, if it is
// schedulable, to the index and the total capacity.
func (f *Fleet) attach(n *Node) {
	n.class = f.classOf(n)
	n.class.addMember(n)
	f.workersByRack[n.rackKey]++
	f.workersByZone[n.Zone()]++
	if !n.Schedulable() {
		return
	}
	f.capacity = f.capacity.Add(n.Worker.Capacity)
	n.class.insert(n, cellAddressOf(n.Available()))
	f.freed.add(n)
}

// detach undoes attach.
func (f *Fleet) detach(n *Node) {
	n.class.removeMember(n)
	adjustCount(f.workersByRack, n.rackKey, -1)
	adjustCount(f.workersByZone, n.Zone(), -1)
	if n.indexed {
		f.capacity = f.capacity.Sub(n.Worker.Capacity)
		n.class.delete(n)
	}
	f.removeEmptyClass(n.class)
}

// reindex moves a worker to the cell of its available capacity.
func (f *Fleet) reindex(n *Node) {
	if !n.indexed {
		return
	}
	at := cellAddressOf(n.Available())
	if at == n.cellAt {
		return
	}
	n.class.delete(n)
	n.class.insert(n, at)
}

// Assume commits a task to a worker before the worker has confirmed it. It rechecks
// the worker's state and available capacity, because they may have changed since
// the decision. On success the task's own hold is consumed.
func (f *Fleet) Assume(now time.Duration, t *model.Task, id model.WorkerID) error {
	n := f.byID[id]
	if n == nil {
		return ErrUnknownWorker
	}
	if f.tasks[t.ID] != nil {
		return ErrDuplicateTask
	}
	if !n.Schedulable() {
		return ErrUnschedulable
	}
	own, held := f.Unhold(t.ID)
	if !t.Demand.Fits(n.Available()) {
		if held {
			f.addHold(own)
		}
		return ErrInsufficientCapacity
	}
	f.commit(&Allocation{Task: t, Node: n, Since: now})
	return nil
}

// Adopt commits a task that a worker reports as running. The worker's report is
// authoritative, so capacity isn't checked: an overcommitted worker gets no new
// work until enough of its tasks end.
func (f *Fleet) Adopt(now time.Duration, t *model.Task, id model.WorkerID) error {
	n := f.byID[id]
	if n == nil {
		return ErrUnknownWorker
	}
	if f.tasks[t.ID] != nil {
		return ErrDuplicateTask
	}
	f.commit(&Allocation{Task: t, Node: n, Since: now, Confirmed: true})
	return nil
}

// Confirm records that a worker runs an assumed task.
func (f *Fleet) Confirm(now time.Duration, id model.TaskID) error {
	a := f.tasks[id]
	if a == nil {
		return ErrUnknownTask
	}
	a.Confirmed = true
	a.Since = now
	return nil
}

// MarkStopping records that a stop was sent for a task. The task stays committed
// until it is released.
func (f *Fleet) MarkStopping(id model.TaskID) error {
	a := f.tasks[id]
	if a == nil {
		return ErrUnknownTask
	}
	if !a.Stopping {
		a.Stopping = true
		a.Node.stopping = a.Node.stopping.Add(a.Task.Demand)
	}
	return nil
}

// Release ends a task's commitment, whether it was confirmed or not, and returns
// its allocation, or nil if there was none.
func (f *Fleet) Release(id model.TaskID) *Allocation {
	a := f.tasks[id]
	if a == nil {
		return nil
	}
	f.release(a)
	return a
}

// commit adds an allocation to its worker, the totals, the index and, during a
// transaction, the journal.
func (f *Fleet) commit(a *Allocation) {
	n := a.Node
	a.pos = len(n.allocs)
	n.allocs = append(n.allocs, a)
	n.used = n.used.Add(a.Task.Demand)
	f.used = f.used.Add(a.Task.Demand)
	f.tasks[a.Task.ID] = a
	f.countSpread(a, 1)
	f.reindex(n)
	if a.Task.Demand.Accelerators > 0 {
		f.freed.add(n) // the accelerators' reserve shrinks, so other tasks may fit now
	}
	f.journalAllocation(a)
}

// release undoes commit, except for the entry in the journal.
func (f *Fleet) release(a *Allocation) {
	n := a.Node
	last := len(n.allocs) - 1
	n.allocs[a.pos] = n.allocs[last]
	n.allocs[a.pos].pos = a.pos
	n.allocs[last] = nil
	n.allocs = n.allocs[:last]
	n.used = n.used.Sub(a.Task.Demand)
	f.used = f.used.Sub(a.Task.Demand)
	if a.Stopping {
		n.stopping = n.stopping.Sub(a.Task.Demand)
	}
	delete(f.tasks, a.Task.ID)
	f.countSpread(a, -1)
	f.reindex(n)
	if n.indexed {
		f.freed.add(n)
	}
}

// maxOf returns the maximum of a and b in each dimension.
func maxOf(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Slots:        max(a.Slots, b.Slots),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
