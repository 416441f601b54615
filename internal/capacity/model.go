package capacity

import (
	"math"

	"pollenbend/internal/model"
)

// Cost is one line of what an instance spends.
type Cost struct {
	Role      string
	Item      string
	Mechanism string // package that carries it
	Control   bool   // against the limits for control; otherwise traffic
	Messages  float64
	Bytes     float64 // per second, both directions
	Core      float64 // part of one core
	Memory    float64 // bytes
	Remedy    string  // change that would bring it down
}

// Model works out costs for one size, number of instances and design.
type Model struct {
	Slopes Slopes
	Size   Size
	Design Design
	N      int // instances
}

const nano = 1e-9

func (m Model) n() float64       { return float64(m.N) }
func (m Model) workers() float64 { return float64(m.Size.Workers) / m.n() }
func (m Model) teams() float64   { return float64(m.Size.Teams) }
func (m Model) starts() float64  { return m.Size.StartsPerSecond / m.n() }

// listed returns the workers of the list that one instance keeps in mind.
func (m Model) listed() float64 { return m.Design.ListedWorkers(float64(m.Size.Workers), m.n()) }

// remote is the chance that the next instance on a request's way is another one.
func (m Model) remote() float64 { return (m.n() - 1) / m.n() }

// remembered returns the finished requests that one instance remembers when the
// peak has lasted for the retention.
func (m Model) remembered() float64 { return m.starts() * m.Design.Periods.Retention.Seconds() }

func (m Model) waiting() float64 { return m.Size.WaitingPerTeam * m.teams() / m.n() }

// datagram returns the overhead of one datagram.
func (m Model) datagram() float64 {
	t := m.Slopes.Transport
	return (t.PingBytes-pingBodies)/t.PingDatagrams + ipUDPHeader
}

// message returns the bytes on the wire of a message between instances, its
// acknowledgment included.
func (m Model) message(payload float64) float64 {
	datagrams := math.Ceil((payload+frameHeader)/datagramBody) + 1
	return payload + frameHeader + datagrams*m.datagram()
}

// exchange returns the bytes on the wire of an HTTP exchange, with the segments
// of the request, the answer and the last acknowledgment.
func exchange(body float64) float64 {
	segments := 3 + math.Floor(body/segmentBody)
	return body + segments*ipTCPHeader
}

// Costs returns every line.
func (m Model) Costs() []Cost {
	var costs []Cost
	for _, part := range [][]Cost{
		m.callers(), m.requests(), m.limits(), m.holders(), m.membership(), m.ownership(), m.configuration(), m.timeLine(),
	} {
		costs = append(costs, part...)
	}
	return costs
}

// Sum returns the sum of the lines for control, or of those for traffic.
func (m Model) Sum(control bool) Cost {
	var sum Cost
	for _, c := range m.Costs() {
		if c.Control != control {
			continue
		}
		sum.Messages += c.Messages
		sum.Bytes += c.Bytes
		sum.Core += c.Core
		sum.Memory += c.Memory
	}
	return sum
}

func (m Model) callers() []Cost {
	l := m.Slopes.Lines
	open := m.Size.OpenCallers / m.n()
	return []Cost{{
		Role: "taking callers", Item: "tick over open requests", Mechanism: "internal/service/gateway", Control: true,
		Core: ticksPerSecond * open * l.TickByOpen.Each() * nano,
	}, {
		Role: "taking callers", Item: "callers' exchanges", Mechanism: "internal/httpapi, internal/service/gateway",
		Messages: 2 * m.starts(),
		Bytes:    m.starts() * exchange(l.CallerBytes.At(messagePayload)),
		Core:     m.starts() * l.CallerNS.At(messagePayload) * nano,
		Memory:   open * l.CallerMemory.Each(),
	}}
}

