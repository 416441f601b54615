// Package merge puts the events of several instances into one order. It assumes
// no common clock: an event comes after the earlier events of its instance and
// after its cause. Events that neither rule orders are ordered by how far the log
// was read by the events before them, then by the length of the longest chain of
// events before them, then by instance.
package merge

import (
	"cmp"
	"slices"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
)

// Event is an event of one instance.
type Event struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
	event.Note
}

// Document is the time line of one instance as GET /v1/timeline serves it.
type Document struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
	Events      []event.Note      `json:"events"`
}

// rank orders an event among those that causes leave unordered. Along any chain
// of causes it grows.
type rank struct {
	offset uint64 // greatest log offset of the event and those before it
	depth  uint64 // length of the longest chain that ends with the event
}

func (r rank) max(o rank) rank { return rank{max(r.offset, o.offset), max(r.depth, o.depth)} }

// stream holds the events of one life of an instance.
type stream struct {
	incarnation model.Incarnation
	waiting     []Event         // by sequence number
	last        uint64          // greatest sequence number added
	rank        rank            // of the last event given out
	ranks       map[uint64]rank // of each event given out
}

// Merger merges the events that are added to it piece by piece.
type Merger struct {
	lives map[model.InstanceID][]*stream // by incarnation
}

// New returns an empty merger.
func New() *Merger { return &Merger{lives: make(map[model.InstanceID][]*stream)} }

// Add adds the events of a document. Events that were added before are dropped.
func (m *Merger) Add(d Document) {
	s := m.stream(d.Instance, d.Incarnation)
	events := slices.Clone(d.Events)
	slices.SortStableFunc(events, func(a, b event.Note) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, n := range events {
		if n.Seq <= s.last {
			continue
		}
		s.last = n.Seq
		s.waiting = append(s.waiting, Event{d.Instance, d.Incarnation, n})
	}
}

func (m *Merger) stream(id model.InstanceID, incarnation model.Incarnation) *stream {
	lives := m.lives[id]
	for _, s := range lives {
		if s.incarnation == incarnation {
			return s
		}
	}
	s := &stream{incarnation: incarnation, ranks: make(map[uint64]rank)}
	lives = append(lives, s)
	slices.SortFunc(lives, func(a, b *stream) int { return cmp.Compare(a.incarnation, b.incarnation) })
	m.lives[id] = lives
	return s
}

// Ready returns, in order, the events whose causes were given out before. An
// event waits for a cause that its instance is yet to report.
func (m *Merger) Ready() []Event { return m.take(false) }

// Flush returns all remaining events in order. Causes that were never added
// order nothing.
func (m *Merger) Flush() []Event { return m.take(true) }

func (m *Merger) take(all bool) []Event {
	var order []Event
	for {
		next := m.next(all)
		if next == nil && all {
			next = m.first() // its causes form a cycle
		}
		if next == nil {
			return order
		}
		order = append(order, next.pop(m.rankOf(next)))
	}
}

// next returns the stream with the least event that may be given out.
func (m *Merger) next(all bool) *stream {
	var best *stream
	for _, s := range m.heads() {
		if m.blocked(s.waiting[0], all) {
			continue
		}
		if best == nil || m.less(s, best) {
			best = s
		}
	}
	return best
}

func (m *Merger) first() *stream {
	heads := m.heads()
	if len(heads) == 0 {
		return nil
	}
	return slices.MinFunc(heads, func(a, b *stream) int { return compareEvents(a.waiting[0], b.waiting[0]) })
}

// heads returns the earliest life with waiting events of each instance.
func (m *Merger) heads() []*stream {
	var heads []*stream
	for _, lives := range m.lives {
		for _, s := range lives {
			if len(s.waiting) > 0 {
				heads = append(heads, s)
				break
			}
		}
	}
	return heads
}

// blocked reports whether the event's cause is known or expected but not yet
// given out.
func (m *Merger) blocked(e Event, all bool) bool {
	s := m.causeOf(e)
	if s == nil {
		return false
	}
	if e.Cause.Seq > s.last {
		return !all
	}
	return slices.ContainsFunc(s.waiting, func(w Event) bool { return w.Seq == e.Cause.Seq })
}

// causeOf returns the stream that holds the cause of e: the instance's latest
// life that has an event of that number, or else its latest life.
func (m *Merger) causeOf(e Event) *stream {
	if e.Cause == nil {
		return nil
	}
	lives := m.lives[e.Cause.Instance]
	for _, s := range slices.Backward(lives) {
		if s.last >= e.Cause.Seq {
			return s
		}
	}
	if len(lives) == 0 {
		return nil
	}
	return lives[len(lives)-1]
}

// rankOf returns the rank of the stream's next event.
func (m *Merger) rankOf(s *stream) rank {
	e := s.waiting[0]
	r := s.rank
	for _, life := range m.lives[e.Instance] {
		if life.incarnation < e.Incarnation {
			r = r.max(life.rank)
		}
	}
	if cause := m.causeOf(e); cause != nil {
		r = r.max(cause.ranks[e.Cause.Seq])
	}
	return rank{offset: max(r.offset, e.Offset), depth: r.depth + 1}
}

func (m *Merger) less(a, b *stream) bool {
	ra, rb := m.rankOf(a), m.rankOf(b)
	order := cmp.Or(
		cmp.Compare(ra.offset, rb.offset), cmp.Compare(ra.depth, rb.depth), compareEvents(a.waiting[0], b.waiting[0]))
	return order < 0
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq))
}

func (s *stream) pop(r rank) Event {
	e := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.rank, s.ranks[e.Seq] = r, r
	return e
}
