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

// Config configures a Scheduler.
type Config struct {
	Seed uint64         // seeds the generator that samples candidates
	Home model.Location // location of the instance that decides
	// Filters and Scorers replace the default plugins when they are not nil.
	Filters []plugin.Filter
	Scorers []plugin.WeightedScorer
}

// Weights of the default scorers in a worker's total score.
const (
	weightBestFit    = 1
	weightPreference = 4
	weightSpread     = 3
	weightZone       = 1
)

// Scheduler decides on which worker a task runs. The same seed and calls give the
// same decisions. A Scheduler belongs to one goroutine.
type Scheduler struct {
	Fleet    *fleet.Fleet
	Failures *failures.Filter

	filters []plugin.Filter
	scorers []plugin.WeightedScorer
	rng     *rand.Rand

	// Reused by all decisions to save allocations.
	search          fleet.Search
	preferredSearch fleet.Search
	state           plugin.State
	candidates      []*fleet.Node
	mergedSelector  model.Selector
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

func defaultScorers(home model.Location) []plugin.WeightedScorer {
	return []plugin.WeightedScorer{
		{Scorer: bestfit.Scorer{}, Weight: weightBestFit},
		{Scorer: preference.Scorer{}, Weight: weightPreference},
		{Scorer: spread.Scorer{}, Weight: weightSpread},
		{Scorer: zone.Scorer{Home: home}, Weight: weightZone},
	}
}

// Decision is the worker chosen for a task. Nothing is committed until the caller
// passes it to Fleet.Assume.
type Decision struct {
	Worker     model.WorkerID
	Score      int64
	Candidates int // number of workers compared
	// AvoidStatus is OK, or the reason to avoid this worker when no worker
	// without such a reason was found.
	AvoidStatus plugin.Status
}

// Place chooses a worker for a task. When there is none, the status isn't OK and
// holds the reason. A task that has a hold goes to the worker of the hold if it
// fits there.
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
	s.prepare(now, t)
	s.Fleet.WithoutHold(t.ID, func(held *fleet.Node) {
		if held != nil && s.search.Fits(held) {
			chosen = held
			d = Decision{Candidates: 1}
			return
		}
		chosen, d, status = s.findWorker(t)
	})
	return chosen, d, status
}

// prepare sets up the search and the state that the plugins share for task t.
func (s *Scheduler) prepare(now time.Duration, t *model.Task) {
	s.search.Start(s.Fleet, s.Fleet.Select(t.Require), t.Demand)
	s.state = plugin.State{Now: now, Fleet: s.Fleet, Search: &s.search}
}

// findWorker chooses the best of the sampled candidates. If the filters refuse all of
// them, it scans the workers for the first feasible one that no filter refuses.
func (s *Scheduler) findWorker(t *model.Task) (*fleet.Node, Decision, plugin.Status) {
	if s.search.Selection.Empty() {
		return nil, Decision{}, statusNoMatch
	}
	if s.search.Refused() {
		return nil, Decision{}, statusNoCapacity
	}
	s.collectCandidates(t)
	n, d := s.selectBest(t)
	if n != nil {
		return n, d, plugin.Status{}
	}
	n = s.search.Exhaustive(func(n *fleet.Node) bool { return s.runFilters(t, n).Code <= plugin.Avoid })
	if n == nil {
		return nil, Decision{}, statusNoCapacity
	}
	return n, Decision{Score: s.runScorers(t, n), Candidates: 1, AvoidStatus: s.runFilters(t, n)}, plugin.Status{}
}

// Statuses of tasks that can't be placed now.
var (
	statusNoMatch    = plugin.Status{Code: plugin.Unfit, Plugin: selector.Name, Reason: "no worker matches"}
	statusNoCapacity = plugin.Status{Code: plugin.Unfit, Plugin: resources.Name, Reason: "no matching worker has room"}
)

// selectBest returns the candidate with the highest score among those that no
// filter refuses. Candidates without a reason to avoid them come before the others.
func (s *Scheduler) selectBest(t *model.Task) (*fleet.Node, Decision) {
	var best *fleet.Node
	decision := Decision{Candidates: len(s.candidates)}
	for _, n := range s.candidates {
		status := s.runFilters(t, n)
		if status.Code > plugin.Avoid || best != nil && status.Code > decision.AvoidStatus.Code {
			continue
		}
		score := s.runScorers(t, n)
		if best != nil && status.Code == decision.AvoidStatus.Code && score <= decision.Score {
			continue
		}
		best = n
		decision.Score = score
		decision.AvoidStatus = status
	}
	return best, decision
}

// runFilters returns the first refusal of worker n, or else the first reason to
// avoid it, or else OK.
func (s *Scheduler) runFilters(t *model.Task, n *fleet.Node) plugin.Status {
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

// runScorers returns the weighted sum of all scores.
func (s *Scheduler) runScorers(t *model.Task, n *fleet.Node) int64 {
	var sum int64
	for _, w := range s.scorers {
		sum += w.Weight * w.Score(&s.state, t, n)
	}
	return sum
}
