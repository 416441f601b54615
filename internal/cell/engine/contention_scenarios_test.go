package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/policy"
)

// urgentTasks are the first tasks of an urgent job in these tests: 15 core-seconds.
var urgentTasks = tasks(3, 5000, time.Second)

// overloadByOneTeam has one team send five times its entitlement for 8 s beside other teams
// that fill the fleet, with a change of the leader in the middle if wanted. It returns what
// the callers of that team and of the others got.
func overloadByOneTeam(t *testing.T, on, advised, newLeader bool) (greedy, b, c teamCounts) {
	w := newContendedWorld(t, 60, on, contendedPolicy(advised, policy.Team{Name: "greedy", Weight: 12}, policy.Team{Name: "b", Weight: 60}, policy.Team{Name: "c", Weight: 30}))
	w.storeDelay = 5 * time.Millisecond
	usual := []traffic{
		{queue: "urgent", team: "b", rate: 50, step: urgentTasks},
		{queue: "gangs", team: "c", rate: 1.6, step: gang(10, 9000, 3*time.Second)},
		{queue: "batch", team: "c", rate: 2.1, step: tasks(25, 3500, 2700*time.Millisecond)},
	}
	w.send(5*time.Second, append(usual, traffic{queue: "urgent", team: "greedy", rate: 12, step: urgentTasks})...)
	from := w.now
	burst := append(usual, traffic{queue: "urgent", team: "greedy", rate: 60, step: urgentTasks})
	w.send(4*time.Second, burst...)
	if newLeader {
		w.startLeader()
	}
	w.send(4*time.Second, burst...)
	to := w.now
	w.send(5*time.Second, append(usual, traffic{queue: "urgent", team: "greedy", rate: 12, step: urgentTasks})...)
	w.run(25 * time.Second)
	return w.countTeam("greedy", from, to), w.countTeam("b", from, to), w.countTeam("c", from, to)
}

// A team that sends five times its entitlement got hundreds of jobs accepted that never started,
// since admission did not count the work that is placed before them. Its accepted jobs must
// start before their callers stop waiting, the others be refused at once, and the other teams'
// jobs end in time as without the feature, also if the leader changes in the middle.
func TestAcceptedJobsOfAGreedyTeamNeverStart(t *testing.T) {
	for _, c := range []struct{ advised, newLeader bool }{{}, {advised: true}, {newLeader: true}, {advised: true, newLeader: true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			_, beforeB, beforeC := overloadByOneTeam(t, false, c.advised, c.newLeader)
			greedy, b, wide := overloadByOneTeam(t, true, c.advised, c.newLeader)
			t.Logf("greedy %+v, others %+v %+v, without the feature %+v %+v", greedy, b, wide, beforeB, beforeC)
			assert.GreaterOrEqual(t, float64(greedy.started), 0.95*float64(greedy.accepted))
			assert.GreaterOrEqual(t, greedy.accepted, 80, "its entitlement")
			lost := 0 // submissions whose answer the change of the leader lost
			if c.newLeader {
				lost = 3
			}
			assert.GreaterOrEqual(t, greedy.accepted+greedy.refused, greedy.submitted-lost)
			assert.GreaterOrEqual(t, b.inTime, beforeB.inTime-2)
			assert.GreaterOrEqual(t, wide.inTime, beforeC.inTime-2)
		})
	}
}

// The fleet is idle but for one small team. It gets the room of the others and gives it back
// within the run time of what was lent: their jobs end in time as soon as they come.
func TestIdleRoomIsLentAndGivenBack(t *testing.T) {
	w := newContendedWorld(t, 20, true, contendedPolicy(false, policy.Team{Name: "borrower", Weight: 4}, policy.Team{Name: "owner", Weight: 60}))
	borrower := traffic{queue: "urgent", team: "borrower", rate: 60, step: urgentTasks}
	w.send(4*time.Second, borrower)
	assert.GreaterOrEqual(t, w.teamCPU("borrower"), int64(500_000), "of 640 cores")
	from := w.now
	owner := traffic{queue: "urgent", team: "owner", rate: 34, step: urgentTasks}
	w.send(2*urgentTasks.Estimate, borrower, owner)
	assert.GreaterOrEqual(t, w.teamCPU("owner"), int64(459_000), "nine tenths of what its jobs need are given back")
	w.send(2*time.Second, borrower, owner)
	to := w.now
	w.run(10 * time.Second)
	b, o := w.countTeam("borrower", w.startTime, to), w.countTeam("owner", from, to)
	t.Logf("borrower %+v, owner %+v", b, o)
	assert.GreaterOrEqual(t, float64(b.started), 0.95*float64(b.accepted))
	assert.GreaterOrEqual(t, float64(o.inTime), 0.95*float64(o.submitted))
}

// A team sends three times what its limit lets run, on a fleet that is idle otherwise. Jobs
// were accepted that waited for the team's own work for longer than their objectives allow.
func TestJobsWaitInVainForTheLimitOfTheirTeam(t *testing.T) {
	w := newContendedWorld(t, 20, true, contendedPolicy(false, policy.Team{Name: "capped", Weight: 100, Limit: cpuLimit(160)}))
	w.send(6*time.Second, traffic{queue: "urgent", team: "capped", rate: 32, step: urgentTasks, vary: true})
	to := w.now
	w.run(10 * time.Second)
	c := w.countTeam("capped", w.startTime, to)
	t.Logf("%+v", c)
	assert.Equal(t, c.submitted, c.accepted+c.refused)
	assert.GreaterOrEqual(t, float64(c.inTime), 0.95*float64(c.accepted))
	assert.GreaterOrEqual(t, c.accepted, 50, "64 jobs fill the limit for 6 s")
}

