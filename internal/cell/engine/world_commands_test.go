package engine

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// sendCommand delivers a command to a worker. The command may get no answer and be
// carried out late.
func (w *world) sendCommand(e *Engine, id string, timeout time.Duration, fn func(*simWorker) any, unanswered any) {
	s := w.workers[id]
	if s.unreachable {
		w.deliver(e, timeout, unanswered)
		return
	}
	if w.rand.Float64() < w.lateCommandRatio {
		w.deliver(e, timeout, unanswered)
		w.after(2*time.Second+time.Duration(w.rand.Int64N(int64(8*time.Second))), func() { fn(s) })
		return
	}
	w.after(simTick, func() { w.deliver(e, w.answerDelay, fn(s)) })
}

// handleStart carries out a start command on a worker.
func (w *world) handleStart(s *simWorker, a *Start, sent time.Time) any {
	ev := &StartAnswered{Start: a, Incarnation: s.incarnation, Clock: w.now.UnixMilli()}
	switch {
	case a.Incarnation != s.incarnation:
		ev.Outcome = OtherIncarnation
		return ev
	case a.Fence < s.fence || a.run.worker == nil:
		ev.Outcome = Fenced
		return ev
	case a.Deadline < w.now.UnixMilli():
		ev.Outcome = DeadlinePassed
		return ev
	}
	command := fmt.Sprintf("%s/%d", a.Task, a.Run)
	w.startCommands[command]++
	if w.refuseStart != nil {
		if ev.Outcome = w.refuseStart(a, w.startCommands[command]); ev.Outcome != Accepted {
			return ev
		}
	}
	if r := s.runs[a.Task]; r != nil && r.run == a.Run {
		return ev
	}
	if s.endedRuns[a.Task] >= a.Run {
		ev.Outcome = StaleRun
		return ev
	}
	if end := time.UnixMilli(a.Deadline); end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
	w.startRun(s, a, sent)
	return ev
}

// startRun starts a run and checks the invariants of a start.
func (w *world) startRun(s *simWorker, a *Start, sent time.Time) {
	w.starts++
	ref, err := job.ParseTask(a.Task)
	w.must(err)
	spec := w.specs[ref.Job]
	if spec == nil {
		w.t.Fatalf("%s: started, but never submitted", a.Task)
	}
	if w.refused[ref.Job] {
		w.t.Errorf("%v: %s started, although every submission was refused", w.now.Sub(w.startTime), a.Task)
	}
	step := &spec.Steps[ref.Step]
	t := w.tasks[a.Task]
	if t == nil {
		t = &simTask{runs: make(map[string]*simRun)}
		w.tasks[a.Task] = t
	}
	if t.acknowledged && (w.net == nil || !step.Speculative) { // the network's rules have that case
		w.t.Errorf("%v: %s run %d started after its end was acknowledged", w.now.Sub(w.startTime), a.Task, a.Run)
	}
	if len(t.runs) > 0 && !step.Speculative {
		w.t.Errorf("%v: %s run %d on %s while it runs on %v", w.now.Sub(w.startTime), a.Task, a.Run, s.id, sortedKeys(t.runs))
	}
	for _, d := range step.DependsOn {
		for i := range spec.Steps[d].Count {
			if spec.Steps[d].Gang && i > 0 {
				break // one member stands for all
			}
			before := job.TaskRef{StepRef: job.StepRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: d}, Index: i}.String()
			if !w.succeeded(before) && !(spec.Steps[d].Gang && w.anySucceeded(ref, d, spec.Steps[d].Count)) {
				w.t.Errorf("%s started before %s was done", a.Task, before)
			}
		}
	}
	w.callers.checkStart(a.Task, ref.Job, sent)
	if at, canceled := w.canceledAt[ref.Job]; canceled && sent.Sub(at) > 3*time.Second {
		w.t.Errorf("%s started %v after its cancellation", a.Task, w.now.Sub(at))
	}
	r := &simRun{task: a.Task, run: a.Run, startedAt: w.now, runtime: step.Estimate, need: step.Need, longRunning: step.LongRunning, fails: w.rand.Float64() < w.failureRatio}
	if w.runtime != nil {
		r.runtime = w.runtime(ref, step)
	}
	if _, started := w.firstStart[ref.Job]; !started {
		w.firstStart[ref.Job] = w.now
	}
	if step.Gang {
		key := fmt.Sprintf("%s/%d", ref.StepRef, a.Run)
		g := w.gangs[key]
		if g == nil {
			g = &simGang{members: make(map[string]*simRun), workers: make(map[string]*simWorker), count: step.Count}
			w.gangs[key] = g
		}
		g.members[a.Task], g.workers[a.Task] = r, s
		r.gang = g
	}
	s.runs[a.Task] = r
	w.checkConfinement(s, ref, step)
	t.runs[s.id] = r
	t.lastRun = max(t.lastRun, a.Run)
	w.checkCapacity(s)
	w.checkLimits(spec.Team)
}

// anySucceeded reports whether a member of a gang has succeeded, which counts for all.
func (w *world) anySucceeded(ref job.TaskRef, step, count int) bool {
	for i := range count {
		if w.succeeded(job.TaskRef{StepRef: job.StepRef{Job: ref.Job, Occurrence: ref.Occurrence, Step: step}, Index: i}.String()) {
			return true
		}
	}
	return false
}

