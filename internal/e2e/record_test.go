package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/client"
	apiwire "pollenbend/internal/httpapi/wire"
	"pollenbend/internal/replay"
	"pollenbend/internal/verdict"
)

// TestRecordedInstanceReplaysItsAnswers records two instances while they serve requests.
// The replay of each trace must give the answers that the callers received, and the
// trace must not contain the caller's secret.
func TestRecordedInstanceReplaysItsAnswers(t *testing.T) {
	const calls = 10
	c := startCell(t, "guild", 2, recorded)
	c.apply()
	secret := c.example.Secret("dublin-desk")
	want := make(map[string]map[string][]string)
	for id := range c.http {
		want[id] = make(map[string][]string)
		desk := c.client(secret, id)
		for i := range calls {
			key := fmt.Sprintf("%s-%d", id, i)
			call := apiwire.Call{Queue: "dublin", Service: "refill-prompt", Payload: json.RawMessage(`"refill due"`), Timeout: "20s"}
			answer, err := desk.Call(context.Background(), call, client.Identity{IdempotencyKey: key})
			require.NoError(t, err)
			require.Equal(t, verdict.Done, answer.Verdict)
			want[id][key] = []string{"done"}
		}
	}
	for id := range c.http {
		c.signal(id, syscall.SIGTERM)
		require.NoError(t, c.procs[id].Wait())
	}
	for id, answers := range want {
		text, err := os.ReadFile(c.tracePath(id))
		require.NoError(t, err)
		require.NotContains(t, string(text), secret)
		trace, err := replay.NewTrace(strings.NewReader(string(text)))
		require.NoError(t, err)
		got, err := replay.Run(trace, nil)
		require.NoError(t, err)
		require.Empty(t, replay.Expectation{Answers: answers}.Compare(got))
		require.Positive(t, got.Version)
	}
}
