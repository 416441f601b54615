package wire

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// Message is a message from one instance to another.
type Message interface{ messageKind() kind }

// TeamLoad is one team's part of a heartbeat.
type TeamLoad struct {
	Team    model.TeamID `cbor:"1,keyasint" json:"team"`
	Running int64        `cbor:"2,keyasint,omitempty" json:"running,omitempty"` // running or starting on the sender's workers
	Waiting int64        `cbor:"3,keyasint,omitempty" json:"waiting,omitempty"` // queued at the sender
	// Ceiling is the maximum number of tasks that the sender allows itself; GrantTerm
	// and GrantSeq identify the last grant it applied.
	Ceiling   int64           `cbor:"4,keyasint,omitempty" json:"ceiling,omitempty"`
	GrantTerm uint64          `cbor:"5,keyasint,omitempty" json:"grant_term,omitempty"`
	GrantSeq  uint64          `cbor:"6,keyasint,omitempty" json:"grant_seq,omitempty"`
	Wanted    int64           `cbor:"7,keyasint,omitempty" json:"wanted,omitempty"` // ceiling the sender could use now
	Usage     model.Resources `cbor:"8,keyasint,omitempty" json:"usage,omitempty"`
}

// Heartbeat reports that the sender is live, which instances it can reach and the
// load on its workers.
type Heartbeat struct {
	Seq       uint64          `cbor:"1,keyasint" json:"seq"`
	Applied   uint64          `cbor:"2,keyasint" json:"applied"`                     // offset of the last log entry applied
	Reachable []InstanceRef   `cbor:"3,keyasint,omitempty" json:"hears,omitempty"`   // instances that the sender can reach
	Leaving   bool            `cbor:"4,keyasint,omitempty" json:"leaving,omitempty"` // the sender is shutting down and gets no further shards
	Free      model.Resources `cbor:"5,keyasint" json:"free"`                        // on workers whose lease the sender holds
	Teams     []TeamLoad      `cbor:"6,keyasint,omitempty" json:"teams,omitempty"`
	Coverage  uint64          `cbor:"7,keyasint" json:"coverage"` // version of the sender's Coverage
	LogAge    time.Duration   `cbor:"8,keyasint" json:"log_age"`  // since the sender last reached the log
}

// Coverage lists the workers whose lease the sender holds and whose state it knows
// completely. It replaces the previous one of the sender when Version is higher.
type Coverage struct {
	Version uint64           `cbor:"1,keyasint" json:"version"`
	Workers []model.WorkerID `cbor:"2,keyasint" json:"workers"`
}

// FetchCoverage asks a peer for its Coverage.
type FetchCoverage struct{}

// Grant sets the ceiling of the receiver for a team. It is applied only when (Term,
// Seq) is higher than that of the last one applied.
type Grant struct {
	Team    model.TeamID `cbor:"1,keyasint" json:"team"`
	Term    uint64       `cbor:"2,keyasint" json:"term"`
	Seq     uint64       `cbor:"3,keyasint" json:"seq"`
	Ceiling int64        `cbor:"4,keyasint" json:"ceiling"`
	Limit   int64        `cbor:"6,keyasint" json:"limit"` // limit that the shard owner split
	// To is the incarnation of the receiver for which the grant is meant. A later
	// incarnation ignores the grant; it gets grants of its own.
	To model.Incarnation `cbor:"7,keyasint" json:"to"`
	// HeartbeatSeq is the sequence number of the receiver's heartbeat on which the
	// grant is based.
	HeartbeatSeq uint64 `cbor:"5,keyasint,omitempty" json:"beat,omitempty"`
}

// Forward passes a caller's request to the owner of its shard. The sender has
// checked the key, which belongs to Team.
type Forward struct {
	Handle  uint64        `cbor:"1,keyasint" json:"handle"`
	Team    model.TeamID  `cbor:"2,keyasint" json:"team"`
	KeyName string        `cbor:"3,keyasint,omitempty" json:"key_name,omitempty"`
	Request model.Request `cbor:"4,keyasint" json:"request"`
}

// Reply answers a Forward.
type Reply struct {
	Handle uint64       `cbor:"1,keyasint" json:"handle"`
	Answer model.Answer `cbor:"2,keyasint" json:"answer"`
}

// Dispatch asks a lease holder to run a task. (Term, Attempt) orders the dispatches
// of one task.
type Dispatch struct {
	Task    model.Task `cbor:"1,keyasint" json:"task"`
	Term    uint64     `cbor:"2,keyasint" json:"term"`
	Attempt uint32     `cbor:"3,keyasint" json:"attempt"`
}

// TaskPhase is what a lease holder knows of a task.
type TaskPhase uint8

// Task phases.
const (
	PhaseUnknown  TaskPhase = iota // not seen on the covered workers
	PhaseRejected                  // not started, and this dispatch will never start it
	PhaseStarting
	PhaseRunning
	PhaseFinished
)

