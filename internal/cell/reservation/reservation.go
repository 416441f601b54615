// Package reservation finds the earliest time at which a gang fits on workers, and what may
// run there until then. It is designed for a fleet without free capacity in which wide gangs
// wait beside many tasks of 1 to 3 s: the capacity that a gang will need stays in use until
// the gang can start, instead of staying idle while it accumulates.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
)

// Release is the expected end of a run on a worker, which frees its resources.
type Release struct {
	At        time.Time
	Resources job.Resources
}

// Hold is a reservation of resources on a worker from a time on. It has no end, as the gang
// that starts then runs for longer than what it competes with.
type Hold struct {
	From      time.Time
	Resources job.Resources
}

// Worker is the present use of a worker and what is expected of it.
type Worker struct {
	Free      job.Resources // capacity without the used part; negative while more is used
	Releases  []Release     // in the order of time
	Holds     []Hold        // in any order
	NotBefore time.Time     // before it no task can start
	MaxTasks  int           // number of tasks that it may get; zero for none
	Preferred bool          // comes before others that are free at the same time
}

// FreeUntil returns the resources that a task may use which starts at now and ends before
// the given time: in each resource, the least that is left beside the holds meanwhile. It
// is negative if a hold exceeds what is free.
func (w *Worker) FreeUntil(now, end time.Time) job.Resources {
	least := w.Free.Sub(w.heldAt(now))
	for _, h := range w.Holds {
		if h.From.After(now) && h.From.Before(end) {
			least = minOf(least, w.FreeAt(h.From))
		}
	}
	return least
}

// FreeAt returns the resources that are expected to be free beside the holds at the given time.
func (w *Worker) FreeAt(at time.Time) job.Resources {
	free := w.Free
	for _, r := range w.Releases {
		if r.At.After(at) {
			break
		}
		free = free.Add(r.Resources)
	}
	return free.Sub(w.heldAt(at))
}

// heldAt returns the resources that are held at the given time.
func (w *Worker) heldAt(at time.Time) job.Resources {
	held := job.Resources{}
	for _, h := range w.Holds {
		if !h.From.After(at) {
			held = held.Add(h.Resources)
		}
	}
	return held
}

func minOf(a, b job.Resources) job.Resources {
	return job.Resources{CPU: min(a.CPU, b.CPU), MemMB: min(a.MemMB, b.MemMB), GPU: min(a.GPU, b.GPU)}
}

// Request describes the tasks that have to start at the same time.
type Request struct {
	Need  job.Resources // of one task
	Count int
	From  time.Time // earliest start
	Spare int       // number of workers to name beyond those needed
}

// Share is the number of tasks that go on a worker.
type Share struct{ Worker, Tasks int }

// Plan is the earliest start of a request.
type Plan struct {
	Start  time.Time
	Shares []Share // in the order in which the workers are free
	Spare  []int   // workers that become free next
}

// event is the time from which more tasks fit on a worker for good.
type event struct {
	at     time.Time // from when they can start
	worker int
	tasks  int // how many more
}

// Find returns the earliest plan for req, or false if the tasks never fit. The tasks go on the
// workers that are free first.
func Find(req Request, workers []Worker) (Plan, bool) {
	events := make([]event, 0, 2*len(workers))
	for i := range workers {
		events = workers[i].appendEvents(events, req, i)
	}
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), comparePreferred(workers, a, b), cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.worker, b.worker))
	})
	need := req.Count
	for n, ev := range events {
		if need -= ev.tasks; need > 0 {
			continue
		}
		shares, index := sharesOf(events[:n+1], len(workers))
		shares[index[ev.worker]-1].Tasks += need // the last worker gets only what is left
		return Plan{Start: ev.at, Shares: shares, Spare: spareOf(events[n+1:], index, req.Spare)}, true
	}
	return Plan{}, false
}

// comparePreferred orders events of preferred workers before others.
func comparePreferred(workers []Worker, a, b event) int {
	switch p, q := workers[a.worker].Preferred, workers[b.worker].Preferred; {
	case p == q:
		return 0
	case p:
		return -1
	}
	return 1
}

// sharesOf adds up events by worker, in their order. index holds the position of each worker
// in the result, from 1.
func sharesOf(events []event, workers int) (shares []Share, index []int) {
	index = make([]int, workers)
	for _, ev := range events {
		if index[ev.worker] == 0 {
			shares = append(shares, Share{Worker: ev.worker})
			index[ev.worker] = len(shares)
		}
		shares[index[ev.worker]-1].Tasks += ev.tasks
	}
	return shares, index
}

// spareOf returns the first workers of events that have no share.
func spareOf(events []event, index []int, count int) []int {
	var spare []int
	for _, ev := range events {
		if len(spare) >= count {
			break
		}
		if index[ev.worker] == 0 {
			index[ev.worker] = len(index) + 1
			spare = append(spare, ev.worker)
		}
	}
	return spare
}

// change is a change of the free resources of a worker.
type change struct {
	at    time.Time
	freed job.Resources
}

// appendEvents appends the times from which more tasks of req fit on w, whatever is held there
// later.
func (w *Worker) appendEvents(events []event, req Request, index int) []event {
	if w.MaxTasks <= 0 {
		return events
	}
	limit := min(w.MaxTasks, req.Count)
	from := req.From
	if w.NotBefore.After(from) {
		from = w.NotBefore
	}
	changes := w.changesAfter(from)
	free := w.FreeAt(from)
	fits := make([]int, len(changes)+1)
	fits[0] = req.Need.CountIn(free, limit)
	for i, c := range changes {
		free = free.Add(c.freed)
		fits[i+1] = req.Need.CountIn(free, limit)
	}
	for i := len(changes) - 1; i >= 0; i-- {
		fits[i] = min(fits[i], fits[i+1])
	}
	before := 0
	for i, n := range fits {
		if n > before {
			at := from
			if i > 0 {
				at = changes[i-1].at
			}
			events = append(events, event{at, index, n - before})
			before = n
		}
	}
	return events
}

// changesAfter returns the changes of the free resources after the given time, in the order of
// time; what is held from the time of a release on is taken from it.
func (w *Worker) changesAfter(at time.Time) []change {
	changes := make([]change, 0, len(w.Releases)+len(w.Holds))
	for _, r := range w.Releases {
		if r.At.After(at) {
			changes = append(changes, change{r.At, r.Resources})
		}
	}
	for _, h := range w.Holds {
		if h.From.After(at) {
			changes = append(changes, change{h.From, job.Resources{}.Sub(h.Resources)})
		}
	}
	if len(w.Holds) > 0 {
		slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	}
	return changes
}

const (
	// minSlip is the least time by which a start may be later than promised. It covers the
	// time until an end is known and the time that a call for tickets takes.
	minSlip = time.Second
	// slipRatio is the part of the promised wait by which a start may be later.
	slipRatio = 0.25
)

// SlipBound returns how much later than promised a gang may be expected to start while its
// workers take other tasks. wait is the promised wait.
func SlipBound(wait time.Duration) time.Duration {
	return max(minSlip, time.Duration(slipRatio*float64(wait)))
}
