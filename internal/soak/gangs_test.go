package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// gangWait is how long a member waits for the others until it ends as alone: gangMs in the boot settings.
	gangWait = 3 * time.Second
	// maxFailureSpread is the longest time from the first to the last end as failed of a run's members.
	maxFailureSpread = time.Second
	gangFailRatio    = 0.35
)

// gang is a step whose tasks work only together.
type gang struct {
	job  *submittedJob
	runs map[int]*gangRun
	// lastStart, lastRun and lastFault are those of the member that was started last.
	lastStart time.Time
	lastRun   int
	lastFault string
	ends      []*taskEnd
	reported  bool // whether a violation by its ends is recorded
}

// gangRun is a run of a gang.
type gangRun struct {
	gang       *gang
	number     int
	members    map[string]*gangMember // by task, those that run
	firstStart time.Time
	complete   bool // whether all members have been present
	late       bool // whether a start was carried out late
	failing    int  // members that are still to end as failed
}

type gangMember struct {
	w   *worker
	run *taskRun
}

// stepOf returns the step of a task.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// gangOf returns the gang of a task, or nil. The caller holds f.mu, as for all that follows.
func (f *fleet) gangOf(task string) *gang {
	j := f.jobOf(task)
	if j == nil || !j.gang {
		return nil
	}
	g := f.gangs[stepOf(task)]
	if g == nil {
		g = &gang{job: j, runs: make(map[int]*gangRun)}
		f.gangs[stepOf(task)] = g
	}
	return g
}

// joinGang adds the run r on w to that of its gang, which begins to work once all members are present.
func (f *fleet) joinGang(w *worker, r *taskRun) {
	g := f.gangOf(r.task)
	if g == nil {
		return
	}
	g.lastStart, g.lastRun, g.lastFault = time.Now(), r.run, f.fault
	f.checkGangEnds(g, r.task)
	run := g.runs[r.run]
	if run == nil {
		run = &gangRun{gang: g, number: r.run, members: make(map[string]*gangMember), firstStart: time.Now()}
		g.runs[r.run] = run
	}
	r.gang, run.late = run, run.late || r.late
	r.endsAt, r.how, r.waits = w.clock()+gangWait.Milliseconds(), "alone", true
	run.members[r.task] = &gangMember{w, r}
	if f.settleGang(run); !run.complete && len(run.members) == g.job.width {
		f.beginWork(run)
	}
}

// beginWork decides how a run ends whose members are all present: as done for all, or as failed for
// some, at once or one after the other, which breaks it for the others.
func (f *fleet) beginWork(run *gangRun) {
	j := run.gang.job
	run.complete = true
	f.gangCounts["complete"]++
	fails := j.hopeless || f.gangRng.Float64() < gangFailRatio
	failing, spread := 0, time.Duration(0)
	if fails {
		failing = 1 + f.gangRng.IntN(j.width)
		spread = time.Duration(f.gangRng.IntN(2)) * maxFailureSpread
		run.failing = failing
		f.gangCounts["failing"]++
	}
	for i := range j.width {
		m := run.members[j.task(0, i)]
		m.run.waits, m.run.startedAt, m.run.how = false, m.w.clock(), "done"
		length := j.length
		switch {
		case i < failing:
			m.run.how = "failed"
			length /= 2
			if spread > 0 && i > 0 {
				length += time.Duration(f.gangRng.Int64N(int64(spread)))
			}
		case fails:
			length += maxFailureSpread // it is broken before
		}
		m.run.endsAt = m.w.clock() + length.Milliseconds()
	}
}

// settleGang ends the members of a run that are due, in the order in which they end.
func (f *fleet) settleGang(run *gangRun) {
	for {
		var first *gangMember
		var at time.Time
		for _, m := range run.members {
			end, _ := m.w.endOf(m.run)
			if due := m.w.timeAt(end); end <= m.w.clock() && (first == nil || due.Before(at)) {
				first, at = m, due
			}
		}
		if first == nil {
			return
		}
		end, how := first.w.endOf(first.run)
		f.endRun(first.w, first.run, how, end)
	}
}

