package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollenbend/internal/cell/policy"
)

// newContendedFleet returns a world of workers of 32 cores and one delegate for every seven of
// them, with 20 teams that are entitled to the usual load together.
func newContendedFleet(tb testing.TB, workers int, f Features) *world {
	teams := make([]policy.Team, 20)
	for i := range teams {
		teams[i] = policy.Team{Name: fmt.Sprintf("t%02d", i), Weight: 6 * float64(workers) / 350}
	}
	teams = append(teams, policy.Team{Name: "a"})
	w := newContendedWorld(tb, workers, f.ContentionAdmission, contendedPolicy(true, teams...))
	w.features = f
	w.startLeader()
	w.run(time.Second)
	return w
}

// sendContendedLoad submits the load of the deployment with too little capacity: multiplier
// times the usual one, and five times its part from one team.
func (w *world) sendContendedLoad(span time.Duration, multiplier float64) {
	scale := multiplier * float64(len(w.ids)) / 350
	streams := []traffic{{queue: "urgent", team: "t00", rate: 18 * scale, step: tasks(3, 5000, time.Second), vary: true}}
	for i, t := range w.policy.Teams {
		if t.Name == "a" {
			continue
		}
		urgent := tasks(3, 5000, time.Second)
		urgent.Gang = i%3 == 0
		streams = append(streams, traffic{queue: "urgent", team: t.Name, rate: 4.4 * scale, step: urgent, vary: true})
		if i%5 == 0 { // four teams send the wide jobs
			streams = append(streams,
				traffic{queue: "gangs", team: t.Name, rate: 0.95 * scale, step: gang(20, 9000, 6200*time.Millisecond), vary: true},
				traffic{queue: "batch", team: t.Name, rate: 2.5 * scale, step: tasks(25, 3500, 2700*time.Millisecond), vary: true})
		}
	}
	w.send(span, streams...)
}

// addBacklog adds jobs that were accepted by earlier leaders: 400 steps with work for the whole
// fleet, as on the days with an outage.
func (w *world) addBacklog() {
	for i := range 400 {
		switch {
		case i%8 == 0:
			w.addOpenJob("gangs", gang(5+i%30, 9000, 6200*time.Millisecond))
		case i%8 == 1:
			w.addOpenJob("urgent", tasks(3, 5000, time.Second))
		default:
			w.addOpenJob("batch", tasks(3+i%40, int64(2000+i%5*1000), 2700*time.Millisecond))
		}
	}
}

// measureRounds records the duration of each placement round of the leader.
func (w *world) measureRounds(rounds *[]time.Duration) {
	var start time.Time
	w.engine.cfg.Now = func() time.Time { // called before and after each round
		if start.IsZero() {
			start = time.Now()
		} else {
			*rounds, start = append(*rounds, time.Since(start)), time.Time{}
		}
		return w.now
	}
}

// BenchmarkContendedFleet plays a fleet with 1.3 times the work that it can do, and reports the
// duration of the placement rounds with sets of features.
func BenchmarkContendedFleet(b *testing.B) {
	for _, c := range []struct {
		name string
		f    Features
	}{
		{"none", Features{}},
		{"learned-speed", Features{LearnedRuntimes: true, SpeedPlacement: true}},
		{"backfill", Features{Backfill: true}},
		{"contention-admission", Features{ContentionAdmission: true}},
		{"all", allFeatures},
	} {
		b.Run(c.name, func(b *testing.B) {
			var rounds []time.Duration
			open := 0
			for b.Loop() {
				w := newContendedFleet(b, 350, c.f)
				w.sendContendedLoad(3*time.Second, 1)
				w.addBacklog()
				w.measureRounds(&rounds)
				w.sendContendedLoad(3*time.Second, 1)
				open = len(w.engine.openSteps)
			}
			slices.Sort(rounds)
			sum := time.Duration(0)
			for _, d := range rounds {
				sum += d
			}
			n := len(rounds)
			b.ReportMetric(float64(sum.Microseconds())/float64(n), "us/round")
			b.ReportMetric(float64(rounds[n/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(rounds[n*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(n)/float64(b.N), "rounds")
			b.ReportMetric(float64(open), "open-steps")
		})
	}
}
