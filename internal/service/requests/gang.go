package requests

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// gang is a job whose tasks start together or not at all. The results of its tasks
// are also reported to the job together.
type gang struct {
	key     gangKey
	shard   model.Shard
	count   int
	members []*entry
	changed bool // the phase of a member has changed since the gang was advanced

	waitingSince  time.Duration             // start of the current wait
	notBefore     time.Duration             // time of the next attempt to start the gang or stop its tasks
	gatherUntil   time.Duration             // until when it keeps its holds between rounds, or 0
	failedRounds  int                       // since the last start
	round         *holdRound                // current round, or nil
	holds         map[model.TaskID]taskHold // by task id without run
	heldLastRound int                       // number of tasks held at the end of the last round
	limited       bool                      // a holder held fewer tasks because of the team's upper limit
}

type gangKey struct {
	team model.TeamID
	job  model.JobID
}

const (
	maxGangTasks = 4096
	// gangStopRetryInterval is the time until tasks that still run are sent another
	// stop command.
	gangStopRetryInterval = time.Second
)

// checkGang refuses a gang that does not fit on the listed workers even when they are
// all idle.
func (s *Service) checkGang(t *model.Task, count int) *verdict.Error {
	if t.Kind != model.KindGang {
		return nil
	}
	if count > maxGangTasks {
		return verdict.Refuse(verdict.CodeBadRequest, "a gang may have at most %d tasks", maxGangTasks)
	}
	listed := s.ledger.ListedWorkers()
	var matching, fitting int64
	for _, w := range listed {
		if t.Require.Matches(w.Labels) {
			matching++
			fitting += maxFitting(t.Demand, w.Capacity)
		}
	}
	if len(listed) == 0 || fitting >= int64(count) {
		return nil
	}
	return verdict.Refuse(verdict.CodeNeverFits,
		"a gang of %d tasks never fits: %d of %d listed workers match, and empty they hold %d at once",
		count, matching, len(listed), fitting)
}

// maxFitting returns how many tasks with this demand fit into capacity, at most
// maxGangTasks.
func maxFitting(demand, capacity model.Resources) int64 {
	n := int64(maxGangTasks)
	for _, d := range [][2]int64{
		{demand.MilliCPU, capacity.MilliCPU}, {demand.MemoryMiB, capacity.MemoryMiB},
		{demand.Slots, capacity.Slots}, {demand.Accelerators, capacity.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return n
}

// joinGang adds an entry to its job's gang, which it creates if necessary.
func (s *Service) joinGang(e *entry, job model.Job) {
	k := gangKey{e.task.Team, job.ID}
	g, ok := s.gangs[k]
	if !ok {
		g = &gang{key: k, shard: e.shard, count: job.Count, waitingSince: s.env.Now(), holds: make(map[model.TaskID]taskHold)}
		s.gangs[k] = g
	}
	e.gang = g
	g.members = append(g.members, e)
	g.changed = true
	s.gangsChanged = true
}

// dropGangs removes the gangs of a shard and releases their holds.
func (s *Service) dropGangs(shard model.Shard) {
	for _, g := range s.sortedGangs() {
		if g.shard == shard {
			s.releaseHolds(g)
			delete(s.gangs, g.key)
		}
	}
}

func (s *Service) sortedGangs() []*gang {
	return slices.SortedFunc(maps.Values(s.gangs), func(a, b *gang) int {
		return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.key.team, b.key.team), cmp.Compare(a.key.job, b.key.job))
	})
}

// advanceGangs advances every complete gang that has changed, is due or has an open
// round, the longest waiting first.
func (s *Service) advanceGangs() {
	if !s.gangsChanged || len(s.gangs) == 0 {
		return
	}
	s.gangsChanged = false
	for _, g := range s.sortedGangs() {
		if len(g.members) == g.count && (g.changed || s.env.Now() >= g.notBefore || g.round != nil) {
			g.changed = false
			s.advanceGang(g)
		}
	}
}

