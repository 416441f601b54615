// Package node runs one instance of a cell: it follows the leader or leads, forwards
// callers' requests to the leader, and executes the engine's actions while it leads.
package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// Leadership is the record of who leads the cell.
type Leadership struct {
	Instance string `cbor:"1,keyasint"`
	Session  string `cbor:"2,keyasint"` // incarnation of the instance
	Address  string `cbor:"3,keyasint"` // address at which peers connect to it
	Term     int64  `cbor:"4,keyasint"` // zero in the record that claims the leadership: the term is that record's offset plus one
	Beat     int64  `cbor:"5,keyasint"` // number of attempts to renew the record in the term
	Resigned bool   `cbor:"6,keyasint,omitempty"`
}

// Errors of the ports. An error of a port that is marked with none of them means that
// the call may or may not have had an effect.
var (
	// ErrConflict means that another write came first.
	ErrConflict = errors.New("another write came first")
	// ErrFenced means that a later term has begun.
	ErrFenced = errors.New("a later term has begun")
	// ErrNoEffect means that the call had no effect.
	ErrNoEffect = errors.New("the call had no effect")
	// ErrRejected means that the call had no effect and would have none if it were repeated.
	ErrRejected = errors.New("the call is rejected")
)

// Store stores durably the leadership record and the state of the cell.
type Store interface {
	// ReadLeadership returns the newest leadership record, its offset, and the offset
	// of the next one. found is false if there is none.
	ReadLeadership(ctx context.Context) (rec Leadership, offset, next int64, found bool, err error)
	// WriteLeadership stores rec if next is still the offset of the next record. It
	// returns an error marked ErrConflict otherwise.
	WriteLeadership(ctx context.Context, rec Leadership, next int64) error
	// Fence makes appends of earlier terms fail from now on. It returns an error
	// marked ErrFenced if a later term has begun.
	Fence(ctx context.Context, term int64) error
	// Append stores all of the records or none. Repeating it with the same term and
	// sequence number has no further effect. Its errors may be marked ErrFenced,
	// ErrNoEffect or ErrRejected.
	Append(ctx context.Context, term, sequence int64, records []record.Record) error
	// Load calls f with the newest record of every key.
	Load(ctx context.Context, f func(record.Record)) error
	// Refresh reads what has been stored since the last Refresh, so that the next Load has
	// little left to read.
	Refresh(ctx context.Context) error
	// Forget frees the memory that Refresh uses.
	Forget()
}

// Directory lists the workers.
type Directory interface {
	// Poll returns the whole list. changed is false if the list is the same as at the
	// previous poll, which may have been made in an earlier term of this instance.
	Poll(ctx context.Context) (list []engine.WorkerInfo, changed bool, err error)
}

// Workers sends commands and renewals to workers. The results report what is known of
// their effect. fence is at least the term of the leader that sends them, and lower than the next one's.
type Workers interface {
	Start(ctx context.Context, fence int64, command *engine.Start) *engine.StartAnswered
	Stop(ctx context.Context, fence int64, command *engine.Stop) *engine.StopAnswered
	Renew(ctx context.Context, fence int64, renewal *engine.Renew) *engine.RenewalAnswered
}

// Adviser recommends workers for a step.
type Adviser interface {
	// Advise returns a ticket for each of the workers that it recommends, by worker id,
	// and how long the tickets are valid.
	Advise(ctx context.Context, step string, workers []string) (good map[string]string, ttl time.Duration, err error)
}

// Policies provides the operators' declarations.
type Policies interface {
	// Watch calls f with the current version and with each later one until ctx ends. It
	// may call f with the same version again.
	Watch(ctx context.Context, f func(*policy.Policy))
}
