package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
)

// refusal is a job of a team that was refused for lack of room.
type refusal struct {
	at    time.Time
	cores float64
}

// refusalMemory is how long a refused job shows that its team has more work. It is a few
// intervals between the jobs of a team that overloads the fleet, so that room is not kept
// for a team that has stopped sending.
const refusalMemory = 250 * time.Millisecond

// noteRefusal records that a job of a team was refused for lack of room.
func (c *contention) noteRefusal(team string, cores float64, reason string, now time.Time) {
	if reason == admission.ReasonEntitlement || reason == admission.ReasonTooLate {
		c.refusals[team] = refusal{now, cores}
	}
}

// owedCores returns the cores of the smallest job that was lately refused to a team which is
// further below its share than the given one.
func (e *Engine) owedCores(name string) float64 {
	c, owed := e.contention, 0.0
	if c.excess[name] <= 0 {
		return 0
	}
	for team, r := range c.refusals {
		if e.now.Sub(r.at) <= refusalMemory && c.excess[team] < 0 && r.cores > 0 && (owed == 0 || r.cores < owed) {
			owed = r.cores
		}
	}
	return owed
}

// measureExcess measures by how much the accepted work of each team is above its share.
func (e *Engine) measureExcess() {
	c := e.contention
	uses := make([]ordering.TeamUse, len(e.policy.Teams))
	for i := range e.policy.Teams {
		t := &e.policy.Teams[i]
		cpu := e.usage[t.Name].CPU
		if b := c.teams[t.Name]; b != nil {
			cpu = b.used.CPU
		}
		uses[i] = ordering.TeamUse{Weight: t.Weight, Cores: float64(cpu) / 1000, Waiting: e.now.Sub(c.refusals[t.Name].at) <= refusalMemory}
	}
	clear(c.excess)
	for i, x := range ordering.Excess(uses) {
		c.excess[e.policy.Teams[i].Name] = x
	}
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

// surplusWindow is the time constant of the rate at which work beyond the entitlements starts.
const surplusWindow = time.Second

// startRate is the rate at which tasks beyond the entitlements start.
type startRate struct {
	service  string
	priority int
	cores    float64 // per second
	at       time.Time
}

// rate returns the rate at the given time.
func (r *startRate) rate(now time.Time) float64 {
	return r.cores * decay(now.Sub(r.at), surplusWindow)
}

// noteSurplusStart records that tasks of s start, if they are beyond the entitlement.
func (c *contention) noteSurplusStart(s *stepState, q *policy.Queue, count int, now time.Time) {
	if c == nil || count == 0 || !s.job().overEntitlement {
		return
	}
	i := slices.IndexFunc(c.starts, func(r *startRate) bool { return r.service == q.Service && r.priority == q.Priority })
	if i < 0 {
		i = len(c.starts)
		c.starts = append(c.starts, &startRate{service: q.Service, priority: q.Priority, at: now})
	}
	r := c.starts[i]
	r.cores = r.rate(now) + float64(s.charge.CPU)/1000*float64(count)/surplusWindow.Seconds()
	r.at = now
}

// surplusFor returns the work beyond the entitlements that competes with a job of a class.
func (c *contention) surplusFor(class workClass, now time.Time) admission.Surplus {
	var s admission.Surplus
	for _, l := range c.classes {
		if l.overEntitlement && l.service == class.service && l.priority <= class.priority {
			s.Waiting += l.cores
			s.Oldest = max(s.Oldest, l.oldest)
		}
	}
	for _, r := range c.starts {
		if r.service == class.service && r.priority <= class.priority {
			s.StartRate += r.rate(now)
		}
	}
	return s
}
