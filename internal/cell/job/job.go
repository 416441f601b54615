// Package job describes submitted jobs: their steps, tasks and resources.
package job

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Resources is an amount of the resources that a worker offers and tasks use.
type Resources struct {
	CPU   int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemMB int64 `cbor:"2,keyasint,omitempty"`
	GPU   int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemMB * int64(n), r.GPU * int64(n)}
}

// Fits reports whether r is at most free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// CountIn returns how many times r fits into free, at most maxCount. It is zero if
// free is negative in a resource that r needs.
func (r Resources) CountIn(free Resources, maxCount int) int {
	maxCount = countOf(r.CPU, free.CPU, maxCount)
	maxCount = countOf(r.MemMB, free.MemMB, maxCount)
	return countOf(r.GPU, free.GPU, maxCount)
}

// countOf returns how many times need fits in free, at most maxCount. It divides only if the
// result can be between the two, as placement calls it for each worker that it looks at.
func countOf(need, free int64, maxCount int) int {
	switch {
	case need <= 0 || maxCount <= 0:
		return maxCount
	case free < need:
		return 0
	case maxCount == 1:
		return 1
	}
	return min(maxCount, int(free/need))
}

// CountWithin returns how many times r can be added to used, at most maxCount, without
// exceeding limit. A resource whose limit is zero is not limited.
func (r Resources) CountWithin(limit, used Resources, maxCount int) int {
	for _, kind := range [...][3]int64{{r.CPU, limit.CPU, used.CPU}, {r.MemMB, limit.MemMB, used.MemMB}, {r.GPU, limit.GPU, used.GPU}} {
		switch {
		case kind[1] == 0:
		case kind[0] > 0:
			maxCount = min(maxCount, int(max(0, kind[1]-kind[2])/kind[0]))
		case kind[2] > kind[1]:
			return 0
		}
	}
	return maxCount
}

// Within reports whether r is within limit. A resource whose limit is zero is not
// limited.
func (r Resources) Within(limit Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) &&
		(limit.MemMB == 0 || r.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || r.GPU <= limit.GPU)
}

// Step is a set of identical tasks.
type Step struct {
	Count          int           `cbor:"1,keyasint"`
	Need           Resources     `cbor:"2,keyasint"`            // of one task
	Estimate       time.Duration `cbor:"3,keyasint,omitempty"`  // expected run time of one task
	DependsOn      []int         `cbor:"4,keyasint,omitempty"`  // indexes of the steps that must finish first
	Checkpoints    bool          `cbor:"5,keyasint,omitempty"`  // tasks save checkpoints and resume from them
	Gang           bool          `cbor:"6,keyasint,omitempty"`  // tasks can only run all at the same time
	SameRack       bool          `cbor:"7,keyasint,omitempty"`  // tasks run slower when spread over racks
	Label          string        `cbor:"8,keyasint,omitempty"`  // label that a worker must have; empty for any worker
	PreferredRack  string        `cbor:"9,keyasint,omitempty"`  // rack that holds the data; tasks run slower on others
	MaxPerWorker   int           `cbor:"10,keyasint,omitempty"` // maximum number of tasks on one worker; zero for no limit
	Speculative    bool          `cbor:"11,keyasint,omitempty"` // speculative copies may run in parallel
	LongRunning    bool          `cbor:"12,keyasint,omitempty"` // runs until the job is canceled
	Image          string        `cbor:"13,keyasint,omitempty"`
	TailTarget     time.Duration `cbor:"14,keyasint,omitempty"` // target for the tail latency of a serving task
	Filler         bool          `cbor:"15,keyasint,omitempty"` // uses only CPU that other tasks leave idle
	MaxUnavailable int           `cbor:"16,keyasint,omitempty"` // maximum number of tasks that the scheduler may interrupt at once
}

