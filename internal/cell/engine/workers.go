package engine

import (
	"slices"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// worker is what is known of one worker.
type worker struct {
	id       string
	life     int64
	address  string
	service  string
	rack     string
	labels   []string
	capacity job.Resources
	used     job.Resources
	held     job.Resources // kept free for gangs, in this round of placement
	runs     map[*run]struct{}

	listed   bool
	unlisted time.Time // when the directory last dropped it
	draining bool
	leaves   time.Time // earliest time at which a draining worker leaves

	clock    int64     // of the worker, ms, at the last answer
	clockAt  time.Time // when that answer came
	leaseEnd int64     // latest lease asked for, on the worker's clock, ms
	looked   bool      // it has answered this leader in this life
	lookBusy bool
	lookSent time.Time
	lookNext time.Time
	answered time.Time // last answer
	silent   int       // looks without an answer in a row
	lookSoon bool
	cursor   int64 // ends up to here are stored
	seen     int64 // ends up to here are applied
	unstored int   // batches of ends that are being stored
	strays   int   // runs in the last report that nobody here knows, whose size is not known
	health   health
}

// clockDrift is how much slower or faster than true time a worker's clock may
// run, by the platform's promise.
const clockDrift = 0.02

func newWorker(id string) *worker {
	return &worker{id: id, runs: make(map[*run]struct{})}
}

// now returns the lowest value that the worker's clock may show.
func (w *worker) now(at time.Time) int64 {
	return w.clock + int64(float64(at.Sub(w.clockAt).Milliseconds())*(1-clockDrift))
}

// noteClock takes over what an answer said of the clock.
func (w *worker) noteClock(clock int64, at time.Time) {
	if clock <= 0 {
		return
	}
	w.clock, w.clockAt = clock, at
	w.answered = at
	w.silent = 0
}

// lapses returns when all that the worker runs has certainly lapsed if it is not
// reached again.
func (w *worker) lapses() time.Time {
	left := time.Duration(float64(w.leaseEnd-w.clock)/(1-clockDrift)) * time.Millisecond
	return w.clockAt.Add(max(0, left))
}

// lease returns the deadline to ask for.
func (w *worker) lease(length time.Duration, at time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	end := w.now(at) + length.Milliseconds()
	if end > w.leaseEnd {
		w.leaseEnd = end
	}
	return end
}

// free returns what is left for new tasks.
func (w *worker) free() job.Resources { return w.capacity.Sub(w.used).Sub(w.held) }

// mayHold reports whether w could run a task of s when it is empty.
func (w *worker) mayHold(s *job.Step) bool {
	return s.Charge().Fits(w.capacity) && (s.Label == "" || slices.Contains(w.labels, s.Label))
}

// rackOf returns the label that names a rack.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// usable reports whether new tasks may be sent to w.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.draining && w.looked && w.silent == 0 && w.strays == 0 && !w.health.quarantined(now)
}

// workersListed takes over the directory.
func (e *Engine) workersListed(list []Listed) {
	present := make(map[string]bool, len(list))
	for i := range list {
		l := &list[i]
		present[l.ID] = true
		w := e.workers[l.ID]
		if w == nil {
			w = newWorker(l.ID)
			e.workers[l.ID] = w
			e.order = append(e.order, w)
			e.log.Info("worker found", "worker", l.ID, "life", l.Life, "service", l.Service, "zone", l.Zone)
		}
		e.workerListed(w, l)
	}
	for _, w := range e.order {
		if w.listed && !present[w.id] {
			w.listed = false
			w.unlisted = e.now
			e.log.Info("worker no longer listed", "worker", w.id, "runs", len(w.runs), "last_answer_ms", e.age(w.answered))
		}
	}
	e.forgetWorkers()
}

func (e *Engine) workerListed(w *worker, l *Listed) {
	if l.Life != 0 && w.life != 0 && l.Life < w.life {
		return // an entry from before the worker's restart
	}
	if l.Life != 0 && w.life != 0 && l.Life > w.life {
		e.newLife(w, l.Life, "directory")
	}
	if w.life == 0 {
		w.life = l.Life
	}
	w.listed = true
	w.address, w.service, w.labels, w.capacity = l.Address, l.Service, l.Labels, l.Capacity
	w.rack = rackOf(l.Labels)
	if l.Draining && !w.draining {
		w.leaves = e.now.Add(l.Leaves)
		e.log.Info("worker draining", "worker", w.id, "leaves_ms", l.Leaves.Milliseconds(), "runs", len(w.runs))
	}
	if w.draining != l.Draining {
		w.draining = l.Draining
		e.dirty = true
	}
}

// newLife drops all that ran on the life of w before.
func (e *Engine) newLife(w *worker, life int64, source string) {
	e.log.Info("worker started anew", "worker", w.id, "life", life, "before", w.life, "source", source, "runs", len(w.runs))
	for _, r := range w.sortedRuns() {
		if r.life != life {
			e.endRun(r, EndedLapsed, "", "worker restarted")
		}
	}
	w.life = life
	w.looked = false
	w.strays = 0
	w.draining = false
	w.cursor, w.seen = 0, 0
	w.clock, w.clockAt, w.leaseEnd = 0, time.Time{}, 0
	w.lookNext = e.now
	w.health = health{}
	e.dirty = true
}

