package standin

import (
	"sync"
	"time"

	"pollenbend/internal/model"
)

// EventKind is a kind of history event.
type EventKind string

// Kinds of history events.
const (
	EventStart      EventKind = "start"      // a task started
	EventEnd        EventKind = "end"        // a task ended
	EventOvercommit EventKind = "overcommit" // a start was refused for lack of free resources
	EventStale      EventKind = "stale"      // a start was refused because of its lease, fence or incarnation
	EventGrant      EventKind = "grant"      // a lease went to another holder or term
	EventRestart    EventKind = "restart"    // a worker restarted with a new incarnation
	EventLeaving    EventKind = "leaving"    // a worker was marked as leaving
)

// Event is one entry of the history, as it happened on the worker.
type Event struct {
	At          time.Time         `json:"at"`
	Kind        EventKind         `json:"kind"`
	Worker      model.WorkerID    `json:"worker"`
	Incarnation model.Incarnation `json:"incarnation"`
	Task        model.TaskID      `json:"task,omitempty"`
	Team        model.TeamID      `json:"team,omitempty"`
	Demand      model.Resources   `json:"demand"`
	Holder      model.InstanceID  `json:"holder,omitempty"`
	Term        uint64            `json:"term,omitempty"`
	Outcome     *model.Outcome    `json:"outcome,omitempty"` // of EventEnd
}

// maxHistoryEvents is the maximum number of events that a History keeps. At the
// maximum it drops the older half.
const maxHistoryEvents = 1 << 20

// History is an append-only record of the workers' events. It is safe for
// concurrent use.
type History struct {
	mu      sync.Mutex
	dropped int
	events  []Event
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{} }

// HistoryPage is a range of a history. First is the index of the first event in
// Events; Next is the index from which to read next.
type HistoryPage struct {
	First  int     `json:"first"`
	Next   int     `json:"next"`
	Events []Event `json:"events"`
}

// Read returns the retained events, beginning with the index from.
func (h *History) Read(from int) HistoryPage {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := min(max(from, h.dropped), h.dropped+len(h.events))
	tail := h.events[first-h.dropped:]
	return HistoryPage{
		First:  first,
		Next:   first + len(tail),
		Events: append([]Event(nil), tail...),
	}
}

func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) >= maxHistoryEvents {
		half := len(h.events) / 2
		h.events = append([]Event(nil), h.events[half:]...)
		h.dropped += half
	}
	h.events = append(h.events, e)
}
