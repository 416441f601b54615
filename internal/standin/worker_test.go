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

const leaseTime = 10 * time.Second

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

func renewal(ref platform.LeaseRef) platform.RenewRequest {
	return platform.RenewRequest{Lease: ref, Duration: leaseTime}
}

func startOf(ref platform.LeaseRef, seq uint64, id model.TaskID, runTime time.Duration) platform.StartRequest {
	task := model.Task{ID: id, Demand: model.Resources{Slots: 1}, RunTime: runTime}
	return platform.StartRequest{Lease: ref, Seq: seq, Task: task}
}

func mustRenew(t *testing.T, c *WorkerCore, now time.Duration, r platform.RenewRequest) platform.RenewReply {
	t.Helper()
	reply := c.Renew(at(now), r)
	require.True(t, reply.Granted)
	return reply
}

func requireRefused(t *testing.T, code verdict.Code, err error) {
	t.Helper()
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, code, e.Code)
}

func starts(h *History) int { return count(h, EventStart) }

func count(h *History, kind EventKind) int {
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
		{"none held", []step{{0, refA, false, true}}},
		{"renewed", []step{{0, refA, false, true}, {9 * time.Second, refA, false, true}, {18 * time.Second, refB, false, false}}},
		{"higher term does not override", []step{{0, refA, false, true}, {time.Second, refB, false, false}}},
		{"holder goes on after a higher request", []step{{0, refA, false, true}, {time.Second, refB, false, false}, {2 * time.Second, refA, false, true}}},
		{"lapsed", []step{{0, refA, false, true}, {leaseTime, refB, false, true}}},
		{"lapsed holder with a lower term than seen", []step{{0, refA, false, true}, {time.Second, refB, false, false}, {leaseTime, refA, false, false}}},
		{"lapsed holder takes it again", []step{{0, refA, false, true}, {leaseTime, refA, false, true}}},
		{"released", []step{{0, refA, false, true}, {time.Second, refA, true, false}, {time.Second, refB, false, true}}},
		{"released by another", []step{{0, refA, false, true}, {time.Second, refB, true, false}, {time.Second, refB, false, false}}},
		{"holder raises its term", []step{{0, refA, false, true}, {0, ref("a", 1, 3), false, true}, {leaseTime, refB, false, false}}},
		{"holder lowers its term", []step{{0, refB, false, true}, {0, ref("b", 1, 1), false, false}}},
		{"restarted holder waits", []step{{0, refA, false, true}, {0, ref("a", 2, 2), false, false}, {leaseTime, ref("a", 2, 2), false, true}}},
		{"term goes down after a lapse", []step{{0, refB, false, true}, {time.Hour, refA, false, false}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newWorker(t)
			for i, s := range tc.steps {
				r := renewal(s.ref)
				r.Release = s.release
				require.Equal(t, s.granted, c.Renew(at(s.at), r).Granted, "step %d", i)
			}
		})
	}
}

func TestNotGrantedNamesHolder(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	require.Equal(t, platform.RenewReply{Current: refA}, c.Renew(epoch, renewal(refB)))
}

// TestNoDurationChangesNothing has a holder raise its term for no time.
func TestNoDurationChangesNothing(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	raised := platform.RenewRequest{Lease: platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 2}}
	require.Equal(t, refA, c.Renew(epoch, raised).Current)
	require.NoError(t, c.Start(epoch, startOf(refA, 1, "t", 0)))
}

