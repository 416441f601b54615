package ledger

import "time"

// freshness notices pauses of this process. After one, the listed workers may
// long be leaving, so nothing starts until the list was read anew.
type freshness struct {
	tickAt   time.Duration
	wokeAt   time.Duration
	listings int // since wokeAt
}

const (
	// pauseGap is a time between ticks that only a pause explains. Together with
	// the time between two reads of the list it stays below the few seconds in
	// which a leaving worker may still get work.
	pauseGap = 2 * time.Second
	// newListings is how many listings are read after a pause: the first may
	// have been asked for before it.
	newListings = 2
	// listingWait bounds the wait for them, for a list that is out.
	listingWait = 6 * time.Second
)

func newFreshness() freshness { return freshness{listings: newListings} }

// note is called with the time before anything that counts on the list.
func (f *freshness) note(now time.Duration) {
	if now-f.tickAt > pauseGap {
		f.wokeAt = now
		f.listings = 0
	}
	f.tickAt = now
}

// fresh reports whether the list is recent enough to start work by it.
func (f *freshness) fresh(now time.Duration) bool {
	f.note(now)
	return f.listings >= newListings || now-f.wokeAt >= listingWait
}
