package engine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// largePolicy returns the declarations of a large fleet: urgent jobs of a few tasks, wide
// batch jobs, and wide gangs, each of which needs the adviser's tickets.
func largePolicy() *policy.Policy {
	ttl := 1500 * time.Millisecond
	p := &policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 3, Stretch: 1.5, LatencyTarget: 300 * time.Millisecond,
				Advice: &policy.AdviceCost{Base: 9 * time.Millisecond, PerWorker: 130 * time.Microsecond, TicketTTL: ttl}},
			{Name: "gangs", Service: "s", Priority: 1, Attempts: 2, Stretch: 2.2, LatencyTarget: time.Second,
				Advice: &policy.AdviceCost{Base: 620 * time.Millisecond, PerWorker: 8800 * time.Microsecond, TicketTTL: ttl}},
			{Name: "batch", Service: "s", Priority: 2, Attempts: 2, Stretch: 4, LatencyTarget: 3 * time.Second,
				Advice: &policy.AdviceCost{Base: 140 * time.Millisecond, PerWorker: 2 * time.Millisecond, TicketTTL: ttl}},
		},
		Services: []policy.Service{{Name: "s"}},
		Teams:    []policy.Team{{Name: "a"}},
	}
	return p.Index()
}

// newLargeWorld returns a world with workers of 32 cores and 128 GB and one delegate for
// every seven workers.
func newLargeWorld(t testing.TB, workers int) *world {
	return newLargeWorldOf(t, workers, largeWorldSeed)
}

// largeWorldSeed is the seed of a large world, and the first one of several.
const largeWorldSeed = 7

// newLargeWorldOf is newLargeWorld with a seed.
func newLargeWorldOf(t testing.TB, workers int, seed uint64) *world {
	w := newWorld(t, workers, seed)
	w.policy = largePolicy()
	w.delegates = nil
	for i := range workers / 7 {
		w.delegates = append(w.delegates, fmt.Sprintf("i%03d", i))
	}
	for _, s := range w.workers {
		s.capacity = job.Resources{CPU: 32_000, MemMB: 131_072}
	}
	w.startLeader()
	w.run(time.Second)
	return w
}

// submitFleetLoad submits the mix of jobs that keeps four fifths of the workers' CPU in
// use. urgentMultiplier scales the rate of urgent jobs.
func submitFleetLoad(w *world, span time.Duration, urgentMultiplier float64) {
	submitLoad(w, span, map[string]float64{"urgent": urgentMultiplier, "gangs": 1, "batch": 1})
}

// submitLoad submits the jobs of the usual load with the rate of each queue multiplied.
func submitLoad(w *world, span time.Duration, multipliers map[string]float64) {
	scale := float64(len(w.ids)) / 1100
	rates := map[string]float64{"urgent": 177 * scale, "gangs": 5.3 * scale, "batch": 11.2 * scale}
	for queue, multiplier := range multipliers {
		rates[queue] *= multiplier
	}
	for end := w.now.Add(span); w.now.Before(end); w.run(simTick) {
		for _, queue := range sortedKeys(rates) {
			for n := w.arrivals(rates[queue] * simTick.Seconds()); n > 0; n-- {
				w.submitOfMix(queue)
			}
		}
	}
}

// arrivals returns a random number of arrivals with the given mean.
func (w *world) arrivals(mean float64) int {
	n := 0
	for p := w.loadRand.Float64(); p > math.Exp(-mean); n++ {
		p *= w.loadRand.Float64()
	}
	return n
}

// around returns a random number with the given mean.
func (w *world) around(mean float64) float64 { return mean * (0.4 + 1.2*w.loadRand.Float64()) }

// submitOfMix submits a job of the queue with sizes around the means of the fleet's load.
func (w *world) submitOfMix(queue string) string {
	step := func(count, cores, memMB float64, estimate time.Duration) job.Step {
		return job.Step{Count: max(1, int(w.around(count))), Estimate: time.Duration(w.around(float64(estimate))),
			Need: job.Resources{CPU: int64(1000 * w.around(cores)), MemMB: int64(w.around(memMB))}}
	}
	var s job.Step
	switch queue {
	case "gangs":
		s = step(48, 9, 34_000, 6200*time.Millisecond)
		s.Gang = true
	case "batch":
		s = step(75, 5.5, 11_000, 2200*time.Millisecond)
	default:
		s = step(4, 7.8, 22_000, 640*time.Millisecond)
		s.Gang = w.loadRand.Float64() < 0.3
	}
	return w.submit(queue, "a", s)
}

