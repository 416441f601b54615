package engine

// Explanation tells what would become of a job now, and why.
type Explanation struct {
	Job              string            `json:"job,omitempty"` // id of a known job
	Queue            string            `json:"queue"`
	Team             string            `json:"team"`
	Service          string            `json:"service"`
	Verdict          string            `json:"verdict"` // accepted or refused, or the state of a known job
	Reason           string            `json:"reason,omitempty"`
	WaitMS           int64             `json:"waitMs"`         // expected time in the queue, as admission sees it
	Wait             *WaitExplanation  `json:"wait,omitempty"` // what WaitMS consists of; nil for a known job
	RetryAfterMS     int64             `json:"retryAfterMs,omitempty"`
	BeyondAllowance  bool              `json:"beyondAllowance"` // exceeds the entitlement of its team
	CriticalPathMS   int64             `json:"criticalPathMs"`
	ObjectiveMS      int64             `json:"objectiveMs"`
	WorkersOfService int               `json:"workersOfService"`
	Steps            []StepExplanation `json:"steps,omitempty"`
}

// The verdicts about a job that is not known yet.
const (
	VerdictAccepted = "accepted"
	VerdictRefused  = "refused"
)

// WaitExplanation tells how admission expects a new job to wait. The waits for cores and for the
// limit of the team overlap; that for the adviser follows.
type WaitExplanation struct {
	DecidedBy  string  `json:"decidedBy,omitempty"` // one of the causes in package admission; empty without a wait
	WorkMS     int64   `json:"workMs"`              // until the work ahead leaves enough cores
	RecentMS   int64   `json:"recentMs"`            // what tasks had waited that started lately; counts if it is longer
	LimitMS    int64   `json:"limitMs"`             // until the team's work leaves enough of its limit
	AdviserMS  int64   `json:"adviserMs"`           // until the adviser has answered, if all delegates are busy
	SurplusMS  int64   `json:"surplusMs,omitempty"` // behind other work beyond the entitlements; decides about such a job
	BearableMS int64   `json:"bearableMs"`          // up to which the job is accepted
	AheadCores float64 `json:"aheadCores"`          // of the waiting tasks that are placed before the job
	AheadWork  float64 `json:"aheadCoreSeconds"`    // of these
}

// StepExplanation tells where the tasks of a step would go.
type StepExplanation struct {
	Step        int    `json:"step"`
	Occurrence  int    `json:"occurrence,omitempty"`
	Tasks       int    `json:"tasks"`
	Waiting     int    `json:"waiting"` // tasks that are neither done nor have a run
	Gang        bool   `json:"gang,omitempty"`
	Open        bool   `json:"open"`            // its tasks can be placed now
	Place       int    `json:"place,omitempty"` // in the order of the open steps of the service, from 1
	OpenSteps   int    `json:"openSteps,omitempty"`
	TasksBefore int    `json:"tasksBefore"`
	Timeliness  string `json:"timeliness,omitempty"`

	MedianMS int64 `json:"medianMs"` // expected run time of a task on an ordinary worker
	P90MS    int64 `json:"p90Ms"`
	Samples  int   `json:"samples"` // runs behind the expectation; zero if it is the caller's estimate alone

	LimitAllows int              `json:"limitAllows"` // waiting tasks that the limit of the team allows to run now
	Excluded    []ExclusionCount `json:"excluded,omitempty"`
	Left        int              `json:"left"` // workers that nothing excludes

	Placed       int            `json:"placed"` // tasks that would be placed now
	Chosen       []ChosenWorker `json:"chosen,omitempty"`
	ChosenCount  int            `json:"chosenCount"`
	Calls        int            `json:"calls"` // calls to the adviser that would be made now
	Asked        []string       `json:"asked,omitempty"`
	AskedCount   int            `json:"askedCount"`
	WaitsBecause string         `json:"waitsBecause,omitempty"` // why not all tasks are placed

	Reservation *ReservationExplanation `json:"reservation,omitempty"` // as the next placement round leaves it; nil if there is none
}