// succeeded reports whether a run of the task has succeeded.
func (w *world) succeeded(task string) bool {
	t := w.tasks[task]
	return t != nil && t.succeeded
}

// checkCapacity checks that the runs of a worker fit into its capacity.
func (w *world) checkCapacity(s *simWorker) {
	used := job.Resources{}
	for _, r := range s.runs {
		used = used.Add(r.need)
	}
	if capacity := s.capacityInForce(w.now); !used.Fits(capacity) {
		w.t.Errorf("%v: %s runs %v, more than its capacity %v", w.now.Sub(w.startTime), s.id, used, capacity)
	}
}

// checkLimits checks that the runs of a team are within its limit.
func (w *world) checkLimits(team string) {
	limit := w.policy.Team(team).Limit
	if limit == (job.Resources{}) {
		return
	}
	used := job.Resources{}
	for _, s := range w.workers {
		for name, r := range s.runs {
			if w.specs[strings.SplitN(name, ".", 2)[0]].Team == team {
				used = used.Add(r.need)
			}
		}
	}
	if !used.Within(limit) {
		w.t.Errorf("team %s runs %v, above its limit %v", team, used, limit)
	}
}

// handleStop carries out a stop command on a worker.
func (w *world) handleStop(s *simWorker, a *Stop) any {
	ev := &StopAnswered{Stop: a, Incarnation: s.incarnation}
	if a.Incarnation != s.incarnation {
		ev.Outcome = OtherIncarnation
		return ev
	}
	s.endedRuns[a.Task] = max(s.endedRuns[a.Task], a.Run)
	if r := s.runs[a.Task]; r != nil && r.run <= a.Run {
		w.after(100*time.Millisecond, func() { r.stopped = true })
	}
	return ev
}

// handleRenewal carries out a renewal on a worker.
func (w *world) handleRenewal(e *Engine, a *Renew) {
	s := w.workers[a.Worker]
	sent := w.now
	if s.unreachable {
		w.deliver(e, a.Timeout, &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: sent})
		return
	}
	w.after(simTick, func() {
		if s.incarnation != a.Incarnation {
			w.deliver(e, 0, &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: sent, OtherIncarnation: true})
			return
		}
		s.fence = max(s.fence, a.Fence)
		if end := time.UnixMilli(a.Deadline); a.Deadline > 0 && end.After(s.leaseEnd) && w.engine == e {
			s.leaseEnd = end
		}
		w.acknowledge(s, a.Cursor)
		answered, lost := false, false
		answer := func() {
			if a.MaxWait > 0 && w.lostRenewals > 0 {
				w.lostRenewals--
				lost = true
			}
			if lost || answered || s.unreachable || s.incarnation != a.Incarnation {
				return
			}
			answered = true
			w.deliver(e, simTick, &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: sent, Report: w.report(s)})
		}
		w.after(a.Timeout, func() {
			if !answered && w.engine == e {
				answered = true
				e.Handle(w.now, &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: sent})
			}
		})
		if a.MaxWait == 0 || len(s.ended) > 0 {
			answer()
			return
		}
		s.pendingAnswers = append(s.pendingAnswers, answer)
		w.after(a.MaxWait, answer)
	})
}

// acknowledge removes the ends up to cursor from the worker's list and marks the tasks
// whose success is acknowledged while the lease is valid.
func (w *world) acknowledge(s *simWorker, cursor int64) {
	kept := s.ended[:0]
	for _, end := range s.ended {
		if end.Number > cursor {
			kept = append(kept, end)
			continue
		}
		if w.net != nil {
			w.net.acknowledged(s, end)
		}
		if end.Reason == EndedDone && end.Number > s.expiredEnds {
			w.tasks[end.Task].acknowledged = true
		}
	}
	s.ended = kept
}

// report returns a worker's report.
func (w *world) report(s *simWorker) *Report {
	r := &Report{Incarnation: s.incarnation, Clock: w.now.UnixMilli(), Ended: slices.Clone(s.ended)}
	for _, name := range sortedKeys(s.runs) {
		u := s.runs[name]
		percent := int(100 * float64(w.now.Sub(u.workStart())) / (float64(max(1, u.runtime)) * s.slowdown))
		if u.gang != nil && u.gang.completeAt.IsZero() {
			percent = 0
		}
		r.Running = append(r.Running, RunStatus{Task: name, Run: u.run, Percent: min(99, percent)})
	}
	return r
}

// answerAdvice returns the adviser's tickets by worker.
func (w *world) answerAdvice(a *AdviceCall) map[string]string {
	w.workersAsked += len(a.Workers)
	good := make(map[string]string)
	if w.isGood != nil {
		task, err := job.ParseTask(a.Step + ".0")
		w.must(err)
		for _, id := range a.Workers {
			if w.isGood(task.StepRef, id) {
				good[id] = "ticket"
			}
		}
		return good
	}
	for _, id := range a.Workers {
		if usuallyGood(a.Step, id) {
			good[id] = "ticket"
		}
	}
	return good
}

// usuallyGood reports whether the adviser finds a worker good for a step, unless world.isGood tells.
func usuallyGood(step, worker string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, step+worker)
	return h.Sum32()%10 < 4 || worker == "w00" || worker == "w01" // at least these are good for every step
}
