package gateway

import (
	"container/heap"
	"slices"
	"time"
)

// timer is a time at which a pending request must be retried or ended.
type timer struct {
	at     time.Duration
	handle uint64
}

// timerHeap is a heap of timers, the earliest first. Timers of requests that have
// ended stay in it until they are due.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// scheduleRetry sets the time at which a request is routed again.
func (s *Service) scheduleRetry(handle uint64, p *pending, at time.Duration) {
	p.retryAt = at
	heap.Push(&s.timers, timer{at, handle})
}

// popDue removes the timers that are due at now and returns the sorted handles of
// their requests that are still pending.
func (s *Service) popDue(now time.Duration) []uint64 {
	var handles []uint64
	for len(s.timers) > 0 && s.timers[0].at <= now {
		t := heap.Pop(&s.timers).(timer)
		if _, ok := s.pending[t.handle]; ok {
			handles = append(handles, t.handle)
		}
	}
	slices.Sort(handles)
	return slices.Compact(handles)
}
