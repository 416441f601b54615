package scheduler

import (
	"math/rand/v2"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
	"pollenbend/internal/scheduler/plugin/accelerators"
	"pollenbend/internal/scheduler/plugin/bestfit"
	"pollenbend/internal/scheduler/plugin/failures"
	"pollenbend/internal/scheduler/plugin/preference"
	"pollenbend/internal/scheduler/plugin/resources"
	"pollenbend/internal/scheduler/plugin/schedulable"
	"pollenbend/internal/scheduler/plugin/selector"
	"pollenbend/internal/scheduler/plugin/spread"
	"pollenbend/internal/scheduler/plugin/zone"
)

// Config sets up a Scheduler.
type Config struct {
	Seed uint64         // of the order in which candidates are looked at
	Home model.Location // of the instance that decides
	// Filters and Scorers replace the default chain when they are not nil.
	Filters []plugin.Filter
	Scorers []plugin.Weighted
}

// Weights of the default scorers in the sum.
const (
	weightBestFit    = 1
	weightPreference = 4
	weightSpread     = 3
	weightZone       = 1
)

// Scheduler decides where tasks run. It is deterministic for the same calls and
// seed, and belongs to one goroutine.
type Scheduler struct {
	Fleet    *fleet.Fleet
	Failures *failures.Filter

	filters []plugin.Filter
	scorers []plugin.Weighted
	rng     *rand.Rand

	search     fleet.Search
	preferred  fleet.Search
	state      plugin.State
	candidates []*fleet.Node
	merged     model.Selector
}

// New returns a scheduler over an empty fleet.
func New(c Config) *Scheduler {
	s := &Scheduler{
		Fleet:    fleet.New(),
		Failures: failures.New(),
		filters:  c.Filters,
		scorers:  c.Scorers,
		rng:      rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if s.filters == nil {
		s.filters = s.defaultFilters()
	}
	if s.scorers == nil {
		s.scorers = defaultScorers(c.Home)
	}
	return s
}

func (s *Scheduler) defaultFilters() []plugin.Filter {
	return []plugin.Filter{
		schedulable.Filter{},
		selector.Filter{},
		resources.Filter{},
		accelerators.Filter{},
		spread.Filter{},
		s.Failures,
	}
}

func defaultScorers(home model.Location) []plugin.Weighted {
	return []plugin.Weighted{
		{Scorer: bestfit.Scorer{}, Weight: weightBestFit},
		{Scorer: preference.Scorer{}, Weight: weightPreference},
		{Scorer: spread.Scorer{}, Weight: weightSpread},
		{Scorer: zone.Scorer{Home: home}, Weight: weightZone},
	}
}

// Decision is a worker chosen for a task. Nothing is committed until the caller
// hands it to Fleet.Assume.
type Decision struct {
	Worker     model.WorkerID
	Score      int64
	Candidates int           // workers that were compared
	Compromise plugin.Status // why the worker is second best, if it is
}

// Place chooses a worker for a task. When the status isn't OK, it says why there
// is none.
func (s *Scheduler) Place(now time.Duration, t *model.Task) (Decision, plugin.Status) {
	n, d, status := s.place(now, t)
	if n != nil {
		d.Worker = n.Worker.ID
	}
	return d, status
}

func (s *Scheduler) place(now time.Duration, t *model.Task) (*fleet.Node, Decision, plugin.Status) {
	var chosen *fleet.Node
	var d Decision
	var status plugin.Status
	s.start(now, t)
	s.Fleet.WithoutHold(t.ID, func(held *fleet.Node) {
		if held != nil && s.search.Fits(held) {
			chosen = held
			d = Decision{Candidates: 1}
			return
		}
		chosen, d, status = s.find(t)
	})
	return chosen, d, status
}

// start prepares the state of a decision.
func (s *Scheduler) start(now time.Duration, t *model.Task) {
	s.search.Start(s.Fleet, s.Fleet.Select(t.Require), t.Demand)
	s.state = plugin.State{Now: now, Fleet: s.Fleet, Search: &s.search}
}

func (s *Scheduler) find(t *model.Task) (*fleet.Node, Decision, plugin.Status) {
	if s.search.Selection.Empty() {
		return nil, Decision{}, noMatch
	}
	if s.search.Refused() {
		return nil, Decision{}, noRoom
	}
	s.collect(t)
	n, d := s.choose(t)
	if n != nil {
		return n, d, plugin.Status{}
	}
	n = s.search.Exhaustive(func(n *fleet.Node) bool { return s.filter(t, n).Code <= plugin.Avoid })
	if n == nil {
		return nil, Decision{}, noRoom
	}
	return n, Decision{Score: s.score(t, n), Candidates: 1, Compromise: s.filter(t, n)}, plugin.Status{}
}

// Statuses of a task that can't be placed now.
var (
	noMatch = plugin.Status{Code: plugin.Unfit, Plugin: selector.Name, Reason: "no worker matches"}
	noRoom  = plugin.Status{Code: plugin.Unfit, Plugin: resources.Name, Reason: "no matching worker has room"}
)

// choose returns the best candidate that no filter refuses.
func (s *Scheduler) choose(t *model.Task) (*fleet.Node, Decision) {
	var best *fleet.Node
	decision := Decision{Candidates: len(s.candidates)}
	for _, n := range s.candidates {
		status := s.filter(t, n)
		if status.Code > plugin.Avoid || best != nil && status.Code > decision.Compromise.Code {
			continue
		}
		score := s.score(t, n)
		if best != nil && status.Code == decision.Compromise.Code && score <= decision.Score {
			continue
		}
		best = n
		decision.Score = score
		decision.Compromise = status
	}
	return best, decision
}

// filter returns the first refusal, or else the first reason to avoid a worker.
func (s *Scheduler) filter(t *model.Task, n *fleet.Node) plugin.Status {
	worst := plugin.Status{}
	for _, f := range s.filters {
		status := f.Filter(&s.state, t, n)
		if status.Code > worst.Code {
			worst = status
		}
		if worst.Code > plugin.Avoid {
			break
		}
	}
	return worst
}

func (s *Scheduler) score(t *model.Task, n *fleet.Node) int64 {
	var sum int64
	for _, w := range s.scorers {
		sum += w.Weight * w.Score(&s.state, t, n)
	}
	return sum
}