// The work of a team fills its limit for ten seconds. The delay for a further job fits that.
func TestRetryDelayFitsTheWorkOfTheTeam(t *testing.T) {
	w := newContendedWorld(t, 20, true, contendedPolicy(false, policy.Team{Name: "capped", Weight: 100, Limit: cpuLimit(160)}))
	w.submit("batch", "capped", tasks(32, 5000, 10*time.Second))
	w.run(time.Second)
	id := w.submit("urgent", "capped", urgentTasks)
	w.run(time.Second)
	assert.True(t, w.refused[id])
	assert.InDelta(t, 8.4, w.answers[id].RetryAfter.Seconds(), 0.25*8.4+0.1, "9 s until the end of the work, 0.6 s can be borne")
}

// The waiting work of a team at its limit does not take the cores of others. Their jobs were
// refused whenever they did not find room at once, as all of that work counted.
func TestJobIsRefusedForWorkThatItsTeamsLimitKeepsWaiting(t *testing.T) {
	w := newContendedWorld(t, 20, true, contendedPolicy(false, policy.Team{Name: "capped", Weight: 1000, Limit: cpuLimit(40)}, policy.Team{Name: "b", Weight: 1000}))
	for range 4 {
		w.submit("batch", "capped", tasks(8, 5000, 10*time.Second))
	}
	w.run(time.Second)
	for range 60 { // as if accepted earlier
		j := w.addOpenJob("batch", tasks(8, 5000, 10*time.Second)).job()
		j.team, j.spec.Team = "capped", "capped"
	}
	from := w.now
	w.send(6*time.Second, traffic{queue: "batch", team: "b", rate: 10.5, step: tasks(20, 5000, 500*time.Millisecond)})
	to := w.now
	w.run(5 * time.Second)
	b := w.countTeam("b", from, to)
	t.Logf("%+v", b)
	assert.Equal(t, b.submitted, b.accepted)
	assert.GreaterOrEqual(t, float64(b.inTime), 0.95*float64(b.submitted))
}

// One team overloads a fleet on which the others leave room. A refused job must not find room
// beside the tasks that are waiting at that time.
func TestJobIsRefusedBesideWorkersThatCouldRunIt(t *testing.T) {
	w := newContendedWorld(t, 20, true, contendedPolicy(false, policy.Team{Name: "greedy", Weight: 4}, policy.Team{Name: "b", Weight: 60}))
	refused, beside := 0, 0
	for end := w.now.Add(6 * time.Second); w.now.Before(end); {
		w.send(10*time.Millisecond, traffic{queue: "urgent", team: "b", rate: 20 * float64(w.rand.IntN(3)), step: urgentTasks, vary: true})
		room := 0
		for _, s := range w.workers {
			room += urgentTasks.Need.CountIn(s.capacity.Sub(w.engine.workers[s.id].used), 10)
		}
		for _, s := range w.engine.openSteps {
			room -= s.waiting
		}
		id := w.submit("urgent", "greedy", urgentTasks)
		if w.refused[id] {
			refused++
			if room >= urgentTasks.Count {
				beside++
			}
		}
	}
	t.Logf("%d refused, %d of them beside workers that could run the job", refused, beside)
	assert.Positive(t, refused)
	assert.Zero(t, beside)
}

// Callers that are refused at one moment must not come back at one moment, also if all of
// them get the shortest delay.
func TestCallersRefusedTogetherComeBackTogether(t *testing.T) {
	w := newContendedWorld(t, 4, true, contendedPolicy(false, policy.Team{Name: "a", Weight: 1}))
	delays := make(map[time.Duration]int)
	for range 300 {
		if id := w.submit("urgent", "a", urgentTasks); w.refused[id] {
			delays[w.answers[id].RetryAfter.Truncate(100*time.Millisecond)]++
		}
	}
	assert.GreaterOrEqual(t, len(delays), 6)
	for d, n := range delays {
		assert.True(t, d >= time.Second && d <= 15*time.Second && n <= 90, "%d come back after %v", n, d)
	}
}

// Three teams of weights 1, 1 and 4 overload the fleet at the same rate, far beyond their
// entitlements or within them. Their parts of the cores in use must be those of the weights,
// within a tenth of the fleet.
func TestOverloadingTeamsGetEqualPartsInsteadOfTheirShares(t *testing.T) {
	for _, weight := range []float64{1, 10, 100} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			w := newContendedWorld(t, 20, true, contendedPolicy(false, policy.Team{Name: "a", Weight: weight}, policy.Team{Name: "b", Weight: weight}, policy.Team{Name: "c", Weight: 4 * weight}))
			var streams []traffic
			for _, team := range []string{"a", "b", "c"} {
				streams = append(streams, traffic{queue: "urgent", team: team, rate: 60, step: urgentTasks, vary: true})
			}
			w.send(3*time.Second, streams...)
			used, total := make(map[string]float64), 0.0
			for range 100 {
				w.send(100*time.Millisecond, streams...)
				for _, s := range streams {
					used[s.team] += float64(w.teamCPU(s.team))
					total += float64(w.teamCPU(s.team))
				}
			}
			t.Logf("a %.3f, b %.3f, c %.3f", used["a"]/total, used["b"]/total, used["c"]/total)
			for team, share := range map[string]float64{"a": 1. / 6, "b": 1. / 6, "c": 4. / 6} {
				assert.InDelta(t, share, used[team]/total, 0.1, team)
			}
		})
	}
}
