package capacity

import (
	"pollenbend/internal/model"
	"pollenbend/internal/transport"
)

// failure is one line of the table of failures.
type failure struct {
	name  string
	value func(Model) string
}

func seconds(x float64) string { return number(x) + " s" }

func milliseconds(x float64) string { return number(x*1000) + " ms" }

var failures = []failure{
	{"instances that fail, a day", func(m Model) string { return number(m.Size.FailuresPerDay) }},
	{"instances that are replaced, a day", func(m Model) string { return number(m.Size.ReplacementsPerDay) }},
	{"shards that move for one", func(m Model) string { return number(m.shards()) }},
	{"workers that change hands", func(m Model) string { return number(m.workers()) }},
	{"running tasks on them", func(m Model) string { return number(m.tasks()) }},
	{"silence until it counts as dead", func(m Model) string { return seconds(m.Design.Periods.DeadAfter.Seconds()) }},
	{"until its worker leases have lapsed", func(m Model) string { return seconds(m.Design.Periods.WorkerLease.Seconds()) }},
	{"entries of claims", func(m Model) string { return number(m.claimants()) }},
	{"processor time of the fold on each instance", func(m Model) string { return milliseconds(m.foldSeconds()) }},
	{"bytes of the workers' full reports, all together", func(m Model) string { return bytesOf(m.reportBytes()) }},
	{"processor time of taking them, all together", func(m Model) string { return milliseconds(m.takeoverSeconds()) }},
	{"time in a day in which some shard has no living owner", func(m Model) string {
		return seconds(m.Size.FailuresPerDay * m.Design.Periods.DeadAfter.Seconds())
	}},
	{"memory that passes in one handover, of the 8 MiB that a message holds", handoverMemory},
	{"part of the instances lost with an availability zone", func(m Model) string { return percent(1 / float64(m.Size.Zones)) }},
	{"shards that move for a zone", func(m Model) string { return number(model.Shards / float64(m.Size.Zones)) }},
	{"processor time of that fold on each instance", func(m Model) string {
		return milliseconds(m.foldSeconds() * m.n() / float64(m.Size.Zones))
	}},
	{"tasks of a region that is cut off, held from the other side: stopped after the task lease", func(m Model) string {
		return lost(m.Size.RunningTasks / regions(m) * (1 - 1/regions(m)))
	}},
	{"lives that end in an hour without the log", func(m Model) string { return number(m.livesInHour()) }},
	{"tasks on their workers: stopped after the task lease", func(m Model) string { return lost(m.livesInHour() * m.tasks()) }},
}

func failuresTable(today, target Model) string {
	t := newTable("", "Today, "+number(today.n())+" instances", "Target, "+number(target.n())+" instances")
	for _, f := range failures {
		t.row(f.name, f.value(today), f.value(target))
	}
	return t.String()
}

func regions(m Model) float64 { return float64(m.Size.Regions) }

// lost marks tasks that a failure ends as a miss.
func lost(tasks float64) string {
	if tasks < 1 {
		return number(tasks)
	}
	return number(tasks) + " MISS"
}

func handoverMemory(m Model) string {
	bytes := shardsPerHandover * m.shardMemory()
	if bytes > transport.MaxPayload {
		return bytesOf(bytes) + " MISS"
	}
	return bytesOf(bytes)
}

// tasks returns the running tasks on the workers of one instance.
func (m Model) tasks() float64 { return m.Size.RunningTasks / m.n() }

// livesInHour returns how many lives of instances end in an hour.
func (m Model) livesInHour() float64 {
	return (m.failures() + m.replacements()) * secondsPerHour
}

// foldSeconds returns the processor time that the move of a lost instance's
// shards takes on every other one.
func (m Model) foldSeconds() float64 {
	return m.shards() * m.tasks() * m.Slopes.Lines.MoveByTask.Each() * nano
}

// takeoverSeconds returns the processor time of taking the full reports of a lost
// instance's workers.
func (m Model) takeoverSeconds() float64 {
	return m.workers() * m.Slopes.Lines.TakeoverByTask.At(m.tasks()) * nano
}

// reportBytes returns the length of the full reports of a lost instance's workers.
func (m Model) reportBytes() float64 {
	l := m.Slopes.Lines
	return m.workers()*exchange(l.RenewalBytes.Fixed()) + m.tasks()*l.RenewalBytes.Each()
}
