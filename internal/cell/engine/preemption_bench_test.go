package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollenbend/internal/cell/policy"
)

// BenchmarkPreemptionRound measures a placement round on a full fleet, with and without preemption,
// while steps wait, a quarter of them urgent. No run ends soon, so in each round as many urgent steps as
// a round examines have runs stopped for them, which is undone after it: that is the longest that a
// round can take for it.
func BenchmarkPreemptionRound(b *testing.B) {
	for _, workers := range []int{350, 12_000} {
		for _, steps := range []int{100, 400} {
			for _, others := range []bool{false, true} {
				for _, on := range []bool{false, true} {
					f := Features{Preemption: on}
					if others {
						f = withPreemption(on)
					}
					b.Run(fmt.Sprintf("%d-workers-%d-steps-others-%v-preemption-%v", workers, steps, others, on), func(b *testing.B) {
						benchmarkPreemptionRound(b, workers, steps, f)
					})
				}
			}
		}
	}
}

func benchmarkPreemptionRound(b *testing.B, workers, steps int, f Features) {
	w := newContendedWorld(b, workers, f.ContentionAdmission, contendedPolicy(true, policy.Team{Name: "a", Weight: 100_000}))
	w.features = f
	w.startLeader()
	w.run(time.Second)
	e := w.engine
	for _, x := range e.workerList {
		step := tasks(9, 3500, time.Hour)
		step.Checkpoints = true
		s := w.addOpenJob("batch", step)
		for _, t := range s.tasks {
			r := e.planRun(t, x, 1, ticket{})
			r.phase, r.startSent, r.startSentAt = running, true, e.now.Add(-time.Minute)
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	var urgent []*stepState
	for i := range steps {
		queue, step := "batch", tasks(25, 3500, 2700*time.Millisecond)
		switch i % 4 {
		case 0:
			queue, step = "urgent", tasks(3, 5000, time.Second)
		case 1:
			queue, step = "gangs", gang(20, 9000, 6200*time.Millisecond)
		}
		s := w.addOpenJob(queue, step)
		for _, k := range r.Perm(workers)[:100+r.IntN(140)] {
			x := e.workerList[k]
			s.markGood(x, ticket{value: "t", incarnation: x.incarnation, validUntil: e.now.Add(24 * time.Hour)})
		}
		s.advice.callsInFlight = 1 // no further calls
		if queue == "urgent" {
			urgent = append(urgent, s)
		}
	}
	stopped := 0
	for b.Loop() {
		e.now = e.now.Add(5 * time.Millisecond)
		for _, s := range urgent {
			s.urgency.Arrived = e.now
		}
		e.place()
		e.contentionAfterRound()
		stopped += len(e.preemption.stopped)
		for _, r := range e.preemption.stopped {
			r.phase, r.stopInFlight, r.task.preempted = running, false, false
		}
		e.actions, e.preemption.stopped, e.preemption.freed = nil, nil, nil
	}
	b.ReportMetric(float64(stopped)/float64(b.N), "stops/op")
}
