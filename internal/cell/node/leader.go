package node

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pollenbend/internal/cell/engine"

	"pollenbend/internal/wait"
)

// leader runs the engine for one term. One goroutine owns the engine; others execute its
// actions and return the results as events.
type leader struct {
	n        *Node
	rec      Leadership
	events   chan any
	done     chan struct{} // closed when the term ends on this instance
	stopOnce sync.Once
	cancel   context.CancelFunc
	ctx      context.Context

	onlyLowCPUSince   time.Time     // since when only low-CPU instances reach the store; zero otherwise
	moreCPUSince      time.Time     // since when an instance with much more CPU follows; zero if none does
	startedAt         time.Time     // when the term began on this instance
	sequence          int64         // sequence number of the next append
	storeFailingSince atomic.Int64  // since when every call to the store fails, in nanoseconds since Node.startedAt; zero if the last one succeeded
	storeRefused      atomic.Bool   // the last failure was an answer of the store or a reset of the connection, not a timeout
	followerReached   chan struct{} // signals that a follower has reached the store while calls of this leader fail

	mu        sync.Mutex
	followers map[string]*follower // by instance name
	pingedAt  map[string]time.Time // when each instance that does not drain last pinged, by name

	relays  *relays
	workers atomic.Int64 // number of workers in the directory

	confirmations confirmations
}

// follower is the last ping of an instance that follows this leader.
type follower struct {
	PingArgs
	pingedAt time.Time
}

const (
	// maxQueuedEvents is how many events may wait for the engine.
	maxQueuedEvents = 8192
	// maxEventBatch is how many queued events, after the first, the engine handles
	// before its actions are executed.
	maxEventBatch = 128
	// tickInterval is the time between two runs of the engine when there are no events.
	tickInterval = 10 * time.Millisecond
	// leadershipRenewInterval is the delay between two renewals of the leadership record.
	leadershipRenewInterval = 250 * time.Millisecond
	// directoryPollInterval is the delay between two reads of the directory.
	directoryPollInterval = 300 * time.Millisecond
	// followerTimeout is how long after its last ping an instance counts as a follower.
	followerTimeout = 800 * time.Millisecond
	// loadTimeout bounds one attempt to load the state.
	loadTimeout = 8 * time.Second
)

// leadsOrPrepares reports whether this instance leads, or has claimed the leadership and
// prepares to lead.
func (n *Node) leadsOrPrepares() bool {
	known := n.knownLeader.Load()
	return known != nil && known.Session == n.incarnation
}

// lead prepares the engine and runs it until the term ends. next is the offset of the
// next leadership record.
func (n *Node) lead(ctx context.Context, rec *Leadership, next int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &leader{n: n, rec: *rec, events: make(chan any, maxQueuedEvents), done: make(chan struct{}),
		cancel: cancel, ctx: ctx, followers: make(map[string]*follower), pingedAt: make(map[string]time.Time), followerReached: make(chan struct{}, 1), sequence: 1, startedAt: time.Now()}
	l.relays = newRelays(l)
	n.ownTerm.Store(l)
	renewalEnded := make(chan struct{})
	go func() {
		defer close(renewalEnded)
		l.renewLeadership(next)
	}()
	e := l.prepare()
	if e != nil {
		n.leading.Store(l)
		n.notifyLeaderChanged()
		if p := n.policy.Load(); p != nil {
			l.post(&engine.PolicyChanged{Policy: p})
		}
		l.updateRelays(l.liveFollowers())
		go l.pollWorkers()
		go l.watchFollowers()
		go l.relays.expire()
		l.run(e)
	}
	l.stop("term ended")
	n.leading.CompareAndSwap(l, nil)
	n.ownTerm.CompareAndSwap(l, nil)
	n.knownLeader.Store(nil)
	n.notifyLeaderChanged()
	<-renewalEnded
}

// stop ends the term on this instance.
func (l *leader) stop(reason string) {
	l.stopOnce.Do(func() {
		l.n.log.Info("no longer leading", "term", l.rec.Term, "reason", reason)
		l.cancel()
		close(l.done)
	})
}

