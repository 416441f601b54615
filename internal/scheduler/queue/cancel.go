package queue

import (
	"cmp"
	"slices"

	"pollenbend/internal/model"
)

// Cancel takes a waiting task out and returns it, or nil when it doesn't wait.
func (q *Queue) Cancel(id model.TaskID) *model.Task {
	if it := q.parked[id]; it != nil {
		delete(q.parked, id)
		q.team(it.task.Team).addWaiting(it.task, -1)
		return it.task
	}
	it := q.waiting[id]
	if it == nil {
		return nil
	}
	t := it.task
	tm := q.team(t.Team)
	q.cancel(tm, &tm.backlogs[classIndex(t.Class)], it)
	q.arrange(tm)
	return t
}

// CancelJob takes all waiting tasks of a team's job out in one pass, and returns
// them in the order received within each class and lane.
func (q *Queue) CancelJob(name model.TeamID, job model.JobID) []*model.Task {
	tm := q.team(name)
	out := q.cancelParked(tm, job)
	for class := range tm.backlogs {
		b := &tm.backlogs[class]
		for i := range b.lanes {
			out = append(out, q.cancelInLane(tm, b, &b.lanes[i], job)...)
		}
	}
	q.arrange(tm)
	return out
}

func (q *Queue) cancelParked(tm *team, job model.JobID) []*model.Task {
	var found []*item
	for _, it := range q.parked {
		if it.task.Team == tm.name && it.task.Job == job {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b *item) int { return cmp.Compare(a.seq, b.seq) })
	var out []*model.Task
	for _, it := range found {
		out = append(out, it.task)
		delete(q.parked, it.task.ID)
		tm.addWaiting(it.task, -1)
	}
	return out
}

func (q *Queue) cancelInLane(tm *team, b *backlog, l *lane, job model.JobID) []*model.Task {
	var found []*item
	for _, it := range l.items[l.head:] {
		if it.task != nil && it.task.Job == job {
			found = append(found, it)
		}
	}
	out := make([]*model.Task, 0, len(found))
	for _, it := range found {
		out = append(out, it.task)
		q.cancel(tm, b, it)
	}
	return out
}

func (q *Queue) cancel(tm *team, b *backlog, it *item) {
	t := it.task
	delete(q.waiting, t.ID)
	it.task = nil
	b.size--
	tm.addWaiting(t, -1)
	b.laneOf(t).canceled()
}
