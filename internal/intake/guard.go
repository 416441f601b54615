// Package intake bounds the memory that callers make an instance hold. All connections of a
// process share one budget. What a connection holds is reserved before it is allocated, at
// what it costs in memory, and when the budget is used up room is made by closing connections
// on which nothing is complete.
package intake

import (
	"container/list"
	"math/bits"
	"sync"
	"time"
)

// Cause tells why a connection was closed or a request refused.
type Cause string

// The causes.
const (
	CauseIdle       Cause = "idle"       // an idle connection, one that has been answered, or one on which nothing has arrived
	CauseHeader     Cause = "header"     // a header that is not complete
	CauseBody       Cause = "body"       // a body that is not complete
	CauseConnection Cause = "connection" // a new connection beside others that are all being answered
	CauseDecoded    Cause = "decoded"    // a request that has been read
	CauseForwarded  Cause = "forwarded"  // a request that another instance has forwarded
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseIdle, CauseHeader, CauseBody, CauseConnection, CauseDecoded, CauseForwarded}
}

// Limits are the limits of a process.
type Limits struct {
	Bytes       int64 // of memory that is held for callers
	Connections int   // zero for no limit
}

const (
	// memoryRatio is the part of the process's memory that is held for callers. Garbage of
	// what they sent before needs as much again, the state of the cell the rest.
	memoryRatio = 0.25
	// defaultMemoryBytes is the memory of the process if that is not known.
	defaultMemoryBytes = 256 << 20
	// smallBytes is the size from which a connection counts as large.
	smallBytes = 1 << 16
	// largeRatio is the part of the budget that large connections may use together. The rest
	// is kept for small ones.
	largeRatio = 0.75
	// minIncompleteTime is how long an incomplete request is left alone by large ones. Without
	// it requests that arrive together replace each other as fast as they come, which makes
	// more garbage than the collector keeps up with.
	minIncompleteTime = 250 * time.Millisecond
	// releaseTimeout bounds the wait until closed connections have returned their memory.
	releaseTimeout = 3 * time.Second
)

// LimitsOf returns the limits of a process with the given memory in bytes and number of
// connections. Zero stands for an unknown memory and for no limit of connections.
func LimitsOf(memory int64, connections int) Limits {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return Limits{Bytes: int64(memoryRatio * float64(memory)), Connections: connections}
}

// Guard is the budget of a process.
type Guard struct {
	limits Limits
	refuse func(Cause)

	mu          sync.Mutex
	used        int64         // sum of what is held
	large       int64         // the part of it that large holders hold
	leaving     int64         // sum of what closed holders have not released yet
	released    chan struct{} // closed when connections that wait shall look again; nil if none waits
	connections int
	lingering   list.List                    // connections that linger, the one that does so longest first
	idle        list.List                    // idle connections, the one idle longest first
	incomplete  [bits.UintSize + 1]list.List // by size class; the one longest in its class first
}

// New returns a guard. It calls refused, which must not block, for each connection that it
// closes and each request that it refuses.
func New(limits Limits, refused func(Cause)) *Guard { return &Guard{limits: limits, refuse: refused} }

// Used returns the number of bytes that are held, and the number of connections.
func (g *Guard) Used() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used, g.connections
}

// Limits returns the limits of the process.
func (g *Guard) Limits() Limits { return g.limits }

// phase is what a connection does.
type phase uint8

const (
	idle          phase = iota // no byte of the next request has arrived
	readingHeader              // a header is not complete
	readingBody                // a body is not complete
	answering                  // the request has been read; it is never closed to make room
	lingering                  // the request has been answered; the connection is about to be closed
	closing                    // closed for want of room; its memory is still in use
	ended
)

// holder is what holds a part of the budget. Guard.mu guards it.
type holder struct {
	held    int64
	phase   phase
	since   time.Time // when the request became incomplete, if it is
	close   func()    // ends the holder; nil if it is never closed to make room
	leaving int64     // what it held when it was closed to make room, until that is released
	waiting bool      // for room, in Guard.wait
	in      *list.List
	element *list.Element
}

// class returns the size class of a number of bytes. Sizes of one class differ by less than
// the factor two, so that among similar holders the age decides.
func class(held int64) int { return bits.Len64(uint64(held)) }

