// Package limits keeps teams within their limits across the whole fleet.
//
// A limit is held in escrow: the owner of a team's shard splits it into ceilings,
// one for each instance that holds worker leases, and an instance never runs more
// tasks of the team than its ceiling. The sum of the ceilings plus all task slots of
// the workers that no live member covers never exceeds the limit: those slots count as
// used.
//
// For a limit that depends on the time of day, only the clock of the shard owner
// counts. A team that has a limit at any time of day always has ceilings.
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

// Config provides the declared limits.
type Config interface {
	// Limit returns the maximum number of running tasks of a team that is in effect now,
	// 0 for no limit.
	Limit(model.TeamID) int64
	// HasLimit reports whether a team has a limit at any time of day. It does not depend
	// on the clock.
	HasLimit(model.TeamID) bool
	// LimitedTeams returns the teams with a limit at any time of day, sorted.
	LimitedTeams() []model.TeamID
	// MaxLimit returns the highest limit declared for any time of day, 0 when there is a
	// time of day without a limit.
	MaxLimit(model.TeamID) int64
	// Fresh reports whether the declarations known to this instance are recent enough to
	// accept work.
	Fresh() bool
}

// Ledger provides the tasks and workers of this instance.
type Ledger interface {
	// Running returns the number of tasks of a team that run or start on this instance.
	Running(model.TeamID) int64
	// Usage returns the resources that the tasks of a team hold on this instance.
	Usage(model.TeamID) model.Resources
	// Teams returns the teams with tasks on this instance, sorted.
	Teams() []model.TeamID
	// Coverage returns the workers whose state this instance knows completely.
	Coverage() wire.Coverage
	// ListedWorkers returns every listed worker.
	ListedWorkers() map[model.WorkerID]model.Worker
}

// Ownership provides the shard owners, which are responsible for the limits of
// teams.
type Ownership interface {
	OwnedTerm(model.Shard) (term uint64, ok bool)
	Owner(model.Shard) (ownership.ShardOwner, bool)
	Applied() uint64
}

// Members provides the live members and their last reports.
type Members interface {
	Live() []wire.InstanceRef
	Member(model.InstanceID) (*membership.Member, bool)
	Majority() bool
}

// Demand provides the number of tasks of a team that wait at this instance.
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

	ceilings          map[model.TeamID]ceiling
	reductions        map[model.TeamID][]reduction
	sentHeartbeatSeq  uint64                 // sequence number of the last heartbeat sent
	refusedStarts     map[model.TeamID]int64 // starts refused since the last heartbeat
	prevRefusedStarts map[model.TeamID]int64 // starts refused between the last two heartbeats sent
	gangDemands       map[model.TeamID]gangDemand
	escrows           map[model.TeamID]*escrow
	readyAt           [model.Shards]time.Duration // when the new owner of a shard may start to grant
	nextPlanAt        time.Duration               // earliest time of the next planning
}

// ceiling is this instance's part of a team's limit.
type ceiling struct {
	term  uint64 // term and sequence number of the last grant applied
	seq   uint64
	max   int64 // maximum number of running tasks on this instance
	limit int64 // limit of which max is a part
}

const (
	planInterval = 100 * time.Millisecond
	// maxExcess is the number of tasks by which a ceiling may exceed its target without
	// being reduced, as long as no member needs them.
	maxExcess = 1
	// noLimit is split at times of day without a limit. It is higher than the number of
	// tasks any fleet can run.
	noLimit = int64(1) << 40
)

// New returns the limits service.
func New(env *event.Env) *Service {
	return &Service{
		env:           env,
		ceilings:      make(map[model.TeamID]ceiling),
		reductions:    make(map[model.TeamID][]reduction),
		refusedStarts: make(map[model.TeamID]int64),
		gangDemands:   make(map[model.TeamID]gangDemand),
		escrows:       make(map[model.TeamID]*escrow),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Limits }

// Bind looks up the services that this one uses. It returns an error when one is missing.
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
	if !s.config.HasLimit(team) {
		return true
	}
	if s.config.Fresh() && s.ledger.Running(team) < s.currentCeiling(team).max {
		return true
	}
	s.refusedStarts[team]++
	return false
}

// OnMessage applies grants.
func (s *Service) OnMessage(_ wire.InstanceRef, m wire.Message) {
	if g, ok := m.(wire.Grant); ok {
		s.applyGrant(g)
	}
}

// applyGrant replaces the ceiling with the granted one, minus the reductions that the
// shard owner did not know of. It ignores a grant for another incarnation of this
// instance, of an earlier term of the shard, or older than the last one applied.
func (s *Service) applyGrant(g wire.Grant) {
	if g.To != s.env.Self.Incarnation {
		return
	}
	c := s.currentCeiling(g.Team)
	owner, _ := s.ownership.Owner(model.ShardOfTeam(g.Team))
	if g.Term < owner.Term || g.Term < c.term || g.Term == c.term && g.Seq <= c.seq {
		return
	}
	maxTasks := max(g.Ceiling-s.unreportedReductions(g.Team, g.HeartbeatSeq), 0)
	s.ceilings[g.Team] = ceiling{term: g.Term, seq: g.Seq, max: maxTasks, limit: g.Limit}
}

// FillHeartbeat adds the running tasks, ceiling and demand of each team to a heartbeat.
func (s *Service) FillHeartbeat(h *wire.Heartbeat) {
	s.sentHeartbeatSeq = h.Seq
	h.Teams = s.loads()
	s.prevRefusedStarts, s.refusedStarts = s.refusedStarts, make(map[model.TeamID]int64)
}

func (s *Service) loads() []wire.TeamLoad {
	teams := s.ledger.Teams()
	for t := range s.ceilings {
		teams = append(teams, t)
	}
	for t := range s.gangDemands {
		teams = append(teams, t)
	}
	for t := range s.refusedStarts {
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
	c := s.currentCeiling(team)
	running, waiting := s.ledger.Running(team), s.demand.Waiting(team)
	return wire.TeamLoad{
		Team: team, Running: running, Waiting: waiting, Usage: s.ledger.Usage(team),
		Ceiling: c.max, GrantTerm: c.term, GrantSeq: c.seq,
		Wanted: running + max(waiting+max(s.refusedStarts[team], s.prevRefusedStarts[team]), s.gangDemands[team].count),
	}
}

// taskSlots returns the number of task slots on the workers that a member covers.
func (s *Service) taskSlots(ref wire.InstanceRef) int64 {
	listed := s.ledger.ListedWorkers()
	var slots int64
	for _, id := range s.coverageOf(ref).Workers {
		if w := listed[id]; !w.Leaving {
			slots += w.Capacity.Slots
		}
	}
	return slots
}
