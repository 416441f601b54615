package engine

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
)

const (
	// maxListedWorkers is the maximum number of workers that an explanation lists for a step.
	maxListedWorkers = 20
	// maxExplainedTasks bounds the memory that a job takes while it is explained. The explained
	// job is not stored, so its caller pays nothing for it.
	maxExplainedTasks = 20_000
	// maxSummarizedQueues bounds the size of a RuntimeSummary.
	maxSummarizedQueues = 100
)

// explain answers what would become of a job now. It leaves no trace but the time of the
// explanation.
func (e *Engine) explain(ev *Explain) {
	if !e.mayExplain() {
		ev.Reply(Answer{Outcome: Refused, Why: "busy with other explanations", RetryAfter: explanationWindow})
		return
	}
	if e.cfg.Features.Preemption {
		ev.Reply(Answer{Outcome: Refused, Why: "explanations do not cover the feature preemption"})
		return
	}
	if ev.Spec == nil {
		j := e.jobs[ev.ID]
		if j == nil {
			ev.Reply(Answer{Outcome: NotFound})
			return
		}
		ev.Reply(Answer{Outcome: OK, Explanation: e.explainKnown(j)})
		return
	}
	if err := CheckExplained(ev.Spec); err != nil {
		ev.Reply(Answer{Outcome: Refused, Why: err.Error()})
		return
	}
	ev.Reply(Answer{Outcome: OK, Explanation: e.explainNew(ev.Spec)})
}

// CheckExplained returns an error if a job is not valid or too large to be explained.
func CheckExplained(spec *job.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	total := 0
	for i := range spec.Steps {
		total += spec.Steps[i].Count
	}
	if total > maxExplainedTasks {
		return job.NewFieldError("steps", errors.Newf("steps: %d tasks in all, an explanation covers at most %d", total, maxExplainedTasks))
	}
	return nil
}

// explainNew explains a job as if it were submitted now.
func (e *Engine) explainNew(spec *job.Spec) *Explanation {
	t := e.newTrial()
	defer t.end()
	x := &Explanation{Queue: spec.Queue, Team: spec.Team, Verdict: VerdictAccepted}
	decision := e.decideAdmission(spec)
	why, retryAfter := decision.Reason, decision.RetryAfter
	if why == "" {
		why, retryAfter = e.storeUnavailable(0)
		retryAfter = e.retryAfter(spec.ID, retryAfter)
	}
	if why != "" {
		x.Verdict, x.Reason, x.RetryAfterMS = VerdictRefused, why, retryAfter.Milliseconds()
	}
	x.WaitMS = decision.Wait.Milliseconds()
	if decision.Parts != (admission.WaitParts{}) {
		x.Wait = explainWait(&decision.Parts)
	}
	j := newJob(spec, e.wall())
	j.arrivedAt = e.now
	if tokens, metered := e.tokensOf(spec.Team); metered && tokens < 1 {
		j.overEntitlement = true
	}
	o := j.occurrenceAt(0)
	if q := e.queueOf(j); q != nil && !spec.Scheduled() {
		e.noteUrgentArrival(o, q)
	}
	var opened []*stepState
	for _, s := range o.steps {
		if spec.Scheduled() || !o.dependenciesDone(s) {
			continue
		}
		s.ready, s.readyAt = true, e.now
		s.urgency = e.urgencyOf(s)
		opened = append(opened, s)
	}
	e.explainSteps(t, x, j, o.steps, opened)
	return x
}

// explainKnown explains a job that was accepted.
func (e *Engine) explainKnown(j *jobState) *Explanation {
	t := e.newTrial()
	defer t.end()
	x := &Explanation{Job: j.id, Queue: j.queue, Team: j.team, Verdict: j.stateName(), Reason: j.reason}
	var steps []*stepState
	if j.state.Final() || j.spec == nil {
		return x
	}
	j.eachStep(func(s *stepState) {
		if s.remaining > 0 && len(steps) < job.MaxSteps {
			steps = append(steps, s)
		}
	})
	e.explainSteps(t, x, j, steps, nil)
	return x
}

// explainSteps runs the trial with the opened steps of j and explains the given ones.
func (e *Engine) explainSteps(t *trial, x *Explanation, j *jobState, steps, opened []*stepState) {
	x.BeyondAllowance = j.overEntitlement
	q := e.queueOf(j)
	if q == nil {
		return
	}
	x.Service = q.Service
	for _, w := range e.workerList {
		if w.service == q.Service {
			x.WorkersOfService++
		}
	}
	criticalPath := slices.Max(e.criticalPathsOf(j.spec))
	if j.criticalPaths != nil {
		criticalPath = e.criticalPath(j) // it is kept from the arrival on
	}
	x.CriticalPathMS, x.ObjectiveMS = criticalPath.Milliseconds(), objective(q, criticalPath).Milliseconds()
	x.Steps = make([]StepExplanation, len(steps))
	for i, s := range steps {
		out := &x.Steps[i]
		*out = StepExplanation{Step: s.ref.Step, Occurrence: s.ref.Occurrence, Tasks: len(s.tasks), Waiting: s.waiting, Gang: s.spec.Gang, Open: s.open()}
		e.explainRuntime(s, out)
		t.watched[s] = &watchedStep{out: out, chosen: make(map[*worker]int)}
	}
	t.run(opened)
	calls := t.calls()
	for _, s := range steps {
		out := t.watched[s].out
		out.addCalls(s, calls)
		if !t.watched[s].considered {
			e.explainWorkers(s, q, out)
		}
		if out.Open {
			out.Timeliness = timelinessNames[ordering.TimelinessOf(s.urgency, e.now)]
		}
		if out.Placed < out.Waiting {
			out.Reservation = s.reservation.explain(e.now)
		}
		out.WaitsBecause = e.waitReason(s, q, t)
	}
}

