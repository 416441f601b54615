package requests

import (
	"time"

	"pollenbend/internal/model"
)

// backoff is an ended task that waits before it runs again.
type backoff struct {
	entry *entry
	until time.Duration
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// backOff lets a task run again after a pause that doubles with every run, so
// that one that fails at once takes little from others.
func (s *Service) backOff(e *entry) {
	s.setPhase(e, phaseBackoff)
	pause := maxBackoff
	if shift := e.run - 2; shift < 10 {
		pause = min(minBackoff<<max(shift, 0), maxBackoff)
	}
	jitter := time.Duration(s.env.Rand().Int64N(int64(pause)/2 + 1))
	s.backoffs = append(s.backoffs, backoff{entry: e, until: s.env.Now() + pause/2 + jitter})
}

func (s *Service) endBackoffs(now time.Duration) {
	kept := s.backoffs[:0]
	for _, b := range s.backoffs {
		switch {
		case b.entry.phase != phaseBackoff:
		case now >= b.until:
			s.enqueue(b.entry)
		default:
			kept = append(kept, b)
		}
	}
	s.backoffs = kept
}

// taskOf returns the id under which the entry's present run is started.
func (e *entry) taskOf() model.TaskID { return model.WithRun(e.base, e.run) }
