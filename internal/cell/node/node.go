package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/peer"
	"pollenbend/internal/cell/policy"

	"pollenbend/internal/wait"
)

// Settings are what one instance knows from its settings.
type Settings struct {
	Instance string
	Address  string  // for peers
	CPUShare float64 // of a core
	Dial     peer.Dial
	Engine   engine.Config
}

// Ports are the node's ways to the outside.
type Ports struct {
	Store     Store
	Directory Directory
	Workers   Workers
	Adviser   Adviser
	Policies  Policies
}

// Node is one instance of a cell.
type Node struct {
	set     Settings
	ports   Ports
	log     *slog.Logger
	stats   *Stats
	session string
	peers   *peer.Pool

	policy  atomic.Pointer[policy.Policy]
	leading atomic.Pointer[leader]
	known   atomic.Pointer[Leadership]
	others  atomic.Pointer[instances]
	// heard is when the leader last answered, in nanoseconds since born.
	heard atomic.Int64
	// storeSeen is when the store last answered, in nanoseconds since born.
	storeSeen atomic.Int64
	born      time.Time
	draining  atomic.Bool
	claiming  atomic.Bool // a claim is under way; its record may be stored already
	takeOver  chan struct{}
	doubt     chan struct{} // the instance that is followed may not lead any more

	mu      sync.Mutex
	changed chan struct{} // closed when the leader changes
}

// New returns a node that does nothing yet.
func New(set Settings, ports Ports, stats *Stats, log *slog.Logger) *Node {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic(err) // the runtime's source of randomness does not fail
	}
	n := &Node{
		set: set, ports: ports, log: log, stats: stats, session: hex.EncodeToString(raw[:]),
		peers: peer.NewPool(set.Dial), born: time.Now(), takeOver: make(chan struct{}, 1), doubt: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	n.storeSeen.Store(-int64(time.Hour))
	n.heard.Store(-int64(time.Hour))
	return n
}

// Run finds or becomes the leader, again and again, until ctx ends. l takes the
// connections of peers.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	go func() {
		err := peer.Serve(l, serviceName, &Service{n})
		if ctx.Err() == nil {
			n.log.Error("peers cannot connect any more", "reason", err.Error())
		}
	}()
	go n.ports.Policies.Watch(ctx, n.setPolicy)
	for ctx.Err() == nil {
		n.round(ctx)
	}
}

// Policy returns the newest declarations, or nil before the first arrived.
func (n *Node) Policy() *policy.Policy { return n.policy.Load() }

// setPolicy takes over a version unless it has a newer one.
func (n *Node) setPolicy(p *policy.Policy) {
	for {
		old := n.policy.Load()
		if old != nil && p.Version <= old.Version {
			return
		}
		if n.policy.CompareAndSwap(old, p) {
			break
		}
	}
	n.log.Info("declarations received", "version", p.Version, "queues", len(p.Queues), "teams", len(p.Teams))
	if l := n.leading.Load(); l != nil {
		l.post(&engine.PolicyChanged{Policy: p})
	}
}

// readyWithin is how recently the leader must have answered for the instance to
// take callers.
const readyWithin = 1500 * time.Millisecond

// Ready reports whether the instance can serve callers.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.policy.Load() == nil {
		return false
	}
	return n.leading.Load() != nil || n.since(&n.heard) < readyWithin
}

// Drain makes the instance unready and gives up the leadership.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	if l := n.leading.Load(); l != nil {
		l.resign(ctx)
	}
}

func (n *Node) since(mark *atomic.Int64) time.Duration {
	return time.Since(n.born) - time.Duration(mark.Load())
}

func (n *Node) mark(mark *atomic.Int64) { mark.Store(int64(time.Since(n.born))) }

// setLeader notes who leads and wakes those who wait for a change.
func (n *Node) setLeader(rec *Leadership) {
	old := n.known.Swap(rec)
	if old != nil && rec != nil && old.Session == rec.Session && old.Term == rec.Term {
		return
	}
	n.wake()
	if rec != nil {
		n.log.Info("leader known", "leader", rec.Instance, "term", rec.Term, "self", rec.Session == n.session)
	}
}

