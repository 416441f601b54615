package ledger

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
)

// BestFit places each task on the feasible worker that is left with the fewest
// free slots. It scans all workers: it is the baseline for small fleets.
type BestFit struct {
	nodes map[model.WorkerID]*fitNode
	order []model.WorkerID
	where map[model.TaskID]placed
}

type fitNode struct {
	info        model.Worker
	used        model.Resources
	schedulable bool
}

type placed struct {
	worker model.WorkerID
	demand model.Resources
}

// NewBestFit returns an empty BestFit.
func NewBestFit() *BestFit {
	return &BestFit{nodes: make(map[model.WorkerID]*fitNode), where: make(map[model.TaskID]placed)}
}

// Upsert implements Placer.
func (b *BestFit) Upsert(w model.Worker) {
	if n, ok := b.nodes[w.ID]; ok {
		n.info = w
		return
	}
	b.nodes[w.ID] = &fitNode{info: w}
	i, _ := slices.BinarySearch(b.order, w.ID)
	b.order = slices.Insert(b.order, i, w.ID)
}

// Remove implements Placer.
func (b *BestFit) Remove(id model.WorkerID) {
	delete(b.nodes, id)
	if i, ok := slices.BinarySearch(b.order, id); ok {
		b.order = slices.Delete(b.order, i, i+1)
	}
}

// SetSchedulable implements Placer.
func (b *BestFit) SetSchedulable(id model.WorkerID, ok bool) {
	if n, known := b.nodes[id]; known {
		n.schedulable = ok
	}
}

// Place implements Placer.
func (b *BestFit) Place(_ time.Duration, t *model.Task) (model.WorkerID, error) {
	var best model.WorkerID
	var left int64
	for _, id := range b.order {
		n := b.nodes[id]
		free := n.info.Capacity.Sub(n.used)
		if !n.schedulable || !t.Demand.Fits(free) || !t.Require.Matches(n.info.Labels) {
			continue
		}
		if best == "" || free.Slots > left {
			best, left = id, free.Slots
		}
	}
	if best == "" {
		return "", errors.New("no worker fits")
	}
	return best, nil
}

// Commit implements Placer.
func (b *BestFit) Commit(t *model.Task, id model.WorkerID) error {
	n, ok := b.nodes[id]
	if !ok || !t.Demand.Fits(n.info.Capacity.Sub(n.used)) {
		return errors.Newf("task %s does not fit on worker %s", t.ID, id)
	}
	b.Restore(t, id)
	return nil
}

// Restore implements Placer.
func (b *BestFit) Restore(t *model.Task, id model.WorkerID) {
	if n, ok := b.nodes[id]; ok {
		n.used = n.used.Add(t.Demand)
		b.where[t.ID] = placed{worker: id, demand: t.Demand}
	}
}

// Release implements Placer.
func (b *BestFit) Release(id model.TaskID) {
	p, ok := b.where[id]
	if !ok {
		return
	}
	delete(b.where, id)
	if n, known := b.nodes[p.worker]; known {
		n.used = n.used.Sub(p.demand)
	}
}

// Finished implements Placer.
func (b *BestFit) Finished(*model.Task, model.WorkerID, model.Outcome, time.Duration) {}
