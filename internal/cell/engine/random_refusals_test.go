package engine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
)

// refusalOptions are the parts of a schedule that a test chooses.
type refusalOptions struct {
	planted        plantedFault
	restartsKeepID bool
	orderlyEnds    bool     // leaders end in order before others take over
	untold         bool     // answers to commands don't tell the worker's incarnation
	drains         bool     // workers drain, and others replace them
	crashes        bool     // tasks crash their workers, racks fail, and workers shrink and grow
	cuts           bool     // workers are behind cuts that refuse connections
	evacuations    bool     // availability zones are evacuated
	speeds         bool     // tasks are placed by the speeds of the workers, which seem to change
	features       Features // of the engine
	recuts         bool     // workers restart and are cut off soon after, while long tasks run
	takeovers      bool     // new leaders don't reach a worker, which gets late commands of the earlier one
	fills          bool     // batch tasks fill the workers, beside urgent jobs
	confined       bool     // some jobs may use few workers, or few of their tasks may run at a time
	cancels        bool     // callers cancel jobs at any time, also at leaders that were replaced
	isolated       bool     // leaders are isolated, and go on when the next one has begun
	newLeaders     bool     // leaders last for shortLeadership after the last fault
	gangFailures   bool     // several members of gangs fail at once, and leaders see a part of their ends
}

// runRandomRefusals submits random jobs while workers refuse calls, answers are lost, late
// or overtaken, workers restart and leaders change, and checks the rules on runs.
func runRandomRefusals(t testing.TB, seed uint64, o refusalOptions) *world {
	w := newWorld(t, 6, seed)
	w.features = o.features
	if o.features.Preemption {
		w.maxPreempted = 0.5 // 0.02 of 48 cores is less than a task
	}
	if o.speeds {
		w.features.SpeedPlacement = true
		w.slownessOf = func(id string) float64 { return 0.3 + 3*seeded(fmt.Sprint(seed, id, w.now.Unix())).Float64() }
	}
	n := w.useNetwork(seed)
	n.planted, n.restartsKeepID, n.untold, n.orderlyEnds = o.planted, o.restartsKeepID, o.untold, o.orderlyEnds
	if o.crashes {
		w.useRacks()
		n.w.startLeader()
	}
	if o.confined {
		w.labelConfined()
		n.w.startLeader()
	}
	if n.rand.IntN(3) == 0 {
		n.endsPerReport = 1 + n.rand.IntN(4)
	}
	drains, crashes, cuts := rand.New(rand.NewPCG(seed, 4)), rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 6))
	evacuations, takeovers, confined := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9))
	recuts := rand.New(rand.NewPCG(seed, 11))
	gangFailures, isolated := rand.New(rand.NewPCG(seed, 12)), rand.New(rand.NewPCG(seed, 12))
	if o.cancels {
		w.callers = newCallers(w, rand.New(rand.NewPCG(seed, 10)))
	}
	w.failureRatio = 0.05
	w.run(time.Second)
	for range 60 {
		n.submitRandom()
		if o.fills {
			n.submitLoad()
		}
		if o.confined {
			n.submitConfined(confined)
		}
		n.injectFault()
		if o.cancels {
			w.callers.act()
		}
		if o.drains && drains.IntN(6) == 0 {
			n.drain(drains)
		}
		if o.crashes {
			n.injectCrash(crashes)
		}
		if o.cuts {
			n.injectCut(cuts)
		}
		if o.evacuations {
			n.injectEvacuation(evacuations)
		}
		if o.takeovers {
			n.injectTakeover(takeovers)
		}
		if o.recuts {
			n.injectRecut(recuts)
		}
		if o.gangFailures {
			n.injectGangFailure(gangFailures)
		}
		if o.isolated {
			n.injectIsolatedLeader(isolated)
		}
		w.run(time.Duration(n.rand.IntN(400)) * time.Millisecond)
		for _, id := range sortedKeys(w.accepted) {
			n.rules.checkShown(id)
			n.rules.checkFailures(id)
			n.finished(id) // notes when the job has ended
		}
		if t.Failed() {
			return w // what follows a broken rule tells nothing new
		}
	}
	if o.cancels {
		w.run(maxRequestDelay)
	}
	n.clearFaults()
	w.takeBackAll()
	if o.newLeaders {
		for range 6 {
			w.run(shortLeadership)
			n.w.startLeader()
		}
	}
	n.finish()
	for _, id := range sortedKeys(w.accepted) {
		n.rules.checkShown(id)
		n.rules.checkFailures(id)
	}
	for _, id := range n.unfinished() {
		w.t.Errorf("job %s is lost: %s at the end", id, w.state(id))
	}
	return w
}

const (
	// settleTime is how long after the last fault leases, late calls and quarantines may
	// still keep a job from running.
	settleTime = 25 * time.Second
	// shortLeadership is shorter than the time that a new leader takes to see two crashes of a task.
	shortLeadership = 5 * time.Second
	// finishTime is how long the work that has piled up may take, as a team's limit may let
	// through one job at a time.
	finishTime = 5 * time.Minute
	// minEndedRetention is how long the state of a job that has ended is kept at least.
	minEndedRetention = 2 * time.Minute
	// maxIdleTime is how long a job may have nothing running while there is room for it.
	maxIdleTime = 3 * time.Second
)

