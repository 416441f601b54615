package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// fleet is a stand-in of all workers, and of the adviser. It checks what workers
// see: one place for each task, capacity, order of steps, true refusals.
type fleet struct {
	mu      sync.Mutex
	began   time.Time
	workers map[string]*worker
	placed  map[string]string // task -> worker that runs it
	done    map[string]bool   // tasks with a run that ended as done
	acked   map[string]bool   // of these, the ones whose end was confirmed
	faults  []string
	starts  int
	hold    time.Duration // longest lease
	jobs    map[string]*submitted
}

type worker struct {
	id     string
	fence  int64
	lease  time.Time
	used   int64
	runs   map[string]*taskRun
	ended  [][]any
	number int64
	// expired is the last end that was listed when the lease had run out: such an end
	// does not count as confirmed.
	expired int64
	barred  map[string]int
	silent  bool
	grown   chan struct{}
}

type taskRun struct {
	task string
	run  int
	cpu  int64
	ends time.Time
	from time.Time
}

const (
	workerCPU = 8000
	taskTime  = 300 * time.Millisecond
)

func newFleet(count int) *fleet {
	f := &fleet{began: time.Now(), workers: make(map[string]*worker), placed: make(map[string]string), done: make(map[string]bool),
		acked: make(map[string]bool), hold: 4 * time.Second, jobs: make(map[string]*submitted)}
	for i := range count {
		id := fmt.Sprintf("w%02d", i)
		f.workers[id] = &worker{id: id, runs: make(map[string]*taskRun), barred: make(map[string]int), grown: make(chan struct{})}
	}
	return f
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("%8s ", time.Since(f.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (f *fleet) clock() int64 { return time.Since(f.began).Milliseconds() + 1000 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Fence      int64  `json:"fence"`
	DeadlineMS int64  `json:"deadlineMs"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

func (f *fleet) serve(id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		w := f.workers[id]
		silent := w.silent
		f.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		switch r.URL.Path {
		case "/-/run-start":
			f.start(rw, w, &o)
		case "/-/run-stop":
			f.stop(rw, w, &o)
		case "/-/hold":
			f.look(rw, r, w, &o)
		default:
			rw.WriteHeader(http.StatusNotFound)
		}
	})
}

func (f *fleet) answer(rw http.ResponseWriter, reason string) {
	if reason != "" {
		reply(rw, http.StatusConflict, map[string]any{"clockMs": f.clock(), "born": 1, "reason": reason})
		return
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": f.clock(), "born": 1})
}

func (f *fleet) start(rw http.ResponseWriter, w *worker, o *order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress(w)
	switch {
	case o.Fence < w.fence:
		f.answer(rw, "fence")
		return
	case o.DeadlineMS < f.clock():
		f.answer(rw, "late")
		return
	case w.runs[o.Task] != nil && w.runs[o.Task].run == o.Run:
		f.answer(rw, "")
		return
	case w.barred[o.Task] >= o.Run:
		f.answer(rw, "old")
		return
	}
	w.fence = o.Fence
	f.extend(w, o.DeadlineMS)
	f.begin(w, o)
	f.answer(rw, "")
}

// begin starts a run and checks the promises that concern a start.
func (f *fleet) begin(w *worker, o *order) {
	f.starts++
	if at := f.placed[o.Task]; at != "" {
		f.progress(f.workers[at])
	}
	if at := f.placed[o.Task]; at != "" {
		f.fault("%s run %d on %s while it runs on %s", o.Task, o.Run, w.id, at)
	}
	if f.acked[o.Task] {
		f.fault("%s run %d on %s after its end was confirmed", o.Task, o.Run, w.id)
	}
	j := f.jobs[o.Task[:16]]
	if j == nil {
		f.fault("%s was never submitted", o.Task)
		return
	}
	if j.refused() {
		f.fault("%s runs, although every submission was refused", o.Task)
	}
	var step, index int
	_, _ = fmt.Sscanf(o.Task[16:], ".0.%d.%d", &step, &index)
	if step > 0 {
		for i := range j.width {
			if before := fmt.Sprintf("%s.0.0.%d", j.id, i); !f.done[before] {
				f.fault("%s before %s was done", o.Task, before)
			}
		}
	}
	w.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, cpu: j.cpu, from: time.Now(), ends: time.Now().Add(taskTime)}
	f.placed[o.Task] = w.id
	w.used += j.cpu
	if w.used > workerCPU {
		f.fault("%s runs %d of %d", w.id, w.used, workerCPU)
	}
}

func (f *fleet) extend(w *worker, deadline int64) {
	end := time.Now().Add(min(f.hold, time.Duration(deadline-f.clock())*time.Millisecond))
	if end.After(w.lease) {
		w.lease = end
	}
}

// progress ends the runs of w that are due.
func (f *fleet) progress(w *worker) {
	now := time.Now()
	if now.After(w.lease) {
		w.expired = w.number
	}
	for _, r := range w.runs {
		switch {
		case now.After(w.lease) && w.lease.Before(r.ends):
			f.end(w, r, "lapsed")
		case now.After(r.ends):
			f.end(w, r, "done")
		}
	}
}

func (f *fleet) end(w *worker, r *taskRun, how string) {
	delete(w.runs, r.task)
	delete(f.placed, r.task)
	w.used -= r.cpu
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.number++
	w.ended = append(w.ended, []any{w.number, r.task, r.run, how, ""})
	if how == "done" {
		f.done[r.task] = true
	}
	close(w.grown)
	w.grown = make(chan struct{})
}

func (f *fleet) stop(rw http.ResponseWriter, w *worker, o *order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress(w)
	if o.Fence < w.fence {
		f.answer(rw, "fence")
		return
	}
	w.fence = o.Fence
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		f.end(w, r, "stopped")
	}
	f.answer(rw, "")
}

func (f *fleet) look(rw http.ResponseWriter, r *http.Request, w *worker, o *order) {
	f.mu.Lock()
	f.progress(w)
	if o.Fence < w.fence {
		f.answer(rw, "fence")
		f.mu.Unlock()
		return
	}
	w.fence = o.Fence
	if o.DeadlineMS > 0 {
		f.extend(w, o.DeadlineMS)
	}
	f.confirm(w, o.AckCursor)
	for end := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(end) && r.Context().Err() == nil; {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		f.progress(w)
	}
	running := [][]any{}
	for _, u := range w.runs {
		percent := int(100 * time.Since(u.from) / taskTime)
		running = append(running, []any{u.task, u.run, "", min(99, percent), 0})
	}
	out := map[string]any{"clockMs": f.clock(), "born": 1, "running": running, "ended": append([][]any{}, w.ended...)}
	f.mu.Unlock()
	reply(rw, http.StatusOK, out)
}

func (f *fleet) confirm(w *worker, cursor int64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e[0].(int64) > cursor {
			kept = append(kept, e)
			continue
		}
		if e[3] == "done" && e[0].(int64) > w.expired {
			f.acked[e[1].(string)] = true
		}
	}
	w.ended = kept
}
