package engine

import (
	"math"
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/advice"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// admitByContention decides whether a job is accepted beside the work that competes with it.
func (e *Engine) admitByContention(spec *job.Spec, q *policy.Queue, criticalPath time.Duration) admission.Decision {
	e.refreshContention()
	first := widest(spec)
	length := e.expectedRuntimeOf(spec.Queue, first)
	cores := float64(first.Charge().CPU) / 1000 * float64(first.Count)
	j := admission.Contender{
		ID: spec.ID, Cores: cores, Work: cores * length.Seconds(), TypicalWork: e.contention.typical[q.Name],
		TimeToEnd: time.Duration((1+estimateMargin)*float64(criticalPath)) + e.storeLatency + dispatchTime,
		Objective: objective(q, criticalPath), OverEntitlement: !e.hasToken(spec.Team), Gang: first.Gang,
	}
	e.contention.noteTypical(q.Name, j.Work)
	d := admission.Contend(j, e.contentionFor(spec, q, first, j, length))
	e.contention.noteRefusal(spec.Team, cores, d.Reason, e.now)
	return d
}

// retryAfter returns the delay for the caller of a refused job. Without the feature all
// callers get the same.
func (e *Engine) retryAfter(id string, d time.Duration) time.Duration {
	if e.contention == nil || d <= 0 {
		return d
	}
	return admission.RetryDelay(id, d)
}

// typicalWorkWeight is the weight of one submitted job in the typical work of its queue.
const typicalWorkWeight = 0.02

// noteTypical adds a submitted job to the typical work of its queue.
func (c *contention) noteTypical(queue string, work float64) {
	old, known := c.typical[queue]
	if !known {
		old = work
	}
	c.typical[queue] = old + typicalWorkWeight*(work-old)
}

// contentionFor returns what competes with a new job.
func (e *Engine) contentionFor(spec *job.Spec, q *policy.Queue, first *job.Step, j admission.Contender, length time.Duration) admission.Contention {
	class := e.classOf(q, spec.Team, j.OverEntitlement)
	l := admission.Contention{GoodRatio: 1}
	longCall := q.Advice != nil && callClass(q.Advice.Base) > 0
	firstGang := math.MaxInt // priority of the first waiting gang in order
	var confined []*confinedLoad
	for _, load := range e.contention.classes {
		k := load.workClass
		if load.gangs && k.service == class.service && !k.overEntitlement && !k.late {
			firstGang = min(firstGang, k.priority)
		}
		if !k.before(class) {
			continue
		}
		l.AheadCores += load.cores
		l.AheadWork += load.work
		l.ClaimedCores += load.claimed
		if longCall {
			l.ClaimedCores += load.claimedLater
		}
		l.BlockedCores += load.blocked
		arrivesBefore := k.priority < class.priority || class.overEntitlement || class.yields && !k.yields
		if arrivesBefore {
			l.ArrivingCores += load.arriving
		}
		confined = addConfined(confined, load.confined, arrivesBefore)
	}
	if q.Advice != nil {
		l.GoodRatio = e.goodShare(q.Name)
		call := q.Advice.CallDuration(e.workersPerCall(first, l.GoodRatio))
		if wait := advice.Wait(e.delegateLoads, e.now, call); wait > 0 {
			l.AdviceWait = wait + call
		}
	}
	room := e.roomOf(q.Service)
	l.Capacity, l.PackedCapacity = room.capacityFor(first, e.poolOf(q.Service), e.now)
	l.Scale(e.usableShare(first, q.Service, l.Capacity))
	e.addConfinedAhead(&l, confined, first, q.Service, longCall)
	// What is held for gangs is free for a job that is placed before all of them.
	unheld := !class.overEntitlement && class.priority < firstGang
	owed := e.owedCores(spec.Team)
	l.Room = room.coresFor(first, unheld, l.ClaimedCores+(j.Cores+owed)/l.GoodRatio)
	if d := e.demands[q.Priority]; d != nil {
		l.RecentWait = d.waitingTime(e.now)
	}
	l.TeamWait = e.limitWait(spec.Team, class, first, length)
	l.OwedCores = owed
	if j.OverEntitlement {
		l.Surplus = e.contention.surplusFor(class, e.now)
		e.addConfinedSurplus(&l, class, first)
		l.HeadroomCores = e.lentHeadroom(q.Service)
	}
	return l
}

// workersPerCall returns the approximate number of workers in the first call to the adviser
// about a step.
func (e *Engine) workersPerCall(s *job.Step, goodRatio float64) int {
	if s.Gang {
		return min(gangCallSize, int(gangAskMultiplier*float64(s.Count)/goodRatio))
	}
	return min(maxWorkersPerCall, max(minWorkersAsked, int(askMultiplier*float64(s.Count)/goodRatio)))
}
