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

// RuntimeFunc returns how long a task actually runs and whether it fails.
type RuntimeFunc func(model.Task) (runTime time.Duration, fail bool)

// WorkerSettings configures a WorkerCore. Zero fields get defaults.
type WorkerSettings struct {
	// TaskLease is how long tasks may run after the last renewal or release of
	// the worker's lease. Then the worker stops them all.
	TaskLease time.Duration
	// Retention is how long outcomes and the ids of ended tasks are kept.
	Retention time.Duration
	// Runtime defaults to DeclaredRuntime.
	Runtime RuntimeFunc
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

// DeclaredRuntime returns a task's declared run time. Without one, a service runs
// until it is stopped and any other task for DefaultRunTime. No task fails.
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
// as an argument and is not safe for concurrent use. The time must not decrease.
type WorkerCore struct {
	worker   model.Worker
	settings WorkerSettings
	history  *History
	faults   WorkerFaults

	incarnation model.Incarnation
	startedAt   time.Time
	lastContact time.Time // last renewal or release

	lease      lease
	highestRef platform.LeaseRef // the last reference with the highest term of all renewals, granted or not

	running map[model.TaskID]*run
	used    model.Resources
	seen    map[model.TaskID]struct{}
	ended   []endedTask // in the order in which they ended

	seq        uint64 // of the last reported outcome
	reported   []outcomeReport
	unreported []outcomeReport // of ended tasks, waiting for their report time
}

// lease is the last lease that was granted. It is valid before expiresAt.
type lease struct {
	ref       platform.LeaseRef
	expiresAt time.Time
	fence     uint64 // starts with a sequence number of at most fence are refused
}

// endedTask is a task whose id is kept until the retention has passed.
type endedTask struct {
	id model.TaskID
	at time.Time
}

// outcomeReport is an outcome that has been or will be reported.
type outcomeReport struct {
	seq     uint64
	at      time.Time // when it is or was reported
	task    model.Task
	outcome model.Outcome
}

// NewWorkerCore returns a worker whose first incarnation starts at now. Several
// workers may share a history.
func NewWorkerCore(now time.Time, w model.Worker, s WorkerSettings, h *History) *WorkerCore {
	c := &WorkerCore{worker: w, settings: s.withDefaults(), history: h}
	c.startIncarnation(now)
	return c
}

// startIncarnation increments the incarnation and resets all other state of the
// worker except its settings and faults.
func (c *WorkerCore) startIncarnation(now time.Time) {
	c.incarnation++
	c.startedAt = now
	c.lastContact = now
	c.lease = lease{}
	c.highestRef = platform.LeaseRef{}
	c.running = map[model.TaskID]*run{}
	c.used = model.Resources{}
	c.seen = map[model.TaskID]struct{}{}
	c.ended = nil
	c.seq = 0
	c.reported = nil
	c.unreported = nil
}

// Worker returns the description of the worker.
func (c *WorkerCore) Worker() model.Worker { return c.worker }

// Incarnation returns the number of the current incarnation.
func (c *WorkerCore) Incarnation() model.Incarnation { return c.incarnation }

// Used returns the sum of the running tasks' resources.
func (c *WorkerCore) Used() model.Resources { return c.used }

// Lease returns the last granted lease; ok reports whether it is valid at now.
func (c *WorkerCore) Lease(now time.Time) (ref platform.LeaseRef, ok bool) {
	return c.lease.ref, now.Before(c.lease.expiresAt)
}

// Renew acquires, renews or releases the lease and answers without waiting.
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

// Report answers r from the current state without renewing the lease.
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
		Uptime:      now.Sub(c.startedAt),
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

// HasEvent reports whether there is a reported outcome after since.
func (c *WorkerCore) HasEvent(since uint64) bool { return c.seq > since }

// grant acquires or renews the lease and reports whether it did. A renewal never
// shortens the lease.
func (c *WorkerCore) grant(now time.Time, r platform.RenewRequest) bool {
	if r.Lease.Term >= c.highestRef.Term {
		c.highestRef = r.Lease
	}
	if r.Duration <= 0 || !c.canGrant(now, r.Lease) {
		return false
	}
	if c.lease.ref != r.Lease {
		c.lease = lease{ref: r.Lease}
		c.record(now, EventGrant, model.Task{}, r.Lease)
	}
	if expiresAt := now.Add(r.Duration); expiresAt.After(c.lease.expiresAt) {
		c.lease.expiresAt = expiresAt
	}
	if r.Full {
		c.lease.fence = max(c.lease.fence, r.Fence)
	}
	c.lastContact = now
	return true
}

// canGrant reports whether ref may get the lease. Terms never decrease, and a valid
// lease may be replaced only by its holder in the same incarnation.
func (c *WorkerCore) canGrant(now time.Time, ref platform.LeaseRef) bool {
	current, held := c.Lease(now)
	if !held {
		return ref.Term >= c.highestRef.Term
	}
	same := ref.Holder == current.Holder && ref.Incarnation == current.Incarnation
	return same && ref.Term >= current.Term
}

func (c *WorkerCore) release(now time.Time, ref platform.LeaseRef) platform.RenewReply {
	current, held := c.Lease(now)
	if !held || current != ref {
		return c.notGranted(now)
	}
	c.lease.expiresAt = now
	c.lastContact = now
	return platform.RenewReply{}
}

// notGranted returns an answer that names the lease holder or, if there is none,
// the reference with the highest term.
func (c *WorkerCore) notGranted(now time.Time) platform.RenewReply {
	ref, held := c.Lease(now)
	if !held {
		ref = c.highestRef
	}
	return platform.RenewReply{Current: ref}
}

// authorize refuses a command that does not carry the valid lease.
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
	c.recordOutcome(now, kind, t, ref, nil)
}

func (c *WorkerCore) recordOutcome(now time.Time, kind EventKind, t model.Task, ref platform.LeaseRef, o *model.Outcome) {
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
