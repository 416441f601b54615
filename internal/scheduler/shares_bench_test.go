package scheduler

import (
	"math"
	"testing"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/shares"
)

const (
	backlogPerTeam  = 200
	shiftAt         = 300 * time.Second
	tenSecondsAfter = 10 * time.Second
	oneMinuteAfter  = time.Minute
	settledAfter    = 300 * time.Second
)

// BenchmarkPlaceShares keeps a fleet full. At first a third of the teams have no
// demand, and the others use their shares. At shiftAt all teams have unlimited demand.
// It reports the error of the teams' dominant shares, in percent of their weighted fair
// shares, before the shift, ten seconds and one minute after it, and when settled.
func BenchmarkPlaceShares(b *testing.B) {
	variants := []struct {
		name string
		o    options
	}{
		{"fifo", options{fifo: true}},
		{"order", options{noCeiling: true}},
		{"ceiling", options{}},
		{"reclaim", options{reclaim: true}},
		{"reclaim+faults", options{reclaim: true, wrongSizes: true, workersPerBroken: 50}},
		{"reclaim+faults+remedies", options{reclaim: true, wrongSizes: true, workersPerBroken: 50, estimates: true, quarantine: true}},
	}
	for _, workers := range []string{"1200", "12000"} {
		for _, v := range variants {
			b.Run("workers="+workers+"/policy="+v.name, func(b *testing.B) {
				v.o.workers = map[string]int{"1200": 1200, "12000": 12000}[workers]
				for b.Loop() {
					runShares(b, v.o)
				}
			})
		}
	}
}

func runShares(b *testing.B, o options) {
	x := newExperiment(o)
	nextRebalance := time.Duration(0)
	for _, phase := range []struct {
		name  string
		until time.Duration
	}{{"before", shiftAt - tick}, {"10s", shiftAt + tenSecondsAfter}, {"60s", shiftAt + oneMinuteAfter}, {"settled", shiftAt + settledAfter}} {
		for x.now < phase.until {
			x.refillBacklogs()
			if x.now >= nextRebalance {
				x.targets = x.rebalance()
				nextRebalance += time.Second
			}
			x.advance()
		}
		mean, worst := x.shareError()
		b.ReportMetric(100*mean, phase.name+"-mean-%")
		b.ReportMetric(100*worst, phase.name+"-worst-%")
	}
	b.ReportMetric(100*float64(x.failedStarts)/float64(x.starts), "failed-starts-%")
	b.ReportMetric(float64(x.preemptions)/x.now.Seconds(), "stops/s")
	b.ReportMetric(100*shares.DominantShare(x.s.Fleet.Used(), x.s.Fleet.Capacity()), "used-%")
	x.reportActualUsage(b)
}

// hasDemand reports whether a team submits tasks now.
func (x *experiment) hasDemand(i int) bool { return x.now >= shiftAt || i%3 != 0 }

// refillBacklogs keeps enough tasks waiting for every team with demand.
func (x *experiment) refillBacklogs() {
	if x.fifo {
		for x.q.Len() < backlogPerTeam*benchTeams {
			x.submitFor(x.rng.IntN(benchTeams))
		}
		return
	}
	for i := range benchTeams {
		x.refillBacklog(i)
	}
}

func (x *experiment) refillBacklog(i int) {
	wanted := backlogPerTeam
	if x.now == 0 {
		wanted = x.workers // enough to fill the fleet by share in the first tick
	}
	for x.hasDemand(i) && x.q.Waiting(teamName(i)) < wanted {
		x.submitFor(i)
	}
}

func (x *experiment) submitFor(i int) {
	if !x.hasDemand(i) {
		return
	}
	t := x.w.plainNext()
	template := x.w.templates[i+benchTeams*x.rng.IntN(templatesPerTeam)]
	t.Team, t.Job, t.Kind, t.Demand = template.Team, template.Job, template.Kind, template.Demand
	x.submit(t)
}

// fairShares returns each team's fair share of the capacity in use.
func (x *experiment) fairShares() map[model.TeamID]float64 {
	claims := make([]shares.Claim, benchTeams)
	total := 0.0
	for i := range claims {
		a := x.accounts.Account(teamName(i))
		wanted := a.DominantShare()
		total += wanted
		if x.hasDemand(i) {
			wanted = 1
		}
		claims[i] = shares.Claim{Team: a.Team, Weight: a.Weight(), WantedShare: wanted}
	}
	out := make(map[model.TeamID]float64, benchTeams)
	for _, t := range shares.Targets(claims, total) {
		out[t.Team] = t.Share
	}
	return out
}

// rebalance sets the queue's ceilings, unless the experiment has none, and returns the
// teams' target shares.
func (x *experiment) rebalance() map[model.TeamID]float64 {
	if x.fifo || x.noCeiling {
		return x.fairShares()
	}
	out := make(map[model.TeamID]float64, benchTeams)
	for _, t := range x.q.Rebalance() {
		out[t.Team] = t.Share
	}
	return out
}

// shareError returns the mean and the maximum error of the dominant shares of teams
// with demand, relative to their fair shares.
func (x *experiment) shareError() (mean, worst float64) {
	fair := x.fairShares()
	count := 0
	for i := range benchTeams {
		if !x.hasDemand(i) {
			continue
		}
		a := x.accounts.Account(teamName(i))
		relative := math.Abs(a.DominantShare()-fair[a.Team]) / fair[a.Team]
		mean += relative
		worst = max(worst, relative)
		count++
	}
	return mean / float64(count), worst
}

// reportActualUsage reports the actual usage of all tasks, and the percentage of workers
// whose tasks use more than their capacity.
func (x *experiment) reportActualUsage(b *testing.B) {
	var total model.Resources
	overloaded := 0
	for _, n := range x.s.Fleet.Nodes() {
		var used model.Resources
		for _, a := range n.Allocations() {
			used = used.Add(x.profiles[a.Task.ID].usage)
		}
		total = total.Add(used)
		if !used.Fits(n.Worker.Capacity) {
			overloaded++
		}
	}
	b.ReportMetric(100*shares.DominantShare(total, x.s.Fleet.Capacity()), "true-use-%")
	b.ReportMetric(100*float64(overloaded)/float64(len(x.s.Fleet.Nodes())), "overloaded-%")
}
