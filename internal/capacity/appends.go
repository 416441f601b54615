package capacity

import (
	"math"

	"pollenbend/internal/model"
)

// Appends is what the whole cell appends to the log, in entries a second at the
// peak.
type Appends struct {
	Changes   float64
	Claims    float64
	Handovers float64
	Jobs      float64
	Progress  float64

	changeBytes   float64
	claimBytes    float64
	jobBytes      float64
	progressBytes float64 // a second
}

const (
	objectsPerChange = 4
	// progressPerSecond is how often one instance appends the ends of its jobs'
	// tasks, all in one entry.
	progressPerSecond = 1
)

// movesPerSecond returns how many shards change hands, over a day. Those of a
// replaced instance leave it and come back to the next one.
func (m Model) movesPerSecond() float64 {
	return (m.failures() + 2*m.replacements()) * m.shards()
}

func (m Model) failures() float64     { return m.Size.FailuresPerDay / secondsPerDay }
func (m Model) replacements() float64 { return m.Size.ReplacementsPerDay / secondsPerDay }

// shards returns how many shards one instance owns.
func (m Model) shards() float64 { return model.Shards / m.n() }

// handovers returns the transfers for one replaced instance, there and back.
func (m Model) handovers() float64 { return 2 * math.Ceil(m.shards()/shardsPerHandover) }

// shardsPerHandover is the number of shards that pass in one transfer.
const shardsPerHandover = 4

// claimants returns how many instances claim the shards of a lost one, each with
// an entry of its own.
func (m Model) claimants() float64 {
	return min(m.n()-1, math.Ceil(model.Shards/m.n()))
}

// Appends returns the entries of the busiest hour.
func (m Model) Appends() Appends {
	l := m.Slopes.Lines
	return Appends{
		Changes:   m.Size.ChangesPerDay / secondsPerDay * peakToMean,
		Claims:    m.failures() * peakToMean * m.claimants(),
		Handovers: m.replacements() * peakToMean * m.handovers(),
		Jobs:      m.Size.JobsPerDay / secondsPerDay * peakToMean,
		Progress:  min(m.n()*progressPerSecond, m.Size.StartsPerSecond),

		changeBytes:   l.ChangeBytes.At(objectsPerChange),
		claimBytes:    l.ClaimBytes.At(model.Shards / m.n() / max(m.claimants(), 1)),
		jobBytes:      l.JobEntryBytes.At(1),
		progressBytes: m.Size.StartsPerSecond * l.ProgressBytes.Each(),
	}
}

// Total returns the entries a second.
func (a Appends) Total() float64 { return a.Changes + a.Claims + a.Handovers + a.Jobs + a.Progress }

// Bytes returns the bytes of the entries a second.
func (a Appends) Bytes() float64 {
	return a.Changes*a.changeBytes + (a.Claims+a.Handovers)*a.claimBytes + a.Jobs*a.jobBytes + a.progressBytes
}

// CatchUp is what follows an outage of the log of an hour: what has to be
// appended then, how long that takes beside the peak's own entries, and how long
// each instance reads it.
type CatchUp struct {
	ClaimEntries    float64
	JobBytes        float64 // of the jobs that callers offer again
	JobEntries      float64
	ProgressBytes   float64
	ProgressEntries float64
	AppendSeconds   float64 // at the limit of appends
	ReadBytes       float64 // by each instance
	ReadSeconds     float64 // at the limit of bytes a second for control
}

// recordsPerEntry is the most records that a node puts into one entry.
const recordsPerEntry = 1024

// progressEntryBytes bounds one entry with progress of jobs.
const progressEntryBytes = 256 << 10

// CatchUp works out the end of an outage of an hour at the peak.
func (m Model) CatchUp(limits Limits) CatchUp {
	l, a := m.Slopes.Lines, m.Appends()
	c := CatchUp{
		ClaimEntries:  (m.failures() + m.replacements()) * secondsPerHour * m.claimants(),
		ProgressBytes: a.progressBytes * secondsPerHour,
	}
	c.ProgressEntries = max(math.Ceil(c.ProgressBytes/progressEntryBytes), m.n())
	jobs := a.Jobs * secondsPerHour
	c.JobBytes = jobs * l.JobEntryBytes.Each()
	c.JobEntries = max(math.Ceil(jobs/recordsPerEntry), m.n())
	spare := max(limits.Append-a.Total(), 1)
	c.AppendSeconds = (c.ClaimEntries + c.JobEntries + c.ProgressEntries) / spare
	c.ReadBytes = (c.ProgressBytes + c.JobBytes + c.ClaimEntries*a.claimBytes) * l.LogReadBytes.Each()
	if !m.Design.FoldAll {
		c.ReadBytes /= m.n()
	}
	c.ReadSeconds = c.ReadBytes / limits.Bytes
	return c
}
