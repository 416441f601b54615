package wire

import (
	"time"

	"pollenbend/internal/model"
)

// HoldTasks asks a lease holder to reserve capacity for tasks of a gang. The tasks
// carry no payloads. For a task with a reservation it extends the reservation. The
// answer is a Held.
type HoldTasks struct {
	ID      uint64        `cbor:"1,keyasint" json:"id"`
	Tasks   []model.Task  `cbor:"2,keyasint" json:"tasks"`
	Term    uint64        `cbor:"3,keyasint" json:"term"`
	Expires time.Duration `cbor:"4,keyasint" json:"expires"` // duration of the reservation, measured from receipt
}

// Held answers a HoldTasks with the tasks for which capacity is reserved. Limited
// reports that other tasks had capacity but were refused because of the team's limit.
type Held struct {
	ID      uint64         `cbor:"1,keyasint" json:"id"`
	Tasks   []model.TaskID `cbor:"2,keyasint,omitempty" json:"tasks,omitempty"`
	Limited bool           `cbor:"3,keyasint,omitempty" json:"limited,omitempty"`
}

// ReleaseHolds releases the capacity reserved for tasks.
type ReleaseHolds struct {
	Tasks []model.TaskID `cbor:"1,keyasint" json:"tasks"`
}
