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

// The first reply of a worker that is held anew may arrive late, as beside load. It must not
// count as restarted because of that one reply: requests that were never started ended in
// doubt. A worker that has certainly restarted does so at once, and one whose replies are
// always late after a few of them.
func TestWorkerIsNotCoveredWhileItsStartIsUnclear(t *testing.T) {
	type reply struct{ sentAt, at, uptime time.Duration }
	const oldest = 1200 * time.Millisecond // first possible start of the task
	sec := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	late := reply{sec(21.5), sec(23), sec(21.5)} // of a worker that started at 0
	for _, test := range []struct {
		name               string
		replies            []reply
		covered, restarted bool
	}{
		{"one late reply", []reply{late}, false, false},
		{"a prompt one after it", []reply{late, {sec(23), sec(23.1), sec(23)}}, true, false},
		{"a late one after it", []reply{late, {sec(23), sec(25), sec(23)}}, false, false},
		{"always late", []reply{late, {sec(23), sec(25), sec(23)}, {sec(25), sec(27), sec(25)}, {sec(27), sec(29), sec(27)}}, true, true},
		{"restarted", []reply{{sec(21.5), sec(23), sec(1)}}, true, true},
		{"restarted and then prompt", []reply{{sec(2.9), sec(4.2), sec(2.9)}, {sec(4.2), sec(4.2), sec(2.9)}}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			env := event.NewEnv(platform.Instance{ID: "a", Incarnation: 1}, event.Timing{WorkerLease: 4 * time.Second}, 1)
			s := New(env)
			s.workers["w"] = &worker{info: model.Worker{ID: "w"}, term: 1}
			s.workerIDs = []model.WorkerID{"w"}
			for _, r := range test.replies {
				env.Begin(r.at)
				w := s.workers["w"]
				s.OnRenewDone(event.RenewDone{
					Worker: "w", Lease: s.leaseRef(w), Full: !w.stateKnown, SentAt: r.sentAt,
					Reply: platform.RenewReply{Granted: true, Incarnation: 1, Uptime: r.uptime},
				})
			}
			located := s.Locate(wire.Locate{Tasks: []wire.LocateTask{{Task: "t/x", Age: env.Now() - oldest}}})
			require.Equal(t, test.covered, len(located.Covered) == 1, "covered")
			require.Equal(t, test.restarted, len(located.Restarted) == 1, "restarted")
		})
	}
}
