package engine

import (
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
)

// teamBacklog is the accepted work of a team.
type teamBacklog struct {
	limit     job.Resources
	running   job.Resources
	used      job.Resources // running tasks, and waiting ones as far as the limit allows them to run now
	blockable float64       // cores of the running tasks that blocked has not counted yet
	waiting   []waitingTasks
	schedules map[scheduleKey]*admission.LimitSchedule
}

// waitingTasks are waiting tasks of one step.
type waitingTasks struct {
	class  workClass
	spec   *job.Step
	count  int
	length time.Duration
}

// scheduleKey identifies a schedule of a team's work: that placed before a job of a class,
// in one kind of resource.
type scheduleKey struct {
	class workClass
	kind  int
}

// backlogOf returns the accepted work of a team since the last measurement.
func (e *Engine) backlogOf(name string) *teamBacklog {
	b := e.contention.teams[name]
	if b == nil {
		b = &teamBacklog{running: e.usage[name], used: e.usage[name], blockable: float64(e.usage[name].CPU) / 1000}
		if team := e.policy.Team(name); team != nil {
			b.limit = team.Limit
		}
		e.contention.teams[name] = b
	}
	return b
}

// allow returns how many waiting tasks of s the limit allows to run now, besides those that it
// allowed before.
func (b *teamBacklog) allow(s *stepState, waiting int) int {
	n := s.spec.Need.CountWithin(b.limit, b.used, waiting)
	if s.spec.Gang && n < waiting {
		n = 0
	}
	b.used = b.used.Add(s.spec.Need.Times(n))
	return n
}

// block returns how many of the team's cores blocked tasks will take over.
func (b *teamBacklog) block(cores float64) float64 {
	cores = min(cores, b.blockable)
	b.blockable -= cores
	return cores
}

// kinds returns the amounts of the kinds of resources.
func kinds(r job.Resources) [3]float64 {
	return [3]float64{float64(r.CPU), float64(r.MemMB), float64(r.GPU)}
}

// limitWait returns how long a job whose first tasks are count tasks of first waits for the
// work of its own team to leave it enough of the team's limit.
func (e *Engine) limitWait(team string, class workClass, first *job.Step, length time.Duration) time.Duration {
	b := e.backlogOf(team)
	if b.limit == (job.Resources{}) {
		return 0
	}
	limit, need, used := kinds(b.limit), kinds(first.Need.Times(first.Count)), kinds(b.running)
	for _, t := range b.waiting {
		for k, n := range kinds(t.spec.Need.Times(t.count)) {
			used[k] += n
		}
	}
	kind, most := -1, 1.0
	for k := range limit {
		if limit[k] > 0 && (used[k]+need[k])/limit[k] > most {
			kind, most = k, (used[k]+need[k])/limit[k]
		}
	}
	if kind < 0 {
		return 0
	}
	part := need[kind] / limit[kind]
	own := time.Duration(max(0, part-1) * float64(length)) // it runs in several parts
	return e.scheduleOf(b, team, scheduleKey{class, kind}).Wait(part) + own
}

// scheduleOf returns the schedule of the work of a team that is placed before a job of a
// class. It is computed once between changes of that work.
func (e *Engine) scheduleOf(b *teamBacklog, team string, key scheduleKey) *admission.LimitSchedule {
	if s := b.schedules[key]; s != nil {
		return s
	}
	limit := kinds(b.limit)[key.kind]
	tasks := func(need job.Resources, count int, gang bool, length time.Duration) admission.TeamTask {
		return admission.TeamTask{Part: kinds(need)[key.kind] / limit, Count: count, Gang: gang, Length: length}
	}
	var running, waiting []admission.TeamTask
	for _, r := range e.contention.runs[team] {
		if r.plannedAt > e.contention.measuredWall {
			continue // its task is still counted as waiting
		}
		running = append(running, tasks(r.task.step.spec.Need, 1, false, e.remainingOf(r)))
	}
	for _, t := range b.waiting {
		if t.class.before(key.class) {
			waiting = append(waiting, tasks(t.spec.Need, t.count, t.spec.Gang, t.length))
		}
	}
	if b.schedules == nil {
		b.schedules = make(map[scheduleKey]*admission.LimitSchedule)
	}
	s := admission.NewLimitSchedule(running, waiting)
	b.schedules[key] = s
	return s
}

// minRemaining is the expected remaining time of a run that should have ended.
const minRemaining = 100 * time.Millisecond

// remainingOf returns the expected time until the end of a run.
func (e *Engine) remainingOf(r *run) time.Duration {
	s := r.task.step
	start := e.now.Add(dispatchTime)
	switch {
	case !r.startSentAt.IsZero():
		start = r.startSentAt
	case r.plannedAt > 0:
		start = e.now.Add(-e.sincePlanned(r))
	}
	return max(minRemaining, e.expectedRuntimeOf(s.job().queue, s.spec)-e.now.Sub(start))
}
