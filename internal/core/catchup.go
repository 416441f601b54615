package core

import (
	"time"

	"pollenbend/internal/wire"
)

const (
	// fetchInterval is the minimum time between two requests to peers.
	fetchInterval = 200 * time.Millisecond
	// logTimeout is the time without an answer from the log after which peers are asked
	// instead.
	logTimeout = 200 * time.Millisecond
	// snapshotInterval is the minimum time between two requests for a snapshot.
	snapshotInterval = 2 * time.Second
	// maxMissingEntries is the number of missing entries from which a snapshot is
	// requested instead of the entries.
	maxMissingEntries = 4 * maxServedEntries
)

// aheadPeer is the peer with the latest heartbeat that showed a higher applied
// offset than that of this core.
type aheadPeer struct {
	peer    wire.InstanceRef
	applied uint64
}

// onHeartbeat stores the sender if it is ahead, and catches up if that is needed.
func (r *logReader) onHeartbeat(from wire.InstanceRef, heartbeat wire.Heartbeat) {
	if heartbeat.Applied >= r.next {
		r.ahead = aheadPeer{peer: from, applied: heartbeat.Applied}
	}
	r.catchUp()
}

// catchUp requests the next entries, or a snapshot if many are missing, from the peer
// that is ahead while the log does not answer or has dropped them.
func (r *logReader) catchUp() {
	now := r.env.Now()
	if r.ahead.applied < r.next || now < r.nextFetch {
		return
	}
	if r.logAt > 0 && now-r.logAt < logTimeout && !r.trimmed {
		return
	}
	if r.ahead.applied-r.next >= maxMissingEntries {
		r.nextFetch = now + snapshotInterval
		r.env.Send(r.ahead.peer.Instance, wire.FetchSnapshot{})
		return
	}
	r.nextFetch = now + fetchInterval
	r.env.Send(r.ahead.peer.Instance, wire.FetchLog{From: r.next})
}
