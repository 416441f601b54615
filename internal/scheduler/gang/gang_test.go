package gang

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/scheduler/fleet"
	"pollenbend/internal/scheduler/plugin"
)

var whole = model.Resources{MilliCPU: 1000}

func newFleet(workers int) *fleet.Fleet {
	f := fleet.New()
	for i := range workers {
		f.Upsert(model.Worker{ID: model.WorkerID(fmt.Sprint("w", i)), Capacity: whole})
	}
	return f
}

func newGang(job string, size int) Gang {
	g := Gang{Job: model.JobID(job)}
	for i := range size {
		g.Tasks = append(g.Tasks, &model.Task{ID: model.TaskID(fmt.Sprint(job, "/", i)), Job: g.Job, Kind: model.KindGang, Demand: whole})
	}
	return g
}

// firstFit places a task on the worker it holds or else on the first with room.
func firstFit(f *fleet.Fleet) Placer {
	return func(t *model.Task) (model.WorkerID, plugin.Status) {
		if h, ok := f.HoldOf(t.ID); ok && t.Demand.Fits(h.Node.Available().Add(h.Demand)) {
			return h.Node.Worker.ID, plugin.Status{}
		}
		for _, n := range f.Nodes() {
			if t.Demand.Fits(n.Available()) {
				return n.Worker.ID, plugin.Status{}
			}
		}
		return "", plugin.Status{Code: plugin.Unfit, Plugin: "resources", Reason: "no room"}
	}
}

func TestGangAllOrNone(t *testing.T) {
	f := newFleet(3)
	p := New(f)
	_, status := p.Start(0, newGang("a", 4), firstFit(f))
	require.False(t, status.Success())
	require.Zero(t, f.Tasks())
	plan, status := p.Start(0, newGang("b", 3), firstFit(f))
	require.True(t, status.Success())
	require.Len(t, plan, 3)
	require.Equal(t, 3, f.Tasks())
}

func TestGangsDoNotDeadlock(t *testing.T) {
	f := newFleet(4)
	p := New(f)
	require.NoError(t, f.Assume(0, &model.Task{ID: "busy", Demand: whole}, "w0"))
	a, b := newGang("a", 4), newGang("b", 4)
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		for _, g := range []Gang{a, b} {
			_, status := p.Start(at, g, firstFit(f))
			require.False(t, status.Success())
		}
	}
	require.Equal(t, a.Job, p.Turn())
	f.Release("busy")
	_, status := p.Start(time.Minute, b, firstFit(f))
	require.False(t, status.Success(), "it isn't b's turn")
	_, status = p.Start(time.Minute, a, firstFit(f))
	require.True(t, status.Success())
	for _, task := range a.Tasks {
		f.Release(task.ID)
	}
	_, status = p.Start(time.Minute, b, firstFit(f))
	require.True(t, status.Success())
}

// TestLargeGangIsNotStarved runs small tasks that take every worker as soon as it
// is free, and checks that a gang as large as the fleet starts all the same.
func TestLargeGangIsNotStarved(t *testing.T) {
	const workers = 8
	f := newFleet(workers)
	p := New(f)
	place := firstFit(f)
	g := newGang("large", workers)
	next := 0
	ends := map[int][]model.TaskID{}
	for second := 1; second < 120; second++ {
		now := time.Duration(second) * time.Second
		for _, id := range ends[second] {
			f.Release(id)
		}
		if second > 1 {
			if _, status := p.Start(now, g, place); status.Success() {
				return
			}
		}
		for range workers {
			small := &model.Task{ID: model.TaskID(fmt.Sprint("s", next)), Demand: whole}
			if worker, status := place(small); status.Success() {
				require.NoError(t, f.Assume(now, small, worker))
				end := second + 1 + next%10
				ends[end] = append(ends[end], small.ID)
			}
			next++
		}
	}
	t.Fatal("the gang didn't start")
}

func TestGangTurnEnds(t *testing.T) {
	f := newFleet(2)
	p := New(f)
	never := newGang("never", 3)
	p.Start(patience, never, firstFit(f))
	require.Equal(t, never.Job, p.Turn())
	small := newGang("small", 2)
	_, status := p.Start(patience, small, firstFit(f))
	require.False(t, status.Success())
	_, status = p.Start(patience+turn, small, firstFit(f))
	require.True(t, status.Success())
	require.Empty(t, p.Turn())
}
