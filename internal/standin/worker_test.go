package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

const leaseDuration = 10 * time.Second

var (
	epoch = time.Unix(0, 0)
	refA  = platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 1}
	refB  = platform.LeaseRef{Holder: "b", Incarnation: 1, Term: 2}
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newWorker(t *testing.T) *WorkerCore {
	t.Helper()
	w := model.Worker{ID: "w", Capacity: model.Resources{Slots: 2}}
	return NewWorkerCore(epoch, w, WorkerSettings{}, NewHistory())
}

func renewRequest(ref platform.LeaseRef) platform.RenewRequest {
	return platform.RenewRequest{Lease: ref, Duration: leaseDuration}
}

func startRequest(ref platform.LeaseRef, seq uint64, id model.TaskID, runTime time.Duration) platform.StartRequest {
	task := model.Task{ID: id, Demand: model.Resources{Slots: 1}, RunTime: runTime}
	return platform.StartRequest{Lease: ref, Seq: seq, Task: task}
}

func mustRenew(t *testing.T, c *WorkerCore, now time.Duration, r platform.RenewRequest) platform.RenewReply {
	t.Helper()
	reply := c.Renew(at(now), r)
	require.True(t, reply.Granted)
	return reply
}

func requireNotRun(t *testing.T, code verdict.Code, err error) {
	t.Helper()
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, code, e.Code)
}

func countStarts(h *History) int { return countEvents(h, EventStart) }

func countEvents(h *History, kind EventKind) int {
	n := 0
	for _, e := range h.Read(0).Events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func TestLeaseRules(t *testing.T) {
	type step struct {
		at      time.Duration
		ref     platform.LeaseRef
		release bool
		granted bool
	}
	ref := func(h model.InstanceID, inc model.Incarnation, term uint64) platform.LeaseRef {
		return platform.LeaseRef{Holder: h, Incarnation: inc, Term: term}
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"no lease yet", []step{{0, refA, false, true}}},
		{"renewed", []step{{0, refA, false, true}, {9 * time.Second, refA, false, true}, {18 * time.Second, refB, false, false}}},
		{"higher term does not override", []step{{0, refA, false, true}, {time.Second, refB, false, false}}},
		{"holder renews after a request with a higher term", []step{{0, refA, false, true}, {time.Second, refB, false, false}, {2 * time.Second, refA, false, true}}},
		{"expired", []step{{0, refA, false, true}, {leaseDuration, refB, false, true}}},
		{"expired holder with a lower term than seen", []step{{0, refA, false, true}, {time.Second, refB, false, false}, {leaseDuration, refA, false, false}}},
		{"expired holder acquires it again", []step{{0, refA, false, true}, {leaseDuration, refA, false, true}}},
		{"released", []step{{0, refA, false, true}, {time.Second, refA, true, false}, {time.Second, refB, false, true}}},
		{"released by another", []step{{0, refA, false, true}, {time.Second, refB, true, false}, {time.Second, refB, false, false}}},
		{"holder raises its term", []step{{0, refA, false, true}, {0, ref("a", 1, 3), false, true}, {leaseDuration, refB, false, false}}},
		{"holder lowers its term", []step{{0, refB, false, true}, {0, ref("b", 1, 1), false, false}}},
		{"restarted holder waits", []step{{0, refA, false, true}, {0, ref("a", 2, 2), false, false}, {leaseDuration, ref("a", 2, 2), false, true}}},
		{"term decreases after an expiry", []step{{0, refB, false, true}, {time.Hour, refA, false, false}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newWorker(t)
			for i, s := range tc.steps {
				r := renewRequest(s.ref)
				r.Release = s.release
				require.Equal(t, s.granted, c.Renew(at(s.at), r).Granted, "step %d", i)
			}
		})
	}
}

func TestNotGrantedNamesHolder(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	require.Equal(t, platform.RenewReply{Current: refA}, c.Renew(epoch, renewRequest(refB)))
}

// TestRenewWithoutDurationHasNoEffect checks that a renewal with a higher term
// but no duration leaves the lease unchanged.
func TestRenewWithoutDurationHasNoEffect(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	raised := platform.RenewRequest{Lease: platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 2}}
	require.Equal(t, refA, c.Renew(epoch, raised).Current)
	require.NoError(t, c.Start(epoch, startRequest(refA, 1, "t", 0)))
}

