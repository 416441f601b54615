package engine

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// preemptionLoad is a load like that of the deployment with too little capacity, on 60 workers.
// Estimates are exact and run times vary by 0.25 around them; processor time is not counted.
type preemptionLoad struct {
	load   float64 // relative to the usual one
	burst  float64 // of urgent jobs, relative to load, for 3 of every 8 s
	batch  float64 // batch jobs relative to load
	noGang bool    // no wide gangs
}

// preemptionCounts is what callers got of a load.
type preemptionCounts struct {
	urgent, gangs, batch jobCounts
	preempted            int
}

func (c *preemptionCounts) add(o preemptionCounts) {
	for _, p := range [][2]*jobCounts{{&c.urgent, &o.urgent}, {&c.gangs, &o.gangs}, {&c.batch, &o.batch}} {
		p[0].submitted += p[1].submitted
		p[0].accepted += p[1].accepted
		p[0].refusedWithDelay += p[1].refusedWithDelay
		p[0].inTime += p[1].inTime
	}
	c.preempted += o.preempted
}

const preemptionLoadWorkers = 60

// play plays the load for a span.
func (l preemptionLoad) play(t testing.TB, f Features, seed uint64, span time.Duration) preemptionCounts {
	w := newContendedWorld(t, preemptionLoadWorkers, f.ContentionAdmission, contendedPolicy(true, policy.Team{Name: "a", Weight: 1000}, policy.Team{Name: "b", Weight: 1000}))
	w.loadRand, w.features = rand.New(rand.NewPCG(seed, 2)), f
	w.restoreTime, w.storeDelay = restoreTime, 5*time.Millisecond
	good := map[string]uint64{"urgent": 70, "gangs": 25, "batch": 45}
	w.isGood = func(step job.StepRef, worker string) bool {
		return hashOf(step.String()+worker)%100 < good[w.specs[step.Job].Queue]
	}
	w.runtime = func(ref job.TaskRef, step *job.Step) time.Duration {
		r := rand.New(rand.NewPCG(seed, hashOf(ref.String()))) // the same whatever the engine does
		return scale(step.Estimate, math.Exp(0.25*r.NormFloat64()))
	}
	w.useNetwork(seed) // its workers save checkpoints, and it checks the rules of runs
	var c preemptionCounts
	w.engine.cfg.CountPreempted = func() { c.preempted++; checkPreempted(t, w.engine) }
	w.run(time.Second)
	part := l.load * preemptionLoadWorkers / 350
	rates := map[string]float64{"urgent": 88 * part, "gangs": 3.8 * 1.2 * part, "batch": 9.9 * 1.5 * l.batch * part}
	if l.noGang {
		delete(rates, "gangs")
	}
	from := w.now
	for end := w.now.Add(span); w.now.Before(end); w.run(simTick) {
		for _, queue := range sortedKeys(rates) {
			rate := rates[queue]
			if queue == "urgent" && w.now.Sub(from)%(8*time.Second) > 5*time.Second {
				rate *= l.burst
			}
			for range w.arrivals(rate * simTick.Seconds()) {
				w.submit(queue, []string{"a", "b"}[w.loadRand.IntN(2)], w.preemptionStep(queue))
			}
		}
	}
	to := w.now
	w.run(20 * time.Second)
	c.urgent, c.gangs, c.batch = w.countJobs("urgent", from, to), w.countJobs("gangs", from, to), w.countJobs("batch", from, to)
	return c
}

// preemptionStep returns a step of the load.
func (w *world) preemptionStep(queue string) job.Step {
	var s job.Step
	switch queue {
	case "gangs":
		s = gang(20, 9000, 6200*time.Millisecond)
		s.Checkpoints = w.loadRand.IntN(2) == 0
	case "batch":
		s = tasks(25, 3500, 2700*time.Millisecond)
		s.Checkpoints = w.loadRand.IntN(5) > 0
	default:
		s = tasks(3, 5000, time.Second)
		s.Gang = w.loadRand.IntN(10) < 3
	}
	s.Count = max(1, int(w.around(float64(s.Count))))
	s.Estimate = time.Duration(w.around(float64(s.Estimate)))
	return s
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s)
	return h.Sum64()
}

// checkPreempted checks the bounds that hold whatever the load, when a run is about to be stopped.
func checkPreempted(t testing.TB, e *Engine) {
	r := e.preemption.stopped[len(e.preemption.stopped)-1]
	s := r.task.step
	assert.False(t, s.spec.Gang, "a member of a gang")
	assert.Positive(t, e.queueOf(s.job()).Priority, "a run of the highest priority")
	assert.Equal(t, running, r.phase)
	cpu, times := int64(0), 0
	for _, o := range e.preemption.stopped {
		if !o.ended {
			cpu += o.charge.CPU
		}
		if o.task == r.task {
			times++
		}
	}
	assert.Equal(t, 1, times)
	assert.LessOrEqual(t, float64(cpu), maxPreemptedRatio*preemptionLoadWorkers*32_000)
}

// withPreemption returns the features that change placement or admission, with preemption or without it.
func withPreemption(preemption bool) Features {
	f := allFeatures
	f.Preemption = preemption
	return f
}

// Guards against preemption that does not pay: under 1.3 times the usual load, with four times the
// urgent jobs for 3 of every 8 s, more urgent jobs end in time and about as many batch jobs. Without
// bursts hardly an urgent job waits, so nothing is lost.
func TestPreemptionHelpsUrgentJobs(t *testing.T) {
	for _, c := range []struct {
		name string
		load preemptionLoad
		gain float64 // least part of the submitted urgent jobs that are in time besides
	}{
		{"bursts", preemptionLoad{load: 1.3, burst: 4, batch: 1}, 0.01},
		{"even", preemptionLoad{load: 1.3, burst: 1, batch: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var off, on preemptionCounts
			for seed := uint64(101); seed <= 103; seed++ {
				off.add(c.load.play(t, withPreemption(false), seed, 24*time.Second))
				on.add(c.load.play(t, withPreemption(true), seed, 24*time.Second))
			}
			t.Logf("without %+v\nwith %+v", off, on)
			assert.Zero(t, off.preempted)
			assert.GreaterOrEqual(t, float64(on.urgent.inTime-off.urgent.inTime), c.gain*float64(off.urgent.submitted))
			assert.GreaterOrEqual(t, float64(on.batch.inTime), 0.97*float64(off.batch.inTime))
		})
	}
}

// TestPreemptionTrial prints the figures of docs/design/preemption.md if PREEMPTION_SEEDS tells how
// many seeds to play.
func TestPreemptionTrial(t *testing.T) {
	seeds, err := strconv.ParseUint(os.Getenv("PREEMPTION_SEEDS"), 10, 64)
	if err != nil {
		t.Skip("PREEMPTION_SEEDS is not set")
	}
	for _, l := range []preemptionLoad{{1.3, 1, 1, false}, {1.3, 4, 1, false}, {1.3, 2, 3, true}} {
		for _, names := range []string{"", "learned-runtimes,speed-placement", "learned-runtimes,speed-placement,backfill,contention-admission,headroom"} {
			var counts [2]preemptionCounts
			for seed := uint64(101); seed <= 100+seeds; seed++ {
				for i := range counts {
					f, err := ParseFeatures(names)
					assert.NoError(t, err)
					f.Preemption = i == 1
					counts[i].add(l.play(t, f, seed, 24*time.Second))
				}
			}
			fmt.Printf("%+v %q\n  off %+v\n  on  %+v\n", l, names, counts[0], counts[1])
		}
	}
}
