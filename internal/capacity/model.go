package capacity

import (
	"math"

	"pollenbend/internal/model"
)

// Cost is one item of what an instance spends.
type Cost struct {
	Role     string
	Item     string
	Packages string  // packages that cause it
	Control  bool    // whether it counts as control, which has limits, or as traffic
	Messages float64 // per second, both directions
	Bytes    float64 // per second, both directions
	Core     float64 // fraction of one core
	Memory   float64 // bytes
	Remedy   string  // change that would reduce it
}

// Model calculates the costs for one size, design and number of instances.
type Model struct {
	Slopes    Slopes
	Size      Size
	Design    Design
	Instances int // number of instances of the system
}

const secondsPerNanosecond = 1e-9

func (m Model) instances() float64          { return float64(m.Instances) }
func (m Model) workersPerInstance() float64 { return float64(m.Size.Workers) / m.instances() }
func (m Model) teams() float64              { return float64(m.Size.Teams) }
func (m Model) startsPerInstance() float64  { return m.Size.StartsPerSecond / m.instances() }

// listedWorkers returns the workers of the list that one instance keeps in memory.
func (m Model) listedWorkers() float64 {
	return m.Design.ListedWorkers(float64(m.Size.Workers), m.instances())
}

// remoteProbability is the probability that a request's next hop is another
// instance.
func (m Model) remoteProbability() float64 { return (m.instances() - 1) / m.instances() }

// finishedRequests returns the finished requests that one instance retains once
// the peak has lasted for the retention.
func (m Model) finishedRequests() float64 {
	return m.startsPerInstance() * m.Design.Periods.Retention.Seconds()
}

func (m Model) waitingRequests() float64 { return m.Size.WaitingPerTeam * m.teams() / m.instances() }

// datagramOverhead returns the overhead of one datagram in bytes.
func (m Model) datagramOverhead() float64 {
	t := m.Slopes.Transport
	return (t.PingBytes-pingPayloadBytes)/t.PingDatagrams + ipUDPHeaderBytes
}

// messageBytes returns the bytes on the wire of a message between instances,
// including its acknowledgment.
func (m Model) messageBytes(payload float64) float64 {
	datagrams := math.Ceil((payload+frameHeaderBytes)/maxDatagramBodyBytes) + 1
	return payload + frameHeaderBytes + datagrams*m.datagramOverhead()
}

// exchangeBytes returns the bytes on the wire of an HTTP exchange, including the
// headers of the segments of the request, the answer and the last acknowledgment.
func exchangeBytes(body float64) float64 {
	segments := 3 + math.Floor(body/maxSegmentBodyBytes)
	return body + segments*ipTCPHeaderBytes
}

// Costs returns every item.
func (m Model) Costs() []Cost {
	var costs []Cost
	for _, part := range [][]Cost{
		m.callerCosts(), m.requestCosts(), m.limitCosts(), m.leaseHolderCosts(), m.membershipCosts(), m.ownershipCosts(), m.configurationCosts(), m.timelineCosts(),
	} {
		costs = append(costs, part...)
	}
	return costs
}

// Sum returns the sum of the items for control, or of those for traffic.
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

func (m Model) callerCosts() []Cost {
	l := m.Slopes.Lines
	open := m.Size.OpenCallers / m.instances()
	return []Cost{{
		Role: "gateway", Item: "tick work for open requests", Packages: "internal/service/gateway", Control: true,
		Core: ticksPerSecond * open * l.TickByOpen.Slope() * secondsPerNanosecond,
	}, {
		Role: "gateway", Item: "callers' exchanges", Packages: "internal/httpapi, internal/service/gateway",
		Messages: 2 * m.startsPerInstance(),
		Bytes:    m.startsPerInstance() * exchangeBytes(l.CallerBytes.At(messagePayloadBytes)),
		Core:     m.startsPerInstance() * l.CallerNS.At(messagePayloadBytes) * secondsPerNanosecond,
		Memory:   open * l.CallerMemory.Slope(),
	}}
}

