// Package wire defines the log records and the messages between the scheduler's own
// processes, and their encoding.
package wire

import (
	"pollenbend/internal/model"
)

// Record is one record in the log. A log entry holds a batch of records.
type Record interface{ recordKind() kind }

// ShardTerm is a shard at a term. In a claim it is the term that the claim replaces.
type ShardTerm struct {
	Shard model.Shard `cbor:"1,keyasint" json:"shard"`
	Term  uint64      `cbor:"2,keyasint" json:"term"`
}

// InstanceRef is an instance in one of its incarnations, whether or not it owns shards.
type InstanceRef struct {
	Instance    model.InstanceID  `cbor:"1,keyasint" json:"instance"`
	Incarnation model.Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// Claim makes Owner the owner of every listed shard that is still at its listed
// term. The new term is the offset of the entry that contains the claim.
type Claim struct {
	Owner  InstanceRef `cbor:"1,keyasint" json:"owner"`
	Shards []ShardTerm `cbor:"2,keyasint" json:"shards"`
}

// Handover transfers shards from their owner to another instance, which has already
// received the owner's memory of requests.
type Handover struct {
	From   InstanceRef `cbor:"1,keyasint" json:"from"`
	To     InstanceRef `cbor:"2,keyasint" json:"to"`
	Shards []ShardTerm `cbor:"3,keyasint" json:"shards"`
}

// ConfigChange changes declarations.
type ConfigChange struct {
	Change model.Change `cbor:"1,keyasint" json:"change"`
}

// JobAccepted accepts a job for later execution.
type JobAccepted struct {
	Job model.Job `cbor:"1,keyasint" json:"job"`
}

// JobProgress lists tasks of a job, by index, that ended since the previous such
// record.
type JobProgress struct {
	Team   model.TeamID `cbor:"1,keyasint" json:"team"`
	Job    model.JobID  `cbor:"2,keyasint" json:"job"`
	Done   []int        `cbor:"3,keyasint,omitempty" json:"done,omitempty"`
	Failed []int        `cbor:"4,keyasint,omitempty" json:"failed,omitempty"`
}

// JobCanceled cancels a job.
type JobCanceled struct {
	Team model.TeamID `cbor:"1,keyasint" json:"team"`
	Job  model.JobID  `cbor:"2,keyasint" json:"job"`
}

// Snapshot is the state of the services after the entry at Applied. A reader can
// start from it; the record does not change the state itself.
type Snapshot struct {
	Applied uint64         `cbor:"1,keyasint" json:"applied"`
	Parts   []SnapshotPart `cbor:"2,keyasint" json:"parts"`
}

// SnapshotPart is the state of one service, in the service's own encoding.
type SnapshotPart struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Data []byte `cbor:"2,keyasint" json:"data"`
}
