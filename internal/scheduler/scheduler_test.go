package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

func worker(id, zone, rack string, capacity model.Resources, labels map[string]string) model.Worker {
	return model.Worker{
		ID:       model.WorkerID(id),
		Location: model.Location{Region: "ie", Zone: zone, Rack: rack},
		Labels:   labels,
		Capacity: capacity,
	}
}

var (
	plainCapacity = model.Resources{MilliCPU: 32000, MemoryMiB: 65536, Slots: 8}
	accelCapacity = model.Resources{MilliCPU: 32000, MemoryMiB: 65536, Slots: 8, Accelerators: 4}
	smallDemand   = model.Resources{MilliCPU: 1000, MemoryMiB: 1024, Slots: 1}
)

// smallFleet returns a scheduler over three zones of two racks with two workers each. Only
// w0 has accelerators.
func smallFleet() *Scheduler {
	s := New(Config{Seed: 1, Home: model.Location{Region: "ie", Zone: "z1"}})
	for i := range 12 {
		capacity := plainCapacity
		labels := map[string]string{"disk": "hdd"}
		if i == 0 {
			capacity = accelCapacity
		}
		if i%4 == 1 {
			labels["disk"] = "ssd"
		}
		if i == 5 {
			labels["new"] = ""
		}
		zone := fmt.Sprint("z", i%3)
		s.Fleet.Upsert(worker(fmt.Sprint("w", i), zone, fmt.Sprint("r", i%2), capacity, labels))
	}
	return s
}

func TestSelectorPlacement(t *testing.T) {
	tests := []struct {
		name    string
		require model.Selector
		want    []model.WorkerID
	}{
		{"equality", model.Selector{{Label: "disk", Op: model.OpIn, Values: []string{"ssd"}}}, []model.WorkerID{"w1", "w5", "w9"}},
		{"exists", model.Selector{{Label: "new", Op: model.OpExists}}, []model.WorkerID{"w5"}},
		{"set and not", model.Selector{
			{Label: "disk", Op: model.OpIn, Values: []string{"ssd", "nvme"}},
			{Label: "new", Op: model.OpNotExists},
		}, []model.WorkerID{"w1", "w9"}},
		{"not in", model.Selector{
			{Label: "disk", Op: model.OpNotIn, Values: []string{"hdd"}},
			{Label: "new", Op: model.OpExists},
		}, []model.WorkerID{"w5"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallFleet()
			d, status := s.Place(0, &model.Task{ID: "t", Demand: smallDemand, Require: tt.require})
			require.True(t, status.Success(), status)
			require.Contains(t, tt.want, d.Worker)
		})
	}
}

func TestSelectorWithoutMatchIsRefusedWithReason(t *testing.T) {
	s := smallFleet()
	task := &model.Task{ID: "t", Demand: smallDemand, Require: model.Selector{{Label: "disk", Op: model.OpIn, Values: []string{"tape"}}}}
	_, status := s.Place(0, task)
	require.Equal(t, "selector: no worker matches", status.String())
	require.Equal(t, plugin.Status{Code: plugin.Impossible, Plugin: "feasible", Reason: "none of 12 workers matches the selector"}, s.Feasible(task))
	require.Equal(t, []Refusal{{Plugin: "selector", Reason: "labels don't match", Workers: 12}}, s.Explain(0, task).Refusals)
}

func TestPreferredSelectorWinsByWeight(t *testing.T) {
	s := smallFleet()
	task := &model.Task{ID: "t", Demand: smallDemand, Prefer: []model.Preference{
		{Selector: model.Selector{{Label: "disk", Op: model.OpIn, Values: []string{"hdd"}}}, Weight: 1},
		{Selector: model.Selector{{Label: "new", Op: model.OpExists}}, Weight: 9},
	}}
	d, status := s.Place(0, task)
	require.True(t, status.Success())
	require.Equal(t, model.WorkerID("w5"), d.Worker)
}

func TestSpreadOverZonesAndRacks(t *testing.T) {
	for _, by := range []string{"zone", "rack"} {
		t.Run(by, func(t *testing.T) {
			s := smallFleet()
			for i := range 6 {
				task := &model.Task{ID: model.TaskID(fmt.Sprint(i)), Job: "j", Kind: model.KindService, Demand: smallDemand, SpreadBy: by}
				d, status := s.Place(0, task)
				require.True(t, status.Success())
				require.NoError(t, s.Fleet.Assume(0, task, d.Worker))
			}
			counts := s.Fleet.SpreadOf(&model.Task{Job: "j"})
			require.Len(t, counts.Zones, 3)
			require.Len(t, counts.Racks, 6)
			for zone, n := range counts.Zones {
				require.Equal(t, 2, n, zone)
			}
		})
	}
}

