package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/core"
	"pollenbend/internal/declare"
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// payloadBytes is the size of the payloads and answers in all measurements.
const payloadBytes = 256

var timing = event.Timing{
	Heartbeat: 500 * time.Millisecond, DeadAfter: 3 * time.Second, WorkerLease: 4 * time.Second,
	TaskLease: 5 * time.Minute, ConfigFreshness: 5 * time.Second, Retention: 10 * time.Minute,
	RequestTimeout: 30 * time.Second,
}

// cellSize is the size of a measured cell. The measured core is instance 0. If
// withoutShards is set, it owns no shard.
type cellSize struct {
	instances, workers, teams, slots int
	withoutShards                    bool
}

// shardOwners returns the index of the instance that owns each shard. It is the
// instance that the ownership service chooses, so that no shard is handed over.
func (z cellSize) shardOwners() (owners [model.Shards]int) {
	first := 0
	if z.withoutShards {
		first = 1
	}
	index := make(map[model.InstanceID]int)
	var members []wire.InstanceRef
	for i := first; i < z.instances; i++ {
		members = append(members, instanceRefOf(i))
		index[instanceRefOf(i).Instance] = i
	}
	for s := range owners {
		owner, _ := ownership.Target(model.Shard(s), members)
		owners[s] = index[owner.Instance]
	}
	return owners
}

// cell runs one core and simulates its environment.
type cell struct {
	tb           testing.TB
	size         cellSize
	core         *core.Core
	now          time.Duration
	offset       uint64
	heartbeatSeq uint64
	eventSeq     map[model.WorkerID]uint64
	lastHandle   uint64
	answers      int
}

func instanceRefOf(i int) wire.InstanceRef {
	return wire.InstanceRef{Instance: model.InstanceID(fmt.Sprintf("entry-%04d", i)), Incarnation: 1764800000000000000}
}

func teamOf(i int) model.TeamID { return model.TeamID(fmt.Sprintf("team-%04d", i)) }

func instanceOf(i int) platform.Instance {
	return platform.Instance{
		ID: instanceRefOf(i).Instance, Incarnation: instanceRefOf(i).Incarnation,
		PeerAddr: "10.20.30.40:7400", HTTPAddr: "10.20.30.40:7480",
		Location: model.Location{Region: "region-1", Zone: fmt.Sprintf("zone-%d", i%9), Rack: fmt.Sprintf("rack-%04d", i/6)},
	}
}

func workerOf(i, slots int) model.Worker {
	return model.Worker{
		ID: model.WorkerID(fmt.Sprintf("worker-%05d", i)), Addr: "http://10.20.30.40:7500",
		Location: model.Location{Region: "region-1", Zone: fmt.Sprintf("zone-%d", i%9), Rack: fmt.Sprintf("rack-%04d", i/6)},
		Labels:   map[string]string{"pool": "general", "generation": "g4", "zone": fmt.Sprintf("zone-%d", i%9)},
		Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 65536, Slots: int64(slots)},
	}
}

func taskOf(id model.TaskID, team model.TeamID) model.Task {
	return model.Task{
		ID: id, Team: team, Kind: model.KindRequest, Class: model.ClassNormal, Service: "service-0",
		Demand: model.Resources{MilliCPU: 100, MemoryMiB: 128, Slots: 1}, Payload: make([]byte, payloadBytes),
	}
}

func outcomeOf(id model.TaskID) model.Outcome {
	return model.Outcome{
		Task: id, Answer: make([]byte, payloadBytes), Complete: true, Ran: 1234 * time.Millisecond,
		Usage: model.Resources{MilliCPU: 80, MemoryMiB: 100},
	}
}

