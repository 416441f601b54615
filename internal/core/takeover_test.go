package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/wire"
)

// requireSameOwners checks that the shards that an instance owned before still have the
// same owner and term, as seen by at.
func (c *cell) requireSameOwners(at, owner model.InstanceID, before [model.Shards]ownership.ShardOwner) {
	c.t.Helper()
	owned := 0
	for i, after := range c.table(at) {
		if before[i].Owner.Instance == owner {
			owned++
			require.Equal(c.t, before[i], after, "shard %d", i)
		}
	}
	require.Positive(c.t, owned)
}

// An instance that resumes after a pause has queued heartbeats. It must not take the others
// for dead because of them, and claim the shards of one while the others answer already.
func TestResumedInstanceClaimsNoShardsOfOthers(t *testing.T) {
	c := newCell(t, "a", "b", "c")
	c.run(10 * time.Second)
	before := c.table("a")
	entries := len(c.log)

	c.now += 2 * testTiming.DeadAfter // all are paused, as when their machine is busy
	c.step("a", event.Tick{})
	c.read("a")
	c.step("b", event.Tick{}) // sends a heartbeat
	for range 3 {
		c.now += stepTime
		c.read("a")
		c.step("a", event.Tick{})
	}
	require.Equal(t, entries, len(c.log), "an instance has claimed shards")
	c.run(10 * time.Second)
	for _, owner := range []model.InstanceID{"a", "b", "c"} {
		c.requireSameOwners("a", owner, before)
	}
}

// After a pause, an instance that is really dead is declared dead within another
// Timing.DeadAfter.
func TestResumedInstanceTakesOverFromADeadOne(t *testing.T) {
	c := newCell(t, "a", "b", "c")
	c.run(10 * time.Second)
	c.stop("c")
	c.now += 2 * testTiming.DeadAfter
	c.run(testTiming.DeadAfter + time.Second)
	for i, shard := range c.table("a") {
		require.NotEqual(t, model.InstanceID("c"), shard.Owner.Instance, "shard %d", i)
	}
}

// A new instance with a broken link to an owner must not take its shards while another
// instance can reach it.
func TestNewInstanceClaimsNoShardsOfAnOwnerThatOthersReach(t *testing.T) {
	c := newCell(t, "a", "b")
	c.run(10 * time.Second)
	before := c.table("b")
	c.cut = func(x, y model.InstanceID) bool { return x == "a" && y == "c" || x == "c" && y == "a" }
	c.start("c")
	c.run(4 * testTiming.DeadAfter)
	c.requireSameOwners("b", "a", before)
}

// An instance that has heard nobody for a time has declared all others dead. When the first
// of them is back, it must not claim the shards of one that the first one reaches.
func TestIsolatedInstanceClaimsNoShardsOfOthersWhenItIsBack(t *testing.T) {
	c := newCell(t, "a", "b", "c")
	c.run(10 * time.Second)
	c.cut = func(x, y model.InstanceID) bool { return x == "a" || y == "a" }
	c.run(2 * testTiming.DeadAfter)
	before := c.table("b") // the shards of a have moved
	c.cut = func(x, y model.InstanceID) bool { return x == "a" && y == "c" || x == "c" && y == "a" }
	c.run(2 * time.Second)
	c.requireSameOwners("b", "c", before)
}

// An instance whose claim was just read, and that nobody has heard yet, was alive when it
// claimed.
func TestOwnerThatHasJustClaimedKeepsItsShards(t *testing.T) {
	c := newCell(t, "a", "b")
	c.run(testTiming.DeadAfter - time.Second)
	claim := wire.Claim{Owner: wire.InstanceRef{Instance: "c", Incarnation: 1}}
	for i := range model.Shards {
		claim.Shards = append(claim.Shards, wire.ShardTerm{Shard: model.Shard(i)})
	}
	c.append(claim)
	c.run(testTiming.DeadAfter)
	require.Equal(t, 1, len(c.log))
	c.run(2 * time.Second)
	for i, shard := range c.table("a") {
		require.NotEqual(t, model.InstanceID("c"), shard.Owner.Instance, "shard %d", i)
	}
}

// A request whose owner has just taken over its shard is located. One worker whose first reply
// to its new holder is late, as beside load, must not put the request in doubt: no worker has
// restarted.
func TestLateReplyAfterATakeoverPutsNoRequestInDoubt(t *testing.T) {
	c := newCell(t, "a", "b", "c")
	put := teamAndKey("secret")
	put.Services = []model.Service{{Name: "s", Class: model.ClassNormal, Demand: model.Resources{Slots: 1}}}
	put.Queues = []model.Queue{{Name: "q", Team: "t"}}
	c.change("1", 0, put)
	c.replyDelay = func(event.Renew) time.Duration { return stepTime }
	c.listWorkers(30)
	c.run(10 * time.Second)
	before := c.table("a")
	id := ""
	for i := 0; id == ""; i++ {
		if next := fmt.Sprintf("r-%d", i); before[model.ShardOfRequest("t", next)].Owner.Instance == "c" {
			id = next
		}
	}

	late := make(map[model.WorkerID]bool)
	c.replyDelay = func(a event.Renew) time.Duration {
		if a.Request.Full && !late[a.Worker.ID] {
			late[a.Worker.ID] = true
			return testTiming.DeadAfter + 10*stepTime // longer than the time from the workers' start to the first claim
		}
		return stepTime
	}
	c.stop("c")
	for c.table("a")[model.ShardOfRequest("t", id)].Owner.Instance == "c" {
		c.run(stepTime)
	}
	c.run(10 * stepTime)
	request := model.Request{Op: model.OpCall, Key: "secret", Queue: "q", ID: id, Service: "s", Timeout: 20 * time.Second}
	c.step("a", event.RequestIn{Handle: 1, Request: request})
	c.run(10 * time.Second)
	require.NotEmpty(t, late)
	require.NotContains(t, c.answers, uint64(1), "no worker has restarted")
	require.Len(t, c.started, 1)
}