// TaskState reports the state of a task to its coordinator.
type TaskState struct {
	Task    model.TaskID   `cbor:"1,keyasint" json:"task"`
	Term    uint64         `cbor:"2,keyasint,omitempty" json:"term,omitempty"`
	Attempt uint32         `cbor:"3,keyasint,omitempty" json:"attempt,omitempty"`
	Phase   TaskPhase      `cbor:"4,keyasint" json:"phase"`
	Worker  model.WorkerID `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	Outcome model.Outcome  `cbor:"6,keyasint,omitempty" json:"outcome,omitempty"`
	Reason  string         `cbor:"7,keyasint,omitempty" json:"reason,omitempty"`
}

// Locate asks every instance what it knows of tasks. From then on the receiver
// refuses dispatches of them at or below (Term, Attempt). The answer is a Located.
type Locate struct {
	ID    uint64       `cbor:"1,keyasint" json:"id"`
	Shard model.Shard  `cbor:"2,keyasint" json:"shard"`
	Term  uint64       `cbor:"3,keyasint" json:"term"`
	Tasks []LocateTask `cbor:"4,keyasint" json:"tasks"`
}

// LocateTask identifies a task to locate. Age is the time since the earliest
// possible first start.
type LocateTask struct {
	Task    model.TaskID  `cbor:"1,keyasint" json:"task"`
	Attempt uint32        `cbor:"2,keyasint" json:"attempt"`
	Age     time.Duration `cbor:"3,keyasint" json:"age"`
}

// Located answers a Locate with the tasks that were seen. Covered lists the workers on
// which certainly none of the other tasks was seen. Restarted lists the covered workers
// that restarted within the highest Age of the tasks: they may have run a task and lost
// their record of it.
type Located struct {
	ID        uint64           `cbor:"1,keyasint" json:"id"`
	Seen      []TaskState      `cbor:"2,keyasint,omitempty" json:"seen,omitempty"`
	Covered   []model.WorkerID `cbor:"3,keyasint,omitempty" json:"covered,omitempty"`
	Restarted []model.WorkerID `cbor:"4,keyasint,omitempty" json:"young,omitempty"`
}

// CancelTask asks a lease holder to stop a task.
type CancelTask struct {
	Task model.TaskID      `cbor:"1,keyasint" json:"task"`
	Mode platform.StopMode `cbor:"2,keyasint" json:"mode"`
}

// FetchLog requests log entries from a peer, starting at the offset From.
type FetchLog struct {
	From uint64 `cbor:"1,keyasint" json:"from"`
}

// LogEntries carries log entries from a peer that has read them.
type LogEntries struct {
	Entries []platform.Entry `cbor:"1,keyasint" json:"entries"`
}

// KeysWithdrawn reports keys that a change withdrew. The receiver refuses them until
// it has applied the log up to their offsets.
type KeysWithdrawn struct {
	Keys []WithdrawnKey `cbor:"1,keyasint" json:"keys"`
}

// WithdrawnKey is the hash of a key's secret and the offset of the change that
// withdrew it.
type WithdrawnKey struct {
	SHA256 string `cbor:"1,keyasint" json:"sha256"`
	Offset uint64 `cbor:"2,keyasint" json:"offset"`
}

// FetchSnapshot requests a snapshot of the state from a peer. The answer is a
// SnapshotState.
type FetchSnapshot struct{}

// SnapshotState carries a peer's state.
type SnapshotState struct {
	Snapshot Snapshot `cbor:"1,keyasint" json:"snapshot"`
}

// Memory passes the remembered requests of some shards to the instance that is to
// own them next.
type Memory struct {
	ID      uint64          `cbor:"1,keyasint" json:"id"`
	Shards  []ShardMemory   `cbor:"2,keyasint" json:"shards"`
	Entries []RequestMemory `cbor:"3,keyasint,omitempty" json:"entries,omitempty"`
}

// ShardMemory describes how complete the records of a shard's requests are: they
// contain every request with a ticket issued in term ExactFrom or later. PastAge is the
// time since records of earlier requests were last lost, 0 when they never were.
type ShardMemory struct {
	ShardTerm ShardTerm     `cbor:"1,keyasint" json:"shard_term"`
	ExactFrom uint64        `cbor:"2,keyasint" json:"exact_from"`
	PastAge   time.Duration `cbor:"3,keyasint,omitempty" json:"past_age,omitempty"`
	// UnownedAge is the time since a moment at which the shard had never had an owner, 0
	// when the sender knows of none.
	UnownedAge time.Duration `cbor:"4,keyasint,omitempty" json:"unowned_age,omitempty"`
}

// RequestMemory is a request as its coordinator remembers it. Ages are measured back
// from the time of sending. LeaseHolder is the one to which the task was
// last dispatched.
type RequestMemory struct {
	ID          string         `cbor:"1,keyasint" json:"id"`
	Task        model.Task     `cbor:"2,keyasint" json:"task"`
	Fingerprint uint64         `cbor:"3,keyasint,omitempty" json:"fingerprint,omitempty"`
	Phase       uint8          `cbor:"4,keyasint" json:"phase"`
	LeaseHolder InstanceRef    `cbor:"5,keyasint" json:"holder"`
	Attempt     uint32         `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"`
	Run         int            `cbor:"7,keyasint" json:"run"`
	CreatedAge  time.Duration  `cbor:"8,keyasint" json:"born_age"`
	QueuedAge   time.Duration  `cbor:"9,keyasint" json:"wait_age"`
	EndAge      time.Duration  `cbor:"10,keyasint,omitempty" json:"end_age,omitempty"`
	Remaining   time.Duration  `cbor:"11,keyasint,omitempty" json:"remaining,omitempty"` // until the deadline
	Canceled    bool           `cbor:"12,keyasint,omitempty" json:"canceled,omitempty"`
	Worker      model.WorkerID `cbor:"13,keyasint,omitempty" json:"worker,omitempty"`
	Answer      model.Answer   `cbor:"14,keyasint" json:"answer"`
}

// MemoryKept confirms that a Memory was received and is kept until the log contains
// its handover.
type MemoryKept struct {
	ID uint64 `cbor:"1,keyasint" json:"id"`
}
