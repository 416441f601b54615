package capacity

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

const encodedBytes = "bytes"

func encode(b *testing.B, m wire.Message) []byte {
	data, err := wire.EncodeMessage(m)
	require.NoError(b, err)
	return data
}

func BenchmarkCapacityHeartbeatBytes(b *testing.B) {
	heartbeat := func(b *testing.B, size cellSize) wire.Heartbeat { return newCell(b, size).heartbeat(1) }
	teams, members := []int{6, 60, 170}, []int{9, 90}
	ofTeams := func(b *testing.B, n int) wire.Heartbeat { return heartbeat(b, cellSize{instances: 9, teams: n}) }
	ofMembers := func(b *testing.B, n int) wire.Heartbeat { return heartbeat(b, cellSize{instances: n}) }
	measure(b, "heartbeat_bytes_by_team", encodedBytes, "team", teams, func(b *testing.B, n int) float64 {
		return fixedValue(b, float64(len(encode(b, ofTeams(b, n)))))
	})
	measure(b, "heartbeat_bytes_by_member", encodedBytes, "member", members, func(b *testing.B, n int) float64 {
		return fixedValue(b, float64(len(encode(b, ofMembers(b, n)))))
	})
	measure(b, "heartbeat_encode_ns_by_team", nanoseconds, "team", teams, func(b *testing.B, n int) float64 {
		h := ofTeams(b, n)
		return threadTimePerOp(b, func() { encode(b, h) })
	})
	measure(b, "heartbeat_encode_ns_by_member", nanoseconds, "member", members, func(b *testing.B, n int) float64 {
		h := ofMembers(b, n)
		return threadTimePerOp(b, func() { encode(b, h) })
	})
}

// callMessages returns the messages between instances of a call whose gateway,
// coordinator and lease holder are three different instances.
func callMessages(payload int) []wire.Message {
	id := model.TaskID("team-0000/request-0000000001/0")
	task := taskOf(id, teamOf(0))
	task.Payload = make([]byte, payload)
	out := outcomeOf(id)
	out.Answer = task.Payload
	state := wire.TaskState{Task: id, Term: 123456, Attempt: 1, Phase: wire.PhaseRunning, Worker: "worker-00001"}
	done := state
	done.Phase, done.Outcome = wire.PhaseFinished, out
	return []wire.Message{
		wire.Forward{Handle: 123456, Team: teamOf(0), KeyName: "team-0000", Request: model.Request{
			Op: model.OpCall, Queue: "team-0000", ID: "request-0000000001", Service: "service-0", Task: task, Timeout: 25 * time.Second,
		}},
		wire.Dispatch{Task: task, Term: 123456, Attempt: 1},
		state,
		done,
		wire.Reply{Handle: 123456, Answer: model.Answer{ID: "request-0000000001", Body: task.Payload, Worker: "worker-00001", Waited: time.Millisecond}},
	}
}

func BenchmarkCapacityCallBytes(b *testing.B) {
	sizes := []int{0, 256, 1024}
	measure(b, "call_peer_bytes_by_payload_byte", encodedBytes, "payload byte", sizes, func(b *testing.B, n int) float64 {
		total := 0
		for _, m := range callMessages(n) {
			total += len(encode(b, m))
		}
		return fixedValue(b, float64(total))
	})
	measure(b, "call_peer_ns_by_payload_byte", nanoseconds, "payload byte", sizes, func(b *testing.B, n int) float64 {
		messages := callMessages(n)
		return threadTimePerOp(b, func() {
			for _, m := range messages {
				_, err := wire.DecodeMessage(encode(b, m))
				require.NoError(b, err)
			}
		})
	})
}

func entryBytes(b *testing.B, records ...wire.Record) int {
	data, err := wire.EncodeEntry(records)
	require.NoError(b, err)
	return len(data)
}

