package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

// Work must get the workers whose speed it needs, and no others while those suffice.
func TestPlaceBySpeed(t *testing.T) {
	speeds := func(slowness ...float64) (out []Candidate) {
		for _, s := range slowness {
			out = append(out, Candidate{Free: job.Resources{CPU: 8000, MemMB: 100}, Slowness: s, Rack: "r1"})
		}
		return out
	}
	three, four := speeds(1.7, 1, 0.6), speeds(1.7, 1, 0.6, 1)
	packed, failing, racks, exposed := speeds(0.6, 0.62, 1), speeds(1, 1.7), speeds(1.7, 1.7, 1, 1), speeds(0.6, 1)
	packed[1].Free.CPU, failing[1].Penalty, racks[2].Rack, racks[3].Rack, exposed[0].AtStake = 4000, 1.3, "r2", "r2", 5
	for _, c := range []struct {
		name  string
		speed Speed
		most  float64 // MaxSlowness
		count int
		gang  bool
		from  []Candidate
		want  []int
	}{
		{"urgent work on the fastest, then on slower ones", PreferFast, 2, 3, false, three, []int{2, 2, 1}},
		{"urgent work packed among equally fast ones", PreferFast, 2, 2, false, packed, []int{1, 0}},
		{"other work packed among equally fast ones", PreferSlow, 0.7, 2, false, packed, []int{1, 0}},
		{"other work on the slowest in time, faster ones, and where it is late", PreferSlow, 1.5, 6, false, three, []int{1, 1, 2, 2, 0, 0}},
		{"late work on the fastest", PreferSlow, 0.1, 1, false, three, []int{2}},
		{"not on a worker that is slow because it fails", PreferSlow, 9, 1, false, failing, []int{0}},
		{"near the data rather than on a slow worker", PreferSlow, 9, 1, false, racks, []int{2}},
		{"a gang on one speed", PreferSlow, 9, 4, true, four, []int{1, 1, 3, 3}},
		{"a gang mixed if no speed suffices", PreferSlow, 9, 5, true, four, []int{0, 0, 1, 1, 3}},
		{"a mixed gang in time rather than a late one", PreferSlow, 1.5, 3, true, speeds(1.7, 1.7, 1, 0.6), []int{2, 2, 3}},
		{"a late gang on the fastest speed that suffices", PreferSlow, 0.1, 4, true, speeds(1.7, 1.7, 1, 1, 0.6), []int{2, 2, 3, 3}},
		{"an urgent gang mixed, the slowest members first", PreferFast, 2, 3, true, three, []int{1, 1, 2}},
		{"no gang without enough workers", PreferFast, 2, 7, true, three, nil},
		{"what is at stake counts more", PreferFast, 2, 1, false, exposed, []int{1}},
	} {
		req := Request{Need: cpu(4000), Count: c.count, AllOrNothing: c.gang, Speed: c.speed, MaxSlowness: c.most, OffRackMultiplier: 2}
		if c.from[len(c.from)-1].Rack == "r2" {
			req.PreferredRack = "r2"
		}
		assert.Equal(t, c.want, Place(req, c.from), c.name)
	}
	oneRack := Request{Need: cpu(4000), Count: 3, AllOrNothing: true, SameRack: true, Speed: PreferFast, MaxSlowness: 9}
	assert.Equal(t, []int{2, 2, 3}, Place(oneRack, racks), "on the fastest rack")
}
