package queue

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

var unitDemand = model.Resources{MilliCPU: 1}

func task(team, id string) *model.Task {
	return &model.Task{ID: model.TaskID(id), Team: model.TeamID(team), Demand: unitDemand}
}

// startNext pops and starts up to n tasks and returns their IDs.
func startNext(q *Queue, n int) []model.TaskID {
	var out []model.TaskID
	for range n {
		t := q.Pop()
		if t == nil {
			break
		}
		q.Started(t)
		out = append(out, t.ID)
	}
	return out
}

func TestShareOrderIsWeighted(t *testing.T) {
	q := New(Config{})
	q.SetCapacity(model.Resources{MilliCPU: 100})
	q.SetWeight("b", 3)
	for i := range 8 {
		require.NoError(t, q.Push(task("a", fmt.Sprint("a", i))))
		require.NoError(t, q.Push(task("b", fmt.Sprint("b", i))))
	}
	require.Equal(t, []model.TaskID{"a0", "b0", "b1", "b2", "a1", "b3", "b4", "b5"}, startNext(q, 8))
	q.SetRemoteUsage("b", model.Resources{MilliCPU: 50})
	require.Equal(t, []model.TaskID{"a2", "a3", "a4"}, startNext(q, 3))
}

func TestShareCeilingKeepsCapacityForOthers(t *testing.T) {
	q := New(Config{})
	q.SetCapacity(model.Resources{MilliCPU: 100})
	for i := range 80 {
		require.NoError(t, q.Push(task("small", fmt.Sprint("s", i))))
	}
	large := task("large", "large")
	large.Demand = model.Resources{MilliCPU: 60}
	require.NoError(t, q.Push(large))
	q.Rebalance()
	require.Equal(t, large, q.Pop())
	q.Defer(large)
	require.Len(t, startNext(q, 99), 51, "the fair half of team small, and the tolerance")
	q.CancelJob("large", "")
	q.Rebalance()
	require.Len(t, startNext(q, 99), 29, "all capacity may be used when no other team waits")
}

func TestShareCeilingLeavesIdleShareToAnyTeam(t *testing.T) {
	q := New(Config{})
	q.SetCapacity(model.Resources{MilliCPU: 100})
	for _, team := range []string{"a", "b", "c", "d"} {
		require.NoError(t, q.Push(task(team, team)))
	}
	q.Rebalance()
	for i := range 99 {
		require.NoError(t, q.Push(task("a", fmt.Sprint(i))))
	}
	require.Len(t, startNext(q, 199), 101, "b, c, d and 98 tasks of a: its fair share of 1, the idle 96, and the tolerance")
}

func TestUrgentGoesFirstInOrderReceived(t *testing.T) {
	q := New(Config{})
	urgent := task("a", "u")
	urgent.Class = model.ClassUrgent
	low := task("a", "low")
	low.Class = model.ClassLow
	for _, w := range []*model.Task{low, task("a", "1"), task("a", "2"), urgent} {
		require.NoError(t, q.Push(w))
	}
	require.Equal(t, []model.TaskID{"u", "1", "2", "low"}, startNext(q, 9))
}

func TestFullQueueRefusesWithVerdict(t *testing.T) {
	q := New(Config{MaxWaiting: 1})
	require.NoError(t, q.Push(task("a", "1")))
	err := q.Push(task("a", "2"))
	var refusal *verdict.Error
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, verdict.CodeOverloaded, refusal.Code)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter)
	require.NoError(t, q.Push(task("b", "2")))
	require.Equal(t, verdict.NotRun, verdict.Of(q.Push(task("b", "2"))))
}

func TestDeferKeepsOrderAndBlocksOneLaneOnly(t *testing.T) {
	q := New(Config{})
	large := task("a", "large")
	large.Demand = model.Resources{MilliCPU: 10}
	other := task("a", "other")
	other.Kind = model.KindBatch
	for _, w := range []*model.Task{large, task("a", "behind"), other} {
		require.NoError(t, q.Push(w))
	}
	require.Equal(t, large, q.Pop())
	q.Defer(large)
	require.Equal(t, []model.TaskID{"other"}, startNext(q, 9))
	q.Wake(model.Resources{MilliCPU: 9})
	require.Empty(t, startNext(q, 9))
	q.Wake(model.Resources{MilliCPU: 10})
	require.Equal(t, []model.TaskID{"large", "behind"}, startNext(q, 9))
}

