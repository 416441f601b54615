// Package runtimes learns from finished runs how long tasks take and how fast the
// workers are. It is designed for callers whose estimates are wrong by a factor of two,
// for tasks of which a few in a hundred take many times as long as the others, and for
// workers of different speeds: some thousands of runs per second on up to 4,096 workers.
package runtimes

import (
	"math"
	"math/bits"
	"time"
)

// Task holds what is known of a task before it runs.
type Task struct {
	Queue    string
	Team     string
	Image    string
	Step     string        // name of the step, whose tasks resemble each other
	CPU      int64         // of the task, in thousandths of a core
	Estimate time.Duration // the caller's estimate
}

const (
	// MaxWorkers, MaxGroups and maxSteps bound the memory of a model, to about 4 MB. The
	// least recently used ones are forgotten.
	MaxWorkers = 4096
	MaxGroups  = 512
	maxSteps   = 4096
	// minGroupSamples is the number of samples from which a narrower group than the queue
	// is used, and minGroupGain the part of the queue's spread that its own may have at
	// most. A group that predicts no better than the queue only has fewer samples.
	minGroupSamples = 40
	minGroupGain    = 0.9
)

// Model is what has been learned. The zero value has learned nothing. It is not safe for
// concurrent use.
type Model struct {
	workers  lru[string, workerSpeed]
	groups   lru[groupKey, group]
	steps    lru[string, stepSamples]
	observed int       // number of runs observed by this process
	speeds   []float64 // reused by center

	meanChange float64 // smoothed sum of the changes of the speeds by a run
}

// groupKind tells which property of a task besides its queue a group has in common.
type groupKind uint8

const (
	byQueue groupKind = iota
	byTeam
	byImage
	bySize
	groupKinds
)

// groupKey identifies a group of tasks.
type groupKey struct {
	queue string
	kind  groupKind
	value string // team or image
	size  int    // binary logarithm of the CPU
}

// key returns the key of t's group of the given kind. It reports false if t has none.
func (t *Task) key(kind groupKind) (groupKey, bool) {
	k := groupKey{queue: t.Queue, kind: kind}
	switch kind {
	case byTeam:
		k.value = t.Team
	case byImage:
		k.value = t.Image
	case bySize:
		k.size = bits.Len64(uint64(max(0, t.CPU)))
	}
	return k, kind == byQueue || k.value != "" || k.size != 0
}

// group holds the distributions of a group of tasks.
type group struct {
	ratios   histogram    // run time relative to the estimate, on a worker of ordinary speed
	errors   [2]histogram // run time relative to what step-mates predict, if few and if many have ended
	within   float64      // decayed number of predictions by the 0.9 quantile that held
	total    float64      // decayed number of such predictions
	observed int          // number of samples, without decay
	noise    float64      // variance of the logarithms of the run times of the tasks of a step; zero if unknown
}

const (
	// initialNoise is the variance that is assumed among the tasks of a step, and minNoise
	// the least one. noiseWeight is the weight of a run in it.
	initialNoise = 0.1
	minNoise     = 0.01
	noiseWeight  = 0.01
)

// noiseInStep returns the variance among the tasks of a step.
func (g *group) noiseInStep() float64 {
	if g.noise == 0 {
		return initialNoise
	}
	return g.noise
}

// addInStep adds the deviation of a task from the n ended tasks of its step that are kept.
func (g *group) addInStep(deviation float64, n int) {
	noise := g.noiseInStep()
	deviation = bounded(deviation, maxDeviation*sqrt(2*noise))
	square := deviation * deviation * float64(n) / float64(n+1)
	g.noise = max(minNoise, noise+noiseWeight*(square-noise))
}

// manyMates is the number of ended step-mates from which the second error histogram of a
// group is used. The median of fewer is much less certain.
const manyMates = 3

// mateClass returns the index in group.errors for a number of ended step-mates.
func mateClass(mates int) int {
	if mates >= manyMates {
		return 1
	}
	return 0
}

// withinWeight is the weight of the last prediction in a queue's calibration.
const withinWeight = 1.0 / 2000

// Prediction is what was expected of a task when it started. Observe compares it with
// what happened.
type Prediction struct {
	location float64 // logarithm of the run time relative to the estimate, on an ordinary worker
	mates    int     // step-mates that had ended
	p90      time.Duration
}

// Observe adds a run of t on a worker that has succeeded and worked for the given time.
func (m *Model) Observe(t Task, worker string, took time.Duration) {
	m.ObservePredicted(t, worker, took, m.Expect(t, worker).Prediction())
}

// ObservePredicted adds a run like Observe. p is what was expected when it started.
func (m *Model) ObservePredicted(t Task, worker string, took time.Duration, p Prediction) {
	if t.Estimate <= 0 || took <= 0 {
		return
	}
	y := math.Log(float64(took) / float64(t.Estimate))
	queue := m.queue(t.Queue)
	w := m.workers.add(worker, MaxWorkers, newWorkerSpeed)
	x := y - w.log
	var mates *stepSamples
	if t.Step != "" {
		mates = m.steps.add(t.Step, maxSteps, nil)
	}
	g, _ := m.groupOf(&t)
	if mates == nil || len(mates.mates) == 0 {
		m.compensate(w, w.observe(y-g.ratios.median(), max(minEstimateNoise, g.ratios.variance())))
	} else {
		noise := queue.noiseInStep()
		center := mates.locate(noise)
		if p.mates == 0 {
			// No mate had ended when it started; those that ended before it predict it now.
			p.mates, p.location = len(mates.mates), location(g, mates, queue)
		}
		queue.addInStep(x-center, len(mates.mates))
		m.compensate(w, mates.observeSpeed(w, y, center, noise))
	}
	m.addToGroups(&t, queue, x, took, p)
	if mates != nil {
		mates.add(y, w, queue.noiseInStep())
	}
}

