package fleet

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

// Errors of the ledger.
var (
	ErrUnknownWorker = errors.New("unknown worker")
	ErrUnknownTask   = errors.New("unknown task")
	ErrDuplicateTask = errors.New("task is already committed")
	ErrNoRoom        = errors.New("worker has no room")
	ErrUnschedulable = errors.New("worker takes no new work")
)

// Fleet is the ledger of workers and committed tasks.
type Fleet struct {
	nodes    []*Node
	byID     map[model.WorkerID]*Node
	tasks    map[model.TaskID]*Allocation
	capacity model.Resources // of workers that take work
	used     model.Resources // on all workers
	largest  model.Resources // largest capacity seen in each dimension

	classes    []*Class
	byKey      map[string]*Class
	labels     []string // indexed label names
	unindexed  []string // labels with too many values to index
	selections map[uint64]*Selection
	pool       cellPool

	freed   freedRing
	spread  map[spreadKey]*Spread
	racks   map[string]int // workers by rack
	zones   map[string]int // workers by availability zone
	journal []journalEntry
	inTx    bool
	holds   map[model.TaskID]Hold
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		byID:       make(map[model.WorkerID]*Node),
		tasks:      make(map[model.TaskID]*Allocation),
		byKey:      make(map[string]*Class),
		selections: make(map[uint64]*Selection),
		spread:     make(map[spreadKey]*Spread),
		racks:      make(map[string]int),
		zones:      make(map[string]int),
		holds:      make(map[model.TaskID]Hold),
	}
}

// Node returns a worker, or nil when it is not known.
func (f *Fleet) Node(id model.WorkerID) *Node { return f.byID[id] }

// Nodes returns all workers. The slice belongs to the fleet and changes with it.
func (f *Fleet) Nodes() []*Node { return f.nodes }

// Allocation returns where a task is committed, or nil.
func (f *Fleet) Allocation(id model.TaskID) *Allocation { return f.tasks[id] }

// Tasks returns the number of committed tasks.
func (f *Fleet) Tasks() int { return len(f.tasks) }

// Capacity returns the sum of what schedulable workers have.
func (f *Fleet) Capacity() model.Resources { return f.capacity }

// Used returns the sum of what is committed on all workers.
func (f *Fleet) Used() model.Resources { return f.used }

// Largest returns the largest capacity ever seen in each dimension.
func (f *Fleet) Largest() model.Resources { return f.largest }

// Upsert adds a worker or takes over its new description. Its tasks stay.
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

// Remove forgets a worker and the tasks committed to it, and returns these.
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

// SetUnschedulable adds or removes reasons why a worker takes no new work.
func (f *Fleet) SetUnschedulable(id model.WorkerID, reason Reason, on bool) error {
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

// attach puts a worker into its class, the index and the sums.
func (f *Fleet) attach(n *Node) {
	n.class = f.classOf(n)
	n.class.join(n)
	f.racks[n.rackKey]++
	f.zones[n.Zone()]++
	if !n.Schedulable() {
		return
	}
	f.capacity = f.capacity.Add(n.Worker.Capacity)
	n.class.insert(n, spotOf(n.Available()))
	f.freed.add(n)
}

func (f *Fleet) detach(n *Node) {
	n.class.leave(n)
	addCount(f.racks, n.rackKey, -1)
	addCount(f.zones, n.Zone(), -1)
	if n.indexed {
		f.capacity = f.capacity.Sub(n.Worker.Capacity)
		n.class.delete(n)
	}
	f.dropEmpty(n.class)
}

// reindex moves a worker to the cell of its free capacity.
func (f *Fleet) reindex(n *Node) {
	if !n.indexed {
		return
	}
	at := spotOf(n.Available())
	if at == n.spot {
		return
	}
	n.class.delete(n)
	n.class.insert(n, at)
}

// Assume commits a task to a worker before the worker has confirmed it. It
// rechecks the worker's ledger whatever the caller planned. The task's own hold
// is used up.
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
			f.restore(own)
		}
		return ErrNoRoom
	}
	f.commit(&Allocation{Task: t, Node: n, Since: now})
	return nil
}

// Adopt records a task that a worker reports as running. The worker's word is
// the truth, so nothing is checked: a worker that runs more than it has gets no
// new work until enough of it ends.
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

// Confirm notes that a worker runs an assumed task.
func (f *Fleet) Confirm(now time.Duration, id model.TaskID) error {
	a := f.tasks[id]
	if a == nil {
		return ErrUnknownTask
	}
	a.Confirmed = true
	a.Since = now
	return nil
}

// MarkStopping notes that a task was told to stop. It stays committed until it
// is released.
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
// what was committed, or nil.
func (f *Fleet) Release(id model.TaskID) *Allocation {
	a := f.tasks[id]
	if a == nil {
		return nil
	}
	f.release(a)
	return a
}

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
		f.freed.add(n) // what was reserved for the accelerators is free again
	}
	f.record(a)
}

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

func maxOf(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Slots:        max(a.Slots, b.Slots),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