func TestStartRefusals(t *testing.T) {
	cases := []struct {
		name string
		now  time.Duration
		req  platform.StartRequest
		code verdict.Code
	}{
		{"other holder", 0, startRequest(refB, 9, "t", 0), verdict.CodeStaleAuthority},
		{"other term", 0, startRequest(platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 2}, 9, "t", 0), verdict.CodeStaleAuthority},
		{"expired", leaseDuration, startRequest(refA, 9, "t", 0), verdict.CodeStaleAuthority},
		{"fenced", 0, startRequest(refA, 5, "t", 0), verdict.CodeStaleAuthority},
		{"other incarnation", 0, platform.StartRequest{Lease: refA, Seq: 9, WorkerIncarnation: 2}, verdict.CodeStaleAuthority},
		{"no id", 0, startRequest(refA, 9, "", 0), verdict.CodeBadRequest},
		{"full", 0, startRequest(refA, 9, "t", 0), verdict.CodeOverloaded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newWorker(t)
			r := renewRequest(refA)
			r.Full, r.Fence = true, 5
			mustRenew(t, c, 0, r)
			require.NoError(t, c.Start(epoch, startRequest(refA, 6, "x", time.Hour)))
			require.NoError(t, c.Start(epoch, startRequest(refA, 7, "y", time.Hour)))
			requireNotRun(t, tc.code, c.Start(at(tc.now), tc.req))
			require.Equal(t, 2, countStarts(c.history))
		})
	}
}

func TestStartIsIdempotent(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	req := startRequest(refA, 1, "t", time.Second)
	require.NoError(t, c.Start(epoch, req))
	require.NoError(t, c.Start(epoch, req), "running")
	require.NoError(t, c.Start(at(2*time.Second), req), "finished")
	require.NoError(t, c.Start(at(leaseDuration), req), "finished, under an expired lease")
	require.Equal(t, 1, countStarts(c.history))
	require.Zero(t, c.Used())
}

func TestOutcomesAndRetention(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	for i := range 3 {
		now := time.Duration(i) * time.Second
		require.NoError(t, c.Start(at(now), startRequest(refA, 1, model.TaskID(fmt.Sprint(i)), time.Second)))
	}
	r := renewRequest(refA)
	r.Since = 1
	reply := mustRenew(t, c, 3*time.Second, r)
	require.EqualValues(t, 3, reply.Seq)
	require.Len(t, reply.Finished, 2)
	require.Empty(t, reply.Seen)
	r.Full = true
	reply = mustRenew(t, c, 4*time.Second, r)
	require.Len(t, reply.Finished, 3)
	require.Equal(t, []model.TaskID{"0", "1", "2"}, reply.Seen)
	reply = mustRenew(t, c, DefaultRetention+2*time.Second+time.Millisecond, r)
	require.Equal(t, []model.TaskID{"2"}, reply.Seen)
	require.Len(t, reply.Finished, 1)
}

