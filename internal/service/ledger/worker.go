package ledger

import (
	"fmt"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// worker is one held worker.
type worker struct {
	info        model.Worker
	term        uint64
	leasedUntil time.Duration // on this instance's clock, 0 when not leased
	known       bool          // the full report of this lease is in
	needFull    bool
	inFlight    bool
	nextAt      time.Duration
	retry       time.Duration
	seq         uint64 // last command sequence number used
	since       uint64 // last event seen
	incarnation model.Incarnation
	bornAt      time.Duration // when this incarnation began, at the latest
	used        model.Resources
	fence       uint64 // last command sequence number that a full report fenced
}

const (
	// forgetInterval is the time between looks for what is past its retention.
	forgetInterval = time.Second
	minRenewRetry  = 100 * time.Millisecond
	maxRenewRetry  = 2 * time.Second
	// leaseMargin is the part of a lease, in percent, on which the holder relies.
	// The rest covers the drift between the two clocks.
	leaseMargin = 95
)

// leased reports whether the worker's state is known and its lease runs.
func (w *worker) leased(now time.Duration) bool { return w.known && now < w.leasedUntil }

func (w *worker) leaseLost() {
	w.known = false
	w.leasedUntil = 0
	w.needFull = true
	w.nextAt = 0
}

func (s *Service) leaseRef(w *worker) platform.LeaseRef {
	return platform.LeaseRef{Holder: s.env.Self.ID, Incarnation: s.env.Self.Incarnation, Term: w.term}
}

// OnTick renews leases and forgets what is past its retention.
func (s *Service) OnTick() {
	now := s.env.Now()
	s.freshness.note(now)
	for _, id := range s.order {
		w := s.workers[id]
		s.checkLapse(w, now)
		if !w.inFlight && now >= w.nextAt {
			s.renew(w)
		}
	}
	s.startPending()
	s.place.keeper.Tick(now)
	s.place.scheduler.Fleet.ExpireHolds(now)
	if now >= s.forgetAt {
		s.forgetAt = now + forgetInterval
		s.forgetOld(now)
	}
	s.refreshCoverage()
}

// checkLapse stops relying on a lease that was not renewed in time.
func (s *Service) checkLapse(w *worker, now time.Duration) {
	if w.known && now >= w.leasedUntil {
		w.leaseLost()
		s.place.setLease(w.info.ID, false)
		s.env.Note(event.Note{Kind: "lease-lapsed", Subject: "worker/" + string(w.info.ID)})
	}
}

func (s *Service) renew(w *worker) {
	full := w.needFull || !w.known
	req := platform.RenewRequest{
		Lease:    s.leaseRef(w),
		Duration: s.env.Timing.WorkerLease,
		Full:     full,
		Since:    w.since,
	}
	if full {
		req.Fence = w.seq
		w.fence = w.seq
		w.needFull = false
	} else {
		req.Wait = s.env.Timing.WorkerLease / 4
	}
	w.inFlight = true
	s.env.Emit(event.Renew{Worker: w.info, Request: req})
}

// OnRenewDone takes over what a worker reports.
func (s *Service) OnRenewDone(d event.RenewDone) {
	w, ok := s.workers[d.Worker]
	if !ok || d.Lease != s.leaseRef(w) {
		return
	}
	w.inFlight = false
	if d.Failed || !d.Reply.Granted {
		w.needFull = w.needFull || d.Full
		s.delayRenew(w)
		return
	}
	w.retry = 0
	w.nextAt = s.env.Now()
	w.leasedUntil = d.SentAt + s.env.Timing.WorkerLease*leaseMargin/100
	w.bornAt = s.env.Now() - d.Reply.Uptime
	restarted := w.incarnation != d.Reply.Incarnation
	w.incarnation = d.Reply.Incarnation
	switch {
	case d.Full:
		s.rebuild(w, d.Reply)
	case restarted:
		w.leaseLost()
	default:
		s.takeOutcomes(w, d.Reply)
	}
	s.place.setLease(w.info.ID, w.leased(s.env.Now()))
	s.startPending()
	if !w.inFlight {
		s.renew(w)
	}
}

func (s *Service) delayRenew(w *worker) {
	w.retry = min(max(2*w.retry, minRenewRetry), maxRenewRetry)
	jitter := time.Duration(s.env.Rand().Int64N(int64(w.retry)))
	w.nextAt = s.env.Now() + w.retry/2 + jitter
}

// rebuild replaces what is known of a worker by its full report. Starts sent
// after the report was asked for are still open; any other start that the report
// lacks never took effect, because the worker fences it.
func (s *Service) rebuild(w *worker, r platform.RenewReply) {
	reported := make(map[model.TaskID]model.Task, len(r.Running))
	for _, t := range r.Running {
		reported[t.ID] = t
	}
	w.since = 0
	s.takeOutcomes(w, r)
	for _, t := range s.tasksOn(w.info.ID) {
		if _, ok := reported[t.spec.ID]; ok {
			continue
		}
		s.settleMissing(w, t)
	}
	for _, spec := range r.Running {
		s.restore(w, spec)
	}
	for _, id := range r.Seen {
		if _, running := s.tasks[id]; running {
			continue
		}
		s.remember(id, w.info.ID, model.Outcome{Task: id, Message: "outcome no longer kept"})
	}
	w.known = true
	s.env.Note(event.Note{
		Kind: "worker-held", Subject: "worker/" + string(w.info.ID), Offset: w.term,
		Detail: fmt.Sprintf("%d running", len(r.Running)),
	})
}

// settleMissing ends a task that the worker's full report lacks. A worker that has
// restarted may have run it and forgotten.
func (s *Service) settleMissing(w *worker, t *task) {
	switch {
	case t.incarnation != 0 && t.incarnation != w.incarnation:
		s.finish(t, model.Outcome{Task: t.spec.ID, Failed: true, Stopped: true, Message: "worker has restarted"})
	case t.phase == wire.PhaseStarting && t.seq > w.fence:
		return
	case t.phase == wire.PhaseStarting:
		s.reject(t, "start was lost")
	default:
		s.finish(t, model.Outcome{Task: t.spec.ID, Failed: true, Stopped: true, Message: "worker no longer has the task"})
	}
}

// restore counts a reported task, and tells its owner.
func (s *Service) restore(w *worker, spec model.Task) {
	t, ok := s.tasks[spec.ID]
	if ok && t.worker != w.info.ID {
		return
	}
	if !ok {
		t = &task{spec: spec, worker: w.info.ID}
		s.tasks[spec.ID] = t
		s.noteRun(spec.ID)
		_ = s.place.scheduler.Fleet.Adopt(s.env.Now(), &t.spec, w.info.ID)
		s.count(w, spec, 1)
	}
	if t.phase != wire.PhaseRunning {
		t.phase = wire.PhaseRunning
		s.tell(s.stateOf(t))
	}
}

func (s *Service) takeOutcomes(w *worker, r platform.RenewReply) {
	w.since = max(w.since, r.Seq)
	for _, out := range r.Finished {
		if t, ok := s.tasks[out.Task]; ok && t.worker == w.info.ID {
			s.finish(t, out)
			continue
		}
		if _, ok := s.past[out.Task]; !ok {
			s.remember(out.Task, w.info.ID, out)
			s.tell(wire.TaskState{Task: out.Task, Phase: wire.PhaseFinished, Worker: w.info.ID, Outcome: out})
		}
	}
}

// count adds or, with sign -1, removes a task from a worker's and a team's usage.
func (s *Service) count(w *worker, t model.Task, sign int64) {
	w.used = w.used.Add(t.Demand.Times(sign))
	s.running[t.Team] += sign
	s.usage[t.Team] = s.usage[t.Team].Add(t.Demand.Times(sign))
}

// forget removes a task from all counts.
func (s *Service) forget(t *task) {
	delete(s.tasks, t.spec.ID)
	s.place.scheduler.Fleet.Release(t.spec.ID)
	if w, ok := s.workers[t.worker]; ok {
		s.count(w, t.spec, -1)
	}
}

func (s *Service) finish(t *task, out model.Outcome) {
	s.observe(t, out)
	s.forget(t)
	s.remember(t.spec.ID, t.worker, out)
	st := s.stateOf(t)
	st.Phase = wire.PhaseFinished
	st.Outcome = out
	s.tell(st)
}

func (s *Service) reject(t *task, reason string) {
	s.forget(t)
	st := s.stateOf(t)
	st.Phase = wire.PhaseRejected
	st.Reason = reason
	s.tell(st)
}

func (s *Service) remember(id model.TaskID, w model.WorkerID, out model.Outcome) {
	if _, ok := s.past[id]; !ok {
		s.past[id] = pastTask{outcome: out, worker: w, at: s.env.Now()}
		s.noteRun(id)
	}
}

func (s *Service) forgetOld(now time.Duration) {
	horizon := now - s.env.Timing.Retention
	for id, p := range s.past {
		if p.at < horizon {
			delete(s.past, id)
			delete(s.latest, model.BaseTask(id))
		}
	}
	for id, f := range s.fences {
		if f.at < horizon {
			delete(s.fences, id)
		}
	}
}
