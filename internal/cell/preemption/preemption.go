// Package preemption chooses the runs that are stopped for the tasks of a waiting step. It is
// designed for a full fleet in which an urgent step waits, nothing ends soon enough on the workers
// that it may use, and runs of lower priorities there save checkpoints, so that stopping them
// loses little.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
)

const (
	// MaxLossRatio bounds the work that is lost, in core-seconds, relative to that of the tasks
	// that start instead.
	MaxLossRatio = 0.5
	// EndMargin is added to the time that a stop takes: a run that is expected to end within both
	// is not stopped, as its end frees its resources as soon as the stop would.
	EndMargin = 300 * time.Millisecond
	// StartMargin is the time from the end of the stopped runs until the tasks can be placed: the
	// worker reports the ends, and the next placement round takes place.
	StartMargin = 50 * time.Millisecond
)

// Run is a run on a candidate worker.
type Run struct {
	Resources job.Resources
	Priority  int           // zero is the highest
	Remaining time.Duration // expected time until its end
	Lost      time.Duration // work that a stop loses, with the time of the stop and of the restore
	Timely    bool          // its job is as useful to its caller after a stop as without it
	Gang      bool          // it belongs to a gang
	Preempted bool          // a run of its task was preempted before
	Fixed     bool          // it cannot be stopped, as it is not known to run or is being stopped
}

// Worker is a candidate: a worker that the tasks may be sent to.
type Worker struct {
	Free     job.Resources // free for the tasks now; negative while more is used or held
	Runs     []Run
	MaxTasks int // number of tasks that it may get
}

// Request describes the waiting tasks.
type Request struct {
	Need        job.Resources // of one task
	Count       int           // tasks that wait
	Ahead       int           // tasks of more urgent steps that are expected to start on the candidates first
	Priority    int           // of the step
	Runtime     time.Duration // expected of one task
	LatestStart time.Duration // time from now until which all tasks have to start for the job to end in time
	StopTime    time.Duration // maximum time that a stop takes
	MaxCPU      int64         // CPU of the runs that may be stopped, in thousandths of a core
}

// Share is what is to be done on one worker.
type Share struct {
	Worker int
	Tasks  int   // tasks that start there
	Runs   []int // indexes of the runs to stop
}

// Missing returns the number of tasks that would start in time only after a stop. It is zero if
// they are late after one too. Of the runs it needs only the resources and the remaining time.
func Missing(req Request, workers []Worker) int {
	if req.Count <= 0 || req.Need.CPU <= 0 || req.StopTime+StartMargin > req.LatestStart {
		return 0
	}
	startAnyway := 0
	for i := range workers {
		startAnyway += req.Need.CountIn(workers[i].freeAtStart(&req), max(0, workers[i].MaxTasks))
	}
	return min(req.Count, max(0, req.Count+req.Ahead-startAnyway))
}

// freeAtStart returns the resources that are free on w at the latest start without a stop.
func (w *Worker) freeAtStart(req *Request) job.Resources {
	free := w.Free
	for i := range w.Runs {
		if w.Runs[i].Remaining <= req.LatestStart {
			free = free.Add(w.Runs[i].Resources)
		}
	}
	return free
}

// Choose returns the runs to stop for req, or nothing if none should be stopped: if enough tasks
// start in time without a stop, if the job is late with it too, or if the loss is too large.
func Choose(req Request, workers []Worker) []Share {
	missing := Missing(req, workers)
	if missing == 0 {
		return nil
	}
	options := make([]option, len(workers))
	for i := range workers {
		options[i] = newOption(&req, &workers[i])
		options[i].extend(&req)
	}
	maxLoss := MaxLossRatio * float64(req.Need.CPU) * req.Runtime.Seconds()
	cpuLeft := req.MaxCPU
	for ; missing > 0; missing-- {
		best := -1
		for i := range options {
			o := &options[i]
			if o.possible && o.loss < maxLoss && o.cpu <= cpuLeft && (best < 0 || o.before(&options[best])) {
				best = i
			}
		}
		if best < 0 {
			return nil // a job of which one task is late is late
		}
		cpuLeft -= options[best].cpu
		options[best].accept()
		options[best].extend(&req)
	}
	var shares []Share
	for i := range options {
		if o := &options[i]; o.tasks > 0 {
			shares = append(shares, Share{i, o.tasks, o.accepted})
		}
	}
	return shares
}

