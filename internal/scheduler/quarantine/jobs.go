package quarantine

import "pollenbend/internal/model"

const (
	// maxJobs bounds the jobs whose record is kept; the oldest are forgotten.
	maxJobs = 8192
	// maxWorkersByJob bounds the workers kept in one job's record.
	maxWorkersByJob = 32
	// maxJobsByWorker bounds the jobs counted once against one worker.
	maxJobsByWorker = 32
	// priorRate and priorWeight stand for what is assumed of an unknown job: the
	// rate at which it fails and the number of workers that is worth.
	priorRate   = 0.1
	priorWeight = 2
)

// jobKey names what is compared between workers: a job, or a service of a team.
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

// jobRecord holds the last outcome of a job on each of some workers. Each worker
// counts once, so one that fails fast doesn't spoil the record.
type jobRecord struct {
	workers [maxWorkersByJob]outcome
	size    int
	next    int
}

type outcome struct {
	worker model.WorkerID
	failed bool
}

func (j *jobRecord) note(worker model.WorkerID, failed bool) {
	for i := range j.size {
		if j.workers[i].worker == worker {
			j.workers[i].failed = failed
			return
		}
	}
	if j.size < maxWorkersByJob {
		j.workers[j.size] = outcome{worker, failed}
		j.size++
		return
	}
	j.workers[j.next] = outcome{worker, failed}
	j.next = (j.next + 1) % maxWorkersByJob
}

// failureRate returns how often the job fails on workers other than one, and
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

// jobTable keeps the records of the jobs seen last.
type jobTable struct {
	records map[jobKey]*jobRecord
	order   []jobKey
}

func newJobTable() *jobTable { return &jobTable{records: make(map[jobKey]*jobRecord)} }

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
