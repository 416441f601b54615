package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/peer"

	"pollenbend/internal/wait"
)

// relays is the leader's view of its relays. Every worker belongs to one relay, which
// depends only on the names of the worker and of the relays, so that the connections to
// workers outlive a change of the leader.
type relays struct {
	l *leader

	mu         sync.Mutex
	nextNumber uint64
	links      map[string]*relayLink // by instance name
	names      []string              // of links that are not retired, sorted
	byWorker   map[string]*relayLink // cache of the relay of each worker
	failedAt   map[string]time.Time  // when a call to an instance last failed, by its name
}

// relayLink is the leader's end of the exchange with one relay.
type relayLink struct {
	r        *relays
	instance string
	address  string
	cancel   context.CancelFunc
	wake     chan struct{} // signals that queue is not empty

	// Guarded by relays.mu.
	retired bool // it gets no further commands, and is removed once all have results
	queue   []RelayCommand
	pending map[uint64]*relayedAction // commands without a result, by number
	sent    map[string]bool           // jobs whose payload the relay was sent
	lacking map[string]bool           // jobs whose payload the relay could not get from their entry
}

// relayedAction is an action that a relay was given to execute.
type relayedAction struct {
	action  any // *engine.Start, *engine.Stop or *engine.Renew
	sentAt  time.Time
	expires time.Time // when it counts as unanswered
}

const (
	// relayMargin is how much longer than the timeout of its action a relay's result may
	// take: the action and its result wait for a batch each, and cross the network.
	relayMargin = 600 * time.Millisecond
	// relayExpiryInterval is the interval between two checks for actions without a result.
	relayExpiryInterval = 50 * time.Millisecond
)

func newRelays(l *leader) *relays {
	return &relays{l: l, links: make(map[string]*relayLink), byWorker: make(map[string]*relayLink), failedAt: make(map[string]time.Time)}
}

// wantedRelays returns the followers that should be relays for a fleet of the given number of
// workers: the ones with the most CPU, none for a fleet that the leader serves itself.
func (s *Settings) wantedRelays(live []*follower, workers int) []*follower {
	if workers <= s.DirectWorkers {
		return nil
	}
	candidates := slices.Clone(live)
	candidates = slices.DeleteFunc(candidates, func(f *follower) bool { return f.Instance == s.Instance })
	slices.SortFunc(candidates, func(a, b *follower) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), strings.Compare(a.Instance, b.Instance))
	})
	return candidates[:min(len(candidates), (workers+s.WorkersPerRelay-1)/s.WorkersPerRelay)]
}

// usable returns the followers in live that have pinged since a call to them failed.
func (r *relays) usable(live []*follower) []*follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(live), func(f *follower) bool { return !f.pingedAt.After(r.failedAt[f.Instance]) })
}

// update sets the relays. Those of the others that are in reachable are retired; the rest,
// and those with another address now, are removed, and their commands count as unanswered.
func (r *relays) update(wanted, reachable []*follower) {
	addresses := addressesOf(wanted)
	reachableAddresses := addressesOf(reachable)
	var unanswered []*relayedAction
	changed := false
	r.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(r.links)) {
		link := r.links[name]
		switch link.address {
		case addresses[name]:
		case reachableAddresses[name]:
			if !link.retired {
				r.retire(link)
				changed = true
			}
		default:
			unanswered = append(unanswered, r.remove(name)...)
			changed = true
		}
	}
	for _, f := range wanted {
		link := r.links[f.Instance]
		if link != nil && !link.retired {
			continue
		}
		if link == nil {
			r.links[f.Instance] = r.newLink(f)
		} else {
			link.retired = false
		}
		r.names = append(r.names, f.Instance)
		changed = true
	}
	if changed {
		slices.Sort(r.names)
		clear(r.byWorker)
	}
	count := len(r.names)
	r.mu.Unlock()
	if changed {
		r.l.n.log.Info("relays changed", "term", r.l.rec.Term, "relays", count, "unanswered", len(unanswered))
		r.failAll(unanswered)
	}
}

// addressesOf returns the addresses of instances by their names.
func addressesOf(instances []*follower) map[string]string {
	addresses := make(map[string]string, len(instances))
	for _, f := range instances {
		addresses[f.Instance] = f.Address
	}
	return addresses
}

// remove removes a relay and returns its pending actions. r.mu is held.
func (r *relays) remove(name string) []*relayedAction {
	link := r.links[name]
	link.cancel()
	r.retire(link)
	delete(r.links, name)
	return link.takeAll()
}

