package quarantine

import "pollenbend/internal/model"

const (
	// maxJobs is the maximum number of jobs with a record. The oldest record is
	// deleted first.
	maxJobs = 8192
	// maxWorkersPerJob is the maximum number of workers in one job's record.
	maxWorkersPerJob = 32
	// maxJobsPerWorker is the maximum number of jobs without a success on another worker
	// that count against a worker, each once.
	maxJobsPerWorker = 32
	// priorRate is the assumed failure rate of an unknown job. It weighs as much as the
	// outcomes on priorWeight workers.
	priorRate   = 0.1
	priorWeight = 2
)

// jobKey identifies what is compared between workers: a job, or, for tasks without a
// job, a team's service.
type jobKey struct {
	team    model.TeamID
	job     model.JobID
	service string
}

func keyOf(t *model.Task) jobKey {
	if t.Job != "" {
		return jobKey{team: t.Team, job: t.Job}
	}
	return jobKey{team: t.Team, service: t.Service}
}

// jobRecord holds the last outcome of a job on each of the last workers that ran it.
// Each worker counts once, because a broken one that fails fast would otherwise
// dominate the failure rate.
type jobRecord struct {
	workers [maxWorkersPerJob]outcome
	size    int // used entries of workers
	next    int // entry to overwrite next when all are used
}

// outcome is the last outcome of a job on a worker.
type outcome struct {
	worker model.WorkerID
	failed bool
}

// setOutcome records the last outcome on a worker.
func (j *jobRecord) setOutcome(worker model.WorkerID, failed bool) {
	for i := range j.size {
		if j.workers[i].worker == worker {
			j.workers[i].failed = failed
			return
		}
	}
	if j.size < maxWorkersPerJob {
		j.workers[j.size] = outcome{worker, failed}
		j.size++
		return
	}
	j.workers[j.next] = outcome{worker, failed}
	j.next = (j.next + 1) % maxWorkersPerJob
}

// failureRate returns the job's failure rate on all recorded workers but except, and
// whether it has succeeded on any of them.
func (j *jobRecord) failureRate(except model.WorkerID) (rate float64, succeeded bool) {
	tried, failed := 0, 0
	for _, o := range j.workers[:j.size] {
		if o.worker == except {
			continue
		}
		tried++
		if o.failed {
			failed++
		}
	}
	rate = (float64(failed) + priorRate*priorWeight) / float64(tried+priorWeight)
	return rate, failed < tried
}

// jobTable keeps the records of at most maxJobs jobs.
type jobTable struct {
	records map[jobKey]*jobRecord
	order   []jobKey // in the order of the first outcome
}

func newJobTable() *jobTable { return &jobTable{records: make(map[jobKey]*jobRecord)} }

// get returns a job's record and creates it if it doesn't exist.
func (t *jobTable) get(key jobKey) *jobRecord {
	if r := t.records[key]; r != nil {
		return r
	}
	if len(t.order) >= maxJobs {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
	r := &jobRecord{}
	t.records[key] = r
	t.order = append(t.order, key)
	return r
}
