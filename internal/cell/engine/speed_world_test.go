package engine

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// hashOf returns a number that looks random but depends on the text alone.
func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// normalOf returns a normally distributed number that depends on the text alone.
func normalOf(text string) float64 {
	return rand.New(rand.NewPCG(hashOf(text), 1)).NormFloat64()
}

// unevenSlowness is the slowness of the workers of the speeds 0.6, 1.0 and 1.6.
var unevenSlowness = [3]float64{1 / 0.6, 1, 1 / 1.6}

// speedOf returns the index in unevenSlowness of a worker of an uneven world.
func speedOf(id string) int { return int(hashOf(id) % 3) }

// newUnevenWorld returns a world of workers of 64 cores with three speeds, which the engine
// knows with an error of 0.1, and with the queues of the deployment with uneven demand. Three
// tasks in a hundred take seven times as long as expected.
func newUnevenWorld(t testing.TB, workers int, on bool) *world {
	w := newWorld(t, workers, 7)
	w.rackOf = func(id string) string { return "r1-" + fmt.Sprint(hashOf(id)%uint64(max(1, workers/8))) }
	for _, s := range w.workers {
		s.capacity = job.Resources{CPU: 64_000, MemMB: 262_144}
		s.slowdown = unevenSlowness[speedOf(s.id)]
	}
	w.delegates = nil
	for i := range max(3, workers/7) {
		w.delegates = append(w.delegates, fmt.Sprintf("i%03d", i))
	}
	w.policy = unevenPolicy()
	shares := map[string]uint64{"urgent": 70, "gangs": 25, "batch": 45}
	w.isGood = func(step job.StepRef, worker string) bool {
		return hashOf(step.String()+"/"+worker)%100 < shares[w.specs[step.Job].Queue]
	}
	w.runtimeOf = func(task string, estimate time.Duration) time.Duration {
		factor := math.Exp(0.2 * normalOf(task))
		ref, err := job.ParseTask(task)
		w.must(err)
		if hashOf("tail"+task)%100 < 3 && !w.specs[ref.Job].Steps[ref.Step].Gang {
			factor *= 7
		}
		return time.Duration(factor * float64(estimate))
	}
	w.useSpeeds()
	w.features.SpeedPlacement, w.slowestMemberCounts = on, true
	w.startLeader()
	w.run(time.Second)
	return w
}

// useSpeeds makes the next leader place tasks by the speeds of speedOf, which it knows with an
// error of 0.1.
func (w *world) useSpeeds() {
	w.features.SpeedPlacement = true
	w.slownessOf = func(id string) float64 { return unevenSlowness[speedOf(id)] * math.Exp(0.1*normalOf(id)) }
}

// useChangingSpeeds makes the next leader place tasks by speeds that change every second.
func (w *world) useChangingSpeeds(seed uint64) {
	w.features.SpeedPlacement = true
	w.slownessOf = func(id string) float64 {
		return math.Exp(0.6 * normalOf(fmt.Sprint(seed, id, w.now.Sub(w.startTime).Truncate(time.Second))))
	}
}

func unevenPolicy() *policy.Policy {
	ttl := 1500 * time.Millisecond
	advice := func(base, perWorker time.Duration) *policy.AdviceCost {
		return &policy.AdviceCost{Base: base, PerWorker: perWorker, TicketTTL: ttl}
	}
	return (&policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 3, Stretch: 1.5, LatencyTarget: 250 * time.Millisecond,
				Advice: advice(14300*time.Microsecond, 208*time.Microsecond)},
			{Name: "gangs", Service: "s", Priority: 1, Attempts: 3, Stretch: 2.2, LatencyTarget: time.Second,
				Advice: advice(702*time.Millisecond, 10010*time.Microsecond)},
			{Name: "batch", Service: "s", Priority: 2, Attempts: 3, Stretch: 4, LatencyTarget: 3 * time.Second,
				Advice: advice(130*time.Millisecond, 1820*time.Microsecond)},
			{Name: "plain", Service: "s", Priority: 2, Attempts: 3, Stretch: 4, LatencyTarget: 3 * time.Second},
		},
		Services: []policy.Service{{Name: "s"}},
		Teams:    []policy.Team{{Name: "a"}},
	}).Index()
}

// unevenLoad is the load of the deployment with uneven demand.
type unevenLoad struct {
	*world
	due map[string]float64 // part of the next job of each queue that is due
}

func newUnevenLoad(w *world) *unevenLoad { return &unevenLoad{w, make(map[string]float64)} }

// submitFor submits the load for a time, with the rate of gangs and batch jobs multiplied.
func (w *unevenLoad) submitFor(span time.Duration, multiplier float64) {
	scale := float64(len(w.ids)) / 350
	rates := map[string]float64{"urgent": 110 * scale, "gangs": 4.8 * scale * multiplier, "batch": 9.9 * scale * multiplier}
	steps := map[string]job.Step{
		"urgent": {Count: 3, Need: job.Resources{CPU: 9900, MemMB: 14_000}, Estimate: 540 * time.Millisecond},
		"gangs":  {Count: 20, Need: job.Resources{CPU: 18_000, MemMB: 34_000}, Estimate: 3400 * time.Millisecond, Gang: true},
		"batch":  {Count: 25, Need: job.Resources{CPU: 6900, MemMB: 7000}, Estimate: 1900 * time.Millisecond},
	}
	for end := w.now.Add(span); w.now.Before(end); w.run(simTick) {
		for _, queue := range sortedKeys(rates) {
			for w.due[queue] += rates[queue] * simTick.Seconds(); w.due[queue] >= 1; w.due[queue]-- {
				s := steps[queue]
				s.Count = max(1, int(w.around(float64(s.Count))))
				s.Need.CPU = int64(w.around(float64(s.Need.CPU)))
				s.Estimate = time.Duration(w.around(float64(s.Estimate)))
				w.submit(queue, "a", s)
			}
		}
	}
}

// usedBySpeed returns the part of the CPU in use on the workers of each speed.
func (w *world) usedBySpeed() [3]float64 {
	var used, capacity [3]float64
	for _, s := range w.workers {
		used[speedOf(s.id)] += float64(s.runningCPU())
		capacity[speedOf(s.id)] += float64(s.capacity.CPU)
	}
	for i := range used {
		used[i] /= capacity[i]
	}
	return used
}
