package capacity

import "time"

// Design holds what the protocols between instances do, as far as their cost
// depends on it.
type Design struct {
	Name    string
	Periods Periods

	// Peers returns to how many instances each of n sends heartbeats.
	Peers func(n int) float64
	// TeamLines is the part of the teams that one heartbeat carries.
	TeamLines float64
	// PingsBesideHeartbeats tells that connections are pinged though heartbeats
	// pass on them.
	PingsBesideHeartbeats bool
	// WholeListing tells that the instance list is always read in full.
	WholeListing bool
	// ListedWorkers returns how many workers one instance keeps in mind, of w.
	ListedWorkers func(w, n float64) float64
	// Scans tells that ticks and dispatches look at every remembered request.
	Scans bool
	// PlansPerSecond and GrantsPerSecond are for one team; a plan sends at most
	// one grant to each instance that runs the team's tasks.
	PlansPerSecond  float64
	GrantsPerSecond float64
	// PlanCounts tells that plans use kept counts in place of scans of the
	// listed workers.
	PlanCounts bool
	// FoldAll tells that every instance reads every entry of the log.
	FoldAll bool
}

// AsBuilt returns the design that runs now.
func AsBuilt() Design {
	return Design{
		Name: "as built", Periods: DefaultPeriods(),
		Peers: func(n int) float64 { return float64(n - 1) }, TeamLines: 1, PingsBesideHeartbeats: true,
		WholeListing: true, ListedWorkers: func(w, _ float64) float64 { return w },
		Scans: true, PlansPerSecond: plansPerSecond, GrantsPerSecond: plansPerSecond, FoldAll: true,
	}
}

// Changed returns the design with the changes that docs/CAPACITY.md names.
func Changed() Design {
	d := AsBuilt()
	d.Name = "changed"
	d.Periods.Heartbeat = 2 * time.Second
	d.Periods.DeadAfter = 6 * time.Second
	d.Periods.WorkerLease = 40 * time.Second
	d.Periods.RenewWait = 20 * time.Second
	d.Peers = func(n int) float64 { return min(float64(n-1), changedPeers) }
	d.TeamLines = changedTeamLines
	d.PingsBesideHeartbeats = false
	d.WholeListing = false
	d.ListedWorkers = func(w, n float64) float64 { return min(w, changedWorkersHeld*w/n) }
	d.Scans = false
	d.PlansPerSecond = 1
	d.GrantsPerSecond = 0.05
	d.PlanCounts = true
	d.FoldAll = false
	return d
}

// Assumptions of the changed design.
const (
	changedPeers       = 3   // probed in each period, in turn, as in SWIM
	changedTeamLines   = 0.1 // only lines that changed since the last heartbeat
	changedWorkersHeld = 2   // an instance keeps its own workers and as many of its neighbours'
)
