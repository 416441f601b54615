package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker. It carries out orders as the platform's pages say, starts
// whatever it is told to start, and may crash and start again at its address.
type worker struct {
	fleet   *fleet
	address string
	rack    string

	mu       sync.Mutex
	id       string
	up       bool
	listener *http.Server
	born     time.Time
	fence    int64
	lease    time.Time
	runs     map[string]*run
	settled  map[string]int // highest run of each task that was stopped or has ended here
	ended    []endRow
	lastEnd  int64
	changed  chan struct{} // closed at each end
	seq      int

	lateHold bool       // the next hold with an ackCursor gets no answer and is kept
	kept     *orderBody // that hold, until it is carried out
	keptAt   time.Time
}

type run struct {
	task       string
	number     int
	spec       taskSpec
	startedAt  time.Time
	resumedAt  time.Duration // progress that it started with
	stopping   bool
	checkpoint string
}

// endRow is one entry of the list of ended runs.
type endRow struct {
	n          int64
	task       string
	run        int
	how        string
	checkpoint string
}

// taskSpec is what the text of a submission tells the stand-in about its tasks.
type taskSpec struct {
	WorkMS int  `json:"workMs"`
	Fails  int  `json:"fails"` // the first runs that fail
	Saves  bool `json:"saves"`
}

// work returns how long the run has worked, with what it resumed from.
func (r *run) work(now time.Time) time.Duration { return r.resumedAt + now.Sub(r.startedAt) }

func (r *run) percent(now time.Time) int {
	return int(min(99, 100*r.work(now).Milliseconds()/int64(max(1, r.spec.WorkMS))))
}

// saved returns the newest checkpoint, which is made every second of work.
func (r *run) saved(now time.Time) string {
	if seconds := int(r.work(now) / time.Second); r.spec.Saves && seconds > 0 {
		r.checkpoint = fmt.Sprintf("%08x7a21d94b", 1000*seconds)
	}
	return r.checkpoint
}

// start begins a lifetime of the worker.
func (w *worker) start() error { return w.startAs("") }

// startAgain begins a lifetime under the id of the one before.
func (w *worker) startAgain() error { return w.startAs(w.id) }

// startAs begins a lifetime under an id, a new one if it is empty.
func (w *worker) startAs(id string) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.fleet.lives++
	if w.id = id; id == "" {
		w.id = fmt.Sprintf("i-%08x", 0x7f3a0000+w.fleet.lives)
	}
	w.up, w.born, w.fence, w.lease = true, time.Now(), 0, time.Time{}
	w.runs, w.settled, w.ended, w.lastEnd = make(map[string]*run), make(map[string]int), nil, 0
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.order(w.startRun))
	mux.HandleFunc("POST /-/run-stop", w.order(w.stopRun))
	mux.HandleFunc("POST /-/hold", w.order(w.hold))
	w.listener = &http.Server{Handler: mux}
	server, id, born := w.listener, w.id, w.born
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // it ends with the lifetime
	go w.report(id, born)
	go w.watch(id, born)
	return nil
}

// crash ends the lifetime: all that runs is lost.
func (w *worker) crash() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lost []string
	for name, r := range w.runs {
		lost = append(lost, fmt.Sprintf("%s run %d", name, r.number))
		w.fleet.noteLost(r)
	}
	w.up, w.runs = false, make(map[string]*run)
	_ = w.listener.Close()
	return lost
}

