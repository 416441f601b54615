package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// fleet is a stand-in for all workers. It checks what workers can observe: a task
// runs on one worker at a time and not after its end was acknowledged, workers are
// not overcommitted, steps run in order, and refused jobs don't run.
type fleet struct {
	mu           sync.Mutex
	startedAt    time.Time
	workers      map[string]*worker
	runsOn       map[string]string // by task: the worker that runs it
	done         map[string]bool   // tasks with a run that ended with "done"
	acknowledged map[string]bool   // tasks in done whose end was acknowledged
	violations   []string
	starts       int
	maxLease     time.Duration // maximum duration of a lease
	jobs         map[string]*submittedJob
}

type worker struct {
	id       string
	fence    int64
	leaseEnd time.Time
	usedCPU  int64
	runs     map[string]*taskRun
	// ended holds the ends that are not acknowledged yet, as the wire has them. An
	// end begins with its number, the task, the run and the reason.
	ended   [][]any
	lastEnd int64 // number of the newest entry of ended
	// expiredEnd is the value of lastEnd when the lease was last seen expired. Ends up
	// to this number don't count as acknowledged.
	expiredEnd int64
	closedRun  map[string]int // by task: the highest run that may not start (again)
	hanging    bool
	changed    chan struct{} // closed at each end of a run
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task      string
	run       int
	cpu       int64
	endsAt    time.Time
	startedAt time.Time
}

const (
	workerCPU = 8000 // mCPU
	taskTime  = 300 * time.Millisecond
)

func newFleet(count int) *fleet {
	f := &fleet{startedAt: time.Now(), workers: make(map[string]*worker), runsOn: make(map[string]string), done: make(map[string]bool),
		acknowledged: make(map[string]bool), maxLease: 4 * time.Second, jobs: make(map[string]*submittedJob)}
	for i := range count {
		id := fmt.Sprintf("w%02d", i)
		f.workers[id] = &worker{id: id, runs: make(map[string]*taskRun), closedRun: make(map[string]int), changed: make(chan struct{})}
	}
	return f
}

// recordViolation records that something that must hold did not. The caller holds f.mu.
func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%8s ", time.Since(f.startedAt).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (f *fleet) clockMillis() int64 { return time.Since(f.startedAt).Milliseconds() + 1000 }

