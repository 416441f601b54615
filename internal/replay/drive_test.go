package replay

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/examples"
	"pollenbend/internal/core"
	"pollenbend/internal/event"
	"pollenbend/internal/example"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/standin"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

const (
	driveTick     = 200 * time.Millisecond
	listEvery     = 10 * time.Second
	workersKept   = 8 // one of so many workers of an example is driven
	cappedRuntime = 4 * time.Second
	cappedTimeout = 6 * time.Second
)

// driver answers a recorded core's actions with a log and stand-in workers, in
// virtual time.
type driver struct {
	t        *testing.T
	example  example.Example
	core     *core.Core
	recorder *Recorder
	actions  bytes.Buffer

	began   time.Time // time of day at now 0
	now     time.Duration
	log     []platform.Entry
	unread  bool
	listing platform.Listing
	listAt  time.Duration
	workers []*drivenWorker
	handles uint64
}

type drivenWorker struct {
	*standin.WorkerCore
	held []heldRenew
}

type heldRenew struct {
	request platform.RenewRequest
	sentAt  time.Duration
}

func newDriver(t *testing.T, name string, began time.Time, out *bytes.Buffer) *driver {
	e, err := examples.Load(name)
	require.NoError(t, err)
	self := platform.Instance{ID: "a", Incarnation: 1}
	o := core.Options{Self: self, Seed: 20261203, Timing: event.Timing{
		Heartbeat: time.Second, DeadAfter: 3 * time.Second, WorkerLease: 20 * time.Second, TaskLease: 5 * time.Minute,
		ConfigFreshness: 5 * time.Second, Retention: 10 * time.Minute, RequestTimeout: 30 * time.Second,
	}}
	c, err := core.New(o)
	require.NoError(t, err)
	keys, err := kernel.Find[Keys](c.Kernel(), service.Config)
	require.NoError(t, err)
	recorder, err := NewRecorder(out, o, keys)
	require.NoError(t, err)
	d := &driver{t: t, example: e, core: c, recorder: recorder, began: began, unread: true}
	d.listing = platform.Listing{Version: 1, Instances: []platform.Instance{self}}
	for i, w := range e.Platform.Workers() {
		if i%workersKept == 0 {
			d.listing.Workers = append(d.listing.Workers, w)
			d.workers = append(d.workers, &drivenWorker{WorkerCore: standin.NewWorkerCore(began, w, standin.WorkerSettings{}, &standin.History{})})
		}
	}
	return d
}

func (d *driver) wall() time.Time { return d.began.Add(d.now) }

func (d *driver) step(e event.Event) {
	require.NoError(d.t, d.recorder.Record(d.now, e))
	actions := d.core.Step(d.now, e)
	for _, a := range actions {
		require.NoError(d.t, writeAction(&d.actions, a))
	}
	for _, a := range actions {
		d.act(a)
	}
}

func (d *driver) act(a event.Action) {
	switch a := a.(type) {
	case event.Append:
		data, err := wire.EncodeEntry(a.Records)
		require.NoError(d.t, err)
		offset := uint64(len(d.log) + 1)
		d.log = append(d.log, platform.Entry{Offset: offset, Data: data})
		d.unread = true
		d.step(event.AppendDone{ID: a.ID, Offset: offset, Verdict: verdict.Done})
	case event.Renew:
		d.renew(a)
	case event.Start:
		err := d.worker(a.Worker.ID).Start(d.wall(), a.Request)
		d.step(event.StartDone{
			Worker: a.Worker.ID, Lease: a.Request.Lease, Seq: a.Request.Seq, Task: a.Request.Task.ID, Verdict: verdict.Of(err),
		})
	case event.Stop:
		require.NoError(d.t, d.worker(a.Worker.ID).Stop(d.wall(), a.Request))
	}
}

func (d *driver) worker(id model.WorkerID) *drivenWorker {
	for _, w := range d.workers {
		if w.Worker().ID == id {
			return w
		}
	}
	require.Fail(d.t, "no such worker", id)
	return nil
}

// renew answers at once what is not to be held.
func (d *driver) renew(a event.Renew) {
	w := d.worker(a.Worker.ID)
	reply := w.Renew(d.wall(), a.Request)
	switch {
	case a.Request.Release:
	case a.Request.Full || !reply.Granted || w.HasEvent(a.Request.Since):
		d.renewed(w, heldRenew{a.Request, d.now}, reply)
	default:
		w.held = append(w.held, heldRenew{a.Request, d.now})
	}
}

func (d *driver) renewed(w *drivenWorker, h heldRenew, reply platform.RenewReply) {
	d.step(event.RenewDone{Worker: w.Worker().ID, Lease: h.request.Lease, Full: h.request.Full, SentAt: h.sentAt, Reply: reply})
}

// run lets virtual time pass until the given time of day.
func (d *driver) run(until time.Time) {
	for d.wall().Before(until) {
		d.now += driveTick
		if d.unread || d.now%time.Second == 0 {
			d.unread = false
			from := min(d.core.NextOffset()-1, uint64(len(d.log)))
			d.step(event.LogRead{Entries: d.log[from:], Oldest: 1, Next: uint64(len(d.log) + 1), AskedAt: d.now})
		}
		if d.now >= d.listAt {
			d.listAt = d.now + listEvery
			d.step(event.Listed{Listing: d.listing})
		}
		d.releaseHeld()
		d.step(event.Tick{Wall: d.wall()})
	}
}

func (d *driver) releaseHeld() {
	for _, w := range d.workers {
		w.Advance(d.wall())
		held := w.held
		w.held = nil
		for _, h := range held {
			if w.HasEvent(h.request.Since) || d.now >= h.sentAt+h.request.Wait {
				d.renewed(w, h, w.Report(d.wall(), h.request))
			} else {
				w.held = append(w.held, h)
			}
		}
	}
}

func (d *driver) request(r model.Request) {
	d.handles++
	d.step(event.RequestIn{Handle: d.handles, Request: r})
}

// sendExample sends the example's requests, under ids that begin with prefix.
func (d *driver) sendExample(prefix string) {
	for i, r := range d.example.Requests {
		key := ""
		if r.Key != "" {
			key = d.example.Secret(r.Key)
		}
		d.request(model.Request{
			Op: model.OpCall, ID: fmt.Sprintf("%s-%02d", prefix, i), Key: key, Queue: r.Queue, Service: r.Service,
			Task: model.Task{Payload: []byte(r.Payload), RunTime: time.Second}, Timeout: 20 * time.Second,
		})
	}
}

// sendCapped sends three requests of one team that all end in time only if they
// may run together.
func (d *driver) sendCapped(prefix, key string) {
	for i := range 3 {
		d.request(model.Request{
			Op: model.OpCall, ID: fmt.Sprintf("%s-capped-%d", prefix, i), Key: key,
			Task: model.Task{Demand: model.Resources{MilliCPU: 100, MemoryMiB: 64}, RunTime: cappedRuntime}, Timeout: cappedTimeout,
		})
	}
}
