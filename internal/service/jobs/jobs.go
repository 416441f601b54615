// Package jobs keeps the jobs that were accepted for later execution. A job is
// accepted once its record is in the log. Every instance replays the same records;
// the owner of a job's shard runs its tasks and records which of them ended.
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
	// AddTask queues a task of an accepted job. With check set, a previous owner of the
	// shard may have started it.
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

	jobs        map[key]*job
	order       []key // keys of jobs in order of acceptance
	submissions map[key]*submission
	appends     map[uint64][]key // append id to the jobs submitted or canceled with it
	ended       map[key]*endedTasks
	flushAt     time.Duration
	flushID     uint64
	flushed     map[key]*endedTasks // in the progress records of the append in flight
}

type key struct {
	team model.TeamID
	id   model.JobID
}

// job is the state of a job, built from its records.
type job struct {
	spec     model.Job
	done     map[int]bool // task index to success
	failed   int
	canceled bool
	endedAt  time.Duration
}

// submission is a job whose acceptance or cancellation has not been read back from
// the log yet.
type submission struct {
	callers  []requests.Caller
	deadline time.Duration
}

const (
	submitTimeout = 5 * time.Second
	flushInterval = time.Second
	flushTimeout  = 5 * time.Second
	retryAfter    = time.Second
)

// New returns the jobs service.
func New(env *event.Env) *Service {
	return &Service{
		env:         env,
		jobs:        make(map[key]*job),
		submissions: make(map[key]*submission),
		appends:     make(map[uint64][]key),
		ended:       make(map[key]*endedTasks),
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
	w, ok := s.submissions[k]
	if !ok {
		w = &submission{deadline: s.env.Now() + submitTimeout}
		s.submissions[k] = w
		id := s.env.Append(wire.JobAccepted{Job: spec})
		s.appends[id] = append(s.appends[id], k)
	}
	w.callers = append(w.callers, c)
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
		j = &job{spec: spec, done: make(map[int]bool)}
		s.jobs[k] = j
		s.order = append(s.order, k)
		if _, owned := s.ownership.OwnedTerm(k.shard()); owned {
			s.addTasks(j, false)
		}
	}
	if w, ok := s.submissions[k]; ok {
		delete(s.submissions, k)
		for _, c := range w.callers {
			s.tasks.Reply(c, s.submissionAnswer(k, j, j.spec))
		}
	}
}

// addTasks passes the tasks that have not ended to the coordinator.
func (s *Service) addTasks(j *job, check bool) {
	for i := range j.spec.Count {
		if _, ended := j.done[i]; !ended {
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
	if len(j.done) == j.spec.Count && j.endedAt == 0 {
		j.endedAt = max(s.env.Now(), 1)
	}
}

func (s *Service) endTask(j *job, index int, success bool) {
	if _, ended := j.done[index]; ended {
		return
	}
	j.done[index] = success
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
	if w, waits := s.submissions[k]; waits {
		delete(s.submissions, k)
		for _, c := range w.callers {
			s.tasks.Reply(c, s.statusAnswer(k, j))
		}
	}
	if _, owned := s.ownership.OwnedTerm(k.shard()); owned {
		s.cancelTasks(j)
	}
}

func (s *Service) cancelTasks(j *job) {
	for i := range j.spec.Count {
		if _, ended := j.done[i]; !ended {
			s.tasks.CancelTask(taskOf(j.spec, i))
		}
	}
}

// OnShardMoved takes over the jobs of a shard that this instance now owns. The
// previous owner may have started their tasks.
func (s *Service) OnShardMoved(m service.ShardMove) {
	if m.After != s.env.Owner() {
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

func (s *Service) refuse(k key, e *verdict.Error) {
	w, ok := s.submissions[k]
	if !ok {
		return
	}
	delete(s.submissions, k)
	for _, c := range w.callers {
		s.tasks.Reply(c, model.Refusal(string(k.id), e))
	}
}

func (s *Service) expireSubmissions(now time.Duration) {
	for _, k := range sortedKeys(s.submissions) {
		if now >= s.submissions[k].deadline {
			e := verdict.Refuse(verdict.CodeInDoubt, "the job may be in the log; submit it again with the same id").WithRetryAfter(retryAfter)
			e.Verdict = verdict.MayHaveRun
			s.refuse(k, e)
		}
	}
}

// forgetOld removes jobs that ended longer ago than the retention time.
func (s *Service) forgetOld(now time.Duration) {
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
	w, waits := s.submissions[k]
	if !waits {
		w = &submission{deadline: s.env.Now() + submitTimeout}
		s.submissions[k] = w
		appendID := s.env.Append(wire.JobCanceled{Team: team, Job: id})
		s.appends[appendID] = append(s.appends[appendID], k)
	}
	w.callers = append(w.callers, c)
	return true
}
