package testcell

import (
	"time"

	"pollenbend/internal/core"
	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// instance is one instance of the system: a core with the input and output that
// internal/node performs in production.
type instance struct {
	cell               *Cell
	info               platform.Instance
	core               *core.Core
	config             configView
	startTime          time.Duration // when the incarnation started, on the cell's clock
	clockDriftRatio    float64       // relative drift of its clock against the cell's
	alive              bool
	paused             bool
	deferredDeliveries []func() // deliveries that wait for the end of a pause

	pendingAppends   []event.Append
	appendInProgress bool
	nextReadOffset   uint64
	availableSince   time.Duration // since when it runs without a pause and can reach the log
	lastReadEnd      time.Duration // on the cell's clock
	readSentAt       time.Duration // of the open read, on the instance's clock
	readInProgress   bool
	maxVersion       uint64 // highest configuration version of this incarnation
}

type configView interface {
	Document() (model.Declarations, uint64)
}

const (
	tickInterval       = 50 * time.Millisecond
	listInterval       = 2 * time.Second
	readInterval       = 20 * time.Millisecond
	maxReadWait        = time.Second
	callTimeout        = 2 * time.Second
	maxEntriesPerRead  = 512
	maxClockDriftRatio = 0.005
)

func (in *instance) ref() wire.InstanceRef {
	return wire.InstanceRef{Instance: in.info.ID, Incarnation: in.info.Incarnation}
}

func (in *instance) clockTime() time.Duration {
	return time.Duration(float64(in.cell.now-in.startTime) * (1 + in.clockDriftRatio))
}

func (in *instance) running() bool { return in.alive && !in.paused }

// deliver runs f at the instance after d, unless its incarnation has ended by then.
// During a pause, f is deferred to the end of the pause.
func (in *instance) deliver(d time.Duration, f func()) {
	incarnation := in.info.Incarnation
	in.cell.runAfter(d, func() {
		switch {
		case !in.alive || in.info.Incarnation != incarnation:
		case in.paused:
			in.deferredDeliveries = append(in.deferredDeliveries, f)
		default:
			f()
		}
	})
}

func (in *instance) deliverEvent(d time.Duration, e event.Event) {
	in.deliver(d, func() { in.step(e) })
}

// runEvery runs f at an interval during this incarnation, except in pauses.
func (in *instance) runEvery(interval time.Duration, f func()) {
	incarnation := in.info.Incarnation
	var tick func()
	tick = func() {
		if !in.alive || in.info.Incarnation != incarnation {
			return
		}
		if !in.paused {
			f()
		}
		in.cell.runAfter(interval, tick)
	}
	in.cell.runAfter(in.cell.randomDuration(0, interval), tick)
}

func (in *instance) step(e event.Event) {
	actions := in.core.Step(in.clockTime(), in.cell.injectEvent(in, e))
	for _, a := range actions {
		for _, b := range in.cell.injectAction(in, a) {
			in.execute(b)
		}
	}
	if _, read := e.(event.LogRead); read {
		in.checkVersion()
	}
}

func (in *instance) checkVersion() {
	_, version := in.config.Document()
	if version < in.maxVersion {
		in.cell.violate(PromiseConfig, "the configuration version in force at %s decreased from %d to %d", in.info.ID, in.maxVersion, version)
	}
	in.maxVersion = max(in.maxVersion, version)
}

func (in *instance) execute(a event.Action) {
	switch a := a.(type) {
	case event.Append:
		in.pendingAppends = append(in.pendingAppends, a)
		in.cell.appendNext(in)
	case event.Send:
		in.cell.send(in, a)
	case event.Renew:
		in.cell.renew(in, a)
	case event.Start:
		in.cell.start(in, a)
	case event.Stop:
		in.cell.stop(in, a)
	case event.Respond:
		in.cell.respond(in, a)
	}
}

// Restart starts a new incarnation of an instance, without any memory. It kills
// the instance first if it is running.
func (c *Cell) Restart(id model.InstanceID) {
	in := c.instances[id]
	c.Kill(id)
	in.info.Incarnation++
	in.alive, in.paused, in.deferredDeliveries = true, false, nil
	in.startTime, in.availableSince = c.now, c.now
	in.clockDriftRatio = (2*c.rng.Float64() - 1) * maxClockDriftRatio
	in.pendingAppends, in.appendInProgress, in.readInProgress = nil, false, false
	in.nextReadOffset, in.lastReadEnd, in.readSentAt, in.maxVersion = 1, c.now, 0, 0
	var err error
	in.core, err = core.New(core.Options{Self: in.info, Timing: c.options.Timing, Seed: c.rng.Uint64()})
	if err != nil {
		panic(err)
	}
	in.config, err = kernel.Find[configView](in.core.Kernel(), service.Config)
	if err != nil {
		panic(err)
	}
	c.list.PutInstance(c.wallTime(), in.info)
	c.reconnectAll(in)
	in.runEvery(tickInterval, func() { in.step(event.Tick{}) })
	in.runEvery(listInterval, func() {
		in.deliverEvent(c.randomLatency(), event.Listed{Listing: c.list.List(c.wallTime())})
	})
	in.runEvery(readInterval, func() { c.readLog(in) })
}

// Kill stops an instance at once. Its memory is lost.
func (c *Cell) Kill(id model.InstanceID) {
	in := c.instances[id]
	if !in.alive {
		return
	}
	in.alive, in.paused, in.deferredDeliveries = false, false, nil
	c.list.RemoveInstance(c.wallTime(), id)
	for _, l := range c.linksOf(id) {
		c.disconnectLater(l, c.randomDuration(0, c.options.Timing.DeadAfter))
	}
	for _, call := range c.calls {
		if call.Instance == id && !call.answered() {
			call.Lost = true
		}
	}
}

// Pause suspends an instance, as SIGSTOP does. Deliveries wait until Resume.
func (c *Cell) Pause(id model.InstanceID) {
	in := c.instances[id]
	if !in.running() {
		return
	}
	in.paused = true
	for _, l := range c.linksOf(id) {
		c.disconnectLater(l, c.options.Timing.DeadAfter+c.randomDuration(0, time.Second))
	}
}

// Resume ends a pause. The deferred deliveries are handled in order.
func (c *Cell) Resume(id model.InstanceID) {
	in := c.instances[id]
	if !in.alive || !in.paused {
		return
	}
	in.paused, in.availableSince = false, c.now
	deferred := in.deferredDeliveries
	in.deferredDeliveries = nil
	if c.rng.IntN(2) == 0 {
		in.step(event.Tick{})
	}
	for _, f := range deferred {
		f()
	}
}

// Drain starts a graceful shutdown of an instance.
func (c *Cell) Drain(id model.InstanceID) {
	c.instances[id].deliverEvent(0, event.DrainStarted{})
}

// Drained reports whether no caller waits for an answer at an instance and the
// instance has no open requests.
func (c *Cell) Drained(id model.InstanceID) bool {
	k := c.instances[id].core.Kernel()
	open, err := kernel.Find[interface{ Open() int }](k, service.Gateway)
	if err != nil {
		panic(err)
	}
	requests, err := kernel.Find[interface{ OpenRequests() int }](k, service.Requests)
	if err != nil {
		panic(err)
	}
	return open.Open() == 0 && requests.OpenRequests() == 0
}

// appendNext appends the pending records of an instance as one entry, unless an
// append is in progress.
func (c *Cell) appendNext(in *instance) {
	if in.appendInProgress || len(in.pendingAppends) == 0 {
		return
	}
	in.appendInProgress = true
	batch := in.pendingAppends
	in.pendingAppends = nil
	incarnation := in.info.Incarnation
	completed := false
	reportLater := func(d time.Duration, offset uint64, v verdict.Verdict) {
		in.deliver(d, func() {
			if completed {
				return
			}
			completed = true
			in.appendInProgress = false
			for _, a := range batch {
				in.step(event.AppendDone{ID: a.ID, Offset: offset, Verdict: v})
			}
			c.appendNext(in)
		})
	}
	reportLater(callTimeout, 0, verdict.MayHaveRun)
	c.runAfter(c.randomLatency(), func() {
		if in.info.Incarnation != incarnation {
			return
		}
		if c.logUnreachable[in.info.ID] {
			return
		}
		var records []wire.Record
		for _, a := range batch {
			records = append(records, a.Records...)
		}
		offset, err := c.appendRecords(records)
		reportLater(c.randomLatency()+c.log.Faults().Slow, offset, verdict.Of(err))
	})
}

func (c *Cell) appendRecords(records []wire.Record) (uint64, error) {
	data, err := wire.EncodeEntry(records)
	if err != nil {
		panic(err)
	}
	nextBefore := c.nextOffset()
	offset, err := c.log.Append(c.wallTime(), stream, data)
	if next := c.nextOffset(); next > nextBefore {
		c.logEntries = append(c.logEntries, logEntry{offset: next - 1, at: c.now, records: records})
	}
	return offset, err
}

// nextOffset returns the next offset from the log's state, because the answer to
// an append may be lost. It reads the log even while the log is down.
func (c *Cell) nextOffset() uint64 {
	f := c.log.Faults()
	reachable := f
	reachable.Down = false
	c.log.SetFaults(c.wallTime(), reachable)
	batch, err := c.log.Read(stream, 1<<62, 1)
	if err != nil {
		panic(err)
	}
	c.log.SetFaults(c.wallTime(), f)
	return batch.Next
}

// readLog reads the log for an instance. It delivers the result when there are new
// entries or maxReadWait after the end of the previous read.
func (c *Cell) readLog(in *instance) {
	if c.logUnreachable[in.info.ID] || in.readInProgress {
		return
	}
	batch, err := c.log.Read(stream, in.nextReadOffset, maxEntriesPerRead)
	if err != nil {
		return
	}
	if len(batch.Entries) == 0 && c.now-in.lastReadEnd < maxReadWait {
		return
	}
	slow := c.log.Faults().Slow
	sentAt := in.readSentAt
	in.readInProgress = true
	in.deliver(min(c.randomLatency()+slow, maxReadWait+callTimeout), func() {
		in.readInProgress = false
		in.lastReadEnd = c.now
		in.readSentAt = in.clockTime()
		if slow > maxReadWait+callTimeout {
			return
		}
		if k := len(batch.Entries); k > 0 {
			in.nextReadOffset = batch.Entries[k-1].Offset + 1
		}
		in.step(event.LogRead{
			Entries: batch.Entries, Oldest: batch.Oldest, Next: batch.Next, AskedAt: sentAt,
		})
	})
}

// MaxConfigVersion returns the highest configuration version in force at any instance.
func (c *Cell) MaxConfigVersion() uint64 {
	var highest uint64
	for _, in := range c.instances {
		highest = max(highest, in.maxVersion)
	}
	return highest
}

// Alive reports whether an instance has been started and not killed since.
func (c *Cell) Alive(id model.InstanceID) bool { return c.instances[id].alive }
