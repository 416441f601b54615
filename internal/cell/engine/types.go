package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/record"
)

// WorkerInfo is a worker's entry in the platform's directory.
type WorkerInfo struct {
	ID          string
	Incarnation int64 // incarnation of the worker's process; zero if unknown
	Address     string
	Service     string
	Zone        string
	Labels      []string
	Capacity    job.Resources
	Draining    bool
	LeavesIn    time.Duration // minimum time until a draining worker leaves
	ColdFor     time.Duration // how much longer the worker is slow after its start
}

// Equal reports whether w and o say the same.
func (w *WorkerInfo) Equal(o *WorkerInfo) bool {
	return w.ID == o.ID && w.Incarnation == o.Incarnation && w.Address == o.Address && w.Service == o.Service && w.Zone == o.Zone &&
		slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Draining == o.Draining && w.LeavesIn == o.LeavesIn && w.ColdFor == o.ColdFor
}

// EndReason is the way in which a run ended.
type EndReason uint8

// The ways in which a run ends.
const (
	EndedUnknown EndReason = iota
	EndedDone
	EndedFailed         // because of the task or of the worker
	EndedStopped        // by a stop command
	EndedLeaseExpired   // the lease expired
	EndedGangBroken     // another member of the gang ended
	EndedGangIncomplete // the other members of the gang did not start in time
)

var endReasonNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of r that logs use.
func (r EndReason) String() string { return endReasonNames[r] }

// RunStatus is a run that a worker reports as running.
type RunStatus struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int   // progress in percent
	Usage      int64 // tail latency in ms of a serving task, CPU use of any other task
}

