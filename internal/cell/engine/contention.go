package engine

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
)

// contention is what admission knows of the work that competes with a new job. It is measured
// at the end of a placement round, when the free capacity is what no waiting step could use.
// Between two measurements accepted jobs are added to it, and the capacity stays as it was:
// the tasks that are placed meanwhile are still counted as waiting.
type contention struct {
	measuredAt   time.Time
	measuredWall int64         // the same in Unix milliseconds
	interval     time.Duration // minimum interval until the next measurement
	classes      []*classLoad  // in the order in which they were found, so that sums do not depend on the order of a map
	teams        map[string]*teamBacklog
	rooms        map[string]*room   // by service
	arrivals     []*arrivalRate     // of work within the entitlements
	starts       []*startRate       // of work beyond the entitlements
	typical      map[string]float64 // by queue: smoothed core-seconds of the first tasks of submitted jobs
	yields       map[string]bool    // teams whose steps yield to those of teams below their shares
	runs         map[string][]*run  // by team
	excess       map[string]float64 // by team: cores of its accepted work above its share
	refusals     map[string]refusal // by team: its last job that was refused for lack of room
}

// workClass is a group of steps that come in one order relative to those of other groups.
type workClass struct {
	service         string
	overEntitlement bool
	late            bool
	priority        int
	yields          bool
}

// before reports whether steps of class c are placed before those of a new job of class j,
// or together with them. All other work is placed before a job beyond its entitlement.
func (c workClass) before(j workClass) bool {
	switch {
	case c.service != j.service:
		return false
	case j.overEntitlement:
		return true
	case c.overEntitlement || c.late:
		return false
	}
	// Accepted steps of teams that yield count too, so that they are not displaced.
	return c.priority <= j.priority
}

// waitingLoad is waiting and arriving work, in cores and core-seconds.
type waitingLoad struct {
	cores, work float64 // of the tasks that their teams' limits allow to run
	claimed     float64 // part of cores that will use free capacity, see admission.Contention
	// claimedLater is the same for tasks that wait for a long call to the adviser. Other jobs
	// can start before it ends.
	claimedLater float64
	arriving     float64
	oldest       time.Duration // how long the oldest step has waited, besides for a first answer of the adviser
}

// classLoad is the work of a class. Its waitingLoad counts only steps that are not confined, see
// Engine.isConfined.
type classLoad struct {
	workClass
	waitingLoad
	confined []*confinedLoad
	blocked  float64 // cores that teams at their limits use, as more of their work of this class waits
	gangs    bool    // a gang waits
}

// arrivalSource is an origin of arriving work.
type arrivalSource struct {
	service  string
	priority int
	team     string
	confined confinementKey
}

// arrivalRate is the average rate of arriving work, in cores, see demand.
type arrivalRate struct {
	arrivalSource
	cores       float64
	at          time.Time
	confinement confinement // of the last work; its zero value if that was not confined
}

// rate returns the rate at the given time.
func (r *arrivalRate) rate(now time.Time) float64 {
	return r.cores * decay(now.Sub(r.at), arrivalWindow)
}

const (
	// minContentionInterval is the minimum interval between two measurements. On large pools
	// it is longer by one such interval for every contentionWorkers workers, so that the
	// measurements take a few percent of the time on any fleet.
	minContentionInterval = 5 * time.Millisecond
	contentionWorkers     = 2000
	// minArrivingCores is the rate below which a source of arriving work is forgotten.
	minArrivingCores = 0.01
	// maxContentionAge is the age from which the load is measured without a placement round.
	maxContentionAge = 4 * maxPlacementInterval
)

// newContention returns a contention that was not measured yet.
func newContention() *contention {
	return &contention{
		teams: make(map[string]*teamBacklog), rooms: make(map[string]*room),
		typical: make(map[string]float64), yields: make(map[string]bool), runs: make(map[string][]*run),
		excess: make(map[string]float64), refusals: make(map[string]refusal),
	}
}

