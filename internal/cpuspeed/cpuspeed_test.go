package cpuspeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMeter(t *testing.T) {
	var durations []time.Duration
	m := New(func() time.Duration {
		d := durations[0]
		durations = durations[1:]
		return d
	})
	sample := func(us ...int) float64 {
		durations = nil
		for _, d := range us {
			durations = append(durations, time.Duration(d)*time.Microsecond)
		}
		return m.Sample()
	}
	for range usualSamples + 2 {
		assert.InDelta(t, 1, sample(100, 100, 100), 0)
	}
	assert.InDelta(t, 1, sample(900, 100, 900), 0, "interrupted by other threads")
	assert.InDelta(t, 1, sample(700, 600, 800), 0, "slow for one sample")
	assert.InDelta(t, 1, sample(600, 600, 600), 0)
	assert.InDelta(t, 6, sample(600, 600, 600), 0.01)
	assert.InDelta(t, 6, sample(700, 700, 700), 0.01, "the smallest of the newest")
	assert.InDelta(t, 1, sample(100, 100, 100), 0, "recovered")
}

// A fast sample by chance does not make the usual speed look slow.
func TestMeterIgnoresFewFastSamples(t *testing.T) {
	us := 100
	m := New(func() time.Duration { return time.Duration(us) * time.Microsecond })
	for range 20 {
		m.Sample()
	}
	for range usualSamples - 1 {
		us = 30
		m.Sample()
		us = 100
		assert.InDelta(t, 1, m.Sample(), 0)
	}
}

// In virtual time the work takes no time.
func TestMeterWithoutDurations(t *testing.T) {
	m := New(func() time.Duration { return 0 })
	for range 20 {
		assert.InDelta(t, 1, m.Sample(), 0)
	}
}

func TestWorkTakesTime(t *testing.T) { assert.Positive(t, Work()) }
