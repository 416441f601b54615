package core

import (
	"time"

	"pollenbend/internal/wire"
)

const (
	// fetchInterval is the shortest time between two questions to peers.
	fetchInterval = 200 * time.Millisecond
	// logSilence is the time without an answer of the log after which peers
	// are asked in its place.
	logSilence = 200 * time.Millisecond
	// snapshotInterval is the shortest time between two questions for a
	// snapshot.
	snapshotInterval = 2 * time.Second
	// maxFollowed is the number of missing entries from which on a snapshot is
	// asked for in their place.
	maxFollowed = 4 * maxServed
)

// ahead is the peer heard last that had applied the log further than this core.
type ahead struct {
	peer    wire.Owner
	applied uint64
}

// notice notes that a peer is ahead, and asks it.
func (r *logReader) notice(from wire.Owner, beat wire.Heartbeat) {
	if beat.Applied >= r.next {
		r.ahead = ahead{peer: from, applied: beat.Applied}
	}
	r.catchUp()
}

// catchUp asks the peer that is ahead for the entries that follow, while the log
// itself is silent.
func (r *logReader) catchUp() {
	now := r.env.Now()
	if r.ahead.applied < r.next || now < r.nextFetch {
		return
	}
	if r.logAt > 0 && now-r.logAt < logSilence && !r.lost {
		return
	}
	if r.ahead.applied-r.next >= maxFollowed {
		r.nextFetch = now + snapshotInterval
		r.env.Send(r.ahead.peer.Instance, wire.FetchSnapshot{})
		return
	}
	r.nextFetch = now + fetchInterval
	r.env.Send(r.ahead.peer.Instance, wire.FetchLog{From: r.next})
}
