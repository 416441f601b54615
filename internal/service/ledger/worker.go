package ledger

import (
	"fmt"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// worker is the state of one worker held here.
type worker struct {
	info           model.Worker
	term           uint64
	leasedUntil    time.Duration // on this instance's clock, 0 if not leased
	stateKnown     bool          // the worker's full report under this lease has been applied
	needFullReport bool
	renewing       bool
	nextRenewAt    time.Duration
	retryDelay     time.Duration
	lastSeq        uint64 // sequence number of the last command
	lastEvent      uint64 // sequence number of the last event received from the worker
	incarnation    model.Incarnation
	startedAt      time.Duration // latest time at which this incarnation can have started
	notBefore      time.Duration // earliest time at which this incarnation can have started
	replies        int           // that bound these two times
	used           model.Resources
	fencedSeq      uint64 // value of lastSeq when the last full report was requested
}

const (
	// cleanupInterval is the time between removals of records past the retention.
	cleanupInterval    = time.Second
	minRenewRetryDelay = 100 * time.Millisecond
	maxRenewRetryDelay = 2 * time.Second
	// usableLeasePercent is the part of a lease on which the holder relies. The
	// remainder covers the drift between its clock and the worker's.
	usableLeasePercent = 95
	// maxUnclearReplies is the number of replies after which a worker that may have started
	// after a given time counts as started after it.
	maxUnclearReplies = 4
)

// leased reports whether the worker's state is known and its lease has not expired.
func (w *worker) leased(now time.Duration) bool { return w.stateKnown && now < w.leasedUntil }

func (w *worker) resetLease() {
	w.stateKnown = false
	w.leasedUntil = 0
	w.needFullReport = true
	w.nextRenewAt = 0
}

func (s *Service) leaseRef(w *worker) platform.LeaseRef {
	return platform.LeaseRef{Holder: s.env.Self.ID, Incarnation: s.env.Self.Incarnation, Term: w.term}
}

// OnTick renews leases, starts pending tasks and removes records past the retention.
func (s *Service) OnTick() {
	now := s.env.Now()
	s.freshness.observe(now)
	for _, id := range s.workerIDs {
		w := s.workers[id]
		s.expireLease(w, now)
		if !w.renewing && now >= w.nextRenewAt {
			s.renew(w)
		}
	}
	s.startPending()
	s.placement.quarantine.Tick(now)
	s.placement.scheduler.Fleet.ExpireHolds(now)
	if now >= s.nextCleanupAt {
		s.nextCleanupAt = now + cleanupInterval
		s.removeExpired(now)
	}
	s.refreshCoverage()
}

// expireLease stops using a lease that was not renewed in time.
func (s *Service) expireLease(w *worker, now time.Duration) {
	if w.stateKnown && now >= w.leasedUntil {
		w.resetLease()
		s.placement.setLeased(w.info.ID, false)
		s.env.Note(event.Note{Kind: "lease-lapsed", Subject: "worker/" + string(w.info.ID)})
	}
}

// renew sends a renewal to a worker. Unless it asks for a full report, the worker may
// delay its answer for a quarter of the lease.
func (s *Service) renew(w *worker) {
	full := w.needFullReport || !w.stateKnown
	req := platform.RenewRequest{
		Lease:    s.leaseRef(w),
		Duration: s.env.Timing.WorkerLease,
		Full:     full,
		Since:    w.lastEvent,
	}
	if full {
		req.Fence = w.lastSeq
		w.fencedSeq = w.lastSeq
		w.needFullReport = false
	} else {
		req.Wait = s.env.Timing.WorkerLease / 4
	}
	w.renewing = true
	s.env.Emit(event.Renew{Worker: w.info, Request: req})
}

// OnRenewDone applies the result of a renewal.
func (s *Service) OnRenewDone(d event.RenewDone) {
	w, ok := s.workers[d.Worker]
	if !ok || d.Lease != s.leaseRef(w) {
		return
	}
	w.renewing = false
	if d.Failed || !d.Reply.Granted {
		w.needFullReport = w.needFullReport || d.Full
		s.delayRenew(w)
		return
	}
	w.retryDelay = 0
	w.nextRenewAt = s.env.Now()
	w.leasedUntil = d.SentAt + s.env.Timing.WorkerLease*usableLeasePercent/100
	restarted := w.incarnation != d.Reply.Incarnation
	w.incarnation = d.Reply.Incarnation
	w.boundStart(d.SentAt-d.Reply.Uptime, s.env.Now()-d.Reply.Uptime, restarted)
	switch {
	case d.Full:
		s.rebuild(w, d.Reply)
	case restarted:
		w.resetLease()
	default:
		s.recordOutcomes(w, d.Reply)
	}
	s.placement.setLeased(w.info.ID, w.leased(s.env.Now()))
	s.startPending()
	if !w.renewing {
		s.renew(w)
	}
}

// boundStart applies a reply according to which the worker started between earliest and
// latest. They are apart by the time between the request and the handling of the reply, so
// each further reply can only narrow them.
func (w *worker) boundStart(earliest, latest time.Duration, restarted bool) {
	if restarted {
		w.notBefore, w.startedAt, w.replies = earliest, latest, 1
		return
	}
	w.notBefore = max(w.notBefore, earliest)
	w.startedAt = min(w.startedAt, latest)
	w.replies++
}

// startUnclear reports whether the worker may have started before t or after it, and
// further replies are likely to tell.
func (w *worker) startUnclear(t time.Duration) bool {
	return w.notBefore < t && t < w.startedAt && w.replies < maxUnclearReplies
}

func (s *Service) delayRenew(w *worker) {
	w.retryDelay = min(max(2*w.retryDelay, minRenewRetryDelay), maxRenewRetryDelay)
	jitter := time.Duration(s.env.Rand().Int64N(int64(w.retryDelay)))
	w.nextRenewAt = s.env.Now() + w.retryDelay/2 + jitter
}

// rebuild replaces the state of a worker by its full report. The results of starts
// sent after the report was requested are still unknown. Any other start missing from
// the report never took effect and never will, because the worker fences it.
func (s *Service) rebuild(w *worker, r platform.RenewReply) {
	reported := make(map[model.TaskID]model.Task, len(r.Running))
	for _, t := range r.Running {
		reported[t.ID] = t
	}
	w.lastEvent = 0
	s.recordOutcomes(w, r)
	for _, t := range s.tasksOn(w.info.ID) {
		if _, ok := reported[t.spec.ID]; ok {
			continue
		}
		s.resolveMissing(w, t)
	}
	for _, spec := range r.Running {
		s.restoreTask(w, spec)
	}
	for _, id := range r.Seen {
		if _, running := s.tasks[id]; running {
			continue
		}
		s.rememberOutcome(id, w.info.ID, model.Outcome{Task: id, Message: "outcome no longer kept"})
	}
	w.stateKnown = true
	s.env.Note(event.Note{
		Kind: "worker-held", Subject: "worker/" + string(w.info.ID), Offset: w.term,
		Detail: fmt.Sprintf("%d running", len(r.Running)),
	})
}

// resolveMissing decides the state of a task that is missing from the worker's full
// report. A worker that has restarted may have run the task without remembering it.
func (s *Service) resolveMissing(w *worker, t *task) {
	switch {
	case t.incarnation != 0 && t.incarnation != w.incarnation:
		s.finish(t, model.Outcome{Task: t.spec.ID, Failed: true, Stopped: true, Message: "worker has restarted"})
	case t.phase == wire.PhaseStarting && t.seq > w.fencedSeq:
		return
	case t.phase == wire.PhaseStarting:
		s.reject(t, "start was lost")
	default:
		s.finish(t, model.Outcome{Task: t.spec.ID, Failed: true, Stopped: true, Message: "worker no longer has the task"})
	}
}

// restoreTask adds a task that the worker reports as running, and reports its state
// to the owner of its request shard.
func (s *Service) restoreTask(w *worker, spec model.Task) {
	t, ok := s.tasks[spec.ID]
	if ok && t.worker != w.info.ID {
		return
	}
	if !ok {
		t = &task{spec: spec, worker: w.info.ID}
		s.tasks[spec.ID] = t
		s.recordRun(spec.ID)
		_ = s.placement.scheduler.Fleet.Adopt(s.env.Now(), &t.spec, w.info.ID)
		s.addUsage(w, spec, 1)
	}
	if t.phase != wire.PhaseRunning {
		t.phase = wire.PhaseRunning
		s.reportState(s.stateOf(t))
	}
}

func (s *Service) recordOutcomes(w *worker, r platform.RenewReply) {
	w.lastEvent = max(w.lastEvent, r.Seq)
	for _, out := range r.Finished {
		if t, ok := s.tasks[out.Task]; ok && t.worker == w.info.ID {
			s.finish(t, out)
			continue
		}
		if _, ok := s.finished[out.Task]; !ok {
			s.rememberOutcome(out.Task, w.info.ID, out)
			s.reportState(wire.TaskState{Task: out.Task, Phase: wire.PhaseFinished, Worker: w.info.ID, Outcome: out})
		}
	}
}

// addUsage adds a task to the usage of its worker and team, or removes it with sign
// -1.
func (s *Service) addUsage(w *worker, t model.Task, sign int64) {
	w.used = w.used.Add(t.Demand.Times(sign))
	s.running[t.Team] += sign
	s.usage[t.Team] = s.usage[t.Team].Add(t.Demand.Times(sign))
}

// removeTask removes a task and its usage.
func (s *Service) removeTask(t *task) {
	delete(s.tasks, t.spec.ID)
	s.placement.scheduler.Fleet.Release(t.spec.ID)
	if w, ok := s.workers[t.worker]; ok {
		s.addUsage(w, t.spec, -1)
	}
}

func (s *Service) finish(t *task, out model.Outcome) {
	s.observeOutcome(t, out)
	s.removeTask(t)
	s.rememberOutcome(t.spec.ID, t.worker, out)
	st := s.stateOf(t)
	st.Phase = wire.PhaseFinished
	st.Outcome = out
	s.reportState(st)
}

func (s *Service) reject(t *task, reason string) {
	s.removeTask(t)
	st := s.stateOf(t)
	st.Phase = wire.PhaseRejected
	st.Reason = reason
	s.reportState(st)
}

func (s *Service) rememberOutcome(id model.TaskID, w model.WorkerID, out model.Outcome) {
	if _, ok := s.finished[id]; !ok {
		s.finished[id] = finishedTask{outcome: out, worker: w, recordedAt: s.env.Now()}
		s.recordRun(id)
	}
}

func (s *Service) removeExpired(now time.Duration) {
	horizon := now - s.env.Timing.Retention
	for id, p := range s.finished {
		if p.recordedAt < horizon {
			delete(s.finished, id)
			delete(s.maxRuns, model.BaseTask(id))
		}
	}
	for id, f := range s.fences {
		if f.fencedAt < horizon {
			delete(s.fences, id)
		}
	}
}
