package ledger

import "time"

// freshness detects pauses of this process. After a pause, listed workers may have
// been leaving for a long time, so nothing is started until the worker list has been
// read again.
type freshness struct {
	observedAt time.Duration
	resumedAt  time.Duration
	listings   int // listings received since resumedAt
}

const (
	// minPause is the gap between ticks above which the process counts as having
	// been paused. Together with the time between two reads of the list it stays
	// below the few seconds during which a leaving worker may still be given work.
	minPause = 2 * time.Second
	// minListings is the number of listings required after a pause: the first may
	// have been requested before the pause.
	minListings = 2
	// listingTimeout bounds the wait for these listings while the list is unavailable.
	listingTimeout = 6 * time.Second
)

func newFreshness() freshness { return freshness{listings: minListings} }

// observe records the current time and detects a pause. It is called before anything
// that relies on the worker list.
func (f *freshness) observe(now time.Duration) {
	if now-f.observedAt > minPause {
		f.resumedAt = now
		f.listings = 0
	}
	f.observedAt = now
}

// fresh reports whether the worker list is recent enough to start tasks.
func (f *freshness) fresh(now time.Duration) bool {
	f.observe(now)
	return f.listings >= minListings || now-f.resumedAt >= listingTimeout
}