var timelinessNames = map[ordering.Timeliness]string{ordering.InTime: "in time", ordering.Late: "late", ordering.TooLate: "too late"}

// explainRuntime notes the expected run time of a task of s on an ordinary worker.
func (e *Engine) explainRuntime(s *stepState, out *StepExplanation) {
	out.MedianMS = e.runtimeOf(s).median.Milliseconds()
	out.P90MS = e.runtimeOf(s).p90.Milliseconds()
	if e.cfg.Features.LearnedRuntimes {
		out.Samples = e.runtimes.Expect(taskOf(s.job().spec, s.spec, s.name, 1), "").Samples()
	}
}

// explainWorkers counts the workers of the service by what excludes them from tasks of s.
func (e *Engine) explainWorkers(s *stepState, q *policy.Queue, out *StepExplanation) {
	waiting := s.waitingTasks()
	out.LimitAllows = len(e.withinLimit(s, waiting))
	withTicket := make(map[*worker]bool)
	if q.Advice != nil {
		for _, w := range e.workersWithTicket(s) {
			withTicket[w] = true
		}
	}
	var counts [exclusions]int
	for _, w := range e.workerList {
		if w.service == q.Service {
			counts[e.whyExcluded(s, q, w, withTicket, out.LimitAllows < len(waiting) && out.LimitAllows == 0)]++
		}
	}
	out.Left = counts[notExcluded]
	for reason := notExcluded + 1; reason < exclusions; reason++ {
		if counts[reason] > 0 {
			out.Excluded = append(out.Excluded, ExclusionCount{reason.String(), counts[reason]})
		}
	}
}

// whyExcluded returns why no task of s can be placed on w now, or notExcluded. limited reports
// that the limit of the team allows none.
func (e *Engine) whyExcluded(s *stepState, q *policy.Queue, w *worker, withTicket map[*worker]bool, limited bool) exclusion {
	if x := w.whyUnusable(e.now); x != notExcluded {
		return x
	}
	switch {
	case !w.isLargeEnough(s.spec):
		return excludedTooSmall
	case !w.hasLabel(s.spec):
		return excludedLabel
	case q.Advice != nil && !withTicket[w]:
		return s.whyNoTicket(w)
	case w.closedTo(s.job()):
		return excludedRisky
	case tasksThatFit(s, w, w.free()) == 0:
		return excludedFull
	case tasksThatFit(s, w, e.freeFor(s, w)) == 0:
		return excludedReserved
	case limited:
		return excludedLimit
	}
	return notExcluded
}

// whyNoTicket returns why s has no valid ticket for w.
func (s *stepState) whyNoTicket(w *worker) exclusion {
	switch {
	case s.advice == nil || s.advice.asked[w] != w.incarnation || w.incarnation == 0:
		return excludedNotAsked
	case s.advice.goodByWorker[w] == nil:
		return excludedNotGood
	}
	return excludedNoTicket
}

// addCalls notes the calls to the adviser about s.
func (x *StepExplanation) addCalls(s *stepState, calls []*AdviceCall) {
	for _, c := range calls {
		if c.step != s {
			continue
		}
		x.Calls++
		x.AskedCount += len(c.Workers)
		x.Asked = append(x.Asked, c.Workers[:min(len(c.Workers), maxListedWorkers-len(x.Asked))]...)
	}
}

// waitReason returns why not all waiting tasks of s are placed by the trial, or "".
func (e *Engine) waitReason(s *stepState, q *policy.Queue, t *trial) string {
	out := t.watched[s].out
	switch {
	case out.Waiting == 0 || out.Placed == out.Waiting:
		return ""
	case !out.Open && s.job().spec.Scheduled() && !s.ready:
		return "its job is scheduled for later"
	case !out.Open:
		return dependencies(s) + " has not ended"
	case out.Placed > 0 && out.LimitAllows == out.Placed:
		return "the limit of the team allows no more tasks"
	case out.Placed > 0 && out.Placed+t.watched[s].kept == out.LimitAllows:
		return "the other free capacity is kept for urgent tasks that arrive next"
	case out.Placed > 0:
		return "no free capacity for the other tasks"
	case s.spec.Gang && len(s.waitingTasks()) < len(s.tasks):
		return "members of the last run of the gang are still being stopped"
	case out.LimitAllows == 0:
		return "the limit of the team allows no tasks now"
	case t.watched[s].kept == out.LimitAllows:
		return "the free capacity is kept for urgent tasks that arrive next"
	case out.Calls > 0:
		return "the adviser is asked first"
	case s.advice != nil && s.advice.callsInFlight > 0:
		return "the adviser has not answered yet"
	case !t.watched[s].considered, out.Left > 0 && t.tried[s] && e.mayBeRisky(s):
		return "its starts are risky, and no more workers may be exposed to such starts now"
	case out.Left > 0 && !t.tried[s]:
		return "more urgent steps use up this placement round"
	case s.reservation != nil:
		return "it has reserved resources and starts when they are free"
	case out.Left > 0 && s.spec.Gang:
		return "not all tasks of the gang fit at the same time"
	case q.Advice != nil:
		return "no worker with a valid ticket has free capacity"
	}
	return "no worker has free capacity"
}

// dependencies names the steps that s waits for.
func dependencies(s *stepState) string {
	var names []string
	for _, d := range s.spec.DependsOn {
		if s.occ.steps[d].remaining > 0 {
			names = append(names, fmt.Sprint(d))
		}
	}
	return "step " + strings.Join(names, ", ")
}
