package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax     = 10 * time.Second // holdMaxMs
	stopTime    = 50 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond // heartbeatMs
	checkpoint  = time.Second             // checkpointS
	restoreTime = 600 * time.Millisecond  // restoreMs
	tick        = 5 * time.Millisecond
	roundTrip   = 2 * time.Millisecond // between two zones, 0.9 ms one way
)

// worker is a stand-in for one worker machine. Its process can be killed and started again
// under the same id and address.
type worker struct {
	sim      *sim
	id       string
	service  string
	labels   []string
	cpu, mem int64

	mu      sync.Mutex
	address string
	life    *workerLife // nil while its process is down
	server  *http.Server
	downAt  time.Time
	listed  bool
}

// workerLife is what a worker's process knows. All times are milliseconds on its clock.
type workerLife struct {
	startedAt time.Time
	born      int64
	fence     int64
	leaseEnd  int64
	runs      map[string]*taskRun // by task
	ended     []runEnd
	lastEnd   int64
	closed    map[string]int // highest run that may not start any more, by task
	changed   chan struct{}  // closed at each end
}

type taskRun struct {
	task    string
	run     int
	startAt time.Time
	work    time.Duration // including what was done before
	done    time.Duration // work that the checkpoint it started from had saved
	how     string        // how it ends
	saves   bool
	stopAt  time.Time
}

type runEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

func (l *workerLife) clock() int64 { return 1000 + time.Since(l.startedAt).Milliseconds() }

