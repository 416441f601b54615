package testcell

import (
	"strconv"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Call is a caller's request and its answers.
type Call struct {
	Handle   uint64
	Request  model.Request
	Team     model.TeamID // team of the request's key
	Instance model.InstanceID
	SentAt   time.Duration
	Deadline time.Duration // on the cell's clock, which is the caller's
	Answers  []ReceivedAnswer
	// Lost is set when the instance was killed before it answered or was not
	// running when the request was sent.
	Lost bool
}

// ReceivedAnswer is an answer and the time at which the caller received it.
type ReceivedAnswer struct {
	At     time.Duration
	Answer model.Answer
}

func (c *Call) answered() bool { return len(c.Answers) > 0 }

// ID returns the id of the request, or the id that the instance assigned if the
// caller set none.
func (c *Call) ID() string {
	if c.Request.ID == "" && c.answered() {
		return c.Answers[0].Answer.ID
	}
	return c.Request.ID
}

// Verdict returns the verdict that the caller has received. It is MayHaveRun for a
// lost call and Pending for a call that is neither answered nor lost.
func (c *Call) Verdict() verdict.Verdict {
	switch {
	case c.answered():
		return c.Answers[0].Answer.Verdict
	case c.Lost:
		return verdict.MayHaveRun
	}
	return verdict.Pending
}

// SendRequest sends a request of a team to an instance. The call's deadline follows from
// the request's timeout, which is limited to the cell's request timeout.
func (c *Cell) SendRequest(via model.InstanceID, team model.TeamID, r model.Request) *Call {
	timeout := r.Timeout
	if timeout <= 0 || timeout > c.options.Timing.RequestTimeout {
		timeout = c.options.Timing.RequestTimeout
	}
	call := &Call{
		Handle: uint64(len(c.calls) + 1), Request: r, Team: team, Instance: via,
		SentAt: c.now, Deadline: c.now + timeout,
	}
	c.calls = append(c.calls, call)
	in := c.instances[via]
	if !in.alive {
		call.Lost = true
		return call
	}
	in.deliverEvent(c.randomLatency(), event.RequestIn{Handle: call.Handle, Request: r})
	return call
}

func (c *Cell) respond(_ *instance, a event.Respond) {
	call := c.calls[a.Handle-1]
	call.Answers = append(call.Answers, ReceivedAnswer{At: c.now, Answer: a.Answer})
}

// SetLogFaults replaces the injected faults of the log.
func (c *Cell) SetLogFaults(f LogFaults) {
	c.log.SetFaults(c.wallTime(), f)
	c.logFaultsSetAt = c.now
}