// report writes the worker's entry every heartbeat.
func (w *worker) report(id string, born time.Time) {
	for {
		w.mu.Lock()
		if w.id != id || w.born != born || !w.up {
			w.mu.Unlock()
			return
		}
		w.seq++
		entry, _ := json.Marshal(map[string]any{"service": serviceName, "address": w.address, "zone": "z1", "version": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "capacity": map[string]int{"cpu": w.fleet.cpu, "memMb": w.fleet.memMB, "gpu": 0},
			"labels": []string{"a", w.rack}, "clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli()})
		w.mu.Unlock()
		w.fleet.store.put("keyed.servers", id, string(entry))
		time.Sleep(1500 * time.Millisecond)
	}
}

// unlist removes the entry of a worker that has been silent.
func (w *worker) unlist(id string) { w.fleet.store.put("keyed.servers", id, "") }

// clock returns the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// watch ends runs whose work is done or whose lease is over.
func (w *worker) watch(id string, born time.Time) {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if w.id != id || w.born != born || !w.up {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case now.After(w.lease):
				w.end(r, "lapsed")
			case r.stopping:
				w.end(r, "stopped")
			case r.work(now) >= time.Duration(r.spec.WorkMS)*time.Millisecond:
				if r.number <= r.spec.Fails {
					w.end(r, "failed")
				} else {
					w.end(r, "done")
				}
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. w.mu is held.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.settled[r.task] = max(w.settled[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r.task, r.number, how, r.saved(time.Now())})
	if kept := w.kept; kept != nil && how == "done" && w.up && w.lateDue() {
		// The hold that got no answer is carried out now, before what waits for this end.
		w.kept = nil
		w.fleet.rec.line("worker %s carries out the late hold: ackCursor %d", w.id, kept.AckCursor)
		w.forget(kept.AckCursor)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.noteEnd(r, how)
}

type orderBody struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMS     int64  `json:"deadlineMs"`
	Fence          int64  `json:"fence"`
	LastCheckpoint string `json:"lastCheckpoint"`
	AckCursor      int64  `json:"ackCursor"`
	WaitMS         int    `json:"waitMs"`
}

// order decodes an order and answers one for another lifetime with 421.
func (w *worker) order(handle func(*orderBody, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		id, born := w.id, w.born
		w.mu.Unlock()
		if target := r.Header.Get("Target-Instance"); target != "" && target != id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var body orderBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		status, answer := handle(&body, r)
		answer["born"] = born.UnixMilli()
		reply(out, status, answer)
	}
}

// refuses reports whether the order comes from an earlier leader. w.mu is held.
func (w *worker) refuses(body *orderBody) bool {
	if body.Fence < w.fence {
		return true
	}
	w.fence = body.Fence
	return false
}

// extend extends the lease to a time on the worker's clock, at most holdMaxMs away. w.mu is held.
func (w *worker) extend(deadline int64) {
	left := min(deadline-w.clock(), holdMaxMS)
	if end := time.Now().Add(time.Duration(left) * time.Millisecond); end.After(w.lease) {
		w.lease = end
	}
}

func (w *worker) startRun(body *orderBody, _ *http.Request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := map[string]any{"clockMs": w.clock()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if w.refuses(body) {
		return refuse("fence")
	}
	if body.DeadlineMS <= w.clock() {
		return refuse("late")
	}
	w.extend(body.DeadlineMS)
	if r := w.runs[body.Task]; r != nil && r.number == body.Run {
		return http.StatusOK, answer
	}
	if body.Run <= w.settled[body.Task] || w.runs[body.Task] != nil {
		return refuse("old")
	}
	r := &run{task: body.Task, number: body.Run, startedAt: time.Now(), checkpoint: body.LastCheckpoint}
	_ = json.Unmarshal([]byte(body.Spec), &r.spec) // a text without details stands for a task without work
	if len(body.LastCheckpoint) >= 8 {
		var ms int64
		_, _ = fmt.Sscanf(body.LastCheckpoint[:8], "%x", &ms) // without a number the task begins anew
		r.resumedAt = time.Duration(ms) * time.Millisecond
	}
	w.runs[body.Task] = r
	w.fleet.noteStart(w, r)
	return http.StatusOK, answer
}

func (w *worker) stopRun(body *orderBody, _ *http.Request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := map[string]any{"clockMs": w.clock()}
	if w.refuses(body) {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	if r := w.runs[body.Task]; r != nil && r.number <= body.Run {
		r.stopping = true
	}
	w.settled[body.Task] = max(w.settled[body.Task], body.Run)
	return http.StatusOK, answer
}

func (w *worker) hold(body *orderBody, r *http.Request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuses(body) {
		return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"}
	}
	if body.DeadlineMS > 0 {
		w.extend(body.DeadlineMS)
	}
	if w.lateHold && body.AckCursor > 0 {
		w.lateHold, w.kept, w.keptAt = false, body, time.Now()
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return http.StatusServiceUnavailable, map[string]any{} // nobody waits for it any more
	}
	w.forget(body.AckCursor)
	id, timeout := w.id, time.After(time.Duration(min(body.WaitMS, 2000))*time.Millisecond)
	for waiting := body.WaitMS > 0; waiting && len(w.ended) == 0 && w.id == id && w.up; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for name, r := range w.runs {
		running = append(running, []any{name, r.number, r.saved(now), r.percent(now), 0})
	}
	for _, e := range w.ended[:min(500, len(w.ended))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.checkpoint})
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock(), "running": running, "ended": ended}
}

// jobOf returns the submission of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// lateDue reports whether a hold that got no answer may be carried out: 2 to 12 s later.
func (w *worker) lateDue() bool {
	late := time.Since(w.keptAt)
	return late >= 2*time.Second && late <= 12*time.Second
}

// forget forgets the ends up to a number, which are taken note of. w.mu is held.
func (w *worker) forget(cursor int64) {
	for len(w.ended) > 0 && w.ended[0].n <= cursor {
		w.fleet.noteAcknowledged(w, w.ended[0])
		w.ended = w.ended[1:]
	}
}
