package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// A reply to a renewal that arrives late makes a worker look younger than it is. A worker
// must not count as restarted because its last reply was delayed, only because its
// incarnation has changed.
func TestDelayedReplyDoesNotMakeAWorkerYounger(t *testing.T) {
	env := event.NewEnv(platform.Instance{ID: "a", Incarnation: 1}, event.Timing{WorkerLease: 4 * time.Second}, 1)
	s := New(env)
	s.workers["w"] = &worker{info: model.Worker{ID: "w"}, term: 1}
	s.workerIDs = []model.WorkerID{"w"}
	renewed := func(at, uptime time.Duration, incarnation model.Incarnation) {
		env.Begin(at)
		w := s.workers["w"]
		s.OnRenewDone(event.RenewDone{
			Worker: "w", Lease: s.leaseRef(w), Full: !w.stateKnown, SentAt: at - time.Second,
			Reply: platform.RenewReply{Granted: true, Incarnation: incarnation, Uptime: uptime},
		})
	}
	restarted := func(age time.Duration) []model.WorkerID {
		return s.Locate(wire.Locate{Tasks: []wire.LocateTask{{Task: "t/x", Age: age}}}).Restarted
	}

	renewed(20*time.Second, 20*time.Second, 1)
	renewed(22*time.Second, 21*time.Second, 1)
	require.Empty(t, restarted(21500*time.Millisecond), "the worker started 22 s ago; its last reply took 1 s")

	renewed(23*time.Second, time.Second, 2)
	renewed(23*time.Second, time.Second, 2)
	require.Equal(t, []model.WorkerID{"w"}, restarted(2*time.Second))
	require.Empty(t, restarted(500*time.Millisecond))
}
