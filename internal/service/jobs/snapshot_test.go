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

type noShards struct{}

func (noShards) Mine(model.Shard) (uint64, bool) { return 0, false }

type noTasks struct{ forgotten []model.TaskID }

func (*noTasks) AddTask(model.Job, int, bool)           {}
func (*noTasks) CancelTask(model.TaskID)                {}
func (t *noTasks) Forget(id model.TaskID)               { t.forgotten = append(t.forgotten, id) }
func (*noTasks) Reply(requests.Caller, model.Answer)    {}
func (*noTasks) Why([]model.TaskID) []byte              { return nil }
func (*noTasks) Phases([]model.TaskID) (waiting, r int) { return 0, 0 }

func newJobs() (*Service, *noTasks) {
	tasks := &noTasks{}
	s := New(event.NewEnv(platform.Instance{ID: "a"}, event.Timing{}, 1))
	s.ownership, s.tasks = noShards{}, tasks
	return s, tasks
}

func accepted(id model.JobID) wire.JobAccepted {
	return wire.JobAccepted{Job: model.Job{ID: id, Count: 3, Template: model.Task{Team: "t"}}}
}

// TestRestoredJobsEqualFollowedOnes restores behind, beside and beyond what a
// follower knows.
func TestRestoredJobsEqualFollowedOnes(t *testing.T) {
	records := []wire.Record{
		accepted("one"), accepted("two"),
		wire.JobProgress{Team: "t", Job: "one", Done: []int{0, 2}, Failed: []int{1}},
		wire.JobCanceled{Team: "t", Job: "two"},
		wire.JobProgress{Team: "t", Job: "two", Failed: []int{0}},
		accepted("three"),
	}
	full, _ := newJobs()
	for i, r := range records {
		full.OnRecord(uint64(i+1), r)
	}
	for followed := range records {
		late, _ := newJobs()
		for i, r := range records[:followed] {
			late.OnRecord(uint64(i+1), r)
		}
		require.NoError(t, late.Restore(full.Snapshot()))
		require.Equal(t, full.Snapshot(), late.Snapshot(), "after %d records", followed)
		require.Equal(t, full.jobs[key{"t", "one"}], late.jobs[key{"t", "one"}])
	}
	late, tasks := newJobs()
	late.OnRecord(1, accepted("ended and forgotten"))
	require.NoError(t, late.Restore(full.Snapshot()))
	require.Equal(t, full.Snapshot(), late.Snapshot())
	require.Contains(t, tasks.forgotten, model.TaskIDOf("t", "ended and forgotten", 2))
	require.Error(t, late.Restore([]byte("no snapshot")))
	require.Equal(t, full.Snapshot(), late.Snapshot())
}
