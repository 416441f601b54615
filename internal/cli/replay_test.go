package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReplayExitCodes replays a recorded trace with expected outcomes that are equal,
// different or not given, and with an invalid trace or expectation file.
func TestReplayExitCodes(t *testing.T) {
	const trace = "../../testdata/replay/styrkeled-summer-time-begins"
	expected, err := os.ReadFile(trace + ".toml")
	require.NoError(t, err)
	wrong := strings.Replace(string(expected), "'withdraw' = ['done']", "'withdraw' = ['not_run conflict']", 1)
	wrong = strings.Replace(wrong, "withdraw = ['done']", "withdraw = ['not_run conflict']", 1)
	require.NotEqual(t, string(expected), wrong)
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	tests := []struct {
		name, trace, expect string
		code                int
		output              string
	}{
		{"equal", trace + ".jsonl", trace + ".toml", ExitDone, "all outcomes are those of"},
		{"different", trace + ".jsonl", write("wrong.toml", wrong), ExitNotRun, "answers.withdraw: expected not_run conflict, got done\n1 outcomes differ"},
		{"printed", trace + ".jsonl", "", ExitDone, "[answers]"},
		{"no trace", write("empty.jsonl", ""), trace + ".toml", ExitUsage, "header"},
		{"unknown key", trace + ".jsonl", write("typo.toml", "versoin = 1"), ExitUsage, "versoin"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := []string{"replay", tt.trace}
			if tt.expect != "" {
				args = append(args, "--expect", tt.expect)
			}
			var out bytes.Buffer
			require.Equal(t, tt.code, Run(t.Context(), args, &out, &out), out.String())
			require.Contains(t, out.String(), tt.output)
		})
	}
}
