package engine

import (
	"time"
)

// plan reserves room for a run of t on w and has its record stored; the order
// goes out after that.
func (e *Engine) plan(t *task, w *worker, number int, pass ticket) {
	s := t.step
	if !t.live() {
		s.waiting--
	}
	t.number = number
	s.gangRun = max(s.gangRun, number)
	r := &run{task: t, worker: w, life: w.life, number: number, charge: s.charge, ticket: pass, phase: planned}
	t.runs = append(t.runs, r)
	e.reserve(r)
	e.touch(s)
	e.afterAppend(func() { e.sendStart(r) })
}

func (e *Engine) reserve(r *run) {
	r.worker.runs[r] = struct{}{}
	r.worker.used = r.worker.used.Add(r.charge)
	team := r.task.step.job().team
	e.usage[team] = e.usage[team].Add(r.task.step.spec.Need)
}

// sendStart sends the order for a run whose record is stored, unless it is no longer
// wanted.
func (e *Engine) sendStart(r *run) {
	if r.gone {
		return
	}
	w, t := r.worker, r.task
	if r.phase == stopping || w.life != r.life || !w.looked || t.step.job().state.Final() || t.done {
		e.endRun(r, EndedStopped, "", "not ordered")
		return
	}
	if r.ticket.value != "" && !e.now.Before(r.ticket.until) {
		e.endRun(r, EndedStopped, "", "ticket lapsed before the record was stored")
		return
	}
	if w.draining && !w.leaves.IsZero() && !t.step.spec.Gang {
		e.endRun(r, EndedStopped, "", "worker drains")
		return
	}
	r.phase = ordered
	r.sent, r.begun = true, e.now
	w.lookNext = e.now // it may have been idle, and is looked at seldom then
	e.emitStart(r, firstOrderTimeout)
}

const (
	// firstOrderTimeout bounds the first attempt at a start. A sound worker answers
	// within a few milliseconds, and the order may be repeated: a worker takes a run
	// once.
	firstOrderTimeout = 250 * time.Millisecond
	// orderTimeout bounds the second attempt.
	orderTimeout = 700 * time.Millisecond
	// stopTimeout bounds a stop, which is sent again until it is confirmed.
	stopTimeout = 300 * time.Millisecond
)

func (e *Engine) emitStart(r *run, timeout time.Duration) {
	w, t := r.worker, r.task
	r.orders++
	e.emit(&Start{
		Worker: w.id, Address: w.address, Life: r.life, Task: t.name, Run: r.number,
		Payload: t.step.job().spec.Payload, Deadline: w.lease(e.cfg.Lease, e.now),
		Checkpoint: t.checkpoint, Ticket: r.ticket.value, Timeout: timeout, run: r,
	})
}

// startAgain sends the order for r a second time, if it is still wanted and the
// worker would still take it.
func (e *Engine) startAgain(r *run) bool {
	w, t := r.worker, r.task
	if r.orders > 1 || r.phase != ordered || w.life != r.life || !w.listed || t.done || t.step.job().state.Final() {
		return false
	}
	if r.ticket.value != "" && !e.now.Before(r.ticket.until) {
		return false
	}
	e.emitStart(r, orderTimeout)
	return true
}

