package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// arrivalOf returns when the occurrence of s was due.
func (e *Engine) arrivalOf(s *stepRun) time.Time {
	if s.occ.due == 0 {
		return s.job().arrived
	}
	return e.now.Add(time.Duration(s.occ.due-e.wall()) * time.Millisecond)
}

// objective returns how long a job of q may take.
func objective(q *policy.Queue, chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.LatencyTarget
}

// chainOf returns the longest chain of work of a job, by its estimates.
func (e *Engine) chainOf(j *jobState) time.Duration { return slices.Max(e.tails(j)) }

// chainFrom returns the longest chain of work from s on.
func (e *Engine) chainFrom(s *stepRun) time.Duration { return e.tails(s.job())[s.ref.Step] }

// tails returns what tailsOf does for a job. It is worked out on first use.
func (e *Engine) tails(j *jobState) []time.Duration {
	if j.tails == nil {
		j.tails = e.tailsOf(j.spec)
	}
	return j.tails
}

// tailsOf returns the longest chain of work from each step on. Steps depend on
// earlier ones only, so one pass from the last to the first does.
func (e *Engine) tailsOf(spec *job.Spec) []time.Duration {
	after := make([]time.Duration, len(spec.Steps))
	tails := make([]time.Duration, len(spec.Steps))
	for i := len(spec.Steps) - 1; i >= 0; i-- {
		s := &spec.Steps[i]
		tails[i] = after[i] + e.pace.expect(spec.Queue, s.Estimate)
		for _, d := range s.DependsOn {
			after[d] = max(after[d], tails[i])
		}
	}
	return tails
}
