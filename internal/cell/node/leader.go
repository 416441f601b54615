package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pollenbend/internal/cell/engine"

	"pollenbend/internal/wait"
)

// leader runs the engine for one term. One goroutine owns the engine; others carry
// out its actions and bring the results back as events.
type leader struct {
	n      *Node
	rec    Leadership
	events chan any
	done   chan struct{} // closed when the term is over here
	once   sync.Once
	cancel context.CancelFunc
	ctx    context.Context

	onlyWeak time.Time    // since when only weak instances reach the store, if so
	begun    time.Time    // when the term began here
	sequence int64        // of the next append
	failing  atomic.Int64 // since when the store refuses every call, zero if it does not

	mu   sync.Mutex
	arms map[string]*armState
}

// armState is an instance that pings this leader.
type armState struct {
	PingArgs
	at time.Time
}

const (
	// eventQueue is how many events may wait for the engine.
	eventQueue = 8192
	// eventBatch is how many events are taken in before actions go out.
	eventBatch = 128
	// tickEvery is how often the engine runs without an event.
	tickEvery = 10 * time.Millisecond
	// renewEvery is the pause between two renewals of the leadership record.
	renewEvery = 400 * time.Millisecond
	// pollWorkersEvery is the pause between two reads of the directory.
	pollWorkersEvery = 300 * time.Millisecond
	// armSilent is how long an instance that is silent still counts as an arm.
	armSilent = 800 * time.Millisecond
	// loadTimeout bounds one attempt to load the state.
	loadTimeout = 8 * time.Second
)

// preparing reports whether this instance has claimed the leadership and is
// loading its state.
func (n *Node) preparing() bool {
	k := n.known.Load()
	return k != nil && k.Session == n.session
}

// lead prepares the engine and runs it until the term is over. next is the place
// of the next leadership record.
func (n *Node) lead(ctx context.Context, rec *Leadership, next int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &leader{n: n, rec: *rec, events: make(chan any, eventQueue), done: make(chan struct{}),
		cancel: cancel, ctx: ctx, arms: make(map[string]*armState), sequence: 1, begun: time.Now()}
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		l.renew(next)
	}()
	e := l.prepare()
	if e != nil {
		n.leading.Store(l)
		n.wake()
		if p := n.policy.Load(); p != nil {
			l.post(&engine.PolicyChanged{Policy: p})
		}
		go l.pollWorkers()
		go l.watchArms()
		l.run(e)
	}
	l.stop("term over")
	n.leading.CompareAndSwap(l, nil)
	n.known.Store(nil)
	n.wake()
	<-renewed
}

// stop ends the term here.
func (l *leader) stop(why string) {
	l.once.Do(func() {
		l.n.log.Info("no longer leading", "term", l.rec.Term, "reason", why)
		l.cancel()
		close(l.done)
	})
}

// run owns the engine until the term is over.
func (l *leader) run(e *engine.Engine) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		case ev := <-l.events:
			l.handle(e, ev)
			l.drain(e)
		}
		for _, action := range e.Settle(time.Now()) {
			l.carryOut(action)
		}
	}
}

func (l *leader) handle(e *engine.Engine, ev any) {
	start := time.Now()
	e.Handle(start, ev)
	l.n.stats.Events.Inc(1)
}

// drain takes in the events that wait, up to a batch.
func (l *leader) drain(e *engine.Engine) {
	for range eventBatch {
		select {
		case ev := <-l.events:
			l.handle(e, ev)
		default:
			return
		}
	}
}

// post hands an event to the engine, unless the term is over.
func (l *leader) post(event any) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// ask posts the event that event makes and waits for its answer. ok is false if
// ctx or the term ended first.
func (l *leader) ask(ctx context.Context, event func(func(engine.Answer)) any) (answer engine.Answer, ok bool) {
	answers := make(chan engine.Answer, 1)
	l.post(event(func(a engine.Answer) {
		select {
		case answers <- a:
		default: // answered already
		}
	}))
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
	case <-l.done:
	}
	return engine.Answer{}, false
}

// pinged notes an instance that follows this leader.
func (l *leader) pinged(args *PingArgs) {
	l.mu.Lock()
	l.arms[args.Instance] = &armState{PingArgs: *args, at: time.Now()}
	l.mu.Unlock()
}

// liveArms returns the instances that pinged lately, by name.
func (l *leader) liveArms() []*armState {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []*armState
	for _, name := range slices.Sorted(maps.Keys(l.arms)) {
		a := l.arms[name]
		if time.Since(a.at) > armSilent {
			delete(l.arms, name)
			continue
		}
		if !a.Draining {
			live = append(live, a)
		}
	}
	return live
}

func (l *leader) armAddress(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.arms[name]; a != nil {
		return a.Address
	}
	return ""
}

const (
	// watchArmsEvery is how often the list of arms is worked out.
	watchArmsEvery = 200 * time.Millisecond
	// refusedBeforeHandover is how long the store may refuse this leader before an
	// instance that reaches it takes over.
	refusedBeforeHandover = 500 * time.Millisecond
	// silentBeforeHandover is the same for a store that does not answer. It is
	// longer than a slow answer takes.
	silentBeforeHandover = time.Second
	// silentBeforeProbe is how long the store may be silent before the other
	// instances are asked, with the answers to their pings, to try it.
	silentBeforeProbe = 500 * time.Millisecond
	// armStoreMargin is how much later than this leader's last answer from the store
	// an arm must have had one to take over: more than the age of what pings tell.
	armStoreMargin = 400 * time.Millisecond
)

// watchArms keeps the engine's list of arms and hands over when the store turns
// this leader away but not others.
func (l *leader) watchArms() {
	var before []string
	for l.ctx.Err() == nil {
		live := l.liveArms()
		names := []string{l.n.set.Instance}
		for _, a := range live {
			if a.Instance != l.n.set.Instance {
				names = append(names, a.Instance)
			}
		}
		if !slices.Equal(names, before) {
			before = names
			l.post(&engine.ArmsChanged{Arms: names})
			l.n.others.Store(instancesOf(live, l.n.set.CPUShare))
		}
		l.considerHandover(live)
		wait.For(l.ctx, watchArmsEvery)
	}
}

// pollWorkers keeps the engine's list of workers.
func (l *leader) pollWorkers() {
	told := false // the engine has had the list of this term
	for l.ctx.Err() == nil {
		list, changed, err := l.pollOnce()
		if err != nil {
			l.refused(err)
		} else if changed || !told {
			told = true
			l.post(&engine.WorkersListed{Workers: list})
		}
		wait.For(l.ctx, pollWorkersEvery)
	}
}

func (l *leader) pollOnce() ([]engine.Listed, bool, error) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	list, changed, err := l.n.ports.Directory.Poll(ctx)
	if err == nil {
		l.seen()
	}
	return list, changed, err
}
