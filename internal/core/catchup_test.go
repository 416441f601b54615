package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

func TestFirstOperatorNeedsNoKeyUntilOneIsDeclared(t *testing.T) {
	c := newCell(t, "a")
	base := c.change("1", 0, teamAndKey("s"))
	c.run(stepTime)
	author, refusal := c.config("a").AuthorizeOperator("")
	require.Nil(t, refusal)
	require.Equal(t, "bootstrap", author)

	c.change("2", base, operatorKey("boss"))
	c.run(stepTime)
	_, refusal = c.config("a").AuthorizeOperator("")
	require.Equal(t, verdict.CodeUnauthorized, refusal.Code)
	author, refusal = c.config("a").AuthorizeOperator("boss")
	require.Nil(t, refusal)
	require.Equal(t, "op", author)
}

var withdrawKey = model.ObjectRef{Kind: model.ObjectKey, Name: "k"}

// authorized reports whether an instance accepts the team's key.
func (c *cell) authorized(at model.InstanceID, secret string) bool {
	_, _, refusal := c.config(at).Authorize(secret, "")
	return refusal == nil
}

func TestChangesReachAnInstanceWithoutTheLog(t *testing.T) {
	c := newCell(t, "a", "b", "c")
	base := c.change("1", 0, teamAndKey("s"))
	c.run(time.Second)
	c.logUnreachable["b"] = true
	require.True(t, c.authorized("b", "s"))

	for range 3 * maxServedEntries {
		c.append(wire.JobCanceled{})
	}
	last := c.change("2", base, model.Declarations{Queues: []model.Queue{{Name: "q", Team: "t"}}}, withdrawKey)
	c.dropped = func(m wire.Message) bool {
		_, withdrawal := m.(wire.KeysWithdrawn)
		return withdrawal
	}
	c.run(2 * time.Second)
	_, version := c.config("b").Document()
	require.Equal(t, last, version)
	require.False(t, c.authorized("b", "s"))
	require.True(t, c.config("b").Fresh())
}

func TestCatchUpIsRateLimited(t *testing.T) {
	c := newCell(t, "a", "b")
	c.run(time.Second)
	c.logUnreachable["b"] = true
	requests := 0
	c.dropped = func(m wire.Message) bool {
		if _, ok := m.(wire.FetchLog); ok {
			requests++
		}
		_, entries := m.(wire.LogEntries)
		return entries
	}
	c.append(wire.JobCanceled{})
	c.run(2 * time.Second)
	require.Positive(t, requests)
	require.LessOrEqual(t, requests, int(2*time.Second/fetchInterval)+1)
}

func TestWithdrawalIsSentBeforePeersReadTheLog(t *testing.T) {
	c := newCell(t, "a", "b", "c")
	base := c.change("1", 0, teamAndKey("s"))
	c.run(time.Second)
	c.logUnreachable["b"], c.logUnreachable["c"] = true, true
	sent := 0
	c.dropped = func(m wire.Message) bool {
		switch m.(type) {
		case wire.KeysWithdrawn:
			sent++
		case wire.LogEntries:
			return true
		}
		return false
	}
	c.change("2", base, model.Declarations{}, withdrawKey)
	c.read("a")
	require.False(t, c.authorized("b", "s"))
	require.False(t, c.authorized("c", "s"))
	require.LessOrEqual(t, sent, 6, "each instance sends the withdrawal to each other one at most once")

	_, version := c.config("b").Document()
	require.Equal(t, base, version, "a withdrawal sent by a peer changes no declaration")
	c.logUnreachable["b"], c.dropped = false, nil
	c.run(time.Second)
	require.False(t, c.authorized("b", "s"))
}

func TestOldWithdrawalsAreNotSent(t *testing.T) {
	c := newCell(t, "a", "b")
	base := c.change("1", 0, teamAndKey("s"))
	c.change("2", base, model.Declarations{}, withdrawKey)
	c.run(time.Second)
	c.dropped = func(m wire.Message) bool {
		_, withdrawal := m.(wire.KeysWithdrawn)
		require.False(t, withdrawal)
		return false
	}
	c.start("late")
	c.run(time.Second)
	require.False(t, c.authorized("late", "s"))
}