func (n *Node) wake() {
	n.mu.Lock()
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
}

func (n *Node) leaderChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// storeTimeout bounds reads of the leadership record. The store may be many times
// slower than usual.
const storeTimeout = 1500 * time.Millisecond

// storePause is the pause after a failed call to the store.
const storePause = 100 * time.Millisecond

// storeAway is how long the store must have been silent before other instances are
// asked first who leads: longer than the pause between two answers of a store in
// reach.
const storeAway = 2 * time.Second

// round reads who leads and follows that leader, or tries to lead.
func (n *Node) round(ctx context.Context) {
	if n.since(&n.storeSeen) > storeAway && n.followPeers(ctx) {
		return
	}
	rec, at, next, found, err := n.readLeadership(ctx)
	if err != nil {
		n.log.Warn("cannot read who leads", "reason", err.Error())
		n.followPeers(ctx)
		wait.For(ctx, storePause)
		return
	}
	switch {
	case !found || rec.Resigned:
		n.campaign(ctx, next, "no leader")
	case rec.Session == n.session:
		n.campaign(ctx, next, "left over from an earlier term")
	default:
		n.setLeader(&rec)
		n.follow(ctx, &rec, at)
	}
}

func (n *Node) readLeadership(ctx context.Context) (rec Leadership, at, next int64, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, at, next, found, err = n.ports.Store.ReadLeadership(ctx)
	if err == nil {
		n.mark(&n.storeSeen)
		if found && rec.Term == 0 {
			rec.Term = at + 1
		}
	}
	return rec, at, next, found, err
}

const (
	// pingEvery is the pause between pings of the leader.
	pingEvery = 200 * time.Millisecond
	// pingTimeout bounds a ping.
	pingTimeout = 300 * time.Millisecond
	// refusedPings is how often in a row the leader's address must refuse
	// connections before its process counts as ended.
	refusedPings = 2
	// refusedPause is the pause between such pings.
	refusedPause = 40 * time.Millisecond
	// silentBeforeLook is how long the leader may be silent before the store is
	// asked whether it still renews its record.
	silentBeforeLook = 300 * time.Millisecond
	// staleLeader is how long the leader's record may stay the same while the
	// leader does not answer: two renewals, and some time for a slow store.
	staleLeader = 900 * time.Millisecond
)

// follow pings the leader until it has changed or is gone.
func (n *Node) follow(ctx context.Context, rec *Leadership, at int64) {
	refused := 0
	lastOK := time.Now()
	seenAt, seenSince := at, time.Time{}
	for ctx.Err() == nil {
		verdict := n.ping(ctx, rec)
		switch verdict {
		case pingLeads:
			refused, lastOK, seenSince = 0, time.Now(), time.Time{}
			if n.rest(ctx) {
				n.campaignNow(ctx, "asked to take over")
				return
			}
			continue
		case pingOther:
			n.challenge(ctx, rec, "the leader's process was replaced or stepped down")
			return
		case pingRefused:
			refused++
			if refused >= refusedPings {
				n.challenge(ctx, rec, "the leader's process has ended")
				return
			}
			wait.For(ctx, refusedPause)
			continue
		}
		if time.Since(lastOK) < silentBeforeLook {
			wait.For(ctx, refusedPause)
			continue
		}
		now, place, next, found, err := n.readLeadership(ctx)
		switch {
		case err != nil:
			return // other instances may know of another leader
		case !found || now.Session != rec.Session || now.Resigned:
			return
		case seenSince.IsZero() || place != seenAt:
			if seenSince.IsZero() && place == seenAt {
				n.log.Warn("leader is silent", "leader", rec.Instance, "term", rec.Term, "last_answer_ms", time.Since(lastOK).Milliseconds())
			}
			seenAt, seenSince = place, time.Now()
			wait.For(ctx, retryPause)
		case time.Since(seenSince) > staleLeader:
			n.campaign(ctx, next, "the leader is silent and does not renew")
			return
		default:
			wait.For(ctx, retryPause)
		}
	}
}

