package transport

import "time"

// heartbeat decides when a connection's next ping is due and when the peer has
// not answered in time. It is owned by one goroutine. It is independent of the
// heartbeat messages with which instances report their state.
type heartbeat struct {
	idleInterval time.Duration // between pings while no payload is sent
	timeout      time.Duration
	pings        uint64
	pongs        uint64    // as of the last check
	lastProgress time.Time // last time that a pong arrived or no ping was unanswered
	lastCheck    time.Time
	lastPing     time.Time
}

func newHeartbeat(cfg Config, now time.Time) heartbeat {
	idleInterval := cfg.IdleHeartbeat - cfg.Heartbeat/2 // half an interval of tolerance, as checks are not exactly on time
	return heartbeat{idleInterval: idleInterval, timeout: cfg.DeadAfter, lastProgress: now, lastCheck: now}
}

// timedOut reports whether a ping has been unanswered for longer than the
// timeout. pongs is the number received so far. A pause of this process does not
// count: a long gap between checks restarts the timeout.
func (h *heartbeat) timedOut(now time.Time, pongs uint64) bool {
	paused := now.Sub(h.lastCheck) > h.timeout/2
	if paused || pongs != h.pongs || pongs == h.pings {
		h.lastProgress = now
	}
	h.pongs = pongs
	h.lastCheck = now
	return now.Sub(h.lastProgress) > h.timeout
}

// pingDue reports whether to send a ping: at every check while payloads are
// sent, otherwise after the idle interval.
func (h *heartbeat) pingDue(now time.Time, active bool) bool {
	return active || now.Sub(h.lastPing) >= h.idleInterval
}

// recordPing records that a ping was requested at now.
func (h *heartbeat) recordPing(now time.Time) {
	h.pings++
	h.lastPing = now
}