// gangTally holds the numbers of a gang's members by state. A member in state ended has
// ended without success but may run again with its gang; succeeded and unsuccessful
// members have a final answer.
type gangTally struct {
	locating, waiting, active, ended, succeeded, unsuccessful int
}

func (g *gang) tally() gangTally {
	var c gangTally
	for _, e := range g.members {
		switch {
		case e.phase == phaseLocating:
			c.locating++
		case e.phase == phaseDispatched || e.phase == phaseRunning:
			c.active++
		case e.phase == phaseBackoff:
			c.ended++
		case e.phase == phaseFinished && e.answer.Verdict == verdict.Done && e.answer.Code == verdict.CodeOK:
			c.succeeded++
		case e.phase == phaseFinished:
			c.unsuccessful++ // canceled, failed or in doubt
		default:
			c.waiting++
		}
	}
	return c
}

// advanceGang takes the step that the states of a gang's members call for.
func (s *Service) advanceGang(g *gang) {
	c := g.tally()
	switch {
	case c.locating > 0:
	case c.succeeded+c.unsuccessful == g.count:
		s.endGang(g)
	case c.waiting == g.count:
		s.tryStartGang(g)
	case c.waiting+c.ended+c.unsuccessful == 0: // every member runs or has succeeded
	case c.active > 0:
		s.stopGang(g)
	default:
		s.restartOrAbortGang(g, c)
	}
}

// stopGang stops the active tasks of a gang in which another task has ended or is
// not started.
func (s *Service) stopGang(g *gang) {
	if s.env.Now() < g.notBefore {
		return
	}
	g.notBefore = s.env.Now() + gangStopRetryInterval
	for _, e := range g.members {
		if e.phase == phaseDispatched || e.phase == phaseRunning {
			s.stopWithMode(e, platform.StopCheckpoint)
		}
	}
}

// restartOrAbortGang handles a gang of which some tasks have run and none is active:
// it runs the whole gang again if that is allowed, or aborts it.
func (s *Service) restartOrAbortGang(g *gang, c gangTally) {
	run, mayRunAgain := 0, c.unsuccessful == 0
	for _, e := range g.members {
		run = max(run, e.run)
		mayRunAgain = mayRunAgain && e.task.Repeatable && !e.canceled && (!e.lastRunFailed || e.run < maxRuns)
	}
	s.releaseHolds(g)
	if !mayRunAgain {
		s.abortGang(g)
		return
	}
	for _, e := range g.members {
		e.run, e.attempt, e.holder, e.lastRunFailed = run+1, 0, wire.InstanceRef{}, false
		s.setPhase(e, phaseGang)
	}
	g.waitingSince = s.env.Now()
	s.backOffGang(g)
}

// abortGang finishes all members that have no final answer yet.
func (s *Service) abortGang(g *gang) {
	for _, e := range g.members {
		switch {
		case e.phase == phaseFinished:
		case e.phase == phaseBackoff:
			s.finish(e, e.answer)
		case e.canceled:
			s.finish(e, s.notStarted(e, verdict.CodeCanceled, "canceled before it was started"))
		default:
			s.finish(e, s.notStarted(e, verdict.CodeTaskFailed, "another task of its gang has failed"))
		}
	}
}

// endGang reports the answers of all tasks to the job at once and removes the gang.
func (s *Service) endGang(g *gang) {
	s.releaseHolds(g)
	delete(s.gangs, g.key)
	for _, e := range g.members {
		s.jobs.TaskEnded(e.task, e.answer)
	}
}

// onGangOutcome records a task's outcome. A task that did not succeed is finished only
// once the gang is aborted, since the gang may run again.
func (s *Service) onGangOutcome(e *entry, out model.Outcome) {
	if e.phase == phaseBackoff {
		return
	}
	a := s.answerOf(e, out)
	if a.Verdict == verdict.Done && a.Code == verdict.CodeOK || e.canceled {
		s.finish(e, a)
		return
	}
	a.ID = e.id
	e.answer, e.lastRunFailed = a, out.Failed && !out.Stopped
	s.setPhase(e, phaseBackoff)
}
