package engine

import (
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// Listed is a worker as the platform's directory lists it.
type Listed struct {
	ID       string
	Life     int64 // tells two lives under one id apart; zero if it is not known
	Address  string
	Service  string
	Zone     string
	Labels   []string
	Capacity job.Resources
	Draining bool
	Leaves   time.Duration // least time until a draining worker leaves
}

// How is how a run ended.
type How uint8

// Ends of a run.
const (
	EndedUnknown How = iota
	EndedDone
	EndedFailed  // by its own fault or the worker's
	EndedStopped // by an order
	EndedLapsed  // the lease ran out
	EndedBroken  // another member of the gang ended
	EndedAlone   // the other members of the gang did not come in time
)

var howNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the word used in logs.
func (h How) String() string { return howNames[h] }

// RunStatus is one run that a worker reports as present.
type RunStatus struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	Usage      int64 // tail latency in ms of a serving task, CPU in use of any other
}

// RunEnd is one end that a worker reports.
type RunEnd struct {
	Number     int64 // position in the worker's list of ends
	Task       string
	Run        int
	How        How
	Checkpoint string
}

// Report is a worker's answer to a look at it.
type Report struct {
	Life    int64
	Clock   int64 // the worker's clock, in ms
	Running []RunStatus
	Ended   []RunEnd
}

// Refusal says why a worker did not carry out an order.
type Refusal uint8

// Refusals.
const (
	Accepted  Refusal = iota
	Unknown           // no answer: the order may be carried out, now or later
	Fenced            // the worker has seen a newer leader
	OldRun            // that run, or a newer one, has ended there
	TooLate           // the lease in the order had passed
	NoRoom            // the worker guards its capacity
	BadTicket         // the adviser's ticket is not valid
	OtherLife         // the worker was started again
	Unhealthy         // the worker refuses work
	Invalid           // the order is malformed
)

var refusalNames = [...]string{"accepted", "unknown", "fenced", "old_run", "too_late", "no_room", "bad_ticket", "other_life", "unhealthy", "invalid"}

// String returns the word used in logs.
func (r Refusal) String() string { return refusalNames[r] }

// AppendOutcome is what is known of an append.
type AppendOutcome uint8

// Outcomes of an append.
const (
	Stored AppendOutcome = iota
	NotStored
	Superseded // another leader has taken over
)

// Events.
type (
	// Submit asks to accept a job. Reply is called once.
	Submit struct {
		Spec  *job.Spec
		Reply func(Answer)
	}
	// Cancel asks to cancel a job.
	Cancel struct {
		ID, Team string
		Reply    func(Answer)
	}
	// Status asks how a job stands.
	Status struct {
		ID, Team string
		Reply    func(Answer)
	}
	// Pending asks how many jobs of a queue have not begun.
	Pending struct {
		Queue string
		Reply func(Answer)
	}
	// PolicyChanged brings a version of the declarations.
	PolicyChanged struct{ Policy *policy.Policy }
	// WorkersListed brings the whole directory of workers.
	WorkersListed struct{ Workers []Listed }
	// Looked is the outcome of a Look. Report is nil if there was no answer.
	Looked struct {
		Worker string
		Life   int64
		Sent   time.Time
		Report *Report
		Fenced bool
		// OtherLife is set when the worker answered that it is another life.
		OtherLife bool
	}
	// StartAnswered is the outcome of a Start.
	StartAnswered struct {
		Start   *Start
		Refusal Refusal
		Life    int64 // of the worker that answered, zero if unknown
		Clock   int64
	}
	// StopAnswered is the outcome of a Stop.
	StopAnswered struct {
		Stop    *Stop
		Refusal Refusal
		Life    int64
	}
	// Advised is the outcome of an Ask.
	Advised struct {
		Ask  *Ask
		Good map[string]string // ticket by worker
		OK   bool
		TTL  time.Duration
	}
	// Appended is the outcome of an Append.
	Appended struct {
		Append  *Append
		Outcome AppendOutcome
	}
	// StoreAnswered tells that the store is in reach again.
	StoreAnswered struct{}
	// ArmsChanged brings the instances that can call the adviser.
	ArmsChanged struct{ Arms []string }
)

// Actions.
type (
	// Append stores records, all or none.
	Append struct {
		Records []record.Record
		post    []func()
		jobs    []*jobState // whose acceptance is among the records
	}
	// Start orders a worker to run a task.
	Start struct {
		Worker     string
		Address    string
		Life       int64
		Task       string
		Run        int
		Payload    string
		Deadline   int64 // on the worker's clock, in ms
		Checkpoint string
		Ticket     string
		Timeout    time.Duration // for an answer
		run        *run
	}
	// Stop orders a worker to end a run.
	Stop struct {
		Worker  string
		Address string
		Life    int64
		Task    string
		Run     int
		Timeout time.Duration // for an answer
		run     *run
	}
	// Look extends the lease of all that a worker runs, confirms the ends up to
	// Cursor, and asks what it runs.
	Look struct {
		Worker   string
		Address  string
		Life     int64
		Deadline int64 // on the worker's clock; zero to leave the lease alone
		Cursor   int64
		Wait     time.Duration // the worker may hold back its answer as long
		Timeout  time.Duration // for an answer
	}
	// Ask calls the adviser of a step from the instance Arm.
	Ask struct {
		Arm     string
		Step    string
		Workers []string
		Cost    time.Duration
		step    *stepRun
		sent    time.Time
	}
	// StepDown tells that another leader has taken over.
	StepDown struct{ Why string }
)

// Outcome of a caller's request.
type Outcome uint8

// Outcomes.
const (
	OK Outcome = iota
	Refused
	NotFound
)

// Answer is the final answer to a caller.
type Answer struct {
	Outcome    Outcome
	State      string // of a job
	Pending    int
	Why        string
	RetryAfter time.Duration
}
