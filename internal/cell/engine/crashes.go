package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/record"
)

// A task may crash each worker that starts it. The end of a run with its worker is no
// failed attempt, so such crashes are counted by task, by what is known of their cause, and
// the job is given up before the task takes down worker after worker.

const (
	// survivalTime is how long a worker has to work on after the start of a run until the
	// start counts as harmless.
	survivalTime = 150 * time.Millisecond
	// maxCrashOnset is the maximum time from the first sign of silence of a worker to the
	// first refused connection within which its process ended by itself. A worker that was
	// silent for longer may have been cut off or frozen first.
	maxCrashOnset = time.Second
	// crashMemory is how long the engine remembers when workers crashed. It is longer than
	// a lease, after which a crash is counted at the latest.
	crashMemory = 30 * time.Second
	// maxCausedCrashes is the number of crashes caused by a task at which its job is given
	// up, and maxCrashes that of all crashes right after its start, whatever their cause.
	maxCausedCrashes = 2
	maxCrashes       = 4
	// lateCrashesToSuspect is the number of crashes long after its start from which a task
	// is suspected of them.
	lateCrashesToSuspect = 2
)

// crashOnset is the moment at which a worker first refused a connection.
type crashOnset struct {
	worker  *worker
	at      time.Time
	exposed bool // a risky start may explain it
}

// connectionRefused records that w refuses connections. Its process may have ended, or a firewall, a
// proxy or a cut answers in its place while its runs go on, so no run ends for it.
func (e *Engine) connectionRefused(w *worker) {
	if !w.refusingSince.IsZero() {
		return
	}
	w.refusingSince = e.now
	e.crashOnsets = slices.DeleteFunc(e.crashOnsets, func(c crashOnset) bool { return e.now.Sub(c.at) > crashMemory })
	e.crashOnsets = append(e.crashOnsets, crashOnset{worker: w, at: e.now, exposed: w.exposed > 0})
	e.log.Warn("worker refuses connections", "worker", w.id, "life", w.incarnation, "runs", len(w.runs), "last_answer_ms", e.msSince(w.lastAnswer), "last_start_ms", e.msSince(w.lastStart()))
	e.investigate(w)
}

// lastStart returns when the newest run on w was started, or zero.
func (w *worker) lastStart() time.Time {
	var last time.Time
	for _, r := range w.runs {
		if r.startSentAt.After(last) {
			last = r.startSentAt
		}
	}
	return last
}

// runSeen records that the worker of r has it at the given time on the worker's clock, in ms.
func (e *Engine) runSeen(r *run, clock int64) {
	switch {
	case clock <= 0:
	case r.startedClock == 0:
		r.startedClock = clock
	case clock-r.startedClock >= survivalTime.Milliseconds():
		e.outlivedStart(r.task)
	}
}

// runProgressed records the progress of r, in percent. A run that has worked for a while was
// started by a worker that worked on, as far as a leader that has not seen the start can tell: the
// estimate may be far off.
func (e *Engine) runProgressed(r *run, percent int) {
	if r.inherited() && time.Duration(percent)*r.task.step.spec.Estimate/100 >= survivalTime {
		e.outlivedStart(r.task)
	}
}

// outlivedStart records that a worker has worked on after it had started t.
func (e *Engine) outlivedStart(t *task) {
	t.harmless = true
	if t.crashes.Late < lateCrashesToSuspect {
		for _, r := range t.runs {
			if r.crashRisk > 0 {
				r.endExposure()
				e.hazardOf(t.step.job().queue).survived++
				e.needsPlacement = true
			}
		}
	}
	if t.crashes.Caused == 0 && t.crashes.Doubtful == 0 {
		return
	}
	if t.crashes.Late >= lateCrashesToSuspect {
		return // it is suspected of crashes after it had run for a while
	}
	e.log.Info("task no longer suspected", "job", t.step.job().id, "task", t.name, "caused", t.crashes.Caused, "doubtful", t.crashes.Doubtful)
	t.crashes.Caused, t.crashes.Doubtful = 0, 0
	e.markDirty(t)
}

// endWasSeen reports whether the process of w, which has certainly ended, most likely did so by
// itself when it began to refuse connections.
func (w *worker) endWasSeen() bool {
	switch {
	case w.refusingSince.IsZero() || w.lastAnswer.IsZero() || w.draining:
		return false
	case w.silentSince.IsZero():
		return true
	}
	return w.refusingSince.Sub(w.silentSince) <= maxCrashOnset
}

