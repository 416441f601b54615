package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

func cpu(n int64) job.Resources { return job.Resources{CPU: n, MemMB: 1} }

func TestPlace(t *testing.T) {
	free := func(amounts ...int64) []Candidate {
		var out []Candidate
		for _, n := range amounts {
			out = append(out, Candidate{Free: job.Resources{CPU: n, MemMB: 100}, Slowness: 1})
		}
		return out
	}
	racks := free(4000, 4000, 4000, 4000)
	for i := range racks {
		racks[i].Rack = []string{"r1", "r2", "r2", "r1"}[i]
	}
	slow := free(4000, 4000)
	slow[0].Slowness = 2
	present := free(9000, 9000)
	present[0].Running = 2
	for _, c := range []struct {
		name string
		req  Request
		from []Candidate
		want []int
	}{
		{"on the worker with the least CPU left unused", Request{Need: cpu(2000), Count: 1}, free(9000, 2500, 4000), []int{1}},
		{"as many as fit", Request{Need: cpu(2000), Count: 3}, free(2000, 2100), []int{0, 1}},
		{"a gang entirely or not at all", Request{Need: cpu(2000), Count: 3, AllOrNothing: true}, free(2000, 2100), nil},
		{"on one rack", Request{Need: cpu(4000), Count: 2, AllOrNothing: true, SameRack: true}, racks, []int{0, 3}},
		{"near the data", Request{Need: cpu(4000), Count: 1, PreferredRack: "r2", OffRackMultiplier: 2}, racks, []int{1}},
		{"away from slow workers", Request{Need: cpu(4000), Count: 1}, slow, []int{1}},
		{"at most the maximum on one worker", Request{Need: cpu(1000), Count: 3, MaxPerWorker: 2}, present, []int{1, 1}},
		{"nothing without free capacity", Request{Need: cpu(5000), Count: 1}, free(4000), nil},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, Place(c.req, c.from)) })
	}
}

// Small tasks must not fragment the fleet so that large tasks no longer fit.
func TestSmallTasksLeaveCapacityForLargeOnes(t *testing.T) {
	fleet := make([]Candidate, 8)
	for i := range fleet {
		fleet[i] = Candidate{Free: job.Resources{CPU: 32000, MemMB: 65536}, Slowness: 1}
	}
	for range 40 {
		for _, i := range Place(Request{Need: cpu(2000), Count: 1}, fleet) {
			fleet[i].Free = fleet[i].Free.Sub(cpu(2000))
		}
	}
	large := Place(Request{Need: cpu(16000), Count: 10, AllOrNothing: true}, fleet)
	assert.Len(t, large, 10, "80 of 256 cores are taken, on as few workers as possible")
}
