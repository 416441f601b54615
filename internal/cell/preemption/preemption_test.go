package preemption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/job"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func cores(n float64) job.Resources {
	return job.Resources{CPU: int64(1000 * n), MemMB: int64(100 * n)}
}

// batch returns a run of 3.5 cores of a lower priority that ends in the given time and loses 0.3 s.
func batch(remaining float64) Run {
	return Run{Resources: cores(3.5), Priority: 2, Remaining: seconds(remaining), Lost: seconds(0.3), Timely: true}
}

// with returns batch(5) with a change.
func with(change func(r *Run)) Run {
	r := batch(5)
	change(&r)
	return r
}

// worker returns a candidate with free cores and runs.
func worker(free float64, runs ...Run) Worker {
	return Worker{Free: cores(free), Runs: runs, MaxTasks: 10}
}

// Each case guards against a stop that gains nothing, loses too much or breaks a condition of the
// page, or against a stop that is missed.
func TestChoose(t *testing.T) {
	usual := Request{Need: cores(5), Count: 1, Runtime: time.Second, LatestStart: seconds(0.6), StopTime: seconds(0.2), MaxCPU: 100_000}
	req := func(change func(r *Request)) Request {
		r := usual
		change(&r)
		return r
	}
	for _, c := range []struct {
		name    string
		req     Request
		workers []Worker
		want    []Share
	}{
		{"one run beside free cores", usual, []Worker{worker(2, batch(5))}, []Share{{0, 1, []int{0}}}},
		{"two runs where nothing is free", usual, []Worker{worker(0, batch(5), batch(6))}, []Share{{0, 1, []int{0, 1}}}},
		{"where the fewest cores are lost", usual, []Worker{worker(0, batch(5), batch(5)), worker(2, batch(5))}, []Share{{1, 1, []int{0}}}},
		{"the run that loses least", usual, []Worker{worker(2, with(func(r *Run) { r.Lost = seconds(0.5) }), batch(5))}, []Share{{0, 1, []int{1}}}},
		{"the lowest priority among equals", usual, []Worker{worker(2, with(func(r *Run) { r.Priority = 1 }), batch(5))}, []Share{{0, 1, []int{1}}}},
		{"no small run that turns out not to be needed", usual, []Worker{worker(0.5, with(func(r *Run) { r.Resources = cores(1) }), with(func(r *Run) { r.Resources = cores(4.5) }))}, []Share{{0, 1, []int{1}}}},
		{"nothing if it fits now", usual, []Worker{worker(5, batch(5)), worker(2, batch(5))}, nil},
		{"nothing if a run ends soon enough", usual, []Worker{worker(2, batch(0.55), batch(5))}, nil},
		{"nothing if a gang's run ends soon enough on another worker", usual, []Worker{worker(2, batch(5)), worker(2, with(func(r *Run) { r.Gang, r.Remaining = true, seconds(0.1) }))}, nil},
		{"with what ends before the latest start", usual, []Worker{worker(0, batch(0.4), batch(5))}, []Share{{0, 1, []int{1}}}},
		{"nothing if a stop takes too long", req(func(r *Request) { r.LatestStart = seconds(0.2) }), []Worker{worker(2, batch(5))}, nil},
		{"nothing if the step is late already", req(func(r *Request) { r.LatestStart = seconds(-1) }), []Worker{worker(2, batch(5))}, nil},
		{"nothing if half of the gain is lost", usual, []Worker{worker(2, with(func(r *Run) { r.Lost = seconds(0.72) }))}, nil},
		{"up to half of the gain", usual, []Worker{worker(2, with(func(r *Run) { r.Lost = seconds(0.71) }))}, []Share{{0, 1, []int{0}}}},
		{"nothing for short tasks", req(func(r *Request) { r.Runtime = seconds(0.3) }), []Worker{worker(0, batch(5), batch(5))}, nil},
		{"no run that ends within a stop and the margin", req(func(r *Request) { r.LatestStart = seconds(0.3) }), []Worker{worker(2, batch(0.49))}, nil},
		{"a run that ends later", req(func(r *Request) { r.LatestStart = seconds(0.3) }), []Worker{worker(2, batch(0.51))}, []Share{{0, 1, []int{0}}}},
		{"no member of a gang", usual, []Worker{worker(2, with(func(r *Run) { r.Gang = true }))}, nil},
		{"no run that was preempted before", usual, []Worker{worker(2, with(func(r *Run) { r.Preempted = true }))}, nil},
		{"no run that becomes too late", usual, []Worker{worker(2, with(func(r *Run) { r.Timely = false }))}, nil},
		{"no run of the same priority", usual, []Worker{worker(2, with(func(r *Run) { r.Priority = 0 }))}, nil},
		{"no run that is being stopped or is in doubt", usual, []Worker{worker(2, with(func(r *Run) { r.Fixed = true }))}, nil},
		{"no more than may be preempted", req(func(r *Request) { r.MaxCPU = 6000 }), []Worker{worker(0, batch(5), batch(5))}, nil},
		{"not on a worker that may get no task", usual, []Worker{{Free: cores(2), Runs: []Run{batch(5)}}}, nil},
		{"on a worker that is used beyond its capacity", usual, []Worker{worker(-2, batch(5), batch(5))}, []Share{{0, 1, []int{0, 1}}}},
		{"memory counts too", req(func(r *Request) { r.Need.MemMB = 5000 }), []Worker{worker(2, batch(5))}, nil},
		{"all tasks, on several workers", req(func(r *Request) { r.Count = 3 }), []Worker{worker(2, batch(5)), worker(2, batch(5)), worker(1.5, batch(5))}, []Share{{0, 1, []int{0}}, {1, 1, []int{0}}, {2, 1, []int{0}}}},
		{"several tasks on one worker", req(func(r *Request) { r.Count = 2 }), []Worker{worker(3, batch(5), batch(5))}, []Share{{0, 2, []int{0, 1}}}},
		{"only for the tasks that do not start anyway", req(func(r *Request) { r.Count = 2 }), []Worker{worker(2, batch(0.5)), worker(2, batch(5))}, []Share{{1, 1, []int{0}}}},
		{"nothing if one of the tasks is late with it too", req(func(r *Request) { r.Count = 2 }), []Worker{worker(2, batch(5))}, nil},
		{"at most as many tasks as a worker may get", req(func(r *Request) { r.Count = 2 }), []Worker{{Free: cores(3), Runs: []Run{batch(5), batch(5)}, MaxTasks: 1}}, nil},
		{"if more urgent steps take the end", req(func(r *Request) { r.Ahead = 1 }), []Worker{worker(2, batch(0.5)), worker(2, batch(5))}, []Share{{1, 1, []int{0}}}},
		{"nothing if enough ends for these too", req(func(r *Request) { r.Ahead = 1 }), []Worker{worker(2, batch(0.5)), worker(2, batch(0.4)), worker(2, batch(5))}, nil},
		{"only for its own tasks, however many are ahead", req(func(r *Request) { r.Ahead = 9 }), []Worker{worker(2, batch(5)), worker(2, batch(5))}, []Share{{0, 1, []int{0}}}},
		{"nothing without tasks", req(func(r *Request) { r.Count = 0 }), []Worker{worker(2, batch(5))}, nil},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, Choose(c.req, c.workers)) })
	}
}
