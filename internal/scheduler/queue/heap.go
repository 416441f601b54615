package queue

import "container/heap"

// entry is a team's place in the order of one class.
type entry struct {
	team  *team
	class int
	pos   int // in the heap, -1 when not in it
	level float64
}

// order is a heap of teams with work that may be tried, the lowest level first.
type order []*entry

func (o order) Len() int { return len(o) }

// Less breaks ties by the team's name, so that the order is the same in any run.
func (o order) Less(i, j int) bool {
	if o[i].level != o[j].level {
		return o[i].level < o[j].level
	}
	return o[i].team.name < o[j].team.name
}

func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].pos, o[j].pos = i, j
}

func (o *order) Push(x any) {
	e := x.(*entry)
	e.pos = len(*o)
	*o = append(*o, e)
}

func (o *order) Pop() any {
	last := len(*o) - 1
	e := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	e.pos = -1
	return e
}

// place puts an entry where its level belongs, or takes it out.
func (o *order) place(e *entry, wanted bool, level float64) {
	switch {
	case !wanted && e.pos >= 0:
		heap.Remove(o, e.pos)
	case wanted && e.pos < 0:
		e.level = level
		heap.Push(o, e)
	case wanted && e.level != level:
		e.level = level
		heap.Fix(o, e.pos)
	}
}