// BenchmarkFleet plays a fleet at its usual load, then with a burst of wide jobs and then
// of urgent ones. It reports the share of the submitted jobs of each queue that end in
// time.
func BenchmarkFleet(b *testing.B) {
	for _, workers := range []int{300, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				w := newLargeWorld(b, workers)
				submitFleetLoad(w, 6*time.Second, 1)
				submitLoad(w, 4*time.Second, map[string]float64{"urgent": 1, "gangs": 1.8, "batch": 1.5})
				submitFleetLoad(w, 4*time.Second, 1)
				submitFleetLoad(w, 4*time.Second, 2)
				submitFleetLoad(w, 6*time.Second, 1)
				end := w.now
				w.run(15 * time.Second)
				b.ReportMetric(float64(w.starts), "starts")
				b.ReportMetric(float64(w.workersAsked), "asked")
				for _, queue := range []string{"urgent", "gangs", "batch"} {
					c := w.countJobs(queue, w.startTime, end)
					b.ReportMetric(float64(c.inTime)/float64(c.submitted), queue+"-in-time")
				}
			}
		})
	}
}

// For four seconds three times the usual urgent jobs arrive. Those that are accepted end in
// time, the others are refused at once with a delay, and once the usual load has returned,
// new urgent jobs start at once again.
func TestFleetServesABurstOfUrgentJobs(t *testing.T) {
	w := newLargeWorld(t, 220)
	submitFleetLoad(w, 4*time.Second, 1)
	burst := w.now
	submitFleetLoad(w, 4*time.Second, 3)
	after := w.now
	submitFleetLoad(w, 6*time.Second, 1)
	w.run(4 * time.Second)
	inBurst := w.countJobs("urgent", burst, after)
	later := w.countJobs("urgent", after.Add(3*time.Second), w.now)
	t.Logf("in the burst: %+v; from three seconds after it: %+v", inBurst, later)
	assert.GreaterOrEqual(t, float64(inBurst.inTime), 0.8*float64(inBurst.accepted), "what is accepted ends in time")
	assert.Equal(t, inBurst.submitted, inBurst.accepted+inBurst.refusedWithDelay, "each job is accepted or refused at once")
	assert.GreaterOrEqual(t, float64(later.inTime), 0.8*float64(later.submitted), "the queue has drained")
}

// jobCounts counts jobs by what their callers got.
type jobCounts struct{ submitted, accepted, refusedWithDelay, inTime int }

// countJobs counts the jobs of a queue that were submitted from one time on, before
// another.
func (w *world) countJobs(queue string, from, to time.Time) jobCounts {
	var c jobCounts
	q := w.policy.Queue(queue)
	for id, spec := range w.specs {
		at := w.submittedAt[id]
		if spec.Queue != queue || at.Before(from) || !at.Before(to) {
			continue
		}
		c.submitted++
		if w.accepted[id] {
			c.accepted++
		}
		if w.refused[id] && w.answers[id].RetryAfter > 0 {
			c.refusedWithDelay++
		}
		if took, ended := w.turnaround[id]; ended && took <= objective(q, spec.Steps[0].Estimate) {
			c.inTime++
		}
	}
	return c
}

// BenchmarkRound measures a placement round after about twenty tasks have ended on a full
// fleet, while 1,500 or 5,000 steps wait.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{300, 1100, 3000, 12_000} {
		for _, steps := range []int{1500, 5000} {
			b.Run(fmt.Sprintf("%d-workers-%d-steps", workers, steps), func(b *testing.B) { benchmarkRound(b, newLargeWorld(b, workers), steps, 0) })
		}
	}
}

// BenchmarkRoundWithSpeeds measures the same on a fleet of three speeds.
func BenchmarkRoundWithSpeeds(b *testing.B) {
	for _, steps := range []int{1500, 5000} {
		b.Run(fmt.Sprintf("12000-workers-%d-steps", steps), func(b *testing.B) {
			benchmarkRound(b, newWorldOfSpeeds(b, 12_000, true, 0.1), steps, 0)
		})
	}
}

// BenchmarkRoundWithGangs measures the same with 64 gangs that wait for resources on 100 good
// workers each, without and with backfill.
func BenchmarkRoundWithGangs(b *testing.B) {
	for _, workers := range []int{1100, 12_000} {
		for _, f := range []Features{{}, {Backfill: true}} {
			b.Run(fmt.Sprintf("%d-workers-backfill-%v", workers, f.Backfill), func(b *testing.B) {
				w := newLargeWorld(b, workers)
				w.features = f
				w.startLeader()
				w.run(time.Second)
				benchmarkRound(b, w, 1500, 64)
			})
		}
	}
}

// fillForRounds fills the fleet and adds steps that wait. It returns the runs.
func fillForRounds(w *world, steps int) []*run {
	e := w.engine
	var running []*run
	for _, worker := range e.workerList {
		s := w.addOpenJob("batch", tasks(4, 8000, time.Minute))
		for _, t := range s.tasks {
			e.planRun(t, worker, 1, ticket{})
			t.runs[0].startSent = true
			running = append(running, t.runs[0])
		}
	}
	for range steps {
		queue := "urgent"
		if w.rand.IntN(10) == 0 {
			queue = "batch"
		}
		w.addOpenJob(queue, tasks(4, 7800, time.Second))
	}
	return running
}