// limiter holds the number of free permits of each team.
type limiter map[model.TeamID]int

func (l limiter) Acquire(team model.TeamID) bool {
	if l[team] == 0 {
		return false
	}
	l[team]--
	return true
}

func (l limiter) Release(team model.TeamID) { l[team]++ }

func TestTeamAtItsConcurrencyLimitIsSkipped(t *testing.T) {
	l := limiter{"a": 1, "b": 5}
	q := New(Config{Limiter: l})
	first := task("a", "a1")
	for _, w := range []*model.Task{first, task("a", "a2"), task("b", "b1")} {
		require.NoError(t, q.Push(w))
	}
	require.Equal(t, []model.TaskID{"a1", "b1"}, startNext(q, 9))
	q.Ended(first)
	require.Equal(t, []model.TaskID{"a2"}, startNext(q, 9))
	require.NoError(t, q.Push(task("a", "a3")))
	require.Empty(t, startNext(q, 9))
	l["a"]++
	q.LimitChanged("a")
	got := q.Pop()
	q.Drop(got)
	require.Equal(t, limiter{"a": 1, "b": 4}, l)
}

func TestCancelJobRemovesAllItsTasks(t *testing.T) {
	q := New(Config{})
	for i := range 1000 {
		w := task("a", fmt.Sprint(i))
		w.Job = model.JobID(fmt.Sprint("j", i%2))
		require.NoError(t, q.Push(w))
	}
	require.Len(t, q.CancelJob("a", "j0"), 500)
	require.Empty(t, q.CancelJob("a", "j0"))
	require.NotNil(t, q.Cancel("1"))
	require.Nil(t, q.Cancel("1"))
	require.Equal(t, 499, q.Len())
	require.Equal(t, []model.TaskID{"3", "5", "7"}, startNext(q, 3))
}

func TestCancelOfBlockedTaskUnblocksItsLane(t *testing.T) {
	q := New(Config{})
	require.NoError(t, q.Push(task("a", "1")))
	require.NoError(t, q.Push(task("a", "2")))
	q.Defer(q.Pop())
	require.Nil(t, q.Pop())
	q.Cancel("1")
	require.Equal(t, []model.TaskID{"2"}, startNext(q, 9))
}

func TestParkedTaskKeepsItsPositionAndBlocksNothing(t *testing.T) {
	q := New(Config{MaxWaiting: 3})
	for _, id := range []string{"1", "2", "3"} {
		require.NoError(t, q.Push(task("a", id)))
	}
	first, second := q.Pop(), q.Pop()
	q.Park(first)
	q.Park(second)
	require.Equal(t, 3, q.Len())
	require.Error(t, q.Push(task("a", "4")))
	q.Unpark("2")
	q.Unpark("1")
	require.Equal(t, []model.TaskID{"1", "2", "3"}, startNext(q, 9))
	require.NoError(t, q.Push(task("a", "5")))
	q.Park(q.Pop())
	require.NotNil(t, q.Cancel("5"))
	require.Zero(t, q.Len())
}

// TestOrderWithinTeam pops, defers and wakes at random and checks that each lane keeps
// its order and that no task is lost or duplicated.
func TestOrderWithinTeam(t *testing.T) {
	const seed = 7
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, seed))
	q := New(Config{})
	last := map[model.TeamID]int{}
	pushed, started := 0, 0
	for started < 2000 {
		switch rng.IntN(4) {
		case 0, 1:
			w := task(fmt.Sprint("team", rng.IntN(5)), fmt.Sprint(pushed))
			w.Index = pushed + 1
			pushed++
			require.NoError(t, q.Push(w))
		case 2:
			w := q.Pop()
			if w == nil {
				continue
			}
			if rng.IntN(3) == 0 {
				q.Defer(w)
				continue
			}
			require.Greater(t, w.Index, last[w.Team])
			last[w.Team] = w.Index
			q.Started(w)
			started++
		case 3:
			q.Wake(unitDemand)
		}
	}
	require.Equal(t, pushed-started, q.Len())
}
