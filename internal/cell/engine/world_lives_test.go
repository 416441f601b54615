package engine

import (
	"fmt"
	"time"

	"pollenbend/internal/cell/job"
)

// life is what a simulated worker has from its start on.
type life struct {
	bornAt     time.Time
	firstClock int64   // in ms
	clockRate  float64 // of the worker's clock against true time
}

// startClock starts the clock of a worker's new incarnation. It may be 2% slow.
func (n *network) startClock(s *simWorker, firstClock int64) {
	s.life = life{bornAt: n.w.now, firstClock: firstClock, clockRate: 1 - clockDrift*n.rand.Float64()}
}

// clock returns the time on the worker's clock, in ms.
func (n *network) clock(s *simWorker) int64 {
	return s.firstClock + int64(float64(n.w.now.Sub(s.bornAt).Milliseconds())*s.clockRate)
}

// extendLease extends a worker's lease to a time on its clock, within the maximum.
func (n *network) extendLease(s *simWorker, deadline int64) {
	length := min(deadline-n.clock(s), simConfig().MaxLease.Milliseconds())
	if n.planted.noLeases {
		length = time.Hour.Milliseconds()
	}
	if end := n.w.now.Add(time.Duration(float64(length)/s.clockRate) * time.Millisecond); end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}

// fenced reports whether a call bears a lower fence number than the worker has seen.
func (n *network) fenced(s *simWorker, fence int64) bool {
	if fence < s.fence {
		return true
	}
	s.fence = fence
	return false
}

// start carries out a start command.
func (n *network) start(s *simWorker, a *Start, sent time.Time) *StartAnswered {
	ev := &StartAnswered{Start: a, Incarnation: s.incarnation, Clock: n.clock(s)}
	if a.Incarnation != s.incarnation && !n.restartsKeepID {
		ev.Outcome = OtherIncarnation
		return ev
	}
	if outcome, refused := n.refusal(s); refused {
		return n.refuseStart(s, a, ev, outcome)
	}
	ref, err := job.ParseTask(a.Task)
	n.w.must(err)
	r := s.runs[a.Task]
	switch {
	case n.fenced(s, a.Fence):
		ev.Outcome = Fenced
	case a.Deadline < n.clock(s):
		ev.Outcome = DeadlinePassed
	case r != nil && r.run == a.Run:
		n.extendLease(s, a.Deadline)
	case s.endedRuns[a.Task] >= a.Run:
		n.extendLease(s, a.Deadline)
		ev.Outcome = StaleRun
	case !n.ticketValid(s, ref, a.Ticket):
		ev.Outcome = BadTicket
	default:
		n.extendLease(s, a.Deadline)
		n.w.checkEvacuation(s, a, sent)
		n.w.startRun(s, a, sent)
		r := s.runs[a.Task]
		n.rules.started(r, a, sent)
		n.crashLater(s, r)
	}
	return ev
}

// refuseStart refuses a start command. An unhealthy worker answers without a body.
func (n *network) refuseStart(s *simWorker, a *Start, ev *StartAnswered, outcome CommandOutcome) *StartAnswered {
	ev.Outcome = outcome
	switch {
	case outcome == Unhealthy || outcome == Invalid:
		ev.Incarnation, ev.Clock = 0, 0
	case n.fenced(s, a.Fence):
		ev.Outcome = Fenced
	case outcome == NoCapacity:
		n.extendLease(s, a.Deadline)
	}
	return ev
}

// stop carries out a stop command.
func (n *network) stop(s *simWorker, a *Stop) *StopAnswered {
	ev := &StopAnswered{Stop: a, Incarnation: s.incarnation}
	if a.Incarnation != s.incarnation && !n.restartsKeepID {
		ev.Outcome = OtherIncarnation
		return ev
	}
	if outcome, refused := n.refusal(s); refused {
		ev.Incarnation, ev.Outcome = 0, Unhealthy
		if outcome == Invalid {
			ev.Outcome = Invalid
		}
		return ev
	}
	if n.fenced(s, a.Fence) {
		ev.Outcome = Fenced
		return ev
	}
	if n.planted.noStops {
		return ev
	}
	s.endedRuns[a.Task] = max(s.endedRuns[a.Task], a.Run)
	if r := s.runs[a.Task]; r != nil && r.run <= a.Run {
		n.w.after(time.Duration(n.rand.Int64N(int64(simConfig().MaxStopDuration))), func() { r.stopped = true })
	}
	return ev
}

