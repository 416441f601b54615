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

// newAdvisedWorld returns a world of equal workers in which all queues but "plain" need
// advice. The adviser finds about 25% of the workers good for a step of gangs, 45% for
// batch and 70% for urgent.
func newAdvisedWorld(t *testing.T, workers int, delegates int) *world {
	w := newWorld(t, workers, 7)
	for _, s := range w.workers {
		s.capacity = job.Resources{CPU: 32000, MemMB: 64000}
	}
	w.delegates = nil
	for i := range delegates {
		w.delegates = append(w.delegates, fmt.Sprintf("i%d", i))
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
	w.isGood = func(step job.StepRef, worker string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step.String() + worker))
		x := h.Sum32()
		x ^= x >> 15
		x *= 0x2c1b3c6d
		x ^= x >> 12
		return x%100 < shares[w.specs[step.Job].Queue]
	}
	w.startLeader()
	return w
}

// Most of each worker's capacity is in use, and small urgent jobs take parts of the
// remaining capacity. A wide gang needs several calls to the adviser, and tickets are
// valid for little longer than a call. The gang must not lose tickets with each call.
func TestWideGangKeepsItsTicketsOverSeveralCalls(t *testing.T) {
	w := newAdvisedWorld(t, 350, 36)
	w.run(2 * time.Second)
	w.submit("plain", "a", tasks(350, 20000, time.Minute))
	w.run(500 * time.Millisecond)
	var gangs []string
	for start := w.now; w.now.Sub(start) < 12*time.Second; w.run(50 * time.Millisecond) {
		for range 4 {
			w.submit("urgent", "a", tasks(3, 5000, 800*time.Millisecond))
		}
		if len(gangs) < 4 && w.now.Sub(start) > time.Duration(len(gangs)+1)*time.Second {
			gangs = append(gangs, w.submit("gangs", "a", gang(36, 11000, time.Second)))
		}
	}
	for _, id := range gangs {
		assert.Equal(t, StateCompleted, w.state(id))
		assert.LessOrEqual(t, w.turnaround[id], objective(w.policy.Queue("gangs"), time.Second))
	}
}

// Tickets that would expire before a call for the missing tickets returns are renewed by
// the same call.
func TestTicketsThatExpireDuringACallAreRenewedWithIt(t *testing.T) {
	w := newAdvisedWorld(t, 12, 4)
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
		s.markGood(e.workers[name], ticket{value: "t", incarnation: e.workers[name].incarnation, validUntil: until})
	}
	assert.GreaterOrEqual(t, len(e.workersToAsk(s, q, e.newRound("s"), e.ticketCapacity(s, e.now))), 8)
}

// The adviser accepts at most a hundred workers in a call, so a batch step with more
// expired tickets renews them in several calls.
func TestAdviserCallsStayWithinTheMaximumOfWorkers(t *testing.T) {
	w := newAdvisedWorld(t, 350, 36)
	w.run(time.Second)
	id := w.submit("batch", "a", tasks(150, 20000, time.Second))
	w.run(20 * time.Millisecond) // the first call is under way
	e := w.engine
	s := e.jobs[id].occurrences[0].steps[0]
	s.advice = nil
	for _, name := range w.ids {
		s.markGood(e.workers[name], ticket{incarnation: e.workers[name].incarnation})
	}
	e.actions = nil
	e.advise(s, w.policy.Queue("batch"), e.newRound("s"), e.ticketCapacity(s, e.now))
	callsMade := 0
	for _, action := range e.actions {
		if a, ok := action.(*AdviceCall); ok {
			callsMade++
			assert.LessOrEqual(t, len(a.Workers), maxWorkersPerCall)
		}
	}
	assert.Equal(t, 2, callsMade)
}