func (m Model) requests() []Cost {
	l := m.Slopes.Lines
	hops := m.starts() * m.remote()
	messages := float64(callMessageCount)
	payload := l.CallPeerBytes.At(messagePayload)
	calls := Cost{
		Role: "request shards", Item: "calls: forward, dispatch, two states, reply", Mechanism: "internal/service/requests",
		Messages: 2 * messages * hops,
		Bytes:    2 * hops * (messages*m.message(0) + payload),
		Core:     (hops*(l.CallPeerNS.At(messagePayload)+messages*m.Slopes.Transport.SendNS) + m.starts()*(l.CallByWorker.At(m.workers())+l.CallByRemembered.Each()*m.remembered())) * nano,
	}
	remembered := Cost{
		Role: "request shards", Item: "finished requests and outcomes, kept for the retention", Mechanism: "internal/service/requests, ledger",
		Control: true, Memory: m.remembered() * l.FinishedMemory.Each(),
		Remedy: "keep a hash and a verdict of an answered request and drop its payload; expire from a queue in order of time",
	}
	waiting := Cost{
		Role: "request shards", Item: "waiting requests", Mechanism: "internal/service/requests, gateway",
		Control: true, Memory: m.waiting() * l.WaitingMemory.Each(),
		Remedy: "deadlines in a heap, in place of the scans of each tick",
	}
	if m.Design.Scans {
		remembered.Core = ticksPerSecond * m.remembered() * l.TickByFinished.Each() * nano
		waiting.Core = ticksPerSecond * m.waiting() * l.TickByWaiting.Each() * nano
	} else {
		remembered.Memory = m.remembered() * digestBytes
	}
	return []Cost{calls, remembered, waiting, m.jobs()}
}

// jobs is the fold of the jobs of all teams: those that run and those that ended
// within the retention.
func (m Model) jobs() Cost {
	l := m.Slopes.Lines
	known := m.knownJobs()
	tasks := m.Size.StartsPerSecond * m.Design.Periods.Retention.Seconds()
	c := Cost{
		Role: "request shards", Item: "jobs accepted for later, folded", Mechanism: "internal/service/jobs", Control: true,
		Remedy: "fold only the jobs of the shards that are owned here; ended tasks as ranges of indexes",
	}
	if !m.Design.FoldAll {
		known, tasks = known/m.n(), tasks*rangeBytes/max(l.JobMemoryByTask.Each(), 1)/m.n()
	}
	c.Memory = known*l.JobMemory.Each() + tasks*l.JobMemoryByTask.Each()
	c.Core = ticksPerSecond * known * l.TickByJob.Each() * nano * m.scanned()
	return c
}

// knownJobs returns the jobs that run or ended within the retention.
func (m Model) knownJobs() float64 {
	perSecond := m.Size.JobsPerDay / secondsPerDay * peakToMean
	return perSecond * (m.Design.Periods.Retention.Seconds() + m.taskSeconds())
}

// taskSeconds returns how long a task runs that is not part of a service.
func (m Model) taskSeconds() float64 {
	return m.Size.RunningTasks * (1 - servicePart) / m.Size.StartsPerSecond
}

const (
	// servicePart is the part of the running tasks that belongs to services.
	servicePart = 0.2
	// rangeBytes is what the changed design keeps of an ended task of a job.
	rangeBytes = 1
)

const (
	callMessageCount = 5
	// digestBytes is what the changed design keeps of an answered request.
	digestBytes = 64
)

func (m Model) limits() []Cost {
	l := m.Slopes.Lines
	planCost := l.PlanByWorker.At(m.listed()) + l.PlanByInstance.Each()*m.n()
	if m.Design.PlanCounts {
		planCost = l.PlanByInstance.At(m.n())
	}
	grants := 2 * m.Design.GrantsPerSecond * m.teams() * m.remote()
	return []Cost{
		{
			Role: "team shards", Item: "plans of ceilings", Mechanism: "internal/service/limits", Control: true,
			Core:   m.Design.PlansPerSecond * (m.teams()/m.n()*planCost + l.PlanByTeam.At(m.teams())) * nano,
			Remedy: "keep the count of uncovered slots and the list of limited teams up to date with their changes; plan a team only when its demand changed",
		},
		{
			Role: "team shards", Item: "grants, if every ceiling changes at each plan", Mechanism: "internal/service/limits", Control: true,
			Messages: grants, Bytes: grants * m.message(l.GrantBytes.Values[0]),
			Core:   grants / 2 * m.Slopes.Transport.SendNS * nano,
			Remedy: "step ceilings in parts of a tenth with hysteresis, and carry all of a receiver's grants in one message",
		},
	}
}

