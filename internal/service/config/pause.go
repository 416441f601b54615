package config

import "time"

// pause notices that this process did not run for a while. What is handled right
// after it had long been waiting, so it tells nothing about the present.
type pause struct {
	runAt  time.Duration
	wokeAt time.Duration
}

const (
	// pauseGap is a time between ticks that only a pause explains.
	pauseGap = time.Second
	// pauseSettle is how long after a pause old messages may still be handled.
	pauseSettle = 500 * time.Millisecond
)

// note is called at every event that counts for freshness.
func (p *pause) note(now time.Duration) {
	if now-p.runAt > pauseGap {
		p.wokeAt = now + pauseSettle
	}
	p.runAt = now
}

// counts reports whether something heard at a time tells about the present.
func (p *pause) counts(at time.Duration) bool { return p.wokeAt == 0 || at >= p.wokeAt }
