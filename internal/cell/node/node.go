package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/peer"
	"pollenbend/internal/cell/policy"

	"pollenbend/internal/wait"
)

// Settings configure one instance.
type Settings struct {
	Instance string  // name of the instance
	Address  string  // address at which peers connect to it
	CPUShare float64 // CPU of the instance, in cores
	LinkMbps float64 // bandwidth of the instance's link in Mbit/s, zero if unknown
	// Slowdown measures how many times as long as usual the processor takes, at least 1. It
	// is called every pingInterval. If it is nil the processor counts as always the same.
	Slowdown func() float64
	Dial     peer.Dial // opens connections to peers
	// DirectWorkers is the number of workers up to which the leader sends all commands
	// itself. A larger fleet has one relay for every WorkersPerRelay workers.
	DirectWorkers   int
	WorkersPerRelay int
	// PayloadsFromEntries makes relays fetch the payload of a job from the instance that
	// took the job, so that it does not pass over the leader's link to each of them.
	PayloadsFromEntries bool
	// MaxAppendBytes is the maximum size of the records of one append, with
	// recordFrameBytes for each; zero if the store sets no limit.
	MaxAppendBytes int
	// Reserve reserves memory for a job that another instance forwards to this one, or
	// returns false if there is none. If it is nil there is no limit.
	Reserve func(bytes int64) (release func(), ok bool)
	Engine  engine.Config
}

// Ports are the interfaces through which the node uses other systems.
type Ports struct {
	Store     Store
	Directory Directory
	Workers   Workers
	Adviser   Adviser
	Policies  Policies
}

// Node is one instance of a cell.
type Node struct {
	settings    Settings
	ports       Ports
	log         *slog.Logger
	stats       *Stats
	incarnation string
	peers       *peer.Pool

	policy        atomic.Pointer[policy.Policy] // declarations in force; nil until the first version arrives
	leading       atomic.Pointer[leader]        // nil unless this instance leads
	ownTerm       atomic.Pointer[leader]        // nil unless this instance prepares to lead or leads
	knownLeader   atomic.Pointer[Leadership]    // leader that is followed, or this instance while it prepares to lead or leads; nil if unknown
	cellInstances atomic.Pointer[instanceList]  // newest list that the leader has made; nil until there is one
	// leaderAnsweredAt is when the leader last answered, in nanoseconds since
	// startedAt.
	leaderAnsweredAt atomic.Int64
	// storeAnsweredAt is when the store last answered, in nanoseconds since startedAt.
	storeAnsweredAt atomic.Int64
	startedAt       time.Time
	submitCalls     atomic.Uint64 // calls of Submit so far
	usableCPU       atomic.Uint64 // see cpuShare; bits of a float64
	// refreshedAt is when the copy of the state was last brought up to date, in nanoseconds
	// since startedAt.
	refreshedAt          atomic.Int64
	directoryRefreshedAt atomic.Int64                       // the same for the copy of the directory
	refreshCancel        atomic.Pointer[context.CancelFunc] // ends the last refresh; nil before the first
	draining             atomic.Bool
	claiming             atomic.Bool   // a claim is in progress; its record may be stored already
	takeOverRequested    chan struct{} // signals that a peer asked this instance to take over
	takeOverTerm         atomic.Int64  // term of the leader that the last request was to take over from
	leaderDoubted        chan struct{} // signals that the followed instance may no longer lead

	mu              sync.Mutex
	leaderChange    chan struct{}      // closed when the leader changes
	ownPayloads     *payloadCache      // of jobs that callers submitted to this instance
	relayedPayloads *payloadCache      // of jobs whose tasks this instance has started as a relay
	payloadFetches  singleflight.Group // by job
	outbox          *outbox            // results for the leader of the latest term for which this instance is a relay; nil if there are none
}

// New returns a node. It does nothing until Run is called.
func New(settings Settings, ports Ports, stats *Stats, log *slog.Logger) *Node {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic(err) // the runtime's source of randomness does not fail
	}
	n := &Node{
		settings: settings, ports: ports, log: log, stats: stats, incarnation: hex.EncodeToString(raw[:]),
		peers: peer.NewPool(settings.Dial), startedAt: time.Now(), takeOverRequested: make(chan struct{}, 1), leaderDoubted: make(chan struct{}, 1), leaderChange: make(chan struct{}),
		ownPayloads: newPayloadCache(maxOwnPayloads), relayedPayloads: newPayloadCache(maxRelayPayloads),
	}
	// The store and the leader have not answered yet, and there is no copy of the state. An
	// hour is longer than all timeouts for these.
	n.storeAnsweredAt.Store(-int64(time.Hour))
	n.leaderAnsweredAt.Store(-int64(time.Hour))
	n.refreshedAt.Store(-int64(time.Hour))
	n.directoryRefreshedAt.Store(-int64(time.Hour))
	n.usableCPU.Store(math.Float64bits(settings.CPUShare))
	return n
}