func (m Model) requestCosts() []Cost {
	l := m.Slopes.Lines
	hops := m.startsPerInstance() * m.remoteProbability()
	messages := float64(messagesPerCall)
	payload := l.CallPeerBytes.At(messagePayloadBytes)
	calls := Cost{
		Role: "request shards", Item: "calls: forward, dispatch, two states, reply", Packages: "internal/service/requests",
		Messages: 2 * messages * hops,
		Bytes:    2 * hops * (messages*m.messageBytes(0) + payload),
		Core:     (hops*(l.CallPeerNS.At(messagePayloadBytes)+messages*m.Slopes.Transport.SendNS) + m.startsPerInstance()*(l.CallByWorker.At(m.workersPerInstance())+l.CallByRemembered.Slope()*m.finishedRequests())) * secondsPerNanosecond,
	}
	finished := Cost{
		Role: "request shards", Item: "finished requests and outcomes, kept for the retention", Packages: "internal/service/requests, ledger",
		Control: true, Memory: m.finishedRequests() * l.FinishedRequestMemory.Slope(),
		Remedy: "keep a hash and a verdict of an answered request and drop its payload; expire from a queue in order of time",
	}
	waiting := Cost{
		Role: "request shards", Item: "waiting requests", Packages: "internal/service/requests, gateway",
		Control: true, Memory: m.waitingRequests() * l.WaitingRequestMemory.Slope(),
		Remedy: "deadlines in a heap, in place of the scans of each tick",
	}
	if m.Design.Scans {
		finished.Core = ticksPerSecond * m.finishedRequests() * l.TickByFinished.Slope() * secondsPerNanosecond
		waiting.Core = ticksPerSecond * m.waitingRequests() * l.TickByWaiting.Slope() * secondsPerNanosecond
	} else {
		finished.Memory = m.finishedRequests() * digestBytes
	}
	return []Cost{calls, finished, waiting, m.jobCost()}
}

// jobCost returns the cost of the state of the jobs of all teams that run or ended
// within the retention.
func (m Model) jobCost() Cost {
	l := m.Slopes.Lines
	known := m.retainedJobs()
	tasks := m.Size.StartsPerSecond * m.Design.Periods.Retention.Seconds()
	c := Cost{
		Role: "request shards", Item: "state of the jobs, applied from the log", Packages: "internal/service/jobs", Control: true,
		Remedy: "apply only the jobs of the shards that the instance owns; store ended tasks as ranges of indexes",
	}
	if !m.Design.ReadsWholeLog {
		known, tasks = known/m.instances(), tasks*endedTaskBytes/max(l.JobMemoryByTask.Slope(), 1)/m.instances()
	}
	c.Memory = known*l.JobMemory.Slope() + tasks*l.JobMemoryByTask.Slope()
	c.Core = ticksPerSecond * known * l.TickByJob.Slope() * secondsPerNanosecond * m.scanMultiplier()
	return c
}

// retainedJobs returns the number of jobs that run or ended within the retention.
func (m Model) retainedJobs() float64 {
	perSecond := m.Size.JobsPerDay / secondsPerDay * peakToMeanRatio
	return perSecond * (m.Design.Periods.Retention.Seconds() + m.taskSeconds())
}

// taskSeconds returns how long a task that does not belong to a service runs.
func (m Model) taskSeconds() float64 {
	return m.Size.RunningTasks * (1 - serviceTaskRatio) / m.Size.StartsPerSecond
}

const (
	// serviceTaskRatio is the ratio of the running tasks that belong to services.
	serviceTaskRatio = 0.2
	// endedTaskBytes is the memory of an ended task of a job in the proposed design.
	endedTaskBytes = 1
)

const (
	// messagesPerCall counts a forward, a dispatch, two states and a reply.
	messagesPerCall = 5
	// digestBytes is the memory of an answered request in the proposed design.
	digestBytes = 64
)

