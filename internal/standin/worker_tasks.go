package standin

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

const (
	// checkpointDuration is how long a task takes to write its checkpoint.
	checkpointDuration = 100 * time.Millisecond
	// throttleMultiplier multiplies the remaining run time of a throttled task.
	throttleMultiplier = 2
	// failedRunTime is the run time of a task on a worker with FailAllTasks.
	failedRunTime = time.Millisecond
)

// run is a running task.
type run struct {
	task    model.Task
	ref     platform.LeaseRef
	started time.Time
	due     time.Time // when it ends; zero if it runs until stopped
	fail    bool
	stop    platform.StopMode // StopCheckpoint while the final checkpoint is written
}

// echo is the answer of a completed task.
type echo struct {
	Echo []byte       `json:"echo"`
	Task model.TaskID `json:"task"`
}

// Start starts a task. Its errors carry verdict.NotRun. For a task id that the
// worker has seen it returns nil without effect, whichever lease r carries.
func (c *WorkerCore) Start(now time.Time, r platform.StartRequest) error {
	c.Advance(now)
	if _, ok := c.seen[r.Task.ID]; ok {
		return nil
	}
	if err := c.admit(now, r); err != nil {
		return err
	}
	t := &run{task: r.Task, ref: r.Lease, started: now}
	c.setDue(t)
	c.running[r.Task.ID] = t
	c.seen[r.Task.ID] = struct{}{}
	c.used = c.used.Add(r.Task.Demand)
	c.record(now, EventStart, r.Task, r.Lease)
	return nil
}

// admit refuses a start without a valid lease, sequence number, incarnation or
// task, and one that does not fit into the free resources.
func (c *WorkerCore) admit(now time.Time, r platform.StartRequest) error {
	if err := c.authorize(now, r.Lease); err != nil {
		c.record(now, EventStale, r.Task, r.Lease)
		return err
	}
	if r.Seq <= c.lease.fence {
		c.record(now, EventStale, r.Task, r.Lease)
		return verdict.Refuse(verdict.CodeStaleAuthority, "worker %s: command %d is fenced at %d",
			c.worker.ID, r.Seq, c.lease.fence)
	}
	if r.WorkerIncarnation != 0 && r.WorkerIncarnation != c.incarnation {
		c.record(now, EventStale, r.Task, r.Lease)
		return verdict.Refuse(verdict.CodeStaleAuthority, "worker %s: command is for incarnation %d, this is %d",
			c.worker.ID, r.WorkerIncarnation, c.incarnation)
	}
	if r.Task.ID == "" || !(model.Resources{}).Fits(r.Task.Demand) {
		return verdict.Refuse(verdict.CodeBadRequest, "worker %s: task without id or with a negative demand", c.worker.ID)
	}
	if !r.Task.Demand.Fits(c.worker.Capacity.Sub(c.used)) {
		c.record(now, EventOvercommit, r.Task, r.Lease)
		return verdict.Refuse(verdict.CodeOverloaded, "worker %s: task %s does not fit", c.worker.ID, r.Task.ID)
	}
	return nil
}

func (c *WorkerCore) setDue(t *run) {
	d, fail := c.settings.Runtime(t.task)
	if c.faults.FailAllTasks {
		d, fail = failedRunTime, true
	}
	t.fail = fail
	if d != Forever {
		t.due = t.started.Add(d)
	}
}

// Stop stops or throttles a running task. It has no effect on an ended task. Its
// errors carry verdict.NotRun.
func (c *WorkerCore) Stop(now time.Time, r platform.StopRequest) error {
	c.Advance(now)
	if err := c.authorize(now, r.Lease); err != nil {
		return err
	}
	t, ok := c.running[r.Task]
	if !ok {
		return c.stopNotRunning(r.Task)
	}
	switch r.Mode {
	case platform.StopKill:
		c.end(now, t, c.stoppedOutcome(t, now, "killed"))
	case platform.StopCheckpoint:
		c.checkpoint(now, t)
	case platform.StopThrottle:
		t.throttle(now)
	default:
		return verdict.Refuse(verdict.CodeBadRequest, "unknown stop mode %q", r.Mode)
	}
	c.Advance(now)
	return nil
}

func (c *WorkerCore) stopNotRunning(id model.TaskID) error {
	if _, ok := c.seen[id]; ok {
		return nil
	}
	return verdict.Refuse(verdict.CodeNotFound, "worker %s: task %s was never started", c.worker.ID, id)
}

func (c *WorkerCore) checkpoint(now time.Time, t *run) {
	if t.stop == platform.StopCheckpoint {
		return
	}
	writtenAt := now.Add(checkpointDuration)
	if !t.due.IsZero() && t.due.Before(writtenAt) {
		return // the task ends before the checkpoint would be written
	}
	t.stop = platform.StopCheckpoint
	t.due = writtenAt
}

func (t *run) throttle(now time.Time) {
	if t.due.IsZero() || t.stop == platform.StopCheckpoint {
		return
	}
	t.due = now.Add(t.due.Sub(now) * throttleMultiplier)
}

// Advance ends the tasks that are due at now, stops all tasks when the task lease
// has expired, reports outcomes, and removes outcomes and task ids that are older
// than the retention. It has no effect on a paused worker.
func (c *WorkerCore) Advance(now time.Time) {
	if c.faults.Paused {
		return
	}
	expiry := c.lastContact.Add(c.settings.TaskLease)
	if now.Before(expiry) {
		c.endDueTasks(now)
	} else {
		c.endDueTasks(expiry)
		c.stopAll(expiry)
	}
	c.publishOutcomes(now)
	c.removeExpired(now)
}