// Run follows the leader or leads until ctx ends. It accepts the connections of peers
// from l.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	go func() {
		err := peer.Serve(l, serviceName, &Service{n}, func(err error) {
			n.log.Error("a connection of a peer was not accepted", "reason", err.Error())
		})
		if ctx.Err() == nil {
			n.log.Error("stopped accepting peer connections", "reason", err.Error())
		}
	}()
	go n.ports.Policies.Watch(ctx, n.setPolicy)
	go n.runStandby(ctx)
	for ctx.Err() == nil {
		n.followOrCampaign(ctx)
	}
}

// Policy returns the newest declarations, or nil until the first version has arrived.
func (n *Node) Policy() *policy.Policy { return n.policy.Load() }

// setPolicy puts declarations and evacuations in force, each unless those in force are
// as new.
func (n *Node) setPolicy(p *policy.Policy) {
	for {
		old := n.policy.Load()
		if !p.Newer(old) {
			return
		}
		p = p.Merge(old)
		if n.policy.CompareAndSwap(old, p) {
			break
		}
	}
	n.log.Info("declarations received", "version", p.Version, "queues", len(p.Queues), "teams", len(p.Teams),
		"evacuated_zones", p.Evacuations.Zones, "evacuation_revision", p.Evacuations.Revision)
	if l := n.leading.Load(); l != nil {
		l.post(&engine.PolicyChanged{Policy: p})
	}
}

// readyWindow is how recently the leader must have answered for an instance that
// follows it to be ready.
const readyWindow = 1500 * time.Millisecond

// Ready reports whether the instance can serve callers.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.policy.Load() == nil {
		return false
	}
	return n.leading.Load() != nil || n.since(&n.leaderAnsweredAt) < readyWindow
}

// Drain makes the instance unready. If the instance leads, it resigns.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	if l := n.leading.Load(); l != nil {
		l.resign(ctx)
	}
}

// since returns the time since t, which is in nanoseconds since startedAt.
func (n *Node) since(t *atomic.Int64) time.Duration {
	return time.Since(n.startedAt) - time.Duration(t.Load())
}

// setNow sets t to the current time, in nanoseconds since startedAt.
func (n *Node) setNow(t *atomic.Int64) { t.Store(int64(time.Since(n.startedAt))) }

// setLeader records who leads and, if the leader or its term has changed, notifies the
// requests that wait for a leader.
func (n *Node) setLeader(rec *Leadership) {
	previous := n.knownLeader.Swap(rec)
	if previous != nil && rec != nil && previous.Session == rec.Session && previous.Term == rec.Term {
		return
	}
	n.notifyLeaderChanged()
	if rec != nil {
		n.log.Info("leader changed", "leader", rec.Instance, "term", rec.Term, "self", rec.Session == n.incarnation)
	}
}

// notifyLeaderChanged closes the channel that leaderChanged has returned.
func (n *Node) notifyLeaderChanged() {
	n.mu.Lock()
	close(n.leaderChange)
	n.leaderChange = make(chan struct{})
	n.mu.Unlock()
}

// leaderChanged returns a channel that is closed at the next change of the leader.
func (n *Node) leaderChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaderChange
}

// storeTimeout bounds one call to the directory, and one call to the store that is
// neither an append nor a load. The store may be many times slower than usual.
const storeTimeout = 1500 * time.Millisecond

// storeRetryDelay is the delay after a failed call to the store.
const storeRetryDelay = 100 * time.Millisecond

// storeUnreachableTimeout is the time without an answer from the store after which the
// store counts as unreachable from an instance. It is longer than the time between two
// answers of a reachable store. An instance that cannot reach the store asks other
// instances first who leads, and the leader does not hand over to it for its CPU share or
// when resigning.
const storeUnreachableTimeout = 2 * time.Second

// followOrCampaign finds out who leads and follows that leader, or campaigns if nobody
// leads.
func (n *Node) followOrCampaign(ctx context.Context) {
	if n.since(&n.storeAnsweredAt) > storeUnreachableTimeout && n.followPeers(ctx) {
		return
	}
	rec, _, next, found, err := n.readLeadership(ctx)
	if err != nil {
		n.log.Warn("cannot read the leadership record", "reason", err.Error())
		n.followPeers(ctx)
		wait.For(ctx, storeRetryDelay)
		return
	}
	switch {
	case !found || rec.Resigned:
		n.campaign(ctx, rec.Term, next, "no leader")
	case rec.Session == n.incarnation:
		n.campaign(ctx, rec.Term, next, "the newest leadership record is of an earlier term of this instance")
	default:
		n.setLeader(&rec)
		n.follow(ctx, &rec)
	}
}

