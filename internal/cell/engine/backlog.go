package engine

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/policy"
)

// demand is the waiting and the arriving work of one priority.
type demand struct {
	waitingCPU    int64     // CPU of the waiting tasks that can still end in time, in thousandths of a core
	untriedCPU    int64     // part of waitingCPU that no placement round has tried to place
	waitingWork   float64   // core-seconds of the waiting work that can still end in time
	arrivalRate   float64   // average rate of arriving work, in cores
	arrivalRateAt time.Time // when arrivalRate was last updated

	startDelay   time.Duration // smoothed time that recently started tasks had waited
	startDelayAt time.Time     // when startDelay was last updated
}

const (
	// startDelayWindow is the time constant of the smoothed waiting time.
	startDelayWindow = 500 * time.Millisecond
	// startDelayWeight is the weight of one step in it.
	startDelayWeight = 0.05
)

// noteStart adds a step that starts after it has waited.
func (d *demand) noteStart(waited time.Duration, now time.Time) {
	d.startDelay = d.waitingTime(now)
	d.startDelay += time.Duration(startDelayWeight * float64(waited-d.startDelay))
	d.startDelayAt = now
}

// waitingTime returns the time that tasks which start now have waited. Without starts it
// decreases, so that jobs are accepted again and show whether they would wait.
func (d *demand) waitingTime(now time.Time) time.Duration {
	return time.Duration(float64(d.startDelay) * decay(now.Sub(d.startDelayAt), startDelayWindow))
}

// arrivalWindow is the time constant of the average rate of arriving work: a few times
// the runtime of a task.
const arrivalWindow = 10 * time.Second

// rate returns the average rate of arriving work at the given time, in cores.
func (d *demand) rate(now time.Time) float64 {
	return d.arrivalRate * decay(now.Sub(d.arrivalRateAt), arrivalWindow)
}

// decay returns the factor by which an average with the given time constant decreases in
// the time elapsed.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// demandAt returns the demand of a priority and creates it on first use.
func (e *Engine) demandAt(priority int) *demand {
	d := e.demands[priority]
	if d == nil {
		d = &demand{arrivalRateAt: e.now}
		e.demands[priority] = d
	}
	return d
}

// countArrival adds the work of an occurrence that has become due to the demand.
func (e *Engine) countArrival(o *occurrence) {
	q := e.queueOf(o.job)
	if q == nil || o.arrivalCounted {
		return
	}
	o.arrivalCounted = true
	e.noteUrgentArrival(o, q)
	total := 0.0
	for _, s := range o.steps {
		if !s.spec.LongRunning && !e.isLeftOut(s, q, s.remaining) {
			total += e.workOf(s) * float64(s.remaining)
		}
	}
	d := e.demandAt(q.Priority)
	d.arrivalRate = d.rate(e.now) + total/arrivalWindow.Seconds()
	d.arrivalRateAt = e.now
	e.countContender(o, q, total)
	if !o.job.overEntitlement {
		d.waitingWork += total
		for _, s := range o.steps {
			if len(s.spec.DependsOn) == 0 && !e.isLeftOut(s, q, s.remaining) {
				d.waitingCPU += int64(s.remaining) * s.charge.CPU
				d.untriedCPU += int64(s.remaining) * s.charge.CPU
			}
		}
	}
}

// waitsApart reports whether what s waits for says nothing about the wait of other steps: only some of
// the workers may run it, or more of its tasks wait than could run at the same time on idle workers.
func (e *Engine) waitsApart(s *stepState, p *pool, waiting int) bool {
	if !e.isConfined(s, p, waiting) {
		return false
	}
	perWorker := s.charge.CountIn(p.leastCapacity, waiting)
	if s.spec.MaxPerWorker > 0 {
		perWorker = min(perWorker, s.spec.MaxPerWorker)
	}
	return !p.allCanHold(s.spec) || perWorker*len(p.workers) < waiting
}

// isLeftOut reports whether the demand leaves out waiting tasks of s. contention, which knows how steps
// are confined, uses the demand only for the log.
func (e *Engine) isLeftOut(s *stepState, q *policy.Queue, waiting int) bool {
	if e.contention != nil {
		return false
	}
	p := e.poolOf(q.Service)
	return !p.measuredAt.IsZero() && e.waitsApart(s, p, waiting)
}

// workOf returns the expected core-seconds of one task of s.
func (e *Engine) workOf(s *stepState) float64 {
	return float64(s.charge.CPU) / 1000 * e.runtimeOf(s).mean.Seconds()
}

// demandMeasureInterval is the minimum interval between two measurements of the waiting
// work. Jobs accepted in between are added to the last one.
const demandMeasureInterval = 25 * time.Millisecond

