// Package admission decides whether a job is accepted. It answers the load that
// follows an outage or a burst, when more work waits than the fleet can do in time:
// what would come too late is refused at once, so that what is accepted is served
// in time, and callers learn when it makes sense to come back.
package admission

import "time"

// Load is what a new job meets.
type Load struct {
	Capacity float64 // cores of the usable workers
	Free     float64 // cores that no task has
	Waiting  float64 // cores of the tasks that wait and come before the job
	Ahead    float64 // core-seconds of these tasks
	Higher   float64 // cores that newly arriving work of higher priority takes
	Open     float64 // cores that tasks like the job's fit into and that nothing that waits can take
}

// Job is what has to be decided on.
type Job struct {
	Cores     float64       // of the tasks that it starts with
	Chain     time.Duration // its longest chain of work on an idle fleet
	Objective time.Duration // from its arrival to its end
	Overdue   bool          // beyond what its team is owed
}

// Decision is the outcome.
type Decision struct {
	Accept     bool
	Why        string
	Wait       time.Duration // expected time in the queue
	RetryAfter time.Duration
}

const (
	// leastShare is the part of the fleet that work of low priority is taken to
	// get, however much arrives above it.
	leastShare = 0.15
	// packing is the part of the fleet's cores that tasks of unlike sizes fill.
	packing = 0.9
	// overdueWait is the longest wait at which work beyond a team's allowance is
	// still accepted: there is room for it at once.
	overdueWait = 250 * time.Millisecond
	// shortestRetry and longestRetry bound what callers are told.
	shortestRetry = time.Second
	longestRetry  = 15 * time.Second
)

// Decide decides on j under load l.
func Decide(j Job, l Load) Decision {
	if l.Capacity <= 0 {
		return Decision{Why: "no worker is usable", RetryAfter: shortestRetry}
	}
	rate := max(l.Capacity*packing-l.Higher, l.Capacity*leastShare)
	wait := time.Duration(0)
	if l.Waiting > l.Free && j.Cores >= l.Open {
		wait = time.Duration(l.Ahead / rate * float64(time.Second))
	}
	slack := j.Objective - j.Chain
	d := Decision{Wait: wait}
	switch {
	case j.Overdue && wait > overdueWait:
		d.Why = "the team is beyond its allowance and the fleet is full"
		d.RetryAfter = retry(wait)
	case wait > slack:
		d.Why = "it would end too late"
		d.RetryAfter = retry(wait - slack)
	default:
		d.Accept = true
	}
	return d
}

func retry(after time.Duration) time.Duration { return min(longestRetry, max(shortestRetry, after)) }
