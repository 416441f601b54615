package fleet

import "pollenbend/internal/model"

// Feasibility says how many workers could take a demand if they were empty.
// Workers that are leaving don't count.
type Feasibility struct {
	Workers  int // known
	Matching int // of them, allowed by the selector
	Fitting  int // of them, large enough
	Places   int // tasks of this demand that all fitting workers could hold
}

// Feasible works out a Feasibility for count tasks. It stops as soon as there
// are enough places, so only a refusal has exact counts.
func (f *Fleet) Feasible(selector model.Selector, demand model.Resources, count int) Feasibility {
	out := Feasibility{Workers: len(f.nodes)}
	s := f.Select(selector)
	for _, classes := range [...][]*Class{s.plain, s.accel} {
		for _, c := range classes {
			f.addFeasible(&out, s, c, demand)
			if out.Places >= count {
				return out
			}
		}
	}
	return out
}

func (f *Fleet) addFeasible(out *Feasibility, s *Selection, c *Class, demand model.Resources) {
	if !s.residual {
		for capacity, workers := range c.shapes {
			out.add(demand, capacity, workers)
		}
		return
	}
	for _, n := range f.nodes {
		if n.class == c && n.reasons&ReasonLeaving == 0 && s.Matches(n) {
			out.add(demand, n.Worker.Capacity, 1)
		}
	}
}

func (o *Feasibility) add(demand, capacity model.Resources, workers int) {
	o.Matching += workers
	if !demand.Fits(capacity) {
		return
	}
	o.Fitting += workers
	o.Places += workers * timesIn(demand, capacity)
}

// maxPlaces is what timesIn gives for an empty demand.
const maxPlaces = 1 << 20

// timesIn returns how often demand fits into capacity.
func timesIn(demand, capacity model.Resources) int {
	times := int64(maxPlaces)
	for _, d := range [...][2]int64{
		{demand.MilliCPU, capacity.MilliCPU},
		{demand.MemoryMiB, capacity.MemoryMiB},
		{demand.Slots, capacity.Slots},
		{demand.Accelerators, capacity.Accelerators},
	} {
		if d[0] > 0 {
			times = min(times, d[1]/d[0])
		}
	}
	return int(times)
}