func TestStopModes(t *testing.T) {
	cases := []struct {
		mode    platform.StopMode
		ends    time.Duration
		stopped bool
	}{
		{platform.StopKill, time.Second, true},
		{platform.StopCheckpoint, time.Second + checkpointDuration, true},
		{platform.StopThrottle, 19 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(string(tc.mode), func(t *testing.T) {
			c := newWorker(t)
			r := renewRequest(refA)
			r.Duration = time.Minute
			mustRenew(t, c, 0, r)
			require.NoError(t, c.Start(epoch, startRequest(refA, 1, "t", 10*time.Second)))
			stop := platform.StopRequest{Lease: refA, Task: "t", Mode: tc.mode}
			require.NoError(t, c.Stop(at(time.Second), stop))
			c.Advance(at(tc.ends - 1))
			require.Equal(t, tc.mode != platform.StopKill, !c.Used().IsZero())
			reply := mustRenew(t, c, tc.ends, r)
			require.Len(t, reply.Finished, 1)
			require.Equal(t, tc.stopped, reply.Finished[0].Stopped)
			require.NoError(t, c.Stop(at(tc.ends), stop), "ended")
			stop.Task = "never"
			requireNotRun(t, verdict.CodeNotFound, c.Stop(at(tc.ends), stop))
			stop.Lease = refB
			requireNotRun(t, verdict.CodeStaleAuthority, c.Stop(at(tc.ends), stop))
		})
	}
}

func TestTaskLeaseExpires(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	require.NoError(t, c.Start(epoch, startRequest(refA, 1, "t", time.Hour)))
	next, ok := c.Next()
	require.True(t, ok)
	require.Equal(t, at(DefaultTaskLease), next)
	c.Advance(next.Add(-1))
	require.False(t, c.Used().IsZero())
	r := renewRequest(refB)
	r.Full = true
	reply := mustRenew(t, c, DefaultTaskLease, r)
	require.Empty(t, reply.Running)
	require.True(t, reply.Finished[0].Stopped)
	require.Equal(t, DefaultTaskLease, reply.Finished[0].Ran)
}

func TestTaskFaults(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	c.SetFaults(epoch, WorkerFaults{FailAllTasks: true, ReportDelay: time.Second})
	require.NoError(t, c.Start(epoch, startRequest(refA, 1, "failing", time.Minute)))
	c.Advance(at(failedRunTime))
	require.Zero(t, c.Used())
	r := renewRequest(refA)
	r.Full = true
	reply := mustRenew(t, c, failedRunTime, r)
	require.Len(t, reply.Running, 1, "not reported yet")
	require.Empty(t, reply.Finished)
	reply = mustRenew(t, c, failedRunTime+time.Second, r)
	require.Empty(t, reply.Running)
	require.True(t, reply.Finished[0].Failed)

	c.SetFaults(at(2*time.Second), WorkerFaults{TruncateAnswers: true})
	require.NoError(t, c.Start(at(2*time.Second), startRequest(refA, 2, "cut", time.Second)))
	r = renewRequest(refA)
	r.Since = reply.Seq
	reply = mustRenew(t, c, 3*time.Second, r)
	require.Len(t, reply.Finished, 1)
	require.False(t, reply.Finished[0].Complete)
}

func TestPausedWorker(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refA))
	require.NoError(t, c.Start(epoch, startRequest(refA, 1, "t", time.Second)))
	c.SetFaults(epoch, WorkerFaults{Paused: true})
	c.Advance(at(2 * time.Second))
	require.False(t, c.Used().IsZero())
	_, ok := c.Next()
	require.False(t, ok)
	c.SetFaults(at(leaseDuration), WorkerFaults{})
	require.Zero(t, c.Used())
	requireNotRun(t, verdict.CodeStaleAuthority, c.Start(at(leaseDuration), startRequest(refA, 2, "u", 0)))
	events := c.history.Read(0).Events
	require.Equal(t, at(leaseDuration), events[2].At, "the task ends when the worker resumes")
}

// TestHoldersRace checks that commands of the previous holder are refused after
// another holder has acquired the expired lease.
func TestHoldersRace(t *testing.T) {
	c := newWorker(t)
	fenced := renewRequest(refA)
	fenced.Full, fenced.Fence = true, 5
	mustRenew(t, c, 0, fenced)
	require.NoError(t, c.Start(epoch, startRequest(refA, 6, "t", time.Minute)))
	require.False(t, c.Renew(at(leaseDuration-1), renewRequest(refB)).Granted)
	r := renewRequest(refB)
	r.Full = true
	reply := mustRenew(t, c, leaseDuration, r)
	require.Len(t, reply.Running, 1)
	requireNotRun(t, verdict.CodeStaleAuthority, c.Start(at(leaseDuration), startRequest(refA, 7, "u", 0)))
	requireNotRun(t, verdict.CodeStaleAuthority,
		c.Stop(at(leaseDuration), platform.StopRequest{Lease: refA, Task: "t", Mode: platform.StopKill}))
	require.Equal(t, refB, c.Renew(at(leaseDuration), renewRequest(refA)).Current)
	require.NoError(t, c.Start(at(leaseDuration), startRequest(refB, 1, "t", 0)), "started under the previous holder")
	require.Equal(t, 1, countStarts(c.history))
	require.NoError(t, c.Start(at(leaseDuration), startRequest(refB, 1, "u", 0)), "the previous holder's fence no longer applies")
	require.Equal(t, 2, countStarts(c.history))
}

func TestRestartClearsState(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewRequest(refB))
	old := startRequest(refB, 1, "t", time.Minute)
	old.WorkerIncarnation = 1
	require.NoError(t, c.Start(epoch, old))
	c.Restart(at(time.Second))
	require.Zero(t, c.Used())
	requireNotRun(t, verdict.CodeStaleAuthority, c.Start(at(time.Second), old))
	r := renewRequest(refB)
	r.Full = true
	reply := mustRenew(t, c, 2*time.Second, r)
	require.EqualValues(t, 2, reply.Incarnation)
	require.Equal(t, time.Second, reply.Uptime)
	require.Zero(t, reply.Seq)
	require.Empty(t, reply.Running)
	require.Empty(t, reply.Seen)
	requireNotRun(t, verdict.CodeStaleAuthority, c.Start(at(2*time.Second), old))
	require.Equal(t, 1, countStarts(c.history))
	require.Equal(t, 1, countEvents(c.history, EventEnd))
}
