package capacity

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/service/handover"
	"pollenbend/internal/wire"
)

const nanoseconds = "ns"

func BenchmarkCapacityHeartbeatTake(b *testing.B) {
	take := func(b *testing.B, size cellSize) float64 {
		c := newCell(b, size)
		data, err := wire.EncodeMessage(c.heartbeat(1))
		require.NoError(b, err)
		return threadTimePerOp(b, func() {
			m, err := wire.DecodeMessage(data)
			require.NoError(b, err)
			c.step(event.PeerMessage{From: instanceRefOf(1), Message: m})
		})
	}
	measure(b, "heartbeat_take_ns_by_team", nanoseconds, "team", []int{6, 60, 170}, func(b *testing.B, n int) float64 {
		return take(b, cellSize{instances: 9, teams: n})
	})
	measure(b, "heartbeat_take_ns_by_member", nanoseconds, "member", []int{9, 90}, func(b *testing.B, n int) float64 {
		return take(b, cellSize{instances: n})
	})
}

// BenchmarkCapacityHeartbeatFill measures a tick in which heartbeats and shares are
// due and no plan is. The size is the number of team lines that the shares read:
// all lines of all members for each team.
func BenchmarkCapacityHeartbeatFill(b *testing.B) {
	const afterPlan = 50 * time.Millisecond
	shapes := map[int]cellSize{
		60 * 60 * 9:    {instances: 9, teams: 60, withoutShards: true},
		170 * 170 * 9:  {instances: 9, teams: 170, withoutShards: true},
		170 * 170 * 90: {instances: 90, teams: 170, withoutShards: true},
	}
	sizes := slices.Sorted(maps.Keys(shapes))
	measure(b, "heartbeat_fill_ns_by_team_line", nanoseconds, "team and line", sizes, func(b *testing.B, n int) float64 {
		c := newCell(b, shapes[n])
		c.now += timing.Heartbeat
		c.step(event.Tick{})
		return medianAfterSetup(b, func() {
			c.deliverHeartbeats()
			c.now += timing.Heartbeat - afterPlan
			c.step(event.Tick{})
			c.now += afterPlan
		}, func() { c.step(event.Tick{}) })
	})
}

func BenchmarkCapacityTick(b *testing.B) {
	tick := func(b *testing.B, c *cell) float64 {
		return threadTimePerOp(b, func() { c.step(event.Tick{}) })
	}
	measure(b, "tick_ns_by_instance", nanoseconds, "instance", []int{9, 30, 90}, func(b *testing.B, n int) float64 {
		return tick(b, newCell(b, cellSize{instances: n}))
	})
	measure(b, "tick_ns_by_held_worker", nanoseconds, "worker", []int{100, 1000}, func(b *testing.B, n int) float64 {
		return tick(b, newCell(b, cellSize{instances: 1, workers: n}))
	})
	measure(b, "tick_ns_by_finished_task", nanoseconds, "task", []int{500, 4000}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 1, workers: 10, teams: 1})
		c.completeCalls(n)
		return tick(b, c)
	})
	measure(b, "tick_ns_by_waiting_request", nanoseconds, "request", []int{500, 4000}, func(b *testing.B, n int) float64 {
		return tick(b, waitingCell(b, n))
	})
}

// BenchmarkCapacityOpenRequests measures ticks of a gateway whose open requests are
// handled by another instance.
func BenchmarkCapacityOpenRequests(b *testing.B) {
	measure(b, "tick_ns_by_open_request", nanoseconds, "request", []int{500, 4000}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 2, workers: 1, teams: 1, withoutShards: true})
		for range n {
			c.lastHandle++
			require.IsType(b, event.Send{}, c.step(c.newRequest())[0])
		}
		return threadTimePerOp(b, func() { c.step(event.Tick{}) })
	})
}

// completeCalls completes n calls one after the other.
func (c *cell) completeCalls(n int) {
	for range n {
		c.completeCall()
	}
}