func TestSpreadAllowsSkewWhenAZoneIsLost(t *testing.T) {
	s := smallFleet()
	for _, n := range s.Fleet.Nodes() {
		if n.Zone() != "z0" {
			require.NoError(t, s.Fleet.SetReasons(n.Worker.ID, fleet.ReasonNoLease, true))
		}
	}
	for i := range 4 {
		task := &model.Task{ID: model.TaskID(fmt.Sprint(i)), Job: "j", Demand: smallDemand, SpreadBy: "zone"}
		d, status := s.Place(0, task)
		require.True(t, status.Success())
		require.NoError(t, s.Fleet.Assume(0, task, d.Worker))
		require.Equal(t, i > 0, d.AvoidStatus.Plugin == "spread")
	}
}

func TestAcceleratorCapacityIsReserved(t *testing.T) {
	s := smallFleet()
	place := func(id string, demand model.Resources) (Decision, plugin.Status) {
		task := &model.Task{ID: model.TaskID(id), Demand: demand}
		d, status := s.Place(0, task)
		if status.Success() {
			require.NoError(t, s.Fleet.Assume(0, task, d.Worker))
		}
		return d, status
	}
	whole := model.Resources{MilliCPU: 32000}
	for i := range 11 {
		d, status := place(fmt.Sprint("plain", i), whole)
		require.True(t, status.Success())
		require.NotEqual(t, model.WorkerID("w0"), d.Worker)
	}
	_, status := place("refused", model.Resources{MilliCPU: 1000})
	require.Equal(t, "resources: no matching worker has room", status.String())

	d, status := place("accelerated", model.Resources{MilliCPU: 1000, Accelerators: 1})
	require.True(t, status.Success())
	require.Equal(t, model.WorkerID("w0"), d.Worker)

	_, status = place("beside", model.Resources{MilliCPU: 7000})
	require.True(t, status.Success(), "processors reserved for an accelerator must be free for other work once it is in use")
	_, status = place("too much", model.Resources{MilliCPU: 1000})
	require.False(t, status.Success())
}

func TestFeasibleReportsWhatIsMissing(t *testing.T) {
	s := smallFleet()
	tests := []struct {
		name   string
		demand model.Resources
		count  int
		reason string
	}{
		{"fits", smallDemand, 1, ""},
		{"too large", model.Resources{MilliCPU: 33000}, 1, "none of the 12 workers that match the selector is large enough"},
		{"gang too large", model.Resources{MilliCPU: 16000}, 25, "12 workers could hold 24 tasks at a time, 25 are wanted"},
		{"accelerators", model.Resources{Accelerators: 4}, 2, "1 workers could hold 1 tasks at a time, 2 are wanted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.reason, s.FeasibleGang(&model.Task{Demand: tt.demand}, tt.count).Reason)
		})
	}
}

func TestFeasibleEndsWhenTheLastMatchingWorkerLeaves(t *testing.T) {
	s := smallFleet()
	task := &model.Task{Demand: smallDemand, Require: model.Selector{{Label: "new", Op: model.OpExists}}}
	require.True(t, s.Feasible(task).Success())
	last := s.Fleet.Node("w5").Worker
	require.NoError(t, s.Fleet.SetReasons("w5", fleet.ReasonNoLease, true))
	require.True(t, s.Feasible(task).Success(), "a worker without a lease may return")
	last.Leaving = true
	s.Fleet.Upsert(last)
	require.Equal(t, plugin.Impossible, s.Feasible(task).Code)
}

func TestJobAvoidsWorkerWhereItFailed(t *testing.T) {
	s := New(Config{})
	s.Fleet.Upsert(worker("a", "z", "r", plainCapacity, nil))
	s.Fleet.Upsert(worker("b", "z", "r", plainCapacity, nil))
	task := &model.Task{ID: "t", Job: "j", Demand: smallDemand}
	s.Failures.Record(0, task, "a")
	for range 10 {
		d, _ := s.Place(time.Minute, task)
		require.Equal(t, model.WorkerID("b"), d.Worker)
	}
	s.Failures.Record(time.Minute, task, "b")
	d, status := s.Place(2*time.Minute, task)
	require.True(t, status.Success(), "a second failure must not leave the job without workers")
	require.Equal(t, "failures", d.AvoidStatus.Plugin)
}

func TestPlaceIsDeterministic(t *testing.T) {
	run := func() []model.WorkerID {
		var out []model.WorkerID
		s := smallFleet()
		for i := range 90 {
			task := &model.Task{ID: model.TaskID(fmt.Sprint(i)), Job: "j", Demand: smallDemand, SpreadBy: "rack"}
			d, status := s.Place(0, task)
			if status.Success() {
				require.NoError(t, s.Fleet.Assume(0, task, d.Worker))
			}
			out = append(out, d.Worker)
		}
		return out
	}
	require.Equal(t, run(), run())
}
