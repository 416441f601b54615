package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
)

// admit decides whether a job is accepted. It returns the reason for a refusal, or "",
// and the delay before a retry, or zero.
func (e *Engine) admit(spec *job.Spec) (string, time.Duration) {
	d := e.decideAdmission(spec)
	return d.Reason, d.RetryAfter
}

// decideAdmission returns the decision about a job, with the wait that it is based on.
func (e *Engine) decideAdmission(spec *job.Spec) admission.Decision {
	q := e.policy.Queue(spec.Queue)
	if q == nil {
		return admission.Decision{Reason: "no such queue"}
	}
	if why := e.neverFits(spec, q); why != "" {
		return admission.Decision{Reason: why}
	}
	if spec.Scheduled() {
		return admission.Decision{Accept: true}
	}
	if e.onlyEvacuatedFit(spec, q) {
		return admission.Decision{Reason: "the workers that could run it are in evacuated availability zones", RetryAfter: evacuationRetryAfter}
	}
	criticalPath := slices.Max(e.criticalPathsOf(spec))
	if delay := e.exposureDelay(q); delay > ordering.LateMultiplier*objective(q, criticalPath)-criticalPath {
		return admission.Decision{Reason: "tasks of the queue crash workers, and it would end too late", Wait: delay, RetryAfter: e.retryAfter(spec.ID, min(delay, maxExposureRetryAfter))}
	}
	if e.contention != nil {
		return e.admitByContention(spec, q, criticalPath)
	}
	first := widest(spec)
	load := e.loadFor(q, first)
	return admission.Decide(admission.Job{
		Cores: float64(first.Charge().CPU) / 1000 * float64(first.Count), CriticalPath: criticalPath,
		Objective: objective(q, criticalPath), OverEntitlement: !e.hasToken(spec.Team),
	}, load)
}

// neverFits returns the reason why the job could never run, or "": one of its steps is
// larger than its team's limit or than any worker.
func (e *Engine) neverFits(spec *job.Spec, q *policy.Queue) string {
	if len(e.workerList) == 0 || e.now.Sub(e.startedAt) < e.cfg.MaxLease {
		return "" // some workers may not be known yet
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

// someWorkerFits reports whether a worker of the queue's service could run a task of s
// if it were idle.
func (e *Engine) someWorkerFits(s *job.Step, q *policy.Queue) bool {
	for _, w := range e.workerList {
		if w.service == q.Service && w.canHold(s) {
			return true
		}
	}
	return false
}

// tokenBucket meters the jobs of a team against its entitlement, which is the team's
// weight in jobs per second.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// entitlementBurst is the time of a team's entitlement that it may use in a burst.
const entitlementBurst = time.Second

// hasToken reports whether one more job of the team would be within its entitlement.
func (e *Engine) hasToken(name string) bool {
	team := e.policy.Team(name)
	bucket := e.entitlements[name]
	if team == nil || team.Weight <= 0 || bucket == nil {
		return true
	}
	return bucket.tokens+team.Weight*e.now.Sub(bucket.refilledAt).Seconds() >= 1
}

// tokensOf returns the tokens of a team. It reports false if the team's jobs are not metered.
func (e *Engine) tokensOf(name string) (float64, bool) {
	team := e.policy.Team(name)
	if team == nil || team.Weight <= 0 {
		return 0, false
	}
	burst := team.Weight * entitlementBurst.Seconds()
	bucket := e.entitlements[name]
	if bucket == nil {
		return burst, true
	}
	return min(burst, bucket.tokens+team.Weight*e.now.Sub(bucket.refilledAt).Seconds()), true
}

// takeToken counts one more job of the team and reports whether it is within the team's
// entitlement.
func (e *Engine) takeToken(name string) bool {
	tokens, metered := e.tokensOf(name)
	if !metered {
		return true
	}
	bucket := e.entitlements[name]
	if bucket == nil {
		bucket = &tokenBucket{}
		e.entitlements[name] = bucket
	}
	bucket.tokens, bucket.refilledAt = tokens, e.now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
