package testcell

import (
	"fmt"
	"slices"
	"time"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
	"pollenbend/internal/standin"
	"pollenbend/internal/wire"
)

// Promise states a guarantee of the system that Check verifies.
type Promise string

// Promises that Check verifies.
const (
	PromiseCapacity       Promise = "no worker is committed beyond what it has"
	PromiseSingleRun      Promise = "no task runs in two places"
	PromiseAtMostOnce     Promise = "what must not be repeated runs at most once"
	PromiseLimit          Promise = "no team runs more than its upper limit"
	PromiseKey            Promise = "a withdrawn key stops working"
	PromiseNotRun         Promise = "an answer that says not run is true"
	PromiseCompleteAnswer Promise = "an answer is the whole answer to its own request"
	PromiseAnswerInTime   Promise = "every request gets one final answer in time"
	PromiseLeaving        Promise = "a leaving worker gets no new work"
	PromiseConfig         Promise = "an accepted configuration comes into force and never reverts"
	PromiseDrain          Promise = "a planned stop cuts off no request"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	At      time.Duration
	Detail  string
}

// Error implements error.
func (v Violation) Error() string { return fmt.Sprintf("%s: at %v: %s", v.Promise, v.At, v.Detail) }

const (
	// limitGrace is the maximum time until a configuration change, such as a new
	// limit, is in force everywhere.
	limitGrace = 19 * time.Second
	// withdrawalGrace is how long a withdrawn key may still be accepted.
	withdrawalGrace = 5 * time.Second
	// leavingGrace is how long a worker may still get tasks after the list shows
	// it as leaving.
	leavingGrace = 5 * time.Second
	// answerGrace is how long after its deadline a call may be answered.
	answerGrace = time.Second
)

func (c *Cell) violate(p Promise, format string, args ...any) {
	c.violateAt(c.now, p, format, args...)
}

func (c *Cell) violateAt(at time.Duration, p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: p, At: at, Detail: fmt.Sprintf(format, args...)})
}

// Check verifies the promises against the workers' history and the callers'
// answers. It returns all violations so far.
func (c *Cell) Check() []Violation {
	before := slices.Clone(c.violations)
	for _, w := range c.Workers() {
		c.workers[w].core.Advance(c.wallTime())
	}
	events := c.sortedHistory()
	c.checkCapacity(events)
	c.checkSingleRun(events)
	c.checkLimits(events)
	c.checkLeaving(events)
	c.checkCalls(events)
	c.checkConfig()
	violations := c.violations
	c.violations = before
	return violations
}

// sortedHistory returns the history sorted by time. The history itself is not
// sorted, because a worker records the end of a run only when it is next advanced.
// Of events with the same time, ends come first.
func (c *Cell) sortedHistory() []standin.Event {
	events := c.History()
	slices.SortStableFunc(events, func(a, b standin.Event) int {
		if n := a.At.Compare(b.At); n != 0 {
			return n
		}
		return eventRank(a) - eventRank(b)
	})
	return events
}

func eventRank(e standin.Event) int {
	if e.Kind == standin.EventEnd {
		return 0
	}
	return 1
}

func (c *Cell) checkCapacity(events []standin.Event) {
	used := make(map[model.WorkerID]model.Resources)
	for _, e := range events {
		switch e.Kind {
		case standin.EventStart:
			used[e.Worker] = used[e.Worker].Add(e.Demand)
			if capacity := c.workers[e.Worker].core.Worker().Capacity; !used[e.Worker].Fits(capacity) {
				c.violateAt(e.At.Sub(epoch), PromiseCapacity, "the tasks on %s demand %+v, its capacity is %+v", e.Worker, used[e.Worker], capacity)
			}
		case standin.EventEnd:
			used[e.Worker] = used[e.Worker].Sub(e.Demand)
		case standin.EventOvercommit:
			c.violateAt(e.At.Sub(epoch), PromiseCapacity, "%s received a start of %s, which does not fit", e.Worker, e.Task)
		}
	}
}