func isLarge(held int64) bool { return held >= smallBytes }

// cause returns why a holder in phase p is closed to make room.
func (p phase) cause() Cause {
	switch p {
	case readingHeader:
		return CauseHeader
	case readingBody:
		return CauseBody
	default:
		return CauseIdle
	}
}

// incomplete reports whether a request in phase p is incomplete.
func incomplete(p phase) bool { return p == readingHeader || p == readingBody }

// list returns the list in which h waits to be closed, or nil.
func (g *Guard) list(h *holder) *list.List {
	switch {
	case h.close == nil:
		return nil
	case h.phase == lingering:
		return &g.lingering
	case h.phase == idle:
		return &g.idle
	case incomplete(h.phase):
		return &g.incomplete[class(h.held)]
	}
	return nil
}

// set changes what h holds and does. g.mu is held.
func (g *Guard) set(h *holder, held int64, p phase) {
	if isLarge(h.held) {
		g.large -= h.held
	}
	if isLarge(held) {
		g.large += held
	}
	g.used += held - h.held
	g.wakeIfRoom()
	if incomplete(p) && !incomplete(h.phase) {
		h.since = time.Now()
	}
	h.held, h.phase = held, p
	l := g.list(h)
	if l == h.in {
		return
	}
	if h.in != nil {
		h.in.Remove(h.element)
	}
	if h.in = l; l != nil {
		h.element = l.PushBack(h)
	}
}

// end ends h and returns its part to the budget. It reports whether h had not ended before.
// g.mu is held.
func (g *Guard) end(h *holder) bool {
	if h.phase == ended {
		return false
	}
	if h.close != nil {
		g.connections--
	}
	g.set(h, 0, ended)
	return true
}

// release ends h, whose memory is no longer in use. g.mu is held.
func (g *Guard) release(h *holder) {
	g.end(h)
	g.leaving -= h.leaving
	h.leaving = 0
	if h.waiting {
		g.wake()
	}
	g.wakeIfRoom()
}

func (g *Guard) wakeIfRoom() {
	if g.used+g.leaving <= g.limits.Bytes {
		g.wake()
	}
}

// wake lets the connections that wait look again. g.mu is held.
func (g *Guard) wake() {
	if g.released != nil {
		close(g.released)
		g.released = nil
	}
}

// change makes h hold the given number of bytes and go to phase p, closing others if there is
// no room. It returns false if there is none, or if h has ended.
func (g *Guard) change(h *holder, held int64, p phase) bool {
	g.mu.Lock()
	ok, closed := g.changeLocked(h, held, p)
	g.mu.Unlock()
	g.finish(closed)
	return ok
}

// victim is a holder that is closed to make room.
type victim struct {
	close func()
	cause Cause
}

// evict ends h to make room. The caller must close it. g.mu is held.
func (g *Guard) evict(h *holder) victim {
	v := victim{h.close, h.phase.cause()}
	h.leaving = h.held
	g.leaving += h.leaving
	g.end(h)
	if h.waiting {
		g.wake()
	}
	return v
}

// changeLocked is change. It returns the holders that the caller must finish after it has
// released g.mu, which is held.
func (g *Guard) changeLocked(h *holder, held int64, p phase) (ok bool, closed []victim) {
	if h.phase >= closing {
		return false, nil
	}
	for !g.fits(h, held) {
		v := g.victim(h, held)
		if v == nil {
			return false, closed
		}
		closed = append(closed, g.evict(v))
	}
	g.set(h, held, p)
	return true, closed
}

// finish closes the victims.
func (g *Guard) finish(closed []victim) {
	for _, v := range closed {
		v.close()
		g.refuse(v.cause)
	}
}

// wait waits until what h has reserved is free, as the memory of closed holders is in use until they have
// released it. It returns false if h ends before, at the deadline, if there is one, and after releaseTimeout.
func (g *Guard) wait(h *holder, deadline time.Time) bool {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		h.waiting = h.phase < closing && g.used+g.leaving > g.limits.Bytes
		if !h.waiting {
			defer g.mu.Unlock()
			return h.phase < closing
		}
		if g.released == nil {
			g.released = make(chan struct{})
		}
		released := g.released
		g.mu.Unlock()
		if timeout == nil {
			longest := releaseTimeout
			if !deadline.IsZero() {
				longest = min(longest, time.Until(deadline))
			}
			timeout = time.After(longest)
		}
		select {
		case <-released:
		case <-timeout:
			g.mu.Lock()
			defer g.mu.Unlock()
			h.waiting = false
			return false
		}
	}
}

