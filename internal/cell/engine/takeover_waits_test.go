package engine

import (
	"fmt"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxIdleAfterTakeover is how long work may be without a run: 3 s after 4 s of calm, from when the earlier
// leader has noticed that it was replaced.
const maxIdleAfterTakeover = maxSimOverlap + 7*time.Second

// settledRun is a task whose start a worker has accepted and reported, before a leader ends that had time
// to store it.
type settledRun struct {
	w    *world
	n    *network
	job  string
	task string
	on   string // worker that has the run
}

func newSettledRun(t *testing.T, step job.Step) *settledRun {
	w := newWorld(t, 4, 1)
	n := w.useNetwork(1)
	n.restartsKeepID = true
	w.run(longestLateLease)
	s := &settledRun{w: w, n: n, job: w.submit("batch", "a", step)}
	s.task = taskName(s.job, 0, 0)
	w.run(2 * time.Second)
	s.on = sortedKeys(w.tasks[s.task].runs)[0]
	return s
}

// longestLateLease is how long the leases may last that late commands of an earlier leader extend.
const longestLateLease = 25 * time.Second

// loseWorker has no further call reach the worker of the run, which goes on until its lease ends.
func (s *settledRun) loseWorker() { s.n.links[s.on].lostRatio = 1 }

// runsAgainWithin checks that the task starts elsewhere in time; the rules of the world check that it is not earlier
// than its run on the lost worker has ended.
func (s *settledRun) runsAgainWithin(limit time.Duration) {
	before := s.w.tasks[s.task].lastRun
	took := time.Duration(0)
	for ; took < time.Minute && s.w.tasks[s.task].lastRun == before; took += 10 * simTick {
		s.w.run(10 * simTick)
	}
	assert.LessOrEqual(s.w.t, took, limit, "until the task runs elsewhere")
}

func TestSettledRunLostAtTakeoverWaitsForTheLongestLease(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
	}{{"task", tasks(1, 1000, time.Minute)}, {"gang", gang(3, 5000, time.Minute)}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSettledRun(t, c.step)
			s.loseWorker()
			s.w.startLeader()
			s.runsAgainWithin(maxIdleAfterTakeover)
		})
	}
}

func TestSettledRunLostBeforeTwoTakeoversWaitsForTheLongestLease(t *testing.T) {
	s := newSettledRun(t, tasks(1, 1000, time.Minute))
	s.loseWorker()
	s.w.startLeader()
	s.w.run(time.Second)
	s.w.submit("batch", "a", tasks(1, 1000, time.Second))
	s.w.run(time.Second)
	s.w.startLeader()
	s.runsAgainWithin(maxIdleAfterTakeover)
}

func TestSettledRunLostAfterTheNextLeaderReachedItWaitsForTheLongestLease(t *testing.T) {
	s := newSettledRun(t, tasks(1, 1000, time.Minute))
	s.w.startLeader()
	s.w.run(200 * time.Millisecond)
	s.loseWorker()
	s.runsAgainWithin(maxIdleAfterTakeover)
}

func TestSettledRunInALaterIncarnationWaitsForTheLongestLease(t *testing.T) {
	w := newWorld(t, 4, 1)
	n := w.useNetwork(1)
	n.restartsKeepID = true
	w.run(time.Second)
	for _, id := range w.ids {
		w.submit("batch", "a", tasks(4, 5000, 10*time.Second))
		n.restart(id, 0, 100*time.Millisecond)
	}
	w.run(longestLateLease + 20*time.Second)
	s := &settledRun{w: w, n: n, job: w.submit("batch", "a", tasks(1, 1000, time.Minute))}
	s.task = taskName(s.job, 0, 0)
	w.run(2 * time.Second)
	s.on = sortedKeys(w.tasks[s.task].runs)[0]
	s.loseWorker()
	w.startLeader()
	s.runsAgainWithin(maxIdleAfterTakeover)
}

