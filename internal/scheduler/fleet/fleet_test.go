package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenbend/internal/model"
)

func drawResources(t *rapid.T, label string, scale int64) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, 4000*scale).Draw(t, label+" cpu"),
		MemoryMiB:    rapid.Int64Range(0, 8000*scale).Draw(t, label+" memory"),
		Slots:        rapid.Int64Range(0, scale).Draw(t, label+" slots"),
		Accelerators: max(0, rapid.Int64Range(-6, scale/2).Draw(t, label+" accelerators")),
	}
}

func drawWorker(t *rapid.T) model.Worker {
	id := rapid.IntRange(0, 30).Draw(t, "worker")
	return model.Worker{
		ID:       model.WorkerID(fmt.Sprint("w", id)),
		Location: model.Location{Zone: fmt.Sprint("z", id%3), Rack: fmt.Sprint("r", id%7)},
		Labels: map[string]string{
			"disk": rapid.SampledFrom([]string{"ssd", "hdd"}).Draw(t, "disk"),
			"host": fmt.Sprint(id),
		},
		Capacity: drawResources(t, "capacity", 8),
		Leaving:  rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
	}
}

var selectors = []model.Selector{
	nil,
	{{Label: "disk", Op: model.OpIn, Values: []string{"ssd"}}},
	{{Label: "host", Op: model.OpIn, Values: []string{"1", "2", "3"}}},
	{{Label: "gpu", Op: model.OpNotExists}, {Label: "disk", Op: model.OpNotIn, Values: []string{"ssd"}}},
	{{Label: "rack", Op: model.OpExists}},
}

// checkTotals recomputes the sums that the fleet maintains and compares them. Workers may
// be overcommitted if overcommitted is true.
func checkTotals(t require.TestingT, f *Fleet, overcommitted bool) {
	var capacity, used model.Resources
	count := 0
	for _, n := range f.nodes {
		var sum model.Resources
		for _, a := range n.allocs {
			sum = sum.Add(a.Task.Demand)
		}
		count += len(n.allocs)
		used = used.Add(sum)
		require.Equal(t, sum, n.Used())
		require.Equal(t, n.Schedulable(), n.indexed)
		if n.Schedulable() {
			capacity = capacity.Add(n.Worker.Capacity)
			require.Equal(t, cellAddressOf(n.Available()), n.cellAt)
		}
		if !overcommitted {
			require.True(t, sum.Fits(n.Worker.Capacity), "committed %v of %v", sum, n.Worker.Capacity)
		}
	}
	require.Equal(t, capacity, f.Capacity())
	require.Equal(t, used, f.Used())
	require.Equal(t, count, f.Tasks())
}

// fullScan reports whether any worker is feasible, without the index.
func fullScan(f *Fleet, s *Search, selector model.Selector) bool {
	for _, n := range f.nodes {
		free := n.AvailableFor(s.Demand, s.Dedicated())
		if n.Schedulable() && n.probationAllows() && selector.Matches(n.Worker.Labels) && s.Demand.Fits(free) {
			return true
		}
	}
	return false
}

// TestTotalsAndIndex changes a fleet at random. After each step it compares the index with a
// full scan and the sums with recomputed ones.
func TestTotalsAndIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New()
		next := 0
		adopted := false
		shrunk := false
		task := func() *model.Task {
			next++
			return &model.Task{ID: model.TaskID(fmt.Sprint("t", next)), Job: "j", SpreadBy: "zone", Demand: drawResources(t, "demand", 2)}
		}
		worker := func() model.WorkerID {
			return model.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 30).Draw(t, "worker")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"upsert": func(t *rapid.T) {
				w := drawWorker(t)
				shrunk = shrunk || f.Node(w.ID) != nil && !f.Node(w.ID).Used().Fits(w.Capacity)
				f.Upsert(w)
			},
			"remove": func(*rapid.T) { f.Remove(worker()) },
			"reason": func(t *rapid.T) {
				reason := rapid.SampledFrom([]Reason{ReasonNoLease, ReasonQuarantined, ReasonProbation}).Draw(t, "reason")
				_ = f.SetReasons(worker(), reason, rapid.Bool().Draw(t, "on"))
			},
			"assume": func(*rapid.T) { _ = f.Assume(0, task(), worker()) },
			"adopt": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "adopt") == 0 {
					adopted = f.Adopt(0, task(), worker()) == nil || adopted
				}
			},
			"hold":   func(*rapid.T) { _ = f.Hold(task(), worker(), time.Duration(next)) },
			"expire": func(*rapid.T) { f.ExpireHolds(time.Duration(next - 3)) },
			"release": func(t *rapid.T) {
				f.Release(model.TaskID(fmt.Sprint("t", rapid.IntRange(0, next+1).Draw(t, "task"))))
			},
			"plan": func(*rapid.T) {
				before := f.Used()
				f.Begin()
				for range 4 {
					_ = f.Assume(0, task(), worker())
				}
				f.Rollback()
				require.Equal(t, before, f.Used())
			},
			"": func(t *rapid.T) {
				checkTotals(t, f, adopted || shrunk)
				selector := rapid.SampledFrom(selectors).Draw(t, "selector")
				var s Search
				s.Start(f, f.Select(selector), drawResources(t, "wanted", 3))
				want := fullScan(f, &s, selector)
				for _, n := range s.Sample(7, Bounds{Candidates: 8, PerClass: 4, Probes: 8, Classes: 4}, nil) {
					require.True(t, want)
					require.True(t, selector.Matches(n.Worker.Labels))
				}
				got := s.Exhaustive(func(*Node) bool { return true })
				require.Equal(t, want, got != nil)
			},
		})
	})
}

func TestSelectorIndexStaysBounded(t *testing.T) {
	f := New()
	byHost := model.Selector{{Label: "host", Op: model.OpIn, Values: []string{"7"}}}
	f.Select(byHost) // indexed before any worker exists, when the label has no values yet
	for i := range 3000 {
		f.Upsert(model.Worker{
			ID:       model.WorkerID(fmt.Sprint(i)),
			Labels:   map[string]string{"host": fmt.Sprint(i)},
			Capacity: model.Resources{MilliCPU: 1000},
		})
	}
	require.LessOrEqual(t, len(f.classes), maxClasses+1)
	var s Search
	s.Start(f, f.Select(byHost), model.Resources{MilliCPU: 500})
	n := s.Exhaustive(func(*Node) bool { return true })
	require.Equal(t, model.WorkerID("7"), n.Worker.ID)
}

func TestAssumeRechecks(t *testing.T) {
	f := New()
	f.Upsert(model.Worker{ID: "w", Capacity: model.Resources{MilliCPU: 1000}})
	task := &model.Task{ID: "t", Demand: model.Resources{MilliCPU: 600}}
	require.ErrorIs(t, f.Assume(0, task, "x"), ErrUnknownWorker)
	require.NoError(t, f.Assume(time.Second, task, "w"))
	require.ErrorIs(t, f.Assume(0, task, "w"), ErrDuplicateTask)
	require.ErrorIs(t, f.Assume(0, &model.Task{ID: "u", Demand: task.Demand}, "w"), ErrInsufficientCapacity)
	require.NoError(t, f.Confirm(time.Second, "t"))
	require.NotNil(t, f.Release("t"))
	require.Nil(t, f.Release("t"))
	require.NoError(t, f.SetReasons("w", ReasonNoLease, true))
	require.ErrorIs(t, f.Assume(0, task, "w"), ErrUnschedulable)
	require.NoError(t, f.SetReasons("w", ReasonNoLease, false))
	require.NoError(t, f.Assume(0, task, "w"))
}
