package engine

import (
	"slices"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/reservation"
)

// worker is the leader's view of a worker.
type worker struct {
	id               string
	incarnation      int64     // called life in log lines
	incarnationSince time.Time // when this leader first heard of the incarnation
	address          string
	service          string
	zone             string
	rack             string
	labels           []string
	capacity         job.Resources
	used             job.Resources
	heldForGangs     job.Resources // kept free for gangs in this placement round
	holds            []workerHold  // reserved in this placement round
	pool             *pool         // nil for a worker that was not listed when the pools were built
	speedClass       int           // index of its class in pool.byFreeCPU
	poolIndex        int           // index of its list in those of its class
	poolSlot         int           // its index in that list
	poolOrder        int           // its index in pool.workers
	pendingAsks      [2]int        // short and long calls to the adviser about it that have no answer yet, see callClass
	runs             []*run        // in the order in which they were planned

	listed              bool
	entryIncarnation    int64     // incarnation that the directory's entry describes; zero if it does not tell
	staleEntry          int64     // the earlier incarnation that the last ignored entry was of; zero if there was none
	unlistedSince       time.Time // when it last left the directory
	replacedIncarnation int64     // incarnation in whose place another worker has answered; zero if there is none
	replacedAddress     string    // where that was
	draining            bool
	leavesAt            time.Time     // earliest time at which a draining worker leaves
	evacuated           bool          // its availability zone is evacuated
	coldUntil           time.Time     // until when it is slow after its start; zero if it is not
	coldFor             time.Duration // how long it is slow in all
	withheld            job.Resources // part of its capacity that it gets no tasks for while it is cold

	clock            int64     // the worker's clock at the last answer, in ms
	clockAt          time.Time // when that answer arrived
	reportedClock    int64     // the clock in its last report, in ms
	reportedAt       time.Time // when that report arrived
	leaseEnd         int64     // latest end of a lease that was requested, on the worker's clock, in ms
	unansweredLease  time.Time // when the last command with a lease was sent to this incarnation that got no answer
	reportAttributed bool      // its last report tells that it is of this incarnation
	fencedSince      time.Time // since when this incarnation refuses calls to earlier ones; zero if that is not known
	lateLeasesUntil  time.Time // when all leases have ended that commands to earlier incarnations may have extended
	unknownClockAt   time.Time // when the last answer of a later, unknown incarnation arrived; zero if there was none
	reported         bool      // it has answered a renewal of this leader in this incarnation
	renewalInFlight  bool
	renewalExtends   bool // the last renewal requested a lease
	renewalSentAt    time.Time
	nextRenewal      time.Time
	lastAnswer       time.Time // when the last answer arrived
	answeredSentAt   time.Time // when the last renewal with an answer was sent
	aliveAt          time.Time // when the last call with an answer was sent
	missedRenewals   int       // consecutive renewals without an answer
	silentSince      time.Time // when the first of them failed; zero if there is none
	silenceEndedAt   time.Time // when it last answered after one
	refusingSince    time.Time // when it first refused a connection after the last answer; zero if it did not. Hint of a crash, no proof
	crash            *crash    // what refusingSince may be a sign of; nil if it is zero
	renewWithoutWait bool      // the next renewal asks for an immediate answer
	cursor           int64     // number of the last finished run that is stored
	ackedCursor      int64     // highest cursor in a renewal that this incarnation has answered
	renewalCursor    int64     // cursor in the last renewal
	delayedStarts    []*run    // whose start commands wait for the answer to it
	renewalFence     int64     // fence number of the last renewal
	fence            int64     // fence number of calls; zero before the first one
	fenceSpent       bool      // no more calls may bear that fence number: an earlier incarnation, or a cursor without an answer, had it
	appliedCursor    int64     // number of the last finished run that is applied
	unstoredBatches  int       // batches of finished runs that are being stored
	exposed          int       // runs whose start is risky and not yet known to be harmless
	unknownRuns      int       // unknown runs in the last report; their resource use is unknown too
	health           health

	releases      []reservation.Release // expected ends of its runs, see Engine.releases
	releasesAt    time.Time             // when they were computed
	releasesValid bool                  // its runs have not changed since
}

// clockDrift is the maximum relative error of the rate of a worker's clock, which the
// platform guarantees.
const clockDrift = 0.02

func newWorker(id string) *worker {
	return &worker{id: id}
}

// minClock returns the lowest value that the worker's clock can have, in ms.
func (w *worker) minClock(at time.Time) int64 {
	return w.clock + int64(float64(at.Sub(w.clockAt).Milliseconds())*(1-clockDrift))
}