// retire gives a relay no further commands. r.mu is held.
func (r *relays) retire(link *relayLink) {
	link.retired = true
	r.names = slices.DeleteFunc(r.names, func(name string) bool { return name == link.instance })
	clear(r.byWorker)
}

// drop removes a relay after a call to it has failed. The commands in unsent go to other
// relays; the others that it was given count as unanswered, as it may execute them.
func (r *relays) drop(link *relayLink, unsent []RelayCommand, reason error) {
	r.mu.Lock()
	if r.links[link.instance] != link {
		r.mu.Unlock()
		return
	}
	r.failedAt[link.instance] = time.Now()
	unsent = append(unsent, link.queue...)
	var again []*relayedAction
	for i := range unsent {
		if a := link.take(unsent[i].Number); a != nil {
			again = append(again, a)
		}
	}
	unanswered := r.remove(link.instance)
	r.mu.Unlock()
	r.l.n.log.Warn("relay dropped", "relay", link.instance, "term", r.l.rec.Term, "sent_again", len(again), "unanswered", len(unanswered), "reason", reason.Error())
	for _, a := range again {
		r.l.execute(a.action)
	}
	r.failAll(unanswered)
}

func (r *relays) newLink(f *follower) *relayLink {
	ctx, cancel := context.WithCancel(r.l.ctx)
	link := &relayLink{r: r, instance: f.Instance, address: f.Address, cancel: cancel, wake: make(chan struct{}, 1), pending: make(map[uint64]*relayedAction), sent: make(map[string]bool), lacking: make(map[string]bool)}
	go link.run(ctx)
	return link
}

// send gives an action to the relay of its worker. It reports false if there is none.
func (r *relays) send(action any) bool {
	worker, timeout := workerCall(action)
	now := time.Now()
	r.mu.Lock()
	link := r.relayOf(worker)
	if link == nil {
		r.mu.Unlock()
		return false
	}
	r.nextNumber++
	link.queue = append(link.queue, newRelayCommand(r.nextNumber, action))
	link.pending[r.nextNumber] = &relayedAction{action: action, sentAt: now, expires: now.Add(timeout + relayMargin)}
	r.mu.Unlock()
	wait.Wake(link.wake)
	return true
}

// relayOf returns the relay of a worker, or nil. It picks the relay with the highest hash
// of both names, so a change of the relays moves few workers. r.mu is held.
func (r *relays) relayOf(worker string) *relayLink {
	if link := r.byWorker[worker]; link != nil || len(r.names) == 0 {
		return link
	}
	best, highest := "", uint64(0)
	for _, name := range r.names {
		if h := xxhash.Sum64String(name + "/" + worker); best == "" || h > highest {
			best, highest = name, h
		}
	}
	r.byWorker[worker] = r.links[best]
	return r.byWorker[worker]
}

// run sends the queued commands in batches, one at a time, until ctx ends.
func (k *relayLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		for commands := k.takeQueue(); len(commands) > 0; commands = k.takeQueue() {
			k.sendBatch(ctx, commands)
			wait.For(ctx, relayBatchInterval)
		}
	}
}

// takeQueue removes at most maxRelayBatch commands from the queue.
func (k *relayLink) takeQueue() []RelayCommand {
	k.r.mu.Lock()
	defer k.r.mu.Unlock()
	n := min(len(k.queue), maxRelayBatch)
	batch := k.queue[:n]
	k.queue = k.queue[n:]
	for i := range batch {
		k.leaveOutPayload(&batch[i])
	}
	return batch
}

// leaveOutPayload removes the payload from a start command if the relay was sent it
// before, or can get it elsewhere. r.mu is held.
func (k *relayLink) leaveOutPayload(c *RelayCommand) {
	if c.Start == nil {
		return
	}
	id := jobOf(c.Start.Task)
	fromEntry := k.r.l.n.settings.PayloadsFromEntries && c.Start.Entry != "" && !k.lacking[id]
	if k.sent[id] || fromEntry {
		start := *c.Start // the engine may send the same action again
		start.Payload = ""
		c.Start, c.PayloadLeftOut = &start, true
		return
	}
	if len(k.sent) >= maxSentPayloads {
		clear(k.sent)
	}
	k.sent[id] = true
}

// sendBatch sends commands. If that fails it drops the relay.
func (k *relayLink) sendBatch(ctx context.Context, commands []RelayCommand) {
	l := k.r.l
	args := RelayArgs{Leader: l.n.settings.Address, Term: l.rec.Term, Commands: commands}
	ctx, cancel := context.WithTimeout(ctx, relayCallTimeout)
	defer cancel()
	err := l.n.peers.Get(k.address).Call(ctx, serviceName+".Relay", &args, &struct{}{})
	if err == nil || l.ctx.Err() != nil {
		return
	}
	if !errors.Is(err, peer.ErrNotSent) {
		commands = nil // the relay may execute them
	}
	k.r.drop(k, commands, err)
}

