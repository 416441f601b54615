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

// refusingLeader stands in for leaders that refuse submissions. Its first connections end
// without an answer.
type refusingLeader struct {
	lostAnswers int
	conns       []net.Conn
}

// refusingService answers the calls on one connection.
type refusingService struct {
	conn net.Conn
	lost bool // the connection ends instead of an answer
}

func (s *refusingService) Submit(_ *SubmitArgs, reply *Reply) error {
	if s.lost {
		return s.conn.Close()
	}
	reply.Answer = engine.Answer{Outcome: engine.Refused, Why: "it would end too late", RetryAfter: time.Second}
	return nil
}

// dial connects to the stand-in.
func (l *refusingLeader) dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &refusingService{conn: remote, lost: l.lostAnswers > 0}); err != nil {
		return nil, err
	}
	l.lostAnswers--
	l.conns = append(l.conns, local, remote)
	go server.ServeConn(remote)
	return local, nil
}

// close closes all connections.
func (l *refusingLeader) close() {
	for _, conn := range l.conns {
		_ = conn.Close() // some have been closed
	}
}

// submitToRefusingLeader submits a job on an instance that follows the first of the given
// leaders, and the second once the answer of the first has been lost.
func submitToRefusingLeader(t *testing.T, leaders ...Leadership) error {
	var err error
	synctest.Test(t, func(t *testing.T) {
		stub := &refusingLeader{lostAnswers: 1}
		n := New(Settings{Instance: "entry", Address: "entry:1", Dial: stub.dial}, Ports{}, NewStats(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		n.setNow(&n.leaderAnsweredAt)
		n.setLeader(&leaders[0])
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		defer stub.close()
		if len(leaders) > 1 {
			time.AfterFunc(leaderRetryDelay/2, func() { n.setLeader(&leaders[1]) })
		}
		var answer engine.Answer
		answer, err = n.Submit(ctx, spec("0000000000000001"))
		if err == nil {
			assert.Equal(t, engine.Refused, answer.Outcome)
		}
	})
	return err
}

func TestRefusalAfterALostAnswerOfTheSameLeaderClaimsNotRun(t *testing.T) {
	err := submitToRefusingLeader(t, Leadership{Instance: "i1", Session: "s1", Address: "i1:1", Term: 3})
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, verdict.MayHaveRun, e.Verdict)
}

// The next leader has fenced off the one that may have accepted the job.
func TestRefusalByTheNextLeaderIsFinal(t *testing.T) {
	err := submitToRefusingLeader(t, Leadership{Instance: "i1", Session: "s1", Address: "i1:1", Term: 3},
		Leadership{Instance: "i2", Session: "s2", Address: "i2:1", Term: 5})
	assert.NoError(t, err)
}

func TestRefusalByAnEarlierLeaderClaimsNotRun(t *testing.T) {
	err := submitToRefusingLeader(t, Leadership{Instance: "i2", Session: "s2", Address: "i2:1", Term: 5},
		Leadership{Instance: "i1", Session: "s1", Address: "i1:1", Term: 3})
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, verdict.MayHaveRun, e.Verdict)
}

// Relays fetch the payload of an accepted job from the instance that took it.
func TestRefusedSubmissionReplacesThePayloadOfAnAcceptedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stub := new(refusingLeader)
		n := New(Settings{Instance: "entry", Address: "entry:1", Dial: stub.dial}, Ports{}, NewStats(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		n.setNow(&n.leaderAnsweredAt)
		n.setLeader(&Leadership{Instance: "i1", Session: "s1", Address: "i1:1", Term: 3})
		defer stub.close()
		n.ownPayloads.add("accepted", "first")
		for _, id := range []string{"accepted", "refused"} {
			answer, err := n.Submit(t.Context(), spec(id))
			require.NoError(t, err)
			require.Equal(t, engine.Refused, answer.Outcome)
		}
		payload, _ := n.ownPayloads.get("accepted")
		assert.Equal(t, "first", payload)
		_, known := n.ownPayloads.get("refused")
		assert.False(t, known)
	})
}

func TestSubmissionWithoutALeaderKeepsItsPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Settings{Instance: "entry", Address: "entry:1"}, Ports{}, NewStats(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		_, err := n.Submit(t.Context(), spec("0000000000000001"))
		var e *verdict.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, verdict.NotRun, e.Verdict)
		_, known := n.ownPayloads.get("0000000000000001")
		assert.False(t, known)
	})
}