// noteClock records the worker's clock, in ms, from an answer that arrived at the given
// time.
func (w *worker) noteClock(clock int64, at time.Time) {
	if clock <= 0 {
		return
	}
	w.lastAnswer = at
	w.missedRenewals = 0
	w.resetSilence()
	if clock >= w.clock {
		w.clock, w.clockAt = clock, at
		return
	}
	if w.clock-clock > maxOvertakenAge.Milliseconds() {
		w.unknownClockAt = at
	}
}

// noteAlive records that w has answered a call that was sent at the given time, so it was up then or later.
// The answer's arrival proves nothing about what happened while it was under way.
func (w *worker) noteAlive(sentAt time.Time) {
	if sentAt.After(w.aliveAt) {
		w.aliveAt = sentAt
	}
}

// resetSilence forgets that w did not answer or refused connections.
func (w *worker) resetSilence() {
	w.silentSince, w.refusingSince, w.crash = time.Time{}, time.Time{}, nil
}

// maxOvertakenAge is by how much the clock in an answer may be behind that of an answer
// that overtook it. It is longer than the leader waits for an answer. A clock further
// behind is that of a later incarnation that the answer does not tell.
const maxOvertakenAge = 3 * time.Second

// leasesExpireAt returns when the leases of all runs on the worker have certainly
// expired if the worker is not reached again.
func (w *worker) leasesExpireAt() time.Time {
	remaining := time.Duration(float64(w.leaseEnd-w.clock)/(1-clockDrift)) * time.Millisecond
	return w.clockAt.Add(max(0, remaining))
}

// extendLease returns the end, on the worker's clock in ms, of a lease of the given
// length, and records it. It returns zero while the worker's clock is unknown.
func (w *worker) extendLease(length time.Duration, at time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	end := w.minClock(at) + length.Milliseconds()
	if end > w.leaseEnd {
		w.leaseEnd = end
	}
	return end
}

// setUsed sets the resources that runs use on the worker.
func (w *worker) setUsed(used job.Resources) {
	w.used, w.releasesValid = used, false
	if w.pool != nil {
		w.pool.update(w)
	}
}

// free returns the resources that are free for new tasks: none if w is overcommitted.
func (w *worker) free() job.Resources {
	if w.overcommitted() {
		return job.Resources{}
	}
	return w.capacity.Sub(w.used).Sub(w.heldForGangs).Sub(w.withheld)
}

// described reports whether the directory's entry is of the present incarnation, which may
// have another capacity and other labels than the one before.
func (w *worker) described() bool {
	return w.entryIncarnation == 0 || w.incarnation == 0 || w.entryIncarnation == w.incarnation
}

// overcommitted reports whether the runs on w use more than its capacity, which may have
// shrunk, in any resource.
func (w *worker) overcommitted() bool { return !w.used.Fits(w.capacity) }

// rackOf returns the label that names a rack, or "". Such a label begins with "r" and
// contains "-".
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// workersListed applies the directory of workers.
func (e *Engine) workersListed(list []WorkerInfo) {
	e.directory = list
	present := make(map[string]bool, len(list))
	for i := range list {
		l := &list[i]
		w := e.workers[l.ID]
		if w != nil && e.leavesDeclaredServices(w, l) {
			continue
		}
		present[l.ID] = true
		if w == nil {
			w = newWorker(l.ID)
			e.workers[l.ID] = w
			e.workerList = append(e.workerList, w)
			e.log.Info("worker listed for the first time", "worker", l.ID, "life", l.Incarnation, "service", l.Service, "zone", l.Zone)
		}
		e.workerListed(w, l)
	}
	for _, w := range e.workerList {
		if w.listed && !present[w.id] {
			w.listed = false
			w.unlistedSince = e.now
			e.log.Info("worker no longer listed", "worker", w.id, "runs", len(w.runs), "last_answer_ms", e.msSince(w.lastAnswer))
		}
	}
	e.dropUnlistedWorkers()
	e.rebuildPools()
}

// leavesDeclaredServices reports whether the directory's entry of w, whose service is declared, names one that is not.
// Until that is declared, the entry is of another writer and nothing that it says counts.
func (e *Engine) leavesDeclaredServices(w *worker, l *WorkerInfo) bool {
	return l.Service != w.service && !e.isDeclared(l.Service) && e.policy.Service(w.service) != nil
}

