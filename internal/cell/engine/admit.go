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
	if e.onlyEvacuatedFit(spec, q) {
		return "the workers that could run it are in evacuated availability zones", evacuationRetryAfter
	}
	criticalPath := slices.Max(e.criticalPathsOf(spec))
	if delay := e.exposureDelay(q); delay > ordering.LateMultiplier*objective(q, criticalPath)-criticalPath {
		return "tasks of the queue crash workers, and it would end too late", e.retryAfter(spec.ID, min(delay, maxExposureRetryAfter))
	}
	if e.contention != nil {
		decision := e.admitByContention(spec, q, criticalPath)
		return decision.Reason, decision.RetryAfter
	}
	first := widest(spec)
	load := e.loadFor(q, first)
	decision := admission.Decide(admission.Job{
		Cores: float64(first.Charge().CPU) / 1000 * float64(first.Count), CriticalPath: criticalPath,
		Objective: objective(q, criticalPath), OverEntitlement: !e.hasToken(spec.Team),
	}, load)
	return decision.Reason, decision.RetryAfter
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

// takeToken counts one more job of the team and reports whether it is within the team's
// entitlement.
func (e *Engine) takeToken(name string) bool {
	team := e.policy.Team(name)
	if team == nil || team.Weight <= 0 {
		return true
	}
	burst := team.Weight * entitlementBurst.Seconds()
	bucket := e.entitlements[name]
	if bucket == nil {
		bucket = &tokenBucket{tokens: burst, refilledAt: e.now}
		e.entitlements[name] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+team.Weight*e.now.Sub(bucket.refilledAt).Seconds())
	bucket.refilledAt = e.now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
