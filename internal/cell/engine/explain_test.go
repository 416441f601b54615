package engine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
)

// explainNow returns the explanation of a job, as if there had been none lately.
func (w *world) explainNow(ev *Explain) Answer {
	var answer Answer
	ev.Reply = func(a Answer) { answer = a }
	w.engine.explainedAt = [2]time.Time{}
	w.engine.Handle(w.now, ev)
	return answer
}

// randomStep returns a step for the cells of these tests.
func randomStep(r *rand.Rand) job.Step {
	s := tasks(1+r.IntN(6), int64(500*(1+r.IntN(14))), time.Duration(200+r.IntN(3000))*time.Millisecond)
	s.Gang = r.IntN(4) == 0
	if r.IntN(6) == 0 {
		s.MaxPerWorker = 1
	}
	if r.IntN(12) == 0 {
		s.Label = "b"
	}
	return s
}

// randomSteps returns the steps of a job; the second one may depend on the first.
func randomSteps(r *rand.Rand) []job.Step {
	steps := []job.Step{randomStep(r)}
	if r.IntN(3) == 0 {
		second := randomStep(r)
		if r.IntN(2) == 0 {
			second.DependsOn = []int{0}
		}
		steps = append(steps, second)
	}
	return steps
}

// newRandomCell returns a small cell under a random load, at a random time.
func newRandomCell(t *testing.T, seed uint64) (*world, *rand.Rand) {
	r := rand.New(rand.NewPCG(seed, 77))
	w := newWorld(t, 2+r.IntN(7), seed)
	w.features = Features{LearnedRuntimes: r.IntN(2) == 0, SpeedPlacement: r.IntN(2) == 0, Backfill: r.IntN(2) == 0, ContentionAdmission: r.IntN(2) == 0, Headroom: r.IntN(2) == 0}
	for i := range w.policy.Teams {
		w.policy.Teams[i].Weight = []float64{0.5, 3, 50}[r.IntN(3)]
	}
	for _, id := range w.ids {
		w.workers[id].slowdown = 0.6 + r.Float64()
	}
	w.startLeader()
	w.run(time.Second)
	for range r.IntN(16) {
		queue, team := []string{"urgent", "gangs", "batch", "advised"}[r.IntN(4)], []string{"a", "capped"}[r.IntN(2)]
		w.submit(queue, team, randomSteps(r)...)
		w.run(time.Duration(r.IntN(30)) * simTick)
	}
	if r.IntN(3) == 0 {
		w.workers[w.ids[0]].draining = true
		w.publishDirectory()
	}
	if r.IntN(4) == 0 {
		w.cold = map[string]time.Duration{w.ids[len(w.ids)/2]: 3 * time.Second}
		w.publishDirectory()
	}
	if r.IntN(4) == 0 {
		p := *w.policy
		p.Evacuations = policy.Evacuations{Revision: 5, Zones: []string{zoneOf(w.ids[1])}}
		w.policy = p.Index()
		w.engine.Handle(w.now, &PolicyChanged{Policy: w.policy})
	}
	if r.IntN(4) == 0 {
		w.engine.workers[w.ids[len(w.ids)-1]].health.quarantine(w.now)
	}
	w.run(time.Duration(r.IntN(10)) * simTick)
	if r.IntN(8) == 0 {
		*w.engine.hazardOf("batch") = hazard{crashes: 3, survived: 2, at: w.now.Add(-time.Second), crashAt: w.now}
	}
	if c := w.engine.contention; c != nil && len(c.arrivals) > 0 && r.IntN(4) == 0 {
		c.arrivals[0].cores = minArrivingCores / 2 // the next measurement forgets both
		c.excess["gone"] = 1
	}
	if r.IntN(16) == 0 {
		w.engine.storeDownSince = w.now
	}
	if r.IntN(3) == 0 {
		w.now = w.now.Add(time.Duration(r.IntN(1500)) * time.Millisecond) // tickets expire, and their steps ask again
	}
	for range r.IntN(4) { // the next round places them as well
		w.submit([]string{"urgent", "gangs", "batch", "advised"}[r.IntN(4)], []string{"a", "a", "capped"}[r.IntN(3)], randomSteps(r)...)
	}
	return w, r
}

