// Package admission decides whether a job is accepted. It is designed for the load
// after an outage or a burst, when more work waits than the fleet can finish in time:
// a job that would finish too late is refused at once, so that accepted jobs finish
// in time, and the caller gets a delay after which a retry is worthwhile.
package admission

import "time"

// Load describes the fleet and its queue when a new job arrives.
type Load struct {
	Capacity            float64 // cores of the usable workers
	Free                float64 // cores that no task occupies
	WaitingCores        float64 // cores of the waiting tasks that are ahead of the job
	WaitingCoreSeconds  float64 // core-seconds of work of these tasks
	HigherPriorityCores float64 // expected number of cores that newly arriving work of higher priority occupies
	BackfillCores       float64 // free cores that tasks like the job's can use and no waiting task can
	// RecentWait is the time that tasks of the job's priority which started lately had
	// waited. It shows limits other than cores, such as the rate at which tasks can start.
	RecentWait time.Duration
}

// Job describes the job to decide on.
type Job struct {
	Cores           float64       // cores of its first tasks
	CriticalPath    time.Duration // its critical path on an idle fleet
	Objective       time.Duration // target time from its arrival to its end
	OverEntitlement bool          // exceeds the entitlement of its team
}

// Decision is the result of Decide.
type Decision struct {
	Accept     bool
	Reason     string        // reason for a refusal; empty if the job is accepted
	Wait       time.Duration // expected time in the queue
	RetryAfter time.Duration // delay after which the caller may retry a refused job
	Parts      WaitParts     // what Wait consists of
}

const (
	// minCapacityRatio is the part of the fleet that work of low priority is assumed
	// to get, however much work of higher priority arrives.
	minCapacityRatio = 0.15
	// PackingRatio is the part of a full fleet's cores that tasks of different sizes occupy.
	PackingRatio = 0.9
	// overEntitlementMaxWait is the maximum expected wait at which a job that exceeds
	// its team's entitlement is still accepted. A shorter wait means that the fleet has
	// free capacity for it at once.
	overEntitlementMaxWait = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay that callers get.
	minRetryDelay = time.Second
	maxRetryDelay = 15 * time.Second
)

// Decide decides whether job j is accepted under load l.
func Decide(j Job, l Load) Decision {
	if l.Capacity <= 0 {
		return Decision{Reason: "no worker is usable", RetryAfter: minRetryDelay}
	}
	rate := max(l.Capacity*PackingRatio-l.HigherPriorityCores, l.Capacity*minCapacityRatio)
	// A job that fits into free cores beside the waiting tasks does not wait.
	parts := WaitParts{Bearable: j.Objective - j.CriticalPath, AheadCores: l.WaitingCores, AheadWork: l.WaitingCoreSeconds}
	if l.WaitingCores > l.Free && j.Cores >= l.BackfillCores {
		parts.Cores = time.Duration(l.WaitingCoreSeconds / rate * float64(time.Second))
	}
	if l.WaitingCores > 0 {
		parts.Recent = l.RecentWait
	}
	wait, slack := parts.Total(), parts.Bearable
	if j.OverEntitlement {
		parts.Bearable = min(slack, overEntitlementMaxWait)
	}
	d := Decision{Wait: wait, Parts: parts}
	switch {
	case j.OverEntitlement && wait > overEntitlementMaxWait:
		d.Reason = "the team is beyond its allowance and the fleet is full"
		d.RetryAfter = clampRetryDelay(wait)
	case wait > slack:
		d.Reason = "it would end too late"
		d.RetryAfter = clampRetryDelay(wait - slack)
	default:
		d.Accept = true
	}
	return d
}

func clampRetryDelay(d time.Duration) time.Duration { return min(maxRetryDelay, max(minRetryDelay, d)) }
