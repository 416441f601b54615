package core

import (
	"fmt"
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

// cell wires cores to each other and to a log by hand, in virtual time.
type cell struct {
	t       *testing.T
	now     time.Duration
	began   time.Time // time of day at now 0, or zero
	skew    map[model.InstanceID]time.Duration
	cores   map[model.InstanceID]*Core
	order   []platform.Instance
	logCut  map[model.InstanceID]bool
	log     []platform.Entry
	oldest  uint64
	answers map[uint64]model.Answer
	sent    map[string]int
	dropped func(m wire.Message) bool
	snaps   []uint64 // offsets of entries with a snapshot
	workers []model.Worker
	renewed map[model.InstanceID][]renewal
}

// renewal is a granted worker lease on its way to the instance that asked.
type renewal struct {
	due  time.Duration
	done event.RenewDone
}

func newCell(t *testing.T, names ...model.InstanceID) *cell {
	c := &cell{
		t: t, oldest: firstOffset, cores: map[model.InstanceID]*Core{}, logCut: map[model.InstanceID]bool{},
		answers: map[uint64]model.Answer{}, sent: map[string]int{},
		renewed: map[model.InstanceID][]renewal{},
	}
	for _, n := range names {
		c.start(n)
	}
	return c
}

func (c *cell) start(name model.InstanceID) {
	self := platform.Instance{ID: name, Incarnation: 1}
	made, err := New(Options{Self: self, Timing: testTiming, Seed: 1})
	require.NoError(c.t, err)
	c.cores[name] = made
	c.order = append(c.order, self)
	for _, i := range c.order {
		c.step(i.ID, event.Listed{Listing: platform.Listing{Instances: c.order}})
	}
}

func (c *cell) step(at model.InstanceID, e event.Event) {
	core := c.cores[at]
	for _, a := range core.Step(c.now, e) {
		switch a := a.(type) {
		case event.Append:
			c.append(a.Records...)
			c.step(at, event.AppendDone{ID: a.ID, Offset: c.next() - 1, Verdict: verdict.Done})
		case event.Send:
			c.send(core.env.Owner(), a)
		case event.Renew:
			c.renew(at, a)
		case event.Respond:
			c.answers[a.Handle] = a.Answer
		}
	}
}

// list shows idle workers to every instance.
func (c *cell) list(workers int) {
	for i := range workers {
		c.workers = append(c.workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), Capacity: model.Resources{Slots: 1},
		})
	}
	for _, i := range c.order {
		c.step(i.ID, event.Listed{Listing: platform.Listing{Instances: c.order, Workers: c.workers}})
	}
}

// renew grants a lease on an idle worker once the asked wait is over.
func (c *cell) renew(at model.InstanceID, a event.Renew) {
	c.renewed[at] = append(c.renewed[at], renewal{due: c.now + a.Request.Wait, done: event.RenewDone{
		Worker: a.Worker.ID, Lease: a.Request.Lease, Full: a.Request.Full, SentAt: c.now,
		Reply: platform.RenewReply{Granted: true, Incarnation: 1},
	}})
}

func (c *cell) deliverRenewals(at model.InstanceID) {
	pending := c.renewed[at]
	c.renewed[at] = nil
	for _, r := range pending {
		if r.due > c.now {
			c.renewed[at] = append(c.renewed[at], r)
			continue
		}
		c.step(at, r.done)
	}
}

func (c *cell) send(from wire.Owner, a event.Send) {
	if c.dropped != nil && c.dropped(a.Message) || c.cores[a.To] == nil {
		return
	}
	data, err := wire.EncodeMessage(a.Message)
	require.NoError(c.t, err)
	m, err := wire.DecodeMessage(data)
	require.NoError(c.t, err)
	c.step(a.To, event.PeerMessage{From: from, Message: m})
}

func (c *cell) next() uint64 { return uint64(len(c.log)) + firstOffset }

func (c *cell) append(records ...wire.Record) uint64 {
	data, err := wire.EncodeEntry(records)
	require.NoError(c.t, err)
	offset := c.next()
	if _, ok := records[0].(wire.Snapshot); ok {
		c.snaps = append(c.snaps, offset)
	}
	c.log = append(c.log, platform.Entry{Offset: offset, Data: data})
	return offset
}

// read hands a core what the log keeps from its position on.
func (c *cell) read(at model.InstanceID) {
	from := max(c.cores[at].NextOffset(), c.oldest)
	c.step(at, event.LogRead{Entries: c.log[min(from, c.next())-firstOffset:], Oldest: c.oldest, Next: c.next()})
}

// run lets virtual time pass; every step each core reads the log, unless it is cut.
func (c *cell) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += stepTime
		for _, i := range c.order {
			if !c.logCut[i.ID] {
				c.read(i.ID)
			}
			c.deliverRenewals(i.ID)
			c.step(i.ID, event.Tick{Wall: c.wall(i.ID)})
		}
	}
}

// wall returns the time of day by an instance's clock.
func (c *cell) wall(at model.InstanceID) time.Time {
	if c.began.IsZero() {
		return c.began
	}
	return c.began.Add(c.now + c.skew[at])
}

func (c *cell) change(id string, base uint64, put model.Declarations, del ...model.ObjectRef) uint64 {
	return c.append(wire.ConfigChange{Change: model.Change{ID: id, Base: base, Put: put, Delete: del}})
}

func (c *cell) config(at model.InstanceID) *config.Service {
	s, err := kernel.Find[*config.Service](c.cores[at].kernel, service.Config)
	require.NoError(c.t, err)
	return s
}

func (c *cell) table(at model.InstanceID) [model.Shards]ownership.Slot {
	s, err := kernel.Find[*ownership.Service](c.cores[at].kernel, service.Ownership)
	require.NoError(c.t, err)
	return s.Slots()
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
