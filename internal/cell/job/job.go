// Package job describes submitted jobs: their steps, tasks and resources.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Resources is an amount of what a worker offers.
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

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// CountIn returns how many times r fits into free, at most most.
func (r Resources) CountIn(free Resources, most int) int {
	for _, kind := range [...][2]int64{{r.CPU, free.CPU}, {r.MemMB, free.MemMB}, {r.GPU, free.GPU}} {
		if kind[0] > 0 {
			most = min(most, int(max(0, kind[1])/kind[0]))
		}
	}
	return most
}

// Within reports whether r exceeds no limit. A limit of zero is none.
func (r Resources) Within(limit Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) &&
		(limit.MemMB == 0 || r.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || r.GPU <= limit.GPU)
}

// Step is a set of equal tasks.
type Step struct {
	Count          int           `cbor:"1,keyasint"`
	Need           Resources     `cbor:"2,keyasint"` // of one task
	Estimate       time.Duration `cbor:"3,keyasint,omitempty"`
	DependsOn      []int         `cbor:"4,keyasint,omitempty"` // steps that must be done first
	Checkpoints    bool          `cbor:"5,keyasint,omitempty"`
	Gang           bool          `cbor:"6,keyasint,omitempty"`  // the tasks work only together
	SameRack       bool          `cbor:"7,keyasint,omitempty"`  // slower when spread over racks
	Label          string        `cbor:"8,keyasint,omitempty"`  // label that the worker must have
	PreferredRack  string        `cbor:"9,keyasint,omitempty"`  // where the data are; slower elsewhere
	MaxPerWorker   int           `cbor:"10,keyasint,omitempty"` // zero for no bound
	Speculative    bool          `cbor:"11,keyasint,omitempty"` // copies may run in parallel
	LongRunning    bool          `cbor:"12,keyasint,omitempty"` // runs until the job is canceled
	Image          string        `cbor:"13,keyasint,omitempty"`
	TailTarget     time.Duration `cbor:"14,keyasint,omitempty"` // response time of a serving task
	Filler         bool          `cbor:"15,keyasint,omitempty"` // takes only CPU that others leave
	MaxUnavailable int           `cbor:"16,keyasint,omitempty"` // tasks that may be down by our doing
}

// Charge returns what one task of the step takes of a worker's capacity. The
// CPU of a filler is not counted.
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
	Payload  string        `cbor:"4,keyasint,omitempty"` // opaque, handed to every task
	Steps    []Step        `cbor:"5,keyasint"`
	Times    int           `cbor:"6,keyasint,omitempty"` // occurrences of a scheduled job; zero for none
	FirstDue int64         `cbor:"7,keyasint,omitempty"` // Unix milliseconds
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// Scheduled reports whether the job runs at set times.
func (s *Spec) Scheduled() bool { return s.Times > 0 }

// Due returns when occurrence k is due, in Unix milliseconds.
func (s *Spec) Due(k int) int64 { return s.FirstDue + int64(k)*s.Interval.Milliseconds() }

// Bounds of a valid Spec.
const (
	MaxSteps   = 64
	MaxTasks   = 10_000
	MaxPayload = 4_000 // bytes
)

// Validate returns an error that names the first fault of s.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return errors.Newf("payload of %d bytes, at most %d", len(s.Payload), MaxPayload)
	case len(s.Steps) == 0:
		return errors.New("no steps")
	case len(s.Steps) > MaxSteps:
		return errors.Newf("%d steps, at most %d", len(s.Steps), MaxSteps)
	case s.Times < 0 || s.Times > MaxTasks:
		return errors.Newf("%d occurrences", s.Times)
	case s.Times > 1 && s.Interval <= 0:
		return errors.New("several occurrences without an interval")
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return errors.Newf("%d tasks, expected 1 to %d", s.Count, MaxTasks)
	case s.Need.CPU < 0 || s.Need.MemMB < 0 || s.Need.GPU < 0:
		return errors.New("negative resources")
	case s.Estimate < 0:
		return errors.New("negative estimate")
	case s.MaxPerWorker < 0:
		return errors.New("negative bound of tasks on one worker")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return errors.Newf("depends on step %d, expected an earlier one", d)
		}
	}
	return nil
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

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the name that workers and advisers know the step by.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// TaskRef names one task.
type TaskRef struct {
	StepRef
	Index int
}

// String returns the name that workers know the task by.
func (r TaskRef) String() string { return r.StepRef.String() + "." + strconv.Itoa(r.Index) }

// ParseTask parses the name of a task. It returns an error when name does not
// have the form of one.
func ParseTask(name string) (TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskRef{}, errors.Newf("not a task: %q", name)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskRef{}, errors.Newf("not a task: %q", name)
		}
		numbers[i] = n
	}
	return TaskRef{StepRef{parts[0], numbers[0], numbers[1]}, numbers[2]}, nil
}
