package node

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/wait"
)

// A standby is an instance that keeps a copy of the stored state while it follows, so that it
// leads soon after the leader is lost: it only reads what was stored last. The leader
// chooses the standbys, and the other instances leave the leadership to them.

const (
	// maxStandbys is the number of standbys of a large fleet, which has relays. Two are
	// seldom lost together with the leader. A small one has one, as its state is small.
	maxStandbys = 2
	// refreshInterval is the delay between two refreshes of a standby's copy.
	refreshInterval = 250 * time.Millisecond
	// directoryRefreshInterval is the same for its copy of the directory, which changes less.
	directoryRefreshInterval = time.Second
	// warmTimeout is how long after its last refresh an instance counts as warm, which
	// means that it has a copy of the state. A slow store delays refreshes.
	warmTimeout = 2 * time.Second
	// takeOverTimeout bounds the call that asks a standby to take over.
	takeOverTimeout = 100 * time.Millisecond
	// standbyClaimTimeout is how long an instance waits for the claim of a standby that it
	// has asked. That is less than it needs to load the state of a large cell.
	standbyClaimTimeout = 300 * time.Millisecond
	// standbyMbpsPerWorker is the bandwidth, in Mbit/s for each worker of the fleet, that the
	// link of a standby must have. The records of the state take about a quarter of it.
	standbyMbpsPerWorker = 0.05
)

// chooseStandbys returns the followers in live that should be standbys: of those that reach
// the store, have a fast link and don't have much less CPU than others, first the previous
// standbys, then those that are warm, and then those with the most CPU. ownShare is the CPU
// share of the leader.
func (s *Settings) chooseStandbys(live []*follower, previous []string, ownShare float64, workers int) []*follower {
	largest := maxCPUShare(live, ownShare)
	var candidates []*follower
	for _, f := range live {
		slowLink := f.LinkMbps > 0 && f.LinkMbps < standbyMbpsPerWorker*float64(workers)
		if f.Instance != s.Instance && !slowLink && !lowCPU(f.CPUShare, largest) && f.storeSilence() <= storeUnreachableTimeout {
			candidates = append(candidates, f)
		}
	}
	rank := func(f *follower) int {
		switch {
		case slices.Contains(previous, f.Instance):
			return 0
		case f.Warm:
			return 1
		}
		return 2
	}
	slices.SortFunc(candidates, func(a, b *follower) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.CPUShare, a.CPUShare), strings.Compare(a.Instance, b.Instance))
	})
	count := maxStandbys
	if workers <= s.DirectWorkers {
		count = 1
	}
	return candidates[:min(len(candidates), count)]
}

// isStandby reports whether the leader has chosen this instance as a standby.
func (n *Node) isStandby() bool {
	known := n.cellInstances.Load()
	return known != nil && slices.Contains(known.Standbys, n.settings.Address) && !n.draining.Load()
}

// warm reports whether this instance has a recent copy of the state.
func (n *Node) warm() bool { return n.since(&n.refreshedAt) < warmTimeout }

// runStandby keeps a copy of the state while this instance is a standby, until ctx ends.
func (n *Node) runStandby(ctx context.Context) {
	kept := false
	for ; ctx.Err() == nil; wait.For(ctx, refreshInterval) {
		switch {
		case n.leadsOrPrepares() || n.claiming.Load():
			kept = false // the term loads the copy and frees it
		case n.isStandby():
			kept = true
			n.refresh(ctx)
		case kept:
			kept = false
			n.ports.Store.Forget()
		}
	}
}

// refresh brings the copies of the state and of the directory up to date.
func (n *Node) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	n.refreshCancel.Store(&cancel)
	start := time.Now()
	err := n.ports.Store.Refresh(ctx)
	if err == nil && n.since(&n.directoryRefreshedAt) >= directoryRefreshInterval {
		n.setNow(&n.directoryRefreshedAt)
		_, _, err = n.ports.Directory.Poll(ctx)
	}
	if err != nil {
		n.log.Info("standby not refreshed", "reason", err.Error(), "after_ms", time.Since(start).Milliseconds())
		return
	}
	n.setNow(&n.storeAnsweredAt)
	if !n.warm() {
		n.log.Info("standby has a copy of the state", "after_ms", time.Since(start).Milliseconds())
	}
	n.setNow(&n.refreshedAt)
}

// endRefresh ends a refresh that is in progress, so that a term does not wait for it.
func (n *Node) endRefresh() {
	if cancel := n.refreshCancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// leaveToStandby asks a standby to take over from the leader of a term, unless this
// instance is warm itself. It reports whether another instance has claimed the
// leadership at offset next.
func (n *Node) leaveToStandby(ctx context.Context, term, next int64) bool {
	known := n.cellInstances.Load()
	if n.warm() || known == nil {
		return false
	}
	for _, address := range known.Standbys {
		if address == n.settings.Address {
			continue
		}
		err := n.askToTakeOver(ctx, address, term)
		if err == nil {
			return n.waitForOtherClaim(ctx, next, standbyClaimTimeout)
		}
		n.log.Debug("cannot ask the standby to take over", "standby", address, "reason", err.Error())
	}
	return false
}

// TakeOverArgs are the arguments of TakeOver.
type TakeOverArgs struct{ Term int64 } // of the leader to take over from

// askToTakeOver asks the instance at address to take over from the leader of a term.
func (n *Node) askToTakeOver(ctx context.Context, address string, term int64) error {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	return n.peers.Get(address).Call(ctx, serviceName+".TakeOver", &TakeOverArgs{Term: term}, &struct{}{})
}

// errDraining is returned to an instance that asks this one to take over while it drains.
var errDraining = errors.New("the instance drains")

// TakeOver asks this instance to claim the leadership unless a later term has begun.
func (s *Service) TakeOver(args *TakeOverArgs, _ *struct{}) error {
	if s.n.draining.Load() {
		return errDraining
	}
	s.n.takeOverTerm.Store(args.Term)
	wait.Wake(s.n.takeOverRequested)
	return nil
}
