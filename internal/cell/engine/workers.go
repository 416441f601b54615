package engine

import (
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
	lapseAt  time.Time // when all that it runs has certainly lapsed if it is not reached again
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
func (w *worker) noteClock(clock int64, sent, at time.Time) {
	if clock <= 0 {
		return
	}
	w.clock, w.clockAt = clock, at
	w.answered = at
	w.silent = 0
	w.updateLapse()
}

// updateLapse works out when the longest lease asked for has certainly ended.
func (w *worker) updateLapse() {
	left := time.Duration(float64(w.leaseEnd-w.clock)/(1-clockDrift)) * time.Millisecond
	w.lapseAt = w.clockAt.Add(max(0, left))
}

// lease returns the deadline to ask for.
func (w *worker) lease(length time.Duration, at time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	end := w.now(at) + length.Milliseconds()
	if end > w.leaseEnd {
		w.leaseEnd = end
		w.updateLapse()
	}
	return end
}

// free returns what is left for new tasks.
func (w *worker) free() job.Resources { return w.capacity.Sub(w.used).Sub(w.held) }

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.labels {
		if l == label {
			return true
		}
	}
	return false
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
	w.lapseAt = time.Time{}
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
	e.emit(&Look{Worker: w.id, Address: w.address, Life: w.life, Deadline: deadline, Cursor: w.cursor, Wait: wait})
}

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
	w.noteClock(ev.Report.Clock, ev.Sent, e.now)
	if first {
		// An earlier leader may have asked for the longest lease just before.
		w.leaseEnd = max(w.leaseEnd, ev.Report.Clock+e.cfg.MaxLease.Milliseconds())
		w.updateLapse()
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

// applyEnds takes in the ends that a worker lists.
func (e *Engine) applyEnds(w *worker, rep *Report) {
	last := w.seen
	fresh := false
	for i := range rep.Ended {
		end := &rep.Ended[i]
		if end.Number <= w.seen {
			continue
		}
		last = max(last, end.Number)
		fresh = true
		ref, err := job.ParseTask(end.Task)
		if err != nil {
			e.log.Warn("worker lists an unknown task", "worker", w.id, "task", end.Task, "reason", err.Error())
			continue
		}
		e.applyEnd(w, ref, end)
	}
	if !fresh {
		return
	}
	w.seen = last
	w.unstored++
	w.lookSoon = true
	life := w.life
	e.afterAppend(func() {
		w.unstored--
		if w.life == life {
			w.cursor = max(w.cursor, last)
			w.lookNext = e.now
		}
	})
}

func (e *Engine) applyEnd(w *worker, ref job.TaskRef, end *RunEnd) {
	t := e.task(ref)
	if t == nil {
		return
	}
	for _, r := range t.runs {
		if r.worker == w && r.number == end.Run {
			e.endRun(r, end.How, end.Checkpoint, "reported")
			return
		}
	}
	// The run is not known here: it was given up after its lease had lapsed, or its
	// record was never stored. A success is taken only if no other run is live.
	e.log.Info("end of an unknown run", "task", end.Task, "run", end.Run, "worker", w.id, "how", end.How.String())
	if end.Run > t.number {
		t.number = end.Run
		t.step.gangRun = max(t.step.gangRun, end.Run)
	}
	if end.How == EndedDone && !t.done && !t.live() {
		e.taskDone(t)
	}
}

// applyRunning compares what a worker runs with what it should run.
func (e *Engine) applyRunning(w *worker, ev *Looked) {
	present := make(map[string]*RunStatus, len(ev.Report.Running))
	w.strays = 0
	for i := range ev.Report.Running {
		s := &ev.Report.Running[i]
		present[s.Task] = s
		ref, err := job.ParseTask(s.Task)
		if err != nil {
			e.log.Warn("worker runs an unknown task", "worker", w.id, "task", s.Task, "reason", err.Error())
			continue
		}
		e.applyStatus(w, ref, s)
	}
	for _, r := range w.sortedRuns() {
		s := present[r.task.name]
		if s != nil && s.Run == r.number {
			continue
		}
		e.missing(w, r, ev)
	}
}

// applyStatus takes in one run that a worker reports as present.
func (e *Engine) applyStatus(w *worker, ref job.TaskRef, s *RunStatus) {
	t := e.task(ref)
	if t != nil {
		for _, r := range t.runs {
			if r.worker == w && r.number == s.Run {
				e.runSeen(r, s)
				return
			}
		}
	}
	e.stray(w, t, s)
}

// runSeen notes the progress of a run.
func (e *Engine) runSeen(r *run, s *RunStatus) {
	if r.phase == ordered || r.phase == doubtful || r.phase == planned && r.restored {
		r.phase = running
		r.task.step.job().begun = true
	}
	r.restored = false
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	if r.baseAt.IsZero() {
		r.base, r.baseAt = s.Percent, e.now
	}
	if s.Percent > r.percent || r.percentAt.IsZero() {
		r.percent, r.percentAt = s.Percent, e.now
	}
	if r.task.done && r.phase == running {
		e.stop(r, "the task is done")
	}
}

// stray deals with a run that nobody here knows: of an earlier leader whose
// record was not stored, or carried out late.
func (e *Engine) stray(w *worker, t *task, s *RunStatus) {
	w.strays++
	w.lookSoon = true
	key := s.Task
	if at, known := e.strays[key]; known && e.now.Sub(at) < e.cfg.StopRetry {
		return
	}
	e.strays[key] = e.now
	e.log.Warn("stopping a run that is not wanted", "task", s.Task, "run", s.Run, "worker", w.id, "task_known", t != nil)
	e.emit(&Stop{Worker: w.id, Address: w.address, Life: w.life, Task: s.Task, Run: s.Run})
}

// missing deals with a run that the worker neither runs nor lists as ended.
func (e *Engine) missing(w *worker, r *run, ev *Looked) {
	switch r.phase {
	case planned:
		if !r.restored {
			return
		}
		e.stop(r, "not seen after a change of leaders")
	case ordered:
		return // the order may still be under way; its answer decides
	case running:
		if ev.Sent.After(r.begun.Add(e.cfg.SettleStart)) {
			// Confirmed, absent and not listed as ended: the worker forgot it.
			e.stop(r, "gone from its worker")
		}
	case doubtful:
		e.stop(r, "in doubt")
	case stopping:
		if !r.stopped.IsZero() && ev.Sent.After(r.stopped) {
			e.endRun(r, EndedStopped, "", "absent after the stop")
		}
	}
}

// lapsed ends the runs on workers that were not reached until every lease there
// had run out.
func (e *Engine) lapsed() {
	for _, w := range e.order {
		if len(w.runs) == 0 {
			continue
		}
		end := w.lapseAt
		if !w.looked {
			end = e.started.Add(e.cfg.MaxLease + time.Duration(float64(e.cfg.MaxLease)*2*clockDrift))
		}
		if e.now.Before(end.Add(e.cfg.LapseMargin)) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if !r.sent {
				continue
			}
			e.endRun(r, EndedLapsed, "", "lease lapsed without contact")
		}
	}
}
