package requests

import (
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// OnTick ends requests whose callers' time is up and forgets old ones.
func (s *Service) OnTick() {
	now := s.env.Now()
	for _, id := range s.due(now) {
		s.expire(s.entries[id], now)
	}
	s.forgetOld(now)
	s.retryLocates(now)
	s.endBackoffs(now)
	s.gangsMoved = true
	if now-s.sharesAt >= s.env.Timing.Heartbeat {
		s.sharesAt = now
		s.refreshShares()
	}
	s.moved = true
}

// due returns the open entries that have something to do at now, sorted.
func (s *Service) due(now time.Duration) []model.TaskID {
	var ids []model.TaskID
	for id, e := range s.open {
		lost := e.phase == phaseDispatched && now-e.dispatchedAt > dispatchTimeout
		if lost || len(e.waiters) > 0 && now >= e.deadline {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forgetOld drops the entries that ended longer ago than the retention. They
// stand in the order of their ends.
func (s *Service) forgetOld(now time.Duration) {
	n := 0
	for n < len(s.ended) && now-s.ended[n].finishedAt > s.env.Timing.Retention {
		if e := s.ended[n]; s.entries[e.base] == e {
			delete(s.entries, e.base)
		}
		s.ended[n] = nil
		n++
	}
	s.ended = s.ended[n:]
}

func (s *Service) expire(e *entry, now time.Duration) {
	switch e.phase {
	case phaseWaiting:
		s.finish(e, s.unstarted(e, verdict.CodeDeadline, "no worker was free in time"))
	case phaseDispatched:
		if now-e.dispatchedAt > dispatchTimeout {
			s.startLocate(e)
		}
		s.answerLate(e, now)
	default:
		s.answerLate(e, now)
	}
}

// answerLate tells callers whose time is up the truth of this moment. The request
// may run on, and its entry goes on to learn the outcome.
func (s *Service) answerLate(e *entry, now time.Duration) {
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

// unstarted gives up a task that is not started now. Its request has not run,
// unless an earlier run had begun, or another instance may have taken the shard
// over, with the request in its memory, and run it without this one's knowledge.
func (s *Service) unstarted(e *entry, code verdict.Code, message string) model.Answer {
	a := model.Refusal(e.id, verdict.Refuse(code, "%s", message).After(retryAfter))
	if _, mine := s.ownership.Mine(e.shard); e.run > 1 || !s.connected() || !mine || s.handover.Frozen(e.shard) {
		a.Verdict = verdict.MayHaveRun
	}
	return a
}

// connected reports whether this instance would know if its shards had been taken
// over: it hears most of the others, and its reading of the log is recent.
func (s *Service) connected() bool { return s.config.Fresh() && s.members.Majority() }
