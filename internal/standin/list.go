package standin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// ListCore is the state machine of the instance list. Its listings show changes
// after a lag. It does no I/O, takes the time as an argument and is not safe for
// concurrent use.
type ListCore struct {
	lag       time.Duration
	pending   []listChange
	version   uint64
	instances map[model.InstanceID]platform.Instance
	workers   map[model.WorkerID]model.Worker
}

// listChange is a change that listings show from visibleAt on.
type listChange struct {
	visibleAt time.Time
	apply     func(*ListCore)
}

// NewListCore returns an empty list that shows changes after lag.
func NewListCore(lag time.Duration) *ListCore {
	return &ListCore{
		lag:       lag,
		instances: map[model.InstanceID]platform.Instance{},
		workers:   map[model.WorkerID]model.Worker{},
	}
}

// SetLag sets the lag of later changes. They never become visible before earlier
// ones.
func (c *ListCore) SetLag(lag time.Duration) { c.lag = lag }

// PutInstance adds or replaces an instance.
func (c *ListCore) PutInstance(now time.Time, i platform.Instance) {
	c.addChange(now, func(c *ListCore) { c.instances[i.ID] = i })
}

// RemoveInstance removes an instance.
func (c *ListCore) RemoveInstance(now time.Time, id model.InstanceID) {
	c.addChange(now, func(c *ListCore) { delete(c.instances, id) })
}

// MarkInstanceLeaving marks an instance as leaving.
func (c *ListCore) MarkInstanceLeaving(now time.Time, id model.InstanceID) {
	c.addChange(now, func(c *ListCore) {
		if i, ok := c.instances[id]; ok {
			i.Leaving = true
			c.instances[id] = i
		}
	})
}

// PutWorker adds or replaces a worker.
func (c *ListCore) PutWorker(now time.Time, w model.Worker) {
	c.addChange(now, func(c *ListCore) { c.workers[w.ID] = w })
}

// RemoveWorker removes a worker.
func (c *ListCore) RemoveWorker(now time.Time, id model.WorkerID) {
	c.addChange(now, func(c *ListCore) { delete(c.workers, id) })
}

// MarkWorkerLeaving marks a worker as leaving.
func (c *ListCore) MarkWorkerLeaving(now time.Time, id model.WorkerID) {
	c.addChange(now, func(c *ListCore) {
		if w, ok := c.workers[id]; ok {
			w.Leaving = true
			c.workers[id] = w
		}
	})
}

// List returns the listing at now, sorted by id.
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

func (c *ListCore) addChange(now time.Time, apply func(*ListCore)) {
	visibleAt := now.Add(c.lag)
	if n := len(c.pending); n > 0 && c.pending[n-1].visibleAt.After(visibleAt) {
		visibleAt = c.pending[n-1].visibleAt
	}
	c.pending = append(c.pending, listChange{visibleAt: visibleAt, apply: apply})
}

func (c *ListCore) advance(now time.Time) {
	for len(c.pending) > 0 && !c.pending[0].visibleAt.After(now) {
		c.pending[0].apply(c)
		c.pending = c.pending[1:]
		c.version++
	}
}
