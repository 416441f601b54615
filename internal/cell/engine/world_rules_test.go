package engine

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// taskRules checks the rules on the runs of one task over its whole history.
type taskRules struct {
	w     *world
	tasks map[string]*taskHistory
}

// taskHistory is what the workers did for a task.
type taskHistory struct {
	starts     int
	ends       map[string]*taskEnd // by worker, incarnation and number
	failed     int
	failedRuns []int // numbers of the runs that failed

	crashes          int // workers that crashed while they ran the task
	crashesAlone     int // those that crashed without others of their rack
	startsSinceThird int // starts since the third of them

	lostUntil time.Time // until when nothing proves that the run on the last of them has ended
	openUntil time.Time // until when a start command without an answer may be carried out
}

// taskEnd is a run of a task that ended done or failed.
type taskEnd struct {
	reason         EndReason
	run            int
	starts         int // starts of the task before this end
	acknowledged   bool
	acknowledgedAt time.Time
}

func (c *taskRules) history(task string) *taskHistory {
	h := c.tasks[task]
	if h == nil {
		h = &taskHistory{ends: make(map[string]*taskEnd)}
		c.tasks[task] = h
	}
	return h
}

// started records a start and checks that the command names a checkpoint of the task.
func (c *taskRules) started(r *simRun, a *Start, sent time.Time) {
	h := c.history(a.Task)
	h.starts++
	c.checkCrashes(a.Task, h)
	c.resume(r, a)
	c.check(a.Task, h)
	if c.w.stepOf(a.Task).Speculative {
		c.checkSpeculative(a.Task, h, sent)
	}
}

// resume has a run go on from the checkpoint in its start command, which must be one of
// its task, or of its gang and the same for all members.
func (c *taskRules) resume(r *simRun, a *Start) {
	if r.gang != nil {
		if len(r.gang.members) > 1 && r.gang.checkpoint != a.Checkpoint {
			c.w.t.Errorf("%v: %s run %d got the checkpoint %q, another member %q", c.w.now.Sub(c.w.startTime), a.Task, a.Run, a.Checkpoint, r.gang.checkpoint)
		}
		r.gang.checkpoint = a.Checkpoint
	}
	if a.Checkpoint == "" {
		return
	}
	owner, ms, _ := strings.Cut(a.Checkpoint, "@")
	saved, err := strconv.Atoi(ms)
	c.w.must(err)
	if owner != c.w.checkpointOwner(a.Task) {
		c.w.t.Errorf("%s run %d got the checkpoint %s", a.Task, a.Run, a.Checkpoint)
	}
	r.resumedFrom, r.saved = a.Checkpoint, time.Duration(saved)*time.Millisecond
	r.runtime = max(simTick, r.runtime-r.saved) + c.w.restoreTime
}

// checkpointOwner returns the name of those that may resume from a checkpoint of a task:
// the task, or the step of a gang.
func (w *world) checkpointOwner(task string) string {
	if w.stepOf(task).Gang {
		return task[:strings.LastIndexByte(task, '.')]
	}
	return task
}

// checkSpeculative checks that no start of a task with speculative runs was sent over a
// second after a success, or the last allowed failure, was acknowledged.
func (c *taskRules) checkSpeculative(task string, h *taskHistory, sent time.Time) {
	failures := 0
	for _, key := range sortedKeys(h.ends) {
		end := h.ends[key]
		if !end.acknowledged || sent.Sub(end.acknowledgedAt) <= time.Second {
			continue
		}
		if end.reason == EndedFailed {
			failures++
		}
		if end.reason == EndedDone || failures >= c.attempts(task) {
			c.w.t.Errorf("%v: %s, which may run twice, was started after its last end %s was acknowledged", c.w.now.Sub(c.w.startTime), task, key)
		}
	}
}

// ended records the end of a run.
func (c *taskRules) ended(s *simWorker, end *RunEnd, reason EndReason) {
	if reason != EndedDone && reason != EndedFailed {
		return
	}
	h := c.history(end.Task)
	h.ends[endKey(s, end.Number)] = &taskEnd{reason: reason, run: end.Run, starts: h.starts}
	if reason == EndedFailed {
		h.failed++
		h.failedRuns = append(h.failedRuns, end.Run)
	}
}

func endKey(s *simWorker, number int64) string {
	return fmt.Sprintf("%s/%d/%d", s.id, s.incarnation, number)
}

// acknowledged records that an end is stored, and checks what it forbids.
func (c *taskRules) acknowledged(s *simWorker, end RunEnd) {
	h := c.history(end.Task)
	known := h.ends[endKey(s, end.Number)]
	if known == nil || known.acknowledged {
		return
	}
	known.acknowledged, known.acknowledgedAt = true, c.w.now
	c.check(end.Task, h)
}

// check checks that no run started after an acknowledged success, or after as many
// acknowledged failures as the queue declares attempts, whenever the acknowledgement came.
func (c *taskRules) check(task string, h *taskHistory) {
	step := c.w.stepOf(task)
	if step.Speculative || step.LongRunning {
		return
	}
	attempts, failures, startsAtLast := c.attempts(task), 0, 0
	for _, key := range sortedKeys(h.ends) {
		end := h.ends[key]
		switch {
		case !end.acknowledged:
		case end.reason == EndedDone && h.starts > end.starts:
			c.w.t.Errorf("%v: %s was started again after its success on %s, which is acknowledged", c.w.now.Sub(c.w.startTime), task, key)
		case end.reason == EndedFailed:
			failures++
			startsAtLast = max(startsAtLast, end.starts)
		}
	}
	if failures >= attempts && h.starts > startsAtLast {
		c.w.t.Errorf("%v: %s was started after %d acknowledged failures", c.w.now.Sub(c.w.startTime), task, failures)
	}
}