// RunEnd is a finished run that a worker reports.
type RunEnd struct {
	Number     int64 // position in the worker's list of finished runs
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's answer to a renewal.
type Report struct {
	Incarnation int64 // the worker's incarnation
	Clock       int64 // the worker's clock, in ms
	Running     []RunStatus
	Ended       []RunEnd
	MoreEnds    bool // the list of finished runs may be cut off
}

// CommandOutcome is the outcome of a command to a worker: Accepted, NoAnswer, NotSent, or
// the reason why the worker refused the command.
type CommandOutcome uint8

// The outcomes of a command.
const (
	Accepted         CommandOutcome = iota
	NoAnswer                        // no answer in time: the worker may carry out the command, now or later
	Fenced                          // the worker has seen a newer leader
	StaleRun                        // this run, or a newer one of the task, has ended on the worker
	DeadlinePassed                  // the deadline in the command had passed
	NoCapacity                      // the run would exceed the worker's capacity
	BadTicket                       // the adviser's ticket is not valid
	OtherIncarnation                // the command names another incarnation of the worker
	Unhealthy                       // the worker reports that it accepts no work
	Invalid                         // the command is malformed
	NotSent                         // no connection was made, so the worker has not seen the command
)

var commandOutcomeNames = [...]string{"accepted", "unknown", "fenced", "old_run", "too_late", "no_room", "bad_ticket", "other_life", "unhealthy", "invalid", "not_sent"}

// String returns the name of o that logs use.
func (o CommandOutcome) String() string { return commandOutcomeNames[o] }

// AppendOutcome is the known outcome of an append.
type AppendOutcome uint8

// The outcomes of an append.
const (
	Stored     AppendOutcome = iota
	NotStored                // certainly not stored
	Superseded               // another leader has taken over
)

// Events that Engine.Handle takes.
type (
	// Submit asks the engine to accept a job. Reply is called once. Wait is how long the
	// caller waits for the answer, zero if that is not known.
	Submit struct {
		Spec    *job.Spec
		Wait    time.Duration
		Attempt Attempt
		Reply   func(Answer)
	}
	// Cancel asks the engine to cancel a job.
	Cancel struct {
		ID     string
		Caller Caller
		Reply  func(Answer)
	}
	// Status asks for the state of a job.
	Status struct {
		ID     string
		Caller Caller
		Reply  func(Answer)
	}
	// Pending asks how many jobs of a queue have not started.
	Pending struct {
		Queue string
		Reply func(Answer)
	}
	// Explain asks what would become of a job now, without an effect: of Spec if it is not
	// nil, else of the known job with the id.
	Explain struct {
		Spec  *job.Spec
		ID    string
		Reply func(Answer)
	}
	// Runtimes asks what has been learned of run times.
	Runtimes struct{ Reply func(Answer) }
	// PolicyChanged carries a new version of the declarations.
	PolicyChanged struct{ Policy *policy.Policy }
	// WorkersListed carries the complete directory of workers.
	WorkersListed struct{ Workers []WorkerInfo }
	// RenewalAnswered is the outcome of a renewal (Renew). Report is nil if there was no
	// answer.
	RenewalAnswered struct {
		Worker      string
		Incarnation int64     // incarnation that the renewal named
		SentAt      time.Time // when the renewal was sent
		Report      *Report
		Fenced      bool // the worker has seen a newer leader
		// OtherIncarnation reports whether the worker answered that it is another incarnation.
		OtherIncarnation  bool
		ConnectionRefused bool // nothing listens at the worker's address
		Malformed         bool // the answer is no report, so what answers may be no worker
	}
	// StartAnswered is the outcome of a Start.
	StartAnswered struct {
		Start             *Start
		Outcome           CommandOutcome
		Incarnation       int64 // incarnation of the worker that answered, zero if unknown
		Clock             int64 // the worker's clock, in ms
		ConnectionRefused bool  // nothing listens at the worker's address
	}
	// StopAnswered is the outcome of a Stop.
	StopAnswered struct {
		Stop        *Stop
		Outcome     CommandOutcome
		Incarnation int64 // incarnation of the worker that answered, zero if unknown
	}
	// AdviceAnswered is the outcome of a call to the adviser (AdviceCall).
	AdviceAnswered struct {
		Call    *AdviceCall
		Tickets map[string]string // ticket by worker
		OK      bool              // the call succeeded
		TTL     time.Duration     // how long the tickets are valid
	}
	// Appended is the outcome of an Append.
	Appended struct {
		Append   *Append
		Outcome  AppendOutcome
		Rejected []Rejection // records that the store will never take, if the others are Stored
	}
	// StoreRecovered reports that the store is reachable again.
	StoreRecovered struct{}
	// FenceRenewed carries a fence number that is higher than those before and lower than those of
	// the next leader.
	FenceRenewed struct{ Fence int64 }
	// LeadershipConfirmed answers CheckLeadership: no other instance has claimed the leadership.
	LeadershipConfirmed struct{}
	// Conclude asks the engine to store what the next leader needs, before the term ends in order. Done is called
	// once it is stored.
	Conclude struct{ Done func() }
	// TermContinues reports that the term goes on after Conclude, as no other instance has taken over.
	TermContinues struct{}
	// DelegatesChanged carries the delegates: the instances that can call the adviser.
	DelegatesChanged struct{ Delegates []string }
)

// Actions that Engine.Settle returns.
type (
	// Append stores all of the records or none.
	Append struct {
		Records  []record.Record
		onStored []func()
		jobs     []*jobState // jobs whose acceptance is among the records
	}
	// Start is a command to a worker to run a task.
	Start struct {
		Worker      string
		Address     string
		Fence       int64 // fence number
		Incarnation int64 // incarnation of the worker that the command is meant for
		Task        string
		Run         int
		Payload     string
		Entry       string // see job.Spec
		Deadline    int64  // end of the lease on the worker's clock, in ms
		Checkpoint  string
		Ticket      string
		Timeout     time.Duration // for an answer
		sentAt      time.Time     // by this engine
		run         *run
	}
	// Stop is a command to a worker to end a run.
	Stop struct {
		Worker      string
		Address     string
		Fence       int64 // fence number
		Incarnation int64 // incarnation of the worker that the command is meant for
		Task        string
		Run         int
		Timeout     time.Duration // for an answer
		run         *run
	}
	// Renew is a call that extends the lease of all runs on a worker, acknowledges the
	// finished runs up to Cursor and asks which runs the worker has.
	Renew struct {
		Worker      string
		Address     string
		Fence       int64         // fence number
		Incarnation int64         // incarnation of the worker that the renewal is meant for
		Deadline    int64         // end of the lease on the worker's clock, in ms; zero leaves the lease as it is
		Cursor      int64         // number of the last finished run that is stored; zero acknowledges none
		MaxWait     time.Duration // maximum time that the worker may delay its answer
		Timeout     time.Duration // for an answer
	}
	// AdviceCall is a call to the adviser about a step, which Delegate makes.
	AdviceCall struct {
		Delegate         string // name of an instance
		Step             string
		Workers          []string
		ExpectedDuration time.Duration // expected duration of the call
		step             *stepState
		asked            []*worker // Workers
		class            int       // see callClass
		sentAt           time.Time
	}
	// CheckLeadership asks whether another instance has claimed the leadership, as a worker says. The
	// answer is LeadershipConfirmed, or the end of the term for the given reason.
	CheckLeadership struct{ Reason string }
	// StepDown reports that another leader has taken over.
	StepDown struct{ Reason string }
)

// Outcome is the outcome of a caller's request.
type Outcome uint8

// The outcomes of a request.
const (
	OK Outcome = iota
	Refused
	NotFound
	NotLeading // another leader has or may have taken over; the request had no effect
)

// String returns the name of o that logs use.
func (o Outcome) String() string {
	if names := [...]string{"ok", "refused", "not found", "not leading"}; int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Answer is the final answer to a caller's request.
type Answer struct {
	Outcome    Outcome
	State      string        // of a job, one of the State constants
	Pending    int           // jobs of a queue that have not started
	Why        string        // reason for a refusal, or why a job failed if not for its attempts
	RetryAfter time.Duration // delay before a refused request is worth repeating; zero if none is known

	// Settles reports that the refusal of a submission holds for the earlier attempts of the
	// call too, those that arrive later included, as long as the leader's term lasts.
	Settles bool

	// Leader, Term and Attempts tell whose verdict it is and in which attempt of the instance that
	// took the request it came. That instance sets them.
	Leader   string
	Term     int64
	Attempts int

	Explanation *Explanation    // answer to Explain
	Runtimes    *RuntimeSummary // answer to Runtimes
}
