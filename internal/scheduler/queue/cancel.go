package queue

import (
	"cmp"
	"slices"

	"pollenbend/internal/model"
)

// Cancel removes and returns a waiting or parked task, or returns nil if there is
// none of that ID.
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
	q.updateHeaps(tm)
	return t
}

// CancelJob removes all waiting and parked tasks of a team's job and returns them:
// first the parked ones, then by class and lane, each in the order received.
func (q *Queue) CancelJob(name model.TeamID, job model.JobID) []*model.Task {
	tm := q.team(name)
	out := q.cancelParked(tm, job)
	for class := range tm.backlogs {
		b := &tm.backlogs[class]
		for i := range b.lanes {
			out = append(out, q.cancelInLane(tm, b, &b.lanes[i], job)...)
		}
	}
	q.updateHeaps(tm)
	return out
}

// cancelParked removes the parked tasks of a job and returns them in the order received.
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

// cancelInLane removes the tasks of a job from a lane and returns them in the order
// received.
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

// cancel removes a waiting task. Its item stays in the lane without a task until it is
// trimmed. The caller updates the heaps.
func (q *Queue) cancel(tm *team, b *backlog, it *item) {
	t := it.task
	delete(q.waiting, t.ID)
	it.task = nil
	b.size--
	tm.addWaiting(t, -1)
	b.laneOf(t).canceled()
}
