package testcell

import (
	"bytes"
	"encoding/json"
	"time"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
	"pollenbend/internal/standin"
	"pollenbend/internal/verdict"
)

// taskHistory is what workers did with the runs of one request.
type taskHistory struct {
	starts []time.Duration
	ends   []model.Outcome
}

func historyByTask(events []standin.Event) map[model.TaskID]taskHistory {
	byTask := make(map[model.TaskID]taskHistory)
	for _, e := range events {
		base := model.BaseTask(e.Task)
		h := byTask[base]
		switch {
		case e.Kind == standin.EventStart:
			h.starts = append(h.starts, e.At.Sub(epoch))
		case e.Kind == standin.EventEnd && e.Outcome != nil:
			h.ends = append(h.ends, *e.Outcome)
		}
		byTask[base] = h
	}
	return byTask
}

func (c *Cell) checkCalls(events []standin.Event) {
	byTask := historyByTask(events)
	configs := c.configs()
	for _, call := range c.calls {
		c.checkAnswered(call)
		if call.Request.Op != model.OpCall || !call.answered() {
			continue
		}
		h := byTask[call.base()]
		c.checkNotRun(call, h)
		c.checkDone(call, h)
		c.checkKey(call, configs)
	}
}

// checkAnswered wants one answer by the deadline, counted from the end of a pause
// of the instance. A caller of an instance that died or is paused is answered by
// its own client.
func (c *Cell) checkAnswered(call *Call) {
	if n := len(call.Answers); n > 1 {
		c.violateAt(call.Answers[1].At, PromiseAnswer, "call %d to %s got %d answers", call.Handle, call.Via, n)
	}
	in := c.instances[call.Via]
	late := max(call.Deadline, in.steadySince+call.Deadline-call.SentAt) + answerGrace
	if call.answered() || call.Lost || in.paused || c.now <= late {
		return
	}
	c.violateAt(late, PromiseAnswer, "call %d to %s (%s) has no answer", call.Handle, call.Via, call.ID())
}

// refusesAttempt lists the codes that speak of one attempt to hand in a request
// and not of the request itself.
var refusesAttempt = map[verdict.Code]bool{
	verdict.CodeUnavailable: true, verdict.CodeUnauthorized: true, verdict.CodeForbidden: true,
	verdict.CodeOverloaded: true, verdict.CodeDraining: true, verdict.CodeConflict: true,
	verdict.CodeStaleAuthority: true, verdict.CodeBadRequest: true,
}

// checkNotRun wants no start of a request that was answered with "not run". When
// another attempt at the same request may have led to the start, only a verdict
// on the request itself counts, and only starts before the later attempt.
func (c *Cell) checkNotRun(call *Call, h taskHistory) {
	answer := call.Answers[0]
	if answer.Answer.Verdict != verdict.NotRun {
		return
	}
	until := time.Duration(1<<63 - 1)
	for _, other := range c.calls {
		if other == call || other.Request.Op != model.OpCall || other.base() != call.base() || other.refused() {
			continue
		}
		if refusesAttempt[answer.Answer.Code] {
			return
		}
		if end := other.end(); end > answer.At {
			until = min(until, max(other.SentAt, answer.At))
		}
	}
	for _, at := range h.starts {
		if at < until {
			c.violateAt(at, PromiseNotRun, "%s started, but call %d was answered not run (%s) at %v",
				call.base(), call.Handle, answer.Answer.Code, answer.At)
			return
		}
	}
}

func (c *Call) refused() bool {
	return c.answered() && c.Answers[0].Answer.Verdict == verdict.NotRun
}

// end returns when a call's caller stopped waiting.
func (c *Call) end() time.Duration {
	if c.answered() && c.Verdict() != verdict.MayHaveRun {
		return c.Answers[0].At
	}
	return 1<<63 - 1
}

// echo is the stand-in's answer.
type echo struct {
	Echo []byte       `json:"echo"`
	Task model.TaskID `json:"task"`
}

// checkDone wants the body that a worker gave as the complete answer to this very
// request.
func (c *Cell) checkDone(call *Call, h taskHistory) {
	answer := call.Answers[0]
	if answer.Answer.Verdict != verdict.Done {
		return
	}
	if answer.Answer.Code == verdict.CodeTaskFailed {
		for _, out := range h.ends {
			if out.Failed {
				return
			}
		}
		c.violateAt(answer.At, PromiseDone, "call %d was answered failed, but no run of %s failed", call.Handle, call.base())
		return
	}
	var e echo
	if err := json.Unmarshal(answer.Answer.Body, &e); err != nil {
		c.violateAt(answer.At, PromiseDone, "call %d got a cut answer: %v", call.Handle, err)
		return
	}
	if !bytes.Equal(e.Echo, call.Request.Task.Payload) || model.BaseTask(e.Task) != call.base() {
		c.violateAt(answer.At, PromiseDone, "call %d (%s) got the answer of %s", call.Handle, call.base(), e.Task)
		return
	}
	for _, out := range h.ends {
		if out.Complete && !out.Failed && bytes.Equal(out.Answer, answer.Answer.Body) {
			return
		}
	}
	c.violateAt(answer.At, PromiseDone, "call %d got an answer that no worker gave", call.Handle)
}

// checkKey wants a refusal for a key that had been withdrawn for a while when the
// request came.
func (c *Cell) checkKey(call *Call, configs []configAt) {
	if call.Request.Key == "" {
		return
	}
	hash := declare.HashSecret(call.Request.Key)
	for i, v := range configs {
		over := i+1 < len(configs) && configs[i+1].at <= call.SentAt-withdrawalGrace
		if _, ok := v.keys[hash]; ok && !over {
			return
		}
	}
	if call.Answers[0].Answer.Verdict != verdict.NotRun {
		c.violateAt(call.SentAt, PromiseKey, "call %d with a withdrawn key was answered %s", call.Handle, call.Verdict())
	}
}

// checkConfig wants every accepted change in force at each instance that was up
// and in touch with the log for long enough.
func (c *Cell) checkConfig() {
	var wanted uint64
	for _, v := range c.configs() {
		if v.at <= c.now-limitGrace {
			wanted = v.version
		}
	}
	for _, id := range c.order {
		in := c.instances[id]
		steady := max(in.steadySince, c.logSince)
		if !in.running() || c.noLog[id] || c.log.Faults() != (LogFaults{}) || c.now-steady < limitGrace {
			continue
		}
		if in.version < wanted {
			c.violate(PromiseConfig, "%s has version %d in force, version %d was accepted", id, in.version, wanted)
		}
	}
}