// take removes a pending action and returns it, or nil if there is none. r.mu is held.
func (k *relayLink) take(number uint64) *relayedAction {
	a := k.pending[number]
	delete(k.pending, number)
	return a
}

// takeAll removes all pending actions and returns them in the order of their numbers.
// r.mu is held.
func (k *relayLink) takeAll() []*relayedAction {
	taken := make([]*relayedAction, 0, len(k.pending))
	for _, number := range slices.Sorted(maps.Keys(k.pending)) {
		taken = append(taken, k.pending[number])
	}
	clear(k.pending)
	k.queue = nil
	return taken
}

// expire fails the actions whose result is overdue, and removes the retired relays without
// pending actions, until the term ends.
func (r *relays) expire() {
	for wait.For(r.l.ctx, relayExpiryInterval); r.l.ctx.Err() == nil; wait.For(r.l.ctx, relayExpiryInterval) {
		now := time.Now()
		var unanswered []*relayedAction
		r.mu.Lock()
		for _, name := range slices.Sorted(maps.Keys(r.links)) {
			link := r.links[name]
			for _, number := range slices.Sorted(maps.Keys(link.pending)) {
				if now.After(link.pending[number].expires) {
					unanswered = append(unanswered, link.take(number))
				}
			}
			if link.retired && len(link.pending) == 0 {
				r.remove(name)
			}
		}
		r.mu.Unlock()
		r.failAll(unanswered)
	}
}

// failAll posts for each action that it got no answer.
func (r *relays) failAll(actions []*relayedAction) {
	for _, a := range actions {
		r.l.post(a.event(&RelayResult{Outcome: engine.NoAnswer}))
	}
}

// handleResults posts the results of commands that a relay has executed. Results of
// actions that have expired are left out.
func (r *relays) handleResults(instance string, results []RelayResult) {
	for i := range results {
		r.mu.Lock()
		link := r.links[instance]
		var a *relayedAction
		if link != nil {
			a = link.take(results[i].Number)
		}
		r.mu.Unlock()
		switch {
		case a == nil:
		case results[i].PayloadMissing:
			r.resendWithPayload(link, a)
		default:
			r.l.post(a.event(&results[i]))
		}
	}
}

// resendWithPayload sends a start command again whose payload the relay did not get. If it
// was sent it before, the relay is a new process since.
func (r *relays) resendWithPayload(link *relayLink, a *relayedAction) {
	task := ""
	r.mu.Lock()
	if start, ok := a.action.(*engine.Start); ok {
		task = start.Task
		if len(link.lacking) >= maxSentPayloads {
			clear(link.lacking)
		}
		link.lacking[jobOf(task)] = true
	}
	clear(link.sent)
	r.mu.Unlock()
	r.l.n.log.Info("relay lacks a payload", "relay", link.instance, "term", r.l.rec.Term, "task", task)
	r.l.execute(a.action)
}

// event returns the event that reports a result of a to the engine.
func (a *relayedAction) event(result *RelayResult) any {
	switch action := a.action.(type) {
	case *engine.Start:
		return &engine.StartAnswered{Start: action, Outcome: result.Outcome, Incarnation: result.Incarnation, Clock: result.Clock,
			ConnectionRefused: result.ConnectionRefused}
	case *engine.Stop:
		return &engine.StopAnswered{Stop: action, Outcome: result.Outcome, Incarnation: result.Incarnation}
	case *engine.Renew:
		// The relay sends the renewal after sentAt, so what its report lacks was not there
		// at sentAt or later.
		return &engine.RenewalAnswered{Worker: action.Worker, Incarnation: action.Incarnation, SentAt: a.sentAt,
			Report: result.Report, Fenced: result.Fenced, OtherIncarnation: result.OtherIncarnation, ConnectionRefused: result.ConnectionRefused, Malformed: result.Malformed}
	}
	panic("not an action for a relay")
}

// Relayed takes the results of commands that another instance has relayed, if this
// instance leads in that term.
func (s *Service) Relayed(args *RelayedArgs, _ *struct{}) error {
	l := s.n.leading.Load()
	if l == nil || l.rec.Term != args.Term {
		return errTermEnded
	}
	l.relays.handleResults(args.Instance, args.Results)
	return nil
}
