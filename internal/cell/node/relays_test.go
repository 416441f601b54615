package node

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
)

// sharedWorker is a worker that all instances of a cluster reach. It runs every task until
// it is stopped.
type sharedWorker struct {
	mu      sync.Mutex
	runs    map[string]int // number of the run, by task
	starts  map[string]int // by task
	callers map[string]int // calls by instance

	payloads map[string]string // by task
	delay    atomic.Int64      // of the answers to start commands, in nanoseconds
}

func newSharedWorker() *sharedWorker {
	return &sharedWorker{runs: make(map[string]int), starts: make(map[string]int), callers: make(map[string]int), payloads: make(map[string]string)}
}

// callersSoFar returns the calls by instance and starts a new count.
func (s *sharedWorker) callersSoFar() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.callers
	s.callers = make(map[string]int)
	return counts
}

// workerAccess is a sharedWorker as one instance reaches it.
type workerAccess struct {
	*sharedWorker
	instance string
}

// Start implements Workers.
func (a workerAccess) Start(_ context.Context, _ int64, command *engine.Start) *engine.StartAnswered {
	defer func() { time.Sleep(time.Duration(a.delay.Load())) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers[a.instance]++
	a.payloads[command.Task] = command.Payload
	if a.runs[command.Task] != command.Run {
		a.runs[command.Task] = command.Run
		a.starts[command.Task]++
	}
	return &engine.StartAnswered{Start: command, Incarnation: 1, Clock: time.Now().UnixMilli()}
}

// Stop implements Workers.
func (a workerAccess) Stop(_ context.Context, _ int64, command *engine.Stop) *engine.StopAnswered {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers[a.instance]++
	delete(a.runs, command.Task)
	return &engine.StopAnswered{Stop: command, Incarnation: 1}
}

// Renew implements Workers.
func (a workerAccess) Renew(_ context.Context, _ int64, renewal *engine.Renew) *engine.RenewalAnswered {
	sent := time.Now()
	time.Sleep(renewal.MaxWait)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers[a.instance]++
	report := &engine.Report{Incarnation: 1, Clock: time.Now().UnixMilli()}
	for task, run := range a.runs {
		report.Running = append(report.Running, engine.RunStatus{Task: task, Run: run, Percent: 1})
	}
	return &engine.RenewalAnswered{Worker: renewal.Worker, Incarnation: 1, SentAt: sent, Report: report}
}

// runRelayCluster runs f on a cluster whose leader uses relays for its only worker.
func runRelayCluster(t *testing.T, n int, f func(t *testing.T, c *cluster, w *sharedWorker)) {
	w := newSharedWorker()
	runClusterWith(t, n, func(c *cluster) {
		c.directWorkers = 0
		c.workersFor = func(instance string) Workers { return workerAccess{w, instance} }
	}, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second) // until all followers have pinged the leader, which changes its relay
		f(t, c, w)
	})
}

// relayName returns the name of the only instance that calls the worker.
func relayName(t *testing.T, w *sharedWorker) string {
	t.Helper()
	w.callersSoFar()
	time.Sleep(3 * time.Second)
	callers := w.callersSoFar()
	require.Len(t, callers, 1, "%v", callers)
	for name := range maps.Keys(callers) {
		return name
	}
	return ""
}

func TestCommandsGoThroughRelay(t *testing.T) {
	runRelayCluster(t, 5, func(t *testing.T, c *cluster, w *sharedWorker) {
		submitWithin(t, c.leader(), "job", 100*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, engine.StateRunning, status(t, c.leader(), "job"))
		relay := relayName(t, w)
		assert.NotEqual(t, c.leader().settings.Instance, relay)
		c.kill(c.leader())
		time.Sleep(maxTakeoverTime)
		if c.leader().settings.Instance != relay {
			assert.Equal(t, relay, relayName(t, w), "the next leader keeps the relay and its connections")
		}
		assert.Equal(t, map[string]int{"job.0.0.0": 1}, w.starts)
	})
}

// The relay's process ends while a task runs. Another relay goes on with its worker before
// the lease ends, and later jobs start at once.
func TestAnotherRelayReplacesOneThatEnds(t *testing.T) {
	runRelayCluster(t, 5, func(t *testing.T, c *cluster, w *sharedWorker) {
		submitWithin(t, c.leader(), "before", 100*time.Millisecond)
		first := relayName(t, w)
		c.kill(c.members[first])
		time.Sleep(2 * time.Second)
		assert.NotEqual(t, first, relayName(t, w))
		submitWithin(t, c.leader(), "after", 100*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, engine.StateRunning, status(t, c.leader(), "after"))
		time.Sleep(20 * time.Second)
		assert.Equal(t, map[string]int{"before.0.0.0": 1, "after.0.0.0": 1}, w.starts, "no run was given up")
	})
}

