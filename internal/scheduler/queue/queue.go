package queue

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/shares"
	"pollenbend/internal/verdict"
)

// Limiter hands out permits to run one task of a team.
type Limiter interface {
	Acquire(model.TeamID) bool
	Release(model.TeamID)
}

// Unlimited is a Limiter without limits.
type Unlimited struct{}

// Acquire implements Limiter.
func (Unlimited) Acquire(model.TeamID) bool { return true }

// Release implements Limiter.
func (Unlimited) Release(model.TeamID) {}

// DefaultMaxWaiting is the most tasks of one team that wait.
const DefaultMaxWaiting = 100_000

// retryWhenFull is what a refused caller is told to wait.
const retryWhenFull = time.Second

// classes in the order in which they are served.
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

// team is the waiting work of one team.
type team struct {
	name     model.TeamID
	account  *shares.Account
	backlogs [classCount]backlog
	entries  [classCount]entry
	limited  bool // its upper limit was reached
	waiting  int
	demand   model.Resources // of what waits
	ceiling  float64         // dominant part up to which it may start work
}

// Config sets up a Queue.
type Config struct {
	MaxWaiting int // tasks of one team; DefaultMaxWaiting when 0
	Limiter    Limiter
}

// Queue is the waiting work of all teams.
type Queue struct {
	Book *shares.Book

	maxWaiting int
	limiter    Limiter
	teams      map[model.TeamID]*team
	orders     [classCount]order
	waiting    map[model.TaskID]*item
	popped     map[model.TaskID]*item // handed out by Pop
	parked     map[model.TaskID]*item // room is being made for them
	blocked    []blockedLane
	seq        uint64
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
		Book:       shares.NewBook(),
		maxWaiting: c.MaxWaiting,
		limiter:    c.Limiter,
		teams:      make(map[model.TeamID]*team),
		waiting:    make(map[model.TaskID]*item),
		popped:     make(map[model.TaskID]*item),
		parked:     make(map[model.TaskID]*item),
	}
}

// Len returns the number of tasks that wait.
func (q *Queue) Len() int { return len(q.waiting) + len(q.parked) }

// Waiting returns the number of a team's tasks that wait.
func (q *Queue) Waiting(name model.TeamID) int {
	if tm := q.teams[name]; tm != nil {
		return tm.waiting
	}
	return 0
}

// Push adds a task behind its team's others. A refusal has verdict NotRun and
// code overloaded, or conflict when the task waits already.
func (q *Queue) Push(t *model.Task) error {
	tm := q.team(t.Team)
	if q.waiting[t.ID] != nil || q.parked[t.ID] != nil {
		return verdict.Refuse(verdict.CodeConflict, "task %s waits already", t.ID)
	}
	if tm.waiting >= q.maxWaiting {
		return verdict.Refuse(verdict.CodeOverloaded, "team %s has %d tasks waiting", t.Team, tm.waiting).After(retryWhenFull)
	}
	q.seq++
	q.add(tm, &item{t, q.seq}, (*lane).push)
	return nil
}

func (q *Queue) add(tm *team, it *item, put func(*lane, *item)) {
	class := classIndex(it.task.Class)
	put(tm.backlogs[class].laneOf(it.task), it)
	tm.backlogs[class].size++
	tm.addWaiting(it.task, 1)
	q.waiting[it.task.ID] = it
	q.arrange(tm)
}

// Pop returns the next task to place and takes a permit of its team's limit, or
// nil when nothing can be tried now. The caller must follow with Started, Defer or
// Drop.
func (q *Queue) Pop() *model.Task {
	for class := range q.orders {
		for len(q.orders[class]) > 0 {
			e := q.orders[class][0]
			if t := q.popFrom(e.team, class); t != nil {
				return t
			}
		}
	}
	return nil
}

// popFrom takes a team's next task of one class. A nil result means that the team
// was taken out of the order.
func (q *Queue) popFrom(tm *team, class int) *model.Task {
	if !q.limiter.Acquire(tm.name) {
		tm.limited = true
		q.arrange(tm)
		return nil
	}
	b := &tm.backlogs[class]
	it := b.next().pop()
	b.size--
	tm.addWaiting(it.task, -1)
	delete(q.waiting, it.task.ID)
	q.popped[it.task.ID] = it
	q.arrange(tm)
	return it.task
}

