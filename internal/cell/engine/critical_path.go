package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// arrivalOf returns when the occurrence of s was due, or when its job arrived if the job
// has no schedule.
func (e *Engine) arrivalOf(s *stepState) time.Time {
	if s.occ.due == 0 {
		return s.job().arrivedAt
	}
	return e.now.Add(time.Duration(s.occ.due-e.wall()) * time.Millisecond)
}

// objective returns the latency objective of a job of q with the given critical path.
func objective(q *policy.Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.LatencyTarget
}

// criticalPath returns the length of a job's critical path.
func (e *Engine) criticalPath(j *jobState) time.Duration { return slices.Max(e.criticalPaths(j)) }

// criticalPathFrom returns the length of the critical path from s to the end of its job.
func (e *Engine) criticalPathFrom(s *stepState) time.Duration {
	return e.criticalPaths(s.job())[s.ref.Step]
}

const (
	// estimateMargin is the part of a critical path that is added to it, as runtimes are
	// estimates. Without it, the steps placed first under overload are those that will
	// just miss their objective.
	estimateMargin = 0.1
	// dispatchTime is the time from the placement of a task until it starts, besides that
	// for storing its record.
	dispatchTime = 40 * time.Millisecond
)

// timeToEnd returns the expected time until the end of the job of s if s is placed now.
func (e *Engine) timeToEnd(s *stepState) time.Duration {
	return time.Duration((1+estimateMargin)*float64(e.criticalPathFrom(s))) + e.storeLatency + dispatchTime
}

// criticalPaths returns the result of criticalPathsOf for a job, computed on first use and
// kept from then on: the objective of an accepted job must not move while it waits.
func (e *Engine) criticalPaths(j *jobState) []time.Duration {
	if j.criticalPaths == nil {
		j.criticalPaths = e.criticalPathsOf(j.spec)
	}
	return j.criticalPaths
}

// criticalPathsOf returns, by step, the length of the critical path from that step to the
// end of the job: the largest sum of expected runtimes along its dependents. Steps depend
// only on earlier ones, so one pass from the last to the first is enough.
func (e *Engine) criticalPathsOf(spec *job.Spec) []time.Duration {
	after := make([]time.Duration, len(spec.Steps))
	lengths := make([]time.Duration, len(spec.Steps))
	for i := len(spec.Steps) - 1; i >= 0; i-- {
		s := &spec.Steps[i]
		lengths[i] = after[i] + e.medianRuntime(spec, s)
		for _, d := range s.DependsOn {
			after[d] = max(after[d], lengths[i])
		}
	}
	return lengths
}