// location returns the expected logarithm of the run time of a task of group g relative to
// its estimate, on a worker of ordinary speed: that of the ended tasks of its step, drawn
// towards that of g by the variances among the steps of g and the tasks of a step.
func location(g *group, mates *stepSamples, queue *group) float64 {
	within := queue.noiseInStep()
	between := max(minBetween, g.ratios.variance()-within)
	n := float64(len(mates.mates)) * between / within
	return (n*mates.center + g.ratios.median()) / (n + 1)
}

// minEstimateNoise is the least variance that is assumed of run times relative to their
// estimates where these are the only evidence of a worker's speed.
const minEstimateNoise = 0.1

// minBetween is the least variance that is assumed between the steps of a group.
const minBetween = 0.01

// ObserveGang adds a run of a gang of which t is a member. It ends at the pace of the
// slowest member, so it tells nothing of single workers. slowest is the worker on which
// the members take longest.
func (m *Model) ObserveGang(t Task, slowest string, took time.Duration, p Prediction) {
	if t.Estimate <= 0 || took <= 0 {
		return
	}
	y := math.Log(float64(took)/float64(t.Estimate)) - m.speedOf(slowest)
	m.addToGroups(&t, m.queue(t.Queue), y, took, p)
}

// addToGroups adds a run to the groups of t. x is the logarithm of its run time relative
// to the estimate, on a worker of ordinary speed.
func (m *Model) addToGroups(t *Task, queue *group, x float64, took time.Duration, p Prediction) {
	m.observed++
	for kind := range groupKinds {
		if key, ok := t.key(kind); ok {
			g := queue
			if kind != byQueue {
				g = m.groups.add(key, MaxGroups, nil)
			}
			g.observed++
			g.ratios.add(x)
		}
	}
	if p.p90 <= 0 {
		return
	}
	if p.mates > 0 {
		queue.errors[mateClass(p.mates)].add(x - p.location)
	}
	queue.total += withinWeight * (1 - queue.total)
	held := 0.0
	if took <= p.p90 {
		held = 1
	}
	queue.within += withinWeight * (held - queue.within)
}

// queue returns the group of a queue and creates it on first use.
func (m *Model) queue(name string) *group {
	return m.groups.add(groupKey{queue: name}, MaxGroups, nil)
}

// groupOf returns the group of t that predicts best, or nil if nothing is known of t's
// queue. queue is that of the whole queue.
func (m *Model) groupOf(t *Task) (best, queue *group) {
	queue = m.groups.use(groupKey{queue: t.Queue})
	if queue == nil {
		return nil, nil
	}
	best = queue
	least := minGroupGain * queue.ratios.spread()
	for kind := byQueue + 1; kind < groupKinds; kind++ {
		key, ok := t.key(kind)
		if !ok {
			continue
		}
		if g := m.groups.use(key); g != nil && g.ratios.samples() >= minGroupSamples && g.ratios.spread() < least {
			best, least = g, g.ratios.spread()
		}
	}
	return best, queue
}

// Expect returns the expected run time of t on a worker. An empty worker stands for one
// of ordinary speed. The expectation is valid until the model changes.
func (m *Model) Expect(t Task, worker string) Expectation {
	x := Expectation{estimate: float64(t.Estimate), slowness: m.Slowness(worker), dist: &unknown}
	g, queue := m.groupOf(&t)
	if g == nil {
		return x
	}
	x.dist, x.samples = &g.ratios, int(math.Round(g.ratios.samples()))
	if mates := m.steps.use(t.Step); mates != nil && len(mates.mates) > 0 {
		x.mates, x.location = len(mates.mates), location(g, mates, queue)
		x.dist = &queue.errors[mateClass(x.mates)]
	}
	return x
}

// Freeze determines whether expectations leave no trace in m: which groups and steps were used
// last, and thus are forgotten last, then stays as it is.
func (m *Model) Freeze(frozen bool) {
	m.workers.frozen, m.groups.frozen, m.steps.frozen = frozen, frozen, frozen
}

// Slowness returns the run time on a worker as a multiple of that on one of ordinary
// speed. It is 1 for a worker of which nothing is known.
func (m *Model) Slowness(worker string) float64 {
	if w := m.workers.get(worker); w != nil {
		return math.Exp(w.log)
	}
	return 1
}

// speedOf returns the logarithm of the slowness of a worker.
func (m *Model) speedOf(worker string) float64 {
	if w := m.workers.get(worker); w != nil {
		return w.log
	}
	return 0
}

// Observed returns the number of runs that were added since the start of the process.
func (m *Model) Observed() int { return m.observed }

// Advance lets samples lose weight for the time that has passed, and keeps the speeds
// relative to that of the typical worker. It should be called about once per second.
func (m *Model) Advance(elapsed time.Duration) {
	for g := range m.groups.all() {
		g.ratios.age(elapsed)
		g.errors[0].age(elapsed)
		g.errors[1].age(elapsed)
	}
	m.center(elapsed)
}