func (e *Engine) startAnswered(ev *StartAnswered) {
	r := ev.Start.run
	w := r.worker
	if ev.Life != 0 && w.life != 0 && ev.Life > w.life {
		e.newLife(w, ev.Life, "answer to a start")
	}
	if ev.Refusal != Unknown && ev.Clock > 0 {
		w.noteClock(ev.Clock, e.now)
	}
	if r.gone {
		return
	}
	t := r.task
	if ev.Refusal == Accepted {
		if r.phase == ordered {
			r.phase = running
		}
		e.taskBegun(t.step.job())
		e.log.Info("task started", "job", t.step.job().id, "task", t.name, "run", r.number, "worker", w.id,
			"order_ms", e.age(r.begun), "ready_ms", e.age(t.step.readyAt), "checkpoint", t.checkpoint != "")
		if r.phase == stopping {
			e.sendStop(r)
		}
		return
	}
	e.log.Warn("start not confirmed", "job", t.step.job().id, "task", t.name, "run", r.number, "worker", w.id,
		"reason", ev.Refusal.String(), "orders", r.orders, "order_ms", e.age(r.begun))
	switch ev.Refusal {
	case Fenced:
		e.stepDown("worker " + w.id + " has seen a newer leader")
	case Unknown:
		if e.startAgain(r) {
			return
		}
		w.health.failures++
		if r.phase == ordered {
			r.phase = doubtful
		}
		e.stop(r, "no answer to the start")
	case Unhealthy:
		w.health.quarantine(e.now)
		e.endRun(r, EndedStopped, "", "worker refuses work")
	case BadTicket:
		t.step.dropTicket(w.id)
		e.endRun(r, EndedStopped, "", "ticket refused")
	case OtherLife:
		e.endRun(r, EndedLapsed, "", "worker restarted")
		w.looked = false
		w.lookNext = e.now
	case OldRun:
		// A run with this number or a higher one has ended there. If the order was
		// sent twice, it may be this run, and the worker lists how it ended.
		if r.orders > 1 {
			e.stop(r, "run number is used up")
			return
		}
		e.endRun(r, EndedStopped, "", "run number is used up")
	default:
		e.endRun(r, EndedStopped, "", ev.Refusal.String())
	}
}

// stop has a run ended. It counts against its worker until it has.
func (e *Engine) stop(r *run, why string) {
	if r.gone || r.phase == stopping {
		return
	}
	r.phase = stopping
	r.stopWhy = why
	if !r.sent {
		return // the order has not gone out; sendStart drops it
	}
	e.sendStop(r)
}

func (e *Engine) sendStop(r *run) {
	if r.stopBusy || r.worker.address == "" {
		return
	}
	r.stopBusy = true
	r.stopSent = e.now
	e.emit(&Stop{Worker: r.worker.id, Address: r.worker.address, Life: r.life, Task: r.task.name, Run: r.number, Timeout: stopTimeout, run: r})
}

func (e *Engine) stopAnswered(ev *StopAnswered) {
	r := ev.Stop.run
	if r == nil {
		return // a stray; the next look tells
	}
	r.stopBusy = false
	if r.gone {
		return
	}
	w := r.worker
	switch ev.Refusal {
	case Accepted, OldRun: // a newer run there rules this one out as well
		if r.stopped.IsZero() {
			r.stopped = e.now
		}
		w.lookSoon = true
		w.lookNext = e.now
	case Fenced:
		e.stepDown("worker " + w.id + " has seen a newer leader")
	case OtherLife:
		e.endRun(r, EndedLapsed, "", "worker restarted")
		w.looked = false
		w.lookNext = e.now
	}
}

// retryStops sends stops again that have had no answer.
func (e *Engine) retryStops() {
	if e.now.Sub(e.stopsTried) < e.cfg.StopRetry/8 {
		return
	}
	e.stopsTried = e.now
	for _, w := range e.order {
		if len(w.runs) == 0 {
			continue
		}
		for r := range w.runs {
			if r.phase == stopping && !r.stopBusy && r.sent && r.stopped.IsZero() && e.now.Sub(r.stopSent) > e.cfg.StopRetry {
				e.sendStop(r)
			}
		}
	}
}

// observe learns from a run that ended well.
func (e *Engine) observe(r *run) {
	if r.begun.IsZero() || r.restored {
		return
	}
	took := e.now.Sub(r.begun)
	estimate := r.task.step.spec.Estimate
	if estimate <= 0 || took <= 0 {
		return
	}
	e.pace.observe(r.task.step.job().queue, float64(took)/float64(estimate))
}

// pace smooths how long tasks take against their estimates, by queue.
type pace struct{ ratio map[string]float64 }

// paceWeight is the weight of one run in the smoothed ratio.
const paceWeight = 0.05

func (p *pace) observe(queue string, ratio float64) {
	if p.ratio == nil {
		p.ratio = make(map[string]float64)
	}
	old, known := p.ratio[queue]
	if !known {
		p.ratio[queue] = ratio
		return
	}
	p.ratio[queue] = old + paceWeight*(ratio-old)
}

// expect returns how long a task with that estimate should take.
func (p *pace) expect(queue string, estimate time.Duration) time.Duration {
	if ratio, known := p.ratio[queue]; known {
		return time.Duration(float64(estimate) * ratio)
	}
	return estimate
}
