package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// speeds returns candidates with 8 cores free of the given slowness.
func speeds(slowness ...float64) []Candidate {
	var out []Candidate
	for _, s := range slowness {
		out = append(out, Candidate{Free: job.Resources{CPU: 8000, MemMB: 100}, Slowness: s})
	}
	return out
}

// Work must get the workers whose speed it needs, and no others while those suffice.
func TestPlaceBySpeed(t *testing.T) {
	fast := func(count int) Request {
		return Request{Need: cpu(4000), Count: count, Speed: PreferFast, MaxSlowness: 2}
	}
	slow := func(count int, maxSlowness float64) Request {
		return Request{Need: cpu(4000), Count: count, Speed: PreferSlow, MaxSlowness: maxSlowness}
	}
	gang := func(r Request) Request {
		r.AllOrNothing = true
		return r
	}
	packed := speeds(0.6, 0.6, 1)
	packed[1].Free.CPU = 4000
	failing := speeds(1, 1.7)
	failing[1].Penalty = 1.3
	far := speeds(1, 1)
	far[0].Rack, far[1].Rack = "r1", "r2"
	nearData := slow(1, 3)
	nearData.PreferredRack, nearData.OffRackMultiplier = "r2", 2
	racks := speeds(1.7, 1.7, 0.6, 0.6)
	racks[0].Rack, racks[1].Rack, racks[2].Rack, racks[3].Rack = "r1", "r1", "r2", "r2"
	oneRack := gang(fast(3))
	oneRack.SameRack = true
	exposed := speeds(0.6, 1)
	exposed[0].AtStake = 5
	for _, c := range []struct {
		name string
		req  Request
		from []Candidate
		want []int
	}{
		{"urgent work on the fastest", fast(2), speeds(1.7, 1, 0.6), []int{2, 2}},
		{"urgent work on slower ones when the fastest are full", fast(3), speeds(1.7, 1, 0.6), []int{2, 2, 1}},
		{"urgent work packed among equally fast ones", fast(2), packed, []int{1, 0}},
		{"other work on the slowest in time", slow(2, 1.5), speeds(1.7, 1, 0.6), []int{1, 1}},
		{"other work on faster ones, then on those where it is late", slow(6, 1.5), speeds(1.7, 1, 0.6), []int{1, 1, 2, 2, 0, 0}},
		{"late work on the fastest of those where it is late", slow(1, 0.1), speeds(1.7, 1, 0.6), []int{2}},
		{"not on a worker that is slow because it fails", slow(1, 9), failing, []int{0}},
		{"near the data rather than on a slow worker", nearData, far, []int{1}},
		{"a gang on one speed", gang(slow(4, 9)), speeds(1.7, 1, 0.6, 1), []int{1, 1, 3, 3}},
		{"a gang mixed if no speed suffices", gang(slow(5, 9)), speeds(1.7, 1, 0.6, 1), []int{0, 0, 1, 1, 3}},
		{"a mixed gang in time rather than a late one", gang(slow(3, 1.5)), speeds(1.7, 1.7, 1, 0.6), []int{2, 2, 3}},
		{"a late gang on the fastest speed that suffices", gang(slow(4, 0.1)), speeds(1.7, 1.7, 1, 1, 0.6), []int{2, 2, 3, 3}},
		{"an urgent gang fills the slowest of its members first", gang(fast(3)), speeds(1.7, 1, 0.6), []int{1, 1, 2}},
		{"no gang without enough workers", gang(fast(7)), speeds(1.7, 1, 0.6), nil},
		{"an urgent gang on the fastest rack", oneRack, racks, []int{2, 2, 3}},
		{"what is at stake counts more", fast(1), exposed, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, Place(c.req, c.from)) })
	}
}

// Workers that are as fast as each other must be packed as without a preference.
func TestSpeedsWithinTheBucketCountAsEqual(t *testing.T) {
	for _, speed := range []Speed{AvoidSlow, PreferFast, PreferSlow} {
		from := speeds(0.93, 1, 1.04)
		from[1].Free.CPU = 4500
		assert.Equal(t, []int{1}, Place(Request{Need: cpu(4000), Count: 1, Speed: speed, MaxSlowness: 2}, from))
	}
}