func (m Model) limitCosts() []Cost {
	l := m.Slopes.Lines
	planCost := l.PlanByWorker.At(m.listedWorkers()) + l.PlanByInstance.Slope()*m.instances()
	if m.Design.PlansUseCounts {
		planCost = l.PlanByInstance.At(m.instances())
	}
	grants := 2 * m.Design.GrantsPerSecond * m.teams() * m.remoteProbability()
	return []Cost{
		{
			Role: "team shards", Item: "plans of ceilings", Packages: "internal/service/limits", Control: true,
			Core:   m.Design.PlansPerSecond * (m.teams()/m.instances()*planCost + l.PlanByTeam.At(m.teams())) * secondsPerNanosecond,
			Remedy: "keep the count of uncovered slots and the list of limited teams up to date with their changes; plan a team only when its demand changed",
		},
		{
			Role: "team shards", Item: "grants, if every ceiling changes at each plan", Packages: "internal/service/limits", Control: true,
			Messages: grants, Bytes: grants * m.messageBytes(l.GrantBytes.Values[0]),
			Core:   grants / 2 * m.Slopes.Transport.SendNS * secondsPerNanosecond,
			Remedy: "step ceilings in parts of a tenth with hysteresis, and carry all of a receiver's grants in one message",
		},
	}
}

func (m Model) leaseHolderCosts() []Cost {
	l := m.Slopes.Lines
	// A renewal is answered early when a run finishes.
	renewals := m.workersPerInstance()/m.Design.Periods.RenewWait.Seconds() + m.startsPerInstance()
	idle := m.workersPerInstance() / m.Design.Periods.RenewWait.Seconds()
	return []Cost{
		{
			Role: "lease holders", Item: "renewals of leases", Packages: "internal/service/ledger, internal/platform/httpclient", Control: true,
			Messages: 2 * idle,
			Bytes:    idle * exchangeBytes(l.RenewalBytes.Intercept()),
			Core:     idle * (l.ExchangeNS.Intercept() + l.RenewalTake.Intercept()) * secondsPerNanosecond,
			Memory:   m.workersPerInstance() * (l.HeldWorkerMemory.Slope() + l.ConnectionMemory.Slope()),
			Remedy:   "longer leases, with a wait of half of the lease; one renewal for the workers of a rack",
		},
		{
			Role: "lease holders", Item: "tick work for the workers under lease", Packages: "internal/service/ledger", Control: true,
			Core:   ticksPerSecond * m.workersPerInstance() * l.TickByWorker.Slope() * secondsPerNanosecond * m.scanMultiplier(),
			Remedy: "due times in a heap; free resources and coverage kept up to date",
		},
		{
			Role: "lease holders", Item: "running tasks", Packages: "internal/service/ledger, requests", Control: true,
			Memory: m.Size.RunningTasks / m.instances() * l.RunningTaskMemory.Slope(),
			Remedy: "keep a task's payload at the worker only",
		},
		{
			Role: "lease holders", Item: "starts and outcomes", Packages: "internal/service/ledger, internal/platform/httpclient",
			Messages: 4 * m.startsPerInstance(),
			Bytes:    m.startsPerInstance()*exchangeBytes(l.StartBytes.At(messagePayloadBytes)) + (renewals-idle)*exchangeBytes(l.RenewalBytes.At(1)),
			Core:     m.startsPerInstance() * (2*l.ExchangeNS.At(1) + l.RenewalTake.At(1)) * secondsPerNanosecond,
		},
	}
}

// scanMultiplier is 1 if ticks scan and 0 if they don't.
func (m Model) scanMultiplier() float64 {
	if m.Design.Scans {
		return 1
	}
	return 0
}

