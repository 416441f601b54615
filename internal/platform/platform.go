// Package platform defines the ports to the platform: the log service, the
// instance list and the workers. docs/PLATFORM.md states what each port assumes.
package platform

import (
	"context"
	"time"

	"pollenbend/internal/model"
)

// Log is the platform's append-only log service. One entry may hold a batch of
// records.
type Log interface {
	// Append adds one entry to a stream and returns its offset. An error with
	// verdict.NotRun means it was not added; any other error leaves that open.
	Append(ctx context.Context, stream string, entry []byte) (offset uint64, err error)
	// Read returns entries from offset on, at most limit of them. It waits up
	// to wait for the first one.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// Entry is one log entry.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read. Oldest is the first offset still kept; Next is
// the offset that the next append will get.
type Batch struct {
	Entries []Entry `json:"entries"`
	Oldest  uint64  `json:"oldest"`
	Next    uint64  `json:"next"`
}

// Instance is one of the system's own instances as the platform lists it.
type Instance struct {
	ID          model.InstanceID  `json:"id"`
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	PeerAddr    string            `json:"peer_addr"`
	HTTPAddr    string            `json:"http_addr"`
	Location    model.Location    `json:"location"`
	Leaving     bool              `json:"leaving,omitempty"`
}

// Listing is one view of the instance list. It may lag behind the truth.
type Listing struct {
	Version   uint64         `json:"version"`
	Instances []Instance     `json:"instances"`
	Workers   []model.Worker `json:"workers"`
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}

// LeaseRef names a worker lease: its holder and the holder's term. Terms of one
// worker only grow.
type LeaseRef struct {
	Holder      model.InstanceID  `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	Term        uint64            `json:"term"`
}

// RenewRequest takes or renews a worker's lease and asks for events. The answer
// is held until there is an event after Since, or for Wait at most.
type RenewRequest struct {
	Lease    LeaseRef      `json:"lease"`
	Duration time.Duration `json:"duration"`
	// Full asks for the complete state instead of events since Since. It also
	// fences: starts with a Seq at or below Fence that arrive later are refused.
	Full  bool          `json:"full,omitempty"`
	Fence uint64        `json:"fence,omitempty"`
	Since uint64        `json:"since"`
	Wait  time.Duration `json:"wait"`
	// Release gives the lease up; the answer reports Granted false.
	Release bool `json:"release,omitempty"`
}

// RenewReply answers a RenewRequest. When Granted is false, Current names the
// holder and nothing else is set.
type RenewReply struct {
	Granted     bool              `json:"granted"`
	Current     LeaseRef          `json:"current"`
	Incarnation model.Incarnation `json:"incarnation"` // of the worker
	Uptime      time.Duration     `json:"uptime"`      // since this incarnation began
	Seq         uint64            `json:"seq"`         // of the last event
	Running     []model.Task      `json:"running,omitempty"`
	// Finished holds outcomes after Since, or all that are kept when Full.
	Finished []model.Outcome `json:"finished,omitempty"`
	// Seen holds, when Full, the ids of all tasks started within Retention.
	Seen      []model.TaskID `json:"seen,omitempty"`
	Retention time.Duration  `json:"retention,omitempty"`
}

// StartRequest starts a task. Seq grows with every command under one lease. A
// task id that the worker has seen is never started again.
type StartRequest struct {
	Lease LeaseRef   `json:"lease"`
	Seq   uint64     `json:"seq"`
	Task  model.Task `json:"task"`
	// WorkerIncarnation, when set, is the only incarnation of the worker that
	// may start the task.
	WorkerIncarnation model.Incarnation `json:"worker_incarnation,omitempty"`
}

// StopMode says how a task is stopped.
type StopMode string

// Stop modes.
const (
	StopCheckpoint StopMode = "checkpoint"
	StopKill       StopMode = "kill"
	StopThrottle   StopMode = "throttle"
)

// StopRequest stops or throttles a task. The task's end comes as an outcome.
type StopRequest struct {
	Lease LeaseRef     `json:"lease"`
	Task  model.TaskID `json:"task"`
	Mode  StopMode     `json:"mode"`
}

// Workers reaches workers. An error with verdict.NotRun means that the command
// had no effect and will have none; any other error leaves that open.
type Workers interface {
	Renew(ctx context.Context, w model.Worker, r RenewRequest) (RenewReply, error)
	Start(ctx context.Context, w model.Worker, r StartRequest) error
	Stop(ctx context.Context, w model.Worker, r StopRequest) error
}