// waitingCell returns a cell whose task slots are all in use, with n requests
// waiting.
func waitingCell(tb testing.TB, n int) *cell {
	c := newCell(tb, cellSize{instances: 1, workers: 1, teams: 1})
	for range 64 {
		c.lastHandle++
		c.handleAction(c.startRequest())
	}
	for range n {
		c.lastHandle++
		require.Empty(tb, c.step(c.newRequest()))
	}
	return c
}

func BenchmarkCapacityRenewal(b *testing.B) {
	measure(b, "renewal_take_ns_by_outcome", nanoseconds, "outcome", []int{0, 4, 16}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 1, workers: 10, teams: 1})
		w := workerOf(0, c.size.slots)
		lease := platform.LeaseRef{Holder: instanceRefOf(0).Instance, Incarnation: instanceRefOf(0).Incarnation, Term: c.offset}
		serial := 0
		return threadTimePerOp(b, func() {
			var outcomes []model.Outcome
			for range n {
				serial++
				outcomes = append(outcomes, outcomeOf(model.TaskID(fmt.Sprintf("team-0000/request-%d/0", serial%4096))))
			}
			c.step(c.renewDone(w, platform.RenewRequest{Lease: lease}, outcomes))
		})
	})
}

func BenchmarkCapacityCall(b *testing.B) {
	call := func(b *testing.B, workers, finished int) float64 {
		c := newCell(b, cellSize{instances: 1, workers: workers, teams: 6})
		c.completeCalls(finished)
		const rounds = 100 // few, so that the number of finished requests hardly grows
		return fixedValue(b, medianTime(rounds, func() {}, c.completeCall))
	}
	measure(b, "call_ns_by_remembered_request", nanoseconds, "request", []int{1000, 4000}, func(b *testing.B, n int) float64 {
		return call(b, 10, n)
	})
	measure(b, "call_ns_by_held_worker", nanoseconds, "worker", []int{10, 100, 1000}, func(b *testing.B, n int) float64 {
		return call(b, n, 0)
	})
}

// BenchmarkCapacityPlan measures one plan of the ceilings of one team, and the part
// of a plan that an instance executes even if it plans for no team.
func BenchmarkCapacityPlan(b *testing.B) {
	plan := func(b *testing.B, size cellSize) float64 {
		withoutShards := size
		withoutShards.withoutShards = true
		return fixedValue(b, (planTick(b, size)-planTick(b, withoutShards))/float64(plannedTeams(size)))
	}
	measure(b, "plan_ns_by_listed_worker", nanoseconds, "worker", []int{1200, 12000}, func(b *testing.B, n int) float64 {
		return plan(b, cellSize{instances: 9, workers: n, teams: 170})
	})
	measure(b, "plan_ns_by_instance", nanoseconds, "instance", []int{9, 90}, func(b *testing.B, n int) float64 {
		return plan(b, cellSize{instances: n, workers: 90, teams: 170})
	})
	measure(b, "plan_scan_ns_by_team", nanoseconds, "team", []int{6, 170}, func(b *testing.B, n int) float64 {
		return fixedValue(b, planTick(b, cellSize{instances: 2, teams: n, withoutShards: true}))
	})
}

// planTick returns the median time in nanoseconds of a tick in which plans are due.
func planTick(b *testing.B, size cellSize) float64 {
	const rounds = 31
	c := newCell(b, size)
	return medianTime(rounds, func() {
		c.advance()
		c.now += 100 * time.Millisecond
	}, func() { c.step(event.Tick{}) })
}

// plannedTeams returns how many teams instance 0 plans for, at least 1.
func plannedTeams(size cellSize) int {
	n, owners := 0, size.shardOwners()
	for t := range size.teams {
		if owners[model.ShardOfTeam(teamOf(t))] == 0 {
			n++
		}
	}
	return max(n, 1)
}

// BenchmarkCapacityMove measures how long it takes to apply the move of a shard
// between two other instances, by the number of tasks that run here.
func BenchmarkCapacityMove(b *testing.B) {
	measure(b, "move_ns_by_running_task", nanoseconds, "task", []int{200, 2000}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 3, workers: 300})
		require.Len(b, c.startTasks(n), n)
		term := c.offset
		owners := c.size.shardOwners()
		moved := model.Shard(slices.Index(owners[:], 1))
		return threadTimePerOp(b, func() {
			e := c.nextEntry(wire.Claim{Owner: instanceRefOf(1 + int(c.offset)%2), Shards: []wire.ShardTerm{{Shard: moved, Term: term}}})
			term = c.offset
			c.step(e)
		})
	})
}