// ReservationExplanation is what a waiting step has reserved. Times are relative to now.
type ReservationExplanation struct {
	StartMS     int64            `json:"startMs"`    // expected start
	PromisedMS  int64            `json:"promisedMs"` // start that was expected when the reservation was made
	BoundMS     int64            `json:"boundMs"`    // by how much later than promised the start may be until the reservation is strict
	Strict      bool             `json:"strict"`     // nothing that it holds may be used by others until the step has started
	Committed   bool             `json:"committed"`  // it keeps its workers, as its start is near
	Tasks       int              `json:"tasks"`      // with some to spare
	CPU         int64            `json:"cpu"`        // thousandths of a core
	Workers     []ReservedWorker `json:"workers"`
	WorkerCount int              `json:"workerCount"`
}

// ReservedWorker is the number of tasks that a step has reserved for on a worker.
type ReservedWorker struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
}

// ExclusionCount is the number of workers that are excluded for a reason. Each worker counts for
// the first reason that holds.
type ExclusionCount struct {
	Reason  string `json:"reason"`
	Workers int    `json:"workers"`
}

// ChosenWorker is a worker that tasks would be placed on, as it was before that.
type ChosenWorker struct {
	Worker    string  `json:"worker"`
	Zone      string  `json:"zone"`
	Tasks     int     `json:"tasks"`
	Slowness  float64 `json:"slowness"`
	FreeCPU   int64   `json:"freeCpu"` // thousandths of a core
	FreeMemMB int64   `json:"freeMemMb"`
	FreeGPU   int64   `json:"freeGpu"`
}

// RuntimeSummary is what has been learned of run times.
type RuntimeSummary struct {
	Calibration float64         `json:"calibration"`      // part of the recent runs that ended within their 0.9 quantile
	Queues      []QueueRuntimes `json:"queues,omitempty"` // those with most samples first
	QueueCount  int             `json:"queueCount"`
	Workers     int             `json:"workers"` // workers of which something is known
	Slowness    SlownessRange   `json:"slowness"`
	Slowest     []WorkerSpeed   `json:"slowest,omitempty"`
	Fastest     []WorkerSpeed   `json:"fastest,omitempty"`
	Classes     []SpeedClass    `json:"classes,omitempty"` // with the feature speed-placement

	Reservations *ReservationSummary `json:"reservations,omitempty"` // nil without the feature backfill
}

// QueueRuntimes is what has been learned of a queue: quantiles of the ratio of run time to
// estimate on a worker of ordinary speed.
type QueueRuntimes struct {
	Queue       string  `json:"queue"`
	Samples     int     `json:"samples"`
	Median      float64 `json:"median"`
	P90         float64 `json:"p90"`
	Calibration float64 `json:"calibration"`
}

// WorkerSpeed is what has been learned of the speed of a worker.
type WorkerSpeed struct {
	Worker   string  `json:"worker"`
	Slowness float64 `json:"slowness"`
	Samples  int     `json:"samples"`
}

// SlownessRange is the run time on the workers relative to the typical one.
type SlownessRange struct {
	Minimum float64 `json:"minimum"`
	Median  float64 `json:"median"`
	Maximum float64 `json:"maximum"`
}

// SpeedClass is a number of workers of a service of about the same speed.
type SpeedClass struct {
	Service  string  `json:"service"`
	Slowness float64 `json:"slowness"`
	Workers  int     `json:"workers"`
}

// ReservationSummary is what waiting steps have reserved.
type ReservationSummary struct {
	Steps   int   `json:"steps"`   // that had a reservation in the last placement round
	CPU     int64 `json:"cpu"`     // that they had reserved then, in thousandths of a core
	Strict  int   `json:"strict"`  // steps whose reserved resources others may not use any more
	Slipped int   `json:"slipped"` // reservations that became strict since the leader began
}
