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

// gang is a job whose tasks start together or not at all. Its tasks' ends are
// told to the job together, too.
type gang struct {
	key     gangKey
	shard   model.Shard
	count   int
	members []*entry
	changed bool // a member moved on since the gang was looked at

	since    time.Duration // when it began to wait
	until    time.Duration // when it may try to start, or stop its tasks, again
	gatherTo time.Duration // until when it keeps what it holds between rounds
	tries    int
	round    *round
	held     map[model.TaskID]holding // by task without run
	found    int                      // tasks with a place at the end of the last round
	limited  bool                     // a holder kept tasks back for the team's upper limit
}

type gangKey struct {
	team model.TeamID
	job  model.JobID
}

const (
	maxGang = 4096
	// gangStopRetry is the pause before tasks that still run are told to stop
	// again.
	gangStopRetry = time.Second
)

// checkGang refuses a gang for which the listed fleet is too small even when it is
// empty.
func (s *Service) checkGang(t *model.Task, count int) *verdict.Error {
	if t.Kind != model.KindGang {
		return nil
	}
	if count > maxGang {
		return verdict.Refuse(verdict.CodeBadRequest, "a gang may have at most %d tasks", maxGang)
	}
	roster := s.ledger.Roster()
	var matching, places int64
	for _, w := range roster {
		if t.Require.Matches(w.Labels) {
			matching++
			places += timesIn(t.Demand, w.Capacity)
		}
	}
	if len(roster) == 0 || places >= int64(count) {
		return nil
	}
	return verdict.Refuse(verdict.CodeNeverFits,
		"a gang of %d tasks never fits: %d of %d listed workers match, and empty they hold %d at once",
		count, matching, len(roster), places)
}

// timesIn returns how often demand fits into capacity.
func timesIn(demand, capacity model.Resources) int64 {
	times := int64(maxGang)
	for _, d := range [][2]int64{
		{demand.MilliCPU, capacity.MilliCPU}, {demand.MemoryMiB, capacity.MemoryMiB},
		{demand.Slots, capacity.Slots}, {demand.Accelerators, capacity.Accelerators},
	} {
		if d[0] > 0 {
			times = min(times, d[1]/d[0])
		}
	}
	return times
}

// joinGang makes an entry a member of its job's gang.
func (s *Service) joinGang(e *entry, job model.Job) {
	k := gangKey{e.task.Team, job.ID}
	g, ok := s.gangs[k]
	if !ok {
		g = &gang{key: k, shard: e.shard, count: job.Count, since: s.env.Now(), held: make(map[model.TaskID]holding)}
		s.gangs[k] = g
	}
	e.gang = g
	g.members = append(g.members, e)
	g.changed = true
	s.gangsMoved = true
}

// loseGangs forgets the gangs of a shard.
func (s *Service) loseGangs(shard model.Shard) {
	for _, g := range s.sortedGangs() {
		if g.shard == shard {
			s.releaseHolds(g)
			delete(s.gangs, g.key)
		}
	}
}

func (s *Service) sortedGangs() []*gang {
	return slices.SortedFunc(maps.Values(s.gangs), func(a, b *gang) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.key.team, b.key.team), cmp.Compare(a.key.job, b.key.job))
	})
}

// stepGangs moves every gang on that has changed or whose time has come, the one
// that waits longest first.
func (s *Service) stepGangs() {
	if !s.gangsMoved || len(s.gangs) == 0 {
		return
	}
	s.gangsMoved = false
	for _, g := range s.sortedGangs() {
		if len(g.members) == g.count && (g.changed || s.env.Now() >= g.until || g.round != nil) {
			g.changed = false
			s.stepGang(g)
		}
	}
}

// gangCount counts a gang's members by what is known of them.
type gangCount struct {
	open, idle, active, ended, done, given int
}

func (g *gang) tally() gangCount {
	var c gangCount
	for _, e := range g.members {
		switch {
		case e.phase == phaseLocating:
			c.open++
		case e.phase == phaseDispatched || e.phase == phaseRunning:
			c.active++
		case e.phase == phaseBackoff:
			c.ended++
		case e.phase == phaseFinished && e.answer.Verdict == verdict.Done && e.answer.Code == verdict.CodeOK:
			c.done++
		case e.phase == phaseFinished:
			c.given++ // canceled or in doubt
		default:
			c.idle++
		}
	}
	return c
}

func (s *Service) stepGang(g *gang) {
	c := g.tally()
	switch {
	case c.open > 0:
	case c.done+c.given == g.count:
		s.endGang(g)
	case c.idle == g.count:
		s.tryStart(g)
	case c.idle+c.ended+c.given == 0: // all run or have run well
	case c.active > 0:
		s.stopGang(g)
	default:
		s.settleGang(g, c)
	}
}

// stopGang stops what runs of a gang that is not whole.
func (s *Service) stopGang(g *gang) {
	if s.env.Now() < g.until {
		return
	}
	g.until = s.env.Now() + gangStopRetry
	for _, e := range g.members {
		if e.phase == phaseDispatched || e.phase == phaseRunning {
			s.stopAs(e, platform.StopCheckpoint)
		}
	}
}

// settleGang runs a gang again of which some tasks ran and nothing runs any more,
// or else gives it up.
func (s *Service) settleGang(g *gang, c gangCount) {
	run, again := 0, c.given == 0
	for _, e := range g.members {
		run = max(run, e.run)
		again = again && e.task.Repeatable && !e.canceled && (!e.failed || e.run < maxRuns)
	}
	s.releaseHolds(g)
	if !again {
		s.giveUp(g)
		return
	}
	for _, e := range g.members {
		e.run, e.attempt, e.holder, e.failed = run+1, 0, wire.Owner{}, false
		s.setPhase(e, phaseGang)
	}
	g.since = s.env.Now()
	s.pauseGang(g)
}

func (s *Service) giveUp(g *gang) {
	for _, e := range g.members {
		switch {
		case e.phase == phaseFinished:
		case e.phase == phaseBackoff:
			s.finish(e, e.answer)
		case e.canceled:
			s.finish(e, s.unstarted(e, verdict.CodeCanceled, "canceled before it was started"))
		default:
			s.finish(e, s.unstarted(e, verdict.CodeTaskFailed, "another task of its gang has failed"))
		}
	}
}

// endGang tells the job of all its tasks' ends at once.
func (s *Service) endGang(g *gang) {
	s.releaseHolds(g)
	delete(s.gangs, g.key)
	for _, e := range g.members {
		s.jobs.TaskEnded(e.task, e.answer)
	}
}

// onGangOutcome keeps a task's outcome until all of its gang have ended.
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
	e.answer, e.failed = a, out.Failed && !out.Stopped
	s.setPhase(e, phaseBackoff)
}
