package queue

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/shares"
	"pollenbend/internal/verdict"
)

// Limiter enforces concurrency limits: it grants and takes back permits to run one
// task of a team.
type Limiter interface {
	// Acquire takes a permit of the team and reports whether one was free.
	Acquire(model.TeamID) bool
	// Release gives back a permit.
	Release(model.TeamID)
}

// Unlimited is a Limiter without limits.
type Unlimited struct{}

// Acquire implements Limiter.
func (Unlimited) Acquire(model.TeamID) bool { return true }

// Release implements Limiter.
func (Unlimited) Release(model.TeamID) {}

// DefaultMaxWaiting is the default maximum number of waiting tasks of one team.
const DefaultMaxWaiting = 100_000

// overloadRetryDelay is the retry delay returned to callers of a full queue.
const overloadRetryDelay = time.Second

// Priority classes, in the order in which Pop serves them.
const (
	classUrgent = iota
	classNormal
	classLow
	classCount
)

func classIndex(c model.Class) int {
	switch c {
	case model.ClassUrgent:
		return classUrgent
	case model.ClassLow:
		return classLow
	}
	return classNormal
}

// team holds the waiting tasks of one team.
type team struct {
	name     model.TeamID
	account  *shares.Account
	backlogs [classCount]backlog
	entries  [classCount]heapEntry
	limited  bool            // it has reached its concurrency limit
	waiting  int             // waiting and parked tasks
	demand   model.Resources // total demand of these tasks
	ceiling  float64         // dominant share at which it starts no more normal or low work
}

// Config configures a Queue.
type Config struct {
	MaxWaiting int     // tasks of one team; DefaultMaxWaiting when 0
	Limiter    Limiter // Unlimited when nil
}

// Queue holds the waiting tasks of all teams.
type Queue struct {
	Accounts *shares.Accounts // weights and usage of the teams

	maxWaiting int
	limiter    Limiter
	teams      map[model.TeamID]*team
	heaps      [classCount]teamHeap
	waiting    map[model.TaskID]*item
	popped     map[model.TaskID]*item // returned by Pop, until Started, Defer, Park or Drop is called
	parked     map[model.TaskID]*item // waiting for preempted capacity
	blocked    []blockedLane
	seq        uint64 // sequence number of the task pushed last
}

// New returns an empty queue.
func New(c Config) *Queue {
	if c.MaxWaiting == 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.Limiter == nil {
		c.Limiter = Unlimited{}
	}
	return &Queue{
		Accounts:   shares.NewAccounts(),
		maxWaiting: c.MaxWaiting,
		limiter:    c.Limiter,
		teams:      make(map[model.TeamID]*team),
		waiting:    make(map[model.TaskID]*item),
		popped:     make(map[model.TaskID]*item),
		parked:     make(map[model.TaskID]*item),
	}
}

// Len returns the number of waiting and parked tasks.
func (q *Queue) Len() int { return len(q.waiting) + len(q.parked) }

// Waiting returns the number of a team's waiting and parked tasks.
func (q *Queue) Waiting(name model.TeamID) int {
	if tm := q.teams[name]; tm != nil {
		return tm.waiting
	}
	return 0
}

// Push adds a task after the others of its team and class. If it refuses the task,
// the error has verdict NotRun and code overloaded, or conflict when the task is
// already waiting.
func (q *Queue) Push(t *model.Task) error {
	tm := q.team(t.Team)
	if q.waiting[t.ID] != nil || q.parked[t.ID] != nil {
		return verdict.Refuse(verdict.CodeConflict, "task %s waits already", t.ID)
	}
	if tm.waiting >= q.maxWaiting {
		return verdict.Refuse(verdict.CodeOverloaded, "team %s has %d tasks waiting", t.Team, tm.waiting).WithRetryAfter(overloadRetryDelay)
	}
	q.seq++
	q.add(tm, &item{t, q.seq}, (*lane).push)
	return nil
}

// add puts an item into the lane of its task with put.
func (q *Queue) add(tm *team, it *item, put func(*lane, *item)) {
	class := classIndex(it.task.Class)
	put(tm.backlogs[class].laneOf(it.task), it)
	tm.backlogs[class].size++
	tm.addWaiting(it.task, 1)
	q.waiting[it.task.ID] = it
	q.updateHeaps(tm)
}

// Pop returns the next task to place and acquires a permit of its team, or returns
// nil if no task is eligible. The caller must then call Started, Defer, Park or Drop.
func (q *Queue) Pop() *model.Task {
	for class := range q.heaps {
		for len(q.heaps[class]) > 0 {
			e := q.heaps[class][0]
			if t := q.popFrom(e.team, class); t != nil {
				return t
			}
		}
	}
	return nil
}

// popFrom removes and returns a team's next task of one class. If the team has
// reached its limit, it removes the team from the heaps and returns nil.
func (q *Queue) popFrom(tm *team, class int) *model.Task {
	if !q.limiter.Acquire(tm.name) {
		tm.limited = true
		q.updateHeaps(tm)
		return nil
	}
	b := &tm.backlogs[class]
	it := b.next().pop()
	b.size--
	tm.addWaiting(it.task, -1)
	delete(q.waiting, it.task.ID)
	q.popped[it.task.ID] = it
	q.updateHeaps(tm)
	return it.task
}

// Started charges a popped task that was committed to a worker to its team. It
// returns the task's sequence number in the order received, for Requeue.
func (q *Queue) Started(t *model.Task) uint64 {
	var seq uint64
	if it := q.popped[t.ID]; it != nil {
		seq = it.seq
		delete(q.popped, t.ID)
	}
	q.Accounts.Charge(t.Team, t.Demand)
	q.updateHeaps(q.team(t.Team))
	return seq
}

