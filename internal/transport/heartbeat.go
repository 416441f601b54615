package transport

import "time"

// heartbeat decides when a connection's next ping is due and when its pongs have
// ceased. It is owned by one goroutine.
type heartbeat struct {
	idle      time.Duration // between pings while nothing is sent
	deadAfter time.Duration
	pings     uint64
	pongs     uint64    // as of the last check
	progress  time.Time // of the last pong, or of the last time none was due
	checked   time.Time
	pinged    time.Time
}

func newHeartbeat(cfg Config, now time.Time) heartbeat {
	idle := cfg.IdleHeartbeat - cfg.Heartbeat/2 // checks come a little early or late
	return heartbeat{idle: idle, deadAfter: cfg.DeadAfter, progress: now, checked: now}
}

// silent reports whether a ping has waited too long for its pong. A pause of this
// process itself does not count.
func (h *heartbeat) silent(now time.Time, pongs uint64) bool {
	paused := now.Sub(h.checked) > h.deadAfter/2
	if paused || pongs != h.pongs || pongs == h.pings {
		h.progress = now
	}
	h.pongs = pongs
	h.checked = now
	return now.Sub(h.progress) > h.deadAfter
}

// due reports whether to ping: at once while payloads are sent, otherwise after
// the idle time.
func (h *heartbeat) due(now time.Time, active bool) bool {
	return active || now.Sub(h.pinged) >= h.idle
}

func (h *heartbeat) asked(now time.Time) {
	h.pings++
	h.pinged = now
}
