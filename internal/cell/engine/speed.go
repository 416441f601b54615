package engine

import (
	"math"
	"slices"
	"time"

	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/placement"
	"pollenbend/internal/cell/policy"
)

// With Features.SpeedPlacement, steps of the highest declared priority take the fastest workers
// with free resources, and the others the slowest on which they still end in time. Workers
// are divided into classes of about the same speed, within which they are packed as before.

// speedInterval is the minimum interval between two divisions of a pool's workers into classes.
const speedInterval = 500 * time.Millisecond

// modelSlowness returns the run time of a task on w as a multiple of that on a worker of
// ordinary speed, as it is known from finished runs.
func (e *Engine) modelSlowness(w *worker) float64 {
	if e.slownessOf != nil {
		return e.slownessOf(w.id)
	}
	return e.runtimes.Slowness(w.id)
}

// measureSpeeds divides the workers of p into classes by their speed, unless that is recent.
func (e *Engine) measureSpeeds(p *pool) {
	if !e.cfg.Features.SpeedPlacement || e.now.Sub(p.speedsAt) < speedInterval {
		return
	}
	p.speedsAt = e.now
	slowness := make([]float64, len(p.workers))
	for i, w := range p.workers {
		slowness[i] = e.modelSlowness(w)
	}
	p.speeds = placement.NewClasses(slowness)
	for i, w := range p.workers {
		if class := p.speeds.ClassOf(slowness[i]); class != w.speedClass {
			p.remove(w)
			w.speedClass = class
			p.add(w)
		}
	}
}

// classSlowness returns the typical slowness of the class of w.
func (w *worker) classSlowness() float64 {
	if w.pool == nil {
		return 1
	}
	return w.pool.speeds.Slowness(w.speedClass)
}

// speedPreference tells which workers a step prefers.
type speedPreference struct {
	speed       placement.Speed
	maxSlowness float64 // slowness up to which its tasks end in time
}

// endQuantile is the quantile of the run time of a task that counts for whether it ends in time.
const endQuantile = 0.9

// preferenceOf returns which workers s prefers. Fast workers are of no use to a step that comes
// too late for its caller.
func (e *Engine) preferenceOf(s *stepState, q *policy.Queue) speedPreference {
	if !e.cfg.Features.SpeedPlacement {
		return speedPreference{speed: placement.AvoidSlow}
	}
	timeliness := ordering.TimelinessOf(s.urgency, e.now)
	p := speedPreference{placement.PreferSlow, e.maxSlowness(s, timeliness)}
	if e.policy.IsHighestPriority(q) && timeliness != ordering.TooLate {
		p.speed = placement.PreferFast
	}
	return p
}

// preferenceAfterCall returns which workers s will prefer when a call to the adviser has returned.
func (e *Engine) preferenceAfterCall(s *stepState, q *policy.Queue) speedPreference {
	p := e.preferenceOf(s, q)
	if first := e.runtimeOf(s).p90; first > 0 && !s.spec.LongRunning {
		p.maxSlowness -= float64(q.Advice.CallDuration(min(gangCallSize, max(minWorkersAsked, s.waiting)))) / float64(first)
	}
	return p
}

// maxSlowness returns the slowness of a worker on which a task of s that is placed now ends in
// time. For a step that is late it is that on which it is still useful to its caller, and
// for one that comes too late any. A task without an expected end is not put on slow workers.
func (e *Engine) maxSlowness(s *stepState, timeliness ordering.Timeliness) float64 {
	if s.spec.LongRunning {
		return 1
	}
	left := s.urgency.Objective
	switch timeliness {
	case ordering.Late:
		left *= ordering.LateMultiplier
	case ordering.TooLate:
		return math.Inf(1)
	}
	left -= e.now.Sub(s.urgency.Arrived) + e.storeLatency + dispatchTime
	expected := e.runtimeOf(s)
	first, after := expected.p90, e.criticalPathFrom(s)-expected.median
	if first <= 0 {
		return math.Inf(1)
	}
	return float64(left-max(0, after)) / float64(first)
}

// late reports whether tasks of a step with preference p do not end in time on workers of the
// given slowness.
func (p speedPreference) late(slowness float64) bool { return slowness > p.maxSlowness }

// classesFor returns the classes of the workers of p in the order in which a step with the given
// preference uses them.
func (p *pool) classesFor(preference speedPreference) []int {
	n := p.speeds.Count()
	order := make([]int, 0, n)
	slowestInTime := n - 1
	for slowestInTime >= 0 && preference.late(p.speeds.Slowness(slowestInTime)) {
		slowestInTime--
	}
	if preference.speed != placement.PreferSlow {
		slowestInTime = -1
	}
	for class := slowestInTime; class >= 0; class-- {
		order = append(order, class)
	}
	for class := slowestInTime + 1; class < n; class++ {
		order = append(order, class)
	}
	return order
}

// rankQuota returns how many workers of classes[n] rankForAdvice chooses among when it may still
// choose among left workers: an equal part, or more if the following classes leave more.
func (p *pool) rankQuota(classes []int, n, left int) int {
	following := 0
	for _, class := range classes[n+1:] {
		following += p.classSize(class)
	}
	return max(left/(len(classes)-n), left-following)
}

// setTiers sets the tiers of workers that the adviser may be asked about: those with free capacity
// by class, then the others by class. Without the free capacity of other classes an urgent step
// would wait for a fast worker. A gang for which no class has enough prefers none, as its calls are
// long and others take what is free meanwhile. classes are in the order of preference.
func (e *Engine) setTiers(s *stepState, q *policy.Queue, ranked []rankedWorker, classes []int) {
	if s.spec.Gang && len(classes) > 1 {
		room := make([]float64, len(classes))
		share := e.goodShare(q.Name)
		for _, r := range ranked {
			room[r.speedClass] += share * r.room
		}
		classes = sufficientFirst(classes, room, askMultiplier*float64(s.waiting))
	}
	if len(classes) <= 1 {
		return
	}
	order := positions(classes, len(classes))
	for i := range ranked {
		r := &ranked[i]
		if r.tier = order[r.speedClass]; r.room < 1 { // the steps whose calls are pending will use what is free
			r.tier += len(classes)
		}
	}
}

// sufficientFirst returns classes with the first one first whose room, by class, is enough for a
// gang of the given number of tasks, so that the gang need not be mixed. It returns nil if there
// is none.
func sufficientFirst(classes []int, room []float64, count float64) []int {
	i := slices.IndexFunc(classes, func(class int) bool { return room[class] >= count })
	if i < 0 {
		return nil
	}
	return append([]int{classes[i]}, slices.Delete(slices.Clone(classes), i, i+1)...)
}

// positions returns the position in classes of each class below n. A class that is not in it has
// the first one.
func positions(classes []int, n int) []int {
	order := make([]int, n)
	for i, class := range classes {
		order[class] = i
	}
	return order
}

// expiredOrder returns by class the order in which the tickets of s for workers are renewed. A
// worker may have moved to another service, which has more classes.
func (e *Engine) expiredOrder(s *stepState, q *policy.Queue, round *placementRound, workers []*worker) []int {
	classes := round.classesFor(e.preferenceOf(s, q))
	n := len(classes)
	for _, w := range workers {
		n = max(n, w.speedClass+1)
	}
	if s.spec.Gang {
		room := make([]float64, n)
		for _, w := range workers {
			room[w.speedClass] += float64(tasksThatFit(s, w, w.free()))
		}
		if one := sufficientFirst(classes, room, float64(s.waiting)); one != nil {
			classes = one
		}
	}
	return positions(classes, n)
}