// declarationsOf declares n teams, each with a limit, a key, a queue and a service.
func declarationsOf(n int) model.Declarations {
	var d model.Declarations
	for i := range n {
		id := teamOf(i)
		d.Teams = append(d.Teams, model.Team{Name: id, Share: 10, Limit: 1 << 20})
		d.Keys = append(d.Keys, model.Key{Name: string(id), Team: id, Scope: model.ScopeTeam, SHA256: declare.HashSecret(string(id))})
		d.Queues = append(d.Queues, model.Queue{Name: string(id), Team: id, Open: true})
		d.Services = append(d.Services, model.Service{
			Name: fmt.Sprintf("service-%d", i), Repeatable: true, Class: model.ClassNormal,
			Demand: model.Resources{MilliCPU: 100, MemoryMiB: 128, Slots: 1},
		})
	}
	return d
}

// newCell returns a cell in steady state: all shards have owners, the core has
// received heartbeats of all members, and it holds the leases of its workers.
func newCell(tb testing.TB, size cellSize) *cell {
	size.slots = max(size.slots, 64)
	c := &cell{
		tb: tb, size: size, now: time.Hour,
		eventSeq: make(map[model.WorkerID]uint64),
	}
	var err error
	c.core, err = core.New(core.Options{Self: instanceOf(0), Timing: timing, Seed: 1})
	require.NoError(tb, err)
	c.step(event.Tick{})
	c.now += 5 * time.Second
	c.deliverListing()
	c.deliverHeartbeats()
	var records []wire.Record
	if size.teams > 0 {
		records = append(records, wire.ConfigChange{Change: model.Change{ID: "all", Put: declarationsOf(size.teams)}})
	}
	c.appendEntry(append(records, size.claims()...)...)
	c.deliverListing() // after a pause, the core starts tasks only after two listings
	c.advance()
	c.advance()
	return c
}

func (z cellSize) claims() []wire.Record {
	shards := make([][]wire.ShardTerm, z.instances)
	for s, i := range z.shardOwners() {
		shards[i] = append(shards[i], wire.ShardTerm{Shard: model.Shard(s)})
	}
	var records []wire.Record
	for i, list := range shards {
		if len(list) > 0 {
			records = append(records, wire.Claim{Owner: instanceRefOf(i), Shards: list})
		}
	}
	return records
}

func (c *cell) listing() platform.Listing {
	l := platform.Listing{Version: 1}
	for i := range c.size.instances {
		l.Instances = append(l.Instances, instanceOf(i))
	}
	for i := range c.size.workers {
		l.Workers = append(l.Workers, workerOf(i, c.size.slots))
	}
	return l
}

func (c *cell) deliverListing() { c.step(event.Listed{Listing: c.listing()}) }

func (c *cell) step(e event.Event) []event.Action { return c.core.Step(c.now, e) }

// appendEntry appends records as one entry and lets the core read it.
func (c *cell) appendEntry(records ...wire.Record) []event.Action {
	return c.step(c.nextEntry(records...))
}

func (c *cell) nextEntry(records ...wire.Record) event.LogRead {
	data, err := wire.EncodeEntry(records)
	require.NoError(c.tb, err)
	c.offset++
	return event.LogRead{Entries: []platform.Entry{{Offset: c.offset, Data: data}}, Oldest: 1, Next: c.offset + 1, AskedAt: c.now}
}

// heartbeat returns the heartbeat of instance i with one line for each team.
func (c *cell) heartbeat(i int) wire.Heartbeat {
	h := wire.Heartbeat{
		Seq: c.heartbeatSeq, Applied: c.offset, Coverage: 1, LogAge: 250 * time.Millisecond,
		Free: model.Resources{MilliCPU: 3200000, MemoryMiB: 6553600, Slots: 12800},
	}
	for j := range c.size.instances {
		if j != i {
			h.Reachable = append(h.Reachable, instanceRefOf(j))
		}
	}
	for t := range c.size.teams {
		h.Teams = append(h.Teams, wire.TeamLoad{
			Team: teamOf(t), Running: 1234, Waiting: 12, Ceiling: 1300, GrantTerm: c.offset, GrantSeq: 123456, Wanted: 1246,
			Usage: model.Resources{MilliCPU: 123400, MemoryMiB: 157952, Slots: 1234},
		})
	}
	return h
}