// renew carries out a renewal.
func (n *network) renew(s *simWorker, a *Renew, sent time.Time, reply func(any)) {
	ev := &RenewalAnswered{Worker: a.Worker, Incarnation: a.Incarnation, SentAt: sent}
	foreign := a.Incarnation != s.incarnation
	switch _, refused := n.refusal(s); {
	case foreign && !n.restartsKeepID:
		ev.OtherIncarnation = true
		reply(ev)
		return
	case refused:
		reply(ev)
		return
	case n.fenced(s, a.Fence):
		ev.Fenced = true
		reply(ev)
		return
	}
	if a.Deadline > 0 {
		n.extendLease(s, a.Deadline)
	}
	n.w.acknowledge(s, a.Cursor) // also ends that nobody has seen, if the cursor is that of an earlier incarnation
	answered := false
	answer := func() {
		if !answered {
			answered = true
			n.w.acknowledge(s, a.Cursor) // an end that is listed meanwhile counts too
			ev.Report = n.report(s)
			reply(ev)
		}
	}
	if a.MaxWait == 0 || len(s.ended) > 0 {
		answer()
		return
	}
	incarnation := s.incarnation
	s.pendingAnswers = append(s.pendingAnswers, answer)
	n.w.after(a.MaxWait, func() {
		if s.incarnation == incarnation {
			answer()
		}
	})
}

// report returns a worker's report, with a part of its ends if there are many.
func (n *network) report(s *simWorker) *Report {
	r := n.w.report(s)
	r.Clock = n.clock(s)
	r.Ended = r.Ended[:min(len(r.Ended), n.endsPerReport)]
	r.MoreEnds = len(r.Ended) == n.endsPerReport
	for i := range r.Running {
		n.rules.history(r.Running[i].Task).openUntil = time.Time{}
		r.Running[i].Checkpoint = n.checkpoint(s, s.runs[r.Running[i].Task], checkpointInterval)
	}
	if n.planted.forgetsReportedEnds && len(r.Ended) > 0 {
		n.w.acknowledge(s, r.Ended[len(r.Ended)-1].Number)
	}
	return r
}

// checkpointInterval is the work after which a run saves a checkpoint.
const checkpointInterval = 400 * time.Millisecond

// checkpoint returns the last checkpoint of a run that saves one after each interval, or "".
func (n *network) checkpoint(s *simWorker, r *simRun, interval time.Duration) string {
	if !n.w.stepOf(r.task).Checkpoints || r.gang != nil && r.gang.completeAt.IsZero() {
		return r.resumedFrom
	}
	worked := time.Duration(float64(n.w.now.Sub(r.workStart())) / s.slowdown).Truncate(interval)
	if worked <= 0 {
		return r.resumedFrom
	}
	return fmt.Sprintf("%s@%d", n.w.checkpointOwner(r.task), (r.saved + worked).Milliseconds())
}

// stepOf returns the step of a task.
func (w *world) stepOf(task string) *job.Step {
	ref, err := job.ParseTask(task)
	w.must(err)
	return &w.specs[ref.Job].Steps[ref.Step]
}

// ended records the end of a run in the list of its worker.
func (n *network) ended(s *simWorker, r *simRun, reason EndReason) {
	end := &s.ended[len(s.ended)-1]
	interval := checkpointInterval
	if reason == EndedStopped {
		interval = time.Millisecond // a stop saves one, too
	}
	end.Checkpoint = n.checkpoint(s, r, interval)
	n.rules.ended(s, end, reason)
	if n.planted.forgetsEndedRuns {
		delete(s.endedRuns, r.task)
	}
}

// acknowledged records that a worker was told that an end is stored.
func (n *network) acknowledged(s *simWorker, end RunEnd) {
	if end.Number > s.expiredEnds {
		n.rules.acknowledged(s, end)
	}
}

// runningTasks returns the tasks of a step that run.
func (w *world) runningTasks(id string, step int) int {
	tasks := 0
	for i := range w.specs[id].Steps[step].Count {
		t := w.tasks[job.TaskRef{StepRef: job.StepRef{Job: id, Step: step}, Index: i}.String()]
		if t != nil && len(t.runs) > 0 {
			tasks++
		}
	}
	return tasks
}
