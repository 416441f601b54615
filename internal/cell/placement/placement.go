// Package placement chooses workers for the tasks of a step. It answers the load
// of a fleet that is nearly full with tasks of very unlike sizes: small tasks go
// where they leave the least room unused, so that whole pieces stay free for
// large ones, and a gang is placed entirely or not at all.
package placement

import (
	"sort"

	"pollenbend/internal/cell/job"
)

// Candidate is a worker that may run tasks of the step.
type Candidate struct {
	Free     job.Resources
	Rack     string
	Slowness float64 // expected run time against a sound worker's, 1 or more
	Present  int     // tasks of the step that it runs already
}

// Request is what has to be placed.
type Request struct {
	Need          job.Resources // of one task
	Count         int
	All           bool // place all or none
	SameRack      bool // all on one rack if possible
	PreferredRack string
	FarPenalty    float64 // how many times as long a task takes away from its rack
	MaxPerWorker  int
}

// slowStep is the difference of slowness below which two workers count as alike,
// less than the spread of sound workers.
const slowStep = 0.15

// Place returns the index of a candidate for each task that it places. With
// Request.All it returns nil unless all are placed.
func Place(req Request, candidates []Candidate) []int {
	if req.SameRack {
		if chosen := onOneRack(req, candidates); chosen != nil {
			return chosen
		}
	}
	return place(req, candidates, allOf(len(candidates)))
}

func allOf(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// onOneRack returns a complete placement on a single rack, or nil.
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
	req.All = true
	for _, name := range names {
		if chosen := place(req, candidates, racks[name]); chosen != nil {
			return chosen
		}
	}
	return nil
}

type option struct {
	index int
	room  int // tasks that fit
	score float64
	left  int64 // CPU left over when filled with such tasks
}

func place(req Request, candidates []Candidate, among []int) []int {
	options := make([]option, 0, len(among))
	total := 0
	for _, i := range among {
		c := &candidates[i]
		room := room(req, c)
		if room == 0 {
			continue
		}
		total += room
		slow := c.Slowness
		if req.PreferredRack != "" && c.Rack != req.PreferredRack {
			slow *= max(1, req.FarPenalty)
		}
		left := c.Free.CPU
		if req.Need.CPU > 0 {
			left -= int64(room) * req.Need.CPU
		}
		options = append(options, option{i, room, slow, left})
	}
	if total == 0 || req.All && total < req.Count {
		return nil
	}
	sort.Slice(options, func(a, b int) bool {
		x, y := options[a], options[b]
		bx, by := int(x.score/slowStep), int(y.score/slowStep)
		if bx != by {
			return bx < by
		}
		if x.left != y.left {
			return x.left < y.left
		}
		if x.room != y.room {
			return x.room < y.room
		}
		return x.index < y.index
	})
	chosen := make([]int, 0, req.Count)
	for _, o := range options {
		for n := 0; n < o.room && len(chosen) < req.Count; n++ {
			chosen = append(chosen, o.index)
		}
	}
	return chosen
}

// room returns how many tasks of req fit on c.
func room(req Request, c *Candidate) int {
	n := req.Need.CountIn(c.Free, req.Count)
	if req.MaxPerWorker > 0 {
		n = min(n, req.MaxPerWorker-c.Present)
	}
	return max(0, n)
}
