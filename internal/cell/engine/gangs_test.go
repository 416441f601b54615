package engine

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"

	"github.com/stretchr/testify/assert"
)

// advisedFleet is a fleet of equal workers whose queues all need advice: wide gangs
// that a quarter of the workers may run, batch work that half of them may run, and
// many small urgent jobs.
func advisedFleet(t *testing.T, workers int, arms int) *world {
	w := newWorld(t, workers, 7)
	for _, s := range w.workers {
		s.capacity = job.Resources{CPU: 32000, MemMB: 64000}
	}
	w.arms = nil
	for i := range arms {
		w.arms = append(w.arms, fmt.Sprintf("i%d", i))
	}
	ttl := 1500 * time.Millisecond
	w.policy = (&policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "plain", Service: "s", Priority: 1, Attempts: 2, Stretch: 4, LatencyTarget: time.Second},
			{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, LatencyTarget: 300 * time.Millisecond,
				Advice: &policy.AdviceCost{Base: 9 * time.Millisecond, PerWorker: 130 * time.Microsecond, TicketTTL: ttl}},
			{Name: "gangs", Service: "s", Priority: 1, Attempts: 4, Stretch: 2.2, LatencyTarget: time.Second,
				Advice: &policy.AdviceCost{Base: 650 * time.Millisecond, PerWorker: 9200 * time.Microsecond, TicketTTL: ttl}},
			{Name: "batch", Service: "s", Priority: 2, Attempts: 2, Stretch: 4, LatencyTarget: 3 * time.Second,
				Advice: &policy.AdviceCost{Base: 82 * time.Millisecond, PerWorker: 1200 * time.Microsecond, TicketTTL: ttl}},
		},
		Services: []policy.Service{{Name: "s"}}, Teams: []policy.Team{{Name: "a", Weight: 500}},
	}).Index()
	shares := map[string]uint32{"urgent": 70, "gangs": 25, "batch": 45}
	w.goodFor = func(step job.StepRef, worker string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step.String() + worker))
		x := h.Sum32()
		x ^= x >> 15
		x *= 0x2c1b3c6d
		x ^= x >> 12
		return x%100 < shares[w.specs[step.Job].Queue]
	}
	w.lead()
	return w
}

// Load: most of each worker is in use, and small urgent jobs come and go in the rest.
// A wide gang gathers its room by several calls to the adviser, whose tickets last
// little longer than a call. It must not lose some of them with each call.
func TestWideGangGathersItsTickets(t *testing.T) {
	w := advisedFleet(t, 350, 36)
	w.run(2 * time.Second)
	w.submit("plain", "a", tasks(350, 20000, time.Minute))
	w.run(500 * time.Millisecond)
	var gangs []string
	for begun := w.now; w.now.Sub(begun) < 12*time.Second; w.run(50 * time.Millisecond) {
		for range 4 {
			w.submit("urgent", "a", tasks(3, 5000, 800*time.Millisecond))
		}
		if len(gangs) < 4 && w.now.Sub(begun) > time.Duration(len(gangs)+1)*time.Second {
			gangs = append(gangs, w.submit("gangs", "a", gang(36, 11000, time.Second)))
		}
	}
	for _, id := range gangs {
		assert.Equal(t, StateCompleted, w.state(id))
		assert.LessOrEqual(t, w.took[id], objective(w.policy.Queue("gangs"), time.Second))
	}
}

// Tickets that lapse before a call brings the rest are renewed with it.
func TestTicketsThatLapseDuringACallAreRenewedWithIt(t *testing.T) {
	w := advisedFleet(t, 12, 4)
	w.run(time.Second)
	id := w.submit("gangs", "a", gang(8, 20000, time.Second))
	w.run(50 * time.Millisecond) // the first calls are under way
	e := w.engine
	q, s := w.policy.Queue("gangs"), e.jobs[id].occurrences[0].steps[0]
	s.advice = nil
	for i, name := range w.ids {
		until := e.now.Add(500 * time.Millisecond)
		if i >= 6 {
			until = time.Time{}
		}
		s.markGood(name, ticket{value: "t", incarnation: e.workers[name].incarnation, validUntil: until})
	}
	assert.GreaterOrEqual(t, len(e.workersToAsk(s, q, e.newRound("s"))), 8)
}

// The adviser takes a hundred workers in a call: a batch step with more lapsed
// tickets asks for them by several calls.
func TestCallNamesNoMoreWorkersThanTheAdviserTakes(t *testing.T) {
	w := advisedFleet(t, 350, 36)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(150, 20000, time.Second))
	w.run(20 * time.Millisecond) // the first call is under way
	e := w.engine
	s := e.jobs[id].occurrences[0].steps[0]
	s.advice = nil
	for _, name := range w.ids {
		s.markGood(name, ticket{incarnation: e.workers[name].incarnation})
	}
	e.actions = nil
	e.advise(s, w.policy.Queue("batch"), e.newRound("s"))
	asks := 0
	for _, action := range e.actions {
		if a, ok := action.(*Ask); ok {
			asks++
			assert.LessOrEqual(t, len(a.Workers), maxWorkersPerCall)
		}
	}
	assert.Equal(t, 2, asks)
}
