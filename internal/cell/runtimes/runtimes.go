// Package runtimes learns from finished runs how long tasks take and how fast the
// workers are. It is designed for callers whose estimates are wrong by a factor of two,
// for tasks of which a few in a hundred take many times as long as the others, and for
// workers of different speeds.
package runtimes

import "time"

// Task holds what is known of a task before it runs.
type Task struct {
	Queue    string
	Team     string
	Image    string
	Step     string        // name of the step, whose tasks resemble each other
	CPU      int64         // of the task, in thousandths of a core
	Estimate time.Duration // the caller's estimate
}

// Model is what has been learned. The zero value has learned nothing. It is not safe for
// concurrent use.
type Model struct{}

// Expectation is the distribution of the run time of a task on a worker.
type Expectation struct{ median time.Duration }

// Observe adds a run of t on a worker that has succeeded and worked for the given time.
func (m *Model) Observe(t Task, worker string, took time.Duration) {}

// Expect returns the expected run time of t on a worker. An empty worker stands for one
// of ordinary speed.
func (m *Model) Expect(t Task, worker string) Expectation { return Expectation{t.Estimate} }

// Slowness returns the run time on a worker as a multiple of that on one of ordinary
// speed. It is 1 for a worker of which nothing is known.
func (m *Model) Slowness(worker string) float64 { return 1 }

// Quantile returns the run time that a task does not exceed with probability p.
func (x Expectation) Quantile(p float64) time.Duration { return x.median }

// Remaining returns the time that a task which has worked for the given time still takes
// and does not exceed with probability p.
func (x Expectation) Remaining(worked time.Duration, p float64) time.Duration {
	return max(0, x.median-worked)
}
