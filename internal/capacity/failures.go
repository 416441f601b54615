package capacity

import (
	"pollenbend/internal/model"
	"pollenbend/internal/transport"
)

// failureRow is one row of the table of failures.
type failureRow struct {
	name  string
	value func(Model) string
}

func formatSeconds(x float64) string { return formatNumber(x) + " s" }

func formatMilliseconds(x float64) string { return formatNumber(x*1000) + " ms" }

var failureRows = []failureRow{
	{"instances that fail, a day", func(m Model) string { return formatNumber(m.Size.FailuresPerDay) }},
	{"instances that are replaced, a day", func(m Model) string { return formatNumber(m.Size.ReplacementsPerDay) }},
	{"shards that move when an instance fails", func(m Model) string { return formatNumber(m.shardsPerInstance()) }},
	{"workers whose lease holder changes", func(m Model) string { return formatNumber(m.workersPerInstance()) }},
	{"running tasks on them", func(m Model) string { return formatNumber(m.tasksPerInstance()) }},
	{"time without heartbeats until an instance counts as dead", func(m Model) string { return formatSeconds(m.Design.Periods.DeadAfter.Seconds()) }},
	{"time until its worker leases have expired", func(m Model) string { return formatSeconds(m.Design.Periods.WorkerLease.Seconds()) }},
	{"log entries with claims", func(m Model) string { return formatNumber(m.claimants()) }},
	{"processor time of the shard moves on each instance", func(m Model) string { return formatMilliseconds(m.shardMoveSeconds()) }},
	{"bytes of all full reports of the workers", func(m Model) string { return formatBytes(m.reportBytes()) }},
	{"processor time of handling all full reports", func(m Model) string { return formatMilliseconds(m.takeoverSeconds()) }},
	{"time in a day in which some shard has no live owner", func(m Model) string {
		return formatSeconds(m.Size.FailuresPerDay * m.Design.Periods.DeadAfter.Seconds())
	}},
	{"state sent in one handover message, of at most 8 MiB", formatHandover},
	{"part of the instances lost with an availability zone", func(m Model) string { return formatPercent(1 / float64(m.Size.Zones)) }},
	{"shards that move when a zone fails", func(m Model) string { return formatNumber(model.Shards / float64(m.Size.Zones)) }},
	{"processor time of these shard moves on each instance", func(m Model) string {
		return formatMilliseconds(m.shardMoveSeconds() * m.instances() / float64(m.Size.Zones))
	}},
	{"tasks in a partitioned region whose lease holder is on the other side: stopped after the task lease", func(m Model) string {
		return formatLostTasks(m.Size.RunningTasks / regions(m) * (1 - 1/regions(m)))
	}},
	{"incarnations of instances that end in an hour without the log", func(m Model) string { return formatNumber(m.endedIncarnationsPerHour()) }},
	{"tasks on their workers: stopped after the task lease", func(m Model) string { return formatLostTasks(m.endedIncarnationsPerHour() * m.tasksPerInstance()) }},
}

func failuresTable(today, target Model) string {
	t := newTable("", "Today, "+formatNumber(today.instances())+" instances", "Target, "+formatNumber(target.instances())+" instances")
	for _, f := range failureRows {
		t.row(f.name, f.value(today), f.value(target))
	}
	return t.String()
}

func regions(m Model) float64 { return float64(m.Size.Regions) }

// formatLostTasks formats the number of tasks that a failure ends, and marks one
// or more as a miss.
func formatLostTasks(tasks float64) string {
	if tasks < 1 {
		return formatNumber(tasks)
	}
	return formatNumber(tasks) + " MISS"
}

func formatHandover(m Model) string {
	bytes := shardsPerHandover * m.handoverBytesPerShard()
	if bytes > transport.MaxPayload {
		return formatBytes(bytes) + " MISS"
	}
	return formatBytes(bytes)
}

// tasksPerInstance returns the running tasks on the workers of one instance.
func (m Model) tasksPerInstance() float64 { return m.Size.RunningTasks / m.instances() }

// endedIncarnationsPerHour returns how many incarnations of instances end in an
// hour.
func (m Model) endedIncarnationsPerHour() float64 {
	return (m.failuresPerSecond() + m.replacementsPerSecond()) * secondsPerHour
}

// shardMoveSeconds returns the processor time that every other instance spends on
// the move of a failed instance's shards.
func (m Model) shardMoveSeconds() float64 {
	return m.shardsPerInstance() * m.tasksPerInstance() * m.Slopes.Lines.MoveByTask.Slope() * secondsPerNanosecond
}

// takeoverSeconds returns the processor time of handling the full reports of a
// failed instance's workers.
func (m Model) takeoverSeconds() float64 {
	return m.workersPerInstance() * m.Slopes.Lines.TakeoverByTask.At(m.tasksPerInstance()) * secondsPerNanosecond
}

// reportBytes returns the size of the full reports of a failed instance's workers.
func (m Model) reportBytes() float64 {
	l := m.Slopes.Lines
	return m.workersPerInstance()*exchangeBytes(l.RenewalBytes.Intercept()) + m.tasksPerInstance()*l.RenewalBytes.Slope()
}