// workerRequest is the body of a start, stop or renewal.
type workerRequest struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Fence      int64  `json:"fence"`
	DeadlineMS int64  `json:"deadlineMs"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

// serve returns the handler of the requests to one worker.
func (f *fleet) serve(id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var req workerRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		w := f.workers[id]
		hanging := w.hanging
		f.mu.Unlock()
		if hanging {
			<-r.Context().Done()
			return
		}
		switch r.URL.Path {
		case "/-/run-start":
			f.start(rw, w, &req)
		case "/-/run-stop":
			f.stop(rw, w, &req)
		case "/-/hold":
			f.renew(rw, r, w, &req)
		default:
			rw.WriteHeader(http.StatusNotFound)
		}
	})
}

func (f *fleet) answer(rw http.ResponseWriter, reason string) {
	if reason != "" {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": f.clockMillis(), "born": 1, "reason": reason})
		return
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": f.clockMillis(), "born": 1})
}

func (f *fleet) start(rw http.ResponseWriter, w *worker, req *workerRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDueRuns(w)
	switch {
	case req.Fence < w.fence:
		f.answer(rw, "fence")
		return
	case req.DeadlineMS < f.clockMillis():
		f.answer(rw, "late")
		return
	case w.runs[req.Task] != nil && w.runs[req.Task].run == req.Run:
		f.answer(rw, "")
		return
	case w.closedRun[req.Task] >= req.Run:
		f.answer(rw, "old")
		return
	}
	w.fence = req.Fence
	f.extendLease(w, req.DeadlineMS)
	f.startRun(w, req)
	f.answer(rw, "")
}

// startRun starts a run and checks everything that must hold at a start.
func (f *fleet) startRun(w *worker, req *workerRequest) {
	f.starts++
	if at := f.runsOn[req.Task]; at != "" {
		f.endDueRuns(f.workers[at])
	}
	if at := f.runsOn[req.Task]; at != "" {
		f.recordViolation("task %s, run %d started on %s while the task runs on %s", req.Task, req.Run, w.id, at)
	}
	if f.acknowledged[req.Task] {
		f.recordViolation("task %s, run %d started on %s after the task's end was acknowledged", req.Task, req.Run, w.id)
	}
	// A task id is the 16 digits of the job's id, then ".0.STEP.INDEX".
	j := f.jobs[req.Task[:16]]
	if j == nil {
		f.recordViolation("task %s started, but its job was never submitted", req.Task)
		return
	}
	if j.refused() {
		f.recordViolation("task %s started, but every submission of its job was refused", req.Task)
	}
	var step, index int
	_, _ = fmt.Sscanf(req.Task[16:], ".0.%d.%d", &step, &index)
	if step > 0 {
		for i := range j.width {
			if before := fmt.Sprintf("%s.0.0.%d", j.id, i); !f.done[before] {
				f.recordViolation("task %s started before task %s of the previous step was done", req.Task, before)
			}
		}
	}
	w.runs[req.Task] = &taskRun{task: req.Task, run: req.Run, cpu: j.cpu, startedAt: time.Now(), endsAt: time.Now().Add(taskTime)}
	f.runsOn[req.Task] = w.id
	w.usedCPU += j.cpu
	if w.usedCPU > workerCPU {
		f.recordViolation("worker %s is overcommitted: its tasks use %d mCPU, its capacity is %d mCPU", w.id, w.usedCPU, workerCPU)
	}
}

func (f *fleet) extendLease(w *worker, deadline int64) {
	end := time.Now().Add(min(f.maxLease, time.Duration(deadline-f.clockMillis())*time.Millisecond))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// endDueRuns ends the runs of w that are complete or whose lease has expired.
func (f *fleet) endDueRuns(w *worker) {
	now := time.Now()
	if now.After(w.leaseEnd) {
		w.expiredEnd = w.lastEnd
	}
	for _, r := range w.runs {
		switch {
		case now.After(w.leaseEnd) && w.leaseEnd.Before(r.endsAt):
			f.endRun(w, r, "lapsed")
		case now.After(r.endsAt):
			f.endRun(w, r, "done")
		}
	}
}

func (f *fleet) endRun(w *worker, r *taskRun, reason string) {
	delete(w.runs, r.task)
	delete(f.runsOn, r.task)
	w.usedCPU -= r.cpu
	w.closedRun[r.task] = max(w.closedRun[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.run, reason, ""})
	if reason == "done" {
		f.done[r.task] = true
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *fleet) stop(rw http.ResponseWriter, w *worker, req *workerRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDueRuns(w)
	if req.Fence < w.fence {
		f.answer(rw, "fence")
		return
	}
	w.fence = req.Fence
	w.closedRun[req.Task] = max(w.closedRun[req.Task], req.Run)
	if r := w.runs[req.Task]; r != nil && r.run <= req.Run {
		f.endRun(w, r, "stopped")
	}
	f.answer(rw, "")
}

func (f *fleet) renew(rw http.ResponseWriter, r *http.Request, w *worker, req *workerRequest) {
	f.mu.Lock()
	f.endDueRuns(w)
	if req.Fence < w.fence {
		f.answer(rw, "fence")
		f.mu.Unlock()
		return
	}
	w.fence = req.Fence
	if req.DeadlineMS > 0 {
		f.extendLease(w, req.DeadlineMS)
	}
	f.acknowledge(w, req.AckCursor)
	for end := time.Now().Add(time.Duration(req.WaitMS) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(end) && r.Context().Err() == nil; {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		f.endDueRuns(w)
	}
	running := [][]any{}
	for _, u := range w.runs {
		percent := int(100 * time.Since(u.startedAt) / taskTime)
		running = append(running, []any{u.task, u.run, "", min(99, percent), 0})
	}
	out := map[string]any{"clockMs": f.clockMillis(), "born": 1, "running": running, "ended": append([][]any{}, w.ended...)}
	f.mu.Unlock()
	reply(rw, http.StatusOK, out)
}

// acknowledge removes the ends up to cursor from the list.
func (f *fleet) acknowledge(w *worker, cursor int64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e[0].(int64) > cursor {
			kept = append(kept, e)
			continue
		}
		if e[3] == "done" && e[0].(int64) > w.expiredEnd {
			f.acknowledged[e[1].(string)] = true
		}
	}
	w.ended = kept
}
