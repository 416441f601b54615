// Package placement chooses workers for the tasks of a step. It is designed for a
// fleet that is nearly full with tasks of very different sizes: best-fit packing
// puts small tasks where they leave the least CPU unused, so that large blocks
// of capacity stay free for large tasks. A gang is placed entirely or not at all. On workers of
// different speeds, urgent tasks get fast workers and others the slowest that suffice.
package placement

import (
	"sort"

	"pollenbend/internal/cell/job"
)

// Candidate is a worker that may run tasks of the step.
type Candidate struct {
	Free     job.Resources
	Rack     string
	Slowness float64 // expected run time relative to that on a worker of ordinary speed
	Penalty  float64 // expected run time relative to that on a healthy worker, at least 1; zero counts as 1
	AtStake  float64 // work on the worker that should not be put at risk, in core-seconds
	Running  int     // number of tasks of the step that already run on the worker
}

// Request describes the tasks to place.
type Request struct {
	Need              job.Resources // of one task
	Count             int           // number of tasks
	AllOrNothing      bool          // place all tasks or none
	SameRack          bool          // place all tasks on one rack if possible
	PreferredRack     string        // empty for no preference
	OffRackMultiplier float64       // run time outside the preferred rack relative to that inside
	MaxPerWorker      int           // zero for no limit
	Speed             Speed         // which workers to prefer
	MaxSlowness       float64       // slowness up to which the tasks end in time; ignored for AvoidSlow
}

// Place returns the index of a candidate for each task that it places, at most
// Request.Count. With Request.AllOrNothing it returns nil unless all tasks are placed.
func Place(req Request, candidates []Candidate) []int {
	if req.SameRack {
		if chosen := onOneRack(req, candidates); chosen != nil {
			return chosen
		}
	}
	return place(req, candidates, indexesUpTo(len(candidates)))
}

// indexesUpTo returns the numbers from 0 to n-1.
func indexesUpTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// onOneRack returns a complete placement on a single rack, or nil. Of the racks that can hold
// all tasks it takes the one whose least preferred worker is preferred most.
func onOneRack(req Request, candidates []Candidate) []int {
	racks := make(map[string][]int)
	var names []string
	for i, c := range candidates {
		if racks[c.Rack] == nil {
			names = append(names, c.Rack)
		}
		racks[c.Rack] = append(racks[c.Rack], i)
	}
	sort.Strings(names)
	req.AllOrNothing = true
	var best []int
	var bestRank rank
	for _, name := range names {
		chosen := place(req, candidates, racks[name])
		if chosen == nil {
			continue
		}
		if req.Speed == AvoidSlow {
			return chosen
		}
		if worst := worstRank(req, candidates, chosen); best == nil || worst.compare(bestRank) < 0 {
			best, bestRank = chosen, worst
		}
	}
	return best
}

// option is a candidate on which at least one task fits.
type option struct {
	index     int
	atStake   float64
	fit       int // number of tasks that fit
	rank      rank
	unusedCPU int64 // CPU that remains when the candidate is filled with such tasks
}

// place places the tasks of req on the candidates whose indexes are in among: on those with
// the least at stake first, among these on those of the preferred speed, among equally fast ones on those
// where the least CPU stays unused.
func place(req Request, candidates []Candidate, among []int) []int {
	options := make([]option, 0, len(among))
	total := 0
	for _, i := range among {
		c := &candidates[i]
		fit := tasksThatFit(req, c)
		if fit == 0 {
			continue
		}
		total += fit
		unusedCPU := c.Free.CPU
		if req.Need.CPU > 0 {
			unusedCPU -= int64(fit) * req.Need.CPU
		}
		options = append(options, option{i, c.AtStake, fit, rankOf(req, c), unusedCPU})
	}
	if total == 0 || req.AllOrNothing && total < req.Count {
		return nil
	}
	sort.Slice(options, func(a, b int) bool {
		x, y := options[a], options[b]
		if x.atStake != y.atStake {
			return x.atStake < y.atStake
		}
		if order := x.rank.compare(y.rank); order != 0 {
			return order < 0
		}
		if x.unusedCPU != y.unusedCPU {
			return x.unusedCPU < y.unusedCPU
		}
		if x.fit != y.fit {
			return x.fit < y.fit
		}
		return x.index < y.index
	})
	if req.AllOrNothing && req.Speed != AvoidSlow {
		options = atOnePace(req, options)
	}
	chosen := make([]int, 0, req.Count)
	for _, o := range options {
		for n := 0; n < o.fit && len(chosen) < req.Count; n++ {
			chosen = append(chosen, o.index)
		}
	}
	return chosen
}

// tasksThatFit returns how many tasks of req fit on c, at most Request.Count.
func tasksThatFit(req Request, c *Candidate) int {
	n := req.Need.CountIn(c.Free, req.Count)
	if req.MaxPerWorker > 0 {
		n = min(n, req.MaxPerWorker-c.Running)
	}
	return max(0, n)
}
