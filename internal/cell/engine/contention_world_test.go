package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// contendedPolicy returns the declarations of a fleet with several teams. Without an adviser
// jobs start as soon as there is room.
func contendedPolicy(advised bool, teams ...policy.Team) *policy.Policy {
	p := &policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 3, Stretch: 1.5, LatencyTarget: 250 * time.Millisecond},
			{Name: "gangs", Service: "s", Priority: 1, Attempts: 2, Stretch: 2.2, LatencyTarget: time.Second},
			{Name: "batch", Service: "s", Priority: 2, Attempts: 2, Stretch: 4, LatencyTarget: 3 * time.Second},
		},
		Services: []policy.Service{{Name: "s"}},
		Teams:    teams,
	}
	if advised {
		ttl := 1500 * time.Millisecond
		p.Queues[0].Advice = &policy.AdviceCost{Base: 14300 * time.Microsecond, PerWorker: 208 * time.Microsecond, TicketTTL: ttl}
		p.Queues[1].Advice = &policy.AdviceCost{Base: 702 * time.Millisecond, PerWorker: 10 * time.Millisecond, TicketTTL: ttl}
		p.Queues[2].Advice = &policy.AdviceCost{Base: 130 * time.Millisecond, PerWorker: 1820 * time.Microsecond, TicketTTL: ttl}
	}
	return p.Index()
}

// newContendedWorld returns a world of workers of 32 cores whose engine admits jobs by who
// competes, or as before.
func newContendedWorld(t testing.TB, workers int, on bool, p *policy.Policy) *world {
	w := newWorld(t, workers, 7)
	w.policy, w.features.ContentionAdmission = p, on
	w.delegates = nil
	for i := range max(3, workers/7) {
		w.delegates = append(w.delegates, fmt.Sprintf("i%03d", i))
	}
	for _, s := range w.workers {
		s.capacity = job.Resources{CPU: 32_000, MemMB: 64_000}
	}
	w.startLeader()
	w.run(time.Second)
	return w
}

// traffic is a stream of jobs at even intervals.
type traffic struct {
	queue, team string
	rate        float64 // jobs per second
	step        job.Step
	vary        bool // the run times differ
}

// send submits streams of jobs for a span.
func (w *world) send(span time.Duration, streams ...traffic) {
	due := make([]float64, len(streams))
	for end := w.now.Add(span); w.now.Before(end); w.run(simTick) {
		for i, s := range streams {
			for due[i] += s.rate * simTick.Seconds(); due[i] >= 1; due[i]-- {
				step := s.step
				if s.vary {
					step.Estimate = time.Duration(w.around(float64(step.Estimate)))
				}
				w.submit(s.queue, s.team, step)
			}
		}
	}
}

// teamCounts counts jobs of a team by what their callers got.
type teamCounts struct {
	submitted, accepted, refused int
	started                      int // all tasks started within callerPatience
	inTime                       int
}

// callerPatience is how long callers wait for their jobs to start.
const callerPatience = 3 * time.Second

// countTeam counts the jobs of a team that were submitted from one time on, before another.
func (w *world) countTeam(team string, from, to time.Time) teamCounts {
	var c teamCounts
	for id, spec := range w.specs {
		at := w.submittedAt[id]
		if spec.Team != team || at.Before(from) || !at.Before(to) {
			continue
		}
		c.submitted++
		if w.accepted[id] {
			c.accepted++
		}
		if w.refused[id] && w.answers[id].RetryAfter > 0 {
			c.refused++
		}
		took, ended := w.turnaround[id]
		if ended && took-spec.Steps[0].Estimate <= callerPatience {
			c.started++
		}
		if ended && took <= objective(w.policy.Queue(spec.Queue), spec.Steps[0].Estimate) {
			c.inTime++
		}
	}
	return c
}

// teamCPU returns the CPU of a team's runs on the workers.
func (w *world) teamCPU(team string) int64 {
	used := int64(0)
	for _, s := range w.workers {
		for task, r := range s.runs {
			if id, _, _ := strings.Cut(task, "."); w.specs[id].Team == team {
				used += r.need.CPU
			}
		}
	}
	return used
}

// cpuLimit returns a limit of a number of cores.
func cpuLimit(cores int64) job.Resources { return job.Resources{CPU: 1000 * cores} }
