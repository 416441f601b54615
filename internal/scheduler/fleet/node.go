package fleet

import (
	"time"

	"pollenbend/internal/model"
)

// Reason is a set of reasons why a worker takes no new work.
type Reason uint8

// Reasons that make a worker unschedulable.
const (
	ReasonLeaving Reason = 1 << iota
	ReasonNoLease
	ReasonQuarantined
	ReasonProbation // takes one task at a time until it proves itself
)

// blocking is the set of reasons that take a worker out of the index.
const blocking = ReasonLeaving | ReasonNoLease | ReasonQuarantined

var reasonNames = [...]string{"leaving", "no lease", "quarantined", "probation"}

// String lists the reasons.
func (r Reason) String() string {
	out := ""
	for i, name := range reasonNames {
		if r&(1<<i) == 0 {
			continue
		}
		if out != "" {
			out += ", "
		}
		out += name
	}
	return out
}

// Allocation is one task committed to one worker.
type Allocation struct {
	Task      *model.Task
	Node      *Node
	Since     time.Duration // when it was assumed or confirmed to run
	Confirmed bool
	Stopping  bool // a stop was sent; its resources are still committed

	pos int // in Node.allocs
}

// Node is what the scheduler knows of one worker.
type Node struct {
	Worker model.Worker

	used     model.Resources
	reasons  Reason
	allocs   []*Allocation
	class    *Class
	spot     spot
	pos      int // in its cell
	ordinal  int // in Fleet.nodes
	indexed  bool
	removed  bool
	rackKey  string
	stopping model.Resources
	held     model.Resources
	member   int // in Class.members
}

// Used returns what is committed on the worker.
func (n *Node) Used() model.Resources { return n.used }

// Free returns what is not committed. A dimension is negative when the worker's
// capacity was lowered below what it runs.
func (n *Node) Free() model.Resources { return n.Worker.Capacity.Sub(n.used) }

// Available returns what is neither committed nor held for a task.
func (n *Node) Available() model.Resources { return n.Free().Sub(n.held) }

// Stopping returns the part of Used that was told to stop.
func (n *Node) Stopping() model.Resources { return n.stopping }

// Reasons returns why the worker takes no new work.
func (n *Node) Reasons() Reason { return n.reasons }

// Schedulable reports whether the worker may take new work.
func (n *Node) Schedulable() bool { return n.reasons&blocking == 0 && !n.removed }

// Allocations returns the tasks committed to the worker. The slice belongs to
// the node and changes with it.
func (n *Node) Allocations() []*Allocation { return n.allocs }

// Rack returns the worker's rack, qualified by its zone.
func (n *Node) Rack() string { return n.rackKey }

// Zone returns the worker's availability zone.
func (n *Node) Zone() string { return n.Worker.Location.Zone }

// Domain returns the topology domain of the worker for a task's SpreadBy.
func (n *Node) Domain(by string) string {
	switch by {
	case "rack":
		return n.rackKey
	case "zone":
		return n.Worker.Location.Zone
	}
	return ""
}

// Reserved returns the processors and memory that the worker keeps for its free
// accelerators: the part of its capacity that is theirs in proportion.
func (n *Node) Reserved() model.Resources {
	has := n.Worker.Capacity
	if has.Accelerators == 0 {
		return model.Resources{}
	}
	free := has.Accelerators - n.used.Accelerators
	return model.Resources{
		MilliCPU:  has.MilliCPU * free / has.Accelerators,
		MemoryMiB: has.MemoryMiB * free / has.Accelerators,
	}
}

// admits reports whether the worker may take a task besides what it has.
func (n *Node) admits() bool {
	return n.reasons&ReasonProbation == 0 || len(n.allocs) == 0
}

// Room returns what the worker has free for a task with the given demand. Work
// that needs no accelerator can't use what is reserved for them, unless
// dedicated says that its selector allows only workers with accelerators.
func (n *Node) Room(demand model.Resources, dedicated bool) model.Resources {
	free := n.Available()
	if demand.Accelerators > 0 || dedicated || n.Worker.Capacity.Accelerators == 0 {
		return free
	}
	return free.Sub(n.Reserved())
}