// workerListed applies the directory's entry of a worker.
func (e *Engine) workerListed(w *worker, l *WorkerInfo) {
	if l.Incarnation != 0 && w.incarnation != 0 && l.Incarnation < w.incarnation {
		if w.staleEntry != l.Incarnation {
			w.staleEntry = l.Incarnation
			e.log.Info("entry of an earlier incarnation ignored", "worker", w.id, "life", w.incarnation, "entry_life", l.Incarnation, "listed", w.listed)
		}
		return // the entry is older than the worker's restart
	}
	if l.Incarnation != 0 && l.Incarnation == w.replacedIncarnation && l.Address == w.replacedAddress {
		return // the entry is that of a replaced worker
	}
	if l.Incarnation != 0 && w.incarnation != 0 && l.Incarnation > w.incarnation {
		e.newIncarnation(w, l.Incarnation, "directory")
	}
	if w.incarnation == 0 {
		w.incarnation = l.Incarnation
	}
	if !w.listed {
		w.nextRenewal = e.now
	}
	w.listed = true
	w.replacedIncarnation, w.replacedAddress = 0, ""
	w.entryIncarnation = l.Incarnation
	w.address, w.service, w.labels, w.capacity = l.Address, l.Service, l.Labels, l.Capacity
	w.rack = rackOf(l.Labels)
	w.zone, w.evacuated = l.Zone, e.policy.Evacuations.Contains(l.Zone)
	e.noteCold(w, l.ColdFor)
	if l.Draining && !w.draining {
		w.leavesAt = e.now.Add(l.LeavesIn)
		e.log.Info("worker draining", "worker", w.id, "leaves_ms", l.LeavesIn.Milliseconds(), "runs", len(w.runs))
	}
	if w.draining != l.Draining {
		w.draining = l.Draining
		e.needsPlacement = true
	}
}

// newIncarnation records that w has restarted.
func (e *Engine) newIncarnation(w *worker, incarnation int64, source string) {
	e.log.Info("worker restarted", "worker", w.id, "life", incarnation, "before", w.incarnation, "source", source, "runs", len(w.runs))
	e.switchIncarnation(w, incarnation)
}

// switchIncarnation switches w to a new incarnation, which is zero if it is not known yet,
// and settles the runs of the earlier one.
func (e *Engine) switchIncarnation(w *worker, incarnation int64) {
	w.incarnation = incarnation
	w.incarnationSince = e.now
	e.noteLateLeasesOfRestart(w)
	e.settleRunsOfEarlierIncarnations(w)
	w.reported = false
	w.unknownRuns = 0
	w.draining = false
	w.cursor, w.appliedCursor, w.ackedCursor, w.renewalCursor = 0, 0, 0, 0
	w.fenceSpent, w.fencedSince = w.fence != 0, time.Time{}
	w.clock, w.clockAt, w.leaseEnd = 0, time.Time{}, 0
	w.unknownClockAt = time.Time{}
	w.resetSilence()
	w.nextRenewal = e.now
	w.health = health{}
	e.needsPlacement = true
}

// replaced reports whether another worker has answered at the address of w.
func (w *worker) replaced() bool { return w.replacedIncarnation != 0 && w.replacedAddress == w.address }

// workerReplaced records that another worker has answered at the address of w, whose entry in
// the directory is older than that. Until the entry names another incarnation or address it
// counts as not listed.
func (e *Engine) workerReplaced(w *worker, source string) {
	e.log.Info("worker replaced", "worker", w.id, "life", w.incarnation, "address", w.address, "source", source, "runs", len(w.runs))
	w.replacedIncarnation, w.replacedAddress = w.incarnation, w.address
	if w.listed {
		w.listed, w.unlistedSince = false, e.now
	}
	e.switchIncarnation(w, 0)
}

// settleRunsOfEarlierIncarnations ends the runs that an earlier incarnation of w had. A
// command names a worker by its id alone, which may outlive a restart, so a start command
// that is still under way may start its run in the new incarnation. Such a run moves there.
// If the next report lacks it, it is stopped, which makes the worker refuse the command.
func (e *Engine) settleRunsOfEarlierIncarnations(w *worker) {
	earlier := slices.DeleteFunc(w.currentRuns(), func(r *run) bool { return r.incarnation == 0 || r.incarnation == w.incarnation })
	if len(earlier) == 0 {
		return
	}
	crashing := e.countCrash(w, earlier, true)
	for _, r := range earlier {
		switch {
		case w.incarnation != 0 && e.mayRunInAnotherIncarnation(r):
			e.moveToIncarnation(r, w.incarnation)
			if r.phase == running {
				r.phase = unconfirmed // the next report decides
			}
		default:
			e.endRun(r, EndedLeaseExpired, "", "worker restarted")
		}
	}
	e.giveUp(crashing)
}

