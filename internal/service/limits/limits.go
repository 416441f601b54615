// Package limits keeps teams within their upper limits across the whole fleet.
//
// A limit is held in escrow: the owner of a team's shard splits it into ceilings,
// one for each instance that holds workers, and an instance never runs more of
// the team than its ceiling. The sum of the ceilings, plus every slot of every
// worker whose holder is not heard, never passes the limit. What cannot be
// reached still counts as used.
//
// A limit by the hour follows the clock of the shard's owner alone. A team with a
// limit at any hour runs under ceilings at all hours.
package limits

import (
	"slices"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/membership"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/wire"
)

// Config tells the limit in force for a team.
type Config interface {
	// Limit returns the most tasks that a team may run at this hour, 0 for no
	// limit.
	Limit(model.TeamID) int64
	// Limited reports whether a team has a limit at any hour, whatever the clock.
	Limited(model.TeamID) bool
	LimitedTeams() []model.TeamID
	// MaxLimit returns the highest limit declared for any hour, 0 when there is an
	// hour without one.
	MaxLimit(model.TeamID) int64
	// Fresh reports whether the declarations known here are recent.
	Fresh() bool
}

// Ledger tells what runs here.
type Ledger interface {
	Running(model.TeamID) int64
	Usage(model.TeamID) model.Resources
	Teams() []model.TeamID
	Coverage() wire.Coverage
	Roster() map[model.WorkerID]model.Worker
}

// Ownership tells who keeps a team's limit.
type Ownership interface {
	Mine(model.Shard) (term uint64, ok bool)
	Owner(model.Shard) (ownership.Slot, bool)
	Applied() uint64
}

// Members tells who lives and what they reported.
type Members interface {
	Live() []wire.Owner
	Member(model.InstanceID) (*membership.Member, bool)
	Majority() bool
}

// Demand tells how many tasks of a team wait at this instance.
type Demand interface {
	Waiting(model.TeamID) int64
}

// Service is the limits service.
type Service struct {
	env       *event.Env
	config    Config
	ledger    Ledger
	ownership Ownership
	members   Members
	demand    Demand

	held     map[model.TeamID]ceiling
	sheds    map[model.TeamID][]shed
	beat     uint64                 // of the last heartbeat sent
	blocked  map[model.TeamID]int64 // starts refused since the last heartbeat
	recent   map[model.TeamID]int64 // starts refused between the two heartbeats before
	asked    map[model.TeamID]asked
	escrows  map[model.TeamID]*escrow
	readyAt  [model.Shards]time.Duration // when a gained shard's owner may grant
	nextPlan time.Duration
}

// ceiling is this instance's part of a team's limit.
type ceiling struct {
	term  uint64
	seq   uint64
	max   int64
	limit int64 // that max is a part of
}

const (
	planInterval = 100 * time.Millisecond
	// lowerSlack is how far a ceiling may stand above its target before it is
	// called back, while no one is short of it.
	lowerSlack = 1
	// noLimit is split in hours without a limit; it is more than any fleet runs.
	noLimit = int64(1) << 40
)

// New returns the limits service.
func New(env *event.Env) *Service {
	return &Service{
		env:     env,
		held:    make(map[model.TeamID]ceiling),
		sheds:   make(map[model.TeamID][]shed),
		blocked: make(map[model.TeamID]int64),
		asked:   make(map[model.TeamID]asked),
		escrows: make(map[model.TeamID]*escrow),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Limits }

// Bind finds the services that this one works with.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.config, err = kernel.Find[Config](k, service.Config); err != nil {
		return err
	}
	if s.ledger, err = kernel.Find[Ledger](k, service.Ledger); err != nil {
		return err
	}
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	if s.demand, err = kernel.Find[Demand](k, service.Requests); err != nil {
		return err
	}
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// MayStart reports whether one more task of team may start here.
func (s *Service) MayStart(team model.TeamID) bool {
	if !s.config.Limited(team) {
		return true
	}
	if s.config.Fresh() && s.ledger.Running(team) < s.hold(team).max {
		return true
	}
	s.blocked[team]++
	return false
}

// OnMessage applies grants.
func (s *Service) OnMessage(_ wire.Owner, m wire.Message) {
	if g, ok := m.(wire.Grant); ok {
		s.apply(g)
	}
}

func (s *Service) apply(g wire.Grant) {
	if g.To != s.env.Self.Incarnation {
		return
	}
	h := s.hold(g.Team)
	slot, _ := s.ownership.Owner(model.ShardOfTeam(g.Team))
	if g.Term < slot.Term || g.Term < h.term || g.Term == h.term && g.Seq <= h.seq {
		return
	}
	most := max(g.Ceiling-s.unknownSheds(g.Team, g.Beat), 0)
	s.held[g.Team] = ceiling{term: g.Term, seq: g.Seq, max: most, limit: g.Limit}
}

// FillBeat reports running tasks, ceilings and demand by team.
func (s *Service) FillBeat(b *wire.Heartbeat) {
	s.beat = b.Seq
	b.Teams = s.loads()
	s.recent, s.blocked = s.blocked, make(map[model.TeamID]int64)
}

func (s *Service) loads() []wire.TeamLoad {
	teams := s.ledger.Teams()
	for t := range s.held {
		teams = append(teams, t)
	}
	for t := range s.asked {
		teams = append(teams, t)
	}
	for t := range s.blocked {
		teams = append(teams, t)
	}
	slices.Sort(teams)
	teams = slices.Compact(teams)
	loads := make([]wire.TeamLoad, 0, len(teams))
	for _, t := range teams {
		loads = append(loads, s.load(t))
	}
	return loads
}

func (s *Service) load(team model.TeamID) wire.TeamLoad {
	h := s.hold(team)
	running, waiting := s.ledger.Running(team), s.demand.Waiting(team)
	return wire.TeamLoad{
		Team: team, Running: running, Waiting: waiting, Usage: s.ledger.Usage(team),
		Ceiling: h.max, GrantTerm: h.term, GrantSeq: h.seq,
		Wanted: running + max(waiting+max(s.blocked[team], s.recent[team]), s.asked[team].count),
	}
}

// room returns the slots of the workers that a member covers.
func (s *Service) room(o wire.Owner) int64 {
	roster := s.ledger.Roster()
	var slots int64
	for _, id := range s.coverageOf(o).Workers {
		if w := roster[id]; !w.Leaving {
			slots += w.Capacity.Slots
		}
	}
	return slots
}
