package testcell

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/standin"
	"pollenbend/internal/verdict"
)

// worker delivers commands and renewals to a stand-in worker.
type worker struct {
	cell            *Cell
	core            *standin.WorkerCore
	heldCommands    []func() // commands and renewals that wait for the end of a pause
	pendingRenewals []*pendingRenewal
	unreachableFrom map[model.InstanceID]bool
	// loseRenewals drops the answers of renewals; commandDelay delays commands and
	// renewals.
	loseRenewals bool
	commandDelay time.Duration
	nextUpdate   time.Duration // when the next timer calls update
}

// pendingRenewal is a renewal whose answer waits for an event of the worker.
type pendingRenewal struct {
	instance *instance
	request  platform.RenewRequest
	deadline time.Duration
	answer   func(reply platform.RenewReply, failed bool)
}

// AddWorkers starts and lists n workers with the next names of w1, w2 and so on.
func (c *Cell) AddWorkers(n int, capacity model.Resources, labels map[string]string) {
	for range n {
		id := model.WorkerID("w" + itoa(len(c.workers)+1))
		info := model.Worker{ID: id, Addr: string(id), Capacity: capacity, Labels: maps.Clone(labels)}
		settings := standin.WorkerSettings{TaskLease: c.options.Timing.TaskLease, Retention: c.options.Timing.Retention}
		c.workers[id] = &worker{
			cell: c, core: standin.NewWorkerCore(c.wallTime(), info, settings, c.history),
			unreachableFrom: make(map[model.InstanceID]bool),
		}
		c.list.PutWorker(c.wallTime(), info)
	}
}

// SetWorkerFaults replaces the injected faults of a worker.
func (c *Cell) SetWorkerFaults(id model.WorkerID, f standin.WorkerFaults) {
	w := c.workers[id]
	w.core.SetFaults(c.wallTime(), f)
	w.update()
}

// RestartWorker starts a new incarnation of a worker.
func (c *Cell) RestartWorker(id model.WorkerID) {
	w := c.workers[id]
	w.core.Restart(c.wallTime())
	w.heldCommands = nil
	w.update()
}

// SetCommandDelay delays commands and renewals to a worker by d; 0 ends the delay.
func (c *Cell) SetCommandDelay(id model.WorkerID, d time.Duration) { c.workers[id].commandDelay = d }

// SetRenewalLoss sets whether the answers of a worker's renewals are lost.
func (c *Cell) SetRenewalLoss(id model.WorkerID, lose bool) { c.workers[id].loseRenewals = lose }

// PartitionFromWorker makes a worker unreachable from an instance until EndPartitions.
func (c *Cell) PartitionFromWorker(in model.InstanceID, id model.WorkerID) {
	c.workers[id].unreachableFrom[in] = true
}

// MarkWorkerLeaving marks a worker as leaving in the list.
func (c *Cell) MarkWorkerLeaving(id model.WorkerID) {
	c.list.MarkWorkerLeaving(c.wallTime(), id)
	c.leavingSince[id] = c.now + c.listLag
}

// SetListLag sets how long later changes of the instance list take to be visible.
func (c *Cell) SetListLag(lag time.Duration) {
	c.listLag = lag
	c.list.SetLag(lag)
}

// update runs the held commands and renewals, answers pending renewals and sets the
// next timer. It is called after every change of the worker's state.
func (w *worker) update() {
	now := w.cell.wallTime()
	if !w.core.Faults().Paused {
		held := w.heldCommands
		w.heldCommands = nil
		for _, f := range held {
			f()
		}
		w.core.Advance(now)
	}
	w.answerRenewals(now)
	w.scheduleUpdate()
}

func (w *worker) answerRenewals(now time.Time) {
	f := w.core.Faults()
	if f.Paused {
		return
	}
	pending := w.pendingRenewals[:0]
	for _, p := range w.pendingRenewals {
		ref, held := w.core.Lease(now)
		ready := !held || ref != p.request.Lease || w.core.HasEvent(p.request.Since) || w.cell.now >= p.deadline
		switch {
		case !ready:
			pending = append(pending, p)
		case f.Unresponsive || w.loseRenewals:
		case f.Unreachable || w.unreachableFrom[p.instance.info.ID]:
			p.answer(platform.RenewReply{}, true)
		default:
			p.answer(w.core.Report(now, p.request), false)
		}
	}
	w.pendingRenewals = slices.Clone(pending)
}

