// Package failures keeps a job's tasks away from workers on which its tasks failed
// recently.
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
	// avoidWindow is the time after a failure during which the worker is avoided.
	avoidWindow = 5 * time.Minute
	// maxRecords is the maximum number of recorded failures.
	maxRecords = 65536
)

// failureKey identifies a job and a worker on which it failed.
type failureKey struct {
	team   model.TeamID
	job    model.JobID
	worker model.WorkerID
}

// Filter avoids workers on which the same job failed.
type Filter struct {
	last  map[failureKey]time.Duration // time of the last failure
	order []failureKey                 // in the order of the first failure
}

// New returns a filter without failures.
func New() *Filter { return &Filter{last: make(map[failureKey]time.Duration)} }

// Name implements plugin.Filter.
func (*Filter) Name() string { return Name }

// Record records that a task failed on a worker.
func (f *Filter) Record(now time.Duration, t *model.Task, worker model.WorkerID) {
	key := failureKey{t.Team, t.Job, worker}
	if _, ok := f.last[key]; !ok {
		f.order = append(f.order, key)
	}
	f.last[key] = now
	f.forget(now)
}

// forget deletes the records with the earliest first failure, as long as they have
// expired or there are more than maxRecords.
func (f *Filter) forget(now time.Duration) {
	for len(f.order) > 0 {
		oldest := f.order[0]
		if len(f.order) <= maxRecords && now-f.last[oldest] < avoidWindow {
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
	at, ok := f.last[failureKey{t.Team, t.Job, n.Worker.ID}]
	if !ok || s.Now-at >= avoidWindow {
		return plugin.Status{}
	}
	return plugin.Status{Code: plugin.Avoid, Plugin: Name, Reason: "the job failed there"}
}
