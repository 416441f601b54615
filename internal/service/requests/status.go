package requests

import (
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

func (s *Service) status(from wire.InstanceRef, f wire.Forward) {
	w := waiter{from: from, handle: f.Handle}
	if a, ok := s.jobs.Status(f.Team, model.JobID(f.Request.ID), f.Request.Why); ok {
		s.reply(w, a)
		return
	}
	e, ok := s.entries[model.TaskIDOf(f.Team, f.Request.ID, 0)]
	if !ok {
		s.refuse(from, f, s.notFound(f))
		return
	}
	if e.phase == phaseFinished {
		s.reply(w, e.answer)
		return
	}
	a := model.Answer{ID: e.id, Verdict: verdict.Pending, Message: e.phase.String(), Worker: e.worker}
	if f.Request.Why {
		a.Body = s.explainWait(e)
	}
	s.reply(w, a)
}

// notFound returns the answer for an id without an entry. The verdict is "not run"
// only if that is certain.
func (s *Service) notFound(f wire.Forward) *verdict.Error {
	shard := model.ShardOfRequest(f.Team, f.Request.ID)
	e := verdict.Refuse(verdict.CodeNotFound, "no request with this id is remembered")
	if !s.neverSeen(f.Request.ID, shard) {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// String returns the phase as shown in status answers.
func (p phase) String() string {
	switch p {
	case phaseLocating:
		return "checking whether it ran before"
	case phaseWaiting:
		return "waiting"
	case phaseDispatched:
		return "starting"
	case phaseRunning:
		return "running"
	case phaseBackoff:
		return "waiting to run again"
	case phaseGang:
		return "waiting to start with its gang"
	}
	return "finished"
}

func (s *Service) cancel(from wire.InstanceRef, f wire.Forward) {
	if s.jobs.Cancel(Caller{From: from, Handle: f.Handle}, f.Team, model.JobID(f.Request.ID)) {
		return
	}
	e, ok := s.entries[model.TaskIDOf(f.Team, f.Request.ID, 0)]
	if !ok {
		s.refuse(from, f, s.notFound(f))
		return
	}
	w := waiter{from: from, handle: f.Handle, deadline: s.env.Now() + f.Request.Timeout}
	switch e.phase {
	case phaseFinished:
		s.reply(w, e.answer)
	case phaseWaiting, phaseBackoff:
		e.waiters = append(e.waiters, w)
		s.finish(e, s.notStarted(e, verdict.CodeCanceled, "canceled before it was started"))
	default:
		e.canceled = true
		e.waiters = append(e.waiters, w)
		s.stop(e)
	}
}

func (s *Service) stop(e *entry) { s.stopWithMode(e, platform.StopKill) }
