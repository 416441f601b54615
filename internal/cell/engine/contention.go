package engine

import (
	"time"

	"pollenbend/internal/cell/admission"
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
	classes      map[workClass]*classLoad
	teams        map[string]*teamBacklog
	rooms        map[string]*room               // by service
	arrivals     map[arrivalSource]*arrivalRate // of work within the entitlements
	typical      map[string]float64             // by queue: smoothed core-seconds of the first tasks of submitted jobs
	yields       map[string]bool                // teams whose steps yield to those of teams below their shares
	runs         map[string][]*run              // by team
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
	case c.priority != j.priority:
		return c.priority < j.priority
	}
	return !c.yields || j.yields
}

// classLoad is the waiting and arriving work of a class, in cores and core-seconds.
type classLoad struct {
	cores, work float64 // of the tasks that their teams' limits allow to run
	claimed     float64 // part of cores that will use free capacity, see admission.Contention
	blocked     float64 // cores that teams at their limits use, as more of their work of this class waits
	arriving    float64
	gangs       bool // a gang waits
}

// arrivalSource is an origin of arriving work.
type arrivalSource struct {
	service  string
	priority int
	team     string
}

// arrivalRate is the average rate of arriving work, in cores, see demand.
type arrivalRate struct {
	cores float64
	at    time.Time
}

func (r *arrivalRate) rate(now time.Time) float64 {
	return r.cores * decay(now.Sub(r.at), arrivalWindow)
}

const (
	// minContentionInterval is the minimum interval between two measurements. On large pools
	// it is longer by one such interval for every contentionWorkers workers, so that the
	// measurements take at most about 2% of the time.
	minContentionInterval = 5 * time.Millisecond
	contentionWorkers     = 2000
	// maxContentionAge is the age from which the load is measured without a placement round.
	maxContentionAge = 4 * maxPlacementInterval
)

func newContention() *contention {
	return &contention{
		classes: make(map[workClass]*classLoad), teams: make(map[string]*teamBacklog), rooms: make(map[string]*room),
		arrivals: make(map[arrivalSource]*arrivalRate), typical: make(map[string]float64),
		yields: make(map[string]bool), runs: make(map[string][]*run),
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
	clear(c.classes)
	clear(c.teams)
	clear(c.rooms)
	for service, p := range e.pools {
		c.rooms[service] = newRoom(p, e.now)
	}
	for _, s := range e.openSteps {
		if q := e.queueOf(s.job()); q != nil && s.open() {
			e.addWaiting(s, q, s.waiting)
		}
	}
	for source, r := range c.arrivals {
		cores := r.rate(e.now)
		if cores < 0.01 {
			delete(c.arrivals, source)
			continue
		}
		if team := e.policy.Team(source.team); team != nil && team.Limit.CPU > 0 {
			cores = min(cores, float64(team.Limit.CPU)/1000)
		}
		c.class(workClass{service: source.service, priority: source.priority, yields: c.yields[source.team]}).arriving += cores
	}
}

// class returns the load of a class and creates it on first use.
func (c *contention) class(k workClass) *classLoad {
	l := c.classes[k]
	if l == nil {
		l = &classLoad{}
		c.classes[k] = l
	}
	return l
}

// classOf returns the class of a step of j.
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
	l.cores += cores * float64(allowed)
	l.work += e.workOf(s) * float64(allowed)
	l.gangs = l.gangs || s.spec.Gang
	l.blocked += backlog.block(cores * float64(waiting-allowed))
	if s.usesRoomLater(q) {
		l.claimed += cores * float64(allowed)
	}
	backlog.waiting = append(backlog.waiting, waitingTasks{k, s.spec, waiting, e.expectedRuntimeOf(s.job().queue, s.spec)})
	backlog.schedules = nil
}

// expectedRuntimeOf returns the expected run time of a task.
func (e *Engine) expectedRuntimeOf(queue string, s *job.Step) time.Duration {
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
		source := arrivalSource{q.Service, q.Priority, j.team}
		r := c.arrivals[source]
		if r == nil {
			r = &arrivalRate{at: e.now}
			c.arrivals[source] = r
		}
		r.cores, r.at = r.rate(e.now)+work/arrivalWindow.Seconds(), e.now
		c.class(e.classOf(q, j.team, false)).arriving += work / arrivalWindow.Seconds()
	}
	for _, s := range o.steps {
		if len(s.spec.DependsOn) == 0 && s.waiting > 0 {
			s.urgency = e.urgencyOf(s)
			e.addWaiting(s, q, s.waiting)
		}
	}
}

// runReserved and runReleased keep the runs by team.
func (c *contention) runReserved(r *run) {
	if c == nil {
		return
	}
	team := r.task.step.job().team
	r.teamSlot = len(c.runs[team])
	c.runs[team] = append(c.runs[team], r)
}

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

// updateYields determines which teams' steps yield to those of teams below their shares, and
// sets that for the open steps.
func (e *Engine) updateYields() {
	c := e.contention
	if c == nil {
		return
	}
	waiting := make(map[string]bool)
	for _, s := range e.openSteps {
		if s.open() && !waiting[s.job().team] {
			team := e.policy.Team(s.job().team)
			waiting[s.job().team] = team != nil && s.spec.Need.CountWithin(team.Limit, e.usage[team.Name], 1) > 0
		}
	}
	capacity := int64(0)
	for _, p := range e.pools {
		capacity += p.capacity
	}
	uses := make([]ordering.TeamUse, len(e.policy.Teams))
	for i := range e.policy.Teams {
		t := &e.policy.Teams[i]
		uses[i] = ordering.TeamUse{Weight: t.Weight, Cores: float64(e.usage[t.Name].CPU) / 1000, Waiting: waiting[t.Name]}
	}
	clear(c.yields)
	for i, yields := range ordering.Yielding(uses, float64(capacity)/1000) {
		if yields {
			c.yields[e.policy.Teams[i].Name] = true
		}
	}
	for _, s := range e.openSteps {
		s.urgency.Yields = c.yields[s.job().team]
	}
}

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