// fits reports whether h may hold the given number of bytes. To hold less always fits.
func (g *Guard) fits(h *holder, held int64) bool {
	if held <= h.held {
		return true
	}
	return !g.exceedsTotal(h, held) && !g.exceedsLarge(h, held)
}

func (g *Guard) exceedsTotal(h *holder, held int64) bool {
	return g.used+held-h.held > g.limits.Bytes
}

func (g *Guard) exceedsLarge(h *holder, held int64) bool {
	if !isLarge(held) {
		return false
	}
	large := g.large + held
	if isLarge(h.held) {
		large -= h.held
	}
	return large > int64(largeRatio*float64(g.limits.Bytes))
}

// victim returns the holder to close so that h may hold the given number of bytes, or nil: a
// connection that lingers; of the large incomplete requests that are of the size class of h or above it the largest, unless h
// is large too and that request is new; then the one that has been idle longest; then, for a
// small h, the small request that has been incomplete longest.
func (g *Guard) victim(h *holder, held int64) *holder {
	short := g.exceedsTotal(h, held)
	for e := g.lingering.Front(); e != nil; e = e.Next() {
		if v, _ := e.Value.(*holder); v != h && (short || isLarge(v.held)) {
			return v
		}
	}
	smallest := max(class(held), class(smallBytes))
	for c := len(g.incomplete) - 1; c >= smallest; c-- {
		if v := first(&g.incomplete[c], h); v != nil && (!isLarge(held) || time.Since(v.since) >= minIncompleteTime) {
			return v
		}
	}
	if !short {
		return nil // room of small holders does not help
	}
	if v := first(&g.idle, h); v != nil {
		return v
	}
	return g.smallIncomplete(h, class(held))
}

// smallIncomplete returns the small request other than h, of at least the given size class,
// that has been incomplete longest, or nil.
func (g *Guard) smallIncomplete(h *holder, smallest int) *holder {
	for c := class(smallBytes) - 1; c >= smallest; c-- {
		if v := first(&g.incomplete[c], h); v != nil {
			return v
		}
	}
	return nil
}

// first returns the first holder in l other than h, or nil.
func first(l *list.List, h *holder) *holder {
	for e := l.Front(); e != nil; e = e.Next() {
		if v, _ := e.Value.(*holder); v != h {
			return v
		}
	}
	return nil
}

// admit counts a new connection. At the limit of connections it closes one that lingers, the one that has
// been idle longest or, if there is neither, the request that has been incomplete longest, the small
// ones first. It returns false if there is no room.
func (g *Guard) admit(h *holder, held int64) bool {
	g.mu.Lock()
	var closed []victim
	if g.limits.Connections > 0 && g.connections >= g.limits.Connections {
		v := first(&g.lingering, h)
		if v == nil {
			v = first(&g.idle, h)
		}
		if v == nil {
			v = g.smallIncomplete(h, 0)
		}
		for c := class(smallBytes); v == nil && c < len(g.incomplete); c++ {
			v = first(&g.incomplete[c], h)
		}
		if v == nil {
			g.mu.Unlock()
			return false
		}
		closed = append(closed, g.evict(v))
	}
	g.connections++
	h.phase = answering // not in a list yet
	ok, more := g.changeLocked(h, held, idle)
	if !ok {
		g.release(h)
	}
	g.mu.Unlock()
	g.finish(append(closed, more...))
	return ok
}

// Take reserves a number of bytes for a request that does not come from a connection of the
// guard. It returns the function that returns them, or false if there is no room.
func (g *Guard) Take(n int64, cause Cause) (release func(), ok bool) {
	h := &holder{phase: answering}
	release = sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.release(h)
	})
	if !g.change(h, n, answering) {
		release()
		g.refuse(cause)
		return nil, false
	}
	return release, true
}
