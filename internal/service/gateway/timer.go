package gateway

import (
	"container/heap"
	"slices"
	"time"
)

// due is a time at which a pending request needs attention.
type due struct {
	at     time.Duration
	handle uint64
}

// dueHeap is a heap of dues, the earliest first. Dues of requests that have ended
// since stay in it until their time.
type dueHeap []due

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	*h = (*h)[:last]
	return d
}

// retry sets when a request is routed again.
func (s *Service) retry(handle uint64, p *pending, at time.Duration) {
	p.retryAt = at
	heap.Push(&s.dues, due{at, handle})
}

// takeDue removes what is due at now and returns the pending requests among it,
// sorted.
func (s *Service) takeDue(now time.Duration) []uint64 {
	var handles []uint64
	for len(s.dues) > 0 && s.dues[0].at <= now {
		d := heap.Pop(&s.dues).(due)
		if _, ok := s.pending[d.handle]; ok {
			handles = append(handles, d.handle)
		}
	}
	slices.Sort(handles)
	return slices.Compact(handles)
}