func (w *worker) scheduleUpdate() {
	at, ok := w.core.Next()
	if !ok {
		return
	}
	next := max(at.Sub(epoch), w.cell.now)
	if w.nextUpdate > w.cell.now && w.nextUpdate <= next {
		return
	}
	w.nextUpdate = next
	w.cell.runAfter(next-w.cell.now, w.update)
}

// command delivers a command or a renewal of an instance to a worker. It calls
// execute at the worker, or onFailure at the instance when the worker is unknown or
// unreachable or timeout has passed. Only the first completion takes effect.
func (c *Cell) command(in *instance, id model.WorkerID, timeout time.Duration, execute func(w *worker, complete func(func())), onFailure func()) {
	w, ok := c.workers[id]
	if !ok {
		in.deliver(c.randomLatency(), onFailure)
		return
	}
	completed := false
	complete := func(d time.Duration, f func()) {
		in.deliver(d, func() {
			if !completed {
				completed = true
				f()
			}
		})
	}
	complete(timeout, onFailure)
	c.runAfter(c.randomLatency()+w.commandDelay, func() {
		f := w.core.Faults()
		answer := func(f func()) { complete(c.randomLatency(), f) }
		switch {
		case f.Unreachable || w.unreachableFrom[in.info.ID]:
			answer(onFailure)
		case f.Unresponsive:
		case f.Paused:
			w.heldCommands = append(w.heldCommands, func() { execute(w, answer) })
		default:
			execute(w, answer)
			w.update()
		}
	})
}

func (c *Cell) renew(in *instance, a event.Renew) {
	sentAt := in.clockTime()
	done := func(reply platform.RenewReply, failed bool) func() {
		return func() {
			in.step(event.RenewDone{
				Worker: a.Worker.ID, Lease: a.Request.Lease, Full: a.Request.Full,
				SentAt: sentAt, Reply: reply, Failed: failed,
			})
		}
	}
	if a.Request.Release {
		c.command(in, a.Worker.ID, callTimeout, func(w *worker, _ func(func())) {
			w.core.Renew(c.wallTime(), a.Request)
		}, func() {})
		return
	}
	c.command(in, a.Worker.ID, a.Request.Wait+callTimeout, func(w *worker, complete func(func())) {
		answer := func(reply platform.RenewReply, failed bool) {
			if !w.loseRenewals {
				complete(done(reply, failed))
			}
		}
		reply := w.core.Renew(c.wallTime(), a.Request)
		if !reply.Granted || a.Request.Full || a.Request.Wait <= 0 || len(reply.Finished) > 0 {
			answer(reply, false)
			return
		}
		w.pendingRenewals = append(w.pendingRenewals, &pendingRenewal{instance: in, request: a.Request, deadline: c.now + a.Request.Wait, answer: answer})
		c.runAfter(a.Request.Wait, w.update)
	}, done(platform.RenewReply{}, true))
}

func (c *Cell) start(in *instance, a event.Start) {
	done := func(err error) func() {
		e := event.StartDone{
			Worker: a.Worker.ID, Lease: a.Request.Lease, Seq: a.Request.Seq,
			Task: a.Request.Task.ID, Verdict: verdict.Of(err),
		}
		if err != nil {
			e.Reason = err.Error()
		}
		return func() { in.step(e) }
	}
	c.command(in, a.Worker.ID, callTimeout, func(w *worker, complete func(func())) {
		err := w.core.Start(c.wallTime(), w.injectStart(a.Request))
		if w.core.Faults().LoseStartAnswer {
			err = standin.ErrAnswerLost
		}
		complete(done(err))
	}, done(standin.ErrUnreachable))
}

func (c *Cell) stop(in *instance, a event.Stop) {
	c.command(in, a.Worker.ID, callTimeout, func(w *worker, _ func(func())) {
		_ = w.core.Stop(c.wallTime(), a.Request)
	}, func() {})
}