// mayHaveRun reports whether r was on its worker when that crashed. Unless the process is
// known to have ended, only an answer of the worker tells that it had started r.
func (r *run) mayHaveRun(ended bool) bool {
	since := r.worker.refusingSince
	switch {
	case r.task.crashes.Run >= r.number || !r.startSent || !since.IsZero() && !r.startSentAt.Before(since):
		return false
	case ended:
		return true
	}
	return r.restored || r.startedClock > 0
}

// ranAtCrash returns those of runs that were on their worker when that crashed. See run.mayHaveRun.
func ranAtCrash(runs []*run, ended bool) []*run {
	return slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return !r.mayHaveRun(ended) })
}

// likelyCauses returns the runs among those on a crashed worker that are most likely its
// cause: the risky ones, else those that no worker is known to have outlived.
func likelyCauses(runs []*run) []*run {
	var risky, recent []*run
	for _, r := range runs {
		if r.crashRisk > 0 {
			risky = append(risky, r)
		}
		if !r.task.harmless {
			recent = append(recent, r)
		}
	}
	if len(risky) > 0 {
		return risky
	}
	return recent
}

// oneJob reports whether all runs are of the same job.
func oneJob(runs []*run) bool {
	for _, r := range runs {
		if r.task.step.job() != runs[0].task.step.job() {
			return false
		}
	}
	return true
}

// countCrash counts the crash of w for the tasks of runs, which ended with it. It returns
// those that have to be given up. The crash is confirmed if the process of w has certainly
// ended. Whether it had a common cause with others may be found out later.
func (e *Engine) countCrash(w *worker, runs []*run, confirmed bool) []*task {
	seen := confirmed && w.endWasSeen()
	runs = ranAtCrash(runs, seen)
	likely := likelyCauses(runs)
	if confirmed {
		e.count(WorkerEnded)
	}
	if seen {
		e.noteHazardsOnce(w.crash, likely)
	}
	var giveUp []*task
	for _, r := range runs {
		t, certain := r.task, seen && !r.restored && r.startedClock > 0
		c := &t.crashes
		switch {
		case t.done || t.step.job().state.Final():
			continue
		case t.harmless && (!certain || len(likely) > 0 && !slices.Contains(likely, r)):
			continue
		case t.harmless && t.step.spec.LongRunning:
			continue // it has to last through crashes with other causes
		case t.harmless && c.Late < lateCrashesToSuspect:
			c.Late++
		default:
			c.Doubtful++
			if certain && slices.Contains(likely, r) {
				e.blame(w.crash, t, oneJob(likely))
			}
		}
		c.Run = r.number // a crash is counted once for each run, also if it moves to the next incarnation
		e.markDirty(t)
		if t.suspect() {
			t.step.suspected = true
			e.count(TaskSuspected)
			e.log.Warn("task suspected of crashing its worker", "job", t.step.job().id, "task", t.name, "run", r.number, "worker", w.id, "life", r.incarnation,
				"runs_beside", len(runs)-1, "caused", c.Caused, "doubtful", c.Doubtful, "late", c.Late, "certain", certain,
				"refusing_ms", e.msSince(w.refusingSince), "silent_ms", e.msSince(w.silentSince), "started_ms", e.msSince(r.startSentAt))
		}
		if t.exceedsCrashes() {
			giveUp = append(giveUp, t)
		}
	}
	return giveUp
}

// suspect reports whether t may crash the worker that starts it.
func (t *task) suspect() bool {
	return t.crashes.Caused > 0 || t.crashes.Doubtful > 0 || t.crashes.Late >= lateCrashesToSuspect
}

// exceedsCrashes reports whether t must not be started again.
func (t *task) exceedsCrashes() bool {
	return t.crashes.Caused >= maxCausedCrashes || t.crashes.Caused+t.crashes.Doubtful >= maxCrashes
}

// giveUp fails the jobs of tasks that crash their workers.
func (e *Engine) giveUp(tasks []*task) {
	for _, t := range tasks {
		j := t.step.job()
		if t.done || j.state.Final() {
			continue
		}
		e.log.Warn("job failed", "job", j.id, "task", t.name, "reason", "its task crashes workers", "caused", t.crashes.Caused, "doubtful", t.crashes.Doubtful, "late", t.crashes.Late)
		e.count(JobGivenUp)
		j.reason = "task " + t.name + " crashes the workers that start it"
		e.finishJob(j, record.Failed)
	}
}

func (e *Engine) count(event CrashEvent) {
	if e.cfg.CountCrash != nil {
		e.cfg.CountCrash(event)
	}
}
