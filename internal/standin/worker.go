package standin

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

// Defaults of WorkerSettings.
const (
	DefaultTaskLease = 5 * time.Minute
	DefaultRetention = 10 * time.Minute
	DefaultRunTime   = 20 * time.Millisecond

	// Forever is the run time of a task that runs until it is stopped.
	Forever time.Duration = -1
)

// RuntimeFunc decides how long a task really runs and whether it fails.
type RuntimeFunc func(model.Task) (runTime time.Duration, fail bool)

// WorkerSettings configures a WorkerCore. Zero fields take the defaults.
type WorkerSettings struct {
	// TaskLease is how long tasks go on without any renewal of the worker's
	// lease; then the worker stops them all.
	TaskLease time.Duration
	// Retention is how long outcomes and the ids of ended tasks are kept.
	Retention time.Duration
	Runtime   RuntimeFunc
}

func (s WorkerSettings) withDefaults() WorkerSettings {
	if s.TaskLease == 0 {
		s.TaskLease = DefaultTaskLease
	}
	if s.Retention == 0 {
		s.Retention = DefaultRetention
	}
	if s.Runtime == nil {
		s.Runtime = DeclaredRuntime
	}
	return s
}

// DeclaredRuntime runs a task for its declared run time. Without one, a service
// runs until stopped and any other task for DefaultRunTime.
func DeclaredRuntime(t model.Task) (time.Duration, bool) {
	switch {
	case t.RunTime > 0:
		return t.RunTime, false
	case t.Kind == model.KindService:
		return Forever, false
	}
	return DefaultRunTime, false
}

// WorkerCore is the state machine of one worker. It does no I/O, takes the time
// as an argument and is not safe for concurrent use. Time must not go back.
type WorkerCore struct {
	worker   model.Worker
	settings WorkerSettings
	history  *History
	faults   WorkerFaults

	incarnation model.Incarnation
	born        time.Time
	contact     time.Time // last renewal or release

	lease   lease
	highest platform.LeaseRef // with the highest term in any renewal

	running map[model.TaskID]*run
	used    model.Resources
	seen    map[model.TaskID]struct{}
	ended   []endedTask // in order of their ends

	seq       uint64 // of the last reported outcome
	reported  []report
	unsettled []report // ended, but not yet reported
}

// lease is the last lease granted. It is in force until until.
type lease struct {
	ref   platform.LeaseRef
	until time.Time
	fence uint64
}

type endedTask struct {
	id model.TaskID
	at time.Time
}

type report struct {
	seq     uint64
	at      time.Time // when it is or was reported
	task    model.Task
	outcome model.Outcome
}

// NewWorkerCore returns a worker that begins its first incarnation at now.
// Several workers may share a history.
func NewWorkerCore(now time.Time, w model.Worker, s WorkerSettings, h *History) *WorkerCore {
	c := &WorkerCore{worker: w, settings: s.withDefaults(), history: h}
	c.begin(now)
	return c
}

func (c *WorkerCore) begin(now time.Time) {
	c.incarnation++
	c.born = now
	c.contact = now
	c.lease = lease{}
	c.highest = platform.LeaseRef{}
	c.running = map[model.TaskID]*run{}
	c.used = model.Resources{}
	c.seen = map[model.TaskID]struct{}{}
	c.ended = nil
	c.seq = 0
	c.reported = nil
	c.unsettled = nil
}

// Worker returns the description of the worker.
func (c *WorkerCore) Worker() model.Worker { return c.worker }

// Incarnation returns the number of the present incarnation.
func (c *WorkerCore) Incarnation() model.Incarnation { return c.incarnation }

// Used returns the resources of the running tasks.
func (c *WorkerCore) Used() model.Resources { return c.used }

// Lease returns the lease in force at now; ok is false when there is none.
func (c *WorkerCore) Lease(now time.Time) (ref platform.LeaseRef, ok bool) {
	return c.lease.ref, now.Before(c.lease.until)
}

