package engine

import (
	"slices"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// newContentionWorld returns the deployment with too little capacity, with the given number of
// workers instead of 350, under a leader with the given features.
func newContentionWorld(t testing.TB, workers int, f Features) *world {
	w := newAdvisedWorld(t, workers, max(6, workers/7))
	ttl := 1500 * time.Millisecond
	w.policy = (&policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, LatencyTarget: 250 * time.Millisecond,
				Advice: &policy.AdviceCost{Base: 14300 * time.Microsecond, PerWorker: 208 * time.Microsecond, TicketTTL: ttl}},
			{Name: "gangs", Service: "s", Priority: 1, Attempts: 4, Stretch: 2.2, LatencyTarget: time.Second,
				Advice: &policy.AdviceCost{Base: 702 * time.Millisecond, PerWorker: 10010 * time.Microsecond, TicketTTL: ttl}},
			{Name: "batch", Service: "s", Priority: 2, Attempts: 2, Stretch: 4, LatencyTarget: 3 * time.Second,
				Advice: &policy.AdviceCost{Base: 130 * time.Millisecond, PerWorker: 1820 * time.Microsecond, TicketTTL: ttl}},
		},
		Services: []policy.Service{{Name: "s"}}, Teams: []policy.Team{{Name: "a", Weight: 500}},
	}).Index()
	w.features = f
	w.storeDelay = 10 * time.Millisecond
	w.startLeader()
	w.run(time.Second)
	return w
}

// contentionLoad submits the jobs of the deployment with too little capacity and measures what
// becomes of them.
type contentionLoad struct {
	*world
	multiplier float64 // of the rates
	batch      float64 // of the rate of batch jobs besides; zero for 1
	due        map[string]float64
	samples    []utilization
}

// utilization is the use of the workers at one time.
type utilization struct{ used, held, waiting float64 } // relative to the capacity

func (l *contentionLoad) submitFor(span time.Duration) {
	if l.due == nil {
		l.due = make(map[string]float64)
	}
	scale := l.multiplier * float64(len(l.ids)) / 350
	rates := map[string]float64{"urgent": 88 * scale, "gangs": 3.8 * 1.2 * scale, "batch": 9.9 * 1.5 * scale * max(1, l.batch)}
	steps := map[string]job.Step{
		"urgent": {Count: 3, Need: job.Resources{CPU: 5000, MemMB: 4000}, Estimate: time.Second},
		"gangs":  {Count: 20, Need: job.Resources{CPU: 9000, MemMB: 9000}, Estimate: 6200 * time.Millisecond, Gang: true},
		"batch":  {Count: 25, Need: job.Resources{CPU: 3500, MemMB: 5000}, Estimate: 2700 * time.Millisecond},
	}
	tick := 0
	for end := l.now.Add(span); l.now.Before(end); l.run(simTick) {
		for _, queue := range sortedKeys(rates) {
			for l.due[queue] += rates[queue] * simTick.Seconds(); l.due[queue] >= 1; l.due[queue]-- {
				s := steps[queue]
				s.Count = max(2, int(l.around(float64(s.Count))))
				s.Need.CPU = int64(l.around(float64(s.Need.CPU)))
				s.Estimate = time.Duration(l.around(float64(s.Estimate)))
				s.Gang = s.Gang || queue == "urgent" && l.loadRand.Float64() < 0.3
				l.submit(queue, "a", s)
			}
		}
		if tick++; tick%20 == 0 {
			l.samples = append(l.samples, l.utilization())
		}
	}
}

// utilization measures the present use, and the CPU of the waiting tasks.
func (w *world) utilization() utilization {
	used, capacity, waiting := int64(0), int64(0), int64(0)
	for _, s := range w.workers {
		capacity += s.capacity.CPU
		for _, r := range s.runs {
			used += r.need.CPU
		}
	}
	held := int64(0)
	typical, _ := w.engine.typicalRuntime()
	for _, x := range w.engine.workerList {
		held += w.engine.heldOn(x, typical).CPU
	}
	for _, s := range w.engine.openSteps {
		waiting += int64(s.waiting) * s.charge.CPU
	}
	c := float64(capacity)
	return utilization{float64(used) / c, float64(held) / c, float64(waiting) / c}
}

// contended returns the mean use in the samples with work for at least the given part of the
// workers waiting, and their number.
func (l *contentionLoad) contended(least float64) (mean, held float64, n int) {
	for _, s := range l.samples {
		if s.waiting >= least {
			mean, held, n = mean+s.used, held+s.held, n+1
		}
	}
	return mean / float64(max(1, n)), held / float64(max(1, n)), n
}

// gangStartDelays returns how long the gangs of a queue waited for their start, in order; a gang
// that has not started counts as waiting until now.
func (w *world) startDelays(queue string) []time.Duration {
	var out []time.Duration
	for id, spec := range w.specs {
		if spec.Queue != queue || !w.accepted[id] {
			continue
		}
		wait := w.now.Sub(w.submittedAt[id])
		if at, ok := w.firstStart[id]; ok {
			wait = at.Sub(w.submittedAt[id])
		}
		out = append(out, wait)
	}
	slices.Sort(out)
	return out
}

func quantileOf(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return d[min(len(d)-1, int(p*float64(len(d))))]
}

func meanOf(d []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, x := range d {
		sum += x
	}
	return sum / time.Duration(max(1, len(d)))
}
