// Package shares accounts for the resources that each team holds and computes
// weighted max-min fair shares of the fleet over the dominant resource (DRF).
package shares

import (
	"slices"

	"pollenbend/internal/model"
)

// Account holds one team's weight and resource usage.
type Account struct {
	Team model.TeamID

	weight        int64
	remote        model.Resources // held by tasks placed by other instances
	local         model.Resources // held by tasks placed by this instance
	dominantShare float64         // of Usage, in the whole fleet
}

// Weight returns the team's weight.
func (a *Account) Weight() int64 { return a.weight }

// Usage returns the resources that the team holds in the whole fleet.
func (a *Account) Usage() model.Resources { return a.remote.Add(a.local) }

// Local returns the resources held by the team's tasks that this instance placed.
func (a *Account) Local() model.Resources { return a.local }

// DominantShare returns the team's maximum share of the fleet over all resource
// dimensions, from 0 to 1.
func (a *Account) DominantShare() float64 { return a.dominantShare }

// WeightedShare returns the dominant share divided by the team's weight. The team with the
// lowest weighted share is served next.
func (a *Account) WeightedShare() float64 { return a.dominantShare / float64(a.weight) }

// Accounts holds the accounts of all teams.
type Accounts struct {
	capacity model.Resources
	accounts map[model.TeamID]*Account
}

// NewAccounts returns accounts without teams.
func NewAccounts() *Accounts { return &Accounts{accounts: make(map[model.TeamID]*Account)} }

// Account returns a team's account and creates it if it doesn't exist. The default
// weight is 1.
func (as *Accounts) Account(team model.TeamID) *Account {
	a := as.accounts[team]
	if a == nil {
		a = &Account{Team: team, weight: 1}
		as.accounts[team] = a
	}
	return a
}

// SetWeight sets a team's weight; values below 1 count as 1.
func (as *Accounts) SetWeight(team model.TeamID, weight int64) {
	as.Account(team).weight = max(weight, 1)
}

// SetCapacity sets the total capacity of the fleet.
func (as *Accounts) SetCapacity(capacity model.Resources) {
	as.capacity = capacity
	for _, a := range as.accounts {
		as.updateShare(a)
	}
}

// Capacity returns the total capacity of the fleet.
func (as *Accounts) Capacity() model.Resources { return as.capacity }

// SetRemoteUsage sets the resources held by a team's tasks that other instances placed.
func (as *Accounts) SetRemoteUsage(team model.TeamID, usage model.Resources) {
	a := as.Account(team)
	a.remote = usage
	as.updateShare(a)
}

// Charge adds a task's demand to its team's usage.
func (as *Accounts) Charge(team model.TeamID, demand model.Resources) {
	a := as.Account(team)
	a.local = a.local.Add(demand)
	as.updateShare(a)
}

// Refund subtracts a task's demand from its team's usage.
func (as *Accounts) Refund(team model.TeamID, demand model.Resources) {
	a := as.Account(team)
	a.local = a.local.Sub(demand)
	as.updateShare(a)
}

// Remove deletes a team's account unless the team holds resources.
func (as *Accounts) Remove(team model.TeamID) {
	a := as.accounts[team]
	if a != nil && a.Usage().IsZero() {
		delete(as.accounts, team)
	}
}

func (as *Accounts) updateShare(a *Account) { a.dominantShare = DominantShare(a.Usage(), as.capacity) }

// DominantShare returns the maximum ratio of used to capacity over all dimensions.
// Dimensions without capacity don't count.
func DominantShare(used, capacity model.Resources) float64 {
	return max(
		ratio(used.MilliCPU, capacity.MilliCPU),
		ratio(used.MemoryMiB, capacity.MemoryMiB),
		ratio(used.Slots, capacity.Slots),
		ratio(used.Accelerators, capacity.Accelerators),
	)
}

func ratio(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// Claim is one team's claim in the computation of fair shares.
type Claim struct {
	Team        model.TeamID
	Weight      int64
	WantedShare float64 // dominant share of what it holds and what its waiting tasks demand
}

// Target is a team's fair share.
type Target struct {
	Team  model.TeamID
	Share float64 // dominant share, from 0 to 1
}

// Targets divides total, the share of the fleet that can be in use, by weighted
// max-min fairness: no team gets more than it wants, and the remaining share goes to
// the others in proportion to their weights. The result is in the order of claims.
func Targets(claims []Claim, total float64) []Target {
	out := make([]Target, len(claims))
	order := make([]int, len(claims))
	var weights int64
	for i, c := range claims {
		out[i].Team = c.Team
		order[i] = i
		weights += max(c.Weight, 1)
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareWeightedClaims(claims[a], claims[b]) })
	remaining := total
	for _, i := range order {
		weight := max(claims[i].Weight, 1)
		share := min(claims[i].WantedShare, remaining*float64(weight)/float64(weights))
		out[i].Share = share
		remaining -= share
		weights -= weight
	}
	return out
}

// compareWeightedClaims orders claims by the share wanted per unit of weight.
func compareWeightedClaims(a, b Claim) int {
	x := a.WantedShare / float64(max(a.Weight, 1))
	y := b.WantedShare / float64(max(b.Weight, 1))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
