// Package model defines the types that all other packages share: workers, tasks,
// jobs, teams and declarations. It contains no behaviour beyond arithmetic and
// matching.
package model

import "time"

// InstanceID identifies one of the scheduler's own instances. It stays the same
// across restarts; Incarnation distinguishes them.
type InstanceID string

// WorkerID identifies a worker instance of the platform.
type WorkerID string

// TeamID identifies a team.
type TeamID string

// TaskID identifies a task in the whole fleet. A task id is started at most once, on
// one worker; a later run of the task has an id of its own (see WithRun).
type TaskID string

// JobID identifies an accepted job.
type JobID string

// Incarnation distinguishes the runs of the process of an instance or worker.
type Incarnation uint64

// Resources is a worker's capacity or a task's demand. Slots counts task slots.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty" cbor:"1,keyasint,omitempty" toml:"milli_cpu,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty" cbor:"2,keyasint,omitempty" toml:"memory_mib,omitempty"`
	Slots        int64 `json:"slots,omitempty" cbor:"3,keyasint,omitempty" toml:"slots,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty" cbor:"4,keyasint,omitempty" toml:"accelerators,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Slots + o.Slots, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Slots - o.Slots, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMiB * n, r.Slots * n, r.Accelerators * n}
}

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMiB <= free.MemoryMiB &&
		r.Slots <= free.Slots && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Location is a place in the fleet's topology.
type Location struct {
	Region string `json:"region,omitempty" cbor:"1,keyasint,omitempty" toml:"region,omitempty"`
	Zone   string `json:"zone,omitempty" cbor:"2,keyasint,omitempty" toml:"zone,omitempty"`
	Rack   string `json:"rack,omitempty" cbor:"3,keyasint,omitempty" toml:"rack,omitempty"`
}

// Worker describes a worker as the platform lists it. A Leaving worker gets no new
// tasks.
type Worker struct {
	ID       WorkerID          `json:"id" cbor:"1,keyasint"`
	Addr     string            `json:"addr" cbor:"2,keyasint"`
	Location Location          `json:"location" cbor:"3,keyasint"`
	Labels   map[string]string `json:"labels,omitempty" cbor:"4,keyasint,omitempty"`
	Capacity Resources         `json:"capacity" cbor:"5,keyasint"`
	Leaving  bool              `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
}

// Operator is a selector operator.
type Operator string

// Selector operators.
const (
	OpIn        Operator = "in"
	OpNotIn     Operator = "not_in"
	OpExists    Operator = "exists"
	OpNotExists Operator = "not_exists"
)

// Requirement is one term of a selector. Equality is expressed as OpIn with one
// value.
type Requirement struct {
	Label  string   `json:"label" cbor:"1,keyasint" toml:"label"`
	Op     Operator `json:"op" cbor:"2,keyasint" toml:"op"`
	Values []string `json:"values,omitempty" cbor:"3,keyasint,omitempty" toml:"values,omitempty"`
}

// Matches reports whether labels meet the requirement.
func (q Requirement) Matches(labels map[string]string) bool {
	v, ok := labels[q.Label]
	switch q.Op {
	case OpExists:
		return ok
	case OpNotExists:
		return !ok
	case OpIn:
		return ok && contains(q.Values, v)
	case OpNotIn:
		return !ok || !contains(q.Values, v)
	}
	return false
}

func contains(list []string, v string) bool {
	for _, s := range list {
		if s == v {
			return true
		}
	}
	return false
}

// Selector is a conjunction of requirements.
type Selector []Requirement

// Matches reports whether labels meet every requirement.
func (s Selector) Matches(labels map[string]string) bool {
	for _, q := range s {
		if !q.Matches(labels) {
			return false
		}
	}
	return true
}

// Preference is a selector that adds Weight to a worker's score when it matches.
type Preference struct {
	Selector Selector `json:"selector" cbor:"1,keyasint" toml:"selector"`
	Weight   int      `json:"weight" cbor:"2,keyasint" toml:"weight"`
}

// Kind is a kind of work.
type Kind string

// Kinds of work.
const (
	KindRequest Kind = "request" // short, a caller waits for the answer
	KindBatch   Kind = "batch"   // independent tasks that run to completion
	KindGang    Kind = "gang"    // all tasks start together or none does
	KindService Kind = "service" // kept running until canceled
)

// Class is the priority of work within its team.
type Class string

// Classes of work.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassLow    Class = "low"
)

// Task is a unit of work that runs on one worker.
type Task struct {
	ID         TaskID        `json:"id" cbor:"1,keyasint"`
	Job        JobID         `json:"job,omitempty" cbor:"2,keyasint,omitempty"`
	Index      int           `json:"index,omitempty" cbor:"3,keyasint,omitempty"`
	Team       TeamID        `json:"team" cbor:"4,keyasint"`
	Kind       Kind          `json:"kind" cbor:"5,keyasint"`
	Class      Class         `json:"class,omitempty" cbor:"6,keyasint,omitempty"`
	Service    string        `json:"service,omitempty" cbor:"7,keyasint,omitempty"`
	Demand     Resources     `json:"demand" cbor:"8,keyasint"`
	Require    Selector      `json:"require,omitempty" cbor:"9,keyasint,omitempty"`
	Prefer     []Preference  `json:"prefer,omitempty" cbor:"10,keyasint,omitempty"`
	SpreadBy   string        `json:"spread_by,omitempty" cbor:"11,keyasint,omitempty"` // "rack", "zone" or ""
	Payload    []byte        `json:"payload,omitempty" cbor:"12,keyasint,omitempty"`
	Repeatable bool          `json:"repeatable,omitempty" cbor:"13,keyasint,omitempty"`
	RunTime    time.Duration `json:"run_time,omitempty" cbor:"14,keyasint,omitempty"` // estimate of the caller, often wrong
}

// Job is work accepted for later execution: Count tasks made from Template.
type Job struct {
	ID       JobID `json:"id" cbor:"1,keyasint"`
	Count    int   `json:"count" cbor:"2,keyasint"`
	Template Task  `json:"template" cbor:"3,keyasint"`
}

// Outcome is the result of a task as its worker reports it. Complete is set when
// Answer is complete; a truncated answer is never passed on.
type Outcome struct {
	Task     TaskID        `json:"task" cbor:"1,keyasint"`
	Failed   bool          `json:"failed,omitempty" cbor:"2,keyasint,omitempty"`
	Message  string        `json:"message,omitempty" cbor:"3,keyasint,omitempty"`
	Answer   []byte        `json:"answer,omitempty" cbor:"4,keyasint,omitempty"`
	Complete bool          `json:"complete,omitempty" cbor:"5,keyasint,omitempty"`
	Ran      time.Duration `json:"ran,omitempty" cbor:"6,keyasint,omitempty"`     // run time
	Usage    Resources     `json:"usage,omitempty" cbor:"7,keyasint,omitempty"`   // resources that the task used
	Stopped  bool          `json:"stopped,omitempty" cbor:"8,keyasint,omitempty"` // ended by a stop command or an expired lease
}
