package fleet

import (
	"slices"
	"time"

	"pollenbend/internal/model"
)

// Hold is a reservation of capacity on a worker for one task. It lasts until the
// task is assumed there or the hold expires. The capacity may still be in use when
// the hold is made.
type Hold struct {
	Task    model.TaskID
	Node    *Node
	Demand  model.Resources
	Expires time.Duration // time on the caller's clock
}

// Hold reserves a task's demand on a worker and replaces an earlier hold of the task.
func (f *Fleet) Hold(t *model.Task, id model.WorkerID, expires time.Duration) error {
	n := f.byID[id]
	if n == nil {
		return ErrUnknownWorker
	}
	f.Unhold(t.ID)
	f.addHold(Hold{Task: t.ID, Node: n, Demand: t.Demand, Expires: expires})
	return nil
}

// HoldOf returns a task's hold and whether it has one.
func (f *Fleet) HoldOf(id model.TaskID) (Hold, bool) {
	h, ok := f.holds[id]
	return h, ok
}

// Holds returns the number of holds.
func (f *Fleet) Holds() int { return len(f.holds) }

// Unhold cancels a task's hold and returns it, or returns false if it has none.
func (f *Fleet) Unhold(id model.TaskID) (Hold, bool) {
	h, ok := f.holds[id]
	if !ok {
		return Hold{}, false
	}
	delete(f.holds, id)
	f.adjustHeld(h.Node, model.Resources{}.Sub(h.Demand))
	return h, true
}

// addHold adds a hold of a task that has none.
func (f *Fleet) addHold(h Hold) {
	f.holds[h.Task] = h
	f.adjustHeld(h.Node, h.Demand)
}

// HoldsOn returns the tasks with a hold on a worker, sorted.
func (f *Fleet) HoldsOn(n *Node) []model.TaskID {
	if n.held.IsZero() {
		return nil
	}
	return f.findHolds(func(h Hold) bool { return h.Node == n })
}

// ExpireHolds cancels the expired holds and returns their tasks, sorted.
func (f *Fleet) ExpireHolds(now time.Duration) []model.TaskID {
	return f.dropHolds(func(h Hold) bool { return h.Expires <= now })
}

// dropHolds cancels the holds that match and returns their tasks, sorted. It
// cancels them in that order so that the index is the same in every run.
func (f *Fleet) dropHolds(match func(Hold) bool) []model.TaskID {
	found := f.findHolds(match)
	for _, id := range found {
		f.Unhold(id)
	}
	return found
}

// findHolds returns the tasks of the holds that match, sorted.
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

// WithoutHold calls do while the task's hold, if any, is lifted, and passes it the
// worker of the hold, or nil.
func (f *Fleet) WithoutHold(id model.TaskID, do func(held *Node)) {
	h, ok := f.Unhold(id)
	if !ok {
		do(nil)
		return
	}
	do(h.Node)
	f.addHold(h)
}

// adjustHeld adds delta to the capacity reserved on a worker.
func (f *Fleet) adjustHeld(n *Node, delta model.Resources) {
	n.held = n.held.Add(delta)
	f.reindex(n)
	if n.indexed {
		f.freed.add(n)
	}
}
