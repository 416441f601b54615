package wire

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// Message is sent from one instance to another.
type Message interface{ messageKind() kind }

// TeamLoad is one team's part of a heartbeat.
type TeamLoad struct {
	Team    model.TeamID `cbor:"1,keyasint" json:"team"`
	Running int64        `cbor:"2,keyasint,omitempty" json:"running,omitempty"` // running or starting on the sender's workers
	Waiting int64        `cbor:"3,keyasint,omitempty" json:"waiting,omitempty"` // queued at the sender
	// Ceiling is the most the sender allows itself; GrantTerm and GrantSeq name
	// the last grant it applied.
	Ceiling   int64           `cbor:"4,keyasint,omitempty" json:"ceiling,omitempty"`
	GrantTerm uint64          `cbor:"5,keyasint,omitempty" json:"grant_term,omitempty"`
	GrantSeq  uint64          `cbor:"6,keyasint,omitempty" json:"grant_seq,omitempty"`
	Wanted    int64           `cbor:"7,keyasint,omitempty" json:"wanted,omitempty"` // ceiling the sender could use now
	Usage     model.Resources `cbor:"8,keyasint,omitempty" json:"usage,omitempty"`
}

// Heartbeat tells that the sender lives, whom it hears and what it holds.
type Heartbeat struct {
	Seq      uint64          `cbor:"1,keyasint" json:"seq"`
	Applied  uint64          `cbor:"2,keyasint" json:"applied"` // log offset applied last
	Hears    []Owner         `cbor:"3,keyasint,omitempty" json:"hears,omitempty"`
	Leaving  bool            `cbor:"4,keyasint,omitempty" json:"leaving,omitempty"`
	Free     model.Resources `cbor:"5,keyasint" json:"free"` // on workers the sender leases
	Teams    []TeamLoad      `cbor:"6,keyasint,omitempty" json:"teams,omitempty"`
	Coverage uint64          `cbor:"7,keyasint" json:"coverage"` // version of the sender's Coverage
	LogAge   time.Duration   `cbor:"8,keyasint" json:"log_age"`  // since the sender last reached the log
}

// Coverage lists the workers that the sender leases and whose state it knows
// completely. It replaces the sender's earlier one when Version is higher.
type Coverage struct {
	Version uint64           `cbor:"1,keyasint" json:"version"`
	Workers []model.WorkerID `cbor:"2,keyasint" json:"workers"`
}

// FetchCoverage asks a peer for its Coverage.
type FetchCoverage struct{}

// Grant sets the ceiling of the receiver for a team. It applies only when
// (Term, Seq) is above the last one applied.
type Grant struct {
	Team    model.TeamID `cbor:"1,keyasint" json:"team"`
	Term    uint64       `cbor:"2,keyasint" json:"term"`
	Seq     uint64       `cbor:"3,keyasint" json:"seq"`
	Ceiling int64        `cbor:"4,keyasint" json:"ceiling"`
	Limit   int64        `cbor:"6,keyasint" json:"limit"` // that the owner split
	// To is the receiver's life that is meant; in a later one it has another account.
	To model.Incarnation `cbor:"7,keyasint" json:"to"`
	// Beat is the receiver's heartbeat on which the grant is based.
	Beat uint64 `cbor:"5,keyasint,omitempty" json:"beat,omitempty"`
}

// Forward hands a caller's request to the owner of its shard. The key has been
// checked: Team and Operator say for whom.
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

// Dispatch asks a worker holder to run a task. (Term, Attempt) orders the
// dispatches of one task.
type Dispatch struct {
	Task    model.Task `cbor:"1,keyasint" json:"task"`
	Term    uint64     `cbor:"2,keyasint" json:"term"`
	Attempt uint32     `cbor:"3,keyasint" json:"attempt"`
}

// TaskPhase is what a worker holder knows of a task.
type TaskPhase uint8

// Task phases.
const (
	PhaseUnknown  TaskPhase = iota // never seen on the covered workers
	PhaseRejected                  // not started and never will be by this dispatch
	PhaseStarting
	PhaseRunning
	PhaseFinished
)

// TaskState tells a task's coordinator what became of it.
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
// refuses dispatches of them at or below (Term, Attempt). The answer is a
// Located.
type Locate struct {
	ID    uint64       `cbor:"1,keyasint" json:"id"`
	Shard model.Shard  `cbor:"2,keyasint" json:"shard"`
	Term  uint64       `cbor:"3,keyasint" json:"term"`
	Tasks []LocateTask `cbor:"4,keyasint" json:"tasks"`
}

