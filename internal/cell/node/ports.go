// Package node runs one instance of a cell: it finds or becomes the leader, passes
// callers' requests to it, and carries out what the engine decides while it leads.
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
	Session  string `cbor:"2,keyasint"` // of the process
	Address  string `cbor:"3,keyasint"` // for peers
	Term     int64  `cbor:"4,keyasint"` // zero in the record that claims: its place is the term
	Beat     int64  `cbor:"5,keyasint"`
	Resigned bool   `cbor:"6,keyasint,omitempty"`
}

// Errors of the ports. An error of a port that is marked with none of them leaves
// open whether the call had an effect.
var (
	// ErrConflict tells that another write came first.
	ErrConflict = errors.New("another write came first")
	// ErrFenced tells that a later term has begun.
	ErrFenced = errors.New("a later term has begun")
	// ErrNotDone tells that the call had no effect.
	ErrNotDone = errors.New("the call had no effect")
)

// Store keeps what must outlive every process.
type Store interface {
	// ReadLeadership returns the newest leadership record, its place, and the place
	// of the next. found is false if there is none.
	ReadLeadership(ctx context.Context) (rec Leadership, at, next int64, found bool, err error)
	// WriteLeadership stores rec if next is still the place of the next record. It
	// returns an error marked ErrConflict otherwise.
	WriteLeadership(ctx context.Context, rec Leadership, next int64) error
	// Fence has appends of earlier terms fail from now on. It returns an error
	// marked ErrFenced if a later term has begun.
	Fence(ctx context.Context, term int64) error
	// Append stores records, all or none. A repeat with the same term and sequence
	// number has no further effect. It returns errors marked ErrFenced or ErrNotDone.
	Append(ctx context.Context, term, sequence int64, records []record.Record) error
	// Load calls f with the newest record of every key.
	Load(ctx context.Context, f func(record.Record)) error
}

// Directory lists the workers.
type Directory interface {
	// Poll returns the whole list. changed is false if it is as it was at the poll
	// before, which an earlier term of this instance may have made.
	Poll(ctx context.Context) (list []engine.Listed, changed bool, err error)
}

// Workers carries out orders. The answers tell what is known of their effect.
type Workers interface {
	Start(ctx context.Context, fence int64, order *engine.Start) *engine.StartAnswered
	Stop(ctx context.Context, fence int64, order *engine.Stop) *engine.StopAnswered
	Look(ctx context.Context, fence int64, order *engine.Look) *engine.Looked
}

// Adviser tells which workers may run a step.
type Adviser interface {
	// Advise returns a ticket for each good worker, and how long tickets last.
	Advise(ctx context.Context, step string, workers []string) (good map[string]string, ttl time.Duration, err error)
}

// Policies brings the operators' declarations.
type Policies interface {
	// Watch calls f with each newer version until ctx ends.
	Watch(ctx context.Context, f func(*policy.Policy))
}