func TestStartRefusals(t *testing.T) {
	cases := []struct {
		name string
		now  time.Duration
		req  platform.StartRequest
		code verdict.Code
	}{
		{"other holder", 0, startOf(refB, 9, "t", 0), verdict.CodeStaleAuthority},
		{"other term", 0, startOf(platform.LeaseRef{Holder: "a", Incarnation: 1, Term: 2}, 9, "t", 0), verdict.CodeStaleAuthority},
		{"lapsed", leaseTime, startOf(refA, 9, "t", 0), verdict.CodeStaleAuthority},
		{"fenced", 0, startOf(refA, 5, "t", 0), verdict.CodeStaleAuthority},
		{"other incarnation", 0, platform.StartRequest{Lease: refA, Seq: 9, WorkerIncarnation: 2}, verdict.CodeStaleAuthority},
		{"no id", 0, startOf(refA, 9, "", 0), verdict.CodeBadRequest},
		{"full", 0, startOf(refA, 9, "t", 0), verdict.CodeOverloaded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newWorker(t)
			r := renewal(refA)
			r.Full, r.Fence = true, 5
			mustRenew(t, c, 0, r)
			require.NoError(t, c.Start(epoch, startOf(refA, 6, "x", time.Hour)))
			require.NoError(t, c.Start(epoch, startOf(refA, 7, "y", time.Hour)))
			requireRefused(t, tc.code, c.Start(at(tc.now), tc.req))
			require.Equal(t, 2, starts(c.history))
		})
	}
}

func TestStartIsIdempotent(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	req := startOf(refA, 1, "t", time.Second)
	require.NoError(t, c.Start(epoch, req))
	require.NoError(t, c.Start(epoch, req), "running")
	require.NoError(t, c.Start(at(2*time.Second), req), "finished")
	require.NoError(t, c.Start(at(leaseTime), req), "finished, under a lapsed lease")
	require.Equal(t, 1, starts(c.history))
	require.Zero(t, c.Used())
}

func TestOutcomesAndRetention(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	for i := range 3 {
		now := time.Duration(i) * time.Second
		require.NoError(t, c.Start(at(now), startOf(refA, 1, model.TaskID(fmt.Sprint(i)), time.Second)))
	}
	r := renewal(refA)
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
		{platform.StopCheckpoint, time.Second + checkpointTime, true},
		{platform.StopThrottle, 19 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(string(tc.mode), func(t *testing.T) {
			c := newWorker(t)
			r := renewal(refA)
			r.Duration = time.Minute
			mustRenew(t, c, 0, r)
			require.NoError(t, c.Start(epoch, startOf(refA, 1, "t", 10*time.Second)))
			stop := platform.StopRequest{Lease: refA, Task: "t", Mode: tc.mode}
			require.NoError(t, c.Stop(at(time.Second), stop))
			c.Advance(at(tc.ends - 1))
			require.Equal(t, tc.mode != platform.StopKill, !c.Used().IsZero())
			reply := mustRenew(t, c, tc.ends, r)
			require.Len(t, reply.Finished, 1)
			require.Equal(t, tc.stopped, reply.Finished[0].Stopped)
			require.NoError(t, c.Stop(at(tc.ends), stop), "ended")
			stop.Task = "never"
			requireRefused(t, verdict.CodeNotFound, c.Stop(at(tc.ends), stop))
			stop.Lease = refB
			requireRefused(t, verdict.CodeStaleAuthority, c.Stop(at(tc.ends), stop))
		})
	}
}

func TestTaskLeaseLapses(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	require.NoError(t, c.Start(epoch, startOf(refA, 1, "t", time.Hour)))
	next, ok := c.Next()
	require.True(t, ok)
	require.Equal(t, at(DefaultTaskLease), next)
	c.Advance(next.Add(-1))
	require.False(t, c.Used().IsZero())
	r := renewal(refB)
	r.Full = true
	reply := mustRenew(t, c, DefaultTaskLease, r)
	require.Empty(t, reply.Running)
	require.True(t, reply.Finished[0].Stopped)
	require.Equal(t, DefaultTaskLease, reply.Finished[0].Ran)
}

