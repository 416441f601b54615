package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
)

// The engine answers callers from memory, so a leader that was paused or cut off would answer
// from a state that its successor has changed. It answers only if the store has confirmed
// lately that it leads.

const (
	// maxUnconfirmed is the age of the last confirmation from which the leader confirms its
	// leadership before it handles a request. It is less than staleRecordTimeout, so no
	// instance takes over earlier from a leader that only fell silent.
	maxUnconfirmed = 500 * time.Millisecond
	// confirmTimeout is how long a request waits for a recent confirmation, and how long a
	// read of the leadership record may take before another one is sent beside it.
	confirmTimeout = 300 * time.Millisecond
	// exactConfirmTimeout is how long an answer waits for a confirmation that was asked of the
	// store after the request. It allows for a slow store.
	exactConfirmTimeout = time.Second
	// unconfirmedPause is how long, after a request has waited in vain, others don't wait.
	unconfirmedPause = time.Second
	// confirmInterval is the minimum delay between the starts of two reads.
	confirmInterval = 20 * time.Millisecond
)

// confirmation is what is known about the leadership of an instance.
type confirmation uint8

const (
	unknown   confirmation = iota // the store has not answered
	confirmed                     // this instance still led the term
	replaced                      // the term has ended
)

// confirmations records when the store has confirmed that a leader leads.
type confirmations struct {
	mu sync.Mutex
	// at is when the last call was sent whose success shows that no later leader had answered
	// callers before: a write of the leadership record, a read that returned it, a fence or an append.
	at        time.Time
	readAt    time.Time     // when the last read was sent
	reading   bool          // it has not returned yet
	failedAt  time.Time     // when the last read was sent that returned no record
	unknownAt time.Time     // when a request last waited in vain for a recent confirmation
	changed   chan struct{} // closed at the next change, if a caller waits for it
}

// notify wakes the callers that wait for a change. c.mu is held.
func (c *confirmations) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// noteConfirmed records a success of a call that was sent at the given time and confirms the leadership.
func (l *leader) noteConfirmed(sent time.Time) {
	c := &l.confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent.After(c.at) {
		c.at = sent
		c.notify()
	}
}

// names reports whether the record names this leader in its term.
func (l *leader) names(rec *Leadership) bool {
	return rec.Session == l.rec.Session && rec.Term == l.rec.Term && !rec.Resigned
}

// confirm asks the store whether this instance still leads. The term ends if it does not.
func (l *leader) confirm(ctx context.Context) confirmation {
	return l.confirmWithin(ctx, 0, exactConfirmTimeout)
}

// confirmRecent is confirm unless the store has confirmed the leadership in the last maxUnconfirmed.
func (l *leader) confirmRecent(ctx context.Context) confirmation {
	c := &l.confirmations
	now := time.Now()
	c.mu.Lock()
	recent, paused := elapsed(c.at, now) <= maxUnconfirmed, elapsed(c.unknownAt, now) <= unconfirmedPause
	c.mu.Unlock()
	switch {
	case recent:
		return confirmed
	case paused:
		return unknown
	}
	result := l.confirmWithin(ctx, maxUnconfirmed, confirmTimeout)
	if result == unknown && ctx.Err() == nil {
		c.mu.Lock()
		c.unknownAt = time.Now()
		c.mu.Unlock()
	}
	return result
}

// confirmWithin waits until limit for the result of a call to the store that was sent maxAge
// before now or later. Callers share the reads: one read is under way at a time, unless the store
// does not answer it.
func (l *leader) confirmWithin(ctx context.Context, maxAge, limit time.Duration) confirmation {
	asked := time.Now()
	recent := func(sent time.Time) bool { return elapsed(sent, asked) <= maxAge }
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c := &l.confirmations
	for {
		now := time.Now()
		c.mu.Lock()
		known, failed := recent(c.at), recent(c.failedAt)
		next := confirmInterval - elapsed(c.readAt, now) // until the next read may be sent
		if c.reading {
			next += confirmTimeout - confirmInterval
		}
		if !known && !failed && next <= 0 {
			c.readAt, c.reading = now, true
			go l.readConfirmation(now)
			next = confirmTimeout
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		switch {
		case l.ended():
			return replaced
		case known:
			return confirmed
		case failed:
			return unknown
		}
		timer := time.NewTimer(next)
		select {
		case <-l.done:
			timer.Stop()
			return replaced
		case <-ctx.Done():
			timer.Stop()
			return unknown
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readConfirmation reads the leadership record for the callers of confirm. It ends the term if the record
// does not name it.
func (l *leader) readConfirmation(sent time.Time) {
	rec, _, _, found, err := l.n.readLeadership(l.ctx)
	leads := err == nil && found && l.names(&rec)
	if err == nil && found && !leads {
		l.stop("instance " + rec.Instance + " has claimed the leadership")
	}
	c := &l.confirmations
	c.mu.Lock()
	if c.readAt.Equal(sent) {
		c.reading = false
	}
	if !leads && sent.After(c.failedAt) {
		c.failedAt = sent
	}
	c.notify()
	c.mu.Unlock()
	if leads {
		l.noteConfirmed(sent)
		l.noteStoreAnswer()
	}
}

var (
	// errNotHandled is returned for a request that had no effect, as this leader was replaced
	// before its engine handled it.
	errNotHandled = errors.New("the leader stepped down before it handled the request")
	// errTermEnded is returned for a request that the leader has received but not answered
	// when its term ends.
	errTermEnded = errors.New("the leader stepped down before it answered")
)

// confirmAnswer returns the engine's answer to a request, or what replaces it if it is
// not known that this instance still leads.
func (l *leader) confirmAnswer(ctx context.Context, event any, answer engine.Answer) (engine.Answer, error) {
	if answer.Outcome == engine.NotLeading {
		return engine.Answer{}, errNotHandled
	}
	if _, isStatus := event.(*engine.Status); !isStatus || answer.Outcome != engine.NotFound {
		return answer, nil
	}
	switch l.confirm(ctx) {
	case confirmed:
		return answer, nil
	case replaced:
		return engine.Answer{}, errNotHandled
	default:
		return engine.Answer{Outcome: engine.Refused, Why: "the leadership can't be confirmed", RetryAfter: noLeaderRetryDelay}, nil
	}
}
