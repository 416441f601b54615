// Package quarantine puts workers aside that fail what other workers run. Each
// outcome is weighed against the job's own record on other workers, so that a job
// that fails everywhere condemns nobody. A worker put aside is tried again later,
// one task at a time.
package quarantine

import (
	"math"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

const (
	// threshold is the evidence, as a logarithm of a likelihood ratio, at which a
	// worker is put aside.
	threshold = 15.0
	// badRate is how often a broken worker fails.
	badRate = 0.95
	// maxPart is the part of the fleet that may be aside at one time.
	maxPart = 0.05
	// firstStay is the length of the first quarantine; each further one is twice
	// as long, up to maxStay.
	firstStay = time.Minute
	maxStay   = time.Hour
	// probationSuccesses end a probation.
	probationSuccesses = 3
	// forgiveAfter is the time without a new quarantine after which the next one
	// is short again.
	forgiveAfter = 6 * time.Hour
)

// record is the evidence against one worker.
type record struct {
	worker    model.WorkerID
	evidence  float64
	byJob     map[jobKey]float64 // evidence of jobs that succeeded nowhere yet
	aside     bool
	probation bool
	successes int
	stays     int
	since     time.Duration // of the last quarantine
	until     time.Duration
}

// Keeper watches outcomes and puts workers aside in a fleet.
type Keeper struct {
	fleet   *fleet.Fleet
	records map[model.WorkerID]*record
	aside   []*record // in the order put aside
	jobs    *jobTable
}

// New returns a keeper for a fleet.
func New(f *fleet.Fleet) *Keeper {
	return &Keeper{fleet: f, records: make(map[model.WorkerID]*record), jobs: newJobTable()}
}

// Observe notes the outcome of a task that ran to its end. Tasks that were
// stopped say nothing about a worker. It reports whether the worker was put aside.
func (k *Keeper) Observe(now time.Duration, worker model.WorkerID, t *model.Task, failed bool) bool {
	key := keyOf(t)
	job := k.jobs.get(key)
	r := k.record(worker)
	if failed {
		k.addFailure(r, key, job)
	} else {
		k.addSuccess(r, job)
	}
	job.note(worker, failed)
	if r.probation {
		return k.judgeProbation(now, r, failed)
	}
	if r.evidence < threshold || r.aside {
		return false
	}
	return k.putAside(now, r)
}

// addFailure adds evidence. A job that has succeeded on no other worker adds to
// it once only.
func (k *Keeper) addFailure(r *record, key jobKey, job *jobRecord) {
	rate, succeeded := job.failureRate(r.worker)
	weight := max(0, math.Log(badRate/rate))
	if succeeded {
		r.evidence += weight
		return
	}
	if r.byJob == nil {
		r.byJob = make(map[jobKey]float64)
	}
	if _, counted := r.byJob[key]; !counted && len(r.byJob) < maxJobsByWorker {
		r.byJob[key] = weight
		r.evidence += weight
	}
}

// addSuccess takes evidence away.
func (k *Keeper) addSuccess(r *record, job *jobRecord) {
	rate, _ := job.failureRate(r.worker)
	r.evidence = max(0, r.evidence+math.Log((1-badRate)/(1-rate)))
	if r.evidence == 0 {
		clear(r.byJob)
	}
}

func (k *Keeper) putAside(now time.Duration, r *record) bool {
	if k.fleet.Node(r.worker) == nil || len(k.aside) >= k.most() {
		return false
	}
	if now-r.since >= forgiveAfter {
		r.stays = 0
	}
	r.aside = true
	r.probation = false
	r.since = now
	r.until = now + min(firstStay<<min(r.stays, 16), maxStay)
	r.stays++
	k.aside = append(k.aside, r)
	k.set(r, fleet.ReasonProbation, false)
	k.set(r, fleet.ReasonQuarantined, true)
	return true
}

// most returns how many workers may be aside.
func (k *Keeper) most() int {
	return max(1, int(maxPart*float64(len(k.fleet.Nodes()))))
}

// Tick starts the probation of workers whose quarantine is over, and forgets
// workers that are gone.
func (k *Keeper) Tick(now time.Duration) {
	k.aside = slices.DeleteFunc(k.aside, func(r *record) bool {
		if k.fleet.Node(r.worker) == nil {
			delete(k.records, r.worker)
			return true
		}
		if now < r.until {
			return false
		}
		r.aside = false
		r.probation = true
		r.successes = 0
		r.evidence = 0
		clear(r.byJob)
		k.set(r, fleet.ReasonQuarantined, false)
		k.set(r, fleet.ReasonProbation, true)
		return true
	})
}

// judgeProbation ends a probation after enough successes, and puts the worker
// aside again when a job fails there that others run.
func (k *Keeper) judgeProbation(now time.Duration, r *record, failed bool) bool {
	if failed && r.evidence >= threshold/2 {
		return k.putAside(now, r)
	}
	if failed {
		return false
	}
	r.successes++
	if r.successes >= probationSuccesses {
		r.probation = false
		k.set(r, fleet.ReasonProbation, false)
	}
	return false
}

// Forget drops what is known of a worker that is gone.
func (k *Keeper) Forget(worker model.WorkerID) {
	delete(k.records, worker)
	k.aside = slices.DeleteFunc(k.aside, func(r *record) bool { return r.worker == worker })
}

// Aside returns the number of workers in quarantine.
func (k *Keeper) Aside() int { return len(k.aside) }

func (k *Keeper) record(worker model.WorkerID) *record {
	r := k.records[worker]
	if r == nil {
		r = &record{worker: worker}
		k.records[worker] = r
	}
	return r
}

// set changes a reason. The worker may be gone, which is no fault.
func (k *Keeper) set(r *record, reason fleet.Reason, on bool) {
	_ = k.fleet.SetUnschedulable(r.worker, reason, on)
}
