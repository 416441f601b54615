package scheduler

import (
	"fmt"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/plugin"
)

// feasiblePluginName is the plugin name in statuses of Feasible.
const feasiblePluginName = "feasible"

// Feasible reports whether any worker could run the task if the worker ran no other
// tasks. If not, the status has code Impossible and a reason with counts of workers.
func (s *Scheduler) Feasible(t *model.Task) plugin.Status {
	return s.FeasibleGang(t, 1)
}

// FeasibleGang reports whether the fleet, if it ran no other tasks, could run count
// tasks like t at the same time. Its status is like that of Feasible.
func (s *Scheduler) FeasibleGang(t *model.Task, count int) plugin.Status {
	f := s.Fleet.Feasible(t.Require, t.Demand, count)
	if f.MaxTasks >= count {
		return plugin.Status{}
	}
	reason := ""
	switch {
	case f.Matching == 0:
		reason = fmt.Sprintf("none of %d workers matches the selector", f.Workers)
	case f.LargeEnough == 0:
		reason = fmt.Sprintf("none of the %d workers that match the selector is large enough", f.Matching)
	default:
		reason = fmt.Sprintf("%d workers could hold %d tasks at a time, %d are wanted", f.LargeEnough, f.MaxTasks, count)
	}
	return plugin.Status{Code: plugin.Impossible, Plugin: feasiblePluginName, Reason: reason}
}

// Refusal is the number of workers that one filter refuses, or advises to avoid, for one
// reason.
type Refusal struct {
	Plugin  string `json:"plugin"`
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
	Avoid   bool   `json:"avoid,omitempty"` // these workers are chosen only if no worker without such a reason is found
}

// Explanation counts, by filter and reason, why a task can't be placed now.
type Explanation struct {
	Workers  int       `json:"workers"` // all workers of the fleet
	Fitting  int       `json:"fitting"` // feasible workers: those that could take the task now
	Refusals []Refusal `json:"refusals,omitempty"`
	Feasible string    `json:"feasible,omitempty"` // why no worker could take the task even if the worker ran no other tasks
}

// Explain counts, over all workers, which filter refuses the task first. It runs
// the filters on every worker and is meant for status requests, not for decisions.
func (s *Scheduler) Explain(now time.Duration, t *model.Task) Explanation {
	s.prepare(now, t)
	out := Explanation{Workers: len(s.Fleet.Nodes())}
	for _, n := range s.Fleet.Nodes() {
		out.add(s.runFilters(t, n))
	}
	if status := s.Feasible(t); !status.Success() {
		out.Feasible = status.Reason
	}
	return out
}

// add counts one worker's status.
func (e *Explanation) add(status plugin.Status) {
	if status.Code <= plugin.Avoid {
		e.Fitting++
	}
	if status.Success() {
		return
	}
	for i := range e.Refusals {
		if e.Refusals[i].Plugin == status.Plugin && e.Refusals[i].Reason == status.Reason {
			e.Refusals[i].Workers++
			return
		}
	}
	e.Refusals = append(e.Refusals, Refusal{
		Plugin:  status.Plugin,
		Reason:  status.Reason,
		Workers: 1,
		Avoid:   status.Code == plugin.Avoid,
	})
}
