// Package merge merges the timelines of several instances into one order. It
// assumes no common clock: an event comes after the earlier events of its instance
// and after its cause. Events that neither rule orders are ordered by the greatest
// log offset of the events before them, then by the length of the longest chain of
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

// Document is the timeline of one instance as GET /v1/timeline serves it.
type Document struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
	Events      []event.Note      `json:"events"`
}

// rank orders events that are not ordered by their causes. It grows along any
// chain in which each event follows its cause or an earlier event of its instance.
type rank struct {
	offset uint64 // greatest log offset of the event and the events before it
	depth  uint64 // length of the longest chain that ends with the event
}

func (r rank) max(other rank) rank {
	return rank{max(r.offset, other.offset), max(r.depth, other.depth)}
}

// stream holds the events of one incarnation of an instance.
type stream struct {
	incarnation model.Incarnation
	pending     []Event         // sorted by sequence number
	maxSeq      uint64          // greatest sequence number added
	rank        rank            // of the last event returned
	ranks       map[uint64]rank // of each event returned
}

// Merger merges the events of documents that are added one after the other.
type Merger struct {
	streams map[model.InstanceID][]*stream // sorted by incarnation
}

// New returns an empty merger.
func New() *Merger { return &Merger{streams: make(map[model.InstanceID][]*stream)} }

// Add adds the events of a document. Events that were already added are ignored.
func (m *Merger) Add(d Document) {
	s := m.stream(d.Instance, d.Incarnation)
	events := slices.Clone(d.Events)
	slices.SortStableFunc(events, func(a, b event.Note) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, n := range events {
		if n.Seq <= s.maxSeq {
			continue
		}
		s.maxSeq = n.Seq
		s.pending = append(s.pending, Event{d.Instance, d.Incarnation, n})
	}
}

func (m *Merger) stream(id model.InstanceID, incarnation model.Incarnation) *stream {
	streams := m.streams[id]
	for _, s := range streams {
		if s.incarnation == incarnation {
			return s
		}
	}
	s := &stream{incarnation: incarnation, ranks: make(map[uint64]rank)}
	streams = append(streams, s)
	slices.SortFunc(streams, func(a, b *stream) int { return cmp.Compare(a.incarnation, b.incarnation) })
	m.streams[id] = streams
	return s
}

// Ready returns, in order, the events whose causes have been returned. An event
// waits for a cause that the cause's instance has yet to report.
func (m *Merger) Ready() []Event { return m.emit(false) }

// Flush returns all remaining events in order. Causes that were never added are
// ignored.
func (m *Merger) Flush() []Event { return m.emit(true) }

func (m *Merger) emit(ignoreMissing bool) []Event {
	var merged []Event
	for {
		next := m.next(ignoreMissing)
		if next == nil && ignoreMissing {
			next = m.earliest() // the causes of the next events form a cycle
		}
		if next == nil {
			return merged
		}
		merged = append(merged, next.pop(m.rankOf(next)))
	}
}

// next returns the stream whose next event is the lowest of those that are not
// blocked, or nil.
func (m *Merger) next(ignoreMissing bool) *stream {
	var best *stream
	for _, s := range m.heads() {
		if m.blocked(s.pending[0], ignoreMissing) {
			continue
		}
		if best == nil || m.less(s, best) {
			best = s
		}
	}
	return best
}

// earliest returns the stream whose next event is the lowest by instance,
// incarnation and sequence number, or nil if no events are pending.
func (m *Merger) earliest() *stream {
	heads := m.heads()
	if len(heads) == 0 {
		return nil
	}
	return slices.MinFunc(heads, func(a, b *stream) int { return compareEvents(a.pending[0], b.pending[0]) })
}

// heads returns, for each instance, the earliest incarnation with pending events.
func (m *Merger) heads() []*stream {
	var heads []*stream
	for _, streams := range m.streams {
		for _, s := range streams {
			if len(s.pending) > 0 {
				heads = append(heads, s)
				break
			}
		}
	}
	return heads
}

// blocked reports whether the event's cause is pending or, unless ignoreMissing is
// set, has yet to be added for an instance that was added.
func (m *Merger) blocked(e Event, ignoreMissing bool) bool {
	s := m.causeStream(e)
	if s == nil {
		return false
	}
	if e.Cause.Seq > s.maxSeq {
		return !ignoreMissing
	}
	return slices.ContainsFunc(s.pending, func(w Event) bool { return w.Seq == e.Cause.Seq })
}

// causeStream returns the stream that holds the cause of e: that of the instance's
// latest incarnation that has an event of that number, or else of its latest
// incarnation.
func (m *Merger) causeStream(e Event) *stream {
	if e.Cause == nil {
		return nil
	}
	streams := m.streams[e.Cause.Instance]
	for _, s := range slices.Backward(streams) {
		if s.maxSeq >= e.Cause.Seq {
			return s
		}
	}
	if len(streams) == 0 {
		return nil
	}
	return streams[len(streams)-1]
}

// rankOf returns the rank of the stream's next event.
func (m *Merger) rankOf(s *stream) rank {
	e := s.pending[0]
	r := s.rank
	for _, earlier := range m.streams[e.Instance] {
		if earlier.incarnation < e.Incarnation {
			r = r.max(earlier.rank)
		}
	}
	if cause := m.causeStream(e); cause != nil {
		r = r.max(cause.ranks[e.Cause.Seq])
	}
	return rank{offset: max(r.offset, e.Offset), depth: r.depth + 1}
}

func (m *Merger) less(a, b *stream) bool {
	ra, rb := m.rankOf(a), m.rankOf(b)
	order := cmp.Or(
		cmp.Compare(ra.offset, rb.offset), cmp.Compare(ra.depth, rb.depth), compareEvents(a.pending[0], b.pending[0]))
	return order < 0
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq))
}

func (s *stream) pop(r rank) Event {
	e := s.pending[0]
	s.pending = s.pending[1:]
	s.rank, s.ranks[e.Seq] = r, r
	return e
}
