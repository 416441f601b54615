package queue

import (
	"cmp"
	"slices"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/shares"
)

// tolerance is how far above its fair part a team may go while others want
// theirs. Within it, small tasks fill what large ones leave free.
const tolerance = 0.01

// Rebalance works out every team's fair part of the fleet from what it holds and
// what waits, and returns it. Until the next call no team starts normal or low
// work above that by more than a small tolerance and what nobody wants, though always
// up to the part that its share guarantees; so small tasks can't take for good what large ones of
// other teams wait for. Call it about once a second.
func (q *Queue) Rebalance() []shares.Target {
	teams := make([]*team, 0, len(q.teams))
	for _, tm := range q.teams {
		teams = append(teams, tm)
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
	claims := make([]shares.Claim, len(teams))
	var weights int64
	for i, tm := range teams {
		claims[i] = shares.Claim{Team: tm.name, Weight: tm.account.Weight(), Wanted: q.wanted(tm)}
		if tm.waiting > 0 || tm.account.Dominant() > 0 {
			weights += tm.account.Weight()
		}
	}
	targets := shares.Targets(claims, 1)
	idle := 1.0
	for _, t := range targets {
		idle -= t.Part
	}
	for i, tm := range teams {
		guaranteed := 1.0
		if weights > 0 {
			guaranteed = float64(tm.account.Weight()) / float64(weights)
		}
		tm.ceiling = (1 + tolerance) * max(targets[i].Part+idle, guaranteed)
		q.arrange(tm)
	}
	return targets
}

// wanted is the dominant part that a team holds or waits for. What can't be
// placed anywhere now, because every worker it may use is taken, still counts.
func (q *Queue) wanted(tm *team) float64 {
	return shares.Dominant(tm.account.Usage().Add(tm.demand), q.Book.Capacity())
}

// atCeiling reports whether a team has what Rebalance allows it.
func (tm *team) atCeiling() bool { return tm.account.Dominant() >= tm.ceiling }

// addWaiting counts a waiting task, or takes it away when times is -1.
func (tm *team) addWaiting(t *model.Task, times int64) {
	tm.waiting += int(times)
	tm.demand = tm.demand.Add(t.Demand.Times(times))
}
