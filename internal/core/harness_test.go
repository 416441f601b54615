package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/declare"
	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/service/config"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

const stepTime = 20 * time.Millisecond

var testTiming = event.Timing{
	Heartbeat: 500 * time.Millisecond, DeadAfter: 3 * time.Second, WorkerLease: 4 * time.Second,
	TaskLease: 5 * time.Minute, ConfigFreshness: 5 * time.Second,
	Retention: 10 * time.Minute, RequestTimeout: 30 * time.Second,
}

// cell connects cores to each other and to a log, in virtual time.
type cell struct {
	t               *testing.T
	now             time.Duration
	startTime       time.Time                          // time of day when now is 0, zero if unknown
	skew            map[model.InstanceID]time.Duration // error of an instance's clock
	cores           map[model.InstanceID]*Core
	instances       []platform.Instance
	logUnreachable  map[model.InstanceID]bool
	log             []platform.Entry
	oldest          uint64
	answers         map[uint64]model.Answer
	sent            map[string]int
	dropped         func(m wire.Message) bool            // reports whether a message is lost; nil loses none
	cut             func(from, to model.InstanceID) bool // reports whether the messages between two are lost; nil loses none
	snapshotOffsets []uint64                             // offsets of the entries that contain a snapshot
	workers         []model.Worker
	pendingRenewals map[model.InstanceID][]renewal
	replyDelay      func(event.Renew) time.Duration // delay of a renewal's reply; nil delays none and tells no uptime
	started         []event.Start
}

// renewal is a granted worker lease that is to be delivered to the instance that
// requested it.
type renewal struct {
	due  time.Duration
	done event.RenewDone
}

func newCell(t *testing.T, names ...model.InstanceID) *cell {
	c := &cell{
		t: t, oldest: firstOffset, cores: map[model.InstanceID]*Core{}, logUnreachable: map[model.InstanceID]bool{},
		answers: map[uint64]model.Answer{}, sent: map[string]int{},
		pendingRenewals: map[model.InstanceID][]renewal{},
	}
	for _, n := range names {
		c.start(n)
	}
	return c
}

func (c *cell) start(name model.InstanceID) {
	self := platform.Instance{ID: name, Incarnation: 1}
	core, err := New(Options{Self: self, Timing: testTiming, Seed: 1})
	require.NoError(c.t, err)
	c.cores[name] = core
	c.instances = append(c.instances, self)
	for _, i := range c.instances {
		c.step(i.ID, event.Listed{Listing: platform.Listing{Instances: c.instances, Workers: c.workers}})
	}
}

// stop ends an instance and removes it from the list.
func (c *cell) stop(name model.InstanceID) {
	delete(c.cores, name)
	c.instances = slices.DeleteFunc(c.instances, func(i platform.Instance) bool { return i.ID == name })
	for _, i := range c.instances {
		c.step(i.ID, event.Listed{Listing: platform.Listing{Instances: c.instances, Workers: c.workers}})
	}
}

func (c *cell) step(at model.InstanceID, e event.Event) {
	core := c.cores[at]
	for _, a := range core.Step(c.now, e) {
		switch a := a.(type) {
		case event.Append:
			c.append(a.Records...)
			c.step(at, event.AppendDone{ID: a.ID, Offset: c.nextOffset() - 1, Verdict: verdict.Done})
		case event.Send:
			c.send(core.env.SelfRef(), a)
		case event.Renew:
			c.renew(at, a)
		case event.Start:
			c.started = append(c.started, a)
		case event.Respond:
			c.answers[a.Handle] = a.Answer
		}
	}
}

// listWorkers adds idle workers to the listing of every instance.
func (c *cell) listWorkers(workers int) {
	for i := range workers {
		c.workers = append(c.workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), Capacity: model.Resources{Slots: 1},
		})
	}
	for _, i := range c.instances {
		c.step(i.ID, event.Listed{Listing: platform.Listing{Instances: c.instances, Workers: c.workers}})
	}
}

