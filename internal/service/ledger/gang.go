package ledger

import (
	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// HoldTasks keeps room for the tasks of a gang that have a place here, within what
// the team may still start, until they are dispatched or the holds expire.
func (s *Service) HoldTasks(m wire.HoldTasks) wire.Held {
	out := wire.Held{ID: m.ID}
	if len(m.Tasks) == 0 || !s.freshness.fresh(s.env.Now()) {
		return out
	}
	team := m.Tasks[0].Team
	others := s.heldFor(team)
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if _, own := s.place.gangHolds[t.ID]; own && s.isHeld(t.ID) {
			others--
		}
		if s.hold(t, m) {
			out.Tasks = append(out.Tasks, t.ID)
		}
	}
	room := s.limits.Room(team, others+int64(len(out.Tasks))) - others
	for int64(len(out.Tasks)) > max(room, 0) {
		last := len(out.Tasks) - 1
		s.unhold(out.Tasks[last])
		out.Tasks = out.Tasks[:last]
		out.Limited = true
	}
	return out
}

func (s *Service) hold(t *model.Task, m wire.HoldTasks) bool {
	shard := model.ShardOfTask(t.ID)
	if _, known := s.lookup(t.ID); known || m.Term < s.seen[shard] {
		return false
	}
	s.seen[shard] = m.Term
	id, status := s.choose(t)
	if !status.Success() {
		s.unhold(t.ID)
		return false
	}
	if w, ok := s.workers[id]; !ok || !w.leased(s.env.Now()) {
		return false
	}
	if s.place.scheduler.Fleet.Hold(t, id, s.env.Now()+m.Expires) != nil {
		return false
	}
	s.place.gangHolds[t.ID] = t.Team
	return true
}

// ReleaseHolds gives up the room kept for tasks.
func (s *Service) ReleaseHolds(m wire.ReleaseHolds) {
	for _, id := range m.Tasks {
		s.unhold(id)
	}
}

func (s *Service) unhold(id model.TaskID) {
	if _, ok := s.place.gangHolds[id]; ok {
		delete(s.place.gangHolds, id)
		s.place.scheduler.Fleet.Unhold(id)
	}
}

func (s *Service) isHeld(id model.TaskID) bool {
	_, ok := s.place.scheduler.Fleet.HoldOf(id)
	return ok
}

// heldFor counts the tasks of a team's gangs for which room is kept here.
func (s *Service) heldFor(team model.TeamID) int64 {
	var n int64
	for id, t := range s.place.gangHolds {
		switch {
		case !s.isHeld(id):
			delete(s.place.gangHolds, id)
		case t == team:
			n++
		}
	}
	return n
}

// keptForGangs reports whether all that the team may still start here is kept for
// its gangs, and the task is not of these.
func (s *Service) keptForGangs(t *model.Task) bool {
	if len(s.place.gangHolds) == 0 {
		return false
	}
	if _, own := s.place.gangHolds[t.ID]; own && s.isHeld(t.ID) {
		return false
	}
	held := s.heldFor(t.Team)
	return held > 0 && s.limits.Room(t.Team, held+1) <= held
}