// moveToIncarnation makes r a run of another incarnation of its worker. What is known of
// its stop concerns the earlier one.
func (e *Engine) moveToIncarnation(r *run, incarnation int64) {
	e.unholdRun(r)
	r.incarnation, r.startedClock = incarnation, 0
	r.settledSince, r.lateLease, r.settledStored = time.Time{}, false, false
	r.stopInFlight, r.stopConfirmedAt, r.stopSentAt = false, time.Time{}, time.Time{}
	e.markDirty(r.task)
}

// dropUnlistedWorkers drops idle workers that left the directory more than
// UnlistedWorkerRetention ago.
func (e *Engine) dropUnlistedWorkers() {
	kept := e.workerList[:0]
	for _, w := range e.workerList {
		if !w.listed && len(w.runs) == 0 && w.unstoredBatches == 0 && e.now.Sub(w.unlistedSince) > e.cfg.UnlistedWorkerRetention {
			delete(e.workers, w.id)
			continue
		}
		kept = append(kept, w)
	}
	e.workerList = kept
}

// currentRuns returns a copy of the list of runs on w, for loops that may end runs.
func (w *worker) currentRuns() []*run { return slices.Clone(w.runs) }

// sentRuns returns the runs on w whose start command has been sent.
func (w *worker) sentRuns() []*run {
	var sent []*run
	for _, r := range w.runs {
		if r.startSent {
			sent = append(sent, r)
		}
	}
	return sent
}

// sendRenewals sends the renewals that are due.
func (e *Engine) sendRenewals() {
	if e.now.Sub(e.renewalsCheckedAt) < renewalCheckInterval {
		return
	}
	e.renewalsCheckedAt = e.now
	for _, w := range e.workerList {
		if w.renewalInFlight || e.now.Before(w.nextRenewal) || w.address == "" {
			continue
		}
		if !w.listed && (w.replaced() || len(w.runs) == 0 && e.now.Sub(w.unlistedSince) > e.cfg.UnlistedRenewalWindow) {
			continue
		}
		if len(w.runs) == 0 && !e.isDeclared(w.service) {
			continue // the entry may be of another writer; it is called when the service is declared
		}
		if w.unstoredBatches > 0 && e.now.Sub(w.renewalSentAt) < e.cfg.RenewalMaxWait {
			continue // it would report finished runs again that are being stored
		}
		if e.awaitsAcknowledgement(w) {
			continue
		}
		e.renew(w)
	}
}

// isDeclared reports whether a service is declared, as far as any are known.
func (e *Engine) isDeclared(service string) bool {
	return len(e.policy.Services) == 0 || e.policy.Service(service) != nil
}

// renewalCheckInterval is the minimum interval between two checks of which renewals are
// due. A check visits every worker.
const renewalCheckInterval = 4 * time.Millisecond

// renew sends a renewal to w.
func (e *Engine) renew(w *worker) {
	w.renewalInFlight = true
	w.renewalSentAt = e.now
	wait := e.cfg.RenewalMaxWait
	if !w.reported || w.missedRenewals > 0 || w.renewWithoutWait || w.unstoredBatches > 0 || w.acknowledgementDue() {
		wait = 0
	}
	if w.exposed > 0 {
		wait = min(wait, survivalTime) // the report shows whether the start was harmless
	}
	w.renewalCursor = e.nextCursor(w)
	w.renewalFence = e.fenceOf(w)
	w.renewWithoutWait = false
	deadline := int64(0)
	if len(w.runs) > 0 && w.reported && w.missedRenewals == 0 {
		// The lease of a worker that does not answer is not extended, so that its runs
		// have certainly ended some time after the last answer.
		deadline = w.extendLease(e.cfg.Lease, e.now)
	}
	w.renewalExtends = deadline > 0
	e.emit(&Renew{Worker: w.id, Address: w.address, Incarnation: w.incarnation, Fence: w.renewalFence, Deadline: deadline, Cursor: w.renewalCursor, MaxWait: wait, Timeout: wait + renewalAnswerTimeout})
}

// renewalAnswerTimeout is the timeout of a renewal beyond the time that the worker may
// delay its answer. A healthy worker answers within a few milliseconds, and the finished
// runs in a lost answer stay unknown until the next renewal.
const renewalAnswerTimeout = 300 * time.Millisecond

// malformedRetryDelay is the delay after an answer of an idle worker that is no report. Such answers
// may be large, and it gets no tasks until it reports.
const malformedRetryDelay = 5 * time.Second

// unlistedRenewalRetryDelay is the delay after a renewal without an answer of a worker that
// has left the directory, which is most likely gone.
const unlistedRenewalRetryDelay = time.Second

