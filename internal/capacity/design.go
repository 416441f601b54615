package capacity

import "time"

// Design holds the properties of the protocols between instances on which their
// cost depends.
type Design struct {
	Name    string
	Periods Periods

	// Peers returns to how many instances each of n instances sends heartbeats.
	Peers func(n int) float64
	// TeamLineRatio is the fraction of the teams that one heartbeat has a line for.
	TeamLineRatio float64
	// PingsBesideHeartbeats is set if connections are pinged although they carry
	// heartbeats.
	PingsBesideHeartbeats bool
	// ReadsWholeListing is set if the instance list is always read in full.
	ReadsWholeListing bool
	// ListedWorkers returns how many of w workers each of n instances keeps in
	// memory.
	ListedWorkers func(w, n float64) float64
	// Scans is set if ticks, share calculations and shard moves scan all retained
	// state, and finished requests are retained and handed over in full instead of
	// as a digest.
	Scans bool
	// PlansPerSecond and GrantsPerSecond are for one team; a plan sends at most
	// one grant to each instance that runs the team's tasks.
	PlansPerSecond  float64
	GrantsPerSecond float64
	// PlansUseCounts is set if plans use incrementally updated counts in place of
	// scans of the listed workers.
	PlansUseCounts bool
	// ReadsWholeLog is set if every instance reads every entry of the log.
	ReadsWholeLog bool
}

// CurrentDesign returns the design that is implemented.
func CurrentDesign() Design {
	return Design{
		Name: "as built", Periods: DefaultPeriods(),
		Peers: func(n int) float64 { return float64(n - 1) }, TeamLineRatio: 1, PingsBesideHeartbeats: true,
		ReadsWholeListing: true, ListedWorkers: func(w, _ float64) float64 { return w },
		Scans: true, PlansPerSecond: plansPerSecond, GrantsPerSecond: plansPerSecond, ReadsWholeLog: true,
	}
}

// ProposedDesign returns the design with the changes that docs/CAPACITY.md
// proposes.
func ProposedDesign() Design {
	d := CurrentDesign()
	d.Name = "changed"
	d.Periods.Heartbeat = 2 * time.Second
	d.Periods.DeadAfter = 6 * time.Second
	d.Periods.WorkerLease = 40 * time.Second
	d.Periods.RenewWait = 20 * time.Second
	d.Peers = func(n int) float64 { return min(float64(n-1), proposedPeers) }
	d.TeamLineRatio = proposedTeamLineRatio
	d.PingsBesideHeartbeats = false
	d.ReadsWholeListing = false
	d.ListedWorkers = func(w, n float64) float64 { return min(w, proposedListedWorkerMultiplier*w/n) }
	d.Scans = false
	d.PlansPerSecond = 1
	d.GrantsPerSecond = 0.05
	d.PlansUseCounts = true
	d.ReadsWholeLog = false
	return d
}

// Assumptions of the proposed design.
const (
	proposedPeers                  = 3   // peers probed in turn in each period, as in SWIM
	proposedTeamLineRatio          = 0.1 // only lines that changed since the last heartbeat
	proposedListedWorkerMultiplier = 2   // an instance keeps its own workers and as many of neighbouring instances
)