// explainQuietly is explainNow in a cell that must log and count nothing meanwhile.
func (w *world) explainQuietly(ev *Explain) Answer {
	e := w.engine
	log, count := e.log, e.cfg.CountReservations
	defer func() { e.log, e.cfg.CountReservations = log, count }()
	e.log = slog.New(slog.NewTextHandler(writerFunc(func(line []byte) { w.t.Errorf("the explanation logs %s", line) }), nil))
	e.cfg.CountReservations = func(event ReservationEvent, n int) { w.t.Errorf("the explanation counts %d, %d", event, n) }
	return w.explainNow(ev)
}

// writerFunc passes what is written to a function.
type writerFunc func([]byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

// An explanation that differs from the decision, or changes it, misleads the operator.
func TestExplanationIsWhatASubmissionThenFinds(t *testing.T) {
	var refused, placed, asked, waited, deferred, reserved int
	for seed := range uint64(1000) {
		w, r := newRandomCell(t, seed)
		e := w.engine
		queue, team := []string{"urgent", "gangs", "batch", "advised"}[r.IntN(4)], []string{"a", "capped"}[r.IntN(2)]
		spec := &job.Spec{ID: "00000000000000ff", Queue: queue, Team: team, Steps: randomSteps(r)}
		before := e.fingerprint()
		answer := w.explainQuietly(&Explain{Spec: spec})
		require.Equal(t, OK, answer.Outcome)
		x := answer.Explanation
		require.Equal(t, before, e.fingerprint(), "seed %d: the explanation leaves a trace", seed)
		knownJobs := make(map[string]*Explanation)
		for _, id := range sortedKeys(e.jobs) {
			known := w.explainQuietly(&Explain{ID: id}).Explanation
			require.Equal(t, e.jobs[id].stateName(), known.Verdict)
			knownJobs[id] = known
			for _, s := range known.Steps {
				require.Equal(t, s.Open, s.Place > 0, "seed %d, job %s", seed, id)
			}
		}
		require.Equal(t, before, e.fingerprint(), "seed %d: the explanation of a known job leaves a trace", seed)

		e.actions = nil
		w.sendSubmit(spec)
		j := e.jobs[spec.ID]
		if x.Verdict == VerdictRefused {
			refused++
			require.Nil(t, j, "seed %d", seed)
			got := w.answers[spec.ID]
			require.Equal(t, []any{x.Reason, x.RetryAfterMS}, []any{got.Why, got.RetryAfter.Milliseconds()}, "seed %d", seed)
			reserved += w.checkKnown(knownJobs, seed)
			continue
		}
		require.NotNil(t, j, "seed %d: refused: %s", seed, w.answers[spec.ID].Why)
		require.Equal(t, j.overEntitlement, x.BeyondAllowance, "seed %d", seed)
		for _, p := range e.pools {
			p.speedsAt = w.now // a trial leaves the speed classes as they are
		}
		e.place()
		for i, s := range j.occurrences[0].steps {
			out := x.Steps[i]
			require.Equal(t, slices.Index(e.openSteps, s)+1, out.Place, "seed %d, step %d", seed, i)
			if out.Place == 0 {
				deferred++
				continue
			}
			require.Equal(t, len(e.openSteps), out.OpenSteps, "seed %d", seed)
			got, want := make(map[string]int), make(map[string]int)
			for _, task := range s.tasks {
				for _, run := range task.runs {
					got[run.worker.id]++
				}
			}
			total := 0
			for _, c := range out.Chosen {
				want[c.Worker] = c.Tasks
				total += c.Tasks
			}
			require.Equal(t, got, want, "seed %d, step %d", seed, i)
			require.Equal(t, out.Placed, total)
			require.Equal(t, s.reservation.explain(w.now), out.Reservation, "seed %d, step %d", seed, i)
			if out.Reservation != nil {
				reserved++
			}
			require.Equal(t, out.Placed < out.Waiting, out.WaitsBecause != "")
			placed += total
			if out.WaitsBecause != "" {
				waited++
			}
			var called []string
			for _, action := range e.actions {
				if c, ok := action.(*AdviceCall); ok && c.step == s {
					called = append(called, c.Workers...)
				}
			}
			require.Equal(t, called, out.Asked, "seed %d, step %d", seed, i)
			asked += len(called)
			excluded := 0
			for _, c := range out.Excluded {
				excluded += c.Workers
			}
			require.Equal(t, x.WorkersOfService, excluded+out.Left)
		}
	}
	t.Logf("refused %d, placed tasks %d, asked about workers %d, steps that wait %d, steps that depend %d, reservations %d", refused, placed, asked, waited, deferred, reserved)
	assert.Positive(t, min(refused, placed, asked, waited, deferred, reserved))
}

// checkKnown checks that a round now places the steps of known jobs as their explanations say. It
// returns the number of steps with a reservation.
func (w *world) checkKnown(jobs map[string]*Explanation, seed uint64) int {
	e, reserved := w.engine, 0
	for _, p := range e.pools {
		p.speedsAt = w.now // a trial leaves the speed classes as they are
	}
	e.place()
	for _, id := range sortedKeys(jobs) {
		for _, out := range jobs[id].Steps {
			s := e.jobs[id].occurrences[out.Occurrence].steps[out.Step]
			require.Equal(w.t, s.waiting, out.Waiting-out.Placed, "seed %d, step %s", seed, s.name)
			require.Equal(w.t, s.reservation.explain(w.now), out.Reservation, "seed %d, step %s", seed, s.name)
			if out.Reservation != nil {
				reserved++
			}
		}
	}
	return reserved
}

// A worker counts for the first reason that holds, so that the counts add up.
func TestExplanationCountsExcludedWorkers(t *testing.T) {
	w := newWorld(t, 12, 1)
	w.run(time.Second)
	e := w.engine
	at := func(i int) *worker { return e.workers[w.ids[i]] }
	at(0).listed = false
	at(1).entryIncarnation = 9
	at(2).draining, at(2).missedRenewals = true, 1
	at(3).evacuated = true
	at(4).missedRenewals = 1
	at(5).refusingSince = w.now
	at(6).unknownRuns = 1
	at(7).health.quarantine(w.now)
	at(8).capacity.CPU = 1000
	at(9).labels = nil
	at(10).setUsed(job.Resources{CPU: 7000})
	step := tasks(2, 2000, time.Second)
	step.Label = "a"
	x := w.explainNow(&Explain{Spec: &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{step}}}).Explanation.Steps[0]
	want := []ExclusionCount{{"not listed", 1}, {"listed as an earlier incarnation", 1}, {"draining", 1}, {"evacuated zone", 1}, {"silent", 2},
		{"reports unknown runs", 1}, {"quarantined", 1}, {"cannot hold the task", 1}, {"lacks the label", 1}, {"no free capacity", 1}}
	assert.Equal(t, want, x.Excluded)
	assert.Equal(t, []int{1, 2}, []int{x.Left, x.Placed})
	assert.Equal(t, []ChosenWorker{{Worker: "w11", Zone: zoneOf("w11"), Tasks: 2, Slowness: 1, FreeCPU: 8000, FreeMemMB: 16_000}}, x.Chosen)

	e.usage["capped"] = job.Resources{CPU: 7000}
	x = w.explainNow(&Explain{Spec: &job.Spec{Queue: "batch", Team: "capped", Steps: []job.Step{step}}}).Explanation.Steps[0]
	assert.Contains(t, x.Excluded, ExclusionCount{"limit of the team", 1})
	assert.Equal(t, "the limit of the team allows no tasks now", x.WaitsBecause)
}