// readLeadership reads the newest leadership record from the store, its offset and the
// offset of the next one. found is false if there is none.
func (n *Node) readLeadership(ctx context.Context) (rec Leadership, offset, next int64, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, offset, next, found, err = n.ports.Store.ReadLeadership(ctx)
	if err == nil {
		n.setNow(&n.storeAnsweredAt)
		if found && rec.Term == 0 {
			rec.Term = offset + 1
		}
	}
	return rec, offset, next, found, err
}

const (
	// pingInterval is the delay between two pings of the leader.
	pingInterval = 200 * time.Millisecond
	// pingTimeout bounds a ping.
	pingTimeout = 300 * time.Millisecond
	// minRefusedPings is how many connections for pings must have been refused since the
	// leader's last answer before the leader's process counts as ended.
	minRefusedPings = 2
	// failedPingDelay is the delay after a ping that was refused or not answered.
	failedPingDelay = 40 * time.Millisecond
	// recordCheckDelay is how long the leader may leave pings unanswered before the
	// store is read to see whether it still renews its leadership record.
	recordCheckDelay = 300 * time.Millisecond
	// staleRecordTimeout is how long the leadership record may stay unchanged while the
	// leader does not answer: two renewals on a healthy store. On a slow one it is longer by
	// staleRecordReads times the duration of a read.
	staleRecordTimeout = 600 * time.Millisecond
	staleRecordReads   = 3
	// slowPingDelay is how long a ping may take before the leadership record is read, so
	// that it is known from when on the record has not changed if there is no answer.
	slowPingDelay = 100 * time.Millisecond
)

// follow pings the leader for as long as it leads. When it has ended, stepped down or
// stopped renewing its record, or when this instance is asked to take over, follow claims
// the leadership and, if it gets it, leads for the term. It returns when the leader has to
// be determined again.
func (n *Node) follow(ctx context.Context, rec *Leadership) {
	refused := 0
	lastAnswer := time.Now()
	watch := &recordWatch{n: n}
	for ctx.Err() == nil {
		result := n.pingWatched(ctx, rec, watch)
		switch result {
		case pingLeads:
			refused, lastAnswer = 0, time.Now()
			rec = n.latestTermOf(rec)
			watch.reset()
			if n.waitForNextPing(ctx, rec) {
				n.claimWithoutDelay(ctx, rec, "asked to take over")
				return
			}
			continue
		case pingNotLeading:
			n.campaignUnlessReplaced(ctx, rec, "the leader's process was replaced or stepped down")
			return
		case pingRefused:
			refused++
			if refused >= minRefusedPings {
				n.campaignUnlessReplaced(ctx, rec, "the leader's process has ended")
				return
			}
			wait.For(ctx, failedPingDelay)
			continue
		}
		if time.Since(lastAnswer) < recordCheckDelay && len(n.takeOverRequested) == 0 {
			wait.For(ctx, failedPingDelay)
			continue
		}
		current, next, found, err := watch.read(ctx)
		switch {
		case err != nil:
			return // followOrCampaign asks other instances, which may know of another leader
		case !found || current.Session != rec.Session || current.Resigned:
			return
		case n.takeOverRequestedFrom(rec):
			n.claim(ctx, next, "asked to take over")
			return
		case watch.stale():
			n.log.Warn("leader is not responding", "leader", rec.Instance, "term", rec.Term, "last_answer_ms", time.Since(lastAnswer).Milliseconds())
			n.campaign(ctx, rec.Term, next, "the leader is not responding and does not renew its leadership record")
			return
		default:
			wait.For(ctx, leaderRetryDelay)
		}
	}
}

// latestTermOf returns the record of the followed leader's latest term that is known here.
func (n *Node) latestTermOf(rec *Leadership) *Leadership {
	if known := n.knownLeader.Load(); known != nil && known.Session == rec.Session && known.Term > rec.Term {
		return known
	}
	return rec
}

// waitForNextPing waits until the next ping is due, which is soon if a request has found
// that the followed instance does not lead. It reports whether this instance has been
// asked to take over from the leader.
func (n *Node) waitForNextPing(ctx context.Context, rec *Leadership) bool {
	t := time.NewTimer(pingInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.leaderDoubted:
		wait.For(ctx, leaderRetryDelay) // bounds the rate of pings when many requests find it
	case <-n.takeOverRequested:
		return n.takeOverTerm.Load() >= rec.Term
	}
	return false
}

