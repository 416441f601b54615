package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// The workers of an evacuated availability zone get no start commands. What runs there
// goes on, and their leases are renewed.

// evacuationRetryAfter is the retry delay of a job that only workers in evacuated zones
// could run. Operators evacuate a zone for several seconds or more.
const evacuationRetryAfter = 5 * time.Second

// evacuationsChanged applies the evacuations in force.
func (e *Engine) evacuationsChanged(before *policy.Evacuations) {
	now := &e.policy.Evacuations
	for _, w := range e.workerList {
		w.evacuated = now.Contains(w.zone)
	}
	e.needsPlacement = true
	if slices.Equal(before.Zones, now.Zones) {
		return
	}
	workers, runs, listed := e.evacuated()
	e.log.Info("evacuations applied", "zones", now.Zones, "before", before.Zones, "revision", now.Revision,
		"workers", workers, "of", listed, "runs_left", runs)
	if listed > 0 && workers == listed {
		e.log.Warn("all availability zones with workers are evacuated; jobs wait or are refused", "zones", now.Zones)
	}
	for _, zone := range now.Zones {
		if listed > 0 && !e.hasWorkersIn(zone) {
			e.log.Warn("evacuated availability zone has no workers", "zone", zone)
		}
	}
	e.reportEvacuated()
}

// evacuated returns the number of listed workers in evacuated zones, the number of runs on
// them and the number of listed workers.
func (e *Engine) evacuated() (workers, runs, listed int) {
	for _, w := range e.workerList {
		if !w.listed {
			continue
		}
		listed++
		if w.evacuated {
			workers++
			runs += len(w.runs)
		}
	}
	return workers, runs, listed
}

// reportEvacuated passes the numbers of evacuated workers and of their runs on.
func (e *Engine) reportEvacuated() {
	if e.cfg.ReportEvacuated != nil {
		workers, runs, _ := e.evacuated()
		e.cfg.ReportEvacuated(workers, runs)
	}
}

func (e *Engine) hasWorkersIn(zone string) bool {
	return slices.ContainsFunc(e.workerList, func(w *worker) bool { return w.listed && w.zone == zone })
}

// onlyEvacuatedFit reports whether a step of a job could be run by workers in evacuated
// zones alone.
func (e *Engine) onlyEvacuatedFit(spec *job.Spec, q *policy.Queue) bool {
	if len(e.policy.Evacuations.Zones) == 0 {
		return false
	}
	for i := range spec.Steps {
		evacuated, others := false, false
		for _, w := range e.workerList {
			if !w.listed || w.service != q.Service || !w.canHold(&spec.Steps[i]) {
				continue
			}
			evacuated = evacuated || w.evacuated
			others = others || !w.evacuated
		}
		if evacuated && !others {
			return true
		}
	}
	return false
}

// minColdShare is the part of its capacity for which a worker gets tasks right after a cold
// start. The part grows to the whole capacity while the worker warms up.
const minColdShare = 0.25

// noteCold records how much longer a worker is slow after its start.
func (e *Engine) noteCold(w *worker, left time.Duration) {
	if left <= 0 {
		w.coldUntil, w.withheld = time.Time{}, job.Resources{}
		return
	}
	if w.coldUntil.IsZero() {
		w.coldFor = left
		if s := e.policy.Service(w.service); s != nil {
			w.coldFor = max(left, s.ColdStart)
		}
		e.coldWorkers = append(e.coldWorkers, w)
	}
	w.coldUntil = e.now.Add(left)
	w.withheld = withheldWhileCold(w.capacity, left, w.coldFor)
}

// updateWithheld updates the part of the capacity of cold workers that gets no tasks yet.
func (e *Engine) updateWithheld() {
	cold := e.coldWorkers[:0]
	for _, w := range e.coldWorkers {
		if w.coldUntil.IsZero() {
			continue
		}
		left := w.coldUntil.Sub(e.now)
		w.withheld = withheldWhileCold(w.capacity, left, w.coldFor)
		if left <= 0 {
			w.coldUntil = time.Time{}
			continue
		}
		cold = append(cold, w)
	}
	clear(e.coldWorkers[len(cold):])
	e.coldWorkers = cold
}

// withheldWhileCold returns the part of capacity that a worker gets no tasks for while it
// is slow for the time left of total.
func withheldWhileCold(capacity job.Resources, left, total time.Duration) job.Resources {
	if left <= 0 {
		return job.Resources{}
	}
	share := min(1-minColdShare, left.Seconds()/total.Seconds())
	part := func(n int64) int64 { return int64(share * float64(n)) }
	return job.Resources{CPU: part(capacity.CPU), MemMB: part(capacity.MemMB), GPU: part(capacity.GPU)}
}
