package engine

import (
	"slices"
	"time"
)

// crash is the end of a worker's process while it is not known yet whether it had a common
// cause with that of other workers, such as the loss of a rack. Until then the crash counts as
// doubtful for the tasks that may have caused it, and they are not started again.
type crash struct {
	worker     *worker
	lastAnswer time.Time // the last one before the crash
	at         time.Time // when the worker first refused a connection
	tasks      []*task
	oneJob     bool      // the tasks are of one job
	rackMates  []*worker // workers of the same rack that were there
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

// investigate begins to find out whether a crash had a common cause with others. Workers of the
// same rack are asked for an answer at once.
func (e *Engine) investigate(c *crash) {
	if len(c.tasks) == 0 {
		return
	}
	for _, w := range e.workerList {
		if w == c.worker || w.rack == "" || w.rack != c.worker.rack || !w.listed || w.draining {
			continue
		}
		if !w.refusingSince.IsZero() && w.refusingSince.Before(c.lastAnswer) {
			continue // it ended before
		}
		c.rackMates = append(c.rackMates, w)
		if w.answeredSentAt.Before(c.at) {
			w.renewWithoutWait, w.nextRenewal = true, e.now
		}
	}
	for _, t := range c.tasks {
		t.investigations++
	}
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
		if age := e.now.Sub(c.at); age < sharedCrashWindow || age < blameTimeout && !c.rackSurvived() && c.awaitsRackMate() {
			e.openCrashes = append(e.openCrashes, c)
			continue
		}
		e.closeInvestigation(c, e.endedTogether(c) >= minSharedCrashes || !c.rackSurvived())
	}
}

// closeInvestigation counts c for its tasks, as caused by one of them unless it is shared.
func (e *Engine) closeInvestigation(c *crash, shared bool) {
	e.needsPlacement = true
	for _, t := range c.tasks {
		t.investigations--
		if shared || t.done || t.step.job().state.Final() {
			continue
		}
		t.crashes.Doubtful = max(0, t.crashes.Doubtful-1)
		t.crashes.Caused++
		t.onlyCause = c.oneJob
		e.markDirty(t.step)
	}
	e.log.Info("crash investigated", "worker", c.worker.id, "tasks", len(c.tasks), "one_job", c.oneJob, "shared", shared, "rack_mates", len(c.rackMates), "after_ms", e.msSince(c.at))
	e.giveUp(slices.DeleteFunc(c.tasks, func(t *task) bool { return !t.exceedsCrashes() }))
}

// endedTogether returns how many workers ended at the same time as that of c, without those
// whose end a risky start explains.
func (e *Engine) endedTogether(c *crash) int {
	count := 1
	for _, other := range e.crashOnsets {
		if other.worker != c.worker && !other.exposed && other.at.Sub(c.at).Abs() <= sharedCrashWindow {
			count++
		}
	}
	return count
}

// rackSurvived reports whether the rack certainly did not fail: another worker of it, which
// has not restarted, has answered a renewal that was sent after the crash, or there was none.
func (c *crash) rackSurvived() bool {
	answered := func(w *worker) bool {
		return w.answeredSentAt.After(c.at) && !w.incarnationSince.After(c.lastAnswer)
	}
	return len(c.rackMates) == 0 || slices.ContainsFunc(c.rackMates, answered)
}

// awaitsRackMate reports whether another worker of the rack may still answer.
func (c *crash) awaitsRackMate() bool {
	return slices.ContainsFunc(c.rackMates, func(w *worker) bool { return w.listed && w.refusingSince.IsZero() })
}