// campaignUnlessReplaced campaigns unless another process than that of rec has claimed
// the leadership since.
func (n *Node) campaignUnlessReplaced(ctx context.Context, rec *Leadership, reason string) {
	current, _, next, found, err := n.readLeadership(ctx)
	if err != nil {
		n.log.Warn("cannot read the leadership record", "reason", err.Error())
		wait.For(ctx, storeRetryDelay)
		return
	}
	if found && current.Session != rec.Session {
		return
	}
	n.campaign(ctx, rec.Term, next, reason)
}

// claimWithoutDelay claims the leadership without the delay that campaign waits for, unless
// another process than that of rec has claimed it since.
func (n *Node) claimWithoutDelay(ctx context.Context, rec *Leadership, reason string) {
	current, _, next, found, err := n.readLeadership(ctx)
	if err != nil {
		n.log.Warn("cannot read the leadership record", "reason", err.Error())
		return
	}
	if found && current.Session != rec.Session {
		return
	}
	n.claim(ctx, next, reason)
}

const (
	// campaignDelay is how long an instance with a whole core waits before it claims
	// the leadership, plus a random time of at most campaignDelay. The fixed part is
	// inversely proportional to the CPU share, which counts as 0.1 to 1 core, so that
	// instances with much CPU lead.
	campaignDelay = 25 * time.Millisecond
	// lowCPUCampaignDelay is added for an instance with much less CPU than others of the
	// cell. The others notice within two pings that the leader has ended.
	lowCPUCampaignDelay = time.Second
	// drainingPollInterval is the delay between two reads of the leadership record by an
	// instance that drains: it does not lead any more but still forwards requests.
	drainingPollInterval = 50 * time.Millisecond
	// claimPollInterval is the delay between two reads of the leadership record while an
	// instance leaves the leadership to others.
	claimPollInterval = 100 * time.Millisecond
)

// campaign claims the leadership at offset next after a delay that is longer the less CPU
// the instance has. The claim fails if another instance has written the record since.
// An instance that drains does not claim it, and one that is not warm leaves it to a standby.
// term is that of the leader that was lost, or zero if there was none.
func (n *Node) campaign(ctx context.Context, term, next int64, reason string) {
	if n.draining.Load() {
		wait.For(ctx, drainingPollInterval)
		return
	}
	if n.leaveToStandby(ctx, term, next) {
		return
	}
	share := max(0.1, min(1, n.cpuShare()))
	wait.For(ctx, time.Duration(float64(campaignDelay)/share)+jitter(campaignDelay))
	if known := n.cellInstances.Load(); known != nil && lowCPU(n.cpuShare(), known.Strongest) && n.waitForOtherClaim(ctx, next, lowCPUCampaignDelay) {
		return
	}
	n.claim(ctx, next, reason)
}

// waitForOtherClaim leaves the leadership to others for the time limit. It reports whether
// another instance has claimed it.
func (n *Node) waitForOtherClaim(ctx context.Context, next int64, limit time.Duration) bool {
	for start := time.Now(); ctx.Err() == nil && time.Since(start) < limit; wait.For(ctx, claimPollInterval) {
		if _, _, currentNext, _, err := n.readLeadership(ctx); err == nil && currentNext != next {
			return true
		}
	}
	return false
}

// claim tries to write the leadership record at offset next. If that succeeds the
// instance leads until its term ends.
func (n *Node) claim(ctx context.Context, next int64, reason string) {
	rec := Leadership{Instance: n.settings.Instance, Session: n.incarnation, Address: n.settings.Address}
	n.claiming.Store(true)
	defer n.claiming.Store(false)
	n.endRefresh()
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	err := n.ports.Store.WriteLeadership(writeCtx, rec, next)
	cancel()
	if errors.Is(err, ErrConflict) {
		return
	}
	if err != nil {
		n.log.Warn("write of the leadership record failed; checking whether it was stored", "reason", err.Error())
		current, offset, _, found, err := n.readLeadership(ctx)
		if err != nil || !found || offset != next || current.Session != n.incarnation {
			wait.For(ctx, storeRetryDelay)
			return
		}
	}
	n.setNow(&n.storeAnsweredAt)
	rec.Term = next + 1
	n.log.Info("claimed the leadership", "term", rec.Term, "reason", reason)
	n.setLeader(&rec)
	n.claiming.Store(false)
	n.lead(ctx, &rec, next+1)
}

// NoteStoreAnswer records that the store has answered this instance.
func (n *Node) NoteStoreAnswer() { n.setNow(&n.storeAnsweredAt) }
