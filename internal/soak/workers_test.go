package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// fleet is a stand-in for all workers. It checks what workers can observe; see
// checks_test.go.
type fleet struct {
	mu          sync.Mutex
	maxLease    time.Duration // holdMaxMs in the boot settings
	rng         *rand.Rand
	startedAt   time.Time
	workers     map[string]*worker
	tasks       map[string]*taskState
	jobs        map[string]*submittedJob
	violations  []string
	idleWork    []string // violations of idleBound
	starts      int
	faulty      map[string]int       // calls that a fault has met, by fault
	fault       string               // of the start that is being carried out
	failRatio   float64              // ratio of runs that fail
	restarts    bool                 // whether workers restart
	crashRng    *rand.Rand           // of crashes and capacities
	crashes     bool                 // whether tasks crash their workers, and workers shrink and grow
	crashed     int                  // workers that tasks crashed
	evacuated   map[string]time.Time // evacuated zones, and since when
	cuts        int                  // cuts that refused connections
	cancels     map[string]int       // answers to cancellations, and what was seen after them
	closed      bool                 // whether the cell has ended
	listen      func(w *worker, address string) error
	register    func(w *worker)  // writes the directory's entry of a worker
	pending     sync.WaitGroup   // calls that are held back
	gangRng     *rand.Rand       // of gangs and of cuts after restarts
	gangs       map[string]*gang // by step
	gangCounts  map[string]int   // runs and ends of members, by kind
	longestIdle time.Duration    // of a job on an idle fleet after the faults
	calmSince   time.Time        // when the faults ended
	// gangFailures tells of runs of which one member has failed and others are going to.
	gangFailures chan struct{}
}

// worker is a worker's id with its present life.
type worker struct {
	*life
	id        string
	address   string
	clockRate float64       // of its clocks
	guards    bool          // whether it refuses a start that does not fit
	hanging   bool          // whether it neither carries out nor answers calls
	left      bool          // whether it has left for good
	down      bool          // whether it is between two lives
	cut       bool          // whether a cut refuses connections to it
	dark      string        // mode of a cut that refuses none, or ""
	lightUp   chan struct{} // closed at the end of that cut
	cpu       int64         // capacity
	past      []pastCapacity
	// troubledAt is when the last fault on the calls to it, its last cut or its last life ended.
	troubledAt time.Time
	server     *http.Server
	faults     callFaults
}

// life is what a worker loses when it restarts. Its times are milliseconds on its clock.
type life struct {
	startedAt  time.Time
	clockStart int64
	born       int64
	fence      int64
	leaseEnd   int64
	usedCPU    int64
	runs       map[string]*taskRun // by task
	ended      []*taskEnd          // not acknowledged yet
	lastEnd    int64               // number of the newest entry of ended
	// expiredEnd is the value of lastEnd when the lease was last seen expired. Ends up
	// to this number don't count as acknowledged.
	expiredEnd int64
	closed     map[string]int // highest run that may not start (again), by task
}

func (l *life) closeRun(task string, run int) { l.closed[task] = max(l.closed[task], run) }

// taskRun is a run of a task on a worker.
type taskRun struct {
	task      string
	run       int
	cpu       int64
	startedAt int64
	endsAt    int64
	how       string // how it ends then
	stopAt    int64  // when it ends by a stop command; zero if it got none
	late      bool   // whether the start was carried out late
	gang      *gangRun
	waits     bool // whether it waits for the other members of its gang
}

// taskEnd is the end of a run.
type taskEnd struct {
	number       int64
	task         string
	run          int
	how          string
	at           time.Time
	acknowledged bool
}

const (
	workerCPU = 8000 // mCPU
	taskTime  = 300 * time.Millisecond
	maxStop   = 200 * time.Millisecond // stopMs in the boot settings
)

func newFleet(count int, seed uint64) *fleet {
	f := &fleet{maxLease: 4 * time.Second, rng: rand.New(rand.NewPCG(seed, 4)), startedAt: time.Now(), workers: make(map[string]*worker),
		tasks: make(map[string]*taskState), jobs: make(map[string]*submittedJob), faulty: make(map[string]int), evacuated: make(map[string]time.Time), cancels: make(map[string]int)}
	f.failRatio = []float64{0, 0.02, 0.1}[f.rng.IntN(3)]
	f.restarts = f.rng.IntN(2) == 0
	f.crashRng = rand.New(rand.NewPCG(seed, 5))
	f.crashes = f.crashRng.IntN(2) == 0
	f.gangRng, f.gangs, f.gangCounts, f.gangFailures = rand.New(rand.NewPCG(seed, 11)), make(map[string]*gang), make(map[string]int), make(chan struct{}, 1)
	for i := range count {
		id := fmt.Sprintf("w%02d", i)
		f.workers[id] = &worker{id: id, cpu: workerCPU, clockRate: 1 - 0.02*f.rng.Float64(), guards: f.rng.IntN(3) == 0, life: f.newLife(), troubledAt: f.startedAt}
	}
	return f
}

