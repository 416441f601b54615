package capacity

import (
	"time"

	"pollenbend/internal/settings"
)

// Size is the size of a cell and of its load.
type Size struct {
	Name               string
	Instances          int // of the system; 0 where the model looks for the number
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

// Target is the size to be reached within two years.
func Target() Size {
	return Size{
		Name: "target", Workers: 12000, Teams: 170, Zones: 9, Regions: 4,
		JobsPerDay: 220000, StartsPerSecond: 2600, RunningTasks: 350000,
		WaitingPerTeam: 100, OpenCallers: 5000,
		ChangesPerDay: 6300, FailuresPerDay: 120, ReplacementsPerDay: 1300,
	}
}

// Today is the size of one cell as it runs now.
func Today() Size {
	return Size{
		Name: "today", Instances: 9, Workers: 48, Teams: 6, Zones: 4, Regions: 1,
		JobsPerDay: 900, StartsPerSecond: 50, RunningTasks: 384,
		WaitingPerTeam: 20, OpenCallers: 200,
		ChangesPerDay: 25, FailuresPerDay: 1, ReplacementsPerDay: 9,
	}
}

// Limits is what one instance may spend on control.
type Limits struct {
	Core   float64 // part of one core
	Memory float64 // bytes
	Bytes  float64 // per second, both directions together
	Append float64 // per second, in the whole cell
}

// ControlLimits returns the limits that the size sets.
func ControlLimits() Limits {
	return Limits{Core: 0.033, Memory: 128 << 20, Bytes: 12 << 10, Append: 300}
}

// Rates of the node's own loops, per second.
const (
	ticksPerSecond    = 50
	listingsPerSecond = 0.5
	plansPerSecond    = 10
	logPollsPerSecond = 1
)

// Parts of a day in seconds, and how much busier the busiest hour is.
const (
	secondsPerDay  = 24 * 60 * 60
	secondsPerHour = 60 * 60
	peakToMean     = 5
)

// Overheads of packets, in bytes.
const (
	ipUDPHeader    = 28
	ipTCPHeader    = 40
	frameHeader    = 5
	datagramBody   = 1200
	segmentBody    = 1448
	messagePayload = 256 // of requests, tasks and answers
	pingBodies     = 26  // of a ping and its pong, frame headers included
)

// Periods are the periods of the protocols, from the default settings.
type Periods struct {
	Heartbeat   time.Duration
	DeadAfter   time.Duration
	WorkerLease time.Duration
	RenewWait   time.Duration
	Retention   time.Duration
}

// DefaultPeriods returns the periods of the default settings.
func DefaultPeriods() Periods {
	s := settings.Default()
	return Periods{
		Heartbeat:   s.Timing.Heartbeat.Duration,
		DeadAfter:   s.Timing.DeadAfter.Duration,
		WorkerLease: s.Timing.WorkerLease.Duration,
		RenewWait:   s.Timing.WorkerLease.Duration / renewParts,
		Retention:   s.Limits.Retention.Duration,
	}
}

// renewParts is the number of renewals in one worker lease.
const renewParts = 4
