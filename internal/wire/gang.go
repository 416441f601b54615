package wire

import (
	"time"

	"pollenbend/internal/model"
)

// HoldTasks asks a worker holder to keep room for tasks of a gang. Tasks come
// without their payloads. A task that is held already keeps its place for longer.
// The answer is a Held.
type HoldTasks struct {
	ID      uint64        `cbor:"1,keyasint" json:"id"`
	Tasks   []model.Task  `cbor:"2,keyasint" json:"tasks"`
	Term    uint64        `cbor:"3,keyasint" json:"term"`
	Expires time.Duration `cbor:"4,keyasint" json:"expires"` // from receipt
}

// Held answers a HoldTasks with the tasks for which room is kept. Limited tells
// that others had room but were not held for the team's upper limit.
type Held struct {
	ID      uint64         `cbor:"1,keyasint" json:"id"`
	Tasks   []model.TaskID `cbor:"2,keyasint,omitempty" json:"tasks,omitempty"`
	Limited bool           `cbor:"3,keyasint,omitempty" json:"limited,omitempty"`
}

// ReleaseHolds gives up the room kept for tasks.
type ReleaseHolds struct {
	Tasks []model.TaskID `cbor:"1,keyasint" json:"tasks"`
}