// Started charges a popped task, committed on a worker, to its team. It returns
// the task's place in the order received, for Return.
func (q *Queue) Started(t *model.Task) uint64 {
	var seq uint64
	if it := q.popped[t.ID]; it != nil {
		seq = it.seq
		delete(q.popped, t.ID)
	}
	q.Book.Charge(t.Team, t.Demand)
	q.arrange(q.team(t.Team))
	return seq
}

// Return puts a started task that did not run back in its old place, seq. Its
// charge must have been taken back by Ended.
func (q *Queue) Return(t *model.Task, seq uint64) {
	if q.waiting[t.ID] == nil {
		q.add(q.team(t.Team), &item{t, seq}, (*lane).insert)
	}
}

// Adopt charges a task that runs already and never waited here.
func (q *Queue) Adopt(t *model.Task) { q.Started(t) }

// Ended takes a started task's charge back and returns its permit. Call it when
// the worker has confirmed the end.
func (q *Queue) Ended(t *model.Task) {
	q.Book.Refund(t.Team, t.Demand)
	q.limiter.Release(t.Team)
	tm := q.team(t.Team)
	tm.limited = false
	q.arrange(tm)
}

// Defer puts back a popped task that can't be placed, in its old place, and
// blocks what waits for the same workers until Wake.
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

// Park keeps a popped task aside, without its permit, while room is made for it.
// It doesn't hold up what waits behind it. Unpark lets it be tried again.
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

// Unpark puts a parked task back in its old place. It does nothing when the task
// isn't parked.
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

// Drop forgets a popped task and returns its permit.
func (q *Queue) Drop(t *model.Task) {
	if _, ok := q.popped[t.ID]; !ok {
		return
	}
	delete(q.popped, t.ID)
	q.limiter.Release(t.Team)
}

// Wake lets blocked work be tried again when its next task fits into room, the
// free capacity of a worker that changed.
func (q *Queue) Wake(room model.Resources) {
	still := q.blocked[:0]
	for _, b := range q.blocked {
		if b.lane.blocked && !b.lane.empty() && !b.lane.first().task.Demand.Fits(room) {
			still = append(still, b)
			continue
		}
		b.lane.blocked = false
		b.lane.listed = false
		q.arrange(b.team)
	}
	clear(q.blocked[len(still):])
	q.blocked = still
}

// block passes a lane over until Wake.
func (q *Queue) block(tm *team, l *lane) {
	l.blocked = true
	if !l.listed {
		l.listed = true
		q.blocked = append(q.blocked, blockedLane{tm, l})
	}
}

// blockedLane is a lane that Wake looks at.
type blockedLane struct {
	team *team
	lane *lane
}

// LimitChanged lets a team be tried again that had reached its upper limit.
func (q *Queue) LimitChanged(name model.TeamID) {
	tm := q.team(name)
	tm.limited = false
	q.arrange(tm)
}

// SetShare sets a team's weight.
func (q *Queue) SetShare(name model.TeamID, share int64) {
	q.Book.SetShare(name, share)
	q.arrange(q.team(name))
}

// SetUsage sets what a team's tasks placed by other instances hold.
func (q *Queue) SetUsage(name model.TeamID, usage model.Resources) {
	q.Book.SetElsewhere(name, usage)
	q.arrange(q.team(name))
}

// SetCapacity sets what the whole fleet has.
func (q *Queue) SetCapacity(capacity model.Resources) {
	q.Book.SetCapacity(capacity)
	for _, tm := range q.teams {
		q.arrange(tm)
	}
}

func (q *Queue) team(name model.TeamID) *team {
	tm := q.teams[name]
	if tm != nil {
		return tm
	}
	tm = &team{name: name, account: q.Book.Account(name), ceiling: math.Inf(1)}
	for class := range tm.entries {
		tm.entries[class] = entry{team: tm, class: class, pos: -1}
	}
	q.teams[name] = tm
	return tm
}

// arrange puts a team where it belongs in the order of each class.
func (q *Queue) arrange(tm *team) {
	level := tm.account.Level()
	for class := range tm.entries {
		passed := tm.limited || class != classUrgent && tm.atCeiling()
		wanted := !passed && tm.backlogs[class].size > 0 && tm.backlogs[class].next() != nil
		q.orders[class].place(&tm.entries[class], wanted, level)
	}
}

// laneHash tells apart tasks that compete for different workers.
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