func (m Model) membershipCosts() []Cost {
	l, t := m.Slopes.Lines, m.Slopes.Transport
	rate := m.Design.Peers(m.Instances) / m.Design.Periods.Heartbeat.Seconds()
	lines := m.teams() * m.Design.TeamLineRatio
	members := min(m.instances(), m.Design.Peers(m.Instances)+1)
	size := l.HeartbeatBytesByMember.At(members) + lines*l.HeartbeatBytesByTeam.Slope()
	encode := l.HeartbeatEncodeByMember.At(members) + lines*l.HeartbeatEncodeByTeam.Slope()
	take := l.HeartbeatTakeByMember.At(members) + lines*l.HeartbeatTakeByTeam.Slope()
	costs := []Cost{{
		Role: "membership", Item: "heartbeats with a line for each team", Packages: "internal/service/membership", Control: true,
		Messages: 2 * rate, Bytes: 2 * rate * m.messageBytes(size),
		Core:   rate * (encode + take + t.SendNS) * secondsPerNanosecond,
		Memory: m.Design.Peers(m.Instances) * l.MemberMemoryByTeam.At(m.teams()),
		Remedy: "probe a few members in turn and spread changes by gossip (SWIM) within a zone, one representative of each zone between zones; send only the team lines that changed",
	}}
	pings := Cost{
		Role: "membership", Item: "connections and their pings", Packages: "internal/transport", Control: true,
		Memory: m.Design.Peers(m.Instances) * t.ConnectionBytes,
		Remedy: "no pings on connections that carry heartbeats; permanent connections within the zone only, others on demand",
	}
	if m.Design.PingsBesideHeartbeats {
		exchanges := 2 * rate
		pings.Messages = 2 * exchanges
		pings.Bytes = exchanges * (t.PingBytes + t.PingDatagrams*ipUDPHeaderBytes)
		pings.Core = exchanges * t.SendNS * secondsPerNanosecond
	}
	return append(costs, pings, Cost{
		Role: "membership", Item: "filling a heartbeat and calculating fair shares", Packages: "internal/service/membership, limits, requests", Control: true,
		Core:   l.HeartbeatFillByLine.At(m.shareLines()) / m.Design.Periods.Heartbeat.Seconds() * secondsPerNanosecond,
		Remedy: "one pass over the members' lines for all teams, in place of one for each team",
	}, Cost{
		Role: "membership", Item: "tick work for members and shards", Packages: "internal/service/membership, ownership", Control: true,
		Core:   ticksPerSecond * l.TickByInstance.At(members) * secondsPerNanosecond,
		Remedy: "look for shards without an owner only after a change of members or shards",
	})
}

// shareLines returns how many team lines the calculation of the shares reads.
func (m Model) shareLines() float64 {
	if m.Design.Scans {
		return m.teams() * m.teams() * m.instances()
	}
	return m.teams() * m.Design.Peers(m.Instances)
}

func (m Model) ownershipCosts() []Cost {
	l := m.Slopes.Lines
	list := Cost{
		Role: "ownership", Item: "the instance list", Packages: "internal/node, internal/platform/httpclient", Control: true,
		Messages: 2 * listingsPerSecond,
		Bytes:    listingsPerSecond * exchangeBytes(l.LogReadBytes.Intercept()),
		Core:     listingsPerSecond * l.ExchangeNS.Intercept() * secondsPerNanosecond,
		Memory:   m.listedWorkers() * l.ListedWorkerMemory.Slope(),
		Remedy:   "send the last known version with the request and read only the entries that changed since; each instance reads its own zone",
	}
	if m.Design.ReadsWholeListing {
		workers := float64(m.Size.Workers)
		list.Bytes = listingsPerSecond * exchangeBytes(l.LogReadBytes.Intercept()+l.ListingBytes.At(workers))
		list.Core += listingsPerSecond * l.ListingTake.At(workers) * secondsPerNanosecond
	}
	moves := m.shardMovesPerSecond() * m.Size.RunningTasks / m.instances() * l.MoveByTask.Slope() * secondsPerNanosecond * m.scanMultiplier()
	handoverBytesPerSecond := 2 * m.replacementsPerSecond() * 2 * m.shardsPerInstance() / m.instances() * m.handoverBytesPerShard()
	return []Cost{list, {
		Role: "ownership", Item: "reports of running tasks to the new owners of shards", Packages: "internal/service/ledger", Control: true,
		Core: moves, Remedy: "an index of tasks by request shard, in place of the sort of all tasks for each moved shard",
	}, {
		Role: "ownership", Item: "state handed over by replaced instances", Packages: "internal/service/handover", Control: true,
		Bytes: handoverBytesPerSecond, Remedy: "hand over no payloads of answered requests",
	}}
}

