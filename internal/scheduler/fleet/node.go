package fleet

import (
	"time"

	"pollenbend/internal/model"
)

// Reason is a bit set of reasons that restrict or prevent new work on a worker.
type Reason uint8

// Reasons that restrict new work. All but ReasonProbation make a worker unschedulable.
const (
	ReasonLeaving Reason = 1 << iota
	ReasonNoLease        // this instance doesn't hold the worker's lease
	ReasonQuarantined
	ReasonProbation // the worker takes one task at a time until enough of them succeed
)

// unschedulableReasons are the reasons that keep a worker out of the index.
const unschedulableReasons = ReasonLeaving | ReasonNoLease | ReasonQuarantined

var reasonNames = [...]string{"leaving", "no lease", "quarantined", "probation"}

// String returns the reasons, separated by commas.
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
	Since     time.Duration // time on the caller's clock at which it was assumed, or confirmed to run
	Confirmed bool          // the worker has reported that the task runs
	Stopping  bool          // a stop was sent; the resources are still committed

	pos int // index in Node.allocs
}

// Node is the scheduler's state of one worker.
type Node struct {
	Worker model.Worker

	used     model.Resources
	reasons  Reason
	allocs   []*Allocation
	class    *WorkerClass
	cellAt   cellAddress // its cell, when indexed
	cellPos  int         // index in its cell.nodes
	ordinal  int         // index in Fleet.nodes
	indexed  bool
	removed  bool
	rackKey  string          // zone and rack
	stopping model.Resources // part of used: tasks marked as stopping
	held     model.Resources // reserved by holds
	classPos int             // index in class.members
}

// Used returns the resources committed on the worker.
func (n *Node) Used() model.Resources { return n.used }

// Free returns the capacity that is not committed. A dimension is negative when
// the worker's capacity was lowered below what it runs.
func (n *Node) Free() model.Resources { return n.Worker.Capacity.Sub(n.used) }

// Available returns the capacity that is neither committed nor reserved by holds.
func (n *Node) Available() model.Resources { return n.Free().Sub(n.held) }

// Stopping returns the part of Used that belongs to tasks marked as stopping.
func (n *Node) Stopping() model.Resources { return n.stopping }

// Reasons returns the reasons that restrict new work on the worker.
func (n *Node) Reasons() Reason { return n.reasons }

// Schedulable reports whether the worker may take new work.
func (n *Node) Schedulable() bool { return n.reasons&unschedulableReasons == 0 && !n.removed }

// Allocations returns the tasks committed to the worker. The slice belongs to
// the node and changes with it.
func (n *Node) Allocations() []*Allocation { return n.allocs }

// Rack returns the worker's rack, qualified by its zone.
func (n *Node) Rack() string { return n.rackKey }

// Zone returns the worker's availability zone.
func (n *Node) Zone() string { return n.Worker.Location.Zone }

// Domain returns the worker's topology domain for a task's SpreadBy, "rack" or
// "zone", and "" for any other value.
func (n *Node) Domain(by string) string {
	switch by {
	case "rack":
		return n.rackKey
	case "zone":
		return n.Worker.Location.Zone
	}
	return ""
}

// AcceleratorReserve returns the processors and memory reserved for the worker's
// free accelerators, in proportion to their number.
func (n *Node) AcceleratorReserve() model.Resources {
	capacity := n.Worker.Capacity
	if capacity.Accelerators == 0 {
		return model.Resources{}
	}
	free := capacity.Accelerators - n.used.Accelerators
	return model.Resources{
		MilliCPU:  capacity.MilliCPU * free / capacity.Accelerators,
		MemoryMiB: capacity.MemoryMiB * free / capacity.Accelerators,
	}
}

// probationAllows reports whether the worker isn't on probation or runs no task.
func (n *Node) probationAllows() bool {
	return n.reasons&ReasonProbation == 0 || len(n.allocs) == 0
}

// AvailableFor returns the available capacity for a task with the given demand. A
// task that needs no accelerator can't use what is reserved for the free ones,
// unless dedicated says that only workers with accelerators could ever take it.
func (n *Node) AvailableFor(demand model.Resources, dedicated bool) model.Resources {
	free := n.Available()
	if demand.Accelerators > 0 || dedicated || n.Worker.Capacity.Accelerators == 0 {
		return free
	}
	return free.Sub(n.AcceleratorReserve())
}