func BenchmarkCapacityRecordBytes(b *testing.B) {
	entry := func(b *testing.B, records ...wire.Record) float64 {
		return fixedValue(b, float64(entryBytes(b, records...)))
	}
	measure(b, "claim_bytes_by_shard", encodedBytes, "shard", []int{1, 28, 256}, func(b *testing.B, n int) float64 {
		c := wire.Claim{Owner: instanceRefOf(0)}
		for s := range n {
			c.Shards = append(c.Shards, wire.ShardTerm{Shard: model.Shard(s), Term: 12345678})
		}
		return entry(b, c)
	})
	measure(b, "change_bytes_by_object", encodedBytes, "object", []int{4, 40, 400}, func(b *testing.B, n int) float64 {
		return entry(b, wire.ConfigChange{Change: newChange(12345678, 1, n/4)})
	})
	measure(b, "job_entry_bytes_by_record", encodedBytes, "record", []int{1, 64, 1024}, func(b *testing.B, n int) float64 {
		var records []wire.Record
		for i := range n {
			records = append(records, newJob(i, 100))
		}
		return entry(b, records...)
	})
	measure(b, "grant_bytes_by_team_name_byte", encodedBytes, "byte of the name", []int{8, 32}, func(b *testing.B, n int) float64 {
		g := wire.Grant{Team: model.TeamID(strings.Repeat("t", n)), Term: 12345678, Seq: 123456, Ceiling: 1300}
		return fixedValue(b, float64(len(encode(b, g))))
	})
	measure(b, "snapshot_bytes_by_team", encodedBytes, "team", []int{17, 170}, func(b *testing.B, n int) float64 {
		return fixedValue(b, snapshotBytes(n))
	})
	measure(b, "listing_bytes_by_worker", encodedBytes, "worker", []int{48, 1200, 12000}, func(b *testing.B, n int) float64 {
		c := &cell{size: cellSize{instances: 9, workers: n, slots: 64}}
		data, err := json.Marshal(c.listing())
		require.NoError(b, err)
		return fixedValue(b, float64(len(data)))
	})
}

// BenchmarkCapacityExchange measures HTTP exchanges of the production client over
// loopback: the bytes in both directions and the processor time of both ends. The
// answering end uses very little of it.
func BenchmarkCapacityExchange(b *testing.B) {
	lease := platform.LeaseRef{Holder: instanceRefOf(0).Instance, Incarnation: instanceRefOf(0).Incarnation, Term: 12345678}
	renew := platform.RenewRequest{Lease: lease, Duration: timing.WorkerLease, Since: 123456, Wait: timing.WorkerLease / 4}
	measure(b, "renewal_bytes_by_outcome", encodedBytes, "outcome", []int{0, 4, 16}, func(b *testing.B, n int) float64 {
		return newResponder(b, granted(n)).bytesPerCall(b, func(e *responder) error { return e.renew(renew) })
	})
	measure(b, "start_bytes_by_payload_byte", encodedBytes, "payload byte", []int{0, 256, 1024}, func(b *testing.B, n int) float64 {
		task := taskOf("team-0000/request-0000000001/0", teamOf(0))
		task.Payload = make([]byte, n)
		start := platform.StartRequest{Lease: lease, Seq: 123456, WorkerIncarnation: 1764800000000000000, Task: task}
		return newResponder(b, ack).bytesPerCall(b, func(e *responder) error { return e.start(start) })
	})
	measure(b, "log_read_bytes_by_entry_byte", encodedBytes, "entry byte", []int{0, 300, 3000}, func(b *testing.B, n int) float64 {
		return newResponder(b, batchOf(n)).bytesPerCall(b, func(e *responder) error { return e.readLog() })
	})
	measure(b, "exchange_ns_by_outcome", nanoseconds, "outcome", []int{0, 4, 16}, func(b *testing.B, n int) float64 {
		return newResponder(b, granted(n)).processorTimePerCall(b, func(e *responder) error { return e.renew(renew) })
	})
	measure(b, "worker_connection_memory", memoryBytes, "connection", []int{20, 200}, func(b *testing.B, n int) float64 {
		return fixedValue(b, connectionMemory(b, n, renew))
	})
}