// An isolated leader renews the lease once more before it ends, on a clock that is as slow as it may be.
func TestRunGoesOnElsewhereWhileAnIsolatedLeaderRenewsItsLease(t *testing.T) {
	for _, c := range []struct {
		name     string
		maxLease time.Duration
		settled  bool
	}{{"settled", 10 * time.Second, true}, {"settled, short leases", 6 * time.Second, true}, {"old, short leases", 6 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSettledRun(t, tasks(1, 1000, 5*time.Minute))
			lost := s.w.workers[s.on]
			lost.firstClock += int64(float64(s.w.now.Sub(lost.bornAt).Milliseconds()) * (lost.clockRate - 1 + clockDrift))
			lost.clockRate = 1 - clockDrift
			if !c.settled {
				planned := s.w.now
				s.w.run(time.Minute) // no late command concerns it any more
				s.forgetSettled(planned)
			}
			s.loseWorker()
			s.w.startLeader()
			s.w.engine.cfg.MaxLease = c.maxLease
			s.w.after(maxSimOverlap, func() { s.n.extendLease(lost, s.n.clock(lost)+simConfig().Lease.Milliseconds()) })
			s.runsAgainWithin(maxIdleAfterTakeover)
		})
	}
}

// Leaders that last for less than late leases do.
func TestSettledRunOfShortLeadersWaitsForLateCommands(t *testing.T) {
	s := newSettledRun(t, tasks(1, 1000, time.Minute))
	s.forgetSettled(s.w.now)
	for range 3 {
		s.w.startLeader()
		s.w.run(1200 * time.Millisecond)
	}
	s.loseWorker()
	s.w.startLeader()
	s.runsAgainWithin(s.w.engine.longestLease() + time.Second)
}

func TestSpeculativeRunLostAtTakeoverWaitsForTheLongestLease(t *testing.T) {
	step := tasks(1, 1000, 20*time.Second)
	step.Speculative = true
	s := newSettledRun(t, step)
	s.w.workers[s.on].slowdown = 3
	w := s.w
	for end := w.now.Add(30 * time.Second); w.now.Before(end) && len(w.tasks[s.task].runs) < 2; {
		w.run(100 * time.Millisecond)
	}
	require.Len(t, w.tasks[s.task].runs, 2)
	w.run(2 * time.Second)
	for id := range w.tasks[s.task].runs {
		s.n.links[id].lostRatio = 1
	}
	w.startLeader()
	s.runsAgainWithin(maxIdleAfterTakeover)
}

// Its start has no answer, so a later incarnation of the worker may carry it out.
func TestUnsettledStartDoesNotWaitForLateCommands(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l, id := newLateTakeover(t, seed)
			l.w.run(time.Second)
			l.takeOver(0)
			cfg := simConfig()
			l.w.run(cfg.MaxCommandDelay + cfg.MaxLease)
			assert.Len(t, l.w.engine.workers["w00"].runs, 1)
			l.finish(id)
		})
	}
}

// An earlier version stores nothing of that a start is settled.
func TestSettledRunOfAnEarlierVersionIsTakenAsLost(t *testing.T) {
	s := newSettledRun(t, tasks(1, 1000, time.Minute))
	s.forgetSettled(s.w.now)
	s.loseWorker()
	s.w.startLeader()
	cfg := simConfig()
	s.w.run(cfg.MaxCommandDelay + cfg.MaxLease)
	assert.Equal(t, 1, s.w.tasks[s.task].lastRun)
}