// What the adviser has said of a step that waits tells which workers are left to ask about.
func TestExplanationCountsWorkersByAdvice(t *testing.T) {
	w := newWorld(t, 5, 1)
	w.run(time.Second)
	s := w.addOpenJob("advised", tasks(9, 6000, time.Second))
	good, expired, bad := w.engine.workers["w00"], w.engine.workers["w01"], w.engine.workers["w02"]
	s.markGood(good, ticket{incarnation: good.incarnation, validUntil: w.now.Add(time.Second)})
	s.markGood(expired, ticket{incarnation: expired.incarnation, validUntil: w.now})
	s.advice.asked[bad] = bad.incarnation
	x := w.explainNow(&Explain{ID: s.ref.Job}).Explanation.Steps[0]
	assert.Equal(t, []ExclusionCount{{"not yet asked of the adviser", 2}, {"not recommended by the adviser", 1}, {"no valid ticket", 1}}, x.Excluded)
	assert.Equal(t, []int{1, 1}, []int{x.Left, x.Placed})
}

// Explanations in quick succession would take the time of placement rounds from the leader.
func TestExplanationsAreLimited(t *testing.T) {
	w := newWorld(t, 3, 1)
	w.run(time.Second)
	ask := func() (got Answer) {
		w.engine.Handle(w.now, &Explain{ID: "0000000000000001", Reply: func(a Answer) { got = a }})
		return got
	}
	assert.Equal(t, NotFound, ask().Outcome)
	assert.Equal(t, NotFound, ask().Outcome)
	busy := ask()
	assert.Equal(t, Refused, busy.Outcome)
	assert.Positive(t, busy.RetryAfter)
	w.run(time.Second)
	assert.Equal(t, NotFound, ask().Outcome)
	assert.Equal(t, NotFound, ask().Outcome)
	assert.Equal(t, Refused, ask().Outcome)
}

