package engine

import "time"

// Attempt identifies one attempt of an instance to submit a job for a caller. An attempt without
// an answer may arrive after a later one. The zero value is an attempt of an instance of an
// earlier version.
type Attempt struct {
	Call   string // unique to the caller's call
	Number int    // from 1
}

// maxSettledCalls bounds the record of refused repeats. At 100 bytes for each call it takes
// 7 MB.
const maxSettledCalls = 65_536

// lateAttemptReason is the reason for refusing an attempt after a later one was refused.
const lateAttemptReason = "a later attempt was refused"

// replyRefused refuses a submission. If it is not the first attempt of its call, the refusal is
// recorded, so that it holds for the earlier attempts as well.
func (e *Engine) replyRefused(ev *Submit, why string, retryAfter time.Duration) {
	ev.Reply(Answer{Outcome: Refused, Why: why, RetryAfter: retryAfter, Settles: e.settle(ev.Attempt)})
}

// settle records that an attempt was refused. It reports false if there is no earlier attempt, or
// if the record is full: then an earlier attempt may still be accepted.
func (e *Engine) settle(a Attempt) bool {
	if a.Call == "" || a.Number <= 1 {
		return false
	}
	last, known := e.settledCalls[a.Call]
	if !known && len(e.settledCalls) >= maxSettledCalls {
		return false
	}
	e.settledCalls[a.Call] = max(last, a.Number)
	return true
}

// refuseSettled refuses a submission if a later attempt of its call was refused, as the caller
// may have been told that the job was not run. It reports whether that is so.
func (e *Engine) refuseSettled(ev *Submit) bool {
	last := e.settledCalls[ev.Attempt.Call]
	if ev.Attempt.Number >= last {
		return false
	}
	e.log.Info("late submission refused", "job", ev.Spec.ID, "queue", ev.Spec.Queue, "team", ev.Spec.Team, "attempt", ev.Attempt.Number, "refused_attempt", last)
	ev.Reply(Answer{Outcome: Refused, Why: lateAttemptReason, Settles: true})
	return true
}