// Requeue requeues a started task that didn't run at its old position, seq. Its
// charge must have been refunded by Ended.
func (q *Queue) Requeue(t *model.Task, seq uint64) {
	if q.waiting[t.ID] == nil {
		q.add(q.team(t.Team), &item{t, seq}, (*lane).insert)
	}
}

// Adopt charges a task that is already running and never waited in this queue.
func (q *Queue) Adopt(t *model.Task) { q.Started(t) }

// Ended refunds a started task's charge and releases its permit. Call it when the
// worker has confirmed the end.
func (q *Queue) Ended(t *model.Task) {
	q.Accounts.Refund(t.Team, t.Demand)
	q.limiter.Release(t.Team)
	tm := q.team(t.Team)
	tm.limited = false
	q.updateHeaps(tm)
}

// Defer requeues a popped task that can't be placed at its old position, releases
// its permit and blocks its lane until Wake.
func (q *Queue) Defer(t *model.Task) {
	it := q.popped[t.ID]
	if it == nil {
		return
	}
	delete(q.popped, t.ID)
	q.limiter.Release(t.Team)
	tm := q.team(t.Team)
	q.block(tm, tm.backlogs[classIndex(t.Class)].laneOf(t))
	q.add(tm, it, (*lane).pushFront)
}

// Park takes a popped task out of its lane while capacity is preempted for it, and
// releases its permit. A parked task doesn't block the tasks after it. Unpark
// requeues it.
func (q *Queue) Park(t *model.Task) {
	it := q.popped[t.ID]
	if it == nil {
		return
	}
	delete(q.popped, t.ID)
	q.limiter.Release(t.Team)
	q.parked[t.ID] = it
	q.team(t.Team).addWaiting(t, 1)
}

// Unpark requeues a parked task at its old position and unblocks its lane. It does
// nothing if the task isn't parked.
func (q *Queue) Unpark(id model.TaskID) {
	it := q.parked[id]
	if it == nil {
		return
	}
	delete(q.parked, id)
	tm := q.team(it.task.Team)
	tm.addWaiting(it.task, -1)
	tm.backlogs[classIndex(it.task.Class)].laneOf(it.task).blocked = false
	q.add(tm, it, (*lane).pushFront)
}

// Drop discards a popped task and releases its permit.
func (q *Queue) Drop(t *model.Task) {
	if _, ok := q.popped[t.ID]; !ok {
		return
	}
	delete(q.popped, t.ID)
	q.limiter.Release(t.Team)
}

// Wake unblocks the lanes whose first task fits into free, the free capacity of a
// worker that changed.
func (q *Queue) Wake(free model.Resources) {
	stillBlocked := q.blocked[:0]
	for _, b := range q.blocked {
		if b.lane.blocked && !b.lane.empty() && !b.lane.first().task.Demand.Fits(free) {
			stillBlocked = append(stillBlocked, b)
			continue
		}
		b.lane.blocked = false
		b.lane.inBlocked = false
		q.updateHeaps(b.team)
	}
	clear(q.blocked[len(stillBlocked):])
	q.blocked = stillBlocked
}

// block excludes a lane from Pop until Wake.
func (q *Queue) block(tm *team, l *lane) {
	l.blocked = true
	if !l.inBlocked {
		l.inBlocked = true
		q.blocked = append(q.blocked, blockedLane{tm, l})
	}
}

// blockedLane is a lane that Wake checks.
type blockedLane struct {
	team *team
	lane *lane
}

// LimitChanged makes a team that had reached its concurrency limit eligible again.
func (q *Queue) LimitChanged(name model.TeamID) {
	tm := q.team(name)
	tm.limited = false
	q.updateHeaps(tm)
}

// SetWeight sets a team's weight.
func (q *Queue) SetWeight(name model.TeamID, weight int64) {
	q.Accounts.SetWeight(name, weight)
	q.updateHeaps(q.team(name))
}

// SetRemoteUsage sets the resources that a team's tasks placed by other instances hold.
func (q *Queue) SetRemoteUsage(name model.TeamID, usage model.Resources) {
	q.Accounts.SetRemoteUsage(name, usage)
	q.updateHeaps(q.team(name))
}

// SetCapacity sets the total capacity of the fleet.
func (q *Queue) SetCapacity(capacity model.Resources) {
	q.Accounts.SetCapacity(capacity)
	for _, tm := range q.teams {
		q.updateHeaps(tm)
	}
}

func (q *Queue) team(name model.TeamID) *team {
	tm := q.teams[name]
	if tm != nil {
		return tm
	}
	tm = &team{name: name, account: q.Accounts.Account(name), ceiling: math.Inf(1)}
	for class := range tm.entries {
		tm.entries[class] = heapEntry{team: tm, class: class, pos: -1}
	}
	q.teams[name] = tm
	return tm
}

// updateHeaps updates a team's entry in the heap of each class.
func (q *Queue) updateHeaps(tm *team) {
	weightedShare := tm.account.WeightedShare()
	for class := range tm.entries {
		skipped := tm.limited || class != classUrgent && tm.atCeiling()
		eligible := !skipped && tm.backlogs[class].size > 0 && tm.backlogs[class].next() != nil
		q.heaps[class].update(&tm.entries[class], eligible, weightedShare)
	}
}

// laneHash hashes what decides which workers a task competes for: its kind, its
// selector and whether it needs accelerators.
func laneHash(t *model.Task) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(t.Kind))
	for _, r := range t.Require {
		_, _ = d.WriteString(r.Label)
		_, _ = d.WriteString(string(r.Op))
		for _, v := range r.Values {
			_, _ = d.WriteString(v)
		}
	}
	if t.Demand.Accelerators > 0 {
		_, _ = d.WriteString("accelerators")
	}
	return d.Sum64()
}
