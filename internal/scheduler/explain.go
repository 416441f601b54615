package scheduler

import (
	"fmt"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/plugin"
)

// feasiblePlugin names statuses of Feasible.
const feasiblePlugin = "feasible"

// Feasible reports whether some worker could run the task if it were empty. A
// refusal has code Impossible and a reason with counts.
func (s *Scheduler) Feasible(t *model.Task) plugin.Status {
	return s.FeasibleGang(t, 1)
}

// FeasibleGang reports whether the fleet, if it were empty, could run count
// tasks like t at the same time.
func (s *Scheduler) FeasibleGang(t *model.Task, count int) plugin.Status {
	f := s.Fleet.Feasible(t.Require, t.Demand, count)
	if f.Places >= count {
		return plugin.Status{}
	}
	reason := ""
	switch {
	case f.Matching == 0:
		reason = fmt.Sprintf("none of %d workers matches the selector", f.Workers)
	case f.Fitting == 0:
		reason = fmt.Sprintf("none of the %d workers that match the selector is large enough", f.Matching)
	default:
		reason = fmt.Sprintf("%d workers could hold %d tasks at a time, %d are wanted", f.Fitting, f.Places, count)
	}
	return plugin.Status{Code: plugin.Impossible, Plugin: feasiblePlugin, Reason: reason}
}

// Refusal counts the workers that one filter refuses or avoids for one reason.
type Refusal struct {
	Plugin  string `json:"plugin"`
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
	Avoid   bool   `json:"avoid,omitempty"` // taken when no other is left
}

// Explanation says why a task waits, by filter.
type Explanation struct {
	Workers  int       `json:"workers"`
	Fitting  int       `json:"fitting"` // workers that could take the task now
	Refusals []Refusal `json:"refusals,omitempty"`
	Feasible string    `json:"feasible,omitempty"` // why no worker could ever take it
}

// Explain counts, over all workers, which filter refuses the task first. It
// looks at every worker and is meant for status calls, not for decisions.
func (s *Scheduler) Explain(now time.Duration, t *model.Task) Explanation {
	s.start(now, t)
	out := Explanation{Workers: len(s.Fleet.Nodes())}
	for _, n := range s.Fleet.Nodes() {
		out.add(s.filter(t, n))
	}
	if status := s.Feasible(t); !status.Success() {
		out.Feasible = status.Reason
	}
	return out
}

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