// rest waits until the next ping is due: at once if a request has found that the
// instance that is followed does not lead. It reports whether this instance is asked
// to take over.
func (n *Node) rest(ctx context.Context) bool {
	t := time.NewTimer(pingEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.doubt:
		wait.For(ctx, retryPause) // many requests may find it at a time
	case <-n.takeOver:
		return true
	}
	return false
}

// challenge campaigns if rec is still the newest record.
func (n *Node) challenge(ctx context.Context, rec *Leadership, why string) {
	now, _, next, found, err := n.readLeadership(ctx)
	if err != nil {
		n.log.Warn("cannot read who leads", "reason", err.Error())
		wait.For(ctx, storePause)
		return
	}
	if found && now.Session != rec.Session {
		return
	}
	n.campaign(ctx, next, why)
}

func (n *Node) campaignNow(ctx context.Context, why string) {
	_, _, next, _, err := n.readLeadership(ctx)
	if err != nil {
		n.log.Warn("cannot read who leads", "reason", err.Error())
		return
	}
	n.claim(ctx, next, why)
}

const (
	// campaignDelay is how long an instance with a whole core waits before it claims.
	// A weaker one waits in proportion longer, so that strong instances lead.
	campaignDelay = 25 * time.Millisecond
	// weakDelay is added for an instance that is much weaker than others of the cell.
	// These notice within two pings that the leader is gone.
	weakDelay = time.Second
	// drainingLook is the pause between looks who leads, of an instance that will not
	// lead itself but still passes requests on.
	drainingLook = 50 * time.Millisecond
	// weakLook is the pause between looks whether one of them leads by then.
	weakLook = 100 * time.Millisecond
)

func (n *Node) campaign(ctx context.Context, next int64, why string) {
	if n.draining.Load() {
		wait.For(ctx, drainingLook)
		return
	}
	share := max(0.1, min(1, n.set.CPUShare))
	wait.For(ctx, time.Duration(float64(campaignDelay)/share)+jitter(campaignDelay))
	if o := n.others.Load(); o != nil && weak(n.set.CPUShare, o.Strongest) && n.claimedByOther(ctx, next) {
		return
	}
	n.claim(ctx, next, why)
}

// claimedByOther leaves the leadership to stronger instances for weakDelay. It reports
// whether one of them took it.
func (n *Node) claimedByOther(ctx context.Context, next int64) bool {
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < weakDelay; wait.For(ctx, weakLook) {
		if _, _, now, _, err := n.readLeadership(ctx); err == nil && now != next {
			return true
		}
	}
	return false
}

// claim tries to become the leader and leads until deposed.
func (n *Node) claim(ctx context.Context, next int64, why string) {
	rec := Leadership{Instance: n.set.Instance, Session: n.session, Address: n.set.Address}
	n.claiming.Store(true)
	defer n.claiming.Store(false)
	writing, cancel := context.WithTimeout(ctx, storeTimeout)
	err := n.ports.Store.WriteLeadership(writing, rec, next)
	cancel()
	if errors.Is(err, ErrConflict) {
		return
	}
	if err != nil {
		n.log.Warn("claim without an answer", "reason", err.Error())
		now, at, _, found, err := n.readLeadership(ctx)
		if err != nil || !found || at != next || now.Session != n.session {
			wait.For(ctx, storePause)
			return
		}
	}
	n.mark(&n.storeSeen)
	rec.Term = next + 1
	n.log.Info("claimed the leadership", "term", rec.Term, "reason", why)
	n.setLeader(&rec)
	n.claiming.Store(false)
	n.lead(ctx, &rec, next+1)
}

// StoreSeen notes that the store has answered this instance.
func (n *Node) StoreSeen() { n.mark(&n.storeSeen) }
