// Package platform defines the interfaces to the platform: the log service, the
// instance list and the workers. docs/PLATFORM.md states the assumptions about
// each of them.
package platform

import (
	"context"
	"time"

	"pollenbend/internal/model"
)

// Log is the platform's append-only log service. One entry may hold a batch of
// records.
type Log interface {
	// Append adds one entry to a stream and returns its offset. After an error
	// with verdict.NotRun the entry was not added; after any other error that is
	// unknown.
	Append(ctx context.Context, stream string, entry []byte) (offset uint64, err error)
	// Read returns at most limit entries, beginning with the offset from. When
	// there are none it waits for the first one, for at most wait.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// Entry is one log entry.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read. Oldest is the lowest offset that is retained;
// Next is the offset that the next appended entry will get.
type Batch struct {
	Entries []Entry `json:"entries"`
	Oldest  uint64  `json:"oldest"`
	Next    uint64  `json:"next"`
}

// Instance describes one instance of this system in the platform's list.
type Instance struct {
	ID          model.InstanceID  `json:"id"`
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	PeerAddr    string            `json:"peer_addr"`
	HTTPAddr    string            `json:"http_addr"`
	Location    model.Location    `json:"location"`
	Leaving     bool              `json:"leaving,omitempty"`
}

// Listing is a snapshot of the instance list. It may be stale.
type Listing struct {
	Version   uint64         `json:"version"`
	Instances []Instance     `json:"instances"`
	Workers   []model.Worker `json:"workers"`
}

// InstanceList is the platform's list of live and leaving instances and workers.
type InstanceList interface {
	// List returns the current listing.
	List(ctx context.Context) (Listing, error)
}

// LeaseRef identifies a worker lease by its holder, the holder's incarnation and
// the term. The terms of one worker never decrease.
type LeaseRef struct {
	Holder      model.InstanceID  `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	Term        uint64            `json:"term"`
}

// RenewRequest acquires or renews a worker's lease and asks for the outcomes that the
// worker has reported after the one with the sequence number Since. If the lease is
// granted and Full is not set, the worker delays its answer until there is one, for
// at most Wait. Durations are encoded in nanoseconds.
type RenewRequest struct {
	Lease    LeaseRef      `json:"lease"`
	Duration time.Duration `json:"duration"`
	// Full asks for the complete state instead of the outcomes after Since. It also
	// sets a fence: the worker refuses starts that arrive later with a Seq of at
	// most Fence.
	Full  bool          `json:"full,omitempty"`
	Fence uint64        `json:"fence,omitempty"`
	Since uint64        `json:"since"`
	Wait  time.Duration `json:"wait"`
	// Release releases the lease. The answer then has Granted false.
	Release bool `json:"release,omitempty"`
}

// RenewReply answers a RenewRequest. When Granted is false, at most Current is set:
// it identifies the lease holder or, if there is none, the lease with the highest
// term in any renewal. It is empty after a successful release. Durations are encoded
// in nanoseconds.
type RenewReply struct {
	Granted     bool              `json:"granted"`
	Current     LeaseRef          `json:"current"`
	Incarnation model.Incarnation `json:"incarnation"` // of the worker
	Uptime      time.Duration     `json:"uptime"`      // since this incarnation began
	Seq         uint64            `json:"seq"`         // of the last reported outcome
	Running     []model.Task      `json:"running,omitempty"`
	// Finished holds the outcomes after Since, or all retained ones when Full.
	Finished []model.Outcome `json:"finished,omitempty"`
	// Seen holds, when Full, the ids of the running tasks and of those that ended
	// within Retention.
	Seen []model.TaskID `json:"seen,omitempty"`
	// Retention is how long the worker keeps outcomes and ids of ended tasks.
	Retention time.Duration `json:"retention,omitempty"`
}

// StartRequest starts a task. Seq increases with every start under one lease. The
// worker never starts a task again while it keeps the task's id.
type StartRequest struct {
	Lease LeaseRef   `json:"lease"`
	Seq   uint64     `json:"seq"`
	Task  model.Task `json:"task"`
	// WorkerIncarnation, when set, is the only incarnation of the worker that
	// may start the task.
	WorkerIncarnation model.Incarnation `json:"worker_incarnation,omitempty"`
}

// StopMode selects what a StopRequest does to a task.
type StopMode string

// Stop modes.
const (
	StopCheckpoint StopMode = "checkpoint" // write a checkpoint, then stop
	StopKill       StopMode = "kill"       // stop at once
	StopThrottle   StopMode = "throttle"   // run the task more slowly
)

// StopRequest stops or throttles a task. The worker reports the end of the task
// as an outcome.
type StopRequest struct {
	Lease LeaseRef     `json:"lease"`
	Task  model.TaskID `json:"task"`
	Mode  StopMode     `json:"mode"`
}

// Workers sends commands to workers. After an error with verdict.NotRun the
// command has had no effect and will have none; after any other error that is
// unknown.
type Workers interface {
	Renew(ctx context.Context, w model.Worker, r RenewRequest) (RenewReply, error)
	Start(ctx context.Context, w model.Worker, r StartRequest) error
	Stop(ctx context.Context, w model.Worker, r StopRequest) error
}