// ended reports whether the term has ended on this instance.
func (l *leader) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// run passes the events to the engine and executes its actions until the term ends. Only
// its goroutine uses the engine. A panic of the engine ends the term, not the process: the next
// leader starts from the stored state, without the event that caused it.
func (l *leader) run(e *engine.Engine) {
	defer func() {
		if cause := recover(); cause != nil {
			l.n.log.Error("the engine failed", "term", l.rec.Term, "reason", fmt.Sprint(cause), "stack", string(debug.Stack()))
			l.stop("the engine failed")
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	roundStartedAt := time.Now()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		case ev := <-l.events:
			l.handle(e, ev)
			l.handleQueued(e)
		}
		actions := e.Settle(time.Now())
		if paused := elapsed(roundStartedAt, time.Now()); paused > maxRoundDuration {
			l.stop("paused for " + paused.Round(time.Millisecond).String())
			return
		}
		if l.isolated(time.Now()) {
			l.stop("neither the store nor most of the other instances answer")
			return
		}
		roundStartedAt = time.Now()
		for _, action := range actions {
			l.execute(action)
		}
	}
}

// maxRoundDuration is the longest time between two rounds of the engine, which follow each other
// every tickInterval. After a longer one the process was paused and another instance may lead.
// The bound is that of a leader that is isolated, as both may renew leases that the next
// leader takes to have expired.
const maxRoundDuration = isolationTimeout

// elapsed returns the time from one moment to another by the clock that has advanced more: the
// monotonic clock stands still while a machine is suspended, the time of day does not.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// handle passes one event to the engine.
func (l *leader) handle(e *engine.Engine, ev any) {
	start := time.Now()
	e.Handle(start, ev)
	l.n.stats.Events.Inc(1)
}

// handleQueued handles the events that are queued, at most maxEventBatch.
func (l *leader) handleQueued(e *engine.Engine) {
	for range maxEventBatch {
		select {
		case ev := <-l.events:
			l.handle(e, ev)
		default:
			return
		}
	}
}

// post queues an event for the engine, unless the term has ended.
func (l *leader) post(event any) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// ask posts the event that newEvent returns and waits for the engine's answer to it. The error
// is errNotHandled if the request had no effect, and errTermEnded if ctx or the term ended
// before the answer.
func (l *leader) ask(ctx context.Context, newEvent func(func(engine.Answer)) any) (engine.Answer, error) {
	if l.confirmRecent(ctx) == replaced || ctx.Err() != nil {
		return engine.Answer{}, errNotHandled
	}
	answers := make(chan engine.Answer, 1)
	event := newEvent(func(a engine.Answer) {
		select {
		case answers <- a:
		default: // answered already
		}
	})
	if !l.postUnlessEnded(event) {
		return engine.Answer{}, errNotHandled
	}
	select {
	case a := <-answers:
		return l.confirmAnswer(ctx, event, a)
	case <-ctx.Done():
	case <-l.done:
	}
	return engine.Answer{}, errTermEnded
}

// postUnlessEnded is post. It reports whether the event was queued, which it isn't once the term has ended.
func (l *leader) postUnlessEnded(event any) bool {
	if l.ended() {
		return false
	}
	select {
	case l.events <- event:
		return true
	case <-l.done:
		return false
	}
}

// recordPing records the ping of an instance that follows this leader.
func (l *leader) recordPing(args *PingArgs) {
	f := &follower{PingArgs: *args, pingedAt: time.Now()}
	l.mu.Lock()
	l.followers[args.Instance] = f
	l.pingedAt[args.Instance] = f.pingedAt
	if f.Draining {
		delete(l.pingedAt, args.Instance)
	}
	l.mu.Unlock()
	if l.reachedStoreSinceFailure(f) {
		wait.Wake(l.followerReached)
	}
}

// liveFollowers returns the instances that pinged within followerTimeout and do not
// drain, sorted by name. It removes the followers that did not ping in that time.
func (l *leader) liveFollowers() []*follower {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []*follower
	for _, name := range slices.Sorted(maps.Keys(l.followers)) {
		f := l.followers[name]
		if time.Since(f.pingedAt) > followerTimeout {
			delete(l.followers, name)
			continue
		}
		if !f.Draining {
			live = append(live, f)
		}
	}
	return live
}