// renew grants a lease on an idle worker once the requested wait has passed.
func (c *cell) renew(at model.InstanceID, a event.Renew) {
	r := renewal{due: c.now + a.Request.Wait, done: event.RenewDone{
		Worker: a.Worker.ID, Lease: a.Request.Lease, Full: a.Request.Full, SentAt: c.now,
		Reply: platform.RenewReply{Granted: true, Incarnation: 1},
	}}
	if c.replyDelay != nil {
		r.done.Reply.Uptime = r.due // the workers start with the cell
		r.due += c.replyDelay(a)
	}
	c.pendingRenewals[at] = append(c.pendingRenewals[at], r)
}

func (c *cell) deliverRenewals(at model.InstanceID) {
	pending := c.pendingRenewals[at]
	c.pendingRenewals[at] = nil
	for _, r := range pending {
		if r.due > c.now {
			c.pendingRenewals[at] = append(c.pendingRenewals[at], r)
			continue
		}
		c.step(at, r.done)
	}
}

func (c *cell) send(from wire.InstanceRef, a event.Send) {
	if c.dropped != nil && c.dropped(a.Message) || c.cores[a.To] == nil {
		return
	}
	if c.cut != nil && c.cut(from.Instance, a.To) {
		return
	}
	data, err := wire.EncodeMessage(a.Message)
	require.NoError(c.t, err)
	m, err := wire.DecodeMessage(data)
	require.NoError(c.t, err)
	c.step(a.To, event.PeerMessage{From: from, Message: m})
}

func (c *cell) nextOffset() uint64 { return uint64(len(c.log)) + firstOffset }

func (c *cell) append(records ...wire.Record) uint64 {
	data, err := wire.EncodeEntry(records)
	require.NoError(c.t, err)
	offset := c.nextOffset()
	if _, ok := records[0].(wire.Snapshot); ok {
		c.snapshotOffsets = append(c.snapshotOffsets, offset)
	}
	c.log = append(c.log, platform.Entry{Offset: offset, Data: data})
	return offset
}

// read delivers to a core the entries that the log keeps, starting at its next
// offset.
func (c *cell) read(at model.InstanceID) {
	from := max(c.cores[at].NextOffset(), c.oldest)
	c.step(at, event.LogRead{Entries: c.log[min(from, c.nextOffset())-firstOffset:], Oldest: c.oldest, Next: c.nextOffset(), AskedAt: c.now})
}

// run advances virtual time. In each step every core reads the log, unless it cannot
// reach it.
func (c *cell) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += stepTime
		for _, i := range c.instances {
			if !c.logUnreachable[i.ID] {
				c.read(i.ID)
			}
			c.deliverRenewals(i.ID)
			c.step(i.ID, event.Tick{Wall: c.wall(i.ID)})
		}
	}
}

// wall returns the time of day by an instance's clock, zero if unknown.
func (c *cell) wall(at model.InstanceID) time.Time {
	if c.startTime.IsZero() {
		return c.startTime
	}
	return c.startTime.Add(c.now + c.skew[at])
}

func (c *cell) change(id string, base uint64, put model.Declarations, del ...model.ObjectRef) uint64 {
	return c.append(wire.ConfigChange{Change: model.Change{ID: id, Base: base, Put: put, Delete: del}})
}

func (c *cell) config(at model.InstanceID) *config.Service {
	s, err := kernel.Find[*config.Service](c.cores[at].kernel, service.Config)
	require.NoError(c.t, err)
	return s
}

func (c *cell) table(at model.InstanceID) [model.Shards]ownership.ShardOwner {
	s, err := kernel.Find[*ownership.Service](c.cores[at].kernel, service.Ownership)
	require.NoError(c.t, err)
	return s.ShardOwners()
}

func teamAndKey(secret string) model.Declarations {
	return model.Declarations{
		Teams: []model.Team{{Name: "t", Share: 1}},
		Keys:  []model.Key{{Name: "k", Team: "t", Scope: model.ScopeTeam, SHA256: declare.HashSecret(secret)}},
	}
}

func operatorKey(secret string) model.Declarations {
	return model.Declarations{Keys: []model.Key{{Name: "op", Scope: model.ScopeOperator, SHA256: declare.HashSecret(secret)}}}
}