// finish runs the world until the jobs are finished.
func (n *network) finish() {
	n.w.run(settleTime)
	idle := make(map[string]time.Duration)
	for end := n.w.now.Add(finishTime); n.w.now.Before(end); n.w.run(time.Second) {
		waiting := n.unfinished()
		if len(waiting) == 0 {
			return
		}
		for _, id := range waiting {
			if !n.rules.idleForNoReason(id) {
				idle[id] = 0
				continue
			}
			if idle[id] += time.Second; idle[id] > maxIdleTime {
				n.w.t.Errorf("%v: job %s is lost: it has nothing running although there is room", n.w.now.Sub(n.w.startTime), id)
				return
			}
		}
	}
}

// submitRandom submits a random job, which may be canceled later.
func (n *network) submitRandom() {
	w := n.w
	queue := []string{"urgent", "gangs", "batch", "advised"}[n.rand.IntN(4)]
	team := []string{"a", "capped"}[n.rand.IntN(2)]
	longest := 3 * time.Second
	if n.rand.IntN(5) == 0 {
		longest = 12 * time.Second // longer than a lease
	}
	first := tasks(1+n.rand.IntN(4), int64(500+n.rand.IntN(1500)), 100*time.Millisecond+n.upTo(longest))
	first.Gang = queue == "gangs" || queue == "advised" && n.rand.IntN(2) == 0
	first.Speculative = !first.Gang && n.rand.IntN(4) == 0
	first.Checkpoints = n.rand.IntN(3) == 0
	steps := []job.Step{first}
	if n.rand.IntN(3) == 0 {
		next := first
		next.DependsOn = []int{0}
		steps = append(steps, next)
	}
	if n.rand.IntN(20) == 0 {
		lasting := tasks(1+n.rand.IntN(2), 300, time.Second)
		lasting.LongRunning = true
		queue, team, steps = "batch", "a", []job.Step{lasting}
	}
	id := w.submit(queue, team, steps...)
	if n.rand.IntN(8) == 0 {
		w.after(time.Duration(n.rand.IntN(3000))*time.Millisecond, func() { w.cancel(id) })
	}
}

// unfinished returns the accepted jobs that have not reached the state that they should.
func (n *network) unfinished() []string {
	var out []string
	for _, id := range sortedKeys(n.w.accepted) {
		if n.w.accepted[id] && !n.finished(id) {
			out = append(out, id)
		}
	}
	return out
}

// finished reports whether a job has ended, or has all of its lasting tasks at work. A job that was seen
// to have ended may be forgotten after minEndedRetention.
func (n *network) finished(id string) bool {
	switch n.w.state(id) {
	case StateCompleted, StateFailed, StateCanceled:
		if _, seen := n.seenEnded[id]; !seen {
			n.seenEnded[id] = n.w.now
		}
		return true
	case "unknown":
		at, seen := n.seenEnded[id]
		return seen && n.w.now.Sub(at) >= minEndedRetention
	}
	spec := n.w.specs[id]
	return spec.Steps[0].LongRunning && n.w.runningTasks(id, 0) == spec.Steps[0].Count
}

// linkFaults are kinds of trouble on the link to a worker. A fault mixes two of them.
var linkFaults = []func(n *network, l *link){
	func(n *network, l *link) { l.refusedRatio, l.refusals = n.share(), refusals },
	func(n *network, l *link) { l.refusedRatio, l.refusals = n.share(), []CommandOutcome{Unhealthy} },
	func(n *network, l *link) {
		l.refusedRatio, l.refusals = n.share(), refusals[n.rand.IntN(len(refusals)):]
	},
	func(n *network, l *link) { l.lostReplyRatio = n.share() },
	func(n *network, l *link) { l.lateRatio = n.share() },
	func(n *network, l *link) { l.lostRatio = n.share() },
	func(n *network, l *link) { l.maxDelay = time.Duration(50+n.rand.IntN(600)) * time.Millisecond },
}

func (n *network) share() float64 { return 0.1 + 0.9*n.rand.Float64() }

