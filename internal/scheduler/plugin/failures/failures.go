// Package failures keeps a job's tasks away from workers on which its tasks
// failed a short time ago.
package failures

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

// Name is the plugin's name in statuses.
const Name = "failures"

const (
	// memory is how long a failure counts.
	memory = 5 * time.Minute
	// maxRecords bounds the failures kept.
	maxRecords = 65536
)

type pair struct {
	team   model.TeamID
	job    model.JobID
	worker model.WorkerID
}

// Filter avoids workers on which the same job failed.
type Filter struct {
	last  map[pair]time.Duration
	order []pair
}

// New returns a filter without failures.
func New() *Filter { return &Filter{last: make(map[pair]time.Duration)} }

// Name implements plugin.Filter.
func (*Filter) Name() string { return Name }

// Record notes that a task failed on a worker.
func (f *Filter) Record(now time.Duration, t *model.Task, worker model.WorkerID) {
	key := pair{t.Team, t.Job, worker}
	if _, ok := f.last[key]; !ok {
		f.order = append(f.order, key)
	}
	f.last[key] = now
	f.forget(now)
}

// forget drops the oldest records that no longer count or are too many.
func (f *Filter) forget(now time.Duration) {
	for len(f.order) > 0 {
		oldest := f.order[0]
		if len(f.order) <= maxRecords && now-f.last[oldest] < memory {
			return
		}
		delete(f.last, oldest)
		f.order = f.order[1:]
	}
}

// Filter implements plugin.Filter.
func (f *Filter) Filter(s *plugin.State, t *model.Task, n *fleet.Node) plugin.Status {
	if len(f.last) == 0 {
		return plugin.Status{}
	}
	at, ok := f.last[pair{t.Team, t.Job, n.Worker.ID}]
	if !ok || s.Now-at >= memory {
		return plugin.Status{}
	}
	return plugin.Status{Code: plugin.Avoid, Plugin: Name, Reason: "the job failed there"}
}
