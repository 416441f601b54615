package placement

import (
	"cmp"
	"math"
	"slices"
)

// Speed tells what a fast worker is worth to a step.
type Speed uint8

// The preferences of a step. Candidates on which the tasks do not end in time come last for
// PreferSlow, the fastest of them first.
const (
	AvoidSlow  Speed = iota // the fastest first
	PreferFast              // the same; a gang takes workers of one speed
	PreferSlow              // the slowest on which the tasks end in time, then faster ones; a gang takes workers of one speed
)

// slownessBucket is the width of the ranges of slowness within which workers count
// as equally fast. It is less than the spread among healthy workers.
const slownessBucket = 0.15

// bucketOf returns the range that a slowness is in. The ranges of workers that are faster than
// ordinary ones become narrower, so that they are as wide in proportion.
func bucketOf(slowness float64) int {
	const narrowing = 6 * slownessBucket
	if slowness >= narrowing {
		return int(slowness / slownessBucket)
	}
	return 5 - int(math.Log(narrowing/max(slowness, 0.01))/math.Log(1+slownessBucket))
}

// rank is the place of a candidate in the order of preference. A lower one is preferred.
type rank struct {
	penalty int  // range of what makes it slower besides its speed
	late    bool // the tasks do not end in time on it
	speed   int
	pace    int // range of its speed, in which members of a gang count as equally fast
}

// compare returns a negative number if a is preferred to b, a positive one if b is preferred
// to a, and zero otherwise.
func (a rank) compare(b rank) int {
	return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.speed, b.speed))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// rankOf returns the rank of a candidate for req. Work that prefers slow workers must not
// prefer those that fail or are far from its data, which cost it time and save none.
func rankOf(req Request, c *Candidate) rank {
	penalty := max(1, c.Penalty)
	if req.PreferredRack != "" && c.Rack != req.PreferredRack {
		penalty *= max(1, req.OffRackMultiplier)
	}
	r := rank{penalty: bucketOf(penalty), pace: bucketOf(c.Slowness), speed: bucketOf(c.Slowness * penalty)}
	if req.Speed == AvoidSlow {
		return r
	}
	r.late = c.Slowness*penalty > req.MaxSlowness
	if req.Speed == PreferSlow && !r.late {
		r.speed = speedRange*r.penalty - r.pace
	}
	return r
}

// speedRange is more than the number of ranges between the slowest and the fastest worker.
const speedRange = 1000

// worstRank returns the rank of the least preferred of the chosen candidates.
func worstRank(req Request, candidates []Candidate, chosen []int) rank {
	worst := rankOf(req, &candidates[chosen[0]])
	for _, i := range chosen[1:] {
		if r := rankOf(req, &candidates[i]); r.compare(worst) > 0 {
			worst = r
		}
	}
	return worst
}

// atOnePace returns the options that a gang of count tasks takes, in the order in which it fills
// them. All members run at the pace of the slowest, so it takes options of one speed if they
// suffice, and those on which it ends late only if the others do not suffice. The options are in
// the order of preference.
func atOnePace(req Request, options []option) []option {
	var inTime []option
	for _, o := range options {
		if o.atStake != options[0].atStake {
			return options // how much is at stake matters more
		}
		if !o.rank.late {
			inTime = append(inTime, o)
		}
	}
	ends := fits(inTime, req.Count)
	if ends {
		options = inTime
	}
	tried := make(map[int]bool)
	for _, o := range options {
		if tried[o.rank.pace] {
			continue
		}
		tried[o.rank.pace] = true
		one := slices.DeleteFunc(slices.Clone(options), func(other option) bool { return other.rank.pace != o.rank.pace })
		if fits(one, req.Count) {
			return one
		}
	}
	if ends && req.Speed == PreferSlow {
		return options
	}
	return fastestMix(options, req.Count)
}

// fastestMix returns the options of the fastest speeds that together hold count tasks. The
// slowest of these are filled first, as faster ones are worth nothing to the gang.
func fastestMix(options []option, count int) []option {
	mix := slices.Clone(options)
	slices.SortStableFunc(mix, func(a, b option) int { return cmp.Compare(a.rank.pace, b.rank.pace) })
	total, last := 0, 0
	for i, o := range mix {
		if total >= count && o.rank.pace != mix[last].rank.pace {
			mix = mix[:i]
			break
		}
		total, last = total+o.fit, i
	}
	slices.SortStableFunc(mix, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.rank.penalty, b.rank.penalty), cmp.Compare(b.rank.pace, a.rank.pace))
	})
	return mix
}

// fits reports whether the options hold count tasks.
func fits(options []option, count int) bool {
	for _, o := range options {
		count -= o.fit
	}
	return count <= 0
}