// forgetWorkers drops workers that are gone and run nothing.
func (e *Engine) forgetWorkers() {
	kept := e.order[:0]
	for _, w := range e.order {
		if !w.listed && len(w.runs) == 0 && w.unstored == 0 && e.now.Sub(w.unlisted) > e.cfg.ForgetWorker {
			delete(e.workers, w.id)
			continue
		}
		kept = append(kept, w)
	}
	e.order = kept
}

// sortedRuns returns the runs on w in a stable order.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for r := range w.runs {
		runs = append(runs, r)
	}
	sortRuns(runs)
	return runs
}

// lookAtWorkers sends the looks that are due.
func (e *Engine) lookAtWorkers() {
	for _, w := range e.order {
		if w.lookBusy || e.now.Before(w.lookNext) || w.address == "" {
			continue
		}
		if !w.listed && len(w.runs) == 0 && e.now.Sub(w.unlisted) > e.cfg.UnlistedLooks {
			continue
		}
		if w.unstored > 0 && e.now.Sub(w.lookSent) < e.cfg.LookWait {
			continue // the ends that it would list again are being stored
		}
		e.look(w)
	}
}

func (e *Engine) look(w *worker) {
	w.lookBusy = true
	w.lookSent = e.now
	wait := e.cfg.LookWait
	if !w.looked || w.silent > 0 || w.lookSoon || w.unstored > 0 {
		wait = 0
	}
	w.lookSoon = false
	deadline := int64(0)
	if len(w.runs) > 0 && w.looked && w.silent == 0 {
		// A worker that does not answer gets no longer lease, so that its runs are
		// certainly over some time after the last answer.
		deadline = w.lease(e.cfg.Lease, e.now)
	}
	e.emit(&Look{Worker: w.id, Address: w.address, Life: w.life, Deadline: deadline, Cursor: w.cursor, Wait: wait, Timeout: wait + lookSlack})
}

// lookSlack is how much longer than it may hold back its answer a worker may take.
// It answers within a few milliseconds when it is sound, and an end that it lists
// goes unseen until the next look.
const lookSlack = 300 * time.Millisecond

// strayLook is the pause between looks at a worker with runs that nobody knows.
const strayLook = 50 * time.Millisecond

// looked takes in the outcome of a look.
func (e *Engine) looked(ev *Looked) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	w.lookBusy = false
	if ev.Fenced {
		e.stepDown("worker " + w.id + " has seen a newer leader")
		return
	}
	if ev.Report == nil {
		e.lookFailed(w, ev)
		return
	}
	if ev.Report.Life != 0 && ev.Report.Life != w.life {
		if w.life != 0 && ev.Report.Life < w.life {
			return
		}
		if w.life != 0 {
			e.newLife(w, ev.Report.Life, "look")
		}
		w.life = ev.Report.Life
	}
	first := !w.looked
	if w.silent > 0 {
		e.log.Info("worker answers again", "worker", w.id, "silent_ms", e.age(w.answered))
		e.dirty = true
	}
	w.noteClock(ev.Report.Clock, e.now)
	if first {
		// An earlier leader may have asked for the longest lease just before.
		w.leaseEnd = max(w.leaseEnd, ev.Report.Clock+e.cfg.MaxLease.Milliseconds())
	}
	w.looked = true
	for _, r := range w.sortedRuns() {
		if r.life != 0 && w.life != 0 && r.life != w.life {
			e.endRun(r, EndedLapsed, "", "worker restarted")
		}
	}
	e.applyEnds(w, ev.Report)
	e.applyRunning(w, ev)
	if first {
		e.dirty = true
		w.lookNext = e.now
		e.log.Info("worker looked at", "worker", w.id, "life", w.life, "running", len(ev.Report.Running), "ended", len(ev.Report.Ended))
		return
	}
	w.lookNext = e.now
	switch {
	case w.strays > 0:
		w.lookNext = e.now.Add(strayLook) // the worker is closed until they are gone
	case len(w.runs) == 0:
		w.lookNext = e.now.Add(e.cfg.IdleLook)
	}
}

func (e *Engine) lookFailed(w *worker, ev *Looked) {
	w.silent++
	w.lookNext = e.now.Add(e.cfg.LookRetry)
	if w.silent == 1 {
		w.lookNext = e.now // the answer may have been lost, and ends with it
		e.log.Warn("worker does not answer", "worker", w.id, "life", w.life, "runs", len(w.runs), "last_answer_ms", e.age(w.answered))
	}
	if ev.OtherLife && ev.Life == w.life && w.life != 0 {
		// The entry in the directory is older than the worker's restart; its next
		// report tells the new life.
		w.life = 0
		for _, r := range w.sortedRuns() {
			e.endRun(r, EndedLapsed, "", "worker restarted")
		}
		w.looked = false
	}
}
