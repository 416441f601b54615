package queue

import (
	"slices"

	"pollenbend/internal/model"
)

// lanes is the number of lanes of one team and class.
const lanes = 16

// item is one waiting task; task is nil once it was canceled.
type item struct {
	task *model.Task
	seq  uint64 // order received
}

// lane is a FIFO of tasks that compete for the same workers: of one kind, with
// the same selector and need for accelerators. A task that can't be placed holds
// up its own lane only. Its first item is never a canceled one.
type lane struct {
	items   []*item
	head    int
	blocked bool
	listed  bool // in Queue.blocked
}

func (l *lane) empty() bool { return l.head == len(l.items) }

func (l *lane) first() *item { return l.items[l.head] }

func (l *lane) push(it *item) { l.items = append(l.items, it) }

// pushFront puts a task back before all that were received later.
func (l *lane) pushFront(it *item) {
	if l.head == 0 {
		l.items = append(l.items, nil)
		copy(l.items[1:], l.items)
	} else {
		l.head--
	}
	at := l.head
	for at+1 < len(l.items) && l.items[at+1].seq < it.seq {
		l.items[at] = l.items[at+1]
		at++
	}
	l.items[at] = it
}

// insert puts an item where its seq belongs.
func (l *lane) insert(it *item) {
	i := l.head
	for i < len(l.items) && l.items[i].seq < it.seq {
		i++
	}
	if i == l.head {
		l.pushFront(it)
		return
	}
	l.items = slices.Insert(l.items, i, it)
}

func (l *lane) pop() *item {
	it := l.items[l.head]
	l.items[l.head] = nil
	l.head++
	l.trim()
	return it
}

// trim drops canceled items from the front, and gives back the space of dropped
// items when it is most of the lane.
func (l *lane) trim() {
	const worthwhile = 64
	for !l.empty() && l.items[l.head].task == nil {
		l.items[l.head] = nil
		l.head++
	}
	if l.empty() {
		l.items = l.items[:0]
		l.head = 0
		return
	}
	if l.head < worthwhile || l.head*2 < len(l.items) {
		return
	}
	n := copy(l.items, l.items[l.head:])
	clear(l.items[n:])
	l.items = l.items[:n]
	l.head = 0
}

// canceled is called when one of the lane's items was canceled. When it was the
// first, the lane may be tried again.
func (l *lane) canceled() {
	if !l.empty() && l.items[l.head].task == nil {
		l.blocked = false
		l.trim()
	}
}

// backlog is the waiting work of one team and class.
type backlog struct {
	lanes [lanes]lane
	size  int
}

// next returns the lane whose first task was received first, leaving blocked
// lanes out, or nil.
func (b *backlog) next() *lane {
	var best *lane
	for i := range b.lanes {
		l := &b.lanes[i]
		if l.empty() || l.blocked {
			continue
		}
		if best == nil || l.first().seq < best.first().seq {
			best = l
		}
	}
	return best
}

func (b *backlog) laneOf(t *model.Task) *lane { return &b.lanes[laneHash(t)%lanes] }
