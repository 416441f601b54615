package reserve

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
)

func TestHoldGathersRoomForALargeTask(t *testing.T) {
	f := fleet.New()
	for i := range 12 {
		id := model.WorkerID(fmt.Sprint("w", i))
		f.Upsert(model.Worker{ID: id, Capacity: model.Resources{MilliCPU: 1000}})
		for part := range 10 {
			if i == 7 && part == 9 {
				continue
			}
			small := &model.Task{ID: model.TaskID(fmt.Sprint(i, "/", part)), Demand: model.Resources{MilliCPU: 100}}
			require.NoError(t, f.Assume(0, small, id))
		}
	}
	large := &model.Task{ID: "large", Team: "a", Demand: model.Resources{MilliCPU: 300}}
	k := New(1)
	require.True(t, k.Hold(0, f, large))
	h, _ := f.HoldOf("large")
	require.Equal(t, model.WorkerID("w7"), h.Node.Worker.ID)
	require.False(t, k.Hold(backoff, f, &model.Task{ID: "second", Team: "a", Demand: large.Demand}), "only one in twelve workers is kept")

	small := &model.Task{ID: "small", Demand: model.Resources{MilliCPU: 100}}
	require.ErrorIs(t, f.Assume(0, small, "w7"), fleet.ErrNoRoom)
	f.Release("7/0")
	require.ErrorIs(t, f.Assume(0, small, "w7"), fleet.ErrNoRoom)
	f.Release("7/1")
	require.NoError(t, f.Assume(0, large, "w7"))
	require.Empty(t, f.ExpireHolds(2*length))
}
