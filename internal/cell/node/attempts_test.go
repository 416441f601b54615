package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/verdict"
)

// settlingService stands in for a leader that loses the answers to the first attempts and
// refuses later ones for the earlier attempts too.
type settlingService struct {
	lose     int           // answers that are lost
	pause    time.Duration // before each answer
	received []SubmitArgs
	conn     net.Conn
}

func (s *settlingService) Submit(args *SubmitArgs, reply *Reply) error {
	s.received = append(s.received, *args)
	time.Sleep(s.pause)
	if len(s.received) <= s.lose {
		return s.conn.Close()
	}
	reply.Answer = engine.Answer{Outcome: engine.Refused, Why: "it would end too late", RetryAfter: 2 * time.Second, Settles: args.Attempt.Number > 1}
	return nil
}

// submitToSettlingLeader submits a job on an instance that follows the stand-in.
func submitToSettlingLeader(t *testing.T, service *settlingService, retention time.Duration) (answer engine.Answer, err error) {
	synctest.Test(t, func(t *testing.T) {
		var conns []net.Conn
		dial := func(context.Context, string) (net.Conn, error) {
			local, remote := net.Pipe()
			conns = append(conns, local, remote)
			service.conn = remote
			server := rpc.NewServer()
			if err := server.RegisterName(serviceName, service); err != nil {
				return nil, err
			}
			go server.ServeConn(remote)
			return local, nil
		}
		settings := Settings{Instance: "entry", Address: "entry:1", Dial: dial, Engine: engine.Config{EndedJobRetention: retention}}
		n := New(settings, Ports{}, NewStats(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		n.setNow(&n.leaderAnsweredAt)
		n.setLeader(&Leadership{Instance: "i1", Session: "s1", Address: "i1:1", Term: 3})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		answer, err = n.Submit(ctx, spec("0000000000000001"))
		for _, conn := range conns {
			_ = conn.Close() // some have been closed
		}
	})
	return answer, err
}

// The leader refuses a repeat and will refuse the attempts whose answers were lost. The caller
// may repeat the job, so it must not be told that it may have run.
func TestRefusalThatSettlesEarlierAttemptsIsFinal(t *testing.T) {
	service := &settlingService{lose: 2}
	answer, err := submitToSettlingLeader(t, service, time.Minute)
	require.NoError(t, err)
	assert.Equal(t, engine.Refused, answer.Outcome)
	assert.Equal(t, 2*time.Second, answer.RetryAfter)
	require.Len(t, service.received, 3)
	for i, args := range service.received {
		assert.Equal(t, engine.Attempt{Call: service.received[0].Attempt.Call, Number: i + 1}, args.Attempt)
		assert.EqualValues(t, 3, args.Term)
	}
	assert.NotEmpty(t, service.received[0].Attempt.Call)
}

// A job that an earlier attempt submitted may have ended and been forgotten by the leader.
func TestRefusalAfterTheRetentionOfEndedJobsIsInDoubt(t *testing.T) {
	_, err := submitToSettlingLeader(t, &settlingService{lose: 1, pause: 60 * time.Millisecond}, 100*time.Millisecond)
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, verdict.MayHaveRun, e.Verdict)
}

// Each call of a caller has an identifier of its own: what settles one must not refuse the next,
// which may be for the same job.
func TestCallsHaveIdentifiersOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Settings{Instance: "leader", Address: "leader:1"}, Ports{}, NewStats(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		l := &leader{n: n, events: make(chan any, 1), done: make(chan struct{})}
		l.noteConfirmed(time.Now())
		n.leading.Store(l)
		seen := make(map[string]bool)
		for range 3 {
			go func() {
				ev := (<-l.events).(*engine.Submit)
				assert.Equal(t, 1, ev.Attempt.Number)
				seen[ev.Attempt.Call] = true
				ev.Reply(engine.Answer{Outcome: engine.OK})
			}()
			_, err := n.Submit(t.Context(), spec("0000000000000001"))
			require.NoError(t, err)
		}
		assert.Len(t, seen, 3)
	})
}

func TestDoubtsThatARefusalSettles(t *testing.T) {
	at := func(session string, term int64) *Leadership { return &Leadership{Session: session, Term: term} }
	for name, test := range map[string]struct {
		doubts  doubts
		leader  *Leadership
		settles bool
		want    bool
	}{
		"none":                            {nil, at("s1", 3), false, true},
		"same term":                       {doubts{at("s1", 3)}, at("s1", 3), false, false},
		"same term, settled":              {doubts{at("s1", 3), at("s1", 3)}, at("s1", 3), true, true},
		"earlier leader":                  {doubts{at("s1", 3)}, at("s2", 5), false, true},
		"earlier leader and same term":    {doubts{at("s1", 3), at("s2", 5)}, at("s2", 5), true, true},
		"earlier term of the same leader": {doubts{at("s1", 3)}, at("s1", 5), true, false},
		"later leader":                    {doubts{at("s2", 5)}, at("s1", 3), true, false},
		"same term of another leader":     {doubts{at("s2", 3)}, at("s1", 3), true, false},
	} {
		assert.Equal(t, test.want, test.doubts.settledBy(test.leader, test.settles), name)
	}
}

// submitAttempt hands an attempt to an instance as another one would.
func submitAttempt(t *testing.T, m *member, queue string, args SubmitArgs) Reply {
	args.Spec = spec("0000000000000001")
	args.Spec.Queue = queue
	var reply Reply
	require.NoError(t, (&Service{m.Node}).Submit(&args, &reply))
	return reply
}

// An attempt arrives after a later one was refused, the leader has changed, and the refusing
// instance leads again. The record of the refusal ended with its term, so only the number of the
// term keeps the attempt from being accepted.
func TestLateAttemptIsNotHandledInALaterTerm(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		first := c.leader()
		term := first.leading.Load().rec.Term
		early, later := engine.Attempt{Call: "call", Number: 1}, engine.Attempt{Call: "call", Number: 2}
		refused := submitAttempt(t, first, "none", SubmitArgs{Attempt: later, Term: term})
		require.True(t, refused.Answer.Settles)
		assert.Equal(t, engine.Refused, submitAttempt(t, first, "q", SubmitArgs{Attempt: early, Term: term}).Answer.Outcome)
		for range 2 {
			old := c.leader()
			old.Drain(t.Context())
			time.Sleep(3 * time.Second)
			old.draining.Store(false)
			require.NotSame(t, old, c.leader())
			for _, m := range c.all() {
				assert.True(t, submitAttempt(t, m, "q", SubmitArgs{Attempt: early, Term: term}).NotLeading)
			}
		}
		require.Same(t, first, c.leader())
		assert.Empty(t, status(t, c.follower(), "0000000000000001"))
		assert.Equal(t, engine.OK, submitAttempt(t, first, "q", SubmitArgs{}).Answer.Outcome, "an instance of an earlier version")
	})
}

// The leader steps down and leads again, which the followers learn only from its pings: the
// process and its address stay the same. They must name the new term.
func TestSubmissionsReachALeaderThatLeadsAgain(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.leader()
		for _, m := range c.all() {
			m.draining.Store(m != old)
		}
		old.leading.Load().stop("test")
		time.Sleep(time.Second)
		require.Same(t, old, c.leader())
		submitWithin(t, c.follower(), "after", 500*time.Millisecond)
	})
}