// unknownRunRenewalDelay is the delay before the next renewal of a worker that reported
// unknown runs.
const unknownRunRenewalDelay = 50 * time.Millisecond

// renewalAnswered applies the outcome of a renewal.
func (e *Engine) renewalAnswered(ev *RenewalAnswered) {
	w := e.workers[ev.Worker]
	if w == nil {
		return
	}
	w.renewalInFlight = false
	defer e.sendDelayedStarts(w)
	if ev.Fenced && w.fencedEarlierIncarnation(w.renewalFence) {
		w.nextRenewal = e.now
		return
	}
	if ev.Fenced {
		e.fencedBy(w)
		ev.Malformed = true // it answers no renewal of this leader
	}
	if ev.Report == nil {
		e.renewalFailed(w, ev)
		return
	}
	if ev.Report.Incarnation != 0 && ev.Report.Incarnation != w.incarnation {
		if w.incarnation != 0 && ev.Report.Incarnation < w.incarnation {
			return
		}
		if w.incarnation != 0 {
			e.newIncarnation(w, ev.Report.Incarnation, "renewal")
		}
		w.incarnation = ev.Report.Incarnation
	}
	e.noteLeaseOfRenewal(w, ev)
	first := !w.reported
	if w.missedRenewals > 0 {
		w.silenceEndedAt = e.now
		e.log.Info("worker answers again", "worker", w.id, "life", w.incarnation, "silent_ms", e.msSince(w.lastAnswer), "refusing_ms", e.msSince(w.refusingSince), "runs", len(w.runs))
		e.needsPlacement = true
	}
	if !w.refusingSince.IsZero() && w.incarnationSince.Before(w.refusingSince) && ev.SentAt.After(w.refusingSince) {
		e.refusalDisproved(w)
	}
	w.noteClock(ev.Report.Clock, e.now)
	w.answeredSentAt, w.reportedClock, w.reportedAt = ev.SentAt, ev.Report.Clock, e.now
	w.noteAcknowledged(ev)
	w.noteAlive(ev.SentAt)
	w.noteFenced(ev, e.now)
	if first {
		w.leaseEnd = max(w.leaseEnd, ev.Report.Clock+e.longestInheritedLease(w).Milliseconds())
	}
	w.reported = true
	e.settleRunsOfEarlierIncarnations(w)
	e.applyEnds(w, ev.Report)
	e.applyRunning(w, ev)
	if first {
		e.needsPlacement = true
		w.nextRenewal = e.now
		e.log.Info("worker reported", "worker", w.id, "life", w.incarnation, "running", len(ev.Report.Running), "ended", len(ev.Report.Ended))
		return
	}
	w.nextRenewal = e.now
	switch {
	case w.unknownRuns > 0:
		w.nextRenewal = e.now.Add(unknownRunRenewalDelay) // the worker gets no tasks until these runs have ended
	case len(w.runs) == 0:
		w.nextRenewal = e.now.Add(e.cfg.IdleRenewalInterval)
	}
}

// renewalFailed handles a renewal without a report.
func (e *Engine) renewalFailed(w *worker, ev *RenewalAnswered) {
	e.noteLeaseOfRenewal(w, ev)
	w.missedRenewals++
	e.storeSettledRuns(w)
	if w.renewalCursor > 0 {
		w.fenceSpent = true // the cursor may reach the next incarnation after a later start
	}
	switch {
	case ev.Malformed && len(w.runs) == 0:
		w.nextRenewal = e.now.Add(malformedRetryDelay)
		e.log.Warn("worker set aside, as its answer is no report", "worker", w.id, "life", w.incarnation, "address", w.address, "misses", w.missedRenewals)
	case w.missedRenewals > 1 && w.listed:
		w.nextRenewal = e.now.Add(e.cfg.RenewalRetryDelay)
	case w.missedRenewals > 1:
		w.nextRenewal = e.now.Add(unlistedRenewalRetryDelay)
	default:
		w.silentSince = e.now
		w.nextRenewal = e.now // a report of finished runs may have been lost
		e.log.Warn("worker does not answer", "worker", w.id, "life", w.incarnation, "runs", len(w.runs), "last_answer_ms", e.msSince(w.lastAnswer),
			"settled", countRuns(w.runs, (*run).settled), "new_at_takeover", countRuns(w.runs, (*run).wasNewAtTakeover), "over_ms", e.overIn(w).Milliseconds())
	}
	if ev.ConnectionRefused && ev.Incarnation == w.incarnation {
		e.connectionRefused(w)
	}
	if ev.OtherIncarnation && ev.Incarnation == w.incarnation && w.incarnation != 0 {
		e.workerReplaced(w, "renewal refused")
	}
}
