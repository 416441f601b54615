package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

func TestLogOrderAndRetention(t *testing.T) {
	c := NewLogCore(LogSettings{Retention: 3})
	for i := range 5 {
		offset, err := c.Append(epoch, "s", []byte{byte(i)})
		require.NoError(t, err)
		require.EqualValues(t, i+1, offset)
	}
	cases := []struct {
		from  uint64
		limit int
		want  []uint64
	}{
		{0, 10, []uint64{3, 4, 5}},
		{4, 10, []uint64{4, 5}},
		{3, 1, []uint64{3}},
		{6, 10, nil},
		{100, 10, nil},
	}
	for _, tc := range cases {
		b, err := c.Read("s", tc.from, tc.limit)
		require.NoError(t, err)
		var got []uint64
		for _, e := range b.Entries {
			got = append(got, e.Offset)
		}
		require.Equal(t, tc.want, got, "from %d", tc.from)
		require.EqualValues(t, 3, b.Oldest)
		require.EqualValues(t, 6, b.Next)
	}
	c.SetFaults(epoch, LogFaults{Retention: 1})
	b, err := c.Read("s", 1, 10)
	require.NoError(t, err)
	require.EqualValues(t, 5, b.Oldest)
	b, err = c.Read("new", 1, 10)
	require.NoError(t, err)
	require.Equal(t, platform.Batch{Oldest: 1, Next: 1}, b)
}

func TestLogFaults(t *testing.T) {
	c := NewLogCore(LogSettings{})
	c.SetFaults(epoch, LogFaults{Down: true})
	_, err := c.Append(epoch, "s", nil)
	requireNotRun(t, verdict.CodeUnavailable, err)
	_, err = c.Read("s", 1, 1)
	requireNotRun(t, verdict.CodeUnavailable, err)
	c.SetFaults(epoch, LogFaults{LoseAnswer: true})
	_, err = c.Append(epoch, "s", []byte("x"))
	require.ErrorIs(t, err, ErrAnswerLost)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	c.SetFaults(epoch, LogFaults{})
	b, err := c.Read("s", 1, 10)
	require.NoError(t, err)
	require.Len(t, b.Entries, 1)
}

func TestLogRate(t *testing.T) {
	c := NewLogCore(LogSettings{})
	accepted := 0
	for ms := range 1000 {
		for range 2 {
			if _, err := c.Append(at(time.Duration(ms)*time.Millisecond), "s", nil); err == nil {
				accepted++
			} else {
				requireNotRun(t, verdict.CodeOverloaded, err)
			}
		}
	}
	require.InDelta(t, DefaultLogRate+appendBurst, accepted, 1)
}

func TestLogLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogSettings{})
		began := time.Now()
		b, err := l.Read(t.Context(), "s", 1, 10, time.Second)
		require.NoError(t, err)
		require.Empty(t, b.Entries)
		require.Equal(t, time.Second, time.Since(began))

		time.AfterFunc(time.Second, func() { _, _ = l.Append(context.Background(), "s", []byte("x")) })
		b, err = l.Read(t.Context(), "s", 1, 10, time.Minute)
		require.NoError(t, err)
		require.Len(t, b.Entries, 1)
		require.Equal(t, 2*time.Second, time.Since(began))

		l.SetFaults(LogFaults{Slow: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.Append(ctx, "s", []byte("y"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		l.SetFaults(LogFaults{})
		b, err = l.Read(t.Context(), "s", 1, 10, 0)
		require.NoError(t, err)
		require.Len(t, b.Entries, 2, "the slow append took effect")
	})
}

func TestListShowsChangesAfterLag(t *testing.T) {
	c := NewListCore(0)
	c.PutWorker(epoch, model.Worker{ID: "w"})
	c.PutInstance(epoch, platform.Instance{ID: "b"})
	c.PutInstance(epoch, platform.Instance{ID: "a"})
	c.SetLag(2 * time.Second)
	c.MarkWorkerLeaving(epoch, "w")
	c.MarkInstanceLeaving(epoch, "a")
	c.RemoveInstance(at(time.Second), "b")
	c.SetLag(0)
	c.RemoveWorker(at(time.Second), "w")

	cases := []struct {
		at        time.Duration
		version   uint64
		instances int
		workers   int
		leaving   bool
	}{
		{0, 3, 2, 1, false},
		{2*time.Second - 1, 3, 2, 1, false},
		{2 * time.Second, 5, 2, 1, true},
		{3 * time.Second, 7, 1, 0, true},
	}
	for _, tc := range cases {
		l := c.List(at(tc.at))
		require.Equal(t, tc.version, l.Version)
		require.Len(t, l.Instances, tc.instances)
		require.Len(t, l.Workers, tc.workers)
		require.Equal(t, tc.leaving, l.Instances[0].Leaving)
		require.EqualValues(t, "a", l.Instances[0].ID)
	}
}

func TestRenewLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := model.Worker{ID: "w", Capacity: model.Resources{Slots: 2}}
		p := New(Config{Workers: []model.Worker{w}})
		began := time.Now()
		r := renewRequest(refA)
		r.Wait = 2 * time.Second
		reply, err := p.Workers.Renew(t.Context(), w, r)
		require.NoError(t, err)
		require.True(t, reply.Granted)
		require.Equal(t, 2*time.Second, time.Since(began), "without an event the wait takes r.Wait")

		require.NoError(t, p.Workers.Start(t.Context(), w, startRequest(refA, 1, "t", time.Second)))
		reply, err = p.Workers.Renew(t.Context(), w, r)
		require.NoError(t, err)
		require.Len(t, reply.Finished, 1)
		require.Equal(t, 3*time.Second, time.Since(began), "the wait ends at the event")

		r.Since, r.Wait = reply.Seq, time.Minute
		time.AfterFunc(time.Second, func() {
			p.Workers.Do("w", func(now time.Time, c *WorkerCore) { c.Restart(now) })
		})
		reply, err = p.Workers.Renew(t.Context(), w, r)
		require.NoError(t, err)
		require.False(t, reply.Granted, "a restart ends the wait")
		require.Equal(t, 4*time.Second, time.Since(began))
	})
}

// TestPausedWorkerRunsCommandsOnResume checks that a start sent to a paused
// worker takes effect when the worker resumes, after the call has timed out.
func TestPausedWorkerRunsCommandsOnResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := model.Worker{ID: "w", Capacity: model.Resources{Slots: 2}}
		p := New(Config{Workers: []model.Worker{w}})
		_, err := p.Workers.Renew(t.Context(), w, renewRequest(refA))
		require.NoError(t, err)
		fault := func(f WorkerFaults) { p.Inject(Fault{Worker: &WorkerFault{ID: "w", Faults: f}}) }
		fault(WorkerFaults{Paused: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err = p.Workers.Start(ctx, w, startRequest(refA, 1, "t", 0))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Zero(t, countStarts(p.History))
		fault(WorkerFaults{})
		require.Equal(t, 1, countStarts(p.History))
		p.MarkWorkerLeaving("w")
		require.Equal(t, 1, countEvents(p.History, EventLeaving))
		require.False(t, p.Inject(Fault{Worker: &WorkerFault{ID: "none"}}))
	})
}
