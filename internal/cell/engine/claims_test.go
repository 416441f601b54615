package engine

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

// maxRoundTrip is how long a call, its answer and a tick of the engine take at most without a fault.
const maxRoundTrip = 2*(usualDelay+simTick) + 2*renewalCheckInterval + simTick

// newClaimWorld returns a world of two workers in which w00 runs the only task, which is not finished soon.
func newClaimWorld(t *testing.T) (w *world, id string) {
	w = newWorld(t, 2, 1)
	w.useNetwork(1).restartsKeepID = true
	w.records = true
	w.workers["w01"].capacity = job.Resources{}
	w.publishDirectory()
	w.run(time.Second)
	id = w.submit("batch", "a", tasks(1, 1000, 8*time.Second))
	w.run(2 * time.Second)
	require.Contains(t, w.tasks[taskName(id, 0, 0)].runs, "w00")
	w.workers["w01"].capacity = w.workers["w00"].capacity
	w.recorded = nil
	return w, id
}

// callsTo splits the renewals of a worker into probes and others.
func callsTo(worker string, renewals []*Renew) (probes, others []*Renew) {
	for _, r := range renewals {
		switch {
		case r.Worker != worker:
		case r.Probe:
			probes = append(probes, r)
		default:
			others = append(others, r)
		}
	}
	return probes, others
}

// Guards against a new leader that reads such an entry first: the worker's reports were taken for those of an earlier
// incarnation, and its runs for ended.
func TestNewLeaderThatReadsAnEntryOfAnotherWriterFirstKeepsTheRuns(t *testing.T) {
	for name, incarnation := range tooLargeIncarnations {
		for entryStays, until := range map[string]time.Duration{"until the next leader": 0, "for a second": time.Second} {
			t.Run(name+", "+entryStays, func(t *testing.T) {
				w, id := newClaimWorld(t)
				s := w.workers["w00"]
				s.entryIncarnation = incarnation
				w.startLeader()
				w.after(until, func() { s.entryIncarnation = 0; w.publishDirectory() })
				w.run(2 * time.Second)
				assert.True(t, w.engine.workers["w00"].usable(w.now))
				w.run(12 * time.Second)
				assert.Equal(t, StateCompleted, w.state(id))
				assert.Equal(t, 1, w.starts)
			})
		}
	}
}

// A restart is noticed within a round trip, although a renewal waits for an answer of the earlier incarnation.
func TestRestartIsNoticedWithinARoundTrip(t *testing.T) {
	w, _ := newClaimWorld(t)
	w.run(100 * time.Millisecond)
	require.True(t, w.engine.workers["w00"].renewalInFlight)
	w.net.restart("w00", 0, 0)
	w.run(maxRoundTrip)
	assert.EqualValues(t, 2, w.engine.workers["w00"].incarnation)
	assert.Empty(t, w.engine.workers["w00"].runs)
}

// An entry whose worker doesn't answer ends its runs no sooner than their leases do.
func TestEntryOfAnotherIncarnationKeepsToTheLeases(t *testing.T) {
	w, id := newClaimWorld(t)
	s := w.workers["w00"]
	s.unreachable = true
	s.entryIncarnation = 2
	w.publishDirectory()
	for w.now.Before(s.leaseEnd) {
		require.Len(t, w.engine.workers["w00"].runs, 1)
		w.run(simTick)
	}
	w.run(20 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 2, w.starts, "the task has run elsewhere")
}

// An entry that the worker disproves costs one call, also if the list is read again and again, and the other
// renewals go on as before.
func TestDisprovedEntryIsAskedAboutOnce(t *testing.T) {
	w, _ := newClaimWorld(t)
	_, before := callsTo("w00", recorded[*Renew](w, time.Second))
	w.workers["w00"].entryIncarnation = math.MaxInt64
	for range 10 {
		w.after(0, w.publishDirectory)
		probes, _ := callsTo("w00", recorded[*Renew](w, 100*time.Millisecond))
		if len(probes) > 0 {
			require.Len(t, probes, 1)
			require.Zero(t, probes[0].Deadline)
			require.Zero(t, probes[0].Cursor)
			break
		}
	}
	w.publishDirectory()
	probes, after := callsTo("w00", recorded[*Renew](w, time.Second))
	assert.Empty(t, probes)
	assert.LessOrEqual(t, len(after), len(before)+1)
	assert.True(t, w.engine.workers["w00"].usable(w.now))
}

// An entry that names another address too is asked about there, while the worker is renewed at its own.
func TestEntryOfAnotherIncarnationAndAddressIsAskedAboutThere(t *testing.T) {
	w, id := newClaimWorld(t)
	list := w.directory()
	list[0].Incarnation, list[0].Address = math.MaxInt64, "elsewhere"
	w.net.planted.action = func(_ *network, action any) any {
		if r, ok := action.(*Renew); ok && r.Address == "elsewhere" {
			w.deliver(w.engine, r.Timeout, &RenewalAnswered{Worker: r.Worker, Incarnation: r.Incarnation, Probe: r.Probe, SentAt: w.now})
			return nil
		}
		return action
	}
	w.engine.Handle(w.now, &WorkersListed{Workers: list})
	probes, others := callsTo("w00", recorded[*Renew](w, 500*time.Millisecond))
	require.NotEmpty(t, probes)
	assert.Equal(t, "elsewhere", probes[0].Address)
	for _, r := range others {
		assert.Equal(t, "w00", r.Address)
	}
	w.publishDirectory()
	w.run(10 * time.Second)
	assert.Equal(t, StateCompleted, w.state(id))
	assert.Equal(t, 1, w.starts)
}

// What answers at the address of another writer's entry may confirm it. The worker's own answers correct that.
func TestConfirmedEntryOfAnotherWriterIsCorrected(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.useNetwork(1).restartsKeepID = true
	w.run(time.Second)
	w.workers["w00"].entryIncarnation = math.MaxInt64
	w.publishDirectory()
	w.engine.Handle(w.now, &RenewalAnswered{Worker: "w00", Incarnation: math.MaxInt64, Probe: true, SentAt: w.now, Report: &Report{Incarnation: math.MaxInt64, Clock: 1}})
	require.EqualValues(t, math.MaxInt64, w.engine.workers["w00"].incarnation)
	w.run(time.Second)
	w.workers["w00"].entryIncarnation = 0
	w.publishDirectory()
	w.run(2 * time.Second)
	assert.EqualValues(t, 1, w.engine.workers["w00"].incarnation)
	assert.True(t, w.engine.workers["w00"].described())
}
