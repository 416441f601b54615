package scheduler

import (
	"math"
	"testing"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/shares"
)

const (
	backlogPerTeam = 200
	shiftAt        = 300 * time.Second
	shortlyAfter   = 10 * time.Second
	aMinute        = time.Minute
	settledAfter   = 300 * time.Second
)

// BenchmarkPlaceShares keeps a fleet full. A third of the teams want nothing at
// first, the others borrow their part; then all want all they can get. It reports
// the distance of teams from their weighted fair part, in percent of it, before
// the shift, ten seconds after it and when settled.
func BenchmarkPlaceShares(b *testing.B) {
	variants := []struct {
		name string
		o    options
	}{
		{"fifo", options{fifo: true}},
		{"order", options{noCeiling: true}},
		{"ceiling", options{}},
		{"reclaim", options{reclaim: true}},
		{"reclaim+faults", options{reclaim: true, wrongSizes: true, brokenEvery: 50}},
		{"reclaim+faults+remedies", options{reclaim: true, wrongSizes: true, brokenEvery: 50, estimates: true, quarantine: true}},
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
	next := time.Duration(0)
	for _, phase := range []struct {
		name  string
		until time.Duration
	}{{"before", shiftAt - tick}, {"10s", shiftAt + shortlyAfter}, {"60s", shiftAt + aMinute}, {"settled", shiftAt + settledAfter}} {
		for x.now < phase.until {
			x.topUp()
			if x.now >= next {
				x.targets = x.rebalance()
				next += time.Second
			}
			x.advance()
		}
		mean, worst := x.distance()
		b.ReportMetric(100*mean, phase.name+"-mean-%")
		b.ReportMetric(100*worst, phase.name+"-worst-%")
	}
	b.ReportMetric(100*float64(x.fails)/float64(x.starts), "failed-starts-%")
	b.ReportMetric(float64(x.stops)/x.now.Seconds(), "stops/s")
	b.ReportMetric(100*shares.DominantShare(x.s.Fleet.Used(), x.s.Fleet.Capacity()), "used-%")
	x.reportTrueUse(b)
}

// wants reports whether a team wants anything now.
func (x *experiment) wants(i int) bool { return x.now >= shiftAt || i%3 != 0 }

// topUp keeps enough waiting for every team that wants anything.
func (x *experiment) topUp() {
	if x.fifo {
		for x.q.Len() < backlogPerTeam*benchTeams {
			x.submitFor(x.rng.IntN(benchTeams))
		}
		return
	}
	for i := range benchTeams {
		x.topUpTeam(i)
	}
}

func (x *experiment) topUpTeam(i int) {
	wanted := backlogPerTeam
	if x.now == 0 {
		wanted = x.workers // enough to fill the fleet by share at once
	}
	for x.wants(i) && x.q.Waiting(teamName(i)) < wanted {
		x.submitFor(i)
	}
}

func (x *experiment) submitFor(i int) {
	if !x.wants(i) {
		return
	}
	t := x.w.plainNext()
	template := x.w.templates[i+benchTeams*x.rng.IntN(templatesByTeam)]
	t.Team, t.Job, t.Kind, t.Demand = template.Team, template.Job, template.Kind, template.Demand
	x.submit(t)
}

// fairParts returns each team's fair part of what is in use.
func (x *experiment) fairParts() map[model.TeamID]float64 {
	claims := make([]shares.Claim, benchTeams)
	total := 0.0
	for i := range claims {
		a := x.book.Account(teamName(i))
		wanted := a.DominantShare()
		total += wanted
		if x.wants(i) {
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

// rebalance sets the queue's ceilings, unless it is the baseline, and returns the
// targets.
func (x *experiment) rebalance() map[model.TeamID]float64 {
	if x.fifo || x.noCeiling {
		return x.fairParts()
	}
	out := make(map[model.TeamID]float64, benchTeams)
	for _, t := range x.q.Rebalance() {
		out[t.Team] = t.Share
	}
	return out
}

// distance returns the mean and the worst distance of teams that want anything
// from their fair part, in relation to it.
func (x *experiment) distance() (mean, worst float64) {
	fair := x.fairParts()
	count := 0
	for i := range benchTeams {
		if !x.wants(i) {
			continue
		}
		a := x.book.Account(teamName(i))
		distance := math.Abs(a.DominantShare()-fair[a.Team]) / fair[a.Team]
		mean += distance
		worst = max(worst, distance)
		count++
	}
	return mean / float64(count), worst
}

// reportTrueUse reports what tasks really use: in all, and how many workers run
// more than they have.
func (x *experiment) reportTrueUse(b *testing.B) {
	var total model.Resources
	overloaded := 0
	for _, n := range x.s.Fleet.Nodes() {
		var used model.Resources
		for _, a := range n.Allocations() {
			used = used.Add(x.truths[a.Task.ID].usage)
		}
		total = total.Add(used)
		if !used.Fits(n.Worker.Capacity) {
			overloaded++
		}
	}
	b.ReportMetric(100*shares.DominantShare(total, x.s.Fleet.Capacity()), "true-use-%")
	b.ReportMetric(100*float64(overloaded)/float64(len(x.s.Fleet.Nodes())), "overloaded-%")
}
