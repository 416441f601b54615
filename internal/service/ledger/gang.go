package ledger

import (
	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// HoldTasks reserves resources for those tasks of a gang that fit on a held worker,
// up to the number that the team may still start here. A hold lasts until the task is
// dispatched or the hold expires.
func (s *Service) HoldTasks(m wire.HoldTasks) wire.Held {
	out := wire.Held{ID: m.ID}
	if len(m.Tasks) == 0 || !s.freshness.fresh(s.env.Now()) {
		return out
	}
	team := m.Tasks[0].Team
	otherHolds := s.gangHoldCount(team)
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if _, own := s.placement.gangHolds[t.ID]; own && s.isHeld(t.ID) {
			otherHolds--
		}
		if s.holdTask(t, m) {
			out.Tasks = append(out.Tasks, t.ID)
		}
	}
	allowed := s.limits.StartableTasks(team, otherHolds+int64(len(out.Tasks))) - otherHolds
	for int64(len(out.Tasks)) > max(allowed, 0) {
		last := len(out.Tasks) - 1
		s.releaseHold(out.Tasks[last])
		out.Tasks = out.Tasks[:last]
		out.Limited = true
	}
	return out
}

// holdTask reserves resources for a task on a held worker, or extends its reservation.
// It reports whether resources are reserved now.
func (s *Service) holdTask(t *model.Task, m wire.HoldTasks) bool {
	shard := model.ShardOfTask(t.ID)
	if _, known := s.lookup(t.ID); known || m.Term < s.maxTerms[shard] {
		return false
	}
	s.maxTerms[shard] = m.Term
	id, status := s.chooseWorker(t)
	if !status.Success() {
		s.releaseHold(t.ID)
		return false
	}
	if w, ok := s.workers[id]; !ok || !w.leased(s.env.Now()) {
		return false
	}
	if s.placement.scheduler.Fleet.Hold(t, id, s.env.Now()+m.Expires) != nil {
		return false
	}
	s.placement.gangHolds[t.ID] = t.Team
	return true
}

// ReleaseHolds frees the resources reserved for tasks.
func (s *Service) ReleaseHolds(m wire.ReleaseHolds) {
	for _, id := range m.Tasks {
		s.releaseHold(id)
	}
}

func (s *Service) releaseHold(id model.TaskID) {
	if _, ok := s.placement.gangHolds[id]; ok {
		delete(s.placement.gangHolds, id)
		s.placement.scheduler.Fleet.Unhold(id)
	}
}

func (s *Service) isHeld(id model.TaskID) bool {
	_, ok := s.placement.scheduler.Fleet.HoldOf(id)
	return ok
}

// gangHoldCount returns the number of tasks of a team's gangs for which resources are
// reserved here, and removes the records of expired holds.
func (s *Service) gangHoldCount(team model.TeamID) int64 {
	var n int64
	for id, t := range s.placement.gangHolds {
		switch {
		case !s.isHeld(id):
			delete(s.placement.gangHolds, id)
		case t == team:
			n++
		}
	}
	return n
}

// reservedForGangs reports whether every start that the team's limit still allows
// here is reserved for its gangs, and t has no such reservation.
func (s *Service) reservedForGangs(t *model.Task) bool {
	if len(s.placement.gangHolds) == 0 {
		return false
	}
	if _, own := s.placement.gangHolds[t.ID]; own && s.isHeld(t.ID) {
		return false
	}
	held := s.gangHoldCount(t.Team)
	return held > 0 && s.limits.StartableTasks(t.Team, held+1) <= held
}
