package engine

import (
	"fmt"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// BenchmarkAdmit measures the decision on an urgent job, with one submission every millisecond,
// on a fleet of which nine tenths are in use, while 200 steps wait.
func BenchmarkAdmit(b *testing.B) {
	for _, workers := range []int{350, 12_000} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d-workers-contention-%v", workers, on), func(b *testing.B) { benchmarkAdmit(b, workers, on) })
		}
	}
}

func benchmarkAdmit(b *testing.B, workers int, on bool) {
	w := newContendedWorld(b, workers, on, contendedPolicy(true, policy.Team{Name: "a", Weight: 1000}))
	e := w.engine
	for i, worker := range e.workerList {
		s := w.addOpenJob("batch", tasks(1, int64(20_000+i%12*1000), time.Minute))
		e.planRun(s.tasks[0], worker, 1, ticket{})
	}
	for range 200 {
		w.addOpenJob("urgent", tasks(4, 7800, time.Second))
	}
	spec := &job.Spec{ID: "00000000000000ff", Queue: "urgent", Team: "a", Steps: []job.Step{tasks(3, 5000, time.Second)}}
	e.place()
	for b.Loop() {
		e.now = e.now.Add(time.Millisecond)
		e.admit(spec)
		e.contentionAfterRound()
	}
}
