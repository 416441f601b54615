package queue

import "container/heap"

// heapEntry is a team's entry in the heap of one class.
type heapEntry struct {
	team          *team
	class         int
	pos           int     // index in the heap, -1 when not in it
	weightedShare float64 // Account.WeightedShare when the entry was updated
}

// teamHeap is a heap of the teams with an eligible task, ordered by increasing
// weighted share.
type teamHeap []*heapEntry

func (h teamHeap) Len() int { return len(h) }

// Less breaks ties by the team's name, so that the order is the same in every run.
func (h teamHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].team.name < h[j].team.name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *teamHeap) Push(x any) {
	e := x.(*heapEntry)
	e.pos = len(*h)
	*h = append(*h, e)
}

func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.pos = -1
	return e
}

// update adds an entry, moves it to the position of its weighted share,
// or removes it.
func (h *teamHeap) update(e *heapEntry, eligible bool, weightedShare float64) {
	switch {
	case !eligible && e.pos >= 0:
		heap.Remove(h, e.pos)
	case eligible && e.pos < 0:
		e.weightedShare = weightedShare
		heap.Push(h, e)
	case eligible && e.weightedShare != weightedShare:
		e.weightedShare = weightedShare
		heap.Fix(h, e.pos)
	}
}