// Next returns the next time at which Advance ends or reports a task; ok is false
// when there is none. It does not consider the removal of old outcomes.
func (c *WorkerCore) Next() (at time.Time, ok bool) {
	if c.faults.Paused {
		return time.Time{}, false
	}
	if len(c.running) > 0 {
		at = c.lastContact.Add(c.settings.TaskLease)
	}
	if t := c.earliestDue(); t != nil && t.due.Before(at) {
		at = t.due
	}
	if len(c.unreported) > 0 && (at.IsZero() || c.unreported[0].at.Before(at)) {
		at = c.unreported[0].at
	}
	return at, !at.IsZero()
}

func (c *WorkerCore) earliestDue() *run {
	var earliest *run
	for _, t := range c.running {
		if t.due.IsZero() {
			continue
		}
		if earliest == nil || t.before(earliest) {
			earliest = t
		}
	}
	return earliest
}

// before orders runs by due time, then by id, so that simulations are
// deterministic.
func (t *run) before(o *run) bool {
	if !t.due.Equal(o.due) {
		return t.due.Before(o.due)
	}
	return t.task.ID < o.task.ID
}

// endDueTasks ends, in order, the tasks that are due at now.
func (c *WorkerCore) endDueTasks(now time.Time) {
	for {
		t := c.earliestDue()
		if t == nil || t.due.After(now) {
			return
		}
		c.end(t.due, t, c.outcome(t))
	}
}

// stopAll stops all tasks at the time at, when the task lease has expired.
func (c *WorkerCore) stopAll(at time.Time) {
	ids := make([]model.TaskID, 0, len(c.running))
	for id := range c.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := c.running[id]
		c.end(at, t, c.stoppedOutcome(t, at, "task lease lapsed"))
	}
}

func (c *WorkerCore) outcome(t *run) model.Outcome {
	switch {
	case t.stop == platform.StopCheckpoint:
		return c.stoppedOutcome(t, t.due, "checkpointed")
	case t.fail:
		return model.Outcome{
			Task:     t.task.ID,
			Failed:   true,
			Message:  "task failed",
			Complete: true,
			Ran:      t.due.Sub(t.started),
			Usage:    t.task.Demand,
		}
	}
	o := model.Outcome{
		Task:     t.task.ID,
		Answer:   echoAnswer(t.task),
		Complete: true,
		Ran:      t.due.Sub(t.started),
		Usage:    t.task.Demand,
	}
	if c.faults.TruncateAnswers {
		o.Answer = o.Answer[:len(o.Answer)/2]
		o.Complete = false
	}
	return o
}

func echoAnswer(t model.Task) []byte {
	b, err := json.Marshal(echo{Echo: t.Payload, Task: t.ID})
	if err != nil {
		panic(err) // bytes and strings can always be encoded
	}
	return b
}

func (c *WorkerCore) stoppedOutcome(t *run, at time.Time, message string) model.Outcome {
	return model.Outcome{
		Task:    t.task.ID,
		Message: message,
		Ran:     at.Sub(t.started),
		Usage:   t.task.Demand,
		Stopped: true,
	}
}

func (c *WorkerCore) end(at time.Time, t *run, o model.Outcome) {
	delete(c.running, t.task.ID)
	c.used = c.used.Sub(t.task.Demand)
	c.ended = append(c.ended, endedTask{id: t.task.ID, at: at})
	c.unreported = append(c.unreported, outcomeReport{at: at.Add(c.faults.ReportDelay), task: t.task, outcome: o})
	c.recordOutcome(at, EventEnd, t.task, t.ref, &o)
}

// publishOutcomes reports the outcomes whose report time has come and assigns their
// sequence numbers.
func (c *WorkerCore) publishOutcomes(now time.Time) {
	for len(c.unreported) > 0 && !c.unreported[0].at.After(now) {
		c.seq++
		r := c.unreported[0]
		r.seq = c.seq
		c.reported = append(c.reported, r)
		c.unreported = c.unreported[1:]
	}
}

// removeExpired removes outcomes and task ids that are older than the retention.
func (c *WorkerCore) removeExpired(now time.Time) {
	oldest := now.Add(-c.settings.Retention)
	for len(c.reported) > 0 && c.reported[0].at.Before(oldest) {
		c.reported = c.reported[1:]
	}
	for len(c.ended) > 0 && c.ended[0].at.Before(oldest) {
		delete(c.seen, c.ended[0].id)
		c.ended = c.ended[1:]
	}
}

// runningTasks returns the tasks whose end is not yet reported, sorted by id.
func (c *WorkerCore) runningTasks() []model.Task {
	tasks := make([]model.Task, 0, len(c.running)+len(c.unreported))
	for _, t := range c.running {
		tasks = append(tasks, t.task)
	}
	for _, r := range c.unreported {
		tasks = append(tasks, r.task)
	}
	slices.SortFunc(tasks, func(a, b model.Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}

func (c *WorkerCore) seenIDs() []model.TaskID {
	ids := make([]model.TaskID, 0, len(c.seen))
	for id := range c.seen {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *WorkerCore) outcomes(r platform.RenewRequest) []model.Outcome {
	var out []model.Outcome
	for _, e := range c.reported {
		if r.Full || e.seq > r.Since {
			out = append(out, e.outcome)
		}
	}
	return out
}
