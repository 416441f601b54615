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

// taskHistory holds the starts and ends of all runs of one request.
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
	configs := c.configHistory()
	for _, call := range c.calls {
		c.checkAnswered(call)
		if call.Request.Op != model.OpCall || !call.answered() {
			continue
		}
		h := byTask[call.baseTask()]
		c.checkNotRun(call, h)
		c.checkDone(call, h)
		c.checkKey(call, configs)
	}
}

// checkAnswered checks that a call got exactly one answer by its deadline. After a
// pause of the instance, the timeout counts from the end of the pause. Callers of a
// killed or paused instance are exempt: their own client ends the call.
func (c *Cell) checkAnswered(call *Call) {
	if n := len(call.Answers); n > 1 {
		c.violateAt(call.Answers[1].At, PromiseAnswerInTime, "call %d to %s got %d answers", call.Handle, call.Instance, n)
	}
	in := c.instances[call.Instance]
	answerDeadline := max(call.Deadline, in.availableSince+call.Deadline-call.SentAt) + answerGrace
	if call.answered() || call.Lost || in.paused || c.now <= answerDeadline {
		return
	}
	c.violateAt(answerDeadline, PromiseAnswerInTime, "call %d to %s (%s) has no answer", call.Handle, call.Instance, call.ID())
}

// attemptCodes are the codes that refuse one attempt to submit a request and state
// nothing about the request itself.
var attemptCodes = map[verdict.Code]bool{
	verdict.CodeUnavailable: true, verdict.CodeUnauthorized: true, verdict.CodeForbidden: true,
	verdict.CodeOverloaded: true, verdict.CodeDraining: true, verdict.CodeConflict: true,
	verdict.CodeStaleAuthority: true, verdict.CodeBadRequest: true,
}

// checkNotRun checks that a request that was answered with "not run" did not start.
// If another attempt of the same request may have caused the start, only verdicts
// about the request itself are checked, against starts before the later attempt.
func (c *Cell) checkNotRun(call *Call, h taskHistory) {
	answer := call.Answers[0]
	if answer.Answer.Verdict != verdict.NotRun {
		return
	}
	until := time.Duration(1<<63 - 1)
	for _, other := range c.calls {
		if other == call || other.Request.Op != model.OpCall || other.baseTask() != call.baseTask() || other.notRun() {
			continue
		}
		if attemptCodes[answer.Answer.Code] {
			return
		}
		if end := other.definiteAnswerTime(); end > answer.At {
			until = min(until, max(other.SentAt, answer.At))
		}
	}
	for _, at := range h.starts {
		if at < until {
			c.violateAt(at, PromiseNotRun, "%s started, but call %d was answered not run (%s) at %v",
				call.baseTask(), call.Handle, answer.Answer.Code, answer.At)
			return
		}
	}
}

func (c *Call) notRun() bool {
	return c.answered() && c.Answers[0].Answer.Verdict == verdict.NotRun
}

// definiteAnswerTime returns when the caller got a definite answer. Without one it
// returns the maximum duration, because the request may still run.
func (c *Call) definiteAnswerTime() time.Duration {
	if c.answered() && c.Verdict() != verdict.MayHaveRun {
		return c.Answers[0].At
	}
	return 1<<63 - 1
}

// echoAnswer is the answer that the stand-in worker returns for a task.
type echoAnswer struct {
	Echo []byte       `json:"echo"`
	Task model.TaskID `json:"task"`
}

// checkDone checks that the body of a "done" answer is the complete answer that a
// worker returned for this request.
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
		c.violateAt(answer.At, PromiseCompleteAnswer, "call %d was answered failed, but no run of %s failed", call.Handle, call.baseTask())
		return
	}
	var e echoAnswer
	if err := json.Unmarshal(answer.Answer.Body, &e); err != nil {
		c.violateAt(answer.At, PromiseCompleteAnswer, "call %d got an invalid answer: %v", call.Handle, err)
		return
	}
	if !bytes.Equal(e.Echo, call.Request.Task.Payload) || model.BaseTask(e.Task) != call.baseTask() {
		c.violateAt(answer.At, PromiseCompleteAnswer, "call %d (%s) got the answer of %s", call.Handle, call.baseTask(), e.Task)
		return
	}
	for _, out := range h.ends {
		if out.Complete && !out.Failed && bytes.Equal(out.Answer, answer.Answer.Body) {
			return
		}
	}
	c.violateAt(answer.At, PromiseCompleteAnswer, "call %d got an answer that no worker gave", call.Handle)
}

// checkKey checks that a request was refused if its key had been withdrawn for at
// least withdrawalGrace when it was sent.
func (c *Cell) checkKey(call *Call, configs []configVersion) {
	if call.Request.Key == "" {
		return
	}
	hash := declare.HashSecret(call.Request.Key)
	for i, v := range configs {
		replaced := i+1 < len(configs) && configs[i+1].at <= call.SentAt-withdrawalGrace
		if _, ok := v.keys[hash]; ok && !replaced {
			return
		}
	}
	if call.Answers[0].Answer.Verdict != verdict.NotRun {
		c.violateAt(call.SentAt, PromiseKey, "call %d with a withdrawn key was answered %s", call.Handle, call.Verdict())
	}
}

// checkConfig checks that every accepted change is in force at each instance that
// has been running and able to reach the log for limitGrace.
func (c *Cell) checkConfig() {
	var wanted uint64
	for _, v := range c.configHistory() {
		if v.at <= c.now-limitGrace {
			wanted = v.version
		}
	}
	for _, id := range c.order {
		in := c.instances[id]
		since := max(in.availableSince, c.logFaultsSetAt)
		if !in.running() || c.logUnreachable[id] || c.log.Faults() != (LogFaults{}) || c.now-since < limitGrace {
			continue
		}
		if in.maxVersion < wanted {
			c.violate(PromiseConfig, "%s has version %d in force, version %d was accepted", id, in.maxVersion, wanted)
		}
	}
}