// start starts the worker's process and registers it.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.sim.must(err)
	w.address = l.Addr().String()
	now := time.Now()
	life := &workerLife{startedAt: now, born: now.UnixMilli(), runs: make(map[string]*taskRun), closed: make(map[string]int), changed: make(chan struct{})}
	w.life = life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", func(rw http.ResponseWriter, r *http.Request) { w.handle(life, rw, r, w.runStart) })
	mux.HandleFunc("POST /-/run-stop", func(rw http.ResponseWriter, r *http.Request) { w.handle(life, rw, r, w.runStop) })
	mux.HandleFunc("POST /-/hold", func(rw http.ResponseWriter, r *http.Request) { w.hold(life, rw, r) })
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.run(life)
	w.listed = true
	w.sim.store.put("keyed.servers", w.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z1","version":"1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"capacity":{"cpu":%d,"memMb":%d},"labels":%s,"born":%d,"machine":%q}`,
		w.service, w.address, w.cpu, w.mem, mustJSON(w.labels), life.born, "m-"+w.id))
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// crash ends the worker's process at once. What it ran ends with it.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return
	}
	for _, r := range w.life.runs {
		w.sim.runGone(w, r, "lost with its worker")
	}
	w.life, w.downAt = nil, time.Now()
	_ = w.server.Close()
	w.sim.note(w.id, "crashes")
	go func(at time.Time) { // the entry goes after three status report intervals of silence
		time.Sleep(3 * heartbeat)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == nil && w.downAt.Equal(at) && w.listed {
			w.listed = false
			w.sim.store.put("keyed.servers", w.id, "")
		}
	}(w.downAt)
}

// run ends runs that are complete, stopped or out of their lease, for one life.
func (w *worker) run(life *workerLife) {
	for range time.Tick(tick) {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		w.settle(life)
		w.mu.Unlock()
	}
}

// settle ends what is due. The caller holds w.mu.
func (w *worker) settle(life *workerLife) {
	now := time.Now()
	for _, r := range life.runs {
		switch {
		case life.leaseEnd < life.clock():
			w.end(life, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(life, r, "stopped")
		case r.work > 0 && r.progress(now) >= r.work:
			w.end(life, r, r.how)
		}
	}
}

// progress returns the work that is done, with what was saved before.
func (r *taskRun) progress(now time.Time) time.Duration {
	worked := now.Sub(r.startAt)
	if r.done > 0 {
		worked = max(0, worked-restoreTime)
	}
	return r.done + worked
}

// saved returns the run's checkpoint: the saved work in milliseconds, in 16 digits, or "".
func (r *taskRun) saved(now time.Time, stopped bool) string {
	if !r.saves {
		return ""
	}
	p := r.progress(now)
	if !stopped {
		p = p / checkpoint * checkpoint
	}
	if p <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", p.Milliseconds())
}

func (w *worker) end(life *workerLife, r *taskRun, how string) {
	delete(life.runs, r.task)
	life.closed[r.task] = max(life.closed[r.task], r.run)
	life.lastEnd++
	life.ended = append(life.ended, runEnd{life.lastEnd, r.task, r.run, how, r.saved(time.Now(), how == "stopped")})
	close(life.changed)
	life.changed = make(chan struct{})
	w.sim.runGone(w, r, how)
}

type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMS     int64  `json:"deadlineMs"`
	Fence          int64  `json:"fence"`
	LastCheckpoint string `json:"lastCheckpoint"`
	AckCursor      int64  `json:"ackCursor"`
	WaitMS         int64  `json:"waitMs"`
}

// handle answers a start or a stop.
func (w *worker) handle(life *workerLife, rw http.ResponseWriter, r *http.Request, carryOut func(*workerLife, *order) string) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clockMs": life.clock(), "born": life.born})
		return
	}
	if t := r.Header.Get("Target-Instance"); t != "" && t != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(roundTrip)
	w.mu.Lock()
	if w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // the process has ended
	}
	w.settle(life)
	reason := carryOut(life, &o)
	clock := life.clock()
	w.mu.Unlock()
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "born": life.born, "reason": reason})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": clock, "born": life.born})
}

func (l *workerLife) extend(deadline int64) {
	l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock()+holdMax.Milliseconds()))
}

// runStart carries out a start. It returns the reason of a refusal. The caller holds w.mu.
func (w *worker) runStart(life *workerLife, o *order) string {
	if o.Fence < life.fence {
		return "fence"
	}
	life.fence = o.Fence
	if o.DeadlineMS < life.clock() {
		return "late"
	}
	life.extend(o.DeadlineMS)
	if r := life.runs[o.Task]; r != nil && r.run == o.Run {
		return ""
	} else if r != nil && r.run > o.Run || life.closed[o.Task] >= o.Run {
		return "old"
	}
	r := &taskRun{task: o.Task, run: o.Run, startAt: time.Now(), how: "done"}
	for field := range strings.SplitSeq(o.Spec, ";") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "work": // ms, zero for a task that lasts
			ms, _ := strconv.Atoi(value)
			r.work = time.Duration(ms) * time.Millisecond
		case "saves":
			r.saves = true
		case "fails":
			r.how = "failed"
		}
	}
	if ms, err := strconv.ParseInt(o.LastCheckpoint, 16, 64); err == nil {
		r.done = time.Duration(ms) * time.Millisecond
	}
	life.runs[o.Task] = r
	w.sim.runStarted(w, r)
	return ""
}

func (w *worker) runStop(life *workerLife, o *order) string {
	if o.Fence < life.fence {
		return "fence"
	}
	life.fence = o.Fence
	life.closed[o.Task] = max(life.closed[o.Task], o.Run)
	if r := life.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

func (w *worker) hold(life *workerLife, rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clockMs": life.clock(), "born": life.born})
		return
	}
	if t := r.Header.Get("Target-Instance"); t != "" && t != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(roundTrip)
	deadline := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	first := true
	for {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.settle(life)
		if o.Fence < life.fence {
			clock := life.clock()
			w.mu.Unlock()
			writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "born": life.born, "reason": "fence"})
			return
		}
		life.fence = o.Fence
		if first {
			first = false
			if o.DeadlineMS > 0 {
				life.extend(o.DeadlineMS)
			}
			for len(life.ended) > 0 && life.ended[0].number <= o.AckCursor {
				w.sim.endNoted(life.ended[0])
				life.ended = life.ended[1:]
			}
		}
		if o.WaitMS <= 0 || len(life.ended) > 0 {
			now, running, ended := time.Now(), [][]any{}, [][]any{}
			for _, r := range life.runs {
				percent := 0
				if r.work > 0 {
					percent = min(99, int(100*r.progress(now)/r.work))
				}
				running = append(running, []any{r.task, r.run, r.saved(now, false), percent, 0})
			}
			for _, e := range life.ended[:min(len(life.ended), 500)] {
				ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
			}
			clock := life.clock()
			w.mu.Unlock()
			writeJSON(rw, http.StatusOK, map[string]any{"clockMs": clock, "born": life.born, "running": running, "ended": ended})
			return
		}
		changed := life.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			o.WaitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}
