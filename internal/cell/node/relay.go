package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"

	"pollenbend/internal/wait"
)

// A relay is an instance that sends commands and renewals to workers for the leader of a
// large fleet, so that the leader's connections, link and processor do not bound the size
// of the fleet. It decides nothing: each command carries what the worker needs to reject
// it when it is outdated.

// RelayCommand is a command or renewal for a worker. One of its pointers is set.
type RelayCommand struct {
	Number uint64 // identifies the command in the leader's term
	Start  *engine.Start
	// PayloadLeftOut reports that Start lacks its payload. An earlier command for a task of
	// the same job had it, or the instance that took the job has it.
	PayloadLeftOut bool
	Stop           *engine.Stop
	Renew          *engine.Renew
}

// RelayArgs are commands of a leader.
type RelayArgs struct {
	Leader   string // address at which the leader takes the results
	Term     int64
	Commands []RelayCommand
}

// RelayResult is the outcome of a command. Outcome and Clock are set for commands, Report,
// Fenced and OtherIncarnation for renewals, ConnectionRefused for starts and renewals.
type RelayResult struct {
	Number            uint64
	Outcome           engine.CommandOutcome
	Incarnation       int64 // incarnation of the worker that answered, zero if unknown
	Clock             int64 // the worker's clock, in ms
	Report            *engine.Report
	Fenced            bool
	OtherIncarnation  bool
	ConnectionRefused bool
	Malformed         bool // see engine.RenewalAnswered
	PayloadMissing    bool // nothing was sent to the worker, as the payload is not known
}

// RelayedArgs are results of commands that an instance has relayed.
type RelayedArgs struct {
	Instance string
	Term     int64
	Results  []RelayResult
}

// errLaterTerm is returned to the leader of an earlier term.
var errLaterTerm = errors.New("the instance relays for a later term")

// Relay executes commands for a leader. It returns at once; the results follow in calls of
// Relayed.
func (s *Service) Relay(args *RelayArgs, _ *struct{}) error {
	box := s.n.outboxFor(args.Leader, args.Term)
	if box == nil {
		return errLaterTerm
	}
	for i := range args.Commands {
		c := &args.Commands[i]
		if c.Start != nil && !c.PayloadLeftOut {
			s.n.relayedPayloads.add(jobOf(c.Start.Task), c.Start.Payload)
		}
		go func() { box.add(s.n.executeRelayed(args.Term, c)) }()
	}
	return nil
}

// newRelayCommand returns the command for an action.
func newRelayCommand(number uint64, action any) RelayCommand {
	c := RelayCommand{Number: number}
	switch a := action.(type) {
	case *engine.Start:
		c.Start = a
	case *engine.Stop:
		c.Stop = a
	case *engine.Renew:
		c.Renew = a
	}
	return c
}

// action returns the action that c was made from.
func (c *RelayCommand) action() any {
	switch {
	case c.Start != nil:
		return c.Start
	case c.Stop != nil:
		return c.Stop
	}
	return c.Renew
}

// executeRelayed executes a command and returns its result.
func (n *Node) executeRelayed(term int64, c *RelayCommand) RelayResult {
	result := RelayResult{Number: c.Number}
	if c.PayloadLeftOut {
		payload, known := n.payloadOf(jobOf(c.Start.Task), c.Start.Entry)
		if !known {
			result.PayloadMissing = true
			return result
		}
		c.Start.Payload = payload
	}
	switch ev := n.callWorker(context.Background(), term, c.action()).(type) {
	case *engine.StartAnswered:
		result.Outcome, result.Incarnation, result.Clock = ev.Outcome, ev.Incarnation, ev.Clock
		result.ConnectionRefused = ev.ConnectionRefused
	case *engine.StopAnswered:
		result.Outcome, result.Incarnation = ev.Outcome, ev.Incarnation
	case *engine.RenewalAnswered:
		result.Report, result.Fenced, result.OtherIncarnation = ev.Report, ev.Fenced, ev.OtherIncarnation
		result.ConnectionRefused, result.Malformed = ev.ConnectionRefused, ev.Malformed
	}
	return result
}

const (
	// relayBatchInterval is the minimum interval between two calls in one direction between
	// the leader and a relay. What comes up in between shares the next call.
	relayBatchInterval = 10 * time.Millisecond
	// relayCallTimeout bounds a call between the leader and a relay.
	relayCallTimeout = 500 * time.Millisecond
	// maxRelayBatch is the maximum number of commands or results in a call.
	maxRelayBatch = 256
)

// outbox collects the results for one term of a leader and sends them. It sends one batch
// at a time, so batches grow instead of their number when the link is slow.
type outbox struct {
	n       *Node
	leader  string // address
	term    int64
	results chan RelayResult
}

// outboxFor returns the outbox for a term of the leader at an address, or nil if this
// instance relays for a later term. It replaces the outbox of an earlier term, for whose
// results nobody waits.
func (n *Node) outboxFor(leader string, term int64) *outbox {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.outbox == nil || n.outbox.term < term:
	case n.outbox.term == term:
		return n.outbox
	default:
		return nil
	}
	box := &outbox{n: n, leader: leader, term: term, results: make(chan RelayResult, maxQueuedResults)}
	n.outbox = box
	go box.run()
	return box
}

const (
	// maxQueuedResults is how many results may wait to be sent. Further ones are dropped;
	// their commands count as unanswered.
	maxQueuedResults = 4096
	// outboxIdleTimeout is how long an outbox without results is kept.
	outboxIdleTimeout = 5 * time.Second
)

// add queues a result.
func (b *outbox) add(r RelayResult) {
	select {
	case b.results <- r:
	default:
	}
}

// run sends the results until there have been none for outboxIdleTimeout.
func (b *outbox) run() {
	idle := time.NewTimer(outboxIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case r := <-b.results:
			b.send(r)
			idle.Reset(outboxIdleTimeout)
		case <-idle.C:
			b.n.mu.Lock()
			if b.n.outbox == b {
				b.n.outbox = nil
			}
			b.n.mu.Unlock()
			return
		}
	}
}

// send sends a result and those that are queued.
func (b *outbox) send(first RelayResult) {
	args := RelayedArgs{Instance: b.n.settings.Instance, Term: b.term, Results: append(drain(b.results, maxRelayBatch-1), first)}
	ctx, cancel := context.WithTimeout(context.Background(), relayCallTimeout)
	defer cancel()
	if err := b.n.peers.Get(b.leader).Call(ctx, serviceName+".Relayed", &args, &struct{}{}); err != nil {
		b.n.log.Warn("results not delivered to the leader; their commands count as unanswered", "leader", b.leader, "term", b.term, "results", len(args.Results), "reason", err.Error())
	}
	wait.For(context.Background(), relayBatchInterval)
}

// drain returns what is queued in c, at most limit.
func drain[T any](c <-chan T, limit int) []T {
	var out []T
	for len(out) < limit {
		select {
		case v := <-c:
			out = append(out, v)
		default:
			return out
		}
	}
	return out
}
