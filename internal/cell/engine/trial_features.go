package engine

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/reservation"
)

// saveReservations saves the steps with reservations, as a round updates those before it tries
// any step, and the counts of reservations. A round makes a new reservation for a step without
// one, so it is enough to save those that exist.
func (t *trial) saveReservations() {
	e := t.e
	for _, s := range e.openSteps {
		if s.reservation == nil {
			continue
		}
		t.save(s)
		r, before := s.reservation, *s.reservation
		t.onUndo(func() { *r = before })
	}
	backfilled, slipped := e.backfilled, e.slipped
	t.onUndo(func() { e.backfilled, e.slipped = backfilled, slipped })
	t.onUndo(t.restoreReleases)
}

// savedReleases is what was known of the expected ends of the runs on a worker.
type savedReleases struct {
	w        *worker
	releases []reservation.Release
	at       time.Time
	valid    bool
}

// saveReleases saves the expected ends of the runs on w before they are computed anew or become
// invalid. The list is not reused during the trial.
func (t *trial) saveReleases(w *worker) {
	if t == nil || t.releasesSaved[w] {
		return
	}
	t.releasesSaved[w] = true
	t.releases = append(t.releases, savedReleases{w, w.releases, w.releasesAt, w.releasesValid})
	w.releases = nil
}

// restoreReleases restores what saveReleases has saved.
func (t *trial) restoreReleases() {
	for _, saved := range t.releases {
		saved.w.releases, saved.w.releasesAt, saved.w.releasesValid = saved.releases, saved.at, saved.valid
	}
}

// saveContention has the trial work on a copy of what admission knows of the competing work.
func (t *trial) saveContention() {
	e := t.e
	if e.contention == nil {
		return
	}
	before := e.contention
	e.contention = before.copyForTrial()
	yields := make([]bool, len(e.openSteps))
	for i, s := range e.openSteps {
		yields[i] = s.urgency.Yields
	}
	t.onUndo(func() {
		e.contention = before
		for i, s := range e.openSteps {
			s.urgency.Yields = yields[i]
		}
	})
}

// copyForTrial returns a copy of c that a trial may change. The rooms of workers, which are
// large, are shared: measureContention does not reuse them in a trial.
func (c *contention) copyForTrial() *contention {
	out := *c
	out.arrivals = slices.Clone(c.arrivals)
	out.starts = make([]*startRate, len(c.starts))
	for i, r := range c.starts {
		rate := *r
		out.starts[i] = &rate
	}
	out.teams = make(map[string]*teamBacklog, len(c.teams))
	for name, b := range c.teams {
		backlog := *b
		backlog.schedules = maps.Clone(b.schedules)
		out.teams[name] = &backlog
	}
	out.rooms = make(map[string]*room, len(c.rooms))
	for service, r := range c.rooms {
		out.rooms[service] = &room{workers: r.workers, capacity: maps.Clone(r.capacity)}
	}
	out.typical = maps.Clone(c.typical)
	out.yields = maps.Clone(c.yields)
	out.runs = maps.Clone(c.runs)
	out.excess = maps.Clone(c.excess)
	out.refusals = maps.Clone(c.refusals)
	return &out
}
