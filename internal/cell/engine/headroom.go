package engine

import (
	"math"
	"time"

	"pollenbend/internal/cell/policy"
)

// With Features.Headroom, work of lower priorities leaves some free resources for the tasks of the
// highest priority that are expected to arrive next. It answers a fleet that other work fills to
// the last core: an urgent task then waits until something ends on one of the few workers that the
// adviser named for it.

const (
	// headroomHorizon is the time for whose arrivals resources are kept free. It covers the call
	// to the adviser and the wait for the next ends.
	headroomHorizon = 300 * time.Millisecond
	// maxHeadroomRatio is the part of a service's CPU that may be kept free.
	maxHeadroomRatio = 0.1
	// unkeptRatio is the part of a service's CPU that work of lower priorities may use in any case.
	// Where urgent tasks are too large for what is free on any worker, keeping it helps none of them.
	unkeptRatio = 0.75
	// urgentRateWindow is the time constant of the rate of arriving tasks: shorter than a burst.
	urgentRateWindow = 2 * time.Second
)

// taskArrivals measures the arriving tasks of a service's highest priority.
type taskArrivals struct {
	tasksPerSecond float64
	cpuPerSecond   float64 // thousandths of a core that these tasks need, per second
	at             time.Time
}

// add adds the tasks of an arriving job.
func (a *taskArrivals) add(tasks, cpu float64, now time.Time) {
	fade := decay(now.Sub(a.at), urgentRateWindow)
	window := urgentRateWindow.Seconds()
	a.tasksPerSecond = a.tasksPerSecond*fade + tasks/window
	a.cpuPerSecond = a.cpuPerSecond*fade + cpu/window
	a.at = now
}

// noteUrgentArrival adds an arriving job to the arrivals of its service if its priority is the
// highest and its team is entitled to it. Steps that only some of the workers may run don't count:
// what is kept free is not kept on these.
func (e *Engine) noteUrgentArrival(o *occurrence, q *policy.Queue) {
	if !e.cfg.Features.Headroom || o.job.overEntitlement || !e.policy.IsHighestPriority(q) {
		return
	}
	p := e.measuredPool(q.Service)
	tasks, cpu := 0.0, 0.0
	for _, s := range o.steps {
		if len(s.spec.DependsOn) == 0 && !s.spec.LongRunning && p.allCanHold(s.spec) {
			tasks += float64(s.remaining)
			cpu += float64(s.remaining) * float64(s.charge.CPU)
		}
	}
	p.urgent.add(tasks, cpu, e.now)
}

// cpuBesideHeadroom returns the CPU that work of lower priorities may use in a round, in
// thousandths of a core: what is free in pieces that hold an urgent task, less what is kept.
func (p *pool) cpuBesideHeadroom(now time.Time) int64 {
	fade := decay(now.Sub(p.urgent.at), urgentRateWindow)
	rate := p.urgent.tasksPerSecond * fade
	if rate*headroomHorizon.Seconds() < 1 {
		return math.MaxInt64 // hardly any arrive
	}
	taskCPU := p.urgent.cpuPerSecond / p.urgent.tasksPerSecond
	kept := min(rate*headroomHorizon.Seconds()*taskCPU, maxHeadroomRatio*float64(p.capacity))
	unkept := float64(p.free) - (1-unkeptRatio)*float64(p.capacity)
	return int64(max(0, float64(p.freeInPieces(taskCPU))-kept, unkept))
}

// freeInPieces returns the CPU that tasks of the given CPU could use on the workers, in
// thousandths of a core.
func (p *pool) freeInPieces(taskCPU float64) int64 {
	total := 0.0
	for _, w := range p.workers {
		if w.listed && !w.draining && !w.evacuated {
			total += math.Floor(float64(max(0, w.capacity.CPU-w.used.CPU))/max(1, taskCPU)) * taskCPU
		}
	}
	return int64(total)
}

// withinHeadroom returns the first of tasks, as many as the headroom allows to start now. A gang
// has resources held for it, which do not count.
func (e *Engine) withinHeadroom(s *stepState, q *policy.Queue, round *placementRound, tasks []*task) []*task {
	if !e.cfg.Features.Headroom || s.spec.Gang || s.charge.CPU <= 0 {
		return tasks
	}
	if e.policy.IsHighestPriority(q) && !s.job().overEntitlement {
		return tasks
	}
	return tasks[:min(int64(len(tasks)), round.cpuBesideHeadroom/s.charge.CPU)]
}

// lentHeadroomRatio is the part of the cores that arriving work of the highest priority occupies
// which are not lent to work beyond the entitlements. What was lent comes back only after the run
// time of a task, and the rate of a burst is twice the usual one.
const lentHeadroomRatio = 0.5

// lentHeadroom returns the cores of a service that are not lent to work beyond the entitlements.
func (e *Engine) lentHeadroom(service string) float64 {
	if !e.cfg.Features.Headroom {
		return 0
	}
	arriving := 0.0
	highest, _ := e.policy.HighestPriority(service)
	for _, load := range e.contention.classes {
		if load.service == service && load.priority == highest && !load.overEntitlement {
			arriving += load.arriving
		}
	}
	return lentHeadroomRatio * arriving
}
