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

// ends are ended tasks that no progress record holds yet.
type ends struct {
	done   []int
	failed []int
}

// TaskEnded notes a task's end for the next progress record.
func (s *Service) TaskEnded(t model.Task, a model.Answer) {
	k := key{t.Team, t.Job}
	e, ok := s.ended[k]
	if !ok {
		e = &ends{}
		s.ended[k] = e
	}
	if a.Verdict == verdict.Done && a.Code == verdict.CodeOK {
		e.done = append(e.done, t.Index)
	} else {
		e.failed = append(e.failed, t.Index)
	}
}

// OnTick writes progress records and ends submissions whose time is up.
func (s *Service) OnTick() {
	now := s.env.Now()
	s.expireSubmissions(now)
	s.forgetOld(now)
	if now < s.flushAt || len(s.ended) == 0 || s.flushID != 0 && now < s.flushAt+flushTimeout {
		return
	}
	s.flush(now)
}

// flush appends the ends gathered so far. Ends of an append that failed are
// written again; folding them twice changes nothing.
func (s *Service) flush(now time.Duration) {
	s.flushAt = now + flushInterval
	s.flushed = s.ended
	s.ended = make(map[key]*ends)
	var records []wire.Record
	for _, k := range sortedKeys(s.flushed) {
		e := s.flushed[k]
		records = append(records, wire.JobProgress{Team: k.team, Job: k.id, Done: e.done, Failed: e.failed})
	}
	s.flushID = s.env.Append(records...)
}

// sortedKeys returns a map's keys in order, so that the same events always give
// the same actions.
func sortedKeys[V any](m map[key]V) []key {
	return slices.SortedFunc(maps.Keys(m), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.id, b.id))
	})
}

// OnAppendDone settles submissions that certainly are not in the log, and gathers
// progress again that may not be.
func (s *Service) OnAppendDone(d event.AppendDone) {
	if d.ID == s.flushID {
		s.flushID = 0
		if d.Verdict != verdict.Done {
			s.gatherAgain()
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
		s.refuse(k, verdict.Refuse(verdict.CodeUnavailable, "the log takes no jobs now").After(retryAfter))
	}
}

func (s *Service) gatherAgain() {
	for k, e := range s.flushed {
		again, ok := s.ended[k]
		if !ok {
			again = &ends{}
			s.ended[k] = again
		}
		again.done = append(again.done, e.done...)
		again.failed = append(again.failed, e.failed...)
	}
}