// contentionAfterRound measures the contention at the end of a placement round.
func (e *Engine) contentionAfterRound() {
	if c := e.contention; c != nil && e.now.Sub(c.measuredAt) >= c.interval {
		e.measureContention()
	}
}

// refreshContention measures the contention for a new job if no placement round is expected
// to do so.
func (e *Engine) refreshContention() {
	age := e.now.Sub(e.contention.measuredAt)
	if len(e.openSteps) == 0 && age >= e.contention.interval || age >= maxContentionAge {
		e.measureContention()
	}
}

// measureContention measures the free capacity and the waiting and arriving work.
func (e *Engine) measureContention() {
	c := e.contention
	c.measuredAt, c.measuredWall, c.interval = e.now, e.wall(), minContentionInterval*time.Duration(1+len(e.workerList)/contentionWorkers)
	c.classes = nil
	clear(c.teams)
	if e.trial != nil {
		c.rooms = make(map[string]*room) // the lists of workers are shared with the real ones
	}
	maps.DeleteFunc(c.rooms, func(service string, _ *room) bool { return e.pools[service] == nil })
	for service, p := range e.pools {
		e.roomOf(service).measure(p, e.now)
	}
	for _, s := range e.openSteps {
		if q := e.queueOf(s.job()); q != nil && s.open() {
			e.addWaiting(s, q, s.waiting)
		}
	}
	e.measureExcess()
	c.arrivals = slices.DeleteFunc(c.arrivals, func(r *arrivalRate) bool { return r.rate(e.now) < minArrivingCores })
	for _, r := range c.arrivals {
		cores, source := r.rate(e.now), r.arrivalSource
		if team := e.policy.Team(source.team); team != nil && team.Limit.CPU > 0 {
			cores = min(cores, float64(team.Limit.CPU)/1000)
		}
		load := c.class(workClass{service: source.service, priority: source.priority, yields: c.yields[source.team]})
		if r.confinement.isZero() {
			load.arriving += cores
		} else {
			load.confinedBy(r.confinement).arriving += cores
		}
	}
}

// class returns the load of a class and creates it on first use.
func (c *contention) class(k workClass) *classLoad {
	for _, l := range c.classes {
		if l.workClass == k {
			return l
		}
	}
	l := &classLoad{workClass: k}
	c.classes = append(c.classes, l)
	return l
}

// classOf returns the class of a step of a team in time, or of its new job.
func (e *Engine) classOf(q *policy.Queue, team string, over bool) workClass {
	return workClass{service: q.Service, overEntitlement: over, priority: q.Priority, yields: e.contention.yields[team]}
}

// addWaiting adds waiting tasks of s to the contention.
func (e *Engine) addWaiting(s *stepState, q *policy.Queue, waiting int) {
	k := e.classOf(q, s.job().team, s.job().overEntitlement)
	k.late = ordering.TimelinessOf(s.urgency, e.now) != ordering.InTime
	l := e.contention.class(k)
	backlog := e.backlogOf(s.job().team)
	allowed := backlog.allow(s, waiting)
	cores := float64(s.charge.CPU) / 1000
	l.gangs = l.gangs || s.spec.Gang
	l.blocked += backlog.block(cores * float64(waiting-allowed))
	work := e.workOf(s) * float64(allowed)
	if c := e.confinementOf(s, q.Service, allowed); c.isZero() {
		e.addTo(&l.waitingLoad, s, q, cores*float64(allowed), work)
	} else {
		g := l.confinedBy(c)
		g.alone += work / max(cores, c.atOnce)
		e.addTo(&g.waitingLoad, s, q, min(cores*float64(allowed), c.atOnce), work)
	}
	if backlog.limit == (job.Resources{}) {
		return
	}
	backlog.waiting = append(backlog.waiting, waitingTasks{k, s.spec, waiting, e.expectedRuntimeOf(s.job().queue, s.spec)})
	backlog.schedules = nil
}

