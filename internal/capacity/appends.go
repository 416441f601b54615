package capacity

import (
	"math"

	"pollenbend/internal/model"
)

// Appends holds the rates at which the whole cell appends entries to the log, in
// entries per second at the peak.
type Appends struct {
	Changes   float64
	Claims    float64
	Handovers float64
	Jobs      float64
	Progress  float64

	changeBytes            float64
	claimBytes             float64
	jobBytes               float64
	progressBytesPerSecond float64
}

const (
	objectsPerChange = 4
	// progressEntriesPerSecond is the rate at which one instance appends the ended
	// tasks of its jobs, all in one entry.
	progressEntriesPerSecond = 1
)

// shardMovesPerSecond returns the shards that change owners per second, averaged
// over a day. The shards of a replaced instance move twice: away from it and to its
// successor.
func (m Model) shardMovesPerSecond() float64 {
	return (m.failuresPerSecond() + 2*m.replacementsPerSecond()) * m.shardsPerInstance()
}

func (m Model) failuresPerSecond() float64     { return m.Size.FailuresPerDay / secondsPerDay }
func (m Model) replacementsPerSecond() float64 { return m.Size.ReplacementsPerDay / secondsPerDay }

// shardsPerInstance returns how many shards one instance owns on average.
func (m Model) shardsPerInstance() float64 { return model.Shards / m.instances() }

// handoversPerReplacement returns the transfers for one replaced instance, away
// from it and to its successor.
func (m Model) handoversPerReplacement() float64 {
	return 2 * math.Ceil(m.shardsPerInstance()/shardsPerHandover)
}

// shardsPerHandover is the number of shards in one transfer.
const shardsPerHandover = 4

// claimants returns how many instances claim the shards of a failed instance, each
// with its own entry.
func (m Model) claimants() float64 {
	return min(m.instances()-1, math.Ceil(model.Shards/m.instances()))
}

// Appends returns the rates of the busiest hour.
func (m Model) Appends() Appends {
	l := m.Slopes.Lines
	return Appends{
		Changes:   m.Size.ChangesPerDay / secondsPerDay * peakToMeanRatio,
		Claims:    m.failuresPerSecond() * peakToMeanRatio * m.claimants(),
		Handovers: m.replacementsPerSecond() * peakToMeanRatio * m.handoversPerReplacement(),
		Jobs:      m.Size.JobsPerDay / secondsPerDay * peakToMeanRatio,
		Progress:  min(m.instances()*progressEntriesPerSecond, m.Size.StartsPerSecond),

		changeBytes:            l.ChangeBytes.At(objectsPerChange),
		claimBytes:             l.ClaimBytes.At(model.Shards / m.instances() / max(m.claimants(), 1)),
		jobBytes:               l.JobEntryBytes.At(1),
		progressBytesPerSecond: m.Size.StartsPerSecond * l.ProgressBytes.Slope(),
	}
}

// Total returns the entries per second.
func (a Appends) Total() float64 { return a.Changes + a.Claims + a.Handovers + a.Jobs + a.Progress }

// Bytes returns the bytes of the entries per second.
func (a Appends) Bytes() float64 {
	return a.Changes*a.changeBytes + (a.Claims+a.Handovers)*a.claimBytes + a.Jobs*a.jobBytes + a.progressBytesPerSecond
}

// CatchUp describes the recovery from an outage of the log of one hour: what the
// cell appends after it, how long that takes while the appends of the peak continue,
// and how long each instance takes to read it.
type CatchUp struct {
	ClaimEntries    float64
	JobBytes        float64 // of the jobs that callers submit again
	JobEntries      float64
	ProgressBytes   float64
	ProgressEntries float64
	AppendSeconds   float64 // at the limit of appends per second
	ReadBytes       float64 // by each instance
	ReadSeconds     float64 // at the limit of bytes per second for control
}

// maxRecordsPerEntry is the maximum number of records that a node puts into one
// entry.
const maxRecordsPerEntry = 1024

// maxProgressEntryBytes is the maximum size of an entry with progress of jobs.
const maxProgressEntryBytes = 256 << 10

// CatchUp calculates the recovery from an outage of one hour at the peak.
func (m Model) CatchUp(limits Limits) CatchUp {
	l, a := m.Slopes.Lines, m.Appends()
	c := CatchUp{
		ClaimEntries:  (m.failuresPerSecond() + m.replacementsPerSecond()) * secondsPerHour * m.claimants(),
		ProgressBytes: a.progressBytesPerSecond * secondsPerHour,
	}
	c.ProgressEntries = max(math.Ceil(c.ProgressBytes/maxProgressEntryBytes), m.instances())
	jobs := a.Jobs * secondsPerHour
	c.JobBytes = jobs * l.JobEntryBytes.Slope()
	c.JobEntries = max(math.Ceil(jobs/maxRecordsPerEntry), m.instances())
	freeAppendsPerSecond := max(limits.AppendsPerSecond-a.Total(), 1)
	c.AppendSeconds = (c.ClaimEntries + c.JobEntries + c.ProgressEntries) / freeAppendsPerSecond
	c.ReadBytes = (c.ProgressBytes + c.JobBytes + c.ClaimEntries*a.claimBytes) * l.LogReadBytes.Slope()
	if !m.Design.ReadsWholeLog {
		c.ReadBytes /= m.instances()
	}
	c.ReadSeconds = c.ReadBytes / limits.BytesPerSecond
	return c
}
