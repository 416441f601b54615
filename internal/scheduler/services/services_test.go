package services

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

func replica(index int, version uint64, state State) Replica {
	return Replica{Task: model.TaskID(fmt.Sprint("v", version, "/", index)), Index: index, Version: version, State: state}
}

func leaving(r Replica) Replica { r.Leaving = true; return r }

func TestReconcile(t *testing.T) {
	three := Desired{Count: 3, Version: 1}
	tests := []struct {
		name     string
		desired  Desired
		replicas []Replica
		want     Plan
	}{
		{"start all", three, nil, Plan{Start: []int{0, 1, 2}}},
		{"content", three, []Replica{replica(0, 1, Running), replica(1, 1, Waiting), replica(2, 1, Running)}, Plan{}},
		{"replace lost", three, []Replica{replica(0, 1, Running), replica(2, 1, Running)}, Plan{Start: []int{1}}},
		{"replace before the worker leaves", three,
			[]Replica{replica(0, 1, Running), replica(1, 1, Running), leaving(replica(2, 1, Running))}, Plan{Start: []int{2}}},
		{"scale down", Desired{Count: 1, Version: 1},
			[]Replica{replica(0, 1, Running), replica(1, 1, Running), replica(2, 1, Waiting)}, Plan{Stop: []model.TaskID{"v1/1", "v1/2"}}},
		{"change starts one more", Desired{Count: 2, Version: 2}, []Replica{replica(0, 1, Running), replica(1, 1, Running)}, Plan{Start: []int{0}}},
		{"stopping ones are gone", three, []Replica{replica(0, 1, Running), replica(1, 1, Stopping), replica(2, 1, Running)}, Plan{Start: []int{1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Reconcile(tt.desired, tt.replicas))
		})
	}
}

// TestRollingChange plays a change of version and checks that all replicas run at
// each step and that it ends.
func TestRollingChange(t *testing.T) {
	d := Desired{Count: 4, Version: 2, Surge: 2}
	var replicas []Replica
	for i := range d.Count {
		replicas = append(replicas, replica(i, 1, Running))
	}
	for range 10 {
		plan := Reconcile(d, replicas)
		stop := map[model.TaskID]bool{}
		for _, id := range plan.Stop {
			stop[id] = true
		}
		kept := replicas[:0]
		for _, r := range replicas {
			if !stop[r.Task] {
				kept = append(kept, r)
			}
		}
		require.GreaterOrEqual(t, len(kept), d.Count)
		replicas = kept
		for _, index := range plan.Start {
			replicas = append(replicas, replica(index, 2, Running))
		}
		require.LessOrEqual(t, len(replicas), d.Count+d.Surge)
	}
	for _, r := range replicas {
		require.Equal(t, uint64(2), r.Version)
	}
	require.Len(t, replicas, d.Count)
}
