package requests

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// OnTick handles requests whose deadline has passed, removes finished entries past
// the retention, retries locates, and resumes tasks after their backoff.
func (s *Service) OnTick() {
	now := s.env.Now()
	for _, id := range s.due(now) {
		s.expire(s.entries[id], now)
	}
	s.evictFinished(now)
	s.retryLocates(now)
	s.resumeAfterBackoff(now)
	s.gangsChanged = true
	if now-s.sharesRefreshedAt >= s.env.Timing.Heartbeat {
		s.sharesRefreshedAt = now
		s.refreshShares()
	}
	s.dispatchDue = true
}

// due returns the sorted ids of open entries with an unanswered dispatch or with
// waiting callers whose deadline has passed.
func (s *Service) due(now time.Duration) []model.TaskID {
	var ids []model.TaskID
	for id, e := range s.open {
		unanswered := e.phase == phaseDispatched && now-e.dispatchedAt > dispatchTimeout
		if unanswered || len(e.waiters) > 0 && now >= e.deadline {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// evictFinished removes the entries that finished longer ago than the retention. The
// list is ordered by the time of finish.
func (s *Service) evictFinished(now time.Duration) {
	n := 0
	for n < len(s.finished) && now-s.finished[n].finishedAt > s.env.Timing.Retention {
		if e := s.finished[n]; s.entries[e.base] == e {
			delete(s.entries, e.base)
		}
		s.finished[n] = nil
		n++
	}
	s.finished = s.finished[n:]
}

// expire handles an entry that due has returned: it finishes a waiting task, locates a
// task whose dispatch is unanswered, and replies to callers whose deadline has passed.
func (s *Service) expire(e *entry, now time.Duration) {
	switch e.phase {
	case phaseWaiting:
		s.finish(e, s.notStarted(e, verdict.CodeDeadline, "no worker was free in time"))
	case phaseDispatched:
		if now-e.dispatchedAt > dispatchTimeout {
			s.startLocate(e)
		}
		s.answerAtDeadline(e, now)
	default:
		s.answerAtDeadline(e, now)
	}
}

// answerAtDeadline replies to the waiting callers with the current phase once the
// deadline has passed. The request may continue to run, and its entry still records
// the outcome.
func (s *Service) answerAtDeadline(e *entry, now time.Duration) {
	if now < e.deadline {
		return
	}
	a := model.Answer{
		ID: e.id, Verdict: verdict.MayHaveRun, Code: verdict.CodeDeadline,
		Message: "still " + e.phase.String() + " at the deadline", RetryAfter: retryAfter,
	}
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		s.reply(w, a)
	}
}

// notStarted returns the answer for a task that is dropped before its current run was
// started. The verdict is "not run" unless an earlier run had begun, or another
// instance may have taken over the shard together with the request and may have run
// it without this instance's knowledge.
func (s *Service) notStarted(e *entry, code verdict.Code, message string) model.Answer {
	a := model.Refusal(e.id, verdict.Refuse(code, "%s", message).WithRetryAfter(retryAfter))
	if _, owned := s.ownership.OwnedTerm(e.shard); e.run > 1 || !s.connected() || !owned || s.handover.Frozen(e.shard) {
		a.Verdict = verdict.MayHaveRun
	}
	return a
}

// connected reports whether this instance would know if its shards had been taken
// over: it is in contact with a majority of the instances, and its reading of the log
// is recent.
func (s *Service) connected() bool { return s.config.Fresh() && s.members.Majority() }
