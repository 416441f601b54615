package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// TeamTask is a group of equal tasks of a team. Part is what one of them uses of the team's
// limit, in the resource that is scarcest.
type TeamTask struct {
	Part   float64
	Count  int
	Gang   bool          // they start together
	Length time.Duration // remaining run time of a running task, run time of a waiting one
}

// LimitSchedule tells when a team's limit has room for one more job. It is the schedule of
// the team's accepted work in the order of placement, if nothing else were scarce.
type LimitSchedule struct {
	free     float64 // part of the limit that is free at start
	start    time.Duration
	releases releases // in order of time, after start
}

// release is the end of tasks.
type release struct {
	at   time.Duration
	part float64
}

// releases is a heap by time.
type releases []release

func (r releases) Len() int           { return len(r) }
func (r releases) Less(i, j int) bool { return r[i].at < r[j].at }
func (r releases) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *releases) Push(x any)        { *r = append(*r, x.(release)) }
func (r *releases) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

const (
	// maxScheduledGroups bounds the waiting tasks that NewLimitSchedule starts one by one.
	// The others delay the schedule by their total work.
	maxScheduledGroups = 2000
	// partTolerance is the rounding error of a sum of parts.
	partTolerance = 1e-9
)

// NewLimitSchedule returns the schedule of a team's running tasks and of its waiting tasks,
// which are in the order of placement.
func NewLimitSchedule(running, waiting []TeamTask) *LimitSchedule {
	s := &LimitSchedule{free: 1}
	for _, t := range running {
		s.free -= t.Part * float64(t.Count)
		s.releases = append(s.releases, release{t.Length, t.Part * float64(t.Count)})
	}
	heap.Init(&s.releases)
	scheduled, rest := 0, 0.0
	for _, t := range waiting {
		groups, part := t.Count, t.Part
		if t.Gang {
			groups, part = 1, t.Part*float64(t.Count)
		}
		for range groups {
			if scheduled++; scheduled > maxScheduledGroups {
				rest += part * t.Length.Seconds()
				continue
			}
			s.place(part, t.Length)
		}
	}
	s.start += seconds(rest)
	for i := range s.releases {
		s.releases[i].at += seconds(rest)
	}
	slices.SortFunc(s.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return s
}

// place starts a task as soon as enough of the limit is free.
func (s *LimitSchedule) place(part float64, length time.Duration) {
	for s.free+partTolerance < part && len(s.releases) > 0 {
		r := heap.Pop(&s.releases).(release)
		s.free += r.part
		s.start = max(s.start, r.at)
	}
	s.free -= part
	heap.Push(&s.releases, release{s.start + length, part})
}

// Wait returns the time until the given part of the limit is free for a further job.
func (s *LimitSchedule) Wait(part float64) time.Duration {
	free, at := s.free, s.start
	part = min(part, 1)
	for _, r := range s.releases {
		if free+partTolerance >= part {
			break
		}
		free += r.part
		at = max(at, r.at)
	}
	return at
}