// deliverHeartbeats delivers a heartbeat of every peer, and the coverage that the
// core requests in return.
func (c *cell) deliverHeartbeats() {
	c.heartbeatSeq++
	for i := 1; i < c.size.instances; i++ {
		from := instanceRefOf(i)
		for _, a := range c.step(event.PeerMessage{From: from, Message: c.heartbeat(i)}) {
			if s, ok := a.(event.Send); ok && s.To == from.Instance {
				c.step(event.PeerMessage{From: from, Message: c.coverage(i)})
			}
		}
	}
}

// coverage lists the workers whose shards instance i owns.
func (c *cell) coverage(i int) wire.Coverage {
	cov, owners := wire.Coverage{Version: 1}, c.size.shardOwners()
	for w := range c.size.workers {
		id := workerOf(w, 1).ID
		if owners[model.ShardOfWorker(id)] == i {
			cov.Workers = append(cov.Workers, id)
		}
	}
	return cov
}

// advance moves the time forward by 100 ms, delivers heartbeats and a tick, and
// renews the leases that are due.
func (c *cell) advance() {
	c.now += 100 * time.Millisecond
	c.deliverHeartbeats()
	c.step(event.LogRead{Oldest: 1, Next: c.offset + 1, AskedAt: c.now})
	for _, a := range c.step(event.Tick{}) {
		c.handleAction(a)
	}
}

// handleAction executes an action: it grants leases, starts tasks and counts
// answers.
func (c *cell) handleAction(a event.Action) {
	switch a := a.(type) {
	case event.Renew:
		c.step(c.renewDone(a.Worker, a.Request, nil))
	case event.Start:
		c.step(event.StartDone{
			Worker: a.Worker.ID, Lease: a.Request.Lease, Seq: a.Request.Seq, Task: a.Request.Task.ID, Verdict: verdict.Done,
		})
	case event.Respond:
		c.answers++
	}
}

func (c *cell) renewDone(w model.Worker, r platform.RenewRequest, outcomes []model.Outcome) event.RenewDone {
	c.eventSeq[w.ID] += uint64(len(outcomes))
	reply := platform.RenewReply{
		Granted: true, Current: r.Lease, Incarnation: 1, Uptime: time.Hour, Seq: c.eventSeq[w.ID], Finished: outcomes,
	}
	if r.Full {
		reply.Retention = timing.Retention
	}
	return event.RenewDone{Worker: w.ID, Lease: r.Lease, Full: r.Full, SentAt: c.now, Reply: reply}
}

// completeCall submits one request, starts its task and reports its outcome, so
// that the core answers the request.
func (c *cell) completeCall() {
	c.lastHandle++
	start := c.startRequest()
	c.handleAction(start)
	done := c.renewDone(start.Worker, platform.RenewRequest{Lease: start.Request.Lease}, []model.Outcome{outcomeOf(start.Request.Task.ID)})
	for _, a := range c.step(done) {
		if r, ok := a.(event.Respond); ok {
			require.Equal(c.tb, verdict.Done, r.Answer.Verdict, r.Answer.Message)
			c.answers++
		}
	}
}

func (c *cell) startRequest() event.Start {
	for _, a := range c.step(c.newRequest()) {
		if s, ok := a.(event.Start); ok {
			return s
		}
	}
	require.Fail(c.tb, "the task was not started")
	return event.Start{}
}

func (c *cell) newRequest() event.RequestIn {
	return event.RequestIn{Handle: c.lastHandle, Request: model.Request{
		Op: model.OpCall, Queue: string(teamOf(0)), ID: fmt.Sprintf("request-%010d", c.lastHandle), Service: "service-0",
		Task: model.Task{Payload: make([]byte, payloadBytes)}, Timeout: 25 * time.Second,
	}}
}
