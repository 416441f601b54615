package requests

import (
	"time"

	"pollenbend/internal/model"
)

// backoff is a delayed rerun of an ended task.
type backoff struct {
	entry    *entry
	resumeAt time.Duration
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// backOff schedules another run of a task after a delay that doubles with every run,
// with jitter, so that a task that fails immediately uses few resources.
func (s *Service) backOff(e *entry) {
	s.setPhase(e, phaseBackoff)
	delay := maxBackoff
	if shift := e.run - 2; shift < 10 {
		delay = min(minBackoff<<max(shift, 0), maxBackoff)
	}
	jitter := time.Duration(s.env.Rand().Int64N(int64(delay)/2 + 1))
	s.backoffs = append(s.backoffs, backoff{entry: e, resumeAt: s.env.Now() + delay/2 + jitter})
}

// resumeAfterBackoff queues the tasks whose delay has passed.
func (s *Service) resumeAfterBackoff(now time.Duration) {
	kept := s.backoffs[:0]
	for _, b := range s.backoffs {
		switch {
		case b.entry.phase != phaseBackoff:
		case now >= b.resumeAt:
			s.enqueue(b.entry)
		default:
			kept = append(kept, b)
		}
	}
	s.backoffs = kept
}

// runID returns the task id of the entry's current run.
func (e *entry) runID() model.TaskID { return model.WithRun(e.base, e.run) }