// handoverBytesPerShard returns the bytes that are handed over with one shard at
// the peak.
func (m Model) handoverBytesPerShard() float64 {
	requests := m.finishedRequests() * m.instances() / model.Shards
	if !m.Design.Scans {
		return requests * digestBytes
	}
	return requests * m.Slopes.Lines.HandoverBytes.Slope()
}

func (m Model) configurationCosts() []Cost {
	l := m.Slopes.Lines
	appends := m.Appends()
	entries := appends.Total()
	bytes := appends.Bytes()
	if !m.Design.ReadsWholeLog {
		entries, bytes = entries/m.instances()+appends.Changes, bytes/m.instances()+appends.Changes*l.ChangeBytes.At(objectsPerChange)
	}
	snapshot := l.SnapshotEntry.At(m.retainedJobs())
	if !m.Design.ReadsWholeLog {
		snapshot /= m.instances()
	}
	polls := max(logPollsPerSecond, min(entries, maxPollsPerSecond))
	return []Cost{
		{
			Role: "configuration", Item: "reading snapshots in the log", Packages: "internal/service/snapshots", Control: true,
			Bytes:  snapshot * l.LogReadBytes.Slope() / m.snapshotIntervalSeconds(),
			Remedy: "snapshots by shard in streams of their own, read only by a new owner",
		},
		{
			Role: "configuration", Item: "reading the log at the peak", Packages: "internal/node, internal/core", Control: true,
			Messages: 2 * polls,
			Bytes:    polls*exchangeBytes(l.LogReadBytes.Intercept()) + bytes*l.LogReadBytes.Slope(),
			Core:     (polls*l.ExchangeNS.Intercept() + appends.Changes*l.ChangeTake.At(m.teams()) + m.appliedTasksPerSecond()*l.ProgressTake.Slope()) * secondsPerNanosecond,
			Remedy:   "a stream for each region's claims and jobs and one for declarations, and a wait before the next read so that one poll brings many entries",
		},
		{
			Role: "configuration", Item: "declarations in force", Packages: "internal/declare, internal/service/config", Control: true,
			Memory: l.DeclarationMemory.At(m.teams()),
		},
	}
}

// snapshotIntervalSeconds returns the time between two snapshots at the peak.
func (m Model) snapshotIntervalSeconds() float64 {
	return min(max(entriesPerSnapshot/m.Appends().Total(), minSnapshotIntervalSeconds), maxSnapshotIntervalSeconds)
}

// Conditions under which internal/service/snapshots appends a snapshot.
const (
	entriesPerSnapshot         = 20000
	minSnapshotIntervalSeconds = 90
	maxSnapshotIntervalSeconds = 900
)

// appliedTasksPerSecond returns how many ended tasks of jobs one instance applies
// to its state per second.
func (m Model) appliedTasksPerSecond() float64 {
	if m.Design.ReadsWholeLog {
		return m.Size.StartsPerSecond
	}
	return m.startsPerInstance()
}

// maxPollsPerSecond limits the reads of the log, each of which takes some time.
const maxPollsPerSecond = 100

// timelineCosts returns the cost of the ring buffer of the instance's latest
// events, which is read only on demand.
func (m Model) timelineCosts() []Cost {
	return []Cost{{
		Role: "timeline", Item: "ring buffer of the latest events", Packages: "internal/event", Control: true,
		Memory: maxTimelineEvents * m.Slopes.Lines.TimelineMemory.Slope(),
	}}
}

// maxTimelineEvents is the maximum number of events in the ring buffer.
const maxTimelineEvents = 8192