// A leader ends when it has sent a start command with a ticket, which is lost.
func TestStartWithATicketIsHeldAfterATakeoverAsIfANextIncarnationTookIt(t *testing.T) {
	w := newWorld(t, 4, 1)
	s := &settledRun{w: w, n: w.useNetwork(1)}
	s.n.restartsKeepID = true
	w.run(time.Second)
	s.n.planted.action = func(_ *network, action any) any {
		if start, ok := action.(*Start); ok {
			s.on = start.Worker
			return nil
		}
		return action
	}
	s.task = taskName(w.submit("advised", "a", tasks(1, 1000, time.Minute)), 0, 0)
	for end := w.now.Add(5 * time.Second); s.on == "" && w.now.Before(end); {
		w.run(simTick)
	}
	require.NotEmpty(t, s.on)
	s.n.planted.action = nil
	w.startLeader()
	w.tasks[s.task] = &simTask{runs: make(map[string]*simRun)}
	s.runsAgainWithin(maxIdleAfterTakeover)
}

// forgetSettled replaces the stored records of steps by those of an earlier version, whose runs were planned at the
// given time.
func (s *settledRun) forgetSettled(planned time.Time) {
	for key, value := range s.w.stored {
		_, step, err := record.ParseKey(key)
		if err != nil || step == nil {
			continue
		}
		rec := new(record.Step)
		s.w.must(record.Decode(value, rec))
		rec.PlannedAt = planned.UnixMilli()
		for i := range rec.Tasks {
			rec.Tasks[i].Settled, rec.Tasks[i].LateLease, rec.Tasks[i].Ticket = false, false, false
		}
		s.w.stored[key] = record.Encode(rec)
	}
}

// newRecentRun returns a task whose run has just reached the given state, on a fleet that has no late leases.
// Answers to its start don't tell the incarnation if untold.
func newRecentRun(t *testing.T, step job.Step, reached func(*run) bool, untold bool) *settledRun {
	w := newWorld(t, 4, 1)
	s := &settledRun{w: w, n: w.useNetwork(1)}
	s.n.restartsKeepID, s.n.untold = true, untold
	w.run(longestLateLease)
	s.job = w.submit("batch", "a", step)
	s.task = taskName(s.job, 0, 0)
	ref, err := job.ParseTask(s.task)
	w.must(err)
	for end := w.now.Add(5 * time.Second); w.now.Before(end); {
		w.run(simTick)
		if runs := w.engine.task(ref).runs; len(runs) > 0 && reached(runs[0]) {
			s.on = runs[0].worker.id
			return s
		}
	}
	require.Fail(t, "the run has not reached the state")
	return nil
}

// cutOffWorker has the connections to the worker of the run end and new ones refused. The run goes on until its lease ends.
func (s *settledRun) cutOffWorker() { s.n.cut(s.on, time.Hour) }

// The worker is lost right after its first report of the run, and the leader ends a while later: that the run is
// settled was not stored while the worker did not answer.
func TestSettledRunOfASilentWorkerWaitsForTheLongestLeaseAfterATakeover(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
	}{{"task", tasks(1, 1000, time.Minute)}, {"gang", gang(3, 5000, time.Minute)}} {
		t.Run(c.name, func(t *testing.T) {
			s := newRecentRun(t, c.step, (*run).settled, false)
			s.cutOffWorker()
			s.w.run(time.Second)
			s.w.startLeader()
			s.runsAgainWithin(maxIdleAfterTakeover)
		})
	}
}

// wasAnswered reports whether the start of r has been accepted.
func wasAnswered(r *run) bool { return r.phase == running }

// The worker is lost after it has accepted the start, and before a report shows the run.
func TestAnsweredStartOfALostWorkerWaitsForTheLongestLeaseAfterATakeover(t *testing.T) {
	for _, untold := range []bool{false, true} {
		t.Run(fmt.Sprintf("untold %t", untold), func(t *testing.T) {
			s := newRecentRun(t, tasks(1, 1000, time.Minute), wasAnswered, untold)
			s.cutOffWorker()
			s.w.run(time.Second)
			s.w.startLeader()
			s.runsAgainWithin(maxIdleAfterTakeover)
		})
	}
}

