// Package jobs keeps the jobs that were accepted for later execution. A job is
// accepted once its record is in the log. Every instance replays the same records;
// the owner of a job's shard runs the job's tasks and records which of them ended.
package jobs

import (
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/requests"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Ownership provides the shards that this instance owns.
type Ownership interface {
	OwnedTerm(model.Shard) (term uint64, ok bool)
}

// Tasks runs the tasks of jobs.
type Tasks interface {
	// AddTask queues a task of an accepted job. If check is set, a previous owner of the
	// shard may have started the task, so it is located first.
	AddTask(job model.Job, index int, check bool)
	// CancelTask cancels a task of a job.
	CancelTask(id model.TaskID)
	// RemoveTask removes an ended task.
	RemoveTask(id model.TaskID)
	// Reply sends a caller its answer.
	Reply(c requests.Caller, a model.Answer)
	// ExplainWait returns, as JSON, why the first waiting task of ids waits.
	ExplainWait(ids []model.TaskID) []byte
	// Phases counts the tasks of ids that wait and those that run.
	Phases(ids []model.TaskID) (waiting, running int)
}

// Service is the jobs service.
type Service struct {
	env       *event.Env
	ownership Ownership
	tasks     Tasks

	jobs    map[key]*job
	order   []key // keys of jobs in order of acceptance
	pending map[key]*pendingJob
	appends map[uint64][]key // append id to the jobs submitted or canceled with it
	ended   map[key]*endedTasks
	flushAt time.Duration       // earliest time of the next append of progress records
	flushID uint64              // append id of the progress records in flight, 0 when there are none
	flushed map[key]*endedTasks // ended tasks in the progress records in flight
}

type key struct {
	team model.TeamID
	id   model.JobID
}

// job is the state of a job, built from its records.
type job struct {
	spec     model.Job
	ended    map[int]bool // ended tasks: index to whether the task succeeded
	failed   int
	canceled bool
	endedAt  time.Duration
}

// pendingJob is a job whose acceptance or cancellation has not been read back from
// the log yet, with the callers that wait for it.
type pendingJob struct {
	callers  []requests.Caller
	deadline time.Duration
}

const (
	pendingTimeout = 5 * time.Second
	flushInterval  = time.Second
	flushTimeout   = 5 * time.Second
	retryAfter     = time.Second
)

// New returns the jobs service.
func New(env *event.Env) *Service {
	return &Service{
		env:     env,
		jobs:    make(map[key]*job),
		pending: make(map[key]*pendingJob),
		appends: make(map[uint64][]key),
		ended:   make(map[key]*endedTasks),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Jobs }

// Bind looks up the services that this one uses. It returns an error when one is missing.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	s.tasks, err = kernel.Find[Tasks](k, service.Requests)
	return err
}

func keyOf(j model.Job) key { return key{j.Template.Team, j.ID} }

func (k key) shard() model.Shard { return model.ShardOfRequest(k.team, string(k.id)) }

// Submit appends a job's record. The caller gets the answer once the record has been
// read back.
func (s *Service) Submit(c requests.Caller, spec model.Job) {
	k := keyOf(spec)
	if j, ok := s.jobs[k]; ok {
		s.tasks.Reply(c, s.submissionAnswer(k, j, spec))
		return
	}
	p, ok := s.pending[k]
	if !ok {
		p = &pendingJob{deadline: s.env.Now() + pendingTimeout}
		s.pending[k] = p
		id := s.env.Append(wire.JobAccepted{Job: spec})
		s.appends[id] = append(s.appends[id], k)
	}
	p.callers = append(p.callers, c)
}

// submissionAnswer returns the answer to the submission of a job that is in the log.
func (s *Service) submissionAnswer(k key, j *job, spec model.Job) model.Answer {
	if j.spec.Count != spec.Count || string(j.spec.Template.Payload) != string(spec.Template.Payload) {
		return model.Refusal(string(k.id), verdict.Refuse(verdict.CodeConflict, "the id was used for another job"))
	}
	return s.statusAnswer(k, j)
}

// OnRecord applies the records of jobs.
func (s *Service) OnRecord(_ uint64, r wire.Record) {
	switch r := r.(type) {
	case wire.JobAccepted:
		s.accept(r.Job)
	case wire.JobProgress:
		s.progress(key{r.Team, r.Job}, r)
	case wire.JobCanceled:
		s.cancel(key{r.Team, r.Job})
	}
}

func (s *Service) accept(spec model.Job) {
	k := keyOf(spec)
	j, known := s.jobs[k]
	if !known {
		j = &job{spec: spec, ended: make(map[int]bool)}
		s.jobs[k] = j
		s.order = append(s.order, k)
		if _, owned := s.ownership.OwnedTerm(k.shard()); owned {
			s.addTasks(j, false)
		}
	}
	if p, ok := s.pending[k]; ok {
		delete(s.pending, k)
		for _, c := range p.callers {
			s.tasks.Reply(c, s.submissionAnswer(k, j, j.spec))
		}
	}
}

// addTasks queues the tasks that have not ended.
func (s *Service) addTasks(j *job, check bool) {
	for i := range j.spec.Count {
		if _, ended := j.ended[i]; !ended {
			s.tasks.AddTask(j.spec, i, check)
		}
	}
}

func (s *Service) progress(k key, r wire.JobProgress) {
	j, ok := s.jobs[k]
	if !ok {
		return
	}
	for _, i := range r.Done {
		s.endTask(j, i, true)
	}
	for _, i := range r.Failed {
		s.endTask(j, i, false)
	}
	if len(j.ended) == j.spec.Count && j.endedAt == 0 {
		j.endedAt = max(s.env.Now(), 1)
	}
}

func (s *Service) endTask(j *job, index int, success bool) {
	if _, ended := j.ended[index]; ended {
		return
	}
	j.ended[index] = success
	if !success {
		j.failed++
	}
	s.tasks.RemoveTask(taskOf(j.spec, index))
}

func taskOf(spec model.Job, index int) model.TaskID {
	return model.TaskIDOf(spec.Template.Team, string(spec.ID), index)
}

func (s *Service) cancel(k key) {
	j, ok := s.jobs[k]
	if !ok || j.canceled {
		return
	}
	j.canceled = true
	if p, waits := s.pending[k]; waits {
		delete(s.pending, k)
		for _, c := range p.callers {
			s.tasks.Reply(c, s.statusAnswer(k, j))
		}
	}
	if _, owned := s.ownership.OwnedTerm(k.shard()); owned {
		s.cancelTasks(j)
	}
}

func (s *Service) cancelTasks(j *job) {
	for i := range j.spec.Count {
		if _, ended := j.ended[i]; !ended {
			s.tasks.CancelTask(taskOf(j.spec, i))
		}
	}
}

// OnShardMoved takes over the jobs of a shard that this instance now owns. The
// previous owner may have started their tasks.
func (s *Service) OnShardMoved(m service.ShardMove) {
	if m.After != s.env.SelfRef() {
		return
	}
	for _, k := range s.order {
		j := s.jobs[k]
		if k.shard() != m.Shard || j.endedAt > 0 {
			continue
		}
		s.addTasks(j, true)
		if j.canceled {
			s.cancelTasks(j)
		}
	}
}

// refuse answers the callers that wait for a pending job with an error.
func (s *Service) refuse(k key, e *verdict.Error) {
	p, ok := s.pending[k]
	if !ok {
		return
	}
	delete(s.pending, k)
	for _, c := range p.callers {
		s.tasks.Reply(c, model.Refusal(string(k.id), e))
	}
}

// expirePending answers the callers of pending jobs whose deadline has passed: the
// record may or may not be in the log.
func (s *Service) expirePending(now time.Duration) {
	for _, k := range sortedKeys(s.pending) {
		if now >= s.pending[k].deadline {
			e := verdict.Refuse(verdict.CodeInDoubt, "the job may be in the log; submit it again with the same id").WithRetryAfter(retryAfter)
			e.Verdict = verdict.MayHaveRun
			s.refuse(k, e)
		}
	}
}

// removeOldJobs removes jobs that ended longer ago than Timing.Retention.
func (s *Service) removeOldJobs(now time.Duration) {
	s.order = slices.DeleteFunc(s.order, func(k key) bool {
		j := s.jobs[k]
		if j.endedAt == 0 || now-j.endedAt <= s.env.Timing.Retention {
			return false
		}
		delete(s.jobs, k)
		return true
	})
}

// Cancel starts the cancellation of a job. It reports whether the job exists.
func (s *Service) Cancel(c requests.Caller, team model.TeamID, id model.JobID) bool {
	k := key{team, id}
	j, ok := s.jobs[k]
	if !ok {
		return false
	}
	if j.canceled || j.endedAt > 0 {
		s.tasks.Reply(c, s.statusAnswer(k, j))
		return true
	}
	p, waits := s.pending[k]
	if !waits {
		p = &pendingJob{deadline: s.env.Now() + pendingTimeout}
		s.pending[k] = p
		appendID := s.env.Append(wire.JobCanceled{Team: team, Job: id})
		s.appends[appendID] = append(s.appends[appendID], k)
	}
	p.callers = append(p.callers, c)
	return true
}
