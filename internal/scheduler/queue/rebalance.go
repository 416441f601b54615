package queue

import (
	"cmp"
	"slices"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/shares"
)

// ceilingTolerance is the ratio by which a team may exceed its ceiling. It lets
// small tasks fill the capacity that large ones leave free.
const ceilingTolerance = 0.01

// Rebalance computes and returns every team's fair share of the fleet, from the
// resources it holds and the demand of its waiting tasks. It also sets each team's
// ceiling, up to which it may start normal and low work until the next call: its fair
// share plus what no team wants, but at least the share that its weight guarantees, and
// a small tolerance. Without ceilings, small tasks would take all freed capacity, and
// the large tasks of other teams would wait forever. Call it about once a second.
func (q *Queue) Rebalance() []shares.Target {
	teams := make([]*team, 0, len(q.teams))
	for _, tm := range q.teams {
		teams = append(teams, tm)
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
	claims := make([]shares.Claim, len(teams))
	var weights int64
	for i, tm := range teams {
		claims[i] = shares.Claim{Team: tm.name, Weight: tm.account.Weight(), WantedShare: q.wantedShare(tm)}
		if tm.waiting > 0 || tm.account.DominantShare() > 0 {
			weights += tm.account.Weight()
		}
	}
	targets := shares.Targets(claims, 1)
	idle := 1.0
	for _, t := range targets {
		idle -= t.Share
	}
	for i, tm := range teams {
		guaranteed := 1.0
		if weights > 0 {
			guaranteed = float64(tm.account.Weight()) / float64(weights)
		}
		tm.ceiling = (1 + ceilingTolerance) * max(targets[i].Share+idle, guaranteed)
		q.updateHeaps(tm)
	}
	return targets
}

// wantedShare returns the dominant share that a team holds or waits for. Tasks that
// can't be placed now, because every worker that they may use is full, count too.
func (q *Queue) wantedShare(tm *team) float64 {
	return shares.DominantShare(tm.account.Usage().Add(tm.demand), q.Accounts.Capacity())
}

// atCeiling reports whether a team has reached its ceiling.
func (tm *team) atCeiling() bool { return tm.account.DominantShare() >= tm.ceiling }

// addWaiting counts a waiting task, or uncounts it when times is -1.
func (tm *team) addWaiting(t *model.Task, times int64) {
	tm.waiting += int(times)
	tm.demand = tm.demand.Add(t.Demand.Times(times))
}