// Guards against answers of later incarnations that count as the present one's. The last report was requested at 100 s and
// arrived at 100.5 s with a clock of 50 s.
func TestClockOfALaterIncarnationCountsAsThatOfThePresentOne(t *testing.T) {
	start := time.Now()
	at := func(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name                     string
		reported, clock          int64 // ms
		sentMS, answeredMS       int64
		untold, unreported, want bool
	}{
		{name: "the present one", reported: 50_000, clock: 50_102, sentMS: 100_600, answeredMS: 100_610, want: true},
		{name: "with a slow clock", reported: 50_000, clock: 59_800, sentMS: 110_500, answeredMS: 110_510, want: true},
		{name: "whose report overtook the answer", reported: 50_000, clock: 49_850, sentMS: 100_300, answeredMS: 100_700, want: true},
		{name: "a clock near zero", reported: 50_000, clock: 1_000, sentMS: 100_600, answeredMS: 100_610},
		{name: "two clocks near zero", reported: 1_500, clock: 1_600, sentMS: 100_600, answeredMS: 100_610},
		{name: "a clock from anywhere, ahead", reported: 50_000, clock: 51_000, sentMS: 100_600, answeredMS: 100_610},
		{name: "a clock from anywhere, behind", reported: 50_000, clock: 49_990, sentMS: 100_600, answeredMS: 100_610},
		{name: "a clock that stands still", reported: 50_000, clock: 50_000, sentMS: 110_500, answeredMS: 110_510},
		{name: "a report without an incarnation", reported: 50_000, clock: 50_102, sentMS: 100_600, answeredMS: 100_610, untold: true},
		{name: "no report", reported: 50_000, clock: 50_102, sentMS: 100_600, answeredMS: 100_610, unreported: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &Engine{now: at(c.answeredMS)}
			w := &worker{reported: !c.unreported, reportAttributed: !c.untold, reportedClock: c.reported, answeredSentAt: at(100_000), reportedAt: at(100_500)}
			assert.Equal(t, c.want, e.isClockOfPresent(w, c.clock, at(c.sentMS)))
		})
	}
}

// The worker has restarted, which this leader doesn't know yet, and the next incarnation accepts the start.
func TestStartThatALaterIncarnationAcceptsIsNotSettledByItsAnswer(t *testing.T) {
	s := newRecentRun(t, tasks(4, 1000, time.Second), wasAnswered, true)
	s.w.run(5 * time.Second)
	for _, id := range s.w.ids {
		s.n.restart(id, 0, time.Hour)
	}
	answered := 0
	s.n.planted.event = func(_ *network, event any) any {
		if ev, ok := event.(*StartAnswered); ok && ev.Outcome == Accepted && ev.Start.run.worker.incarnation == 1 {
			answered++
			s.w.after(0, func() { assert.False(t, ev.Start.run.settled() && ev.Start.run.incarnation == 1) })
		}
		return event
	}
	s.w.submit("batch", "a", tasks(4, 1000, time.Minute))
	s.w.run(time.Second)
	assert.Positive(t, answered)
}

// A report that doesn't tell its incarnation may be of a later one than the run names.
func TestRunInAReportWithoutItsIncarnationIsStoredAsSettled(t *testing.T) {
	w := newWorld(t, 4, 1)
	n := w.useNetwork(1)
	n.restartsKeepID = true
	w.run(time.Second)
	n.planted.event = func(_ *network, event any) any {
		if ev, ok := event.(*RenewalAnswered); ok && ev.Report != nil {
			ev.Report.Incarnation = 0
		}
		return event
	}
	w.run(3 * time.Second) // no report of before tells the incarnation that answers the start
	id := w.submit("batch", "a", tasks(1, 1000, time.Minute))
	w.run(5 * time.Second)
	stored := new(record.Step)
	w.must(record.Decode(w.stored[record.StepKey(job.StepRef{Job: id}, 0)], stored))
	assert.NotEmpty(t, stored.Tasks[0].Worker)
	assert.False(t, stored.Tasks[0].Settled)
}
