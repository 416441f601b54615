package capacity

import (
	"time"

	"pollenbend/internal/settings"
)

// Size describes the size of a cell and its load.
type Size struct {
	Name               string
	Instances          int // of the system; 0 if the model calculates the number
	Workers            int
	Teams              int
	Zones              int
	Regions            int
	JobsPerDay         float64
	StartsPerSecond    float64 // at the peak
	RunningTasks       float64
	WaitingPerTeam     float64
	OpenCallers        float64
	ChangesPerDay      float64
	FailuresPerDay     float64 // of instances
	ReplacementsPerDay float64 // of instances, restarts included
}

// TargetSize is the size to be reached within two years.
func TargetSize() Size {
	return Size{
		Name: "target", Workers: 12000, Teams: 170, Zones: 9, Regions: 4,
		JobsPerDay: 220000, StartsPerSecond: 2600, RunningTasks: 350000,
		WaitingPerTeam: 100, OpenCallers: 5000,
		ChangesPerDay: 6300, FailuresPerDay: 120, ReplacementsPerDay: 1300,
	}
}

// CurrentSize is the size of one cell in operation today.
func CurrentSize() Size {
	return Size{
		Name: "today", Instances: 9, Workers: 48, Teams: 6, Zones: 4, Regions: 1,
		JobsPerDay: 900, StartsPerSecond: 50, RunningTasks: 384,
		WaitingPerTeam: 20, OpenCallers: 200,
		ChangesPerDay: 25, FailuresPerDay: 1, ReplacementsPerDay: 9,
	}
}

// Limits holds the maximum that one instance may spend on control, and the maximum
// rate of appends of the whole cell.
type Limits struct {
	Core             float64 // fraction of one core
	Memory           float64 // bytes
	BytesPerSecond   float64 // both directions together
	AppendsPerSecond float64 // entries appended to the log by the whole cell
}

// ControlLimits returns the limits for the control of one instance.
func ControlLimits() Limits {
	return Limits{Core: 0.033, Memory: 128 << 20, BytesPerSecond: 12 << 10, AppendsPerSecond: 300}
}

// Rates of the node's loops, per second.
const (
	ticksPerSecond    = 50
	listingsPerSecond = 0.5
	plansPerSecond    = 10
	logPollsPerSecond = 1
)

// Lengths of a day and an hour in seconds, and the ratio of the rates in the busiest
// hour to their mean over a day.
const (
	secondsPerDay   = 24 * 60 * 60
	secondsPerHour  = 60 * 60
	peakToMeanRatio = 5
)

// Sizes of headers and payloads, in bytes.
const (
	ipUDPHeaderBytes     = 28
	ipTCPHeaderBytes     = 40
	frameHeaderBytes     = 5
	maxDatagramBodyBytes = 1200
	maxSegmentBodyBytes  = 1448
	messagePayloadBytes  = 256 // of requests, tasks and answers
	pingPayloadBytes     = 26  // of a ping and its pong, including frame headers
)

// Periods holds the time constants of the protocols.
type Periods struct {
	Heartbeat   time.Duration
	DeadAfter   time.Duration
	WorkerLease time.Duration
	RenewWait   time.Duration // maximum time for which a worker delays its answer to a renewal
	Retention   time.Duration
}

// DefaultPeriods returns the periods of the default settings.
func DefaultPeriods() Periods {
	s := settings.Default()
	return Periods{
		Heartbeat:   s.Timing.Heartbeat.Duration,
		DeadAfter:   s.Timing.DeadAfter.Duration,
		WorkerLease: s.Timing.WorkerLease.Duration,
		RenewWait:   s.Timing.WorkerLease.Duration / renewalsPerLease,
		Retention:   s.Limits.Retention.Duration,
	}
}

// renewalsPerLease is the number of renewals during one worker lease.
const renewalsPerLease = 4
