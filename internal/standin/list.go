package standin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// ListCore is the state machine of the instance list. Its view lags behind the
// changes. It does no I/O, takes the time as an argument and is not safe for
// concurrent use.
type ListCore struct {
	lag       time.Duration
	pending   []listChange
	version   uint64
	instances map[model.InstanceID]platform.Instance
	workers   map[model.WorkerID]model.Worker
}

// listChange takes effect in the view at visible.
type listChange struct {
	visible time.Time
	apply   func(*ListCore)
}

// NewListCore returns an empty list whose view lags by lag.
func NewListCore(lag time.Duration) *ListCore {
	return &ListCore{
		lag:       lag,
		instances: map[model.InstanceID]platform.Instance{},
		workers:   map[model.WorkerID]model.Worker{},
	}
}

// SetLag sets the lag of the changes that follow. They never overtake earlier ones.
func (c *ListCore) SetLag(lag time.Duration) { c.lag = lag }

// PutInstance adds or replaces an instance.
func (c *ListCore) PutInstance(now time.Time, i platform.Instance) {
	c.change(now, func(c *ListCore) { c.instances[i.ID] = i })
}

// RemoveInstance removes an instance.
func (c *ListCore) RemoveInstance(now time.Time, id model.InstanceID) {
	c.change(now, func(c *ListCore) { delete(c.instances, id) })
}

// MarkInstanceLeaving marks an instance as leaving.
func (c *ListCore) MarkInstanceLeaving(now time.Time, id model.InstanceID) {
	c.change(now, func(c *ListCore) {
		if i, ok := c.instances[id]; ok {
			i.Leaving = true
			c.instances[id] = i
		}
	})
}

// PutWorker adds or replaces a worker.
func (c *ListCore) PutWorker(now time.Time, w model.Worker) {
	c.change(now, func(c *ListCore) { c.workers[w.ID] = w })
}

// RemoveWorker removes a worker.
func (c *ListCore) RemoveWorker(now time.Time, id model.WorkerID) {
	c.change(now, func(c *ListCore) { delete(c.workers, id) })
}

// MarkWorkerLeaving marks a worker as leaving.
func (c *ListCore) MarkWorkerLeaving(now time.Time, id model.WorkerID) {
	c.change(now, func(c *ListCore) {
		if w, ok := c.workers[id]; ok {
			w.Leaving = true
			c.workers[id] = w
		}
	})
}

// List returns the view at now, in order of the ids.
func (c *ListCore) List(now time.Time) platform.Listing {
	c.advance(now)
	return platform.Listing{
		Version: c.version,
		Instances: slices.SortedFunc(maps.Values(c.instances), func(a, b platform.Instance) int {
			return cmp.Compare(a.ID, b.ID)
		}),
		Workers: slices.SortedFunc(maps.Values(c.workers), func(a, b model.Worker) int {
			return cmp.Compare(a.ID, b.ID)
		}),
	}
}

func (c *ListCore) change(now time.Time, apply func(*ListCore)) {
	visible := now.Add(c.lag)
	if n := len(c.pending); n > 0 && c.pending[n-1].visible.After(visible) {
		visible = c.pending[n-1].visible
	}
	c.pending = append(c.pending, listChange{visible: visible, apply: apply})
}

func (c *ListCore) advance(now time.Time) {
	for len(c.pending) > 0 && !c.pending[0].visible.After(now) {
		c.pending[0].apply(c)
		c.pending = c.pending[1:]
		c.version++
	}
}
