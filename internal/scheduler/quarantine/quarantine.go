// Package quarantine keeps new work away from workers that fail tasks which other
// workers run. Each outcome is weighed against the job's failure rate on other
// workers, so that a job that fails everywhere doesn't count against its workers. A
// quarantined worker later goes on probation, with one task at a time.
package quarantine

import (
	"math"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

const (
	// evidenceThreshold is the log-likelihood ratio of a broken to a healthy worker at
	// which a worker is quarantined.
	evidenceThreshold = 15.0
	// brokenFailureRate is the assumed failure rate of tasks on a broken worker.
	brokenFailureRate = 0.95
	// maxQuarantinedRatio is the share of the fleet that may be in quarantine at once.
	maxQuarantinedRatio = 0.05
	// firstDuration is the length of a worker's first quarantine. Each further one is
	// twice as long as the one before, up to maxDuration.
	firstDuration = time.Minute
	maxDuration   = time.Hour
	// probationSuccesses is the number of successful tasks that end a probation.
	probationSuccesses = 3
	// backoffResetDelay is the time since the start of the last quarantine after which
	// the next one lasts firstDuration again.
	backoffResetDelay = 6 * time.Hour
)

// record holds the evidence against one worker and the state of its quarantine.
type record struct {
	worker        model.WorkerID
	evidence      float64            // sum of log-likelihood ratios, at least 0
	byJob         map[jobKey]float64 // evidence from jobs that have succeeded on no other worker
	quarantined   bool
	probation     bool
	successes     int           // in the current probation
	quarantines   int           // since the last reset of the backoff
	quarantinedAt time.Duration // start of the last quarantine
	until         time.Duration // end of the last quarantine
}

// Tracker observes the outcomes of tasks and quarantines workers of a fleet.
type Tracker struct {
	fleet       *fleet.Fleet
	records     map[model.WorkerID]*record
	quarantined []*record // in the order of their quarantine
	jobs        *jobTable
}

// New returns a Tracker for a fleet.
func New(f *fleet.Fleet) *Tracker {
	return &Tracker{fleet: f, records: make(map[model.WorkerID]*record), jobs: newJobTable()}
}

// Observe records the outcome of a task that ran to its end and reports whether the
// worker was quarantined for it. The caller leaves out tasks that were stopped,
// because these are no evidence about a worker.
func (tr *Tracker) Observe(now time.Duration, worker model.WorkerID, t *model.Task, failed bool) bool {
	key := keyOf(t)
	job := tr.jobs.get(key)
	r := tr.record(worker)
	if failed {
		tr.addFailure(r, key, job)
	} else {
		tr.addSuccess(r, job)
	}
	job.setOutcome(worker, failed)
	if r.probation {
		return tr.updateProbation(now, r, failed)
	}
	if r.evidence < evidenceThreshold || r.quarantined {
		return false
	}
	return tr.quarantine(now, r)
}

// addFailure adds evidence. A job that has succeeded on no other worker counts only
// once against a worker.
func (tr *Tracker) addFailure(r *record, key jobKey, job *jobRecord) {
	rate, succeeded := job.failureRate(r.worker)
	weight := max(0, math.Log(brokenFailureRate/rate))
	if succeeded {
		r.evidence += weight
		return
	}
	if r.byJob == nil {
		r.byJob = make(map[jobKey]float64)
	}
	if _, counted := r.byJob[key]; !counted && len(r.byJob) < maxJobsPerWorker {
		r.byJob[key] = weight
		r.evidence += weight
	}
}

// addSuccess reduces the evidence.
func (tr *Tracker) addSuccess(r *record, job *jobRecord) {
	rate, _ := job.failureRate(r.worker)
	r.evidence = max(0, r.evidence+math.Log((1-brokenFailureRate)/(1-rate)))
	if r.evidence == 0 {
		clear(r.byJob)
	}
}

// quarantine starts a quarantine. It returns false if the worker isn't in the fleet or
// too many workers are in quarantine.
func (tr *Tracker) quarantine(now time.Duration, r *record) bool {
	if tr.fleet.Node(r.worker) == nil || len(tr.quarantined) >= tr.maxQuarantined() {
		return false
	}
	if now-r.quarantinedAt >= backoffResetDelay {
		r.quarantines = 0
	}
	r.quarantined = true
	r.probation = false
	r.quarantinedAt = now
	// The limit of 16 keeps the shift from overflowing; firstDuration<<16 exceeds maxDuration.
	r.until = now + min(firstDuration<<min(r.quarantines, 16), maxDuration)
	r.quarantines++
	tr.quarantined = append(tr.quarantined, r)
	tr.setReason(r, fleet.ReasonProbation, false)
	tr.setReason(r, fleet.ReasonQuarantined, true)
	return true
}

// maxQuarantined returns how many workers may be in quarantine at once.
func (tr *Tracker) maxQuarantined() int {
	return max(1, int(maxQuarantinedRatio*float64(len(tr.fleet.Nodes()))))
}

// Tick puts workers whose quarantine has ended on probation, and deletes the records
// of quarantined workers that are no longer in the fleet.
func (tr *Tracker) Tick(now time.Duration) {
	tr.quarantined = slices.DeleteFunc(tr.quarantined, func(r *record) bool {
		if tr.fleet.Node(r.worker) == nil {
			delete(tr.records, r.worker)
			return true
		}
		if now < r.until {
			return false
		}
		r.quarantined = false
		r.probation = true
		r.successes = 0
		r.evidence = 0
		clear(r.byJob)
		tr.setReason(r, fleet.ReasonQuarantined, false)
		tr.setReason(r, fleet.ReasonProbation, true)
		return true
	})
}

// updateProbation ends a probation after enough successes. It quarantines the worker
// again, and returns true, when a task fails and the evidence is at least half of
// evidenceThreshold, that is, when jobs fail there that succeed on other workers.
func (tr *Tracker) updateProbation(now time.Duration, r *record, failed bool) bool {
	if failed && r.evidence >= evidenceThreshold/2 {
		return tr.quarantine(now, r)
	}
	if failed {
		return false
	}
	r.successes++
	if r.successes >= probationSuccesses {
		r.probation = false
		tr.setReason(r, fleet.ReasonProbation, false)
	}
	return false
}

// Remove deletes the record of a worker that was removed from the fleet.
func (tr *Tracker) Remove(worker model.WorkerID) {
	delete(tr.records, worker)
	tr.quarantined = slices.DeleteFunc(tr.quarantined, func(r *record) bool { return r.worker == worker })
}

// Quarantined returns the number of workers in quarantine.
func (tr *Tracker) Quarantined() int { return len(tr.quarantined) }

func (tr *Tracker) record(worker model.WorkerID) *record {
	r := tr.records[worker]
	if r == nil {
		r = &record{worker: worker}
		tr.records[worker] = r
	}
	return r
}

// setReason adds or removes a reason of the worker in the fleet. It ignores the error
// for a worker that was removed.
func (tr *Tracker) setReason(r *record, reason fleet.Reason, on bool) {
	_ = tr.fleet.SetReasons(r.worker, reason, on)
}
