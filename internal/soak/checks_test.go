package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// taskState is what the workers have seen of a task.
type taskState struct {
	on        []*worker // that run it
	ends      []*taskEnd
	lastStart time.Time
	lastRun   int    // that was started last
	lastFault string // of the last start
	events    []string
	crashes   int // of workers that run it
	// startsSinceThird is the number of starts after the third of them.
	startsSinceThird int
	reported         bool // whether a violation by its ends is recorded
}

// maxAttempts is the number of runs of a task that may fail, as the config says.
const maxAttempts = 3

func (f *fleet) task(name string) *taskState {
	t := f.tasks[name]
	if t == nil {
		t = &taskState{}
		f.tasks[name] = t
	}
	return t
}

func (t *taskState) leave(w *worker) {
	if i := slices.Index(t.on, w); i >= 0 {
		t.on = slices.Delete(t.on, i, i+1)
	}
}

// count returns the number of runs that ended in a way.
func (t *taskState) count(how string) int {
	n := 0
	for _, e := range t.ends {
		if e.how == how {
			n++
		}
	}
	return n
}

// note adds an event to the history of a task, which is shown with a violation.
func (f *fleet) note(task, format string, args ...any) {
	if task == "" {
		return // the call is a renewal
	}
	t := f.task(task)
	t.events = append(t.events, fmt.Sprintf("%8s ", f.elapsed())+fmt.Sprintf(format, args...))
}

func (f *fleet) elapsed() time.Duration { return time.Since(f.startedAt).Round(time.Millisecond) }

// recordViolation records that something that must hold did not, with the last events
// of the task unless it is "".
func (f *fleet) recordViolation(task, format string, args ...any) {
	f.violations = append(f.violations, f.violation(task, format, args...))
}

// violation returns the text of a violation, with the latest events of the task if one is given.
func (f *fleet) violation(task, format string, args ...any) string {
	v := fmt.Sprintf("%8s ", f.elapsed()) + fmt.Sprintf(format, args...)
	if task != "" {
		events := f.task(task).events
		v += "\n\t" + strings.Join(events[max(0, len(events)-16):], "\n\t")
	}
	return v
}

// jobOf returns the job of a task, or nil. A task id is the 16 digits of the job's id,
// then ".0.STEP.INDEX".
func (f *fleet) jobOf(task string) *submittedJob { return f.jobs[task[:16]] }

func (f *fleet) cpuOf(task string) int64 {
	if j := f.jobOf(task); j != nil {
		return j.cpu
	}
	return 0
}

// hopeless reports whether every run of a task fails.
func (f *fleet) hopeless(task string) bool {
	j := f.jobOf(task)
	return j != nil && j.hopeless && strings.HasSuffix(task, ".0.0.0")
}

// checkStart checks everything that must hold when a run starts on w.
func (f *fleet) checkStart(w *worker, req *workerRequest) {
	t := f.task(req.Task)
	for _, on := range slices.Clone(t.on) {
		f.endDueRuns(on)
	}
	for _, on := range t.on {
		f.recordViolation(req.Task, "task %s, run %d started on %s while the task runs on %s%s", req.Task, req.Run, w.name(), on.name(), f.fault)
	}
	t.lastStart, t.lastRun, t.lastFault = time.Now(), req.Run, f.fault
	f.checkCrashes(req.Task)
	f.checkEnds(req.Task)
	j := f.jobOf(req.Task)
	if j == nil {
		f.recordViolation(req.Task, "task %s started, but its job was never submitted", req.Task)
		return
	}
	if j.refused() {
		f.recordViolation(req.Task, "task %s started, but every submission of its job was refused", req.Task)
	}
	f.checkCanceled(j, req)
	var step, index int
	_, _ = fmt.Sscanf(req.Task[16:], ".0.%d.%d", &step, &index)
	if step > 0 {
		for i := range j.width {
			if before := j.task(0, i); !f.succeeded(before) {
				f.recordViolation(before, "task %s started before task %s of the previous step was done", req.Task, before)
			}
		}
	}
}

// checkEnds checks that the last start of a task did not follow its success or its last
// permitted failure. Ends count once they are acknowledged, also if that is later.
func (f *fleet) checkEnds(task string) {
	t := f.task(task)
	failed, done := 0, false
	for _, e := range t.ends {
		if e.acknowledged && e.at.Before(t.lastStart) {
			done = done || e.how == "done"
			if e.how == "failed" {
				failed++
			}
		}
	}
	if t.reported || !done && failed < maxAttempts {
		return
	}
	t.reported = true
	if done {
		f.recordViolation(task, "task %s, run %d started after the task's end, which is acknowledged%s", task, t.lastRun, t.lastFault)
	} else {
		f.recordViolation(task, "task %s, run %d started after %d acknowledged failures%s", task, t.lastRun, failed, t.lastFault)
	}
}

// checkState checks the state of a job that an instance has reported.
func (f *fleet) checkState(id, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	failed := false // whether a task or gang has used up its attempts, or two workers have crashed under it
	for step := range j.steps {
		for i := range j.width {
			task := j.task(step, i)
			failed = failed || f.usedUp(task) || f.task(task).crashes >= 2
			if state == "completed" && !f.succeeded(task) && !j.misreported {
				j.misreported = true
				f.recordViolation(task, "job %s is reported as completed, but task %s is not done", id, task)
			}
		}
	}
	if state == "failed" && !failed && !j.misreported {
		j.misreported = true
		f.recordViolation(j.task(0, 0), "LOST: job %s is reported as failed, but none of its tasks has failed %d times, nor has a gang", id, maxAttempts)
	}
	if state == "cancelled" && !j.cancelSent() && !j.misreported {
		j.misreported = true
		f.recordViolation(j.task(0, 0), "job %s is reported as cancelled, but nobody cancelled it", id)
	}
}
