// Package shares keeps what each team uses and how near that is to its weighted
// fair part of the fleet: weighted max-min over the dominant resource (DRF).
package shares

import (
	"slices"

	"pollenbend/internal/model"
)

// Account is one team's use of the fleet.
type Account struct {
	Team model.TeamID

	weight    int64
	elsewhere model.Resources // held by tasks that other instances placed
	local     model.Resources // held by tasks placed here
	dominant  float64         // largest part of the fleet held in any dimension
}

// Weight returns the team's share.
func (a *Account) Weight() int64 { return a.weight }

// Usage returns what the team holds in the whole fleet.
func (a *Account) Usage() model.Resources { return a.elsewhere.Add(a.local) }

// Local returns what the team's tasks placed here hold.
func (a *Account) Local() model.Resources { return a.local }

// Dominant returns the largest part of the fleet that the team holds in any
// dimension, from 0 to 1.
func (a *Account) Dominant() float64 { return a.dominant }

// Level returns the dominant part in relation to the team's share. The team with
// the lowest level is served next.
func (a *Account) Level() float64 { return a.dominant / float64(a.weight) }

// Book holds the accounts of all teams.
type Book struct {
	capacity model.Resources
	accounts map[model.TeamID]*Account
}

// NewBook returns a book without teams.
func NewBook() *Book { return &Book{accounts: make(map[model.TeamID]*Account)} }

// Account returns a team's account. A team that wasn't declared has share 1.
func (b *Book) Account(team model.TeamID) *Account {
	a := b.accounts[team]
	if a == nil {
		a = &Account{Team: team, weight: 1}
		b.accounts[team] = a
	}
	return a
}

// SetShare sets a team's weight; values below 1 count as 1.
func (b *Book) SetShare(team model.TeamID, share int64) {
	b.Account(team).weight = max(share, 1)
}

// SetCapacity sets what the whole fleet has.
func (b *Book) SetCapacity(capacity model.Resources) {
	b.capacity = capacity
	for _, a := range b.accounts {
		b.update(a)
	}
}

// Capacity returns what the whole fleet has.
func (b *Book) Capacity() model.Resources { return b.capacity }

// SetElsewhere sets what a team's tasks placed by other instances hold.
func (b *Book) SetElsewhere(team model.TeamID, usage model.Resources) {
	a := b.Account(team)
	a.elsewhere = usage
	b.update(a)
}

// Charge adds a task's demand to its team's usage.
func (b *Book) Charge(team model.TeamID, demand model.Resources) {
	a := b.Account(team)
	a.local = a.local.Add(demand)
	b.update(a)
}

// Refund takes a task's demand from its team's usage.
func (b *Book) Refund(team model.TeamID, demand model.Resources) {
	a := b.Account(team)
	a.local = a.local.Sub(demand)
	b.update(a)
}

// Remove forgets a team. It does nothing while the team holds anything.
func (b *Book) Remove(team model.TeamID) {
	a := b.accounts[team]
	if a != nil && a.Usage().IsZero() {
		delete(b.accounts, team)
	}
}

func (b *Book) update(a *Account) { a.dominant = Dominant(a.Usage(), b.capacity) }

// Dominant returns the largest part of capacity that used takes in any dimension.
func Dominant(used, capacity model.Resources) float64 {
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

// Claim is what a team could use, as a dominant part of the fleet.
type Claim struct {
	Team   model.TeamID
	Weight int64
	Wanted float64 // what it holds and what waits
}

// Target is a team's fair part.
type Target struct {
	Team model.TeamID
	Part float64
}

// Targets divides total, the part of the fleet that can be in use, by weighted
// max-min: nobody gets more than it wants, and what is left goes to the others in
// proportion to their weights. Targets come in the order of the claims.
func Targets(claims []Claim, total float64) []Target {
	out := make([]Target, len(claims))
	order := make([]int, len(claims))
	var weights int64
	for i, c := range claims {
		out[i].Team = c.Team
		order[i] = i
		weights += max(c.Weight, 1)
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareNeed(claims[a], claims[b]) })
	left := total
	for _, i := range order {
		weight := max(claims[i].Weight, 1)
		part := min(claims[i].Wanted, left*float64(weight)/float64(weights))
		out[i].Part = part
		left -= part
		weights -= weight
	}
	return out
}

// compareNeed orders claims by what they want in relation to their weight.
func compareNeed(a, b Claim) int {
	x := a.Wanted / float64(max(a.Weight, 1))
	y := b.Wanted / float64(max(b.Weight, 1))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
