package node

import "time"

const (
	// isolationTimeout is how long a leader that has lost most of its followers goes on
	// after the last call by which the store has confirmed that it leads. Another may lead by then.
	isolationTimeout = 2500 * time.Millisecond
	// maxLeaderOverlap is how long after the start of a term the leader before may go on renewing
	// leases. The new one counts a worker that it cannot reach as lost after these leases.
	maxLeaderOverlap = maxRoundDuration + // pings that were sent before the cut may be read after a pause
		followerTimeout + // after the last of them the followers count as lost
		tickInterval // of the round in which the engine sees it
	// memberTimeout is how long after its last ping an instance that has not drained counts as one
	// that should follow. It is longer than instances are cut off from each other.
	memberTimeout = time.Hour
)

// isolated reports whether the store does not confirm the leadership any more and most of the
// instances that followed don't follow. The leader is then likely cut off from them, rather
// than the store being away for all.
func (l *leader) isolated(now time.Time) bool {
	c := &l.confirmations
	c.mu.Lock()
	unconfirmed := elapsed(c.at, now)
	c.mu.Unlock()
	return unconfirmed > isolationTimeout && l.lostMostFollowers(now)
}

// lostMostFollowers reports whether most of the instances that should follow don't.
func (l *leader) lostMostFollowers(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	members, live := 0, 0
	for name, at := range l.pingedAt {
		silence := elapsed(at, now)
		switch {
		case name == l.n.settings.Instance:
		case silence > memberTimeout:
			delete(l.pingedAt, name)
		default:
			members++
			if silence <= followerTimeout {
				live++
			}
		}
	}
	return 2*live < members
}
