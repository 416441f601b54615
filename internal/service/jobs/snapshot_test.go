package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/service/requests"
	"pollenbend/internal/wire"
)

type noOwnership struct{}

func (noOwnership) OwnedTerm(model.Shard) (uint64, bool) { return 0, false }

type fakeTasks struct{ removed []model.TaskID }

func (*fakeTasks) AddTask(model.Job, int, bool)           {}
func (*fakeTasks) CancelTask(model.TaskID)                {}
func (t *fakeTasks) RemoveTask(id model.TaskID)           { t.removed = append(t.removed, id) }
func (*fakeTasks) Reply(requests.Caller, model.Answer)    {}
func (*fakeTasks) ExplainWait([]model.TaskID) []byte      { return nil }
func (*fakeTasks) Phases([]model.TaskID) (waiting, r int) { return 0, 0 }

func newTestService() (*Service, *fakeTasks) {
	tasks := &fakeTasks{}
	s := New(event.NewEnv(platform.Instance{ID: "a"}, event.Timing{}, 1))
	s.ownership, s.tasks = noOwnership{}, tasks
	return s, tasks
}

func acceptedRecord(id model.JobID) wire.JobAccepted {
	return wire.JobAccepted{Job: model.Job{ID: id, Count: 3, Template: model.Task{Team: "t"}}}
}

// TestRestoreMatchesReplay restores a snapshot on instances that have replayed some,
// all or other records, and expects the same state as after a complete replay.
func TestRestoreMatchesReplay(t *testing.T) {
	records := []wire.Record{
		acceptedRecord("one"), acceptedRecord("two"),
		wire.JobProgress{Team: "t", Job: "one", Done: []int{0, 2}, Failed: []int{1}},
		wire.JobCanceled{Team: "t", Job: "two"},
		wire.JobProgress{Team: "t", Job: "two", Failed: []int{0}},
		acceptedRecord("three"),
	}
	full, _ := newTestService()
	for i, r := range records {
		full.OnRecord(uint64(i+1), r)
	}
	for replayed := range records {
		late, _ := newTestService()
		for i, r := range records[:replayed] {
			late.OnRecord(uint64(i+1), r)
		}
		require.NoError(t, late.Restore(full.Snapshot()))
		require.Equal(t, full.Snapshot(), late.Snapshot(), "after %d records", replayed)
		require.Equal(t, full.jobs[key{"t", "one"}], late.jobs[key{"t", "one"}])
	}
	late, tasks := newTestService()
	late.OnRecord(1, acceptedRecord("ended and forgotten"))
	require.NoError(t, late.Restore(full.Snapshot()))
	require.Equal(t, full.Snapshot(), late.Snapshot())
	require.Contains(t, tasks.removed, model.TaskIDOf("t", "ended and forgotten", 2))
	require.Error(t, late.Restore([]byte("no snapshot")))
	require.Equal(t, full.Snapshot(), late.Snapshot())
}
