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

// demand is what waits for room, and what arrives, at one priority.
type demand struct {
	cpu   int64   // of the tasks that wait and can end in time, in thousandths of a core
	fresh int64   // the part of cpu that no round of placement has had a chance to place
	work  float64 // core-seconds of the tasks that wait
	cores float64 // averaged rate at which work arrives
	at    time.Time
}

// arrivalSpan is the time over which the rate of arriving work is averaged: a few
// times the length of a task.
const arrivalSpan = 10 * time.Second

func (d *demand) rate(now time.Time) float64 {
	return d.cores * math.Exp(-now.Sub(d.at).Seconds()/arrivalSpan.Seconds())
}

func (e *Engine) demandAt(priority int) *demand {
	d := e.demands[priority]
	if d == nil {
		d = &demand{at: e.now}
		e.demands[priority] = d
	}
	return d
}

// arrived counts the work of an occurrence that has become due.
func (e *Engine) arrived(o *occurrence) {
	q := e.queueOf(o.job)
	if q == nil || o.counted {
		return
	}
	o.counted = true
	total := 0.0
	for _, s := range o.steps {
		if !s.spec.LongRunning {
			total += e.workOf(s) * float64(s.left)
		}
	}
	d := e.demandAt(q.Priority)
	d.cores = d.rate(e.now) + total/arrivalSpan.Seconds()
	d.at = e.now
	if !o.job.overdue {
		d.work += total
		for _, s := range o.steps {
			if len(s.spec.DependsOn) == 0 {
				d.cpu += int64(s.left) * s.charge.CPU
				d.fresh += int64(s.left) * s.charge.CPU
			}
		}
	}
}

// workOf returns the expected core-seconds of one task of s.
func (e *Engine) workOf(s *stepRun) float64 {
	return float64(s.charge.CPU) / 1000 * e.pace.expect(s.job().queue, s.spec.Estimate).Seconds()
}

// measureEvery is how long the measure of what waits holds. Jobs accepted meanwhile
// are added to it.
const measureEvery = 25 * time.Millisecond

// measureWaiting works out what waits for room at each priority and can still end in
// time.
func (e *Engine) measureWaiting() {
	if e.now.Sub(e.measured) < measureEvery {
		return
	}
	e.measured = e.now
	for _, d := range e.demands {
		d.cpu, d.fresh, d.work = 0, 0, 0
	}
	for _, s := range e.open {
		q := e.queueOf(s.job())
		if q == nil || !s.open() || s.job().overdue {
			continue
		}
		if ordering.BandOf(e.orderOf(s), e.now) != ordering.InTime {
			continue // it is served after what can still end in time
		}
		d := e.demandAt(q.Priority)
		d.cpu += int64(s.waiting) * s.charge.CPU
		if !s.tried || s.advice.first() {
			d.fresh += int64(s.waiting) * s.charge.CPU
		}
		d.work += float64(s.waiting) * e.workOf(s)
	}
}

// loadFor returns what a job of q meets now that starts with tasks of first.
//
// Open room is what these tasks fit into now and that would stay unused without them.
// What was looked at in a round of placement and still waits could not take it, for
// want of advice or of room for a whole gang, so only what was not looked at yet is
// taken off.
func (e *Engine) loadFor(q *policy.Queue, first *job.Step) admission.Load {
	e.measureWaiting()
	l := admission.Load{}
	charge, fit := first.Charge(), 0
	for _, w := range e.order {
		if w.service != q.Service {
			continue
		}
		if w.listed && !w.draining && w.silent == 0 && !w.health.quarantined(e.now) {
			l.Capacity += float64(w.capacity.CPU) / 1000
			l.Free += float64(w.capacity.CPU-w.used.CPU) / 1000
		}
		if w.usable(e.now) && w.mayHold(first) {
			fit += charge.CountIn(w.free(), first.Count)
		}
	}
	l.Open = float64(fit) * float64(charge.CPU) / 1000
	if q.Advice != nil {
		l.Open *= e.goodShare(q.Name)
	}
	for priority, d := range e.demands {
		if priority <= q.Priority {
			l.Waiting += float64(d.cpu) / 1000
			l.Ahead += d.work
			l.Open -= float64(d.fresh) / 1000
		}
		if priority < q.Priority {
			l.Higher += d.rate(e.now)
		}
	}
	return l
}

// widest returns the step of a job that asks for the most cores of those that start
// at once.
func widest(spec *job.Spec) *job.Step {
	best := &spec.Steps[0] // no step depends on a later one
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if len(s.DependsOn) == 0 && s.Charge().CPU*int64(s.Count) > best.Charge().CPU*int64(best.Count) {
			best = s
		}
	}
	return best
}

// tellLoadEvery is the pause between two lines on the load of the cell.
const tellLoadEvery = 2 * time.Second

// tellLoad logs what is free and what waits.
func (e *Engine) tellLoad() {
	if e.now.Sub(e.loadToldAt) < tellLoadEvery {
		return
	}
	e.loadToldAt = e.now
	e.measureWaiting()
	listed, usable, runs := 0, 0, 0
	var capacity, used int64
	for _, w := range e.order {
		runs += len(w.runs)
		if w.listed {
			listed++
		}
		if w.usable(e.now) {
			usable++
			capacity += w.capacity.CPU
			used += w.used.CPU
		}
	}
	attrs := []any{"jobs", len(e.jobs), "open_steps", len(e.open), "runs", runs, "listed", listed, "usable", usable,
		"cpu", capacity, "cpu_used", used, "round_us", e.planTook.Microseconds(), "arms", len(e.arms)}
	for _, priority := range slices.Sorted(maps.Keys(e.demands)) {
		d := e.demands[priority]
		attrs = append(attrs, fmt.Sprintf("waiting_cpu_%d", priority), d.cpu, fmt.Sprintf("arriving_cores_%d", priority), int(d.rate(e.now)))
	}
	e.log.Info("load", attrs...)
}
