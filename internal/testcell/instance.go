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

// instance is one of the system's instances: a core, and the input and output
// that the node would do for it.
type instance struct {
	cell   *Cell
	info   platform.Instance
	core   *core.Core
	config configView
	begun  time.Duration
	drift  float64 // of its clock against the cell's
	alive  bool
	paused bool
	held   []func() // what arrived during a pause

	appends     []event.Append
	appending   bool
	nextRead    uint64
	steadySince time.Duration // since when it runs and may reach the log
	lastRead    time.Duration
	reading     bool
	version     uint64 // highest configuration version seen in this life
}

type configView interface {
	Document() (model.Declarations, uint64)
}

const (
	tickInterval = 50 * time.Millisecond
	listInterval = 2 * time.Second
	readInterval = 20 * time.Millisecond
	readWait     = time.Second
	callTimeout  = 2 * time.Second
	readLimit    = 512
	maxDrift     = 0.005
)

func (in *instance) owner() wire.Owner {
	return wire.Owner{Instance: in.info.ID, Incarnation: in.info.Incarnation}
}

func (in *instance) clock() time.Duration {
	return time.Duration(float64(in.cell.now-in.begun) * (1 + in.drift))
}

func (in *instance) running() bool { return in.alive && !in.paused }

// deliver runs f at the instance after d, unless this life has ended by then.
// During a pause f waits for its end.
func (in *instance) deliver(d time.Duration, f func()) {
	life := in.info.Incarnation
	in.cell.after(d, func() {
		switch {
		case !in.alive || in.info.Incarnation != life:
		case in.paused:
			in.held = append(in.held, f)
		default:
			f()
		}
	})
}

func (in *instance) post(d time.Duration, e event.Event) {
	in.deliver(d, func() { in.step(e) })
}

// every runs f at a steady rate during this life, but not in pauses.
func (in *instance) every(interval time.Duration, f func()) {
	life := in.info.Incarnation
	var next func()
	next = func() {
		if !in.alive || in.info.Incarnation != life {
			return
		}
		if !in.paused {
			f()
		}
		in.cell.after(interval, next)
	}
	in.cell.after(in.cell.between(0, interval), next)
}

func (in *instance) step(e event.Event) {
	actions := in.core.Step(in.clock(), in.cell.tamperEvent(in, e))
	for _, a := range actions {
		for _, b := range in.cell.tamperAction(in, a) {
			in.act(b)
		}
	}
	if _, read := e.(event.LogRead); read {
		in.noteVersion()
	}
}

func (in *instance) noteVersion() {
	_, version := in.config.Document()
	if version < in.version {
		in.cell.violate(PromiseConfig, "%s fell from version %d to %d", in.info.ID, in.version, version)
	}
	in.version = max(in.version, version)
}

