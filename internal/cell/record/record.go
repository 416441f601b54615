// Package record is the form in which jobs and their progress are kept in the
// durable store: one record for each job and one for each of its steps. The
// newest record of a key replaces the ones before.
package record

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/cell/job"
)

// Record is one entry of the store. An empty Value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// State is how a job stands.
type State uint8

// States of a job.
const (
	Open State = iota
	Completed
	Failed
	Canceled
)

// Final reports whether a job in state s is over.
func (s State) Final() bool { return s != Open }

// Job is the record of a job. A job that is over keeps only its id, team, queue
// and state.
type Job struct {
	Spec     *job.Spec `cbor:"1,keyasint,omitempty"`
	State    State     `cbor:"2,keyasint,omitempty"`
	Team     string    `cbor:"3,keyasint,omitempty"`
	Queue    string    `cbor:"4,keyasint,omitempty"`
	Accepted int64     `cbor:"5,keyasint,omitempty"` // Unix milliseconds, by the clock of the instance that accepted
	Ended    int64     `cbor:"6,keyasint,omitempty"` // Unix milliseconds
}

// Task is how one task stands.
type Task struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	Run        int    // number of the last run
	Failures   int    // runs that ended as failed
	Worker     string // where the last run was sent, empty once its end is known
	Life       int64  // of that worker
	Checkpoint string
}

// Step is how the tasks of a step stand. Copy, where set, is a second run of
// the task at that index. Good, and Asked, the
// workers that the adviser was asked about, are kept while tasks wait, as advice is
// slow to get.
type Step struct {
	Tasks  []Task       `cbor:"1,keyasint"`
	Copies map[int]Task `cbor:"2,keyasint,omitempty"`
	Good   []Good       `cbor:"3,keyasint,omitempty"`
	Asked  Names        `cbor:"4,keyasint,omitempty"`
}

// Good is a worker that the adviser has found good for a step, in that life. The
// answer holds for as long as the worker lives; its ticket does not.
type Good struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Life   int64
}

// Names is a set of names in four bytes each. That it holds one that was not added is
// as unlikely as one in some million, with some hundreds of names.
type Names []byte

// Add adds a name.
func (n *Names) Add(name string) { *n = binary.BigEndian.AppendUint32(*n, short(name)) }

// Set returns a function that tells whether a name was added.
func (n Names) Set() func(name string) bool {
	set := make(map[uint32]bool, len(n)/4)
	for i := 0; i+3 < len(n); i += 4 {
		set[binary.BigEndian.Uint32(n[i:])] = true
	}
	return func(name string) bool { return set[short(name)] }
}

func short(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const (
	jobPrefix  = "j/"
	stepPrefix = "s/"
)

// JobKey returns the key of the record of a job.
func JobKey(id string) string { return jobPrefix + id }

// StepKey returns the key of the record of a step.
func StepKey(ref job.StepRef) string { return stepPrefix + ref.String() }

// ParseKey tells what a key names: a job if step is nil. It returns an error for a
// key of another form.
func ParseKey(key string) (id string, step *job.StepRef, err error) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		return id, nil, nil
	}
	name, ok := strings.CutPrefix(key, stepPrefix)
	if !ok {
		return "", nil, errors.Newf("unknown key %q", key)
	}
	task, err := job.ParseTask(name + ".0")
	if err != nil {
		return "", nil, errors.Wrapf(err, "key %q", key)
	}
	return task.Job, &task.StepRef, nil
}

// Encode returns the bytes of v, a Job or a Step.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		// The types above have only fields that the codec knows.
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Decode fills v from data. It returns an error for data of another form.
func Decode(data []byte, v any) error {
	return errors.Wrapf(cbor.Unmarshal(data, v), "decode %T", v)
}
