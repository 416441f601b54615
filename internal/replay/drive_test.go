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
	tickInterval  = 200 * time.Millisecond
	listInterval  = 10 * time.Second
	workerStride  = 8 // one in this many workers of an example takes part
	cappedRunTime = 4 * time.Second
	// cappedTimeout is long enough for one run of cappedRunTime and too short for two
	// in sequence.
	cappedTimeout = 6 * time.Second
)

// driver runs a recorded core in virtual time and carries out its actions with a
// log in memory and stand-in workers.
type driver struct {
	t        *testing.T
	example  example.Example
	core     *core.Core
	recorder *Recorder
	actions  bytes.Buffer

	startTime   time.Time // wall-clock time when now is 0
	now         time.Duration
	log         []platform.Entry
	logChanged  bool
	listing     platform.Listing
	nextListing time.Duration
	workers     []*testWorker
	lastHandle  uint64
}

type testWorker struct {
	*standin.WorkerCore
	openRenewals []openRenewal
}

type openRenewal struct {
	request platform.RenewRequest
	sentAt  time.Duration
}

func newDriver(t *testing.T, name string, startTime time.Time, out *bytes.Buffer) *driver {
	e, err := examples.Load(name)
	require.NoError(t, err)
	self := platform.Instance{ID: "a", Incarnation: 1}
	o := core.Options{Self: self, Seed: 20261203, Timing: event.Timing{
		Heartbeat: time.Second, DeadAfter: 3 * time.Second, WorkerLease: 20 * time.Second, TaskLease: 5 * time.Minute,
		ConfigFreshness: 5 * time.Second, Retention: 10 * time.Minute, RequestTimeout: 30 * time.Second,
	}}
	c, err := core.New(o)
	require.NoError(t, err)
	keys, err := kernel.Find[KeyReferencer](c.Kernel(), service.Config)
	require.NoError(t, err)
	recorder, err := NewRecorder(out, o, keys)
	require.NoError(t, err)
	d := &driver{t: t, example: e, core: c, recorder: recorder, startTime: startTime, logChanged: true}
	d.listing = platform.Listing{Version: 1, Instances: []platform.Instance{self}}
	for i, w := range e.Platform.Workers() {
		if i%workerStride == 0 {
			d.listing.Workers = append(d.listing.Workers, w)
			d.workers = append(d.workers, &testWorker{WorkerCore: standin.NewWorkerCore(startTime, w, standin.WorkerSettings{}, &standin.History{})})
		}
	}
	return d
}

func (d *driver) wallTime() time.Time { return d.startTime.Add(d.now) }

func (d *driver) step(e event.Event) {
	require.NoError(d.t, d.recorder.Record(d.now, e))
	actions := d.core.Step(d.now, e)
	for _, a := range actions {
		require.NoError(d.t, writeAction(&d.actions, a))
	}
	for _, a := range actions {
		d.handleAction(a)
	}
}

func (d *driver) handleAction(a event.Action) {
	switch a := a.(type) {
	case event.Append:
		data, err := wire.EncodeEntry(a.Records)
		require.NoError(d.t, err)
		offset := uint64(len(d.log) + 1)
		d.log = append(d.log, platform.Entry{Offset: offset, Data: data})
		d.logChanged = true
		d.step(event.AppendDone{ID: a.ID, Offset: offset, Verdict: verdict.Done})
	case event.Renew:
		d.renew(a)
	case event.Start:
		err := d.worker(a.Worker.ID).Start(d.wallTime(), a.Request)
		d.step(event.StartDone{
			Worker: a.Worker.ID, Lease: a.Request.Lease, Seq: a.Request.Seq, Task: a.Request.Task.ID, Verdict: verdict.Of(err),
		})
	case event.Stop:
		require.NoError(d.t, d.worker(a.Worker.ID).Stop(d.wallTime(), a.Request))
	}
}

func (d *driver) worker(id model.WorkerID) *testWorker {
	for _, w := range d.workers {
		if w.Worker().ID == id {
			return w
		}
	}
	require.Fail(d.t, "no such worker", id)
	return nil
}

// renew answers a renewal at once or keeps it open until the worker has an event.
func (d *driver) renew(a event.Renew) {
	w := d.worker(a.Worker.ID)
	reply := w.Renew(d.wallTime(), a.Request)
	switch {
	case a.Request.Release:
	case a.Request.Full || !reply.Granted || w.HasEvent(a.Request.Since):
		d.finishRenewal(w, openRenewal{a.Request, d.now}, reply)
	default:
		w.openRenewals = append(w.openRenewals, openRenewal{a.Request, d.now})
	}
}

func (d *driver) finishRenewal(w *testWorker, r openRenewal, reply platform.RenewReply) {
	d.step(event.RenewDone{Worker: w.Worker().ID, Lease: r.request.Lease, Full: r.request.Full, SentAt: r.sentAt, Reply: reply})
}

// runUntil advances the virtual time to end.
func (d *driver) runUntil(end time.Time) {
	for d.wallTime().Before(end) {
		d.now += tickInterval
		if d.logChanged || d.now%time.Second == 0 {
			d.logChanged = false
			from := min(d.core.NextOffset()-1, uint64(len(d.log)))
			d.step(event.LogRead{Entries: d.log[from:], Oldest: 1, Next: uint64(len(d.log) + 1), AskedAt: d.now})
		}
		if d.now >= d.nextListing {
			d.nextListing = d.now + listInterval
			d.step(event.Listed{Listing: d.listing})
		}
		d.answerOpenRenewals()
		d.step(event.Tick{Wall: d.wallTime()})
	}
}

func (d *driver) answerOpenRenewals() {
	for _, w := range d.workers {
		w.Advance(d.wallTime())
		open := w.openRenewals
		w.openRenewals = nil
		for _, r := range open {
			if w.HasEvent(r.request.Since) || d.now >= r.sentAt+r.request.Wait {
				d.finishRenewal(w, r, w.Report(d.wallTime(), r.request))
			} else {
				w.openRenewals = append(w.openRenewals, r)
			}
		}
	}
}

func (d *driver) request(r model.Request) {
	d.lastHandle++
	d.step(event.RequestIn{Handle: d.lastHandle, Request: r})
}

// sendExample sends the example's requests with ids that begin with prefix.
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

// sendCapped sends three requests of one team. All three finish before their
// timeout only if the team's limit lets them run at the same time.
func (d *driver) sendCapped(prefix, key string) {
	for i := range 3 {
		d.request(model.Request{
			Op: model.OpCall, ID: fmt.Sprintf("%s-capped-%d", prefix, i), Key: key,
			Task: model.Task{Demand: model.Resources{MilliCPU: 100, MemoryMiB: 64}, RunTime: cappedRunTime}, Timeout: cappedTimeout,
		})
	}
}