// followerAddress returns the address of an instance that follows this leader, or "".
func (l *leader) followerAddress(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.followers[name]; f != nil {
		return f.Address
	}
	return ""
}

const (
	// followersInterval is the delay between two evaluations of the followers by
	// watchFollowers.
	followersInterval = 200 * time.Millisecond
	// storeFailingHandoverDelay is how long every call of this leader to the store must
	// have failed before an instance that reaches the store takes over.
	storeFailingHandoverDelay = 500 * time.Millisecond
	// storeRefusedHandoverDelay is the same if the store refuses the calls or resets their
	// connections. It is long enough for several calls on new connections.
	storeRefusedHandoverDelay = 200 * time.Millisecond
	// storeNoAnswerHandoverDelay is how long the store must have been without an answer
	// to this leader before an instance that reaches the store takes over. It is longer
	// than a slow store takes to answer.
	storeNoAnswerHandoverDelay = time.Second
	// storeNoAnswerProbeDelay is the time without an answer from the store after which
	// the leader, in its answers to pings, asks the other instances to probe the store.
	storeNoAnswerProbeDelay = 500 * time.Millisecond
	// storeAnswerMargin is by how much the store's last answer to a follower must be more
	// recent than its last answer to this leader for the follower to take over. It is
	// longer than the age of what pings report.
	storeAnswerMargin = 400 * time.Millisecond
	// storeRefusedAnswerMargin is how long after the first failure of this leader the store
	// must have answered a follower for the store to count as away for the leader alone. It
	// covers the time that a ping is under way.
	storeRefusedAnswerMargin = 100 * time.Millisecond
)

// watchFollowers keeps the engine's list of delegates and the list of instances up to
// date, and hands over if considerHandover finds an instance that should lead instead.
func (l *leader) watchFollowers() {
	var previous, previousStandbys []string
	for l.ctx.Err() == nil {
		l.n.measureCPU()
		live := l.liveFollowers()
		names := []string{l.n.settings.Instance}
		for _, f := range live {
			if f.Instance != l.n.settings.Instance {
				names = append(names, f.Instance)
			}
		}
		changed := false
		if !slices.Equal(names, previous) {
			previous = names
			l.post(&engine.DelegatesChanged{Delegates: names})
			changed = true
		}
		chosen := l.n.settings.chooseStandbys(live, previousStandbys, l.n.cpuShare(), int(l.workers.Load()))
		if standbys := namesOf(chosen); !slices.Equal(standbys, previousStandbys) {
			l.n.log.Info("standbys chosen", "term", l.rec.Term, "standbys", standbys)
			previousStandbys, changed = standbys, true
		}
		if changed {
			l.n.cellInstances.Store(newInstanceList(live, chosen, l.n.cpuShare()))
		}
		l.updateRelays(live)
		l.considerHandover(live)
		wait.Until(l.ctx, l.followerReached, followersInterval)
	}
}

// namesOf returns the names of instances.
func namesOf(instances []*follower) []string {
	var names []string
	for _, f := range instances {
		names = append(names, f.Instance)
	}
	return names
}

// updateRelays sets the relays for the live followers and the size of the fleet.
func (l *leader) updateRelays(live []*follower) {
	usable := l.relays.usable(live)
	l.relays.update(l.n.settings.wantedRelays(usable, int(l.workers.Load())), usable)
}

// pollWorkers keeps the engine's list of workers up to date.
func (l *leader) pollWorkers() {
	posted := false // the first list is always posted, as prepare may have received none
	for l.ctx.Err() == nil {
		list, changed, err := l.pollOnce()
		if err == nil && (changed || !posted) {
			posted = true
			l.post(&engine.WorkersListed{Workers: list})
		}
		wait.For(l.ctx, directoryPollInterval)
	}
}

// pollOnce reads the list of workers from the directory, and notes whether the store has
// answered.
func (l *leader) pollOnce() ([]engine.WorkerInfo, bool, error) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	list, changed, err := l.n.ports.Directory.Poll(ctx)
	if err != nil {
		l.noteStoreFailure(err)
		return nil, false, err
	}
	l.noteStoreAnswer()
	l.workers.Store(int64(len(list)))
	return list, changed, nil
}
