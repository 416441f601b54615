package fleet

import "pollenbend/internal/model"

// Feasibility counts the workers that could take a demand if they ran no other tasks.
// Workers that are leaving don't count.
type Feasibility struct {
	Workers     int // all workers of the fleet
	Matching    int // workers that match the selector
	LargeEnough int // matching workers whose capacity fits the demand
	MaxTasks    int // tasks of this demand that these could run at the same time
}

// Feasible computes the Feasibility of a demand. It stops as soon as MaxTasks
// reaches count, so the counts are exact only when it doesn't.
func (f *Fleet) Feasible(selector model.Selector, demand model.Resources, count int) Feasibility {
	out := Feasibility{Workers: len(f.nodes)}
	s := f.Select(selector)
	for _, classes := range [...][]*WorkerClass{s.plain, s.accel} {
		for _, c := range classes {
			f.addFeasible(&out, s, c, demand)
			if out.MaxTasks >= count {
				return out
			}
		}
	}
	return out
}

// addFeasible counts the workers of one class. It has to check them one by one if the
// selector has a label that isn't indexed.
func (f *Fleet) addFeasible(out *Feasibility, s *Selection, c *WorkerClass, demand model.Resources) {
	if !s.residual {
		for capacity, workers := range c.capacities {
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

// add counts a number of matching workers of the same capacity.
func (o *Feasibility) add(demand, capacity model.Resources, workers int) {
	o.Matching += workers
	if !demand.Fits(capacity) {
		return
	}
	o.LargeEnough += workers
	o.MaxTasks += workers * tasksPerWorker(demand, capacity)
}

// maxTasksPerWorker is the result of tasksPerWorker for an empty demand.
const maxTasksPerWorker = 1 << 20

// tasksPerWorker returns how many tasks of the demand fit into capacity.
func tasksPerWorker(demand, capacity model.Resources) int {
	times := int64(maxTasksPerWorker)
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