// addTo adds the given cores and core-seconds of waiting tasks of s to l.
func (e *Engine) addTo(l *waitingLoad, s *stepState, q *policy.Queue, cores, work float64) {
	l.cores += cores
	l.work += work
	if cores > 0 && (q.Advice == nil || s.advice != nil && len(s.advice.asked) > 0) {
		l.oldest = max(l.oldest, e.now.Sub(s.readyAt))
	}
	if !s.usesRoomLater(q) {
		return
	}
	if q.Advice != nil && callClass(q.Advice.Base) > 0 {
		l.claimedLater += cores
	} else {
		l.claimed += cores
	}
}

// expectedRuntimeOf returns the mean run time of a task of a queue, whatever its team.
func (e *Engine) expectedRuntimeOf(queue string, s *job.Step) time.Duration {
	if e.cfg.Features.LearnedRuntimes {
		return e.runtimes.Expect(taskOf(&job.Spec{Queue: queue}, s, "", 1), "").Mean()
	}
	return e.estimator.expect(queue, s.Estimate)
}

// usesRoomLater reports whether s may use capacity that the last placement round has left: if
// no round has tried it, or while the adviser has not named workers for it. A gang that
// knows its workers has resources held for it instead.
func (s *stepState) usesRoomLater(q *policy.Queue) bool {
	if !s.placementTried {
		return true
	}
	if q.Advice == nil {
		return false
	}
	a := s.advice
	return a == nil || len(a.asked) == 0 || !s.spec.Gang && a.callsInFlight > 0
}

// countContender adds the work of an accepted job to the contention.
func (e *Engine) countContender(o *occurrence, q *policy.Queue, work float64) {
	c := e.contention
	if c == nil {
		return
	}
	j := o.job
	if !j.overEntitlement {
		for _, s := range o.steps {
			if of := e.confinementOf(s, q.Service, s.remaining); !of.isZero() && !s.spec.LongRunning {
				confined := e.workOf(s) * float64(s.remaining)
				work -= confined
				c.noteArrival(j.team, q, of, confined, e.now)
				c.class(e.classOf(q, j.team, false)).confinedBy(of).arriving += confined / arrivalWindow.Seconds()
			}
		}
		c.noteArrival(j.team, q, confinement{}, work, e.now)
		c.class(e.classOf(q, j.team, false)).arriving += work / arrivalWindow.Seconds()
	}
	for _, s := range o.steps {
		if len(s.spec.DependsOn) == 0 && s.waiting > 0 {
			c.excess[j.team] += float64(s.charge.CPU) / 1000 * float64(s.waiting)
			s.urgency = e.urgencyOf(s)
			e.addWaiting(s, q, s.waiting)
		}
	}
}

// noteArrival adds core-seconds of arriving work in a confinement to the rate of their source.
func (c *contention) noteArrival(team string, q *policy.Queue, of confinement, work float64, now time.Time) {
	source := arrivalSource{q.Service, q.Priority, team, of.confinementKey}
	i := slices.IndexFunc(c.arrivals, func(r *arrivalRate) bool { return r.arrivalSource == source })
	if i < 0 {
		i = len(c.arrivals)
		c.arrivals = append(c.arrivals, &arrivalRate{arrivalSource: source, at: now})
	}
	r := c.arrivals[i]
	r.cores, r.at, r.confinement = r.rate(now)+work/arrivalWindow.Seconds(), now, of
}

// runReserved adds r to the runs of its team.
func (c *contention) runReserved(r *run) {
	if c == nil {
		return
	}
	team := r.task.step.job().team
	r.teamSlot = len(c.runs[team])
	c.runs[team] = append(c.runs[team], r)
}

// runReleased removes r from the runs of its team.
func (c *contention) runReleased(r *run) {
	if c == nil {
		return
	}
	team := r.task.step.job().team
	list := c.runs[team]
	last := list[len(list)-1]
	list[r.teamSlot], last.teamSlot = last, r.teamSlot
	list[len(list)-1] = nil
	c.runs[team] = list[:len(list)-1]
}