// A relay loses its network. What it was given counts as unanswered, and a job that was to
// start through it runs on within two seconds through another one.
func TestCommandsToUnreachableRelayCountAsUnanswered(t *testing.T) {
	runRelayCluster(t, 5, func(t *testing.T, c *cluster, w *sharedWorker) {
		first := relayName(t, w)
		c.mu.Lock()
		c.unreachable[first] = true
		c.mu.Unlock()
		submitWithin(t, c.leader(), "job", 500*time.Millisecond)
		time.Sleep(4 * time.Second)
		assert.Equal(t, engine.StateRunning, status(t, c.leader(), "job"))
		assert.NotEqual(t, first, relayName(t, w))
		assert.LessOrEqual(t, w.starts["job.0.0.0"], 2)
	})
}

// A change of the relays moves only the workers of those that come or go.
func TestFewWorkersMoveWhenRelaysChange(t *testing.T) {
	r := &relays{links: make(map[string]*relayLink), byWorker: make(map[string]*relayLink)}
	use := func(n int) map[string]string {
		r.names = nil
		clear(r.byWorker)
		for i := range n {
			name := fmt.Sprintf("i%02d", i)
			r.names = append(r.names, name)
			r.links[name] = &relayLink{instance: name}
		}
		found := make(map[string]string)
		for i := range 1000 {
			worker := fmt.Sprintf("w%d", i)
			found[worker] = r.relayOf(worker).instance
		}
		return found
	}
	before, after := use(10), use(9)
	moved, load := 0, make(map[string]int)
	for worker, relay := range before {
		load[relay]++
		if after[worker] != relay {
			moved++
			assert.Equal(t, "i09", relay)
		}
	}
	assert.Equal(t, load["i09"], moved)
	for relay, n := range load {
		assert.InDelta(t, 100, n, 50, relay)
	}
}

// A relay restarts between two pings, so that the leader does not notice. It lacks the
// payload of a job whose other tasks it has started before, and gets it again.
func TestRelayThatLostAPayloadGetsItAgain(t *testing.T) {
	runRelayCluster(t, 5, func(t *testing.T, c *cluster, w *sharedWorker) {
		relay := c.members[relayName(t, w)]
		link := c.leader().leading.Load().relays.links[relay.settings.Instance]
		link.r.mu.Lock()
		link.sent["job"] = true
		link.r.mu.Unlock()
		submitWithin(t, c.leader(), "job", 100*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, engine.StateRunning, status(t, c.leader(), "job"))
		assert.Equal(t, "p", w.payloads["job.0.0.0"])
		payload, known := relay.relayedPayloads.get("job")
		assert.True(t, known)
		assert.Equal(t, "p", payload)
	})
}

// On a slow link the leader sends no payloads. The relay gets them from the instance that
// took the job or, if that has ended or does not answer, from the leader.
func TestRelayGetsPayloadFromEntry(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, entry *member){
		"entry answers":   func(*cluster, *member) {},
		"entry has ended": func(c *cluster, entry *member) { c.kill(entry) },
		"entry does not answer": func(c *cluster, entry *member) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.unreachable[entry.settings.Instance] = true
		},
		"entry has forgotten": func(_ *cluster, entry *member) {
			entry.ownPayloads.mu.Lock()
			defer entry.ownPayloads.mu.Unlock()
			clear(entry.ownPayloads.byJob)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSharedWorker()
			runClusterWith(t, 6, func(c *cluster) {
				c.directWorkers, c.payloadsFromEntries = 0, true
				c.workersFor = func(instance string) Workers { return workerAccess{w, instance} }
			}, func(t *testing.T, c *cluster) {
				time.Sleep(time.Second)
				relay, leader := c.members[relayName(t, w)], c.leader()
				var entry *member
				for _, m := range c.all() {
					if m != leader && m != relay {
						entry = m
					}
				}
				submitWithin(t, entry, "job", 100*time.Millisecond)
				lose(c, entry) // the task starts at the next round at the earliest
				time.Sleep(2 * time.Second)
				assert.Equal(t, engine.StateRunning, status(t, leader, "job"))
				assert.Equal(t, "p", w.payloads["job.0.0.0"])
				leader.leading.Load().relays.mu.Lock()
				defer leader.leading.Load().relays.mu.Unlock()
				link := leader.leading.Load().relays.links[relay.settings.Instance]
				assert.Equal(t, name != "entry answers", link.sent["job"], "sent by the leader")
			})
		})
	}
}

func TestPayloadCacheDropsTheOldest(t *testing.T) {
	c := newPayloadCache(maxRelayPayloads)
	for i := range maxRelayPayloads + 10 {
		c.add(fmt.Sprint(i), "p")
		c.add(fmt.Sprint(i), "q")
	}
	_, known := c.get("9")
	assert.False(t, known)
	payload, known := c.get("10")
	assert.True(t, known)
	assert.Equal(t, "q", payload)
	assert.Len(t, c.byJob, maxRelayPayloads)
	assert.Len(t, c.order, maxRelayPayloads)
}

