package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelBound is cancel_ms: how long after the acknowledgement of a cancellation commands may
	// still start tasks.
	cancelBound = 3 * time.Second
	// visibleBound is visible_ms: how long after the acceptance of a job a state may be missing.
	visibleBound = 3 * time.Second
	// statusBound is status_s: how long after its end a job must be known.
	statusBound = 120 * time.Second
	// stableBound is stableWindowMs: how long after a late start its run may be unknown.
	stableBound = 3 * time.Second
	// watchSlack covers the time between two looks at the runs, and the time of the signals on a
	// busy machine.
	watchSlack = 300 * time.Millisecond
)

func (j *submittedJob) cancelSent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.canceledAt.IsZero()
}

// lengthOf returns the length of the runs of a task.
func (f *fleet) lengthOf(task string) time.Duration {
	if j := f.jobOf(task); j != nil {
		return j.length
	}
	return taskTime
}

// noteJob adds an event to the histories of all tasks of a job.
func (f *fleet) noteJob(j *submittedJob, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for step := range j.steps {
		for i := range j.width {
			f.note(j.task(step, i), format, args...)
		}
	}
}

// checkCancelAnswer checks that the answer to a cancellation is not that there is no such job if it was
// sent after the acceptance of the job.
func (f *fleet) checkCancelAnswer(in *instance, j *submittedJob, status int, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[fmt.Sprint(status)]++
	j.mu.Lock()
	accepted := j.acceptedAt
	j.mu.Unlock()
	if status == http.StatusGone && !accepted.IsZero() && accepted.Before(sentAt) {
		f.cancels["410 for an accepted job"]++
		f.recordViolation(j.task(0, 0), "%s answers a cancellation with 410, sent %v after the acceptance of job %s", in.name, sentAt.Sub(accepted).Round(time.Millisecond), j.id)
	}
}

// checkStateAfterCancel checks that a job is not shown as open if it was asked for after the
// acknowledgement of its cancellation.
func (f *fleet) checkStateAfterCancel(in *instance, id, state string, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	j.mu.Lock()
	acked := j.ackedAt
	j.mu.Unlock()
	if acked.IsZero() || sentAt.Before(acked) {
		return
	}
	f.cancels["shown as "+state]++
	if (state == "queued" || state == "running") && !j.misreported {
		j.misreported = true
		f.recordViolation(j.task(0, 0), "%s shows job %s as %s, asked %v after the acknowledgement of its cancellation", in.name, id, state, sentAt.Sub(acked).Round(time.Millisecond))
	}
}

// isCanceled reports whether a state is the end of a job by a cancellation. A job whose cancellation
// came before its submission may be unknown.
func (f *fleet) isCanceled(id, state string) bool {
	f.mu.Lock()
	j := f.jobs[id]
	f.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	return state == "cancelled" && !j.canceledAt.IsZero() || state == stateGone && !j.ackedAt.IsZero()
}

// checkCanceled checks that no command that reaches a worker later than cancelBound after the
// acknowledgement of a cancellation starts a task, and none at all if the whole submission was sent
// only after it. Calls that the worker held back count from when they were received.
func (f *fleet) checkCanceled(j *submittedJob, req *workerRequest) {
	j.mu.Lock()
	acked, posted := j.ackedAt, j.posted
	j.mu.Unlock()
	if acked.IsZero() || req.receivedAt.Before(acked) {
		return
	}
	after := req.receivedAt.Sub(acked).Round(time.Millisecond)
	f.cancels["started after the acknowledgement"]++
	switch {
	case posted.After(acked):
		f.cancels["started, submitted only after the acknowledgement"]++
		f.recordViolation(req.Task, "task %s, run %d started %v after the acknowledgement of the cancellation of its job, which was submitted only then%s", req.Task, req.Run, after, f.fault)
	case after > cancelBound:
		f.cancels["started after the bound"]++
		f.recordViolation(req.Task, "task %s, run %d started %v after the acknowledgement of the cancellation of its job%s", req.Task, req.Run, after, f.fault)
	}
}

// watchCanceled checks the runs until the clients stop, and for completionTimeout after that.
func (f *fleet) watchCanceled(stop chan struct{}) {
	var end time.Time
	for end.IsZero() || time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		select {
		case <-stop:
			if end.IsZero() {
				end = time.Now().Add(completionTimeout)
			}
		default:
		}
		f.checkRuns()
	}
}

// checkRuns checks that no run goes on longer than cancelBound and maxStop after the acknowledgement
// of the cancellation of its job. Faults of its worker and late starts are impairments: the time
// counts from their end.
func (f *fleet) checkRuns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.down || w.cut || w.dark != "" || w.hanging || w.faults != (callFaults{}) {
			continue
		}
		for task, r := range w.runs {
			j := f.jobOf(task)
			if j == nil {
				continue // checkStart has recorded the violation
			}
			j.mu.Lock()
			since, reported := j.ackedAt, j.runsOn
			j.mu.Unlock()
			if end, _ := w.endOf(r); since.IsZero() || reported || end <= w.clock() {
				continue
			}
			acked := since
			if w.troubledAt.After(since) {
				since = w.troubledAt
			}
			if started := w.timeAt(r.startedAt).Add(stableBound); r.late && started.After(since) {
				since = started
			}
			if time.Since(since) > cancelBound+maxStop+watchSlack {
				j.mu.Lock()
				j.runsOn = true
				j.mu.Unlock()
				f.cancels["running after the bound"]++
				f.recordViolation(task, "task %s, run %d goes on on %s %v after the acknowledgement of the cancellation of its job, %v after the last fault of the worker",
					task, r.run, w.name(), time.Since(acked).Round(time.Millisecond), time.Since(w.troubledAt).Round(time.Millisecond))
			}
		}
	}
}

// checkGone checks that an instance may answer that there is no such job.
func (f *fleet) checkGone(in *instance, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	j.mu.Lock()
	accepted, canceled := j.acceptedAt, !j.canceledAt.IsZero()
	j.mu.Unlock()
	if accepted.IsZero() || canceled || j.misreported || time.Since(accepted) <= visibleBound {
		return
	}
	var ended time.Time
	for step := range j.steps {
		for i := range j.width {
			for _, e := range f.task(j.task(step, i)).ends {
				if e.at.After(ended) {
					ended = e.at
				}
			}
		}
	}
	if ended.IsZero() || time.Since(ended) <= statusBound {
		j.misreported = true
		f.recordViolation(j.task(0, 0), "%s does not know job %s, which was accepted %v ago", in.name, id, time.Since(accepted).Round(time.Millisecond))
	}
}
