package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// admit decides whether a job is accepted. It returns why not, and when to ask
// again.
func (e *Engine) admit(spec *job.Spec) (string, time.Duration) {
	q := e.policy.Queue(spec.Queue)
	if q == nil {
		return "no such queue", 0
	}
	if why := e.neverFits(spec, q); why != "" {
		return why, 0
	}
	if spec.Scheduled() {
		return "", 0
	}
	chain := slices.Max(e.tailsOf(spec))
	first := widest(spec)
	l := e.loadFor(q, first)
	d := admission.Decide(admission.Job{
		Cores: float64(first.Charge().CPU) / 1000 * float64(first.Count), Chain: chain,
		Objective: objective(q, chain), Overdue: !e.peekAllowance(spec.Team),
	}, l)
	return d.Why, d.RetryAfter
}

// neverFits says why no worker, or no limit, could ever hold a step of the job.
func (e *Engine) neverFits(spec *job.Spec, q *policy.Queue) string {
	if len(e.order) == 0 || e.now.Sub(e.started) < e.cfg.MaxLease {
		return "" // not every worker may be known yet
	}
	team := e.policy.Team(spec.Team)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if team != nil && s.Gang && !s.Need.Times(s.Count).Within(team.Limit) {
			return "the gang is larger than its team's limit"
		}
		if team != nil && !s.Need.Within(team.Limit) {
			return "a task is larger than its team's limit"
		}
		if !e.someWorkerFits(s, q) {
			return "a task is larger than any worker"
		}
	}
	return ""
}

func (e *Engine) someWorkerFits(s *job.Step, q *policy.Queue) bool {
	for _, w := range e.order {
		if w.service == q.Service && w.mayHold(s) {
			return true
		}
	}
	return false
}

// allowance counts the jobs of a team against what it is owed.
type allowance struct {
	tokens float64
	at     time.Time
}

// allowanceSpan is how much of a team's owed rate it may send at once.
const allowanceSpan = time.Second

// peekAllowance reports whether one more job of team would be within what it is
// owed.
func (e *Engine) peekAllowance(name string) bool {
	team := e.policy.Team(name)
	a := e.owed[name]
	if team == nil || team.Weight <= 0 || a == nil {
		return true
	}
	return a.tokens+team.Weight*e.now.Sub(a.at).Seconds() >= 1
}

// allow reports whether one more job of team is within what it is owed.
func (e *Engine) allow(name string) bool {
	team := e.policy.Team(name)
	if team == nil || team.Weight <= 0 {
		return true
	}
	most := team.Weight * allowanceSpan.Seconds()
	a := e.owed[name]
	if a == nil {
		a = &allowance{tokens: most, at: e.now}
		e.owed[name] = a
	}
	a.tokens = min(most, a.tokens+team.Weight*e.now.Sub(a.at).Seconds())
	a.at = e.now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
