package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

// Sizes of the synthetic fleets. The number of running tasks is proportional to the
// number of workers.
const (
	benchTeams       = 170
	tasksPerWorker   = 350_000.0 / 12_000
	templatesPerTeam = 4
	benchZones       = 9
	benchRegions     = 4
	rackSize         = 6
	benchSeed        = 20261203
)

// benchWorkers returns n workers: half of them have 32 processors and half 16, and one
// in twenty has accelerators.
func benchWorkers(n int) []model.Worker {
	out := make([]model.Worker, n)
	for i := range out {
		rack := i / rackSize
		zone := rack % benchZones
		capacity := model.Resources{MilliCPU: 16000, MemoryMiB: 65536, Slots: 64}
		if rack%2 == 0 {
			capacity.MilliCPU = 32000
		}
		disk := "hdd"
		if i%3 == 0 {
			disk = "ssd"
		}
		if i%20 == 7 {
			capacity.Accelerators = 4
		}
		out[i] = model.Worker{
			ID:       model.WorkerID("w" + strconv.Itoa(i)),
			Location: model.Location{Region: fmt.Sprint("region", zone%benchRegions), Zone: fmt.Sprint("zone", zone), Rack: fmt.Sprint("rack", rack)},
			Labels:   map[string]string{"disk": disk, "pool": fmt.Sprint("p", i%4), "host": strconv.Itoa(i)},
			Capacity: capacity,
		}
	}
	return out
}

// workload draws random tasks from a fixed set of templates for each team.
type workload struct {
	rng       *rand.Rand
	templates []model.Task
	lastIndex int
}

// sizes lists the sizes of tasks and the percentage of draws of each.
var sizes = []struct {
	milliCPU int64
	percent  int
}{{250, 45}, {500, 30}, {1000, 15}, {2000, 7}, {4000, 3}}

func newWorkload(seed uint64) *workload {
	w := &workload{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range benchTeams * templatesPerTeam {
		w.templates = append(w.templates, w.template(i))
	}
	return w
}

func (w *workload) template(i int) model.Task {
	size := w.size()
	t := model.Task{
		Team:   model.TeamID(fmt.Sprint("team", i%benchTeams)),
		Job:    model.JobID(fmt.Sprint("job", i)),
		Kind:   model.KindBatch,
		Class:  model.ClassNormal,
		Demand: model.Resources{MilliCPU: w.jitter(size), MemoryMiB: w.jitter(size * 2), Slots: 1},
	}
	switch (i + i/benchTeams) % 10 {
	case 0, 1:
		t.Kind = model.KindService
		t.SpreadBy = "zone"
	case 2:
		t.Require = model.Selector{{Label: "disk", Op: model.OpIn, Values: []string{"ssd"}}}
	case 3:
		t.Prefer = []model.Preference{{Selector: model.Selector{{Label: "pool", Op: model.OpIn, Values: []string{"p1"}}}, Weight: 10}}
	case 4:
		t.Kind = model.KindRequest
	}
	return t
}

func (w *workload) size() int64 {
	draw := w.rng.IntN(100)
	for _, s := range sizes {
		if draw -= s.percent; draw < 0 {
			return s.milliCPU
		}
	}
	return sizes[0].milliCPU
}

// jitter returns x multiplied by a random factor from 0.5 to 1.5.
func (w *workload) jitter(x int64) int64 { return x/2 + w.rng.Int64N(x+1) }

func (w *workload) next() *model.Task {
	t := w.templates[w.rng.IntN(len(w.templates))]
	w.lastIndex++
	t.ID = model.TaskID("t" + strconv.Itoa(w.lastIndex))
	t.Index = w.lastIndex
	return &t
}

// plainNext draws a task without selector, preferences and spread constraint.
func (w *workload) plainNext() *model.Task {
	t := w.next()
	t.SpreadBy, t.Require, t.Prefer = "", nil, nil
	return t
}

// placer is a placement policy over its own fleet.
type placer interface {
	place(t *model.Task) *fleet.Node
	fleet() *fleet.Fleet
}

type sampledPlacer struct{ *Scheduler }

func (s sampledPlacer) fleet() *fleet.Fleet { return s.Fleet }

func (s sampledPlacer) place(t *model.Task) *fleet.Node {
	n, _, _ := s.Scheduler.place(0, t)
	return n
}

// fits is the feasibility check of the baselines. It reserves capacity for accelerators
// as the scheduler does, so that all policies have the same constraints.
func fits(t *model.Task, n *fleet.Node) bool {
	return n.Schedulable() && t.Demand.Fits(n.AvailableFor(t.Demand, false)) && t.Require.Matches(n.Worker.Labels)
}

type randomFeasible struct {
	*fleet.Fleet
	rng *rand.Rand
}

func (p randomFeasible) fleet() *fleet.Fleet { return p.Fleet }

// place probes workers at random, then scans from a random start.
func (p randomFeasible) place(t *model.Task) *fleet.Node {
	nodes := p.Nodes()
	for range 64 {
		if n := nodes[p.rng.IntN(len(nodes))]; fits(t, n) {
			return n
		}
	}
	start := p.rng.IntN(len(nodes))
	for i := range nodes {
		if n := nodes[(start+i)%len(nodes)]; fits(t, n) {
			return n
		}
	}
	return nil
}

type firstFit struct{ *fleet.Fleet }

func (p firstFit) fleet() *fleet.Fleet { return p.Fleet }

func (p firstFit) place(t *model.Task) *fleet.Node {
	for _, n := range p.Nodes() {
		if fits(t, n) {
			return n
		}
	}
	return nil
}

type bestFit struct{ *fleet.Fleet }

func (p bestFit) fleet() *fleet.Fleet { return p.Fleet }

// place scans all workers for the minimum remaining capacity, relative to the largest
// worker.
func (p bestFit) place(t *model.Task) *fleet.Node {
	var best *fleet.Node
	minRemaining := 0.0
	largest := p.Largest()
	for _, n := range p.Nodes() {
		if !fits(t, n) {
			continue
		}
		remaining := n.Free().Sub(t.Demand)
		sum := float64(remaining.MilliCPU)/float64(largest.MilliCPU) + float64(remaining.MemoryMiB)/float64(largest.MemoryMiB)
		if best == nil || sum < minRemaining {
			best, minRemaining = n, sum
		}
	}
	return best
}

// policies returns the scheduler and its baselines, each over a fleet of its own.
func policies(workers int) map[string]placer {
	add := func(f *fleet.Fleet) *fleet.Fleet {
		for _, w := range benchWorkers(workers) {
			f.Upsert(w)
		}
		return f
	}
	s := New(Config{Seed: benchSeed, Home: model.Location{Region: "region0", Zone: "zone0"}})
	add(s.Fleet)
	return map[string]placer{
		"sampled":        sampledPlacer{s},
		"randomFeasible": randomFeasible{add(fleet.New()), rand.New(rand.NewPCG(benchSeed, 2))},
		"firstFitScan":   firstFit{add(fleet.New())},
		"bestFitScan":    bestFit{add(fleet.New())},
	}
}

var policyNames = []string{"sampled", "randomFeasible", "firstFitScan", "bestFitScan"}
