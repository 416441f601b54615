package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// endedTasks are the ended tasks of a job that no progress record contains yet, as
// task indexes.
type endedTasks struct {
	done   []int
	failed []int
}

// TaskEnded adds a task's end to the next progress record.
func (s *Service) TaskEnded(t model.Task, a model.Answer) {
	k := key{t.Team, t.Job}
	e, ok := s.ended[k]
	if !ok {
		e = &endedTasks{}
		s.ended[k] = e
	}
	if a.Verdict == verdict.Done && a.Code == verdict.CodeOK {
		e.done = append(e.done, t.Index)
	} else {
		e.failed = append(e.failed, t.Index)
	}
}

// OnTick writes progress records, answers the callers of pending jobs whose deadline
// has passed and removes old jobs.
func (s *Service) OnTick() {
	now := s.env.Now()
	s.expirePending(now)
	s.removeOldJobs(now)
	if s.flushID != 0 && now >= s.flushAt+flushTimeout {
		s.flushID = 0
		s.requeueFlushed() // the append may have had an effect, but that does not matter
	}
	if now >= s.flushAt && len(s.ended) > 0 && s.flushID == 0 {
		s.flush(now)
	}
}

// flush appends progress records of the tasks that have ended so far. Those of an append
// that failed, or has no result in time, are written again; applying them twice changes
// nothing.
func (s *Service) flush(now time.Duration) {
	s.flushAt = now + flushInterval
	s.flushed = s.ended
	s.ended = make(map[key]*endedTasks)
	var records []wire.Record
	for _, k := range sortedKeys(s.flushed) {
		e := s.flushed[k]
		records = append(records, wire.JobProgress{Team: k.team, Job: k.id, Done: e.done, Failed: e.failed})
	}
	s.flushID = s.env.Append(records...)
}

// sortedKeys returns a map's keys in sorted order, so that the same events always
// produce the same actions.
func sortedKeys[V any](m map[key]V) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.id, b.id))
	})
}

// OnAppendDone refuses pending jobs whose record is certainly not in the log. Progress
// that may not be in the log is added to the next progress record.
func (s *Service) OnAppendDone(d event.AppendDone) {
	if d.ID == s.flushID {
		s.flushID = 0
		if d.Verdict != verdict.Done {
			s.requeueFlushed()
		}
		s.flushed = nil
		return
	}
	keys := s.appends[d.ID]
	delete(s.appends, d.ID)
	if d.Verdict != verdict.NotRun {
		return
	}
	for _, k := range keys {
		s.refuse(k, verdict.Refuse(verdict.CodeUnavailable, "the log takes no jobs now").WithRetryAfter(retryAfter))
	}
}

func (s *Service) requeueFlushed() {
	for k, e := range s.flushed {
		pending, ok := s.ended[k]
		if !ok {
			pending = &endedTasks{}
			s.ended[k] = pending
		}
		pending.done = append(pending.done, e.done...)
		pending.failed = append(pending.failed, e.failed...)
	}
}
