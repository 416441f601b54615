package requests

import (
	"cmp"
	"encoding/json"
	"slices"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Caller identifies a caller that waits for an answer, by its gateway and the
// gateway's handle.
type Caller struct {
	From   wire.InstanceRef
	Handle uint64
}

// Jobs stores accepted jobs and tracks their progress.
type Jobs interface {
	Submit(c Caller, job model.Job)
	// Status returns the status of a job, with the reason for a wait if why is set. It
	// returns false if there is no such job.
	Status(team model.TeamID, id model.JobID, why bool) (model.Answer, bool)
	// Cancel starts to cancel a job. It reports whether the job exists.
	Cancel(c Caller, team model.TeamID, id model.JobID) bool
	// TaskEnded records the final answer for a task of a job.
	TaskEnded(t model.Task, a model.Answer)
}

const maxTasksPerJob = 100000

// submit builds a job and passes it to the jobs service for acceptance.
func (s *Service) submit(from wire.InstanceRef, f wire.Forward) {
	job, refusal := s.buildJob(f)
	if refusal != nil {
		s.refuse(from, f, refusal)
		return
	}
	s.jobs.Submit(Caller{From: from, Handle: f.Handle}, job)
}

func (s *Service) buildJob(f wire.Forward) (model.Job, *verdict.Error) {
	job := model.Job{ID: model.JobID(f.Request.ID), Count: max(f.Request.Count, 1)}
	if job.Count > maxTasksPerJob {
		return job, verdict.Refuse(verdict.CodeBadRequest, "count must be at most %d", maxTasksPerJob)
	}
	t, refusal := s.buildTask("", f)
	if refusal != nil {
		return job, refusal
	}
	t.Kind = cmp.Or(f.Request.Task.Kind, model.KindBatch)
	t.Job = job.ID
	if f.Request.Service == "" {
		t.Repeatable = true
	}
	if refusal := s.checkGang(&t, job.Count); refusal != nil {
		return job, refusal
	}
	if !s.fitsListedWorker(&t) {
		return job, verdict.Refuse(verdict.CodeNeverFits, "no listed worker could ever run this: demand %+v, selector %+v", t.Demand, t.Require)
	}
	job.Template = t
	return job, nil
}

// AddTask queues a task of an accepted job. If mayHaveStarted is set, the task may have
// been started under an earlier owner of the job's shard and is located first.
func (s *Service) AddTask(job model.Job, index int, mayHaveStarted bool) {
	t := job.Template
	t.ID = model.TaskIDOf(t.Team, string(job.ID), index)
	t.Index = index
	if e, ok := s.entries[t.ID]; ok {
		alreadyFinished := e.task.Kind == model.KindGang && e.phase == phaseFinished
		e.task = t
		if t.Kind == model.KindGang && e.gang == nil {
			s.joinGang(e, job)
			if !alreadyFinished {
				s.startLocate(e)
			}
		}
		if t.Kind != model.KindGang && e.phase == phaseFinished {
			s.jobs.TaskEnded(t, e.answer)
		}
		return
	}
	e := &entry{
		id: string(job.ID), task: t, base: t.ID, shard: model.ShardOfTask(t.ID), run: 1,
		receivedAt: s.env.Now(), firstReceivedAt: s.env.Now(),
	}
	s.entries[t.ID] = e
	if t.Kind == model.KindGang {
		s.joinGang(e, job)
	}
	if mayHaveStarted {
		s.startLocate(e)
		return
	}
	s.enqueue(e)
}

// CancelTask cancels a job's task that has not finished.
func (s *Service) CancelTask(id model.TaskID) {
	e, ok := s.entries[id]
	if !ok || e.phase == phaseFinished {
		return
	}
	e.canceled = true
	if e.phase == phaseWaiting || e.phase == phaseBackoff || e.phase == phaseGang {
		s.finish(e, s.notStarted(e, verdict.CodeCanceled, "canceled before it was started"))
		return
	}
	s.stop(e)
}

// RemoveTask removes the entry of a job's finished task.
func (s *Service) RemoveTask(id model.TaskID) {
	if e, ok := s.entries[id]; ok && e.phase == phaseFinished {
		delete(s.entries, id)
	}
}

// Reply sends an answer to a caller.
func (s *Service) Reply(c Caller, a model.Answer) {
	s.reply(waiter{from: c.From, handle: c.Handle}, a)
}

// Reason explains why a request waits. It is sent to callers as JSON.
type Reason struct {
	Phase       string                `json:"phase"`
	TeamWaiting int                   `json:"team_waiting"`        // tasks of the team that wait at this instance
	TeamLevel   float64               `json:"team_level"`          // dominant share of the team divided by its configured share
	AtLimit     bool                  `json:"at_limit"`            // a holder recently refused it because of the team's upper limit
	Here        scheduler.Explanation `json:"here"`                // counted by filter, on the workers held here
	GangHeld    int                   `json:"gang_held,omitempty"` // tasks of its gang held at the end of the last round
	GangSize    int                   `json:"gang_size,omitempty"`
}

// explainWait returns the Reason of an entry as JSON, or nil if it cannot be encoded.
func (s *Service) explainWait(e *entry) []byte {
	r := Reason{
		Phase: e.phase.String(), TeamWaiting: s.queue.Waiting(e.task.Team),
		TeamLevel: s.queue.Accounts.Account(e.task.Team).WeightedShare(), Here: s.ledger.Explain(&e.task),
	}
	for _, ref := range s.members.Live() {
		r.AtLimit = r.AtLimit || s.recentlyRefused(ref.Instance, e.task.Team)
	}
	if g := e.gang; g != nil {
		r.AtLimit = r.AtLimit || g.limited
		r.GangHeld, r.GangSize = g.heldLastRound, g.count
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return body
}

// ExplainWait returns the Reason of the first waiting task among ids as JSON, or nil if none
// waits.
func (s *Service) ExplainWait(ids []model.TaskID) []byte {
	i := slices.IndexFunc(ids, func(id model.TaskID) bool {
		e, ok := s.entries[id]
		return ok && (e.phase == phaseWaiting || e.phase == phaseGang)
	})
	if i < 0 {
		return nil
	}
	return s.explainWait(s.entries[ids[i]])
}

// Phases returns how many of a job's tasks wait and how many are dispatched or running.
func (s *Service) Phases(ids []model.TaskID) (waiting, running int) {
	for _, id := range ids {
		e, ok := s.entries[id]
		switch {
		case !ok || e.phase == phaseFinished:
		case e.phase == phaseRunning || e.phase == phaseDispatched:
			running++
		default:
			waiting++
		}
	}
	return waiting, running
}