func (m Model) holders() []Cost {
	l := m.Slopes.Lines
	// A renewal ends early when an outcome comes.
	renewals := m.workers()/m.Design.Periods.RenewWait.Seconds() + m.starts()
	idle := m.workers() / m.Design.Periods.RenewWait.Seconds()
	return []Cost{
		{
			Role: "worker holders", Item: "renewals of leases", Mechanism: "internal/service/ledger, internal/platform/httpclient", Control: true,
			Messages: 2 * idle,
			Bytes:    idle * exchange(l.RenewalBytes.Fixed()),
			Core:     idle * (l.ExchangeNS.Fixed() + l.RenewalTake.Fixed()) * nano,
			Memory:   m.workers() * (l.HeldMemory.Each() + l.ConnectionMemory.Each()),
			Remedy:   "longer leases, with a wait of half of the lease; one renewal for the workers of a rack",
		},
		{
			Role: "worker holders", Item: "tick over the held workers", Mechanism: "internal/service/ledger", Control: true,
			Core:   ticksPerSecond * m.workers() * l.TickByWorker.Each() * nano * m.scanned(),
			Remedy: "due times in a heap; free resources and coverage kept up to date",
		},
		{
			Role: "worker holders", Item: "running tasks", Mechanism: "internal/service/ledger, requests", Control: true,
			Memory: m.Size.RunningTasks / m.n() * l.RunningMemory.Each(),
			Remedy: "keep a task's payload at the worker only",
		},
		{
			Role: "worker holders", Item: "starts and outcomes", Mechanism: "internal/service/ledger, internal/platform/httpclient",
			Messages: 4 * m.starts(),
			Bytes:    m.starts()*exchange(l.StartBytes.At(messagePayload)) + (renewals-idle)*exchange(l.RenewalBytes.At(1)),
			Core:     m.starts() * (2*l.ExchangeNS.At(1) + l.RenewalTake.At(1)) * nano,
		},
	}
}

// scanned is 1 where ticks scan and 0 where they don't.
func (m Model) scanned() float64 {
	if m.Design.Scans {
		return 1
	}
	return 0
}

func (m Model) membership() []Cost {
	l, t := m.Slopes.Lines, m.Slopes.Transport
	rate := m.Design.Peers(m.N) / m.Design.Periods.Heartbeat.Seconds()
	lines := m.teams() * m.Design.TeamLines
	members := min(m.n(), m.Design.Peers(m.N)+1)
	size := l.HeartbeatBytesByMember.At(members) + lines*l.HeartbeatBytesByTeam.Each()
	encode := l.HeartbeatEncodeByMember.At(members) + lines*l.HeartbeatEncodeByTeam.Each()
	take := l.HeartbeatTakeByMember.At(members) + lines*l.HeartbeatTakeByTeam.Each()
	costs := []Cost{{
		Role: "membership", Item: "heartbeats with a line for each team", Mechanism: "internal/service/membership", Control: true,
		Messages: 2 * rate, Bytes: 2 * rate * m.message(size),
		Core:   rate * (encode + take + t.SendNS) * nano,
		Memory: m.Design.Peers(m.N) * l.MemberMemoryByTeam.At(m.teams()),
		Remedy: "probe a few members in turn and pass news on (SWIM) within a zone, one voice of each zone between zones; send only the team lines that changed",
	}}
	pings := Cost{
		Role: "membership", Item: "connections and their pings", Mechanism: "internal/transport", Control: true,
		Memory: m.Design.Peers(m.N) * t.ConnectionBytes,
		Remedy: "no pings where heartbeats pass; connections to the members of the own zone, others on demand",
	}
	if m.Design.PingsBesideHeartbeats {
		exchanges := 2 * rate
		pings.Messages = 2 * exchanges
		pings.Bytes = exchanges * (t.PingBytes + t.PingDatagrams*ipUDPHeader)
		pings.Core = exchanges * t.SendNS * nano
	}
	return append(costs, pings, Cost{
		Role: "membership", Item: "filling a heartbeat and weighing shares", Mechanism: "internal/service/membership, limits, requests", Control: true,
		Core:   l.HeartbeatFillByLine.At(m.shareLines()) / m.Design.Periods.Heartbeat.Seconds() * nano,
		Remedy: "one pass over the members' lines for all teams, in place of one for each team",
	}, Cost{
		Role: "membership", Item: "tick over members and shards", Mechanism: "internal/service/membership, ownership", Control: true,
		Core:   ticksPerSecond * l.TickByInstance.At(members) * nano,
		Remedy: "look for orphans only after a change of members or shards",
	})
}

// shareLines returns the lines of teams that weighing the shares looks at.
func (m Model) shareLines() float64 {
	if m.Design.Scans {
		return m.teams() * m.teams() * m.n()
	}
	return m.teams() * m.Design.Peers(m.N)
}