// option is what one worker offers: the runs to stop there for one more task.
type option struct {
	worker      *Worker
	available   job.Resources // what is free at the latest start, with the runs that are to be stopped
	stoppable   []int         // runs that may be stopped, those that lose the least work first
	startAnyway int           // tasks that can start in time without a stop, of this step or of others
	tasks       int           // tasks for which runs are to be stopped
	accepted    []int         // these runs

	possible bool          // one more task can start
	next     []int         // runs to stop for it
	left     job.Resources // available after that
	loss     float64       // of next, in thousandths of core-seconds
	cpu      int64         // of next, in thousandths of a core
	lowest   int           // highest number of a priority among them
}

// newOption returns what w offers without a stop, and which runs may be stopped.
func newOption(req *Request, w *Worker) option {
	free := w.freeAtStart(req)
	startAnyway := req.Need.CountIn(free, max(0, w.MaxTasks))
	o := option{worker: w, available: free.Sub(req.Need.Times(startAnyway)), startAnyway: startAnyway}
	for i := range w.Runs {
		if w.Runs[i].stoppable(req) {
			o.stoppable = append(o.stoppable, i)
		}
	}
	slices.SortStableFunc(o.stoppable, func(a, b int) int {
		return cmp.Or(cmp.Compare(w.Runs[a].loss(), w.Runs[b].loss()), cmp.Compare(w.Runs[b].Priority, w.Runs[a].Priority))
	})
	return o
}

// stoppable reports whether r may be stopped for req. A run that ends before the latest start
// frees its resources by itself.
func (r *Run) stoppable(req *Request) bool {
	return r.Priority > req.Priority && r.Timely && !r.Gang && !r.Preempted && !r.Fixed &&
		r.Remaining > req.StopTime+EndMargin && r.Remaining > req.LatestStart
}

// loss returns the work that a stop of r loses, in thousandths of core-seconds.
func (r *Run) loss() float64 { return float64(r.Resources.CPU) * r.Lost.Seconds() }

// extend finds the runs to stop for one more task: those that lose the least, without the ones
// that turn out not to be needed.
func (o *option) extend(req *Request) {
	o.possible, o.next, o.loss, o.cpu, o.lowest = false, nil, 0, 0, 0
	if o.startAnyway+o.tasks >= o.worker.MaxTasks {
		return
	}
	free := o.available
	for _, i := range o.stoppable {
		if req.Need.Fits(free) {
			break
		}
		free = free.Add(o.worker.Runs[i].Resources)
		o.next = append(o.next, i)
	}
	if !req.Need.Fits(free) {
		o.next = nil
		return
	}
	for n := len(o.next) - 1; n >= 0; n-- {
		if less := free.Sub(o.worker.Runs[o.next[n]].Resources); req.Need.Fits(less) {
			free = less
			o.next = slices.Delete(o.next, n, n+1)
		}
	}
	o.possible = true
	for _, i := range o.next {
		r := &o.worker.Runs[i]
		o.loss += r.loss()
		o.cpu += r.Resources.CPU
		o.lowest = max(o.lowest, r.Priority)
	}
	o.left = free.Sub(req.Need)
}

// accept takes the runs that extend has found.
func (o *option) accept() {
	o.tasks++
	o.available = o.left
	o.accepted = append(o.accepted, o.next...)
	o.stoppable = slices.DeleteFunc(o.stoppable, func(i int) bool { return slices.Contains(o.next, i) })
}

// before reports whether the runs of o are stopped rather than those of p: those that lose less, or
// those of a lower priority.
func (o *option) before(p *option) bool {
	return cmp.Or(cmp.Compare(o.loss, p.loss), cmp.Compare(p.lowest, o.lowest)) < 0
}