// leaveGang removes a run that ended from that of its gang. The end of a member breaks a complete run,
// and its success is that of all.
func (f *fleet) leaveGang(r *taskRun, how string) {
	run := r.gang
	if run == nil || run.members[r.task] == nil || run.members[r.task].run != r {
		return
	}
	delete(run.members, r.task)
	f.gangCounts[how]++
	if !run.complete {
		return
	}
	if how == "failed" {
		if run.failing--; run.failing > 0 {
			select {
			case f.gangFailures <- struct{}{}:
			default: // one is enough
			}
		}
	}
	for _, m := range run.members {
		switch {
		case m.run.waits || m.run.how == "failed" && how == "failed":
		case how == "done":
			m.run.how, m.run.endsAt = "done", min(m.run.endsAt, m.w.clock())
		default:
			m.run.how, m.run.endsAt = "broken", min(m.run.endsAt, m.w.clock())
		}
	}
}

// checkGangEnd checks that a member did not end as alone without a cause: its run began only after the faults.
func (f *fleet) checkGangEnd(r *taskRun, e *taskEnd) {
	run := r.gang
	if run == nil {
		return
	}
	run.gang.ends = append(run.gang.ends, e)
	if e.how != "alone" || run.late || run.gang.job.cancelSent() {
		return
	}
	calm := f.calmStart()
	if !calm.IsZero() && run.firstStart.Sub(calm) > stableBound {
		f.recordViolation(r.task, "GANG: task %s, run %d ended alone, its run began %v after the last fault", r.task, r.run, run.firstStart.Sub(calm).Round(time.Millisecond))
	}
}

// failedRuns returns the number of runs of the gang that failed, those that acknowledged ends before
// the last start tell of and all, and whether such an end tells that it is done.
func (g *gang) failedRuns() (known, all int, done bool) {
	var failed, acknowledged []int
	for _, e := range g.ends {
		before := e.acknowledged && e.at.Before(g.lastStart)
		done = done || before && e.how == "done"
		if e.how != "failed" {
			continue
		}
		if !slices.Contains(failed, e.run) {
			failed = append(failed, e.run)
		}
		if before && !slices.Contains(acknowledged, e.run) {
			acknowledged = append(acknowledged, e.run)
		}
	}
	return len(acknowledged), len(failed), done
}

// checkGangEnds checks that the last start of a member did not follow the success of the gang or its last
// permitted failed run. Ends count once they are acknowledged, also if that is later.
func (f *fleet) checkGangEnds(g *gang, task string) {
	known, _, done := g.failedRuns()
	switch {
	case g.reported:
	case done:
		g.reported = true
		f.recordViolation(task, "TWICE: task %s, run %d started after its gang was done, which is acknowledged%s", task, g.lastRun, g.lastFault)
	case known >= maxAttempts:
		g.reported = true
		f.recordViolation(task, "BUDGET: task %s, run %d started after %d acknowledged failed runs of its gang%s", task, g.lastRun, known, g.lastFault)
	}
}

// usedUp reports whether a task, or the gang that it belongs to, has failed as often as it may.
func (f *fleet) usedUp(task string) bool {
	if g := f.gangOf(task); g != nil {
		_, failed, _ := g.failedRuns()
		return failed >= maxAttempts
	}
	return f.task(task).count("failed") >= maxAttempts
}

// succeeded reports whether a task has succeeded, or a member of the gang that it belongs to.
func (f *fleet) succeeded(task string) bool {
	if g := f.gangOf(task); g != nil {
		return slices.ContainsFunc(g.ends, func(e *taskEnd) bool { return e.how == "done" })
	}
	return f.task(task).count("done") > 0
}

// randomGang returns a job with a gang on one or on several workers.
func randomGang(rng *rand.Rand, id string) *submittedJob {
	j := &submittedJob{id: id, gang: true, width: 2 + rng.IntN(3), steps: 1, cpu: int64(500 + rng.IntN(1000)), hopeless: rng.IntN(5) == 0}
	if rng.IntN(3) == 0 {
		j.cpu = int64(2500 + rng.IntN(1500))
	}
	j.length = time.Duration(300+rng.IntN(700)) * time.Millisecond
	return j
}