// A job that is not valid or takes much memory must not reach the trial, and the answer stays small.
func TestExplanationIsBounded(t *testing.T) {
	w := newWorld(t, 30, 1)
	w.run(time.Second)
	none := &job.Spec{Queue: "batch", Team: "a"}
	assert.Contains(t, w.explainNow(&Explain{Spec: none}).Why, "no steps")
	many := &job.Spec{Queue: "batch", Team: "a", Steps: slices.Repeat([]job.Step{tasks(10_000, 100, time.Second)}, 3)}
	assert.Contains(t, w.explainNow(&Explain{Spec: many}).Why, "30000 tasks")
	steps := &job.Spec{Queue: "batch", Team: "a", Steps: slices.Repeat([]job.Step{tasks(1, 100, time.Second)}, 65)}
	assert.Contains(t, w.explainNow(&Explain{Spec: steps}).Why, "65 steps")
	wide := w.explainNow(&Explain{Spec: &job.Spec{Queue: "batch", Team: "a", Steps: []job.Step{tasks(30, 8000, time.Second)}}}).Explanation.Steps[0]
	assert.Equal(t, []int{30, maxListedWorkers}, []int{wide.ChosenCount, len(wide.Chosen)})
	x := w.explainNow(&Explain{Spec: &job.Spec{Queue: "none", Steps: []job.Step{tasks(1, 100, time.Second)}}}).Explanation
	assert.Equal(t, []string{VerdictRefused, "no such queue"}, []string{x.Verdict, x.Reason})
}

// BenchmarkExplanation measures an explanation beside a full queue.
func BenchmarkExplanation(b *testing.B) {
	for _, workers := range []int{300, 12_000} {
		for _, steps := range []int{1500, 5000} {
			b.Run(fmt.Sprintf("%d-workers-%d-steps", workers, steps), func(b *testing.B) {
				w := newLargeWorld(b, workers)
				fillForRounds(w, steps)
				spec := &job.Spec{ID: "00000000000000ff", Queue: "urgent", Team: "a", Steps: []job.Step{tasks(8, 7800, 640*time.Millisecond)}}
				for b.Loop() {
					w.explainNow(&Explain{Spec: spec})
				}
			})
		}
	}
}
