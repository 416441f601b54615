// Package reserve keeps room for tasks that are next by share but too large for
// what small tasks leave free. What ends on the chosen worker is kept until the
// task fits. The number of workers with such a hold is bounded.
package reserve

import (
	"math/rand/v2"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/shares"
)

const (
	// probes is the number of workers compared for one hold.
	probes = 48
	// length is how long room is kept.
	length = 2 * time.Minute
	// maxPart bounds the holds to one in so many workers.
	maxPart = 12
	// backoff is the time between two attempts for one team.
	backoff = 250 * time.Millisecond
)

// Keeper makes holds. It belongs to one goroutine.
type Keeper struct {
	rng    *rand.Rand
	search fleet.Search
	last   map[model.TeamID]time.Duration
}

// New returns a keeper whose sampling depends on seed.
func New(seed uint64) *Keeper {
	return &Keeper{rng: rand.New(rand.NewPCG(seed, seed)), last: make(map[model.TeamID]time.Duration)}
}

// Hold keeps room for a task on the worker that is likely to have it first. It
// reports whether it did; the task then waits aside until the room is free or the
// hold expires.
func (k *Keeper) Hold(now time.Duration, f *fleet.Fleet, t *model.Task) bool {
	if last, ok := k.last[t.Team]; ok && now-last < backoff {
		return false
	}
	k.last[t.Team] = now
	if f.Holds() >= max(1, len(f.Nodes())/maxPart) {
		return false
	}
	n := k.choose(f, t)
	return n != nil && f.Hold(t, n.Worker.ID, now+length) == nil
}

// choose samples workers and returns the one that lacks the least.
func (k *Keeper) choose(f *fleet.Fleet, t *model.Task) *fleet.Node {
	k.search.Start(f, f.Select(t.Require), t.Demand)
	var best *fleet.Node
	least := 0.0
	for range probes {
		n := k.search.Probe(k.rng.IntN)
		if n == nil {
			return nil
		}
		if !n.Schedulable() || !t.Demand.Fits(n.Worker.Capacity) || !k.search.Selection.Matches(n) {
			continue
		}
		lacks := shares.Dominant(t.Demand.Sub(n.Available()), n.Worker.Capacity)
		if best == nil || lacks < least {
			best, least = n, lacks
		}
	}
	return best
}