// checkSingleRun reports tasks that start twice, requests with two runs at the same
// time, and requests that must not be repeated with more than one run. A repeatable
// task may start again under the same id after its worker restarted: the first run
// ended with the worker's incarnation, and the worker lost its record of it.
func (c *Cell) checkSingleRun(events []standin.Event) {
	started := make(map[model.TaskID]standin.Event)
	runningTasks := make(map[model.TaskID]model.TaskID) // by base task, which has no run number
	runs := make(map[model.TaskID]int)
	notRepeatable := c.notRepeatable()
	for _, e := range events {
		base := model.BaseTask(e.Task)
		switch e.Kind {
		case standin.EventStart:
			at := e.At.Sub(epoch)
			first, startedBefore := started[e.Task]
			if startedBefore && (notRepeatable[base] || !restartedBetween(events, first, e.At)) {
				c.violateAt(at, PromiseSingleRun, "%s started on %s and on %s", e.Task, first.Worker, e.Worker)
			}
			if other, isRunning := runningTasks[base]; isRunning {
				c.violateAt(at, PromiseSingleRun, "%s starts while %s runs", e.Task, other)
			}
			started[e.Task], runningTasks[base] = e, e.Task
			runs[base]++
			if runs[base] > 1 && notRepeatable[base] {
				c.violateAt(at, PromiseAtMostOnce, "%s has started %d times", base, runs[base])
			}
		case standin.EventEnd:
			delete(runningTasks, base)
		}
	}
}

// restartedBetween reports whether the worker of a start restarted after the start
// and no later than until.
func restartedBetween(events []standin.Event, start standin.Event, until time.Time) bool {
	return slices.ContainsFunc(events, func(e standin.Event) bool {
		return e.Kind == standin.EventRestart && e.Worker == start.Worker && e.At.After(start.At) && !e.At.After(until)
	})
}

func (c *Cell) notRepeatable() map[model.TaskID]bool {
	notRepeatable := make(map[model.TaskID]bool)
	for _, call := range c.calls {
		if call.Request.Op == model.OpCall && !call.Request.Task.Repeatable {
			notRepeatable[call.baseTask()] = true
		}
	}
	return notRepeatable
}

func (c *Call) baseTask() model.TaskID { return model.TaskIDOf(c.Team, c.ID(), 0) }

// configVersion holds the declarations in force from a time on.
type configVersion struct {
	at      time.Duration
	version uint64
	limits  map[model.TeamID]int64 // 0 for none
	keys    map[string]model.Key   // by hash of the secret
}

// configHistory applies the log's configuration changes and returns each version.
func (c *Cell) configHistory() []configVersion {
	state := declare.NewState()
	var history []configVersion
	for _, e := range c.logEntries {
		for _, r := range e.records {
			change, ok := r.(wire.ConfigChange)
			if !ok {
				continue
			}
			state.Apply(e.offset, change.Change)
			history = append(history, newConfigVersion(state, e.at))
		}
	}
	return history
}

func newConfigVersion(state *declare.State, at time.Duration) configVersion {
	v := configVersion{at: at, version: state.Version(), limits: make(map[model.TeamID]int64), keys: make(map[string]model.Key)}
	d := state.Declarations()
	for _, t := range d.Teams {
		v.limits[t.Name] = t.Limit
	}
	for _, k := range d.Keys {
		v.keys[k.SHA256] = k
	}
	return v
}

// maxLimit returns the highest limit of a team that was in force between two
// times, or 0 if it had no limit at some time between them.
func maxLimit(history []configVersion, team model.TeamID, from, until time.Duration) int64 {
	var highest int64
	for i, v := range history {
		if v.at > until || i+1 < len(history) && history[i+1].at <= from {
			continue
		}
		limit := v.limits[team]
		if limit == 0 {
			return 0
		}
		highest = max(highest, limit)
	}
	return highest
}

func (c *Cell) checkLimits(events []standin.Event) {
	history := c.configHistory()
	running := make(map[model.TeamID]int64)
	for _, e := range events {
		switch e.Kind {
		case standin.EventStart:
			running[e.Team]++
			at := e.At.Sub(epoch)
			limit := maxLimit(history, e.Team, at-limitGrace, at)
			if limit > 0 && running[e.Team] > limit {
				c.violateAt(at, PromiseLimit, "team %s runs %d tasks, its limit is %d, since %s started on %s", e.Team, running[e.Team], limit, e.Task, e.Worker)
			}
		case standin.EventEnd:
			running[e.Team]--
		}
	}
}

func (c *Cell) checkLeaving(events []standin.Event) {
	for _, e := range events {
		at := e.At.Sub(epoch)
		since, leaving := c.leavingSince[e.Worker]
		if e.Kind == standin.EventStart && leaving && at > since+leavingGrace {
			c.violateAt(at, PromiseLeaving, "%s started on %s, listed as leaving since %v", e.Task, e.Worker, since)
		}
	}
}