// measureDemand measures, by priority, the waiting work that can still end in time.
func (e *Engine) measureDemand() {
	if e.now.Sub(e.demandMeasuredAt) < demandMeasureInterval {
		return
	}
	e.demandMeasuredAt = e.now
	for _, d := range e.demands {
		d.waitingCPU, d.untriedCPU, d.waitingWork = 0, 0, 0
	}
	for _, s := range e.openSteps {
		q := e.queueOf(s.job())
		if q == nil || !s.open() || s.job().overEntitlement {
			continue
		}
		if ordering.TimelinessOf(s.urgency, e.now) != ordering.InTime {
			continue // steps that can still end in time are placed before it
		}
		if e.isLeftOut(s, q, s.waiting) {
			continue
		}
		d := e.demandAt(q.Priority)
		d.waitingCPU += int64(s.waiting) * s.charge.CPU
		if !s.placementTried || s.advice.awaitsFirstAnswer() {
			d.untriedCPU += int64(s.waiting) * s.charge.CPU
		}
		d.waitingWork += float64(s.waiting) * e.workOf(s)
	}
}

// loadFor returns the present load for a job of q. first is the widest of the steps
// that the job starts with.
//
// Load.BackfillCores is the capacity that these tasks fit into now and that would
// stay unused without them. Steps that a placement round tried and left waiting
// could not use it, for lack of advice or of resources for a whole gang, so only the
// CPU of untried steps is subtracted.
func (e *Engine) loadFor(q *policy.Queue, first *job.Step) admission.Load {
	e.measureDemand()
	load := admission.Load{}
	charge, fits := first.Charge(), 0
	for _, w := range e.workerList {
		if w.service != q.Service {
			continue
		}
		if w.listed && !w.draining && !w.evacuated && w.missedRenewals == 0 && !w.health.quarantined(e.now) {
			load.Capacity += float64(w.capacity.CPU) / 1000
			load.Free += float64(max(0, w.capacity.CPU-w.used.CPU)) / 1000
		}
		if w.usable(e.now) && w.canHold(first) {
			fits += charge.CountIn(e.freeForNew(q.Name, "", first, w), first.Count)
		}
	}
	load.BackfillCores = float64(fits) * float64(charge.CPU) / 1000
	if q.Advice != nil {
		load.BackfillCores *= e.goodShare(q.Name)
	}
	if d := e.demands[q.Priority]; d != nil {
		load.RecentWait = d.waitingTime(e.now)
	}
	for priority, d := range e.demands {
		if priority <= q.Priority {
			load.WaitingCores += float64(d.waitingCPU) / 1000
			load.WaitingCoreSeconds += d.waitingWork
			load.BackfillCores -= float64(d.untriedCPU) / 1000
		}
		if priority < q.Priority {
			load.HigherPriorityCores += d.rate(e.now)
		}
	}
	return load
}

// widest returns the step with the highest total CPU among the steps of a job that
// depend on no other.
func widest(spec *job.Spec) *job.Step {
	best := &spec.Steps[0] // depends on no other, as steps depend only on earlier ones
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if len(s.DependsOn) == 0 && s.Charge().CPU*int64(s.Count) > best.Charge().CPU*int64(best.Count) {
			best = s
		}
	}
	return best
}

// loadLogInterval is the interval between two log lines about the load of the cell.
const loadLogInterval = 2 * time.Second

// logLoad logs the capacity in use and the waiting work.
func (e *Engine) logLoad() {
	if e.now.Sub(e.loadLoggedAt) < loadLogInterval {
		return
	}
	e.loadLoggedAt = e.now
	e.measureDemand()
	listed, usable, runs := 0, 0, 0
	var capacity, used, held job.Resources
	typical, _ := e.typicalRuntime()
	for _, w := range e.workerList {
		runs += len(w.runs)
		if w.listed {
			listed++
		}
		if w.usable(e.now) {
			usable++
			capacity, used, held = capacity.Add(w.capacity), used.Add(w.used), held.Add(e.heldOn(w, typical))
		}
	}
	attrs := []any{"jobs", len(e.jobs), "open_steps", len(e.openSteps), "runs", runs, "listed", listed, "usable", usable,
		"cpu", capacity.CPU, "cpu_used", used.CPU, "cpu_held", held.CPU, "mem_mb", capacity.MemMB, "mem_used_mb", used.MemMB, "round_us", e.placementTook.Microseconds(), "arms", len(e.delegates)}
	attrs = append(attrs, e.reservationAttrs()...)
	for _, priority := range slices.Sorted(maps.Keys(e.demands)) {
		d := e.demands[priority]
		attrs = append(attrs, fmt.Sprintf("waiting_cpu_%d", priority), d.waitingCPU, fmt.Sprintf("arriving_cores_%d", priority), int(d.rate(e.now)))
	}
	e.log.Info("load of the cell", attrs...)
	e.reportEvacuated()
}
