package engine

import (
	"slices"
	"time"
)

// crash is the supposed end of a worker's process, which began to refuse connections. Whether it
// had a common cause with that of other workers, such as the loss of a rack, is investigated at
// once; tasks are blamed for it when the end is certain. Until both are known the crash counts as
// doubtful for the tasks that may have caused it, and they are not started again.
type crash struct {
	worker      *worker
	upSince     time.Time // when the last answered call before the crash was sent; the worker was up then or later
	at          time.Time // when the worker first refused a connection
	tasks       []*task   // blamed while the investigation was open
	oneJob      bool      // the tasks are of one job
	rackMates   []rackMate
	closed      bool // the investigation has ended
	shared      bool // its outcome: the crash had a common cause with others
	hazardNoted bool // see Engine.noteHazardsOnce
}

// rackMate is another worker of the rack of a crashed one, as it was when that crashed.
type rackMate struct {
	*worker
	incarnation int64
	reported    bool // it had answered in this incarnation, so it was up
}

const (
	// sharedCrashWindow is the time within which the crashes of minSharedCrashes workers or
	// more have a common cause outside of their tasks.
	sharedCrashWindow = 150 * time.Millisecond
	minSharedCrashes  = 3
	// blameTimeout is how long the other workers of the rack may take to answer after a
	// crash. If none does, the crash remains doubtful.
	blameTimeout = time.Second
)

// investigate begins to find out whether the end of w, which has begun to refuse connections, had a
// common cause with others. Workers of the same rack are asked for an answer at once.
func (e *Engine) investigate(w *worker) {
	c := &crash{worker: w, upSince: w.aliveAt, at: w.refusingSince}
	for _, mate := range e.workerList {
		if mate == w || mate.rack == "" || mate.rack != w.rack || !mate.listed || mate.draining {
			continue
		}
		if !mate.refusingSince.IsZero() && mate.refusingSince.Before(c.upSince) {
			continue // it ended before
		}
		c.rackMates = append(c.rackMates, rackMate{worker: mate, incarnation: mate.incarnation, reported: mate.reported})
		if len(w.runs) > 0 && mate.answeredSentAt.Before(c.at) {
			mate.renewWithoutWait, mate.nextRenewal = true, e.now
		}
	}
	w.crash = c
	e.openCrashes = append(e.openCrashes, c)
}

// closeInvestigations ends the investigations whose outcome is known.
func (e *Engine) closeInvestigations() {
	if len(e.openCrashes) == 0 {
		return
	}
	open := e.openCrashes
	e.openCrashes = nil
	for _, c := range open {
		if c.worker.crash != c && len(c.tasks) == 0 {
			continue // it refuses no longer, and nothing is blamed
		}
		if age := e.now.Sub(c.at); age < sharedCrashWindow || age < blameTimeout && (!c.rackSurvived() && c.awaitsRackMate() || e.blameDepends(c)) {
			e.openCrashes = append(e.openCrashes, c)
			continue
		}
		e.closeInvestigation(c, e.endedTogether(c) >= minSharedCrashes || !c.rackSurvived())
	}
}

// closeInvestigation ends the investigation of c with the given outcome.
func (e *Engine) closeInvestigation(c *crash, shared bool) {
	c.closed, c.shared = true, shared
	e.log.Info("crash investigated", "worker", c.worker.id, "tasks", len(c.tasks), "one_job", c.oneJob, "shared", shared, "rack_mates", len(c.rackMates), "after_ms", e.msSince(c.at))
	if !shared && c.worker.crash == c {
		e.noteHazardsOnce(c, likelyCauses(ranAtCrash(c.worker.runs, true)))
	}
	e.needsPlacement = true
	for _, t := range c.tasks {
		t.investigations--
		e.countCaused(c, t)
	}
	e.giveUp(slices.DeleteFunc(c.tasks, func(t *task) bool { return !t.exceedsCrashes() }))
}

// noteHazardsOnce records c as a hazard of the queues of the runs that may explain it, unless that
// was done.
func (e *Engine) noteHazardsOnce(c *crash, causes []*run) {
	if !c.hazardNoted {
		c.hazardNoted = true
		e.noteHazards(causes)
	}
}

// cutPeriod is a time in which a worker refused connections although its process had not ended, most
// likely as it was cut off.
type cutPeriod struct{ from, to time.Time }