func (in *instance) act(a event.Action) {
	switch a := a.(type) {
	case event.Append:
		in.appends = append(in.appends, a)
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

// Restart starts an instance, or kills it and starts it anew without memory.
func (c *Cell) Restart(id model.InstanceID) {
	in := c.instances[id]
	c.Kill(id)
	in.info.Incarnation++
	in.alive, in.paused, in.held = true, false, nil
	in.begun, in.steadySince = c.now, c.now
	in.drift = (2*c.rng.Float64() - 1) * maxDrift
	in.appends, in.appending, in.reading = nil, false, false
	in.nextRead, in.lastRead, in.version = 1, c.now, 0
	var err error
	in.core, err = core.New(core.Options{Self: in.info, Timing: c.options.Timing, Seed: c.rng.Uint64()})
	if err != nil {
		panic(err)
	}
	in.config, err = kernel.Find[configView](in.core.Kernel(), service.Config)
	if err != nil {
		panic(err)
	}
	c.list.PutInstance(c.wall(), in.info)
	c.reconnectAll(in)
	in.every(tickInterval, func() { in.step(event.Tick{}) })
	in.every(listInterval, func() {
		in.post(c.latency(), event.Listed{Listing: c.list.List(c.wall())})
	})
	in.every(readInterval, func() { c.readLog(in) })
}

// Kill ends an instance at once. Its memory is lost.
func (c *Cell) Kill(id model.InstanceID) {
	in := c.instances[id]
	if !in.alive {
		return
	}
	in.alive, in.paused, in.held = false, false, nil
	c.list.RemoveInstance(c.wall(), id)
	for _, l := range c.linksOf(id) {
		c.loseLater(l, c.between(0, c.options.Timing.DeadAfter))
	}
	for _, call := range c.calls {
		if call.Via == id && !call.answered() {
			call.Lost = true
		}
	}
}

// Pause stops an instance as a stop signal does: what arrives waits.
func (c *Cell) Pause(id model.InstanceID) {
	in := c.instances[id]
	if !in.running() {
		return
	}
	in.paused = true
	for _, l := range c.linksOf(id) {
		c.loseLater(l, c.options.Timing.DeadAfter+c.between(0, time.Second))
	}
}

// Wake ends a pause. What arrived meanwhile is handled in order.
func (c *Cell) Wake(id model.InstanceID) {
	in := c.instances[id]
	if !in.alive || !in.paused {
		return
	}
	in.paused, in.steadySince = false, c.now
	held := in.held
	in.held = nil
	if c.rng.IntN(2) == 0 {
		in.step(event.Tick{})
	}
	for _, f := range held {
		f()
	}
}

// Drain starts a graceful shutdown of an instance.
func (c *Cell) Drain(id model.InstanceID) {
	c.instances[id].post(0, event.DrainStarted{})
}

// Drained reports whether a draining instance has nothing left to finish.
func (c *Cell) Drained(id model.InstanceID) bool {
	k := c.instances[id].core.Kernel()
	open, err := kernel.Find[interface{ Open() int }](k, service.Gateway)
	if err != nil {
		panic(err)
	}
	busy, err := kernel.Find[interface{ Busy() int }](k, service.Requests)
	if err != nil {
		panic(err)
	}
	return open.Open() == 0 && busy.Busy() == 0
}

// appendNext appends what an instance has gathered, as one entry at a time.
func (c *Cell) appendNext(in *instance) {
	if in.appending || len(in.appends) == 0 {
		return
	}
	in.appending = true
	batch := in.appends
	in.appends = nil
	life := in.info.Incarnation
	answered := false
	finish := func(d time.Duration, offset uint64, v verdict.Verdict) {
		in.deliver(d, func() {
			if answered {
				return
			}
			answered = true
			in.appending = false
			for _, a := range batch {
				in.step(event.AppendDone{ID: a.ID, Offset: offset, Verdict: v})
			}
			c.appendNext(in)
		})
	}
	finish(callTimeout, 0, verdict.MayHaveRun)
	c.after(c.latency(), func() {
		if in.info.Incarnation != life {
			return
		}
		if c.noLog[in.info.ID] {
			return
		}
		var records []wire.Record
		for _, a := range batch {
			records = append(records, a.Records...)
		}
		offset, err := c.appendRecords(records)
		finish(c.latency()+c.log.Faults().Slow, offset, verdict.Of(err))
	})
}

func (c *Cell) appendRecords(records []wire.Record) (uint64, error) {
	data, err := wire.EncodeEntry(records)
	if err != nil {
		panic(err)
	}
	before := c.nextOffset()
	offset, err := c.log.Append(c.wall(), stream, data)
	if next := c.nextOffset(); next > before {
		c.appended = append(c.appended, appended{offset: next - 1, at: c.now, records: records})
	}
	return offset, err
}

// nextOffset counts from the log's own state, because an answer may be lost.
func (c *Cell) nextOffset() uint64 {
	f := c.log.Faults()
	up := f
	up.Down = false
	c.log.SetFaults(c.wall(), up)
	batch, err := c.log.Read(stream, 1<<62, 1)
	if err != nil {
		panic(err)
	}
	c.log.SetFaults(c.wall(), f)
	return batch.Next
}

// readLog answers an instance's read when there are new entries or its wait is
// over.
func (c *Cell) readLog(in *instance) {
	if c.noLog[in.info.ID] || in.reading {
		return
	}
	batch, err := c.log.Read(stream, in.nextRead, readLimit)
	if err != nil {
		return
	}
	if len(batch.Entries) == 0 && c.now-in.lastRead < readWait {
		return
	}
	slow := c.log.Faults().Slow
	in.reading = true
	in.deliver(min(c.latency()+slow, readWait+callTimeout), func() {
		in.reading = false
		in.lastRead = c.now
		if slow > readWait+callTimeout {
			return
		}
		if k := len(batch.Entries); k > 0 {
			in.nextRead = batch.Entries[k-1].Offset + 1
		}
		in.step(event.LogRead{Entries: batch.Entries, Oldest: batch.Oldest, Next: batch.Next})
	})
}

// Version returns the highest configuration version that an instance has in force.
func (c *Cell) Version() uint64 {
	var highest uint64
	for _, in := range c.instances {
		highest = max(highest, in.version)
	}
	return highest
}

// Alive reports whether an instance was started and not killed since.
func (c *Cell) Alive(id model.InstanceID) bool { return c.instances[id].alive }
