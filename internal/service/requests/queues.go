package requests

import (
	"slices"

	"pollenbend/internal/model"
)

// queues holds the waiting entries of each team, urgent ones first and otherwise
// in the order received.
type queues struct {
	byTeam map[model.TeamID]*teamQueue
	teams  []model.TeamID // keys of byTeam, sorted
}

type teamQueue struct {
	classes [3][]*entry
}

func newQueues() *queues { return &queues{byTeam: make(map[model.TeamID]*teamQueue)} }

func classRank(c model.Class) int {
	switch c {
	case model.ClassUrgent:
		return 0
	case model.ClassLow:
		return 2
	}
	return 1
}

func (q *queues) team(id model.TeamID) *teamQueue {
	t, ok := q.byTeam[id]
	if !ok {
		t = &teamQueue{}
		q.byTeam[id] = t
		i, _ := slices.BinarySearch(q.teams, id)
		q.teams = slices.Insert(q.teams, i, id)
	}
	return t
}

func (q *queues) push(e *entry) {
	t := q.team(e.task.Team)
	r := classRank(e.task.Class)
	t.classes[r] = append(t.classes[r], e)
}

func (q *queues) pushFront(e *entry) {
	t := q.team(e.task.Team)
	r := classRank(e.task.Class)
	t.classes[r] = slices.Insert(t.classes[r], 0, e)
}

func (q *queues) remove(e *entry) {
	t := q.team(e.task.Team)
	r := classRank(e.task.Class)
	if i := slices.Index(t.classes[r], e); i >= 0 {
		t.classes[r] = slices.Delete(t.classes[r], i, i+1)
	}
}

func (q *queues) len(id model.TeamID) int {
	t, ok := q.byTeam[id]
	if !ok {
		return 0
	}
	return len(t.classes[0]) + len(t.classes[1]) + len(t.classes[2])
}

func (q *queues) head(id model.TeamID) *entry {
	t, ok := q.byTeam[id]
	if !ok {
		return nil
	}
	for _, class := range t.classes {
		if len(class) > 0 {
			return class[0]
		}
	}
	return nil
}