func (c *taskRules) attempts(task string) int {
	return c.w.policy.Queue(c.w.specs[strings.SplitN(task, ".", 2)[0]].Queue).Attempts
}

// checkShown checks the state that the engine shows of a job against its tasks.
func (c *taskRules) checkShown(id string) {
	spec := c.w.specs[id]
	switch c.w.state(id) {
	case StateCompleted:
		for i := range spec.Steps {
			if done := c.done(id, i); done < spec.Steps[i].Count {
				c.w.t.Errorf("%v: %s is shown as completed, but only %d tasks of step %d are done", c.w.now.Sub(c.w.startTime), id, done, i)
			}
		}
	case StateFailed:
		if !c.failedForCause(id) {
			c.w.t.Errorf("%v: %s is shown as failed, but no task has used up its attempts", c.w.now.Sub(c.w.startTime), id)
		}
	case StateCanceled:
		if !c.w.cancelRequested[id] {
			c.w.t.Errorf("%v: %s is shown as canceled, but nobody canceled it", c.w.now.Sub(c.w.startTime), id)
		}
	}
}

// done returns the number of tasks of a step that are done. One member of a gang stands
// for all.
func (c *taskRules) done(id string, step int) int {
	spec := &c.w.specs[id].Steps[step]
	done := 0
	for i := range spec.Count {
		if c.w.succeeded(taskName(id, step, i)) {
			done++
		}
	}
	if spec.Gang && done > 0 {
		return spec.Count
	}
	return done
}

// failedForCause reports whether two workers have crashed under a task of a job, not with others
// of their rack, or a task has failed as often as its queue
// declares attempts. A run of a gang counts once, however many members it failed for.
func (c *taskRules) failedForCause(id string) bool {
	for step := range c.w.specs[id].Steps {
		spec, failedRuns := &c.w.specs[id].Steps[step], make(map[int]bool)
		for i := range spec.Count {
			h := c.history(taskName(id, step, i))
			for _, number := range h.failedRuns {
				failedRuns[number] = true
			}
			if h.failed >= c.attempts(id) || spec.Gang && len(failedRuns) >= c.attempts(id) {
				return true
			}
			if c.history(taskName(id, step, i)).crashesAlone >= 2 {
				return true
			}
		}
	}
	return false
}

// fitsOnGoodWorkers reports whether each step of a job fits now on the workers that the adviser finds good
// for it, if its queue has one: one task, or the whole gang.
func (c *taskRules) fitsOnGoodWorkers(id string) bool {
	if c.w.policy.Queue(c.w.specs[id].Queue).Advice == nil {
		return true
	}
	for i := range c.w.specs[id].Steps {
		step := &c.w.specs[id].Steps[i]
		ref, fit := job.StepRef{Job: id, Step: i}.String(), int64(0)
		for _, worker := range c.w.ids {
			s := c.w.workers[worker]
			free := s.capacity.CPU
			for _, r := range s.runs {
				free -= r.need.CPU
			}
			if usuallyGood(ref, worker) {
				fit += max(0, free/step.Need.CPU)
			}
		}
		if fit == 0 || step.Gang && fit < int64(step.Count) {
			return false
		}
	}
	return true
}

// idleForNoReason reports whether a job has nothing running although its team uses under
// half of its limit, under half of the workers' CPU is in use, and there is room for the job
// twice over.
func (c *taskRules) idleForNoReason(id string) bool {
	if c.awaitsProof(id) || !c.fitsOnGoodWorkers(id) || c.w.labelsOf != nil && !c.fitsTwice(id) {
		return false
	}
	used, ofTeam, capacity := int64(0), int64(0), int64(0)
	team := c.w.specs[id].Team
	for _, worker := range c.w.ids {
		s := c.w.workers[worker]
		if !c.w.evacuated(worker) {
			capacity += s.capacity.CPU
		}
		for _, r := range s.runs {
			other, _, _ := strings.Cut(r.task, ".")
			if other == id {
				return false
			}
			used += r.need.CPU
			if c.w.specs[other].Team == team {
				ofTeam += r.need.CPU
			}
		}
	}
	ofTeam += c.awaitedCPU(team)
	limit := c.w.policy.Team(team).Limit.CPU
	need := c.room(id)
	return used+2*need < capacity/2 && (limit == 0 || ofTeam < limit/2 && ofTeam+2*need <= limit)
}

// awaitedCPU returns the CPU that tasks of a team had on workers that have crashed, or may get by a start
// command that is under way, while nothing proves to the engine that they use it no more. It has to count
// them toward the limit of the team.
func (c *taskRules) awaitedCPU(team string) int64 {
	total := int64(0)
	for name, h := range c.tasks {
		if !h.awaitsProof(c.w.now) || c.w.specs[strings.SplitN(name, ".", 2)[0]].Team != team || c.w.succeeded(name) {
			continue
		}
		if t := c.w.tasks[name]; t == nil || len(t.runs) == 0 {
			total += c.w.stepOf(name).Need.CPU
		}
	}
	return total
}

// room returns the CPU that a job needs to have one of its steps at work, whichever it is.
func (c *taskRules) room(id string) int64 {
	most := int64(0)
	for i := range c.w.specs[id].Steps {
		step, count := &c.w.specs[id].Steps[i], 1
		if step.Gang {
			count = step.Count
		}
		most = max(most, step.Need.Times(count).CPU)
	}
	return most
}

func taskName(id string, step, index int) string {
	return job.TaskRef{StepRef: job.StepRef{Job: id, Step: step}, Index: index}.String()
}
