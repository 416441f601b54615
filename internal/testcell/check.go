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

// Promise names what a Violation breaks.
type Promise string

// Promises.
const (
	PromiseCapacity Promise = "no worker is committed beyond what it has"
	PromiseOnePlace Promise = "no task runs in two places"
	PromiseOnce     Promise = "what must not be repeated runs at most once"
	PromiseLimit    Promise = "no team runs more than its upper limit"
	PromiseKey      Promise = "a withdrawn key stops working"
	PromiseNotRun   Promise = "an answer that says not run is true"
	PromiseDone     Promise = "an answer is the whole answer to its own request"
	PromiseAnswer   Promise = "every request gets one final answer in time"
	PromiseLeaving  Promise = "a leaving worker gets no new work"
	PromiseConfig   Promise = "an accepted configuration comes into force and never reverts"
	PromiseDrain    Promise = "a planned stop cuts off no request"
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
	// limitGrace is how long a changed limit may take to be in force everywhere.
	limitGrace = 19 * time.Second
	// withdrawalGrace is how long a withdrawn key may go on working.
	withdrawalGrace = 5 * time.Second
	// leavingGrace is how long a worker gets work after it is listed as leaving.
	leavingGrace = 5 * time.Second
	// answerGrace is how much later than its deadline an answer may come.
	answerGrace = time.Second
)

func (c *Cell) violate(p Promise, format string, args ...any) {
	c.violateAt(c.now, p, format, args...)
}

func (c *Cell) violateAt(at time.Duration, p Promise, format string, args ...any) {
	c.faults = append(c.faults, Violation{Promise: p, At: at, Detail: fmt.Sprintf(format, args...)})
}

// Check compares what the workers did and what callers heard with the promises.
// It returns every promise broken so far.
func (c *Cell) Check() []Violation {
	kept := slices.Clone(c.faults)
	for _, w := range c.Workers() {
		c.workers[w].core.Advance(c.wall())
	}
	events := c.sortedHistory()
	c.checkCapacity(events)
	c.checkPlaces(events)
	c.checkLimits(events)
	c.checkLeaving(events)
	c.checkCalls(events)
	c.checkConfig()
	found := c.faults
	c.faults = kept
	return found
}

// sortedHistory returns the history in order of time. A worker records an end
// when it next looks at the time, so events come out of order; of one time, ends
// come first.
func (c *Cell) sortedHistory() []standin.Event {
	events := c.History()
	slices.SortStableFunc(events, func(a, b standin.Event) int {
		if n := a.At.Compare(b.At); n != 0 {
			return n
		}
		return rank(a) - rank(b)
	})
	return events
}

func rank(e standin.Event) int {
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
				c.violateAt(e.At.Sub(epoch), PromiseCapacity, "%s runs %+v of %+v", e.Worker, used[e.Worker], capacity)
			}
		case standin.EventEnd:
			used[e.Worker] = used[e.Worker].Sub(e.Demand)
		case standin.EventOvercommit:
			c.violateAt(e.At.Sub(epoch), PromiseCapacity, "%s was told to start %s, which does not fit", e.Worker, e.Task)
		}
	}
}

// checkPlaces looks for tasks that start twice and for requests with two runs at
// once, or with two runs when they must not be repeated. What may be repeated may
// start again under the same id after the worker that had it restarted: that run
// is over, and no one remembers it.
func (c *Cell) checkPlaces(events []standin.Event) {
	started := make(map[model.TaskID]standin.Event)
	running := make(map[model.TaskID]model.TaskID) // by base
	runs := make(map[model.TaskID]int)
	once := c.unrepeatable()
	for _, e := range events {
		base := model.BaseTask(e.Task)
		switch e.Kind {
		case standin.EventStart:
			at := e.At.Sub(epoch)
			first, twice := started[e.Task]
			if twice && (once[base] || !restarted(events, first, e.At)) {
				c.violateAt(at, PromiseOnePlace, "%s started on %s and on %s", e.Task, first.Worker, e.Worker)
			}
			if other, busy := running[base]; busy {
				c.violateAt(at, PromiseOnePlace, "%s starts while %s runs", e.Task, other)
			}
			started[e.Task], running[base] = e, e.Task
			runs[base]++
			if runs[base] > 1 && once[base] {
				c.violateAt(at, PromiseOnce, "%s runs for the %d. time", base, runs[base])
			}
		case standin.EventEnd:
			delete(running, base)
		}
	}
}

// restarted reports whether a worker restarted between a start there and a time.
func restarted(events []standin.Event, start standin.Event, until time.Time) bool {
	return slices.ContainsFunc(events, func(e standin.Event) bool {
		return e.Kind == standin.EventRestart && e.Worker == start.Worker && e.At.After(start.At) && !e.At.After(until)
	})
}

func (c *Cell) unrepeatable() map[model.TaskID]bool {
	once := make(map[model.TaskID]bool)
	for _, call := range c.calls {
		if call.Request.Op == model.OpCall && !call.Request.Task.Repeatable {
			once[call.base()] = true
		}
	}
	return once
}

func (c *Call) base() model.TaskID { return model.TaskIDOf(c.Team, c.ID(), 0) }

// configAt is the declarations in force from a time on.
type configAt struct {
	at      time.Duration
	version uint64
	teams   map[model.TeamID]int64 // upper limits
	keys    map[string]model.Key   // by hash
}

// configs folds the log itself.
func (c *Cell) configs() []configAt {
	state := declare.NewState()
	var list []configAt
	for _, e := range c.appended {
		for _, r := range e.records {
			change, ok := r.(wire.ConfigChange)
			if !ok {
				continue
			}
			state.Apply(e.offset, change.Change)
			list = append(list, configOf(state, e.at))
		}
	}
	return list
}

func configOf(state *declare.State, at time.Duration) configAt {
	v := configAt{at: at, version: state.Version(), teams: make(map[model.TeamID]int64), keys: make(map[string]model.Key)}
	d := state.Declarations()
	for _, t := range d.Teams {
		v.teams[t.Name] = t.Limit
	}
	for _, k := range d.Keys {
		v.keys[k.SHA256] = k
	}
	return v
}

// allowed returns the highest limit of a team that was in force between two
// times, 0 for none.
func allowed(configs []configAt, team model.TeamID, from, until time.Duration) int64 {
	var highest int64
	for i, v := range configs {
		if v.at > until || i+1 < len(configs) && configs[i+1].at <= from {
			continue
		}
		limit := v.teams[team]
		if limit == 0 {
			return 0
		}
		highest = max(highest, limit)
	}
	return highest
}

func (c *Cell) checkLimits(events []standin.Event) {
	configs := c.configs()
	running := make(map[model.TeamID]int64)
	for _, e := range events {
		switch e.Kind {
		case standin.EventStart:
			running[e.Team]++
			at := e.At.Sub(epoch)
			limit := allowed(configs, e.Team, at-limitGrace, at)
			if limit > 0 && running[e.Team] > limit {
				c.violateAt(at, PromiseLimit, "team %s runs %d of %d with %s on %s", e.Team, running[e.Team], limit, e.Task, e.Worker)
			}
		case standin.EventEnd:
			running[e.Team]--
		}
	}
}

func (c *Cell) checkLeaving(events []standin.Event) {
	for _, e := range events {
		at := e.At.Sub(epoch)
		shown, leaving := c.leaving[e.Worker]
		if e.Kind == standin.EventStart && leaving && at > shown+leavingGrace {
			c.violateAt(at, PromiseLeaving, "%s started on %s, listed as leaving since %v", e.Task, e.Worker, shown)
		}
	}
}
