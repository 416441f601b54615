package standin

import "time"

// WorkerFaults are the injected faults of one worker. WorkerCore applies
// FailAllTasks, TruncateAnswers and ReportDelay, and does not advance while Paused.
// Workers applies the others, and queues commands while Paused.
type WorkerFaults struct {
	// FailAllTasks makes every task that starts fail after failedRunTime.
	FailAllTasks bool `json:"fail_everything,omitempty"`
	// TruncateAnswers truncates answers to half; their outcomes are not Complete.
	TruncateAnswers bool `json:"cut_answer,omitempty"`
	// Paused suspends the worker: no task ends and no command is answered. The
	// commands run when the worker resumes.
	Paused bool `json:"paused,omitempty"`
	// LoseStartAnswer makes starts take effect but return ErrAnswerLost.
	LoseStartAnswer bool `json:"lose_start_answer,omitempty"`
	// ReportDelay delays the report of every outcome.
	ReportDelay time.Duration `json:"report_delay,omitempty"`
	// Unresponsive accepts commands without effect and never answers them.
	Unresponsive bool `json:"silent,omitempty"`
	// Unreachable makes every command fail with ErrUnreachable, without effect.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Faults returns the faults in force.
func (c *WorkerCore) Faults() WorkerFaults { return c.faults }

// SetFaults replaces the faults in force.
func (c *WorkerCore) SetFaults(now time.Time, f WorkerFaults) {
	c.Advance(now)
	resumed := c.faults.Paused && !f.Paused
	c.faults = f
	if resumed {
		c.resume(now)
	}
}

// resume moves the due times and the expiry of the task lease that fell into a
// pause to the end of the pause.
func (c *WorkerCore) resume(now time.Time) {
	for _, t := range c.running {
		if !t.due.IsZero() && t.due.Before(now) {
			t.due = now
		}
	}
	if c.lastContact.Add(c.settings.TaskLease).Before(now) {
		c.lastContact = now.Add(-c.settings.TaskLease)
	}
	c.Advance(now)
}

// Restart starts a new incarnation. The running tasks end without an outcome, and
// all state of tasks, leases and terms is lost.
func (c *WorkerCore) Restart(now time.Time) {
	for _, t := range c.running {
		c.recordOutcome(now, EventEnd, t.task, t.ref, nil)
	}
	c.startIncarnation(now)
	c.history.add(Event{At: now, Kind: EventRestart, Worker: c.worker.ID, Incarnation: c.incarnation})
}