// injectFault injects a random fault with a probability of about five sixths.
func (n *network) injectFault() {
	w := n.w
	id := w.ids[n.rand.IntN(len(w.ids))]
	s := w.workers[id]
	switch n.rand.IntN(22) {
	case 0:
		n.w.startLeader()
	case 1, 17:
		s.unreachable = true
		w.after(n.upTo(16*time.Second), func() { s.unreachable = false })
	case 2, 3:
		n.restart(id, n.upTo(2*time.Second), n.upTo(3*time.Second))
	case 4:
		if id != "w00" && id != "w01" { // for some steps the adviser names no other worker
			n.replace(id, n.upTo(3*time.Second))
		}
	case 5:
		w.storeRefuses = true
		w.after(n.upTo(3*time.Second), func() { w.storeRefuses = false; w.engine.Handle(w.now, &StoreRecovered{}) })
	case 6:
		w.storeHangs = true
		w.after(n.upTo(3*time.Second), func() { w.storeHangs = false })
	case 7:
		w.storeDelay = n.upTo(300 * time.Millisecond)
		w.after(3*time.Second, func() { w.storeDelay = 0 })
	case 8:
		w.adviceFails = true
		w.after(time.Second, func() { w.adviceFails = false })
	case 9:
		s.slowdown = 5
		w.after(3*time.Second, func() { s.slowdown = 1 })
	case 10, 11, 12, 13, 14, 15:
		n.disturb(id)
	case 16, 18:
		for _, id := range w.ids {
			n.disturb(id)
		}
	}
}

// upTo returns a random duration of up to d.
func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

func (n *network) upTo(d time.Duration) time.Duration { return upTo(n.rand, d) }

// disturb mixes two kinds of trouble on the link to a worker for up to six seconds.
func (n *network) disturb(id string) {
	l := n.links[id]
	for range 2 {
		linkFaults[n.rand.IntN(len(linkFaults))](n, l)
	}
	n.w.after(n.upTo(6*time.Second), l.clear)
}

// clear ends the faults of a link.
func (l *link) clear() {
	*l = link{maxDelay: usualDelay, downUntil: l.downUntil, refusesUntil: l.refusesUntil, silentUntil: l.silentUntil}
}

// clearFaults ends all faults.
func (n *network) clearFaults() {
	n.faultsCleared = true
	n.w.clearFaults()
	for _, l := range n.links {
		l.clear()
	}
	n.isolated, n.calm = nil, true
}

// refusalSeeds returns the first seed and the number of seeds to run: WORLD_FIRST_SEED and
// WORLD_SEEDS, or those for CI.
func refusalSeeds() (first, count uint64) {
	number := func(name string, otherwise uint64) uint64 {
		if n, err := strconv.ParseUint(os.Getenv(name), 10, 32); err == nil {
			return n
		}
		return otherwise
	}
	return number("WORLD_FIRST_SEED", 1), number("WORLD_SEEDS", 40)
}

// runRefusalSeeds runs the schedules of refusalSeeds.
func runRefusalSeeds(t *testing.T, o refusalOptions) {
	first, count := refusalSeeds()
	runRefusals(t, first, count, o)
}

// runRefusals runs count schedules from the first seed on.
func runRefusals(t *testing.T, first, count uint64, o refusalOptions) {
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomRefusals(t, seed, o)
		})
	}
}

func TestRandomRefusals(t *testing.T) { runRefusalSeeds(t, refusalOptions{}) }

// Calls that are under way when a worker restarts under its id reach the new incarnation.
func TestRandomRefusalsWithKeptIDs(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true})
}

// Besides, only reports tell which incarnation has answered.
func TestRandomRefusalsWithUntoldIncarnations(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true})
}

// Tasks crash the workers that start them, racks fail, and workers shrink and grow.
func TestRandomRefusalsWithCrashes(t *testing.T) { runRefusalSeeds(t, refusalOptions{crashes: true}) }

// The same with calls that reach the next incarnation of a worker.
func TestRandomRefusalsWithCrashesAndKeptIDs(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{crashes: true, restartsKeepID: true})
}

// Workers are behind cuts that refuse connections; some restart there under their ids.
func TestRandomRefusalsWithRefusingCuts(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{cuts: true, restartsKeepID: true, untold: true})
}

// The same with tasks that crash workers.
func TestRandomRefusalsWithRefusingCutsAndCrashes(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{cuts: true, crashes: true, restartsKeepID: true, untold: true})
}

// Workers that drain end seconds later, with what they run.
func TestRandomRefusalsWithDrains(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, drains: true})
}

// New leaders do not reach a worker that gets late commands of the earlier one and restarts.
func TestRandomRefusalsWithUnreachedWorkers(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, takeovers: true})
}

// The same with leaders that end in order, at about the time when the worker is lost.
func TestRandomRefusalsWithLeadersThatEndInOrder(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, untold: true, takeovers: true, orderlyEnds: true})
}

// Availability zones are evacuated, at times all of them, and taken back.
func TestRandomRefusalsWithEvacuations(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{restartsKeepID: true, drains: true, evacuations: true})
}

// Tasks are placed by the speeds of workers, which seem to change.
func TestRandomRefusalsWithSpeeds(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{speeds: true, restartsKeepID: true, drains: true})
	runRefusalSeeds(t, refusalOptions{speeds: true, crashes: true})
}

// The same schedules with admission by who competes, which refuses other jobs and keeps its own
// account of the runs of each team.
func TestRandomRefusalsWithContentionAdmission(t *testing.T) {
	runRefusalSeeds(t, refusalOptions{features: Features{ContentionAdmission: true}, restartsKeepID: true, untold: true, drains: true})
}