// LocateTask names a task to locate. Age is how long ago its first start may
// have been.
type LocateTask struct {
	Task    model.TaskID  `cbor:"1,keyasint" json:"task"`
	Attempt uint32        `cbor:"2,keyasint" json:"attempt"`
	Age     time.Duration `cbor:"3,keyasint" json:"age"`
}

// Located answers a Locate: the tasks that were seen, and the workers for which
// "not seen" is certain. Young are workers among them that restarted within the
// asked age, so that they may have run a task and forgotten it.
type Located struct {
	ID      uint64           `cbor:"1,keyasint" json:"id"`
	Seen    []TaskState      `cbor:"2,keyasint,omitempty" json:"seen,omitempty"`
	Covered []model.WorkerID `cbor:"3,keyasint,omitempty" json:"covered,omitempty"`
	Young   []model.WorkerID `cbor:"4,keyasint,omitempty" json:"young,omitempty"`
}

// CancelTask asks a worker holder to stop a task.
type CancelTask struct {
	Task model.TaskID      `cbor:"1,keyasint" json:"task"`
	Mode platform.StopMode `cbor:"2,keyasint" json:"mode"`
}

// FetchLog asks a peer for log entries from an offset on.
type FetchLog struct {
	From uint64 `cbor:"1,keyasint" json:"from"`
}

// LogEntries carries log entries from a peer that has read them.
type LogEntries struct {
	Entries []platform.Entry `cbor:"1,keyasint" json:"entries"`
}

// KeysWithdrawn tells of keys that a change withdrew. The receiver refuses them
// until it has folded the log up to their offsets.
type KeysWithdrawn struct {
	Keys []WithdrawnKey `cbor:"1,keyasint" json:"keys"`
}

// WithdrawnKey is the hash of a key's secret and the offset of the change that
// withdrew it.
type WithdrawnKey struct {
	SHA256 string `cbor:"1,keyasint" json:"sha256"`
	Offset uint64 `cbor:"2,keyasint" json:"offset"`
}

// FetchSnapshot asks a peer for a snapshot of its state. The answer is a
// SnapshotState.
type FetchSnapshot struct{}

// SnapshotState carries a peer's state.
type SnapshotState struct {
	Snapshot Snapshot `cbor:"1,keyasint" json:"snapshot"`
}

// Memory hands the memory of requests of some shards to the instance that is to
// own them next.
type Memory struct {
	ID      uint64          `cbor:"1,keyasint" json:"id"`
	Shards  []ShardMemory   `cbor:"2,keyasint" json:"shards"`
	Entries []RequestMemory `cbor:"3,keyasint,omitempty" json:"entries,omitempty"`
}

// ShardMemory tells how far back the memory of a shard is complete: for tickets
// from term ExactFrom on. PastAge is how long ago memory was lost before that, 0
// when it never was.
type ShardMemory struct {
	ShardTerm ShardTerm     `cbor:"1,keyasint" json:"shard_term"`
	ExactFrom uint64        `cbor:"2,keyasint" json:"exact_from"`
	PastAge   time.Duration `cbor:"3,keyasint,omitempty" json:"past_age,omitempty"`
}

// RequestMemory is one request as its coordinator remembers it. Ages are measured
// back from the moment of sending.
type RequestMemory struct {
	ID          string         `cbor:"1,keyasint" json:"id"`
	Task        model.Task     `cbor:"2,keyasint" json:"task"`
	Fingerprint uint64         `cbor:"3,keyasint,omitempty" json:"fingerprint,omitempty"`
	Phase       uint8          `cbor:"4,keyasint" json:"phase"`
	Holder      Owner          `cbor:"5,keyasint" json:"holder"`
	Attempt     uint32         `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"`
	Run         int            `cbor:"7,keyasint" json:"run"`
	BornAge     time.Duration  `cbor:"8,keyasint" json:"born_age"`
	WaitAge     time.Duration  `cbor:"9,keyasint" json:"wait_age"`
	EndAge      time.Duration  `cbor:"10,keyasint,omitempty" json:"end_age,omitempty"`
	Remaining   time.Duration  `cbor:"11,keyasint,omitempty" json:"remaining,omitempty"` // until the deadline
	Canceled    bool           `cbor:"12,keyasint,omitempty" json:"canceled,omitempty"`
	Worker      model.WorkerID `cbor:"13,keyasint,omitempty" json:"worker,omitempty"`
	Answer      model.Answer   `cbor:"14,keyasint" json:"answer"`
}

// MemoryKept confirms that a Memory is held until its handover shows in the log.
type MemoryKept struct {
	ID uint64 `cbor:"1,keyasint" json:"id"`
}
