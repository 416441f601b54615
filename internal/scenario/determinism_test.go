package scenario

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/testcell"
)

// TestSchedulesRepeat runs schedules twice and requires the same actions from the same
// seed. Without this, a failure could not be reproduced from its seed.
func TestSchedulesRepeat(t *testing.T) {
	for seed := uint64(10112); seed <= 10114; seed++ {
		first, second := recordActions(seed), recordActions(seed)
		for i := range min(len(first), len(second)) {
			require.Equal(t, first[i], second[i], "seed %d, action %d", seed, i)
		}
		require.Len(t, second, len(first))
	}
}

// recordedAction is an action and the instance that returned it.
type recordedAction struct {
	id     model.InstanceID
	action event.Action
}

func recordActions(seed uint64) []recordedAction {
	var actions []recordedAction
	_ = generate(seed).run(func(*testcell.Cell) testcell.FaultInjector {
		return fault{action: func(id model.InstanceID, a event.Action) []event.Action {
			actions = append(actions, recordedAction{id, a})
			return []event.Action{a}
		}}
	})
	return actions
}