// Charge returns the part of a worker's capacity that one task of the step
// occupies. The CPU of a filler is not counted, as it is CPU that other tasks leave idle.
func (s *Step) Charge() Resources {
	if s.Filler {
		return Resources{MemMB: s.Need.MemMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is a submitted job.
type Spec struct {
	ID       string        `cbor:"1,keyasint"`
	Queue    string        `cbor:"2,keyasint"`
	Team     string        `cbor:"3,keyasint"`
	Payload  string        `cbor:"4,keyasint,omitempty"` // opaque, passed to every task
	Steps    []Step        `cbor:"5,keyasint"`
	Times    int           `cbor:"6,keyasint,omitempty"` // number of occurrences of a scheduled job; zero if the job is not scheduled
	FirstDue int64         `cbor:"7,keyasint,omitempty"` // when the first occurrence is due, in Unix milliseconds
	Interval time.Duration `cbor:"8,keyasint,omitempty"` // between occurrences
	// Entry is the address, for other instances, of the instance that took the job from its
	// caller. It keeps the payload of its newest jobs for relays.
	Entry string `cbor:"9,keyasint,omitempty"`
	// Public reports that the job was submitted to a queue that takes requests without a key.
	Public bool `cbor:"10,keyasint,omitempty"`
}

// The sizes of parts of a Spec in memory, in bytes.
var (
	specSize  = int64(reflect.TypeFor[Spec]().Size())
	stepSize  = int64(reflect.TypeFor[Step]().Size())
	indexSize = int64(reflect.TypeFor[int]().Size())
)

// Size returns about how many bytes of memory s takes.
func (s *Spec) Size() int64 {
	size := specSize + int64(cap(s.Steps))*stepSize
	size += int64(len(s.ID) + len(s.Queue) + len(s.Team) + len(s.Payload) + len(s.Entry))
	for i := range s.Steps {
		step := &s.Steps[i]
		size += int64(cap(step.DependsOn))*indexSize + int64(len(step.Label)+len(step.PreferredRack)+len(step.Image))
	}
	return size
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// Scheduled reports whether the job runs at set times.
func (s *Spec) Scheduled() bool { return s.Times > 0 }

// Due returns when occurrence k is due, in Unix milliseconds.
func (s *Spec) Due(k int) int64 { return s.FirstDue + int64(k)*s.Interval.Milliseconds() }

// Limits of a valid Spec.
const (
	MaxSteps   = 64
	MaxTasks   = 10_000 // maximum number of tasks of a step, and of occurrences of a job
	MaxPayload = 4_000  // bytes
)

// FieldError is an error about a field of a Spec.
type FieldError struct {
	error
	Step  int    // index of the step that the field belongs to, or -1
	Field string // in lower camel case
}

// NewFieldError returns err as an error about a field of the job itself.
func NewFieldError(field string, err error) error { return &FieldError{err, -1, field} }

// NewStepError returns err as an error about a field of the step with the given index.
func NewStepError(step int, field string, err error) error {
	return &FieldError{errors.Wrapf(err, "step %d", step), step, field}
}

// Unwrap returns the error without the field.
func (e *FieldError) Unwrap() error { return e.error }

// Validate returns an error that describes the first invalid field of s, or nil. It contains a
// FieldError.
func (s *Spec) Validate() error {
	if field, err := s.invalidField(); err != nil {
		return NewFieldError(field, err)
	}
	for i := range s.Steps {
		if field, err := s.Steps[i].invalidField(i); err != nil {
			return NewStepError(i, field, err)
		}
	}
	return nil
}

// invalidField returns the first invalid field of s besides the steps and what is wrong with it.
func (s *Spec) invalidField() (string, error) {
	switch {
	case len(s.Payload) > MaxPayload:
		return "payload", errors.Newf("payload of %d bytes, at most %d", len(s.Payload), MaxPayload)
	case len(s.Steps) == 0:
		return "steps", errors.New("no steps")
	case len(s.Steps) > MaxSteps:
		return "steps", errors.Newf("%d steps, at most %d", len(s.Steps), MaxSteps)
	case s.Times < 0 || s.Times > MaxTasks:
		return "times", errors.Newf("%d occurrences", s.Times)
	case s.Times > 1 && s.Interval <= 0:
		return "interval", errors.New("several occurrences without an interval")
	}
	return "", nil
}

// invalidField returns the first invalid field of s, the step with the given index, and what is
// wrong with it.
func (s *Step) invalidField(index int) (string, error) {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return "count", errors.Newf("%d tasks, expected 1 to %d", s.Count, MaxTasks)
	case s.Need.CPU < 0:
		return "cpu", errors.New("negative resources")
	case s.Need.MemMB < 0:
		return "memory", errors.New("negative resources")
	case s.Need.GPU < 0:
		return "gpu", errors.New("negative resources")
	case s.Estimate < 0:
		return "estimate", errors.New("negative estimate")
	case s.MaxPerWorker < 0:
		return "maxPerWorker", errors.New("negative bound of tasks on one worker")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return "dependsOn", errors.Newf("depends on step %d, expected an earlier one", d)
		}
	}
	if len(s.DependsOn) > MaxSteps {
		return "dependsOn", errors.Newf("%d dependencies, at most %d", len(s.DependsOn), MaxSteps)
	}
	return "", nil
}

// ValidID reports whether id has the form of a job id: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the name of the step in calls to workers and the adviser.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// TaskRef identifies one task of a step.
type TaskRef struct {
	StepRef
	Index int
}

// String returns the name of the task in calls to workers.
func (r TaskRef) String() string { return r.StepRef.String() + "." + strconv.Itoa(r.Index) }

// ParseTask parses a name that TaskRef.String returned. It returns an error if name
// does not have that form.
func ParseTask(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskRef{}, errors.Newf("invalid task name %q", name)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskRef{}, errors.Newf("invalid task name %q", name)
		}
		numbers[i] = n
	}
	return TaskRef{StepRef{parts[0], numbers[0], numbers[1]}, numbers[2]}, nil
}
