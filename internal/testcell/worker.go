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

// worker carries commands to a worker's stand-in.
type worker struct {
	cell    *Cell
	core    *standin.WorkerCore
	held    []func()
	polls   []*poll
	cutFrom map[model.InstanceID]bool
	// loseRenew loses the answers of renewals; delay holds commands up.
	loseRenew bool
	delay     time.Duration
	wakeAt    time.Duration
}

// poll is a renewal whose answer waits for an event.
type poll struct {
	in      *instance
	request platform.RenewRequest
	until   time.Duration
	answer  func(platform.RenewReply, bool)
}

// AddWorkers starts and lists n workers named w1, w2 and so on, six to a rack.
func (c *Cell) AddWorkers(n int, capacity model.Resources, labels map[string]string) {
	for range n {
		id := model.WorkerID("w" + itoa(len(c.workers)+1))
		info := model.Worker{ID: id, Addr: string(id), Capacity: capacity, Labels: maps.Clone(labels)}
		settings := standin.WorkerSettings{TaskLease: c.options.Timing.TaskLease, Retention: c.options.Timing.Retention}
		c.workers[id] = &worker{
			cell: c, core: standin.NewWorkerCore(c.wall(), info, settings, c.history),
			cutFrom: make(map[model.InstanceID]bool),
		}
		c.list.PutWorker(c.wall(), info)
	}
}

// WorkerFaults replaces the faults of a worker.
func (c *Cell) WorkerFaults(id model.WorkerID, f standin.WorkerFaults) {
	w := c.workers[id]
	w.core.SetFaults(c.wall(), f)
	w.changed()
}

// RestartWorker begins a new incarnation of a worker.
func (c *Cell) RestartWorker(id model.WorkerID) {
	w := c.workers[id]
	w.core.Restart(c.wall())
	w.held = nil
	w.changed()
}

// DelayWorker holds up commands to a worker, 0 for no longer.
func (c *Cell) DelayWorker(id model.WorkerID, d time.Duration) { c.workers[id].delay = d }

// LoseRenewals makes the answers of a worker's renewals get lost, or no longer.
func (c *Cell) LoseRenewals(id model.WorkerID, lose bool) { c.workers[id].loseRenew = lose }

// CutWorker breaks the network between an instance and a worker until Heal.
func (c *Cell) CutWorker(in model.InstanceID, id model.WorkerID) { c.workers[id].cutFrom[in] = true }

// LeaveWorker marks a worker as leaving in the list.
func (c *Cell) LeaveWorker(id model.WorkerID) {
	c.list.MarkWorkerLeaving(c.wall(), id)
	c.leaving[id] = c.now + c.lag
}

// SetListLag sets the lag of the changes of the instance list that follow.
func (c *Cell) SetListLag(lag time.Duration) {
	c.lag = lag
	c.list.SetLag(lag)
}

// changed answers what waited for the worker's state and sets the next timer.
func (w *worker) changed() {
	now := w.cell.wall()
	if !w.core.Faults().Paused {
		held := w.held
		w.held = nil
		for _, f := range held {
			f()
		}
		w.core.Advance(now)
	}
	w.answerPolls(now)
	w.arm()
}

func (w *worker) answerPolls(now time.Time) {
	f := w.core.Faults()
	if f.Paused {
		return
	}
	open := w.polls[:0]
	for _, p := range w.polls {
		ref, held := w.core.Lease(now)
		ready := !held || ref != p.request.Lease || w.core.HasEvent(p.request.Since) || w.cell.now >= p.until
		switch {
		case !ready:
			open = append(open, p)
		case f.Silent || w.loseRenew:
		case f.Unreachable || w.cutFrom[p.in.info.ID]:
			p.answer(platform.RenewReply{}, true)
		default:
			p.answer(w.core.Report(now, p.request), false)
		}
	}
	w.polls = slices.Clone(open)
}

func (w *worker) arm() {
	at, ok := w.core.Next()
	if !ok {
		return
	}
	next := max(at.Sub(epoch), w.cell.now)
	if w.wakeAt > w.cell.now && w.wakeAt <= next {
		return
	}
	w.wakeAt = next
	w.cell.after(next-w.cell.now, w.changed)
}

// command carries a command of an instance to a worker. It calls run there, and
// lost at the instance when the worker can't be reached or timeout has passed.
// Whatever settles first counts.
func (c *Cell) command(in *instance, id model.WorkerID, timeout time.Duration, run func(w *worker, settle func(func())), lost func()) {
	w, ok := c.workers[id]
	if !ok {
		in.deliver(c.latency(), lost)
		return
	}
	settled := false
	settle := func(d time.Duration, f func()) {
		in.deliver(d, func() {
			if !settled {
				settled = true
				f()
			}
		})
	}
	settle(timeout, lost)
	c.after(c.latency()+w.delay, func() {
		f := w.core.Faults()
		answer := func(f func()) { settle(c.latency(), f) }
		switch {
		case f.Unreachable || w.cutFrom[in.info.ID]:
			answer(lost)
		case f.Silent:
		case f.Paused:
			w.held = append(w.held, func() { run(w, answer) })
		default:
			run(w, answer)
			w.changed()
		}
	})
}

func (c *Cell) renew(in *instance, a event.Renew) {
	sentAt := in.clock()
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
			w.core.Renew(c.wall(), a.Request)
		}, func() {})
		return
	}
	c.command(in, a.Worker.ID, a.Request.Wait+callTimeout, func(w *worker, settle func(func())) {
		answer := func(reply platform.RenewReply, failed bool) {
			if !w.loseRenew {
				settle(done(reply, failed))
			}
		}
		reply := w.core.Renew(c.wall(), a.Request)
		if !reply.Granted || a.Request.Full || a.Request.Wait <= 0 || len(reply.Finished) > 0 {
			answer(reply, false)
			return
		}
		w.polls = append(w.polls, &poll{in: in, request: a.Request, until: c.now + a.Request.Wait, answer: answer})
		c.after(a.Request.Wait, w.changed)
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
	c.command(in, a.Worker.ID, callTimeout, func(w *worker, settle func(func())) {
		err := w.core.Start(c.wall(), w.tamperStart(a.Request))
		if w.core.Faults().LoseStartAnswer {
			err = standin.ErrAnswerLost
		}
		settle(done(err))
	}, done(standin.ErrUnreachable))
}

func (c *Cell) stop(in *instance, a event.Stop) {
	c.command(in, a.Worker.ID, callTimeout, func(w *worker, _ func(func())) {
		_ = w.core.Stop(c.wall(), a.Request)
	}, func() {})
}
