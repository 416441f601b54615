package scenario

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/testcell"
)

// TestSchedulesRepeat wants the same actions from the same seed.
func TestSchedulesRepeat(t *testing.T) {
	for seed := uint64(10112); seed <= 10114; seed++ {
		first, second := record(seed), record(seed)
		for i := range min(len(first), len(second)) {
			require.Equal(t, first[i], second[i], "seed %d, action %d", seed, i)
		}
		require.Len(t, second, len(first))
	}
}

// step is an action of an instance.
type step struct {
	at     model.InstanceID
	action event.Action
}

func record(seed uint64) []step {
	var steps []step
	_ = draw(seed).run(func(*testcell.Cell) testcell.Tamper {
		return fault{action: func(at model.InstanceID, a event.Action) []event.Action {
			steps = append(steps, step{at, a})
			return []event.Action{a}
		}}
	})
	return steps
}