// refusalDisproved records that w refused connections although its process had not ended.
func (e *Engine) refusalDisproved(w *worker) {
	e.log.Info("worker refused connections without a restart", "worker", w.id, "life", w.incarnation, "refused_ms", e.msSince(w.refusingSince))
	e.cutPeriods = slices.DeleteFunc(e.cutPeriods, func(p cutPeriod) bool { return e.now.Sub(p.to) > crashMemory })
	e.cutPeriods = append(e.cutPeriods, cutPeriod{w.refusingSince, e.now})
}

// amidCut reports whether other workers were cut off when that of c began to refuse connections, so
// that it may have been, too.
func (e *Engine) amidCut(c *crash) bool {
	return slices.ContainsFunc(e.cutPeriods, func(p cutPeriod) bool {
		return c.at.After(p.from.Add(-maxCrashOnset)) && c.at.Before(p.to)
	})
}

// blame counts c, which is certain, as caused by t once it is known that it had no common cause
// with others. oneJob says that no other job can have caused it.
func (e *Engine) blame(c *crash, t *task, oneJob bool) {
	c.oneJob = oneJob
	reopens := c.closed && e.now.Sub(c.at) < blameTimeout && e.awaitsOther(c)
	if c.closed && !reopens {
		e.countCaused(c, t)
		return
	}
	if reopens {
		c.closed = false
		e.openCrashes = append(e.openCrashes, c)
	}
	c.tasks = append(c.tasks, t)
	t.investigations++
}

// blameDepends reports whether tasks are to be blamed for c and it may yet turn out that its worker was
// cut off.
func (e *Engine) blameDepends(c *crash) bool { return len(c.tasks) > 0 && e.awaitsOther(c) }

// awaitsOther reports whether another worker began to refuse connections at the same time as that of c and
// still does. If it answers again without a restart, it was cut off, and the worker of c most likely, too.
func (e *Engine) awaitsOther(c *crash) bool {
	return slices.ContainsFunc(e.workerList, func(w *worker) bool {
		return w != c.worker && w.listed && !w.refusingSince.IsZero() && w.refusingSince.Sub(c.at).Abs() <= sharedCrashWindow
	})
}

// countCaused turns a doubtful crash of t into one that t has caused, unless c is shared or the
// worker may have been cut off first.
func (e *Engine) countCaused(c *crash, t *task) {
	if c.shared || e.amidCut(c) || t.done || t.step.job().state.Final() {
		return
	}
	t.crashes.Doubtful = max(0, t.crashes.Doubtful-1)
	t.crashes.Caused++
	t.onlyCause = c.oneJob
	e.markDirty(t)
}

// endedTogether returns how many workers ended at the same time as that of c, without those
// whose end a risky start explains. A worker that fell silent then and still is counts too: its link may
// lose the refusal that would tell.
func (e *Engine) endedTogether(c *crash) int {
	count := 1
	for _, other := range e.crashOnsets {
		if other.worker != c.worker && !other.exposed && other.at.Sub(c.at).Abs() <= sharedCrashWindow {
			count++
		}
	}
	for _, other := range e.workerList {
		if other != c.worker && other.listed && other.exposed == 0 && other.silentAlone() && other.silentSince.Sub(c.at).Abs() <= sharedCrashWindow {
			count++
		}
	}
	return count
}

// silentAlone reports whether w does not answer and has not refused a connection either.
func (w *worker) silentAlone() bool { return !w.silentSince.IsZero() && w.refusingSince.IsZero() }

// rackSurvived reports whether the rack certainly did not fail: another worker of it that was up has
// answered, without a restart, a renewal that was sent after the crash, or there was none.
func (c *crash) rackSurvived() bool {
	survived := func(m rackMate) bool {
		return m.reported && m.worker.incarnation == m.incarnation && m.answeredSentAt.After(c.at)
	}
	return len(c.rackMates) == 0 || slices.ContainsFunc(c.rackMates, survived)
}

// awaitsRackMate reports whether another worker of the rack may still answer.
func (c *crash) awaitsRackMate() bool {
	return slices.ContainsFunc(c.rackMates, func(m rackMate) bool { return m.reported && m.listed && m.refusingSince.IsZero() })
}
