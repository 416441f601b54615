// Package cpuspeed measures how fast the processor runs this process.
package cpuspeed

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	// runsPerSample is how often a sample runs the work. Only the fastest run counts, as
	// other threads may interrupt the rest.
	runsPerSample = 3
	// recentSamples is the number of samples that must all be slow for the processor to
	// count as slow.
	recentSamples = 3
	// usualSamples is the number of fast samples from which the usual duration is taken.
	usualSamples = 5
)

// Meter compares how long a fixed piece of work takes now and usually takes.
type Meter struct {
	run func() time.Duration // does the work once and returns how long it took

	mu      sync.Mutex
	recent  []time.Duration // newest samples, oldest first
	fastest []time.Duration // fastest samples so far, ascending
}

// New returns a meter that does the work with run, which returns how long it took.
func New(run func() time.Duration) *Meter { return &Meter{run: run} }

// Sample does the work and returns how many times as long as usual it takes: the smallest
// ratio of the newest samples, at least 1. It is 1 until there are enough samples.
func (m *Meter) Sample() float64 {
	sample := m.run()
	for range runsPerSample - 1 {
		sample = min(sample, m.run())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent = append(m.recent, sample)
	m.recent = m.recent[max(0, len(m.recent)-recentSamples):]
	i, _ := slices.BinarySearch(m.fastest, sample)
	m.fastest = slices.Insert(m.fastest, i, sample)
	m.fastest = m.fastest[:min(len(m.fastest), usualSamples)]
	usual := m.fastest[len(m.fastest)-1]
	if len(m.recent) < recentSamples || len(m.fastest) < usualSamples || usual <= 0 {
		return 1
	}
	return max(1, float64(slices.Min(m.recent))/float64(usual))
}

// workSteps is the number of steps of Work.
const workSteps = 4_000

// Work does a fixed amount of work, some 20 µs on a current core, and returns how long it
// took.
func Work() time.Duration {
	start := time.Now()
	x := uint64(start.UnixNano()) | 1
	for range workSteps {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	runtime.KeepAlive(x) // otherwise the compiler could leave out the work
	return time.Since(start)
}