// Renew takes, renews or releases the lease and reports without waiting.
func (c *WorkerCore) Renew(now time.Time, r platform.RenewRequest) platform.RenewReply {
	c.Advance(now)
	if r.Release {
		return c.release(now, r.Lease)
	}
	if !c.grant(now, r) {
		return c.notGranted(now)
	}
	return c.Report(now, r)
}

// Report answers r from the present state without renewing the lease.
func (c *WorkerCore) Report(now time.Time, r platform.RenewRequest) platform.RenewReply {
	c.Advance(now)
	ref, ok := c.Lease(now)
	if !ok || ref != r.Lease {
		return c.notGranted(now)
	}
	reply := platform.RenewReply{
		Granted:     true,
		Current:     ref,
		Incarnation: c.incarnation,
		Uptime:      now.Sub(c.born),
		Seq:         c.seq,
		Retention:   c.settings.Retention,
	}
	if r.Full {
		reply.Running = c.runningTasks()
		reply.Seen = c.seenIDs()
	}
	reply.Finished = c.outcomes(r)
	return reply
}

// HasEvent reports whether there is an outcome after since.
func (c *WorkerCore) HasEvent(since uint64) bool { return c.seq > since }

func (c *WorkerCore) grant(now time.Time, r platform.RenewRequest) bool {
	if r.Lease.Term >= c.highest.Term {
		c.highest = r.Lease
	}
	if r.Duration <= 0 || !c.mayHold(now, r.Lease) {
		return false
	}
	if c.lease.ref != r.Lease {
		c.lease = lease{ref: r.Lease}
		c.record(now, EventGrant, model.Task{}, r.Lease)
	}
	if until := now.Add(r.Duration); until.After(c.lease.until) {
		c.lease.until = until
	}
	if r.Full {
		c.lease.fence = max(c.lease.fence, r.Fence)
	}
	c.contact = now
	return true
}

// mayHold decides whether ref gets the lease. Terms never go down, and nothing
// but its own holder replaces a lease in force.
func (c *WorkerCore) mayHold(now time.Time, ref platform.LeaseRef) bool {
	current, held := c.Lease(now)
	if !held {
		return ref.Term >= c.highest.Term
	}
	same := ref.Holder == current.Holder && ref.Incarnation == current.Incarnation
	return same && ref.Term >= current.Term
}

func (c *WorkerCore) release(now time.Time, ref platform.LeaseRef) platform.RenewReply {
	current, held := c.Lease(now)
	if !held || current != ref {
		return c.notGranted(now)
	}
	c.lease.until = now
	c.contact = now
	return platform.RenewReply{}
}

// notGranted names the holder or, without one, the highest term seen.
func (c *WorkerCore) notGranted(now time.Time) platform.RenewReply {
	ref, held := c.Lease(now)
	if !held {
		ref = c.highest
	}
	return platform.RenewReply{Current: ref}
}

// authorize refuses a command that does not come under the lease in force.
func (c *WorkerCore) authorize(now time.Time, ref platform.LeaseRef) error {
	current, held := c.Lease(now)
	if !held {
		return verdict.Refuse(verdict.CodeStaleAuthority, "worker %s: no lease is in force", c.worker.ID)
	}
	if current != ref {
		return verdict.Refuse(verdict.CodeStaleAuthority, "worker %s: the lease is held by %s with term %d",
			c.worker.ID, current.Holder, current.Term)
	}
	return nil
}

func (c *WorkerCore) record(now time.Time, kind EventKind, t model.Task, ref platform.LeaseRef) {
	c.recordEnd(now, kind, t, ref, nil)
}

func (c *WorkerCore) recordEnd(now time.Time, kind EventKind, t model.Task, ref platform.LeaseRef, o *model.Outcome) {
	c.history.add(Event{
		At:          now,
		Kind:        kind,
		Worker:      c.worker.ID,
		Incarnation: c.incarnation,
		Task:        t.ID,
		Team:        t.Team,
		Demand:      t.Demand,
		Holder:      ref.Holder,
		Term:        ref.Term,
		Outcome:     o,
	})
}
