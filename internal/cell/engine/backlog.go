package engine

import (
	"math"
	"time"
)

// addBacklog counts the work of an occurrence that has become due.
func (e *Engine) addBacklog(o *occurrence) {
	q := e.queueOf(o.job)
	if q == nil || o.counted {
		return
	}
	o.counted = true
	o.priority = q.Priority
	total := 0.0
	for _, s := range o.steps {
		if s.spec.LongRunning {
			continue
		}
		s.work = float64(s.charge.CPU) / 1000 * e.pace.expect(o.job.queue, s.spec.Estimate).Seconds()
		total += s.work * float64(s.left)
	}
	e.backlog[o.priority] += total
	r := e.arriving[o.priority]
	if r == nil {
		r = &arrivals{at: e.now}
		e.arriving[o.priority] = r
	}
	r.add(e.now, total)
}

// takeBacklog counts n tasks of s as done.
func (e *Engine) takeBacklog(s *stepRun, n int) {
	if s.occ.counted {
		e.backlog[s.occ.priority] -= s.work * float64(n)
	}
}

// dropBacklog takes off all that is left of an occurrence.
func (e *Engine) dropBacklog(o *occurrence) {
	for _, s := range o.steps {
		e.takeBacklog(s, s.left)
	}
	o.counted = false
}

// arrivalSpan is the time over which the rate of arriving work is averaged: a few
// times the length of a task.
const arrivalSpan = 10 * time.Second

// arrivals averages the work that arrives, in cores.
type arrivals struct {
	cores float64
	at    time.Time
}

func (a *arrivals) rate(now time.Time) float64 {
	return a.cores * math.Exp(-now.Sub(a.at).Seconds()/arrivalSpan.Seconds())
}

func (a *arrivals) add(now time.Time, work float64) {
	a.cores = a.rate(now) + work/arrivalSpan.Seconds()
	a.at = now
}