func benchmarkRound(b *testing.B, w *world, steps, gangs int) {
	e, running := w.engine, fillForRounds(w, steps)
	for n := range gangs {
		s := w.addOpenJob("gangs", gang(48, 9000, 6*time.Second))
		for i := range 100 {
			good := e.workerList[(n*37+i*11)%len(e.workerList)]
			s.markGood(good, ticket{incarnation: good.incarnation})
		}
	}
	placed := 0
	for b.Loop() {
		b.StopTimer()
		w.now = w.now.Add(10 * time.Millisecond)
		e.now = w.now
		for range 20 {
			i := w.rand.IntN(len(running))
			e.endRun(running[i], EndedDone, "", "benchmark")
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		b.StartTimer()
		e.place()
		b.StopTimer()
		actions := e.actions
		e.actions = nil
		for _, action := range actions {
			if call, ok := action.(*AdviceCall); ok {
				e.Handle(w.now, &AdviceAnswered{Call: call, OK: true, TTL: time.Second, Tickets: w.answerAdvice(call)})
			}
		}
		for _, s := range e.dirtySteps {
			s.dirtySegments = 0
			for _, t := range s.tasks {
				if len(t.runs) > 0 && !t.runs[0].startSent {
					t.runs[0].startSent = true
					running = append(running, t.runs[0])
					placed++
				}
			}
		}
		e.dirtySteps, e.batch = nil, &Append{}
		b.StartTimer()
	}
	b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
}

// addOpenJob adds a job with one step to the engine without admission or a record.
func (w *world) addOpenJob(queue string, step job.Step) *stepState {
	id := fmt.Sprintf("%016x", len(w.specs)+1)
	w.specs[id] = &job.Spec{ID: id, Queue: queue, Team: "a", Steps: []job.Step{step}}
	j := newJob(w.specs[id], w.now.UnixMilli())
	j.arrivedAt, j.stored = w.now, true
	w.engine.addJob(j)
	return j.occurrences[0].steps[0]
}

// submitEvenLoad submits the load of a fleet whose jobs are a third as wide, times multiplier.
// The intervals between the jobs of a queue are even, so that a short span has the usual
// share of wide jobs.
func submitEvenLoad(w *world, span time.Duration, multiplier float64) {
	scale := multiplier * float64(len(w.ids)) / 350
	rates := map[string]float64{"urgent": 100 * scale, "gangs": 4.2 * scale, "batch": 10.8 * scale}
	steps := map[string]job.Step{
		"urgent": {Count: 3, Need: job.Resources{CPU: 5000, MemMB: 14_000}, Estimate: 800 * time.Millisecond},
		"gangs":  {Count: 20, Need: job.Resources{CPU: 9000, MemMB: 34_000}, Estimate: 6200 * time.Millisecond, Gang: true},
		"batch":  {Count: 25, Need: job.Resources{CPU: 3500, MemMB: 7000}, Estimate: 3400 * time.Millisecond},
	}
	due := make(map[string]float64)
	for end := w.now.Add(span); w.now.Before(end); w.run(simTick) {
		for _, queue := range sortedKeys(rates) {
			for due[queue] += rates[queue] * simTick.Seconds(); due[queue] >= 1; due[queue]-- {
				s := steps[queue]
				s.Count = max(1, int(w.around(float64(s.Count))))
				s.Need.CPU = int64(w.around(float64(s.Need.CPU)))
				s.Estimate = time.Duration(w.around(float64(s.Estimate)))
				w.submit(queue, "a", s)
			}
		}
	}
}

// For four seconds twice the usual load of every kind arrives, 1.6 times what the workers can
// run. Urgent jobs go first and nearly all end in time; of the wide jobs that are accepted
// most do, and the others are refused at once with a delay. Once the usual load has returned
// the queue drains: new jobs of every kind end in time again.
func TestOverloadOfAllKindsDrains(t *testing.T) {
	w := newLargeWorld(t, 175)
	w.storeDelay = 10 * time.Millisecond
	submitEvenLoad(w, 8*time.Second, 1)
	burst := w.now
	submitEvenLoad(w, 4*time.Second, 2)
	after := w.now
	submitEvenLoad(w, 16*time.Second, 1)
	end := w.now
	w.run(25 * time.Second)
	for _, queue := range []string{"urgent", "gangs", "batch"} {
		inBurst := w.countJobs(queue, burst, after)
		later := w.countJobs(queue, after.Add(6*time.Second), end)
		t.Logf("%s, in the burst: %+v; from six seconds after it: %+v", queue, inBurst, later)
		assert.Equal(t, inBurst.submitted, inBurst.accepted+inBurst.refusedWithDelay, queue)
		assert.GreaterOrEqual(t, float64(inBurst.inTime), 0.8*float64(inBurst.accepted), queue)
		assert.GreaterOrEqual(t, float64(later.inTime), 0.8*float64(later.submitted), queue)
	}
}