func (m Model) ownership() []Cost {
	l := m.Slopes.Lines
	list := Cost{
		Role: "ownership", Item: "the instance list", Mechanism: "internal/node, internal/platform/httpclient", Control: true,
		Messages: 2 * listingsPerSecond,
		Bytes:    listingsPerSecond * exchange(l.LogReadBytes.Fixed()),
		Core:     listingsPerSecond * l.ExchangeNS.Fixed() * nano,
		Memory:   m.listed() * l.RosterMemory.Each(),
		Remedy:   "ask with the version that is known and read only the entries that changed since; each instance reads its own zone",
	}
	if m.Design.WholeListing {
		workers := float64(m.Size.Workers)
		list.Bytes = listingsPerSecond * exchange(l.LogReadBytes.Fixed()+l.ListingBytes.At(workers))
		list.Core += listingsPerSecond * l.ListingTake.At(workers) * nano
	}
	moves := m.movesPerSecond() * m.Size.RunningTasks / m.n() * l.MoveByTask.Each() * nano * m.scanned()
	memory := 2 * m.replacements() * 2 * m.shards() / m.n() * m.shardMemory()
	return []Cost{list, {
		Role: "ownership", Item: "folds of moved shards", Mechanism: "internal/service/ledger", Control: true,
		Core: moves, Remedy: "an index of tasks by request shard, in place of the sort of all tasks for each moved shard",
	}, {
		Role: "ownership", Item: "memory handed over by replaced instances", Mechanism: "internal/service/handover", Control: true,
		Bytes: memory, Remedy: "hand over no payloads of answered requests",
	}}
}

// shardMemory returns the bytes that pass with one shard at the peak.
func (m Model) shardMemory() float64 {
	requests := m.remembered() * m.n() / model.Shards
	if !m.Design.Scans {
		return requests * digestBytes
	}
	return requests * m.Slopes.Lines.HandoverBytes.Each()
}

func (m Model) configuration() []Cost {
	l := m.Slopes.Lines
	appends := m.Appends()
	entries := appends.Total()
	bytes := appends.Bytes()
	if !m.Design.FoldAll {
		entries, bytes = entries/m.n()+appends.Changes, bytes/m.n()+appends.Changes*l.ChangeBytes.At(objectsPerChange)
	}
	snapshot := l.SnapshotEntry.At(m.knownJobs())
	if !m.Design.FoldAll {
		snapshot /= m.n()
	}
	polls := max(logPollsPerSecond, min(entries, maxPolls))
	return []Cost{
		{
			Role: "configuration", Item: "reading snapshots in the log", Mechanism: "internal/service/snapshots", Control: true,
			Bytes:  snapshot * l.LogReadBytes.Each() / m.snapshotSeconds(),
			Remedy: "snapshots by shard in streams of their own, read only by a new owner",
		},
		{
			Role: "configuration", Item: "reading the log at the peak", Mechanism: "internal/node, internal/core", Control: true,
			Messages: 2 * polls,
			Bytes:    polls*exchange(l.LogReadBytes.Fixed()) + bytes*l.LogReadBytes.Each(),
			Core:     (polls*l.ExchangeNS.Fixed() + appends.Changes*l.ChangeTake.At(m.teams()) + m.folded()*l.ProgressTake.Each()) * nano,
			Remedy:   "a stream for each region's claims and jobs and one for declarations, and a wait before the next read so that one poll brings many entries",
		},
		{
			Role: "configuration", Item: "declarations in force", Mechanism: "internal/declare, internal/service/config", Control: true,
			Memory: l.DeclarationMemory.At(m.teams()),
		},
	}
}

// snapshotSeconds returns the time between two snapshots at the peak.
func (m Model) snapshotSeconds() float64 {
	return min(max(snapshotEntries/m.Appends().Total(), minSnapshotSeconds), maxSnapshotSeconds)
}

// When internal/service/snapshots appends one, in entries and seconds.
const (
	snapshotEntries    = 20000
	minSnapshotSeconds = 90
	maxSnapshotSeconds = 900
)

// folded returns the ends of jobs' tasks that one instance folds a second.
func (m Model) folded() float64 {
	if m.Design.FoldAll {
		return m.Size.StartsPerSecond
	}
	return m.starts()
}

// maxPolls bounds the reads of the log a second, each of which takes some time.
const maxPolls = 100

// timeLine is the ring of the instance's latest events, which is read on demand.
func (m Model) timeLine() []Cost {
	return []Cost{{
		Role: "time line", Item: "ring of the latest events", Mechanism: "internal/event", Control: true,
		Memory: timeLineEvents * m.Slopes.Lines.TimeLineMemory.Each(),
	}}
}

// timeLineEvents is the most events that the ring holds.
const timeLineEvents = 8192
