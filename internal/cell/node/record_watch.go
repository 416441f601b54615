package node

import (
	"context"
	"sync"
	"time"

	"pollenbend/internal/wait"
)

// recordWatch finds out for how long the leadership record has not changed.
type recordWatch struct {
	n *Node

	mu       sync.Mutex
	offset   int64
	since    time.Time     // when a read first returned the record at offset; zero if there was none
	readTook time.Duration // duration of the last read
}

// read reads the leadership record and returns it, with the offset of the next one.
func (w *recordWatch) read(ctx context.Context) (rec Leadership, next int64, found bool, err error) {
	start := time.Now()
	rec, offset, next, found, err := w.n.readLeadership(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && (w.since.IsZero() || offset > w.offset) {
		w.offset, w.since = offset, time.Now()
	}
	w.readTook = time.Since(start)
	return rec, next, found, err
}

// stale reports whether the leader has not renewed the record for too long.
func (w *recordWatch) stale() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.since.IsZero() && time.Since(w.since) > staleRecordTimeout+staleRecordReads*w.readTook
}

// reset forgets the earlier reads, as the leader has answered.
func (w *recordWatch) reset() {
	w.mu.Lock()
	w.since = time.Time{}
	w.mu.Unlock()
}

// pingWatched pings the leader. Once the ping has taken slowPingDelay, it watches the leadership
// record as well, and ends the ping when that is stale or this instance is asked to take
// over.
func (n *Node) pingWatched(ctx context.Context, rec *Leadership, watch *recordWatch) pingResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for wait.For(ctx, slowPingDelay); ctx.Err() == nil; wait.For(ctx, leaderRetryDelay) {
			if _, _, _, err := watch.read(ctx); err != nil {
				continue // the ping may still be answered
			}
			if watch.stale() || len(n.takeOverRequested) > 0 {
				return
			}
		}
	}()
	return n.ping(ctx, rec)
}

// takeOverRequestedFrom reports whether a peer has asked this instance to take over from the
// leader.
func (n *Node) takeOverRequestedFrom(rec *Leadership) bool {
	select {
	case <-n.takeOverRequested:
		return n.takeOverTerm.Load() >= rec.Term
	default:
		return false
	}
}
