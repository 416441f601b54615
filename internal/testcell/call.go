package testcell

import (
	"strconv"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Call is a request of a caller and what came back.
type Call struct {
	Handle   uint64
	Request  model.Request
	Team     model.TeamID // whose key it carries
	Via      model.InstanceID
	SentAt   time.Duration
	Deadline time.Duration // by the caller's own clock
	Answers  []Answered
	// Lost tells that the instance died before it answered, or was dead.
	Lost bool
}

// Answered is an answer and when it came.
type Answered struct {
	At     time.Duration
	Answer model.Answer
}

func (c *Call) answered() bool { return len(c.Answers) > 0 }

// ID returns the id of the request, also when it was minted.
func (c *Call) ID() string {
	if c.Request.ID == "" && c.answered() {
		return c.Answers[0].Answer.ID
	}
	return c.Request.ID
}

// Verdict returns the final verdict as the caller knows it.
func (c *Call) Verdict() verdict.Verdict {
	switch {
	case c.answered():
		return c.Answers[0].Answer.Verdict
	case c.Lost:
		return verdict.MayHaveRun
	}
	return verdict.Pending
}

// Do sends a request to an instance on behalf of a caller.
func (c *Cell) Do(via model.InstanceID, team model.TeamID, r model.Request) *Call {
	timeout := r.Timeout
	if timeout <= 0 || timeout > c.options.Timing.RequestTimeout {
		timeout = c.options.Timing.RequestTimeout
	}
	call := &Call{
		Handle: uint64(len(c.calls) + 1), Request: r, Team: team, Via: via,
		SentAt: c.now, Deadline: c.now + timeout,
	}
	c.calls = append(c.calls, call)
	in := c.instances[via]
	if !in.alive {
		call.Lost = true
		return call
	}
	in.post(c.latency(), event.RequestIn{Handle: call.Handle, Request: r})
	return call
}

func (c *Cell) respond(_ *instance, a event.Respond) {
	call := c.calls[a.Handle-1]
	call.Answers = append(call.Answers, Answered{At: c.now, Answer: a.Answer})
}

// LogFaults replaces the faults of the log.
func (c *Cell) LogFaults(f LogFaults) {
	c.log.SetFaults(c.wall(), f)
	c.logSince = c.now
}