func TestTaskFaults(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	c.SetFaults(epoch, WorkerFaults{FailEverything: true, ReportDelay: time.Second})
	require.NoError(t, c.Start(epoch, startOf(refA, 1, "failing", time.Minute)))
	c.Advance(at(quickFailure))
	require.Zero(t, c.Used())
	r := renewal(refA)
	r.Full = true
	reply := mustRenew(t, c, quickFailure, r)
	require.Len(t, reply.Running, 1, "not reported yet")
	require.Empty(t, reply.Finished)
	reply = mustRenew(t, c, quickFailure+time.Second, r)
	require.Empty(t, reply.Running)
	require.True(t, reply.Finished[0].Failed)

	c.SetFaults(at(2*time.Second), WorkerFaults{CutAnswer: true})
	require.NoError(t, c.Start(at(2*time.Second), startOf(refA, 2, "cut", time.Second)))
	r = renewal(refA)
	r.Since = reply.Seq
	reply = mustRenew(t, c, 3*time.Second, r)
	require.Len(t, reply.Finished, 1)
	require.False(t, reply.Finished[0].Complete)
}

func TestPausedWorker(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refA))
	require.NoError(t, c.Start(epoch, startOf(refA, 1, "t", time.Second)))
	c.SetFaults(epoch, WorkerFaults{Paused: true})
	c.Advance(at(2 * time.Second))
	require.False(t, c.Used().IsZero())
	_, ok := c.Next()
	require.False(t, ok)
	c.SetFaults(at(leaseTime), WorkerFaults{})
	require.Zero(t, c.Used())
	requireRefused(t, verdict.CodeStaleAuthority, c.Start(at(leaseTime), startOf(refA, 2, "u", 0)))
	events := c.history.Read(0).Events
	require.Equal(t, at(leaseTime), events[2].At, "it ended at the wake-up")
}

// TestHoldersRace has a paused holder wake after another took over.
func TestHoldersRace(t *testing.T) {
	c := newWorker(t)
	fenced := renewal(refA)
	fenced.Full, fenced.Fence = true, 5
	mustRenew(t, c, 0, fenced)
	require.NoError(t, c.Start(epoch, startOf(refA, 6, "t", time.Minute)))
	require.False(t, c.Renew(at(leaseTime-1), renewal(refB)).Granted)
	r := renewal(refB)
	r.Full = true
	reply := mustRenew(t, c, leaseTime, r)
	require.Len(t, reply.Running, 1)
	requireRefused(t, verdict.CodeStaleAuthority, c.Start(at(leaseTime), startOf(refA, 7, "u", 0)))
	requireRefused(t, verdict.CodeStaleAuthority,
		c.Stop(at(leaseTime), platform.StopRequest{Lease: refA, Task: "t", Mode: platform.StopKill}))
	require.Equal(t, refB, c.Renew(at(leaseTime), renewal(refA)).Current)
	require.NoError(t, c.Start(at(leaseTime), startOf(refB, 1, "t", 0)), "seen under the old holder")
	require.Equal(t, 1, starts(c.history))
	require.NoError(t, c.Start(at(leaseTime), startOf(refB, 1, "u", 0)), "the old holder's fence is gone")
	require.Equal(t, 2, starts(c.history))
}

func TestRestartForgets(t *testing.T) {
	c := newWorker(t)
	mustRenew(t, c, 0, renewal(refB))
	old := startOf(refB, 1, "t", time.Minute)
	old.WorkerIncarnation = 1
	require.NoError(t, c.Start(epoch, old))
	c.Restart(at(time.Second))
	require.Zero(t, c.Used())
	requireRefused(t, verdict.CodeStaleAuthority, c.Start(at(time.Second), old))
	r := renewal(refB)
	r.Full = true
	reply := mustRenew(t, c, 2*time.Second, r)
	require.EqualValues(t, 2, reply.Incarnation)
	require.Equal(t, time.Second, reply.Uptime)
	require.Zero(t, reply.Seq)
	require.Empty(t, reply.Running)
	require.Empty(t, reply.Seen)
	requireRefused(t, verdict.CodeStaleAuthority, c.Start(at(2*time.Second), old))
	require.Equal(t, 1, starts(c.history))
	require.Equal(t, 1, count(c.history, EventEnd))
}
