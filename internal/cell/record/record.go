// Package record defines the form in which jobs and their progress are kept in the
// durable store: one record for each job and one for each segment of its steps, which
// holds up to SegmentTasks tasks. The newest record of a key replaces the earlier ones.
package record

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/cell/job"
)

// Record is one entry of the store. An empty Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Size returns the size of the key and the value, in bytes.
func (r Record) Size() int { return len(r.Key) + len(r.Value) }

// TotalSize returns the sum of the sizes of records, in bytes.
func TotalSize(records []Record) int {
	size := 0
	for _, r := range records {
		size += r.Size()
	}
	return size
}

// State is the state of a job.
type State uint8

// States of a job.
const (
	Open State = iota // not finished
	Completed
	Failed
	Canceled
)

// Final reports whether a job in state s has ended.
func (s State) Final() bool { return s != Open }

// Job is the record of a job. A job that has ended keeps only its id, team, queue
// and state.
type Job struct {
	Spec     *job.Spec `cbor:"1,keyasint,omitempty"`
	State    State     `cbor:"2,keyasint,omitempty"`
	Team     string    `cbor:"3,keyasint,omitempty"`
	Queue    string    `cbor:"4,keyasint,omitempty"`
	Accepted int64     `cbor:"5,keyasint,omitempty"` // Unix milliseconds on the clock of the instance that accepted the job
	Ended    int64     `cbor:"6,keyasint,omitempty"` // Unix milliseconds
	Reason   string    `cbor:"7,keyasint,omitempty"` // why the job failed, if not for its attempts
}

// NameSet is a set of names, stored as a hash of four bytes each. With some hundreds
// of names, the probability that it contains a name that was not added is about one
// in several million.
type NameSet []byte

// Add adds name to the set.
func (n *NameSet) Add(name string) { *n = binary.BigEndian.AppendUint32(*n, nameHash(name)) }

// Matcher returns a function that reports whether a name is in the set.
func (n NameSet) Matcher() func(name string) bool {
	hashes := make(map[uint32]bool, len(n)/4)
	for i := 0; i+3 < len(n); i += 4 {
		hashes[binary.BigEndian.Uint32(n[i:])] = true
	}
	return func(name string) bool { return hashes[nameHash(name)] }
}

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const (
	jobPrefix  = "j/"
	stepPrefix = "s/"
)

// ModelKey is the key of the record of what is learned of run times, which
// runtimes.Model encodes.
const ModelKey = "m/runtimes"

// JobKey returns the key of the record of a job.
func JobKey(id string) string { return jobPrefix + id }

// StepKey returns the key of the record of a segment of a step. The key of the first segment
// is that of the whole step in records of earlier versions.
func StepKey(ref job.StepRef, segment int) string {
	key := stepPrefix + ref.String()
	if segment > 0 {
		key += segmentSeparator + strconv.Itoa(segment)
	}
	return key
}

const segmentSeparator = "/"

// StepSegment identifies a segment of a step.
type StepSegment struct {
	job.StepRef
	Segment int
}

// ParseKey returns the id of the job and, for the key of a segment of a step, the segment that
// key identifies. It returns an error if key has neither form,
// such as ModelKey.
func ParseKey(key string) (id string, step *StepSegment, err error) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		return id, nil, nil
	}
	name, ok := strings.CutPrefix(key, stepPrefix)
	if !ok {
		return "", nil, errors.Newf("unknown key %q", key)
	}
	segment := 0
	name, number, later := strings.Cut(name, segmentSeparator)
	if later {
		segment, err = strconv.Atoi(number)
		if err != nil || segment < 1 || segment >= MaxSegments {
			return "", nil, errors.Newf("key %q: no number of a segment", key)
		}
	}
	task, err := job.ParseTask(name + ".0")
	if err != nil {
		return "", nil, errors.Wrapf(err, "key %q", key)
	}
	return task.Job, &StepSegment{task.StepRef, segment}, nil
}

// Encode returns the CBOR encoding of v. It panics if v is of a type that the codec
// does not support.
func Encode(v any) []byte {
	if s, ok := v.(*Step); ok {
		v = s.encoded()
	}
	data, err := cbor.Marshal(v)
	if err != nil {
		// The types of this package have only fields that the codec supports.
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// Decode decodes data into v. It returns an error if data does not encode the type
// of v.
func Decode(data []byte, v any) error {
	s, ok := v.(*Step)
	if !ok {
		return errors.Wrapf(cbor.Unmarshal(data, v), "decode %T", v)
	}
	r := new(stepRecord)
	err := cbor.Unmarshal(data, r)
	if err == nil {
		err = s.decode(r)
	}
	return errors.Wrapf(err, "decode %T", v)
}