func (f *fleet) newLife() *life {
	now := time.Now()
	return &life{startedAt: now, clockStart: 1000 + f.rng.Int64N(1000), born: now.UnixMilli(),
		runs: make(map[string]*taskRun), closed: make(map[string]int)}
}

// clock returns the worker's clock.
func (w *worker) clock() int64 {
	return w.clockStart + int64(float64(time.Since(w.startedAt).Microseconds())*w.clockRate/1000)
}

// timeAt returns the time at which the worker's clock had a value.
func (w *worker) timeAt(clock int64) time.Time {
	return w.startedAt.Add(time.Duration(float64(clock-w.clockStart)/w.clockRate*1000) * time.Microsecond)
}

// workerRequest is the body of a start, stop or renewal.
type workerRequest struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Fence      int64  `json:"fence"`
	DeadlineMS int64  `json:"deadlineMs"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
	receivedAt time.Time
}

// workerAnswer is an answer of a worker. Without a body, it has only a status.
type workerAnswer struct {
	status int
	body   map[string]any
}

const (
	startPath   = "/-/run-start"
	stopPath    = "/-/run-stop"
	renewalPath = "/-/hold"
)

// serve returns the handler of the calls to one worker.
func (f *fleet) serve(id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var req workerRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		req.receivedAt = time.Now()
		if r.Header.Get("Target-Instance") != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		f.mu.Lock()
		w := f.workers[id]
		hanging, down, called, dark := w.hanging || w.left, w.down && !w.left, w.life, w.dark
		fault := ""
		if !hanging && !down && dark == "" {
			fault = f.drawFault(w, r.URL.Path)
		}
		f.mu.Unlock()
		switch {
		case dark != "":
			f.handleDark(r, w, called, &req, dark)
		case down:
			abort(rw)
		case hanging:
			<-r.Context().Done()
		default:
			f.handle(rw, r, w, called, &req, fault)
		}
	})
}

// carryOut carries out a call in a life of w. There is no answer if that life has ended.
func (f *fleet) carryOut(w *worker, called *life, path string, req *workerRequest, fault string) workerAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.down || w.life != called {
		return workerAnswer{}
	}
	switch path {
	case startPath:
		f.fault = fault
		a := f.start(w, req)
		f.note(req.Task, "start of run %d on %s%s: %v", req.Run, w.name(), fault, a)
		return a
	case stopPath:
		a := f.stop(w, req)
		f.note(req.Task, "stop of run %d on %s%s: %v", req.Run, w.name(), fault, a)
		return a
	case renewalPath:
		return f.renew(w, req)
	}
	return workerAnswer{status: http.StatusNotFound}
}

// name returns the worker's id and the time of its start.
func (w *worker) name() string { return fmt.Sprintf("%s/%d", w.id, w.born%100_000) }

func (a workerAnswer) String() string { return fmt.Sprint(a.status, " ", a.body["reason"]) }

// ok returns the answer to a call that was carried out.
func (w *worker) ok() workerAnswer {
	return workerAnswer{http.StatusOK, map[string]any{"clockMs": w.clock()}}
}

// conflict returns the answer to a call that was refused for a reason.
func (w *worker) conflict(reason string) workerAnswer {
	return workerAnswer{http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}}
}

// start carries out a start command. The caller holds f.mu, as for all that follows.
func (f *fleet) start(w *worker, req *workerRequest) workerAnswer {
	f.endDueRuns(w)
	if req.Fence < w.fence {
		return w.conflict("fence")
	}
	w.fence = req.Fence
	if req.DeadlineMS < w.clock() {
		return w.conflict("late")
	}
	f.extendLease(w, req.DeadlineMS) // also by a start that is refused from here on
	switch r := w.runs[req.Task]; {
	case r != nil && r.run == req.Run:
		return w.ok()
	case w.closed[req.Task] >= req.Run:
		return w.conflict("old")
	case w.guards && w.usedCPU+f.cpuOf(req.Task) > w.cpu:
		return w.conflict("room")
	}
	f.startRun(w, req)
	return w.ok()
}

// startRun starts a run.
func (f *fleet) startRun(w *worker, req *workerRequest) {
	f.starts++
	f.checkStart(w, req)
	f.checkZone(w, req)
	if r := w.runs[req.Task]; r != nil {
		f.endRun(w, r, "stopped", w.clock()) // checkStart has recorded the violation
	}
	now := w.clock()
	r := &taskRun{task: req.Task, run: req.Run, cpu: f.cpuOf(req.Task), startedAt: now, endsAt: now + f.lengthOf(req.Task).Milliseconds(), how: "done", late: strings.HasPrefix(f.fault, ", late")}
	if j := f.jobOf(req.Task); (j == nil || !j.gang && !j.long) && (f.rng.Float64() < f.failRatio || f.hopeless(req.Task)) {
		r.how = "failed"
	}
	w.runs[req.Task] = r
	t := f.task(req.Task)
	t.on = append(t.on, w)
	w.usedCPU += r.cpu
	if capacity := w.capacityInForce(); w.usedCPU > capacity {
		f.recordViolation(req.Task, "worker %s is overcommitted: its tasks use %d mCPU, its capacity is %d mCPU", w.id, w.usedCPU, capacity)
	}
	f.crashLater(w, r)
	f.joinGang(w, r)
}

// extendLease extends the lease of w up to deadline.
func (f *fleet) extendLease(w *worker, deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+f.maxLease.Milliseconds()))
}

// endDueRuns ends the runs of w that are complete or stopped or whose lease has expired.
func (f *fleet) endDueRuns(w *worker) {
	now := w.clock()
	for _, r := range w.runs {
		if r.gang != nil {
			f.settleGang(r.gang)
		} else if at, how := w.endOf(r); at <= now {
			f.endRun(w, r, how, at)
		}
	}
	if w.leaseEnd < now {
		w.expiredEnd = w.lastEnd
	}
}

// endOf returns when a run ends on the worker's clock, as far as is known, and how.
func (l *life) endOf(r *taskRun) (at int64, how string) {
	at, how = r.endsAt, r.how
	if r.stopAt > 0 && r.stopAt < at {
		at, how = r.stopAt, "stopped"
	}
	if l.leaseEnd < at {
		at, how = l.leaseEnd, "lapsed"
	}
	return at, how
}

// endRun ends a run at a time on the worker's clock.
func (f *fleet) endRun(w *worker, r *taskRun, how string, at int64) {
	delete(w.runs, r.task)
	w.usedCPU -= r.cpu
	w.closeRun(r.task, r.run)
	w.lastEnd++
	e := &taskEnd{number: w.lastEnd, task: r.task, run: r.run, how: how, at: w.timeAt(at)}
	w.ended = append(w.ended, e)
	t := f.task(r.task)
	t.leave(w)
	t.ends = append(t.ends, e)
	f.note(r.task, "run %d on %s ended %s %v ago", r.run, w.name(), how, time.Since(e.at).Round(time.Millisecond))
	f.leaveGang(r, how)
	f.checkGangEnd(r, e)
}

// stop carries out a stop command.
func (f *fleet) stop(w *worker, req *workerRequest) workerAnswer {
	f.endDueRuns(w)
	if req.Fence < w.fence {
		return w.conflict("fence")
	}
	w.fence = req.Fence
	w.closeRun(req.Task, req.Run)
	if r := w.runs[req.Task]; r != nil && r.run <= req.Run && r.stopAt == 0 {
		r.stopAt = w.clock() + f.rng.Int64N(maxStop.Milliseconds())
	}
	return w.ok()
}

// renew carries out a renewal and answers at once.
func (f *fleet) renew(w *worker, req *workerRequest) workerAnswer {
	f.endDueRuns(w)
	if req.Fence < w.fence {
		return w.conflict("fence")
	}
	w.fence = req.Fence
	if req.DeadlineMS > 0 {
		f.extendLease(w, req.DeadlineMS)
	}
	f.acknowledge(w, req.AckCursor)
	return w.report()
}

// report returns the answer with the runs and the ends of w.
func (w *worker) report() workerAnswer {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100 * (w.clock() - r.startedAt) / max(1, r.endsAt-r.startedAt)
		if r.waits {
			percent = 0
		}
		running = append(running, []any{r.task, r.run, "", min(99, percent), 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	a := w.ok()
	a.body["running"], a.body["ended"], a.body["born"] = running, ended, w.born // answers to commands do not tell the start
	return a
}

// acknowledge removes the ends up to cursor from the list.
func (f *fleet) acknowledge(w *worker, cursor int64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		if e.number > w.expiredEnd {
			e.acknowledged = true
			f.note(e.task, "end of run %d on %s acknowledged", e.run, w.name())
			f.checkEnds(e.task)
			if g := f.gangOf(e.task); g != nil {
				f.checkGangEnds(g, e.task)
			}
		}
	}
	w.ended = kept
}
