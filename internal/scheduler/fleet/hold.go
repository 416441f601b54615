package fleet

import (
	"slices"
	"time"

	"pollenbend/internal/model"
)

// Hold keeps room on a worker for one task until it is assumed there or the hold
// expires. The room may be still in use when the hold is made.
type Hold struct {
	Task    model.TaskID
	Node    *Node
	Demand  model.Resources
	Expires time.Duration
}

// Hold keeps room for a task on a worker. An earlier hold of the task is dropped.
func (f *Fleet) Hold(t *model.Task, id model.WorkerID, expires time.Duration) error {
	n := f.byID[id]
	if n == nil {
		return ErrUnknownWorker
	}
	f.Unhold(t.ID)
	f.restore(Hold{Task: t.ID, Node: n, Demand: t.Demand, Expires: expires})
	return nil
}

// HoldOf returns a task's hold.
func (f *Fleet) HoldOf(id model.TaskID) (Hold, bool) {
	h, ok := f.holds[id]
	return h, ok
}

// Holds returns the number of holds.
func (f *Fleet) Holds() int { return len(f.holds) }

// Unhold drops a task's hold, if it has one, and returns it.
func (f *Fleet) Unhold(id model.TaskID) (Hold, bool) {
	h, ok := f.holds[id]
	if !ok {
		return Hold{}, false
	}
	delete(f.holds, id)
	f.addHeld(h.Node, model.Resources{}.Sub(h.Demand))
	return h, true
}

// restore adds a hold.
func (f *Fleet) restore(h Hold) {
	f.holds[h.Task] = h
	f.addHeld(h.Node, h.Demand)
}

// HoldsOn returns the tasks that hold room on a worker, sorted.
func (f *Fleet) HoldsOn(n *Node) []model.TaskID {
	if n.held.IsZero() {
		return nil
	}
	return f.findHolds(func(h Hold) bool { return h.Node == n })
}

// ExpireHolds drops the holds whose time is over and returns their tasks, sorted.
func (f *Fleet) ExpireHolds(now time.Duration) []model.TaskID {
	return f.dropHolds(func(h Hold) bool { return h.Expires <= now })
}

// dropHolds drops the holds that match, in the order of their tasks' names so
// that the index is the same in any run.
func (f *Fleet) dropHolds(match func(Hold) bool) []model.TaskID {
	found := f.findHolds(match)
	for _, id := range found {
		f.Unhold(id)
	}
	return found
}

func (f *Fleet) findHolds(match func(Hold) bool) []model.TaskID {
	var found []model.TaskID
	for id, h := range f.holds {
		if match(h) {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found
}

// WithoutHold calls do as if the task had no hold, and gives do the worker it
// held, or nil.
func (f *Fleet) WithoutHold(id model.TaskID, do func(held *Node)) {
	h, ok := f.Unhold(id)
	if !ok {
		do(nil)
		return
	}
	do(h.Node)
	f.restore(h)
}

func (f *Fleet) addHeld(n *Node, delta model.Resources) {
	n.held = n.held.Add(delta)
	f.reindex(n)
	if n.indexed {
		f.freed.add(n)
	}
}