// startTasks starts n tasks that another instance dispatches, and returns their
// ids.
func (c *cell) startTasks(n int) []model.TaskID {
	var ids []model.TaskID
	for i := range n {
		id := model.TaskID(fmt.Sprintf("team-0000/request-%d/0", i))
		d := wire.Dispatch{Task: taskOf(id, teamOf(0)), Term: c.offset, Attempt: 1}
		for _, a := range c.step(event.PeerMessage{From: instanceRefOf(1), Message: d}) {
			if s, ok := a.(event.Start); ok {
				c.handleAction(s)
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// BenchmarkCapacityTakeover measures the handling of the full report of a worker
// without tasks, by the number of tasks on the other workers whose leases are held
// here.
func BenchmarkCapacityTakeover(b *testing.B) {
	measure(b, "takeover_ns_by_running_task", nanoseconds, "task", []int{200, 2000}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 1, workers: 100, teams: 1})
		for range n {
			c.lastHandle++
			c.handleAction(c.startRequest())
		}
		idle := workerOf(100, c.size.slots)
		c.size.workers++
		c.deliverListing()
		request := c.firstRenewal(idle.ID)
		return threadTimePerOp(b, func() { c.step(c.renewDone(idle, request, nil)) })
	})
}

// firstRenewal returns the renewal with which the core acquires a worker's lease.
func (c *cell) firstRenewal(id model.WorkerID) platform.RenewRequest {
	for _, a := range c.step(event.Tick{}) {
		if r, ok := a.(event.Renew); ok && r.Worker.ID == id {
			return r.Request
		}
	}
	require.Fail(c.tb, "the core did not request the worker's lease")
	return platform.RenewRequest{}
}

// BenchmarkCapacityHandover measures the size of the finished requests that are
// handed over with their shards.
func BenchmarkCapacityHandover(b *testing.B) {
	measure(b, "handover_bytes_by_request", encodedBytes, "request", []int{100, 1000}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 1, workers: 10, teams: 1})
		c.completeCalls(n)
		var shards []wire.ShardTerm
		for s := range model.Shards {
			shards = append(shards, wire.ShardTerm{Shard: model.Shard(s), Term: c.offset})
		}
		memory, err := kernel.Find[handover.Memory](c.core.Kernel(), service.Requests)
		require.NoError(b, err)
		exported, entries := memory.ExportRecords(shards)
		return fixedValue(b, float64(len(encode(b, wire.Memory{ID: 1, Shards: exported, Entries: entries}))))
	})
}

func BenchmarkCapacityListing(b *testing.B) {
	measure(b, "listing_take_ns_by_worker", nanoseconds, "worker", []int{48, 1200, 12000}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 9, workers: n})
		data, err := json.Marshal(c.listing())
		require.NoError(b, err)
		return threadTimePerOp(b, func() {
			var l platform.Listing
			require.NoError(b, json.Unmarshal(data, &l))
			c.step(event.Listed{Listing: l})
		})
	})
}

func BenchmarkCapacityConfigurationTake(b *testing.B) {
	measure(b, "change_take_ns_by_team", nanoseconds, "team", []int{6, 60, 170}, func(b *testing.B, n int) float64 {
		c := newCell(b, cellSize{instances: 2, teams: n})
		base := uint64(1)
		return threadTimePerOp(b, func() {
			e := c.nextEntry(wire.ConfigChange{Change: newChange(base, c.offset+1, 1)})
			base = c.offset
			c.step(e)
		})
	})
}

// newChange returns a change that puts the first n teams with their keys, queues
// and services.
func newChange(base, serial uint64, n int) model.Change {
	return model.Change{ID: fmt.Sprintf("%032d", serial), Base: base, Put: declarationsOf(n), Author: "operator"}
}
