package preempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
	"pollenbend/internal/scheduler/shares"
)

const now = time.Hour

func oneWorker() *fleet.Fleet {
	f := fleet.New()
	f.Upsert(model.Worker{ID: "w", Capacity: model.Resources{MilliCPU: 1000, MemoryMiB: 1000}})
	return f
}

func victim(id string, cpu int64, class model.Class) *model.Task {
	return &model.Task{
		ID: model.TaskID(id), Team: "a", Kind: model.KindBatch, Class: class, Repeatable: true,
		Demand: model.Resources{MilliCPU: cpu, MemoryMiB: 10},
	}
}

func urgent(id string, cpu int64) *model.Task {
	return &model.Task{ID: model.TaskID(id), Team: "u", Kind: model.KindRequest, Class: model.ClassUrgent, Demand: model.Resources{MilliCPU: cpu}}
}

func TestPreemptMinimizesLostWork(t *testing.T) {
	type running struct {
		task  *model.Task
		since time.Duration
	}
	kind := func(t *model.Task, k model.Kind) *model.Task { t.Kind = k; return t }
	fixed := victim("fixed", 500, model.ClassLow)
	fixed.Repeatable = false
	tests := []struct {
		name    string
		running []running
		want    []model.TaskID
	}{
		{"youngest", []running{{victim("old", 500, "low"), 0}, {victim("young", 500, "low"), now - time.Minute}}, []model.TaskID{"young"}},
		{"low class", []running{{victim("normal", 500, "normal"), now - time.Minute}, {victim("low", 500, "low"), now - time.Minute}}, []model.TaskID{"low"}},
		{"one large, not two small", []running{{victim("s1", 250, "low"), now}, {victim("s2", 250, "low"), now}, {victim("l", 500, "low"), now}}, []model.TaskID{"l"}},
		{"no request, urgent or unrepeatable work", []running{
			{kind(victim("request", 250, "low"), model.KindRequest), now}, {fixed, now}, {victim("urgent", 250, "urgent"), now},
		}, nil},
		{"service", []running{{kind(victim("service", 500, "normal"), model.KindService), 0}, {victim("old", 500, "normal"), 0}}, []model.TaskID{"service"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := oneWorker()
			for _, r := range tt.running {
				require.NoError(t, f.Assume(r.since, r.task, "w"))
			}
			plan, status := New(1).Plan(now, f, urgent("u", 400), EligibleForUrgent)
			require.Equal(t, tt.want == nil, !status.Success())
			var got []model.TaskID
			for _, v := range plan.Victims {
				got = append(got, v.Task)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func TestPreemptedCapacityIsHeldForTheUrgentTask(t *testing.T) {
	f := oneWorker()
	p := New(1)
	require.NoError(t, f.Assume(0, victim("v", 1000, "low"), "w"))
	u := urgent("u", 600)
	plan, status := p.Plan(now, f, u, EligibleForUrgent)
	require.True(t, status.Success())
	require.NoError(t, p.Apply(now, f, u, plan, now+time.Minute))
	f.Release("v")
	require.ErrorIs(t, f.Assume(now, victim("other", 500, "low"), "w"), fleet.ErrInsufficientCapacity)
	require.NoError(t, f.Assume(now, victim("beside", 400, "low"), "w"))
	require.NoError(t, f.Assume(now, u, "w"))
}

func TestPreemptDoesNotCountTheSameCapacityTwice(t *testing.T) {
	f := oneWorker()
	p := New(1)
	require.NoError(t, f.Assume(0, victim("v1", 500, "low"), "w"))
	require.NoError(t, f.Assume(0, victim("v2", 500, "low"), "w"))
	for i := range 2 {
		u := urgent(fmt.Sprint("u", i), 500)
		plan, status := p.Plan(now, f, u, EligibleForUrgent)
		require.True(t, status.Success())
		require.Len(t, plan.Victims, 1)
		require.NoError(t, p.Apply(now, f, u, plan, now+time.Minute))
	}
	_, status := p.Plan(now, f, urgent("u3", 500), EligibleForUrgent)
	require.Equal(t, plugin.Unfit, status.Code)
}

func TestTaskIsPreemptedAtMostMaxPreemptionsTimes(t *testing.T) {
	f := oneWorker()
	p := New(1)
	at := now
	preemptions := 0
	for i := range 10 {
		at += time.Minute
		v := victim(fmt.Sprint("attempt", i), 1000, "low")
		v.Job = "job"
		require.NoError(t, f.Assume(at, v, "w"))
		u := urgent("u", 500)
		plan, status := p.Plan(at, f, u, EligibleForUrgent)
		if status.Success() {
			preemptions++
			require.NoError(t, p.Apply(at, f, u, plan, at+time.Second))
		}
		f.Unhold("u")
		f.Release(v.ID)
	}
	require.Equal(t, maxPreemptions, preemptions)
}

func TestPreemptForShareTakesOnlyFromTeamsAboveTheirs(t *testing.T) {
	f := oneWorker()
	accounts := shares.NewAccounts()
	accounts.SetCapacity(f.Capacity())
	for _, v := range []*model.Task{victim("above1", 400, "normal"), victim("above2", 300, "normal"), victim("below", 300, "low")} {
		if v.ID == "below" {
			v.Team = "b"
		}
		require.NoError(t, f.Assume(0, v, "w"))
		accounts.Charge(v.Team, v.Demand)
	}
	targets := map[model.TeamID]float64{"a": 0.33, "b": 0.33, "c": 0.33}
	waiting := &model.Task{ID: "w", Team: "c", Demand: model.Resources{MilliCPU: 300}}
	plan, status := New(1).Plan(now, f, waiting, EligibleForShare(accounts, targets))
	require.True(t, status.Success())
	require.Len(t, plan.Victims, 1)
	require.Equal(t, model.TaskID("above2"), plan.Victims[0].Task)
}
