package standin

import "time"

// WorkerFaults are the scripted faults of one worker. FailEverything, CutAnswer
// and ReportDelay act in WorkerCore; the others act where commands arrive.
type WorkerFaults struct {
	FailEverything bool `json:"fail_everything,omitempty"`
	// CutAnswer cuts answers in half; their outcomes are not Complete.
	CutAnswer bool `json:"cut_answer,omitempty"`
	// Paused freezes the worker: nothing ends and no command is answered.
	Paused bool `json:"paused,omitempty"`
	// LoseStartAnswer lets starts take effect and loses their answers.
	LoseStartAnswer bool `json:"lose_start_answer,omitempty"`
	// ReportDelay delays the report of every outcome.
	ReportDelay time.Duration `json:"report_delay,omitempty"`
	// Silent takes commands in and never answers; they have no effect.
	Silent bool `json:"silent,omitempty"`
	// Unreachable breaks the connection of every command without effect.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Faults returns the faults in force.
func (c *WorkerCore) Faults() WorkerFaults { return c.faults }

// SetFaults replaces the faults in force.
func (c *WorkerCore) SetFaults(now time.Time, f WorkerFaults) {
	c.Advance(now)
	woken := c.faults.Paused && !f.Paused
	c.faults = f
	if woken {
		c.wake(now)
	}
}

// wake moves what fell due during a pause to its end.
func (c *WorkerCore) wake(now time.Time) {
	for _, t := range c.running {
		if !t.due.IsZero() && t.due.Before(now) {
			t.due = now
		}
	}
	if c.contact.Add(c.settings.TaskLease).Before(now) {
		c.contact = now.Add(-c.settings.TaskLease)
	}
	c.Advance(now)
}

// Restart begins a new incarnation. Its tasks are gone without an outcome, and
// all memory of tasks, leases and terms with them.
func (c *WorkerCore) Restart(now time.Time) {
	for _, t := range c.running {
		c.recordEnd(now, EventEnd, t.task, t.ref, nil)
	}
	c.begin(now)
	c.history.add(Event{At: now, Kind: EventRestart, Worker: c.worker.ID, Incarnation: c.incarnation})
}