func TestWantedRelays(t *testing.T) {
	s := &Settings{Instance: "i0", DirectWorkers: 400, WorkersPerRelay: 64}
	var live []*follower
	for i := range 20 {
		live = append(live, &follower{PingArgs: PingArgs{Instance: fmt.Sprintf("i%d", i), CPUShare: 0.2 + 0.6*float64(i%2)}})
	}
	assert.Empty(t, s.wantedRelays(live, 400), "the leader serves a small fleet itself")
	wanted := s.wantedRelays(live, 1000)
	assert.Len(t, wanted, 16)
	for i, f := range wanted {
		assert.NotEqual(t, "i0", f.Instance)
		assert.Equal(t, i < 10, f.CPUShare > 0.5, "those with the most CPU first")
	}
	assert.Len(t, s.wantedRelays(live[:3], 1000), 2, "no more than there are")
}

// Several relays are lost between two updates.
func TestSeveralRelaysAreReplacedAtOnce(t *testing.T) {
	runRelayCluster(t, 2, func(t *testing.T, c *cluster, _ *sharedWorker) {
		l := c.leader().leading.Load()
		r := newRelays(l)
		named := func(names ...string) []*follower {
			var list []*follower
			for _, name := range names {
				list = append(list, &follower{PingArgs: PingArgs{Instance: name, Address: name + ":1"}})
			}
			return list
		}
		r.update(named("a", "b", "c", "d"), nil)
		require.True(t, r.send(&engine.Stop{Worker: "w", Timeout: time.Second}))
		r.update(named("d", "e"), nil)
		assert.Equal(t, []string{"d", "e"}, r.names)
		assert.Len(t, r.links, 2)
		moved := named("d", "e")
		moved[0].Address = "d:2"
		r.update(moved, moved)
		assert.Equal(t, "d:2", r.links["d"].address)
		r.update(nil, nil)
		assert.Empty(t, r.links)
		assert.False(t, r.send(&engine.Stop{Worker: "w", Timeout: time.Second}))
	})
}

// The relay turns slow and is replaced while a start that it was given is under way. The
// start counts once its result arrives: the task is not started a second time.
func TestReplacedRelayDeliversItsResults(t *testing.T) {
	runRelayCluster(t, 5, func(t *testing.T, c *cluster, w *sharedWorker) {
		before := relayName(t, w)
		l := c.leader().leading.Load()
		w.delay.Store(int64(3 * pingInterval))
		submitWithin(t, c.leader(), "job", 100*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		l.relays.mu.Lock()
		link := l.relays.links[before]
		pending := len(link.pending)
		l.relays.mu.Unlock()
		require.Positive(t, pending)
		c.members[before].slowdown.Store(5)
		time.Sleep(4 * pingInterval)
		w.delay.Store(0)
		assert.Equal(t, engine.StateRunning, status(t, c.leader(), "job"))
		assert.Equal(t, 1, w.starts["job.0.0.0"])
		time.Sleep(time.Second) // until the last renewal of the replaced relay has ended
		assert.NotEqual(t, before, relayName(t, w))
		l.relays.mu.Lock()
		defer l.relays.mu.Unlock()
		assert.NotContains(t, l.relays.links, before, "removed once it has no pending commands")
	})
}

// Starts and renewals are counted on the instance that makes the calls. Until the first
// follower has pinged the leader, that is the leader.
func TestRelayCountsItsCalls(t *testing.T) {
	runRelayCluster(t, 5, func(t *testing.T, c *cluster, w *sharedWorker) {
		direct := c.leader().stats.Renewals.Count()
		submitWithin(t, c.leader(), "job", 100*time.Millisecond)
		relay := c.members[relayName(t, w)]
		assert.Equal(t, int64(1), relay.stats.Start.Count())
		assert.Positive(t, relay.stats.Renewals.Count())
		assert.Zero(t, c.leader().stats.Start.Count())
		assert.Equal(t, direct, c.leader().stats.Renewals.Count())
	})
}

// refusingWorker is a worker that has ended.
type refusingWorker struct{ workerAccess }

// Renew implements Workers.
func (refusingWorker) Renew(_ context.Context, _ int64, renewal *engine.Renew) *engine.RenewalAnswered {
	return &engine.RenewalAnswered{Worker: renewal.Worker, ConnectionRefused: true}
}

func TestRelayForgetsThatAWorkerRefusesConnections(t *testing.T) {
	n := &Node{ports: Ports{Workers: refusingWorker{}}, stats: NewStats()}
	renewal := &engine.Renew{Worker: "w1", Timeout: time.Second}
	result := n.executeRelayed(1, &RelayCommand{Number: 1, Renew: renewal})
	event := (&relayedAction{action: renewal}).event(&result)
	assert.True(t, event.(*engine.RenewalAnswered).ConnectionRefused)
}
