package queue

import (
	"slices"

	"pollenbend/internal/model"
)

// laneCount is the number of lanes of one team and class.
const laneCount = 16

// item is one waiting task.
type item struct {
	task *model.Task // nil once it was canceled
	seq  uint64      // sequence number in the order received
}

// lane is a FIFO queue of tasks that compete for the same workers: tasks of one
// kind that have the same selector and all need accelerators or all don't (or have
// the same hash by chance). A task that can't be placed blocks only its own lane.
// The first item is never a canceled one.
type lane struct {
	items     []*item
	head      int  // index of the first item
	blocked   bool // its first task couldn't be placed
	inBlocked bool // it is in Queue.blocked
}

func (l *lane) empty() bool { return l.head == len(l.items) }

func (l *lane) first() *item { return l.items[l.head] }

func (l *lane) push(it *item) { l.items = append(l.items, it) }

// pushFront requeues an item before all that were received later. It is
// efficient for an item that belongs near the front.
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

// insert adds an item at the position of its seq.
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

// trim drops canceled items from the front. It moves the items to the start of the
// slice when at least minFreed places, and at least half of them all, are unused.
func (l *lane) trim() {
	const minFreed = 64
	for !l.empty() && l.items[l.head].task == nil {
		l.items[l.head] = nil
		l.head++
	}
	if l.empty() {
		l.items = l.items[:0]
		l.head = 0
		return
	}
	if l.head < minFreed || l.head*2 < len(l.items) {
		return
	}
	n := copy(l.items, l.items[l.head:])
	clear(l.items[n:])
	l.items = l.items[:n]
	l.head = 0
}

// canceled updates the lane after one of its items was canceled. If it was the first,
// the lane is unblocked.
func (l *lane) canceled() {
	if !l.empty() && l.items[l.head].task == nil {
		l.blocked = false
		l.trim()
	}
}

// backlog holds the waiting tasks of one team and class.
type backlog struct {
	lanes [laneCount]lane
	size  int // waiting tasks
}

// next returns the unblocked lane whose first task was received first, or nil.
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

func (b *backlog) laneOf(t *model.Task) *lane { return &b.lanes[laneHash(t)%laneCount] }
